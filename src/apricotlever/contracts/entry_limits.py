"""This VM's shares of the limits of one catalogue entry.

A catalogue entry may limit the requests in flight, the requests per second,
the tokens per second and the spend per hour of the whole fleet. Each VM
enforces its share of each limit.
"""

import math

from .. import clock as clocks
from . import spend_meter
from . import tickets
from . import token_bucket

#: Time constant of the measured demand, in seconds.
DEMAND_DECAY_S = 5.0


class LimitWait:
    """How long a limit delays a ticket, a request that asks for admission.

    :param seconds: seconds until the ticket can start; inf if the limit is 0
        and lets nothing start.
    :param reason: the reason to refuse the ticket with if it can't wait so
        long.
    :param interval_s: seconds between the starts of two such requests while
        the limit is fully used; 0 for the limit on spend.
    """

    __slots__ = ("seconds", "reason", "interval_s")

    def __init__(
        self, seconds: float, reason: tickets.RefusalReason, interval_s: float
    ) -> None:
        self.seconds = seconds
        self.reason = reason
        self.interval_s = interval_s


class EntryLimits:
    """The limits of one entry on rates, concurrency and spend, and its demand.

    The demand is the recent rate of requests and tokens that callers asked
    for, admitted or not. The VMs split the fleet-wide limits by their demands.

    :param clock: the source of time.
    :param entry: the name of the entry.
    :param spending: the meter of this VM's spend.
    :param earns_since: when this process began to earn its shares, in
        monotonic seconds. What processes before it have used is unknown to it.
    """

    __slots__ = (
        "_clock",
        "_decayed_at",
        "_earns_since",
        "_entry",
        "_held_until",
        "_in_flight",
        "_request_bucket",
        "_requests_demand",
        "_spending",
        "_token_bucket",
        "_tokens_demand",
        "_concurrency",
    )

    def __init__(
        self,
        clock: clocks.Clock,
        entry: str,
        spending: spend_meter.SpendMeter,
        earns_since: float,
    ) -> None:
        self._clock = clock
        self._earns_since = earns_since
        self._entry = entry
        self._spending = spending
        self._request_bucket: token_bucket.TokenBucket | None = None
        self._token_bucket: token_bucket.TokenBucket | None = None
        self._concurrency: int | None = None
        self._in_flight = 0
        #: Until when nothing starts at the latest; None if that is over.
        self._held_until: float | None = None
        self._decayed_at = clock.now()
        self._requests_demand = 0.0
        self._tokens_demand = 0.0

    @property
    def in_flight(self) -> int:
        """The number of admitted requests that have not ended."""
        return self._in_flight

    @property
    def requests_demand(self) -> float:
        """Recent demand in requests per second."""
        self._decay_demand()
        return self._requests_demand

    @property
    def tokens_demand(self) -> float:
        """Recent demand in tokens per second."""
        self._decay_demand()
        return self._tokens_demand

    @property
    def has_request_limit(self) -> bool:
        """Whether the entry has a limit on request rate or concurrency."""
        return (
            self._request_bucket is not None or self._concurrency is not None
        )

    @property
    def has_token_limit(self) -> bool:
        """Whether the entry has a limit on tokens per second."""
        return self._token_bucket is not None

    def hold(self, for_s: float) -> None:
        """Let nothing start until :meth:`set_limits` is called.

        :param for_s: seconds until then at the latest.
        """
        self._held_until = self._clock.now() + for_s

    def set_limits(
        self,
        units: int | None,
        requests_per_s: float | None,
        tokens_per_s: float | None,
        spend_per_hour: float | None,
    ) -> None:
        """Set this VM's shares of the limits; None means no limit.

        :param units: requests that may be in flight.
        :param requests_per_s: requests per second.
        :param tokens_per_s: tokens per second.
        :param spend_per_hour: in the currency of the cloud API's prices.
        """
        self._held_until = None
        self._concurrency = units
        self._request_bucket = self._update_bucket(
            self._request_bucket, requests_per_s
        )
        self._token_bucket = self._update_bucket(
            self._token_bucket, tokens_per_s
        )
        self._spending.set_limit(self._entry, spend_per_hour)

    def record_demand(self, tokens: float) -> None:
        """Add a request to the demand, whether it is admitted or not.

        :param tokens: tokens of the prompt and of the expected answer.
        """
        self._decay_demand()
        self._requests_demand += 1.0 / DEMAND_DECAY_S
        self._tokens_demand += tokens / DEMAND_DECAY_S

    def may_start(self, tokens: float) -> bool:
        """Return whether all limits have room for a request now.

        :param tokens: tokens of the prompt and of the expected answer.
        """
        return (
            self._held_until is None
            and (
                self._concurrency is None
                or self._in_flight < self._concurrency
            )
            and (
                self._request_bucket is None
                or self._request_bucket.wait_s(1.0) <= 0.0
            )
            and (
                self._token_bucket is None
                or self._token_bucket.wait_s(tokens) <= 0.0
            )
            and self._spending.wait_s(self._entry) <= 0.0
        )

    def record_admitted(self, tokens: float) -> None:
        """Charge an admitted request to the limits.

        Its spend is charged by the spend meter when it ends.

        :param tokens: tokens of the prompt and of the expected answer.
        """
        self._in_flight += 1
        if self._request_bucket is not None:
            self._request_bucket.charge(1.0)
        if self._token_bucket is not None:
            self._token_bucket.charge(tokens)

    def record_finished(
        self, charged_tokens: float, actual_tokens: float | None
    ) -> None:
        """Release the concurrency of a request and correct its token charge.

        :param charged_tokens: the tokens charged at its admission.
        :param actual_tokens: the tokens that it used; None if unknown.
        """
        self._in_flight -= 1
        if self._token_bucket is not None and actual_tokens is not None:
            self._token_bucket.charge(actual_tokens - charged_tokens)

    def longest_wait(
        self, requests_ahead: float, tokens: float, mean_hold_s: float
    ) -> LimitWait:
        """Return the wait for the limit that delays a ticket the most.

        :param requests_ahead: queued requests of this entry that are served
            before the ticket.
        :param tokens: the tokens of those requests and of the ticket.
        :param mean_hold_s: mean seconds that a request is in flight.
        """
        reason = tickets.RefusalReason
        waits = [
            LimitWait(self._spending.wait_s(self._entry), reason.SPEND, 0.0)
        ]
        if self._held_until is not None:
            held_s = max(0.0, self._held_until - self._clock.now())
            waits.append(LimitWait(held_s, reason.RATE, 0.0))
        if self._request_bucket is not None:
            seconds = self._request_bucket.backlog_s(requests_ahead + 1.0)
            interval_s = _interval_s(1.0, self._request_bucket.rate)
            waits.append(LimitWait(seconds, reason.RATE, interval_s))
        if self._token_bucket is not None:
            seconds = self._token_bucket.backlog_s(tokens)
            interval_s = _interval_s(tokens, self._token_bucket.rate)
            waits.append(LimitWait(seconds, reason.TOKENS, interval_s))
        if self._concurrency is not None:
            seconds = self._concurrency_wait_s(
                self._concurrency, requests_ahead, mean_hold_s
            )
            interval_s = _interval_s(mean_hold_s, self._concurrency)
            waits.append(LimitWait(seconds, reason.CONCURRENCY, interval_s))
        return max(waits, key=lambda wait: wait.seconds)

    def _concurrency_wait_s(
        self, units: int, ahead: float, mean_hold_s: float
    ) -> float:
        if units <= 0:
            return math.inf
        missing = self._in_flight + ahead + 1.0 - units
        return max(0.0, missing) * mean_hold_s / units

    def _update_bucket(
        self, bucket: token_bucket.TokenBucket | None, rate: float | None
    ) -> token_bucket.TokenBucket | None:
        if rate is None:
            return None
        burst = rate * token_bucket.DEFAULT_BURST_S
        if bucket is None:
            earned_s = self._clock.now() - self._earns_since
            return token_bucket.TokenBucket(self._clock, rate, burst, earned_s)
        bucket.set_rate(rate, burst)
        return bucket

    def _decay_demand(self) -> None:
        now = self._clock.now()
        decay = math.exp(-(now - self._decayed_at) / DEMAND_DECAY_S)
        self._requests_demand *= decay
        self._tokens_demand *= decay
        self._decayed_at = now


def _interval_s(units: float, rate: float) -> float:
    return units / rate if rate > 0 else math.inf
