"""The limits of one catalogue entry, on this VM."""

import math

from .. import clock as clocks
from . import rates
from . import spend
from . import tickets

#: How fast the measured demand follows the real one.
DEMAND_S = 5.0


class Wait:
    """How long a limit holds a ticket back.

    :param seconds: inf when it can't be told.
    :param step_s: how much later another such request could start.
    """

    __slots__ = ("seconds", "reason", "step_s")

    def __init__(
        self, seconds: float, reason: tickets.Reason, step_s: float
    ) -> None:
        self.seconds = seconds
        self.reason = reason
        self.step_s = step_s


class EntryLimits:
    """Rates, concurrency and spend of one entry, and the demand for it.

    :param spending: the meter of this VM's spend.
    """

    __slots__ = (
        "_clock",
        "_demand_at",
        "_entry",
        "_in_flight",
        "_requests",
        "_requests_demand",
        "_spending",
        "_tokens",
        "_tokens_demand",
        "_units",
    )

    def __init__(
        self, clock: clocks.Clock, entry: str, spending: spend.SpendMeter
    ) -> None:
        self._clock = clock
        self._entry = entry
        self._spending = spending
        self._requests: rates.TokenBucket | None = None
        self._tokens: rates.TokenBucket | None = None
        self._units: int | None = None
        self._in_flight = 0
        self._demand_at = clock.now()
        self._requests_demand = 0.0
        self._tokens_demand = 0.0

    @property
    def in_flight(self) -> int:
        """Requests of the entry that were admitted and have not ended."""
        return self._in_flight

    @property
    def requests_demand(self) -> float:
        """Requests offered per second, lately."""
        self._age_demand()
        return self._requests_demand

    @property
    def tokens_demand(self) -> float:
        """Tokens offered per second, lately."""
        self._age_demand()
        return self._tokens_demand

    @property
    def limits_requests(self) -> bool:
        """Whether the number of requests matters."""
        return self._requests is not None or self._units is not None

    @property
    def limits_tokens(self) -> bool:
        """Whether the number of tokens matters."""
        return self._tokens is not None

    def set_limits(
        self,
        units: int | None,
        requests_per_s: float | None,
        tokens_per_s: float | None,
        spend_per_hour: float | None,
    ) -> None:
        """Take over this VM's shares of the limits; None is no limit."""
        self._units = units
        self._requests = self._bucket(self._requests, requests_per_s)
        self._tokens = self._bucket(self._tokens, tokens_per_s)
        self._spending.set_limit(self._entry, spend_per_hour)

    def offered(self, tokens: float) -> None:
        """Count a request towards the demand, admitted or not."""
        self._age_demand()
        self._requests_demand += 1.0 / DEMAND_S
        self._tokens_demand += tokens / DEMAND_S

    def may_start(self, tokens: float) -> bool:
        """Whether a request may be admitted now."""
        return (
            (self._units is None or self._in_flight < self._units)
            and (self._requests is None or self._requests.wait_s(1.0) <= 0.0)
            and (self._tokens is None or self._tokens.wait_s(tokens) <= 0.0)
            and self._spending.wait_s(self._entry) <= 0.0
        )

    def started(self, tokens: float) -> None:
        """Count a request that was admitted."""
        self._in_flight += 1
        if self._requests is not None:
            self._requests.charge(1.0)
        if self._tokens is not None:
            self._tokens.charge(tokens)

    def finished(self, counted: float, used: float | None) -> None:
        """Count a request that ended.

        :param counted: the tokens that it was admitted for.
        :param used: the tokens that it really took, None when not known.
        """
        self._in_flight -= 1
        if self._tokens is not None and used is not None:
            self._tokens.charge(used - counted)

    def wait(
        self, requests_ahead: float, tokens: float, hold_s: float
    ) -> Wait:
        """The limit that holds a ticket back longest, and how long.

        :param requests_ahead: of this entry, served before it.
        :param tokens: of those requests and of its own.
        :param hold_s: how long a request is in flight, on average.
        """
        reason = tickets.Reason
        waits = [Wait(self._spending.wait_s(self._entry), reason.SPEND, 0.0)]
        if self._requests is not None:
            seconds = self._requests.backlog_s(requests_ahead + 1.0)
            step_s = _seconds(1.0, self._requests.rate)
            waits.append(Wait(seconds, reason.RATE, step_s))
        if self._tokens is not None:
            seconds = self._tokens.backlog_s(tokens)
            step_s = _seconds(tokens, self._tokens.rate)
            waits.append(Wait(seconds, reason.TOKENS, step_s))
        if self._units is not None:
            seconds = self._unit_wait_s(self._units, requests_ahead, hold_s)
            step_s = _seconds(hold_s, self._units)
            waits.append(Wait(seconds, reason.CONCURRENCY, step_s))
        return max(waits, key=lambda wait: wait.seconds)

    def _unit_wait_s(self, units: int, ahead: float, hold_s: float) -> float:
        if units <= 0:
            return math.inf
        missing = self._in_flight + ahead + 1.0 - units
        return max(0.0, missing) * hold_s / units

    def _bucket(
        self, bucket: rates.TokenBucket | None, rate: float | None
    ) -> rates.TokenBucket | None:
        if rate is None:
            return None
        burst = rate * rates.BURST_S
        if bucket is None:
            return rates.TokenBucket(self._clock, rate, burst)
        bucket.set_rate(rate, burst)
        return bucket

    def _age_demand(self) -> None:
        now = self._clock.now()
        left = math.exp(-(now - self._demand_at) / DEMAND_S)
        self._requests_demand *= left
        self._tokens_demand *= left
        self._demand_at = now


def _seconds(units: float, rate: float) -> float:
    return units / rate if rate > 0 else math.inf
