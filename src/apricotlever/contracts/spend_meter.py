"""Measures what requests cost, by customer and catalogue entry.

A request's cost is the price of the runner time for which it held a slot, the
room for one of the requests that the runner processes concurrently.
"""

from .. import clock as clocks
from . import token_bucket

SECONDS_PER_HOUR = 3600.0
#: The spend that an entry may save up while it has no requests, in seconds of
#: its limit.
BURST_S = 60.0
#: Pairs of customer and entry that have totals of their own. The bound keeps
#: the memory limited.
MAX_TOTALS = 10_000


def request_cost(price_per_hour: float, slots: int, held_s: float) -> float:
    """Return the cost of one request, which held a slot for some time.

    :param price_per_hour: the price of the whole runner.
    :param slots: requests that the runner handles concurrently.
    :param held_s: seconds for which the request held its slot.
    """
    return price_per_hour / SECONDS_PER_HOUR / max(1, slots) * held_s


class SpendTotal:
    """The total that a customer has spent on an entry at this VM.

    :param customer: the customer's name.
    :param entry: the entry's name.
    :param requests: the number of requests.
    :param amount: the sum of their costs, in the currency of the cloud API's
        prices.
    """

    __slots__ = ("customer", "entry", "requests", "amount")

    def __init__(
        self, customer: str, entry: str, requests: int, amount: float
    ) -> None:
        self.customer = customer
        self.entry = entry
        self.requests = requests
        self.amount = amount


class SpendMeter:
    """Adds up costs by customer and entry and enforces limits of entries.

    A limit is a rate per hour: this VM's share of the fleet-wide limit. The
    cost of a request is known only when it ends, so an entry runs into debt
    by at most the cost of its requests in flight, and the debt delays its
    next requests. An entry saves up from the start of the process on.

    :param clock: the source of time.
    """

    __slots__ = ("_buckets", "_clock", "_started_at", "_totals")

    def __init__(self, clock: clocks.Clock) -> None:
        self._clock = clock
        self._started_at = clock.now()
        self._buckets: dict[str, token_bucket.TokenBucket] = {}
        self._totals: dict[tuple[str, str], SpendTotal] = {}

    @property
    def totals(self) -> tuple[SpendTotal, ...]:
        """All totals since the start of the process."""
        return tuple(self._totals.values())

    def set_limit(self, entry: str, per_hour: float | None) -> None:
        """Set this VM's share of an entry's limit on spend.

        :param entry: the entry's name.
        :param per_hour: the share, in the currency of the cloud API's prices
            per hour; None for no limit.
        """
        if per_hour is None:
            self._buckets.pop(entry, None)
            return
        rate = per_hour / SECONDS_PER_HOUR
        bucket = self._buckets.get(entry)
        if bucket is None:
            earned_s = self._clock.now() - self._started_at
            self._buckets[entry] = token_bucket.TokenBucket(
                self._clock, rate, rate * BURST_S, earned_s
            )
        else:
            bucket.set_rate(rate, rate * BURST_S)

    def wait_s(self, entry: str) -> float:
        """Return the seconds until the entry's debt allows its next request.

        :returns: the seconds; 0 without a limit, and inf if a debt is never
            paid off because the limit is 0.
        """
        bucket = self._buckets.get(entry)
        return bucket.wait_s(1e-12) if bucket else 0.0

    def record(self, customer: str, entry: str, amount: float) -> None:
        """Add the cost of a request to its total and charge it to the limit.

        Beyond :data:`MAX_TOTALS` totals, costs of new pairs of customer and
        entry are added up under empty names.
        """
        key = (customer, entry)
        total = self._totals.get(key)
        if total is None and len(self._totals) >= MAX_TOTALS:
            key = ("", "")
            total = self._totals.get(key)
        if total is None:
            total = self._totals[key] = SpendTotal(*key, 0, 0.0)
        total.requests += 1
        total.amount += amount
        bucket = self._buckets.get(entry)
        if bucket is not None:
            bucket.charge(amount)
