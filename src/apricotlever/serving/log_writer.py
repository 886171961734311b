"""Writes log lines in bounded volume, without ever waiting for a reader."""

import asyncio
import os
import typing

from .. import logs

from . import pace

STANDARD_OUTPUT = 1
#: Between two writes, in seconds: lines of one moment go out together, for
#: one system call instead of one each.
FLUSH_INTERVAL_S = 0.1
#: Lines of one kind of event in a second. A fault that hits every call would
#: otherwise spend the processor on telling of it.
MAX_LINES_PER_EVENT = 100
#: Bytes that wait for a reader that does not read.
MAX_BUFFERED_BYTES = 1_000_000
PERIOD_S = 1.0


class LogWriter:
    """Gathers lines and writes them to a file descriptor.

    What is left out, as there are too many of a kind or nobody reads, is
    counted and told in a line of its own.

    :param descriptor: made non-blocking.
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
        """Bytes that wait for the reader."""
        return self._bytes

    def write(self, name: str, text: str) -> None:
        """Take a line of an event; it is written soon."""
        self._start_period_if_due()
        count = self._counts.get(name, 0) + 1
        self._counts[name] = count
        if count > MAX_LINES_PER_EVENT or self._bytes > MAX_BUFFERED_BYTES:
            self._dropped[name] = self._dropped.get(name, 0) + 1
            return
        self._lines.append(text)
        self._bytes += len(text)

    def flush(self) -> None:
        """Write what the reader takes now."""
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
            # Nobody will ever read; there is nowhere to tell it.
            written = len(self._unwritten)
        self._unwritten = self._unwritten[written:]
        self._bytes = len(self._unwritten)

    async def run(self) -> None:
        """Write again and again."""
        while True:
            await pace.pause(FLUSH_INTERVAL_S)
            self._start_period_if_due()
            self.flush()

    def _start_period_if_due(self) -> None:
        now = self._now or asyncio.get_running_loop().time
        period = int(now() / PERIOD_S)
        if period == self._period:
            return
        self._period = period
        self._counts.clear()
        left_out, self._dropped = self._dropped, {}
        for name, count in left_out.items():
            logs.event("lines_left_out", of=name, count=count)
