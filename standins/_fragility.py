"""How a stand-in that is fragile falls over."""

import collections
import threading
import time
import typing

from . import _http

#: The span in which rejections are counted, in seconds.
REJECTIONS_SPAN_S = 1.0
#: How long a stand-in that fell over drops all connections.
FALL_S = 2.0


class Fragility:
    """Counts the requests rejected for want of room.

    :param limit: returns how many a second the stand-in can reject without
        falling over; None while it is sound.
    :param now: the time source, in seconds.
    """

    __slots__ = ("_limit", "_now", "_rejected_at", "_up_at", "_lock", "falls")

    def __init__(
        self,
        limit: typing.Callable[[], int | None],
        now: typing.Callable[[], float] = time.monotonic,
    ) -> None:
        self._limit = limit
        self._now = now
        self._rejected_at: collections.deque[float] = collections.deque()
        self._up_at = float("-inf")
        self._lock = threading.Lock()
        #: How often the stand-in has fallen over.
        self.falls = 0

    def reject(self) -> None:
        """Note that a request is rejected; it may be one too many.

        :raises _http.channel.ClientDisconnected: the stand-in falls over.
        """
        limit, now = self._limit(), self._now()
        with self._lock:
            self._rejected_at.append(now)
            while self._rejected_at[0] <= now - REJECTIONS_SPAN_S:
                self._rejected_at.popleft()
            if limit is not None and len(self._rejected_at) > limit:
                self._rejected_at.clear()
                self._up_at = now + FALL_S
                self.falls += 1
        self.check()

    def check(self, falls_at_start: int | None = None) -> None:
        """Drop the connection of a request if the stand-in has fallen over.

        :param falls_at_start: the falls as the request began; None if it
            begins now.
        :raises _http.channel.ClientDisconnected: it has.
        """
        fell = falls_at_start is not None and falls_at_start != self.falls
        if fell or self._now() < self._up_at:
            _http.drop_connection()
