"""Finds customers that use more than their fair share of a service.

What all customers have sent in the last seconds, less what still waits at the
runners, is what the runners could take. The fair share of a customer is its
weighted max-min share of that: customers that sent less than their part leave
the rest to the others.
"""

import collections
import typing

from .. import clock as clocks

#: Seconds over which what customers sent is summed.
WINDOW_S = 5.0
#: Length of the periods that the window consists of, in seconds.
PERIOD_S = 0.5
#: A customer is over its share from this multiple of it on. In a few seconds,
#: the tokens of a steady customer with few calls vary by about a half.
TOLERANCE = 1.5
#: Upper limits of one report of a peer; larger values are ignored.
MAX_REPORT_CALLS = 1_000_000
MAX_REPORT_TOKENS = 10**11
#: Number of counts in a report: calls and tokens.
REPORT_COUNTS = 2


class CustomerDemand:
    """What one customer has sent to a service in the window.

    :param calls: number of calls.
    :param tokens: number of prompt tokens.
    """

    __slots__ = ("calls", "tokens")

    def __init__(self, calls: int = 0, tokens: int = 0) -> None:
        self.calls = calls
        self.tokens = tokens


class DemandShares:
    """The demand for one service by customer, and the fair shares of it.

    :param clock: the source of time.
    """

    __slots__ = ("_clock", "_over", "_periods", "_shares")

    def __init__(self, clock: clocks.Clock) -> None:
        self._clock = clock
        #: Start and counts of each period, the oldest first.
        self._periods: collections.deque[
            tuple[float, dict[str, CustomerDemand]]
        ] = collections.deque()
        self._shares: dict[str, float] = {}
        self._over: frozenset[str] = frozenset()

    @property
    def shares(self) -> typing.Mapping[str, float]:
        """Tokens that each customer may use in the window, by name.

        They are those of the last update; empty before the first one.
        """
        return self._shares

    @property
    def over(self) -> frozenset[str]:
        """Customers over their share at the last update."""
        return self._over

    def add(self, customer: str, calls: int, tokens: int) -> None:
        """Count calls that a customer has sent through some VM."""
        now = self._clock.now()
        if not self._periods or now - self._periods[-1][0] >= PERIOD_S:
            self._drop_expired()
            self._periods.append((now, {}))
        demand = self._periods[-1][1].setdefault(customer, CustomerDemand())
        demand.calls += calls
        demand.tokens += tokens

    def merge(self, customer: str, counts: typing.Sequence[int]) -> bool:
        """Add the counts of other VMs.

        :returns: whether they were valid.
        """
        if len(counts) != REPORT_COUNTS:
            return False
        calls, tokens = counts
        if not 0 <= calls <= MAX_REPORT_CALLS:
            return False
        if not 0 <= tokens <= MAX_REPORT_TOKENS:
            return False
        self.add(customer, calls, tokens)
        return True

    def demands(self) -> dict[str, CustomerDemand]:
        """What each customer has sent in the window."""
        self._drop_expired()
        sums: dict[str, CustomerDemand] = {}
        for _, by_customer in self._periods:
            for customer, demand in by_customer.items():
                total = sums.setdefault(customer, CustomerDemand())
                total.calls += demand.calls
                total.tokens += demand.tokens
        return sums

    def _drop_expired(self) -> None:
        since = self._clock.now() - WINDOW_S
        while self._periods and self._periods[0][0] < since:
            self._periods.popleft()

    def update(
        self, waiting_tokens: int, weights: typing.Mapping[str, float]
    ) -> None:
        """Compute the shares, and who is over its share.

        :param waiting_tokens: tokens of all VMs that wait at the runners.
        :param weights: by customer; 1.0 for those missing.
        """
        tokens = {
            customer: float(demand.tokens)
            for customer, demand in self.demands().items()
        }
        taken = max(0.0, sum(tokens.values()) - waiting_tokens)
        self._shares = max_min_shares(tokens, weights, taken)
        # When all send more than the runners can take, nobody is over: a
        # customer must also exceed its part of what all have sent.
        part = sum(tokens.values()) / max(
            1e-9, sum(weights.get(customer) or 1.0 for customer in tokens)
        )
        self._over = frozenset(
            customer
            for customer, used in tokens.items()
            if used
            > TOLERANCE
            * max(
                self._shares[customer], part * (weights.get(customer) or 1.0)
            )
        )


def max_min_shares(
    demands: typing.Mapping[str, float],
    weights: typing.Mapping[str, float],
    capacity: float,
) -> dict[str, float]:
    """The weighted max-min shares of a capacity.

    :param demands: by customer, in the unit of the capacity.
    :param weights: by customer; 1.0 for those missing.
    :returns: the limit of each customer: its weight times one level for all,
        which is the highest at which the demands below their limits and the
        limits of the others fit into the capacity.
    """
    weight = {name: weights.get(name) or 1.0 for name in demands}
    left, weight_left = capacity, sum(weight.values())
    level = float("inf")
    for name in sorted(demands, key=lambda name: demands[name] / weight[name]):
        if demands[name] * weight_left > left * weight[name]:
            level = left / weight_left
            break
        left -= demands[name]
        weight_left -= weight[name]
    return {name: weight[name] * level for name in demands}
