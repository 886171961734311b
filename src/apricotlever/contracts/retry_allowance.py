"""A fleet-wide limit on retries that each VM enforces on its own.

In no time window may the fleet make more retries than a fraction of its
requests and a fixed number. Requests and retries are counted by service.

Each VM earns parts of a retry: a fraction of one by each request that it
counts itself, and its share of the fixed number as time passes. It may save
some of that up. What all VMs send in a window is at most what they had saved
when it began and what they have earned in it, whoever started, ended or was
cut off meanwhile: a process begins with nothing, so it need not know what the
one before it has sent, and a request earns at one VM only. See
docs/design/retries.md.
"""

import collections

from .. import clock as clocks
from .. import logs

#: The fraction of the limit that is used. The rest covers retries that arrive
#: together though they were sent apart, and news of further VMs under way.
USABLE_FRACTION = 0.9
#: The fraction of what a window allows that may have been saved up when it
#: begins. What is left is earned in the window.
SAVED_FRACTION = 0.5
#: Sums of fractions of a retry may miss a whole one by so much.
TOLERANCE = 1e-9

#: Names of the totals by service, as metrics.
REQUESTS = "retry_requests_total"
RETRIES = "retries_total"
REFUSED = "retries_refused_total"


class _Account:
    """The requests of one service, and what its retries may take.

    :param accrued: the VM's share of the fixed number, as accrued so far.
    """

    __slots__ = ("accrued", "counts", "requests", "saved")

    def __init__(self, accrued: float) -> None:
        self.accrued = accrued
        #: Retries that may be sent now; a fraction counts, too.
        self.saved = 0.0
        #: Times of the requests of the last window.
        self.requests: collections.deque[float] = collections.deque()
        #: Totals since the start of this process, by metric.
        self.counts: collections.Counter[str] = collections.Counter()


class RetryAllowance:
    """One VM's allowance of retries, for each service.

    :param clock: the source of time.
    :param ratio: retries allowed per request.
    :param min_retries: retries that the whole fleet may send in a window in
        addition.
    :param window_s: the length of the sliding window in seconds.
    """

    __slots__ = (
        "_accounts",
        "_accrued",
        "_advanced_at",
        "_clock",
        "_fleet_size",
        "_fleet_size_since",
        "_min_retries",
        "_ratio",
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
        self._ratio = USABLE_FRACTION * ratio
        self._min_retries = USABLE_FRACTION * min_retries
        self._window_s = window_s
        self._fleet_size: int | None = None
        self._fleet_size_since = clock.now()
        self._accounts: dict[str, _Account] = {}
        #: This VM's share of the fixed number since the start of this
        #: process, as far as it isn't for saving.
        self._accrued = 0.0
        self._advanced_at = clock.now()

    @property
    def gauges(self) -> dict[str, float]:
        """How many VMs share the fixed number, and for how long, by metric.

        The number is 0 while it is unknown.
        """
        return {
            "retry_fleet_size": self._fleet_size or 0,
            "retry_fleet_size_age_s": (
                self._clock.now() - self._fleet_size_since
            ),
        }

    @property
    def counts(self) -> dict[str, dict[str, float]]:
        """Totals since the start of this process, by metric and service."""
        return {
            metric: {
                service: account.counts[metric]
                for service, account in self._accounts.items()
            }
            for metric in (REQUESTS, RETRIES, REFUSED)
        }

    def set_fleet_size(self, size: int | None) -> None:
        """Set how many VMs share the fixed number of retries.

        :param size: the number of VMs that may be sending retries, this one
            included; None while it is unknown: then requests alone earn any.
        """
        if size == self._fleet_size:
            return
        self._advance()
        self._fleet_size = size
        self._fleet_size_since = self._clock.now()
        logs.event("retry_share", fleet_size=size, share=self._share)

    def record_request(self, service: str) -> None:
        """Count a request before its first attempt."""
        account = self._update(service)
        account.requests.append(self._clock.now())
        account.saved += (1.0 - SAVED_FRACTION) * self._ratio
        account.counts[REQUESTS] += 1

    def remaining(self, service: str) -> float:
        """Return how many retries of a service this VM may send now.

        :returns: the number of retries, which may be fractional.
        """
        return self._update(service).saved

    def may_retry(self, service: str) -> bool:
        """Whether one retry of a service may be sent now."""
        return self.remaining(service) >= 1.0 - TOLERANCE

    def try_acquire(self, service: str) -> bool:
        """Take one retry of a service from the allowance.

        :returns: whether the retry may be sent; otherwise it is not counted.
        """
        account = self._update(service)
        if not self.may_retry(service):
            account.counts[REFUSED] += 1
            return False
        account.saved -= 1.0
        account.counts[RETRIES] += 1
        return True

    @property
    def _share(self) -> float:
        """This VM's share of the fixed number of retries in a window."""
        if self._fleet_size is None:
            return 0.0
        return self._min_retries / max(1, self._fleet_size)

    def _advance(self) -> None:
        """Accrue what the time since the last call has earned."""
        now = self._clock.now()
        elapsed_s, self._advanced_at = now - self._advanced_at, now
        earned = (1.0 - SAVED_FRACTION) * self._share
        self._accrued += earned * elapsed_s / self._window_s

    def _update(self, service: str) -> _Account:
        """Bring an account up to date and return it."""
        self._advance()
        account = self._accounts.get(service)
        if account is None:
            account = self._accounts[service] = _Account(0.0)
        oldest = self._clock.now() - self._window_s
        requests = account.requests
        while requests and requests[0] < oldest:
            requests.popleft()
        account.saved += self._accrued - account.accrued
        account.accrued = self._accrued
        most = SAVED_FRACTION * (self._ratio * len(requests) + self._share)
        account.saved = min(account.saved, most)
        return account
