"""A fleet-wide limit on retries that each VM enforces on its own.

The limit for a time window is a fraction of the fleet's requests plus a fixed
number of retries. Each VM may send that fraction of its own requests plus an
equal share of the fixed number. So the sum stays within the limit even while
VMs can't reach each other. Requests and retries are counted by service.
"""

import collections

from .. import clock as clocks
from .. import logs

#: Names of the totals by service, as metrics.
REQUESTS = "retry_requests_total"
RETRIES = "retries_total"
REFUSED = "retries_refused_total"

#: The fraction of the allowance that is used. The rest covers requests for
#: which the sliding window of the limit differs from this VM's window.
USABLE_FRACTION = 0.85


class RetryAllowance:
    """One VM's allowance of retries, for each service.

    :param clock: the source of time.
    :param ratio: retries allowed per request.
    :param min_retries: retries that the whole fleet may send in a window in
        addition.
    :param window_s: the length of the sliding window in seconds.
    """

    __slots__ = (
        "_clock",
        "_counts",
        "_min_retries",
        "_members",
        "_members_since",
        "_ratio",
        "_requests",
        "_retries",
        "_window_s",
    )

    def __init__(
        self,
        clock: clocks.Clock,
        ratio: float,
        min_retries: float,
        window_s: float,
    ) -> None:
        self._clock = clock
        self._ratio = ratio
        self._min_retries = min_retries
        self._window_s = window_s
        self._members = 1
        self._members_since = clock.now()
        #: Requests, retries and refused retries since the start, by service.
        self._counts: dict[str, collections.Counter[str]] = {}
        self._requests: dict[str, collections.deque[float]] = {}
        self._retries: dict[str, collections.deque[float]] = {}

    @property
    def gauges(self) -> dict[str, float]:
        """How many VMs are taken to share, and for how long, by metric."""
        return {
            "retry_members": self._members,
            "retry_members_age_s": self._clock.now() - self._members_since,
        }

    @property
    def counts(self) -> dict[str, dict[str, float]]:
        """Totals since the start of this process, by metric and service."""
        return {
            metric: {
                service: count[metric]
                for service, count in self._counts.items()
            }
            for metric in (REQUESTS, RETRIES, REFUSED)
        }

    def set_members(self, count: int) -> None:
        """Set how many VMs share the fixed number of retries.

        :param count: the number of VMs, this one included.
        """
        members = max(1, count)
        if members == self._members:
            return
        self._members = members
        self._members_since = self._clock.now()
        logs.event(
            "retry_share",
            members=members,
            share=self._min_retries / members,
        )

    def record_request(self, service: str) -> None:
        """Count the first attempt of a request."""
        self._append_time(self._requests, service)
        self._count(service, REQUESTS)

    def remaining(self, service: str) -> float:
        """Return how many retries of a service this VM may still send.

        Requests and retries of the last ``window_s`` seconds count.

        :returns: the number of retries, which may be fractional or negative.
        """
        requests = self._count_recent(self._requests, service)
        allowed = self._ratio * requests + self._min_retries / self._members
        return USABLE_FRACTION * allowed - self._count_recent(
            self._retries, service
        )

    def try_acquire(self, service: str) -> bool:
        """Take one retry of a service from the allowance.

        :returns: whether the retry may be sent; otherwise it is not counted.
        """
        if self.remaining(service) < 1.0:
            self._count(service, REFUSED)
            return False
        self._append_time(self._retries, service)
        self._count(service, RETRIES)
        return True

    def _count(self, service: str, metric: str) -> None:
        self._counts.setdefault(service, collections.Counter())[metric] += 1

    def _append_time(
        self, counts: dict[str, collections.deque[float]], service: str
    ) -> None:
        counts.setdefault(service, collections.deque()).append(
            self._clock.now()
        )

    def _count_recent(
        self, counts: dict[str, collections.deque[float]], service: str
    ) -> int:
        times = counts.get(service)
        if not times:
            return 0
        oldest = self._clock.now() - self._window_s
        while times and times[0] < oldest:
            times.popleft()
        return len(times)
