"""Retries that the fleet may send, kept by each VM without asking others.

The fleet as a whole may repeat a part of the requests of a time window and
a number more. Each VM keeps the part of its own requests and an equal share
of the number, so that the sum holds whoever is cut off from whom.
"""

import collections

from .. import clock as clocks

#: Part of the allowance that is used; the rest covers requests that the
#: rule's sliding window counts elsewhere than this VM's.
USED_PART = 0.85


class RetryAllowance:
    """Counts requests and retries by service.

    :param ratio: retries for each request.
    :param least: retries that the whole fleet may make besides.
    :param window_s: the time over which they are counted.
    """

    __slots__ = (
        "_clock",
        "_least",
        "_members",
        "_ratio",
        "_requests",
        "_retries",
        "_window_s",
    )

    def __init__(
        self, clock: clocks.Clock, ratio: float, least: float, window_s: float
    ) -> None:
        self._clock = clock
        self._ratio = ratio
        self._least = least
        self._window_s = window_s
        self._members = 1
        self._requests: dict[str, collections.deque[float]] = {}
        self._retries: dict[str, collections.deque[float]] = {}

    def set_members(self, count: int) -> None:
        """Take over how many VMs share the number, this one included."""
        self._members = max(1, count)

    def request(self, service: str) -> None:
        """Count a first attempt."""
        self._note(self._requests, service)

    def left(self, service: str) -> float:
        """Retries of a service that may be sent now."""
        requests = self._count(self._requests, service)
        allowed = self._ratio * requests + self._least / self._members
        return USED_PART * allowed - self._count(self._retries, service)

    def take(self, service: str) -> bool:
        """Count a retry, if one is left."""
        if self.left(service) < 1.0:
            return False
        self._note(self._retries, service)
        return True

    def _note(
        self, counts: dict[str, collections.deque[float]], service: str
    ) -> None:
        counts.setdefault(service, collections.deque()).append(
            self._clock.now()
        )

    def _count(
        self, counts: dict[str, collections.deque[float]], service: str
    ) -> int:
        times = counts.get(service)
        if not times:
            return 0
        oldest = self._clock.now() - self._window_s
        while times and times[0] < oldest:
            times.popleft()
        return len(times)
