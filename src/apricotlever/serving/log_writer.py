"""Writes log lines in bounded volume, without blocking on a slow reader."""

import asyncio
import os
import typing

from .. import logs

from . import aligned_timer

#: File descriptor of the standard output.
STANDARD_OUTPUT = 1
#: Time between two writes, in seconds. Lines are collected, so that one system
#: call writes many of them.
FLUSH_INTERVAL_S = 0.1
#: Maximum number of lines of one event name in PERIOD_S. A fault that affects
#: every call would otherwise use up the processor for its log lines.
MAX_LINES_PER_EVENT = 100
#: Number of unwritten bytes above which lines are dropped.
MAX_BUFFERED_BYTES = 1_000_000
#: Period over which lines are counted, in seconds.
PERIOD_S = 1.0


class LogWriter:
    """Collects log lines and writes them to a file descriptor.

    Lines are dropped if there are too many of one event or the reader does not
    read. The dropped lines are counted, and their count is logged.

    :param descriptor: the file descriptor, which is made non-blocking.
    :param now: the time source, in seconds; the event loop's clock by default.
    """

    __slots__ = (
        "_bytes",
        "_counts",
        "_descriptor",
        "_dropped",
        "_lines",
        "_period",
        "_unwritten",
        "_now",
    )

    def __init__(
        self,
        descriptor: int,
        now: typing.Callable[[], float] | None = None,
    ) -> None:
        os.set_blocking(descriptor, False)
        self._descriptor = descriptor
        self._now = now
        self._lines: list[str] = []
        self._bytes = 0
        self._unwritten = b""
        self._counts: dict[str, int] = {}
        self._dropped: dict[str, int] = {}
        self._period = 0

    @property
    def buffered_bytes(self) -> int:
        """Number of bytes that are not written yet."""
        return self._bytes

    def write(self, name: str, text: str) -> None:
        """Buffer a line for the next write.

        :param name: name of the event.
        :param text: the line without a line break.
        """
        self._start_period_if_due()
        count = self._counts.get(name, 0) + 1
        self._counts[name] = count
        if count > MAX_LINES_PER_EVENT or self._bytes > MAX_BUFFERED_BYTES:
            self._dropped[name] = self._dropped.get(name, 0) + 1
            return
        self._lines.append(text)
        self._bytes += len(text)

    def flush(self) -> None:
        """Write as much as the descriptor accepts without blocking."""
        if self._lines:
            self._unwritten += ("\n".join(self._lines) + "\n").encode()
            self._lines.clear()
        if not self._unwritten:
            return
        try:
            written = os.write(self._descriptor, self._unwritten)
        except BlockingIOError:
            written = 0
        except OSError:
            # The reader is gone, and there is no other place to log to.
            written = len(self._unwritten)
        self._unwritten = self._unwritten[written:]
        self._bytes = len(self._unwritten)

    async def run(self) -> None:
        """Flush the buffer periodically, until cancelled."""
        while True:
            await aligned_timer.sleep_until_tick(FLUSH_INTERVAL_S)
            self._start_period_if_due()
            self.flush()

    def _start_period_if_due(self) -> None:
        now = self._now or asyncio.get_running_loop().time
        period = int(now() / PERIOD_S)
        if period == self._period:
            return
        self._period = period
        self._counts.clear()
        dropped, self._dropped = self._dropped, {}
        for name, count in dropped.items():
            logs.event("lines_left_out", of=name, count=count)
