"""Long polling for the stand-ins, with a count of the waiting polls."""

import threading
import time
import typing

from . import _http

DISCONNECT_POLL_S = 1.0


class LongPolls:
    """Blocks long polls until a change, and counts those that wait."""

    __slots__ = ("_condition", "_waiting_count")

    def __init__(self) -> None:
        self._condition = threading.Condition()
        self._waiting_count = 0

    @property
    def condition(self) -> threading.Condition:
        """The condition whose lock guards the state that polls read."""
        return self._condition

    @property
    def waiting_count(self) -> int:
        """Number of long polls that are waiting."""
        return self._waiting_count

    def wait_until(
        self,
        request: _http.Request,
        ready: typing.Callable[[], typing.Any],
        timeout_s: float,
    ) -> None:
        """Wait until ``ready`` returns a true value.

        :param request: the polling request; the wait ends when its client
            disconnects.
        :param ready: called with the lock of :attr:`condition` held.
        :param timeout_s: maximum time to wait, in seconds.
        """
        deadline = time.monotonic() + timeout_s
        with self._condition:
            self._waiting_count += 1
            try:
                while not ready() and not request.disconnected():
                    remaining_s = deadline - time.monotonic()
                    if remaining_s <= 0.0:
                        return
                    self._condition.wait(min(remaining_s, DISCONNECT_POLL_S))
            finally:
                self._waiting_count -= 1

    def notify(self) -> None:
        """Make every waiting poll check for a change."""
        with self._condition:
            self._condition.notify_all()
