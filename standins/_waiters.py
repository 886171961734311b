"""Long polls of a stand-in, and how many of them wait."""

import threading
import time
import typing

from . import _http

DISCONNECT_POLL_S = 1.0


class Waiters:
    """Long polls that wait for a change, and how many there are."""

    __slots__ = ("_condition", "_waiting")

    def __init__(self) -> None:
        self._condition = threading.Condition()
        self._waiting = 0

    @property
    def condition(self) -> threading.Condition:
        """The lock of the state that the polls read."""
        return self._condition

    @property
    def waiting(self) -> int:
        """Long polls that wait just now."""
        return self._waiting

    def poll(
        self,
        request: _http.Request,
        ready: typing.Callable[[], typing.Any],
        timeout_s: float,
    ) -> None:
        """Wait, holding the condition, until ``ready`` gives something.

        :param request: its client's disconnection ends the wait.
        :param timeout_s: gives up after this long.
        """
        until = time.monotonic() + timeout_s
        with self._condition:
            self._waiting += 1
            try:
                while not ready() and not request.disconnected():
                    left_s = until - time.monotonic()
                    if left_s <= 0.0:
                        return
                    self._condition.wait(min(left_s, DISCONNECT_POLL_S))
            finally:
                self._waiting -= 1

    def wake(self) -> None:
        """Make each poll look again."""
        with self._condition:
            self._condition.notify_all()
