"""What requests cost, by customer and entry."""

from .. import clock as clocks
from . import rates

SECONDS_PER_HOUR = 3600.0
#: Spend that idle time can save up, in seconds of the limit.
BURST_S = 60.0
MOST_LINES = 10_000


def cost_of(price_per_hour: float, slots: int, held_s: float) -> float:
    """The cost of one request: a slot of a runner for some time.

    :param price_per_hour: of the whole runner.
    :param slots: requests that the runner runs side by side.
    :param held_s: how long the request kept its slot.
    """
    return price_per_hour / SECONDS_PER_HOUR / max(1, slots) * held_s


class SpendLine:
    """What a customer has spent on an entry.

    :param amount: in the currency of the cloud API's prices.
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
    """Adds up costs by customer and entry and holds entries to a limit.

    A limit is a rate per hour, for this VM's share of the fleet's. The cost
    of a request is known when it ends, so an entry runs into debt by at most
    what its requests in flight cost, and then pays that debt off.
    """

    __slots__ = ("_buckets", "_clock", "_lines")

    def __init__(self, clock: clocks.Clock) -> None:
        self._clock = clock
        self._buckets: dict[str, rates.TokenBucket] = {}
        self._lines: dict[tuple[str, str], SpendLine] = {}

    @property
    def lines(self) -> tuple[SpendLine, ...]:
        """All sums since the start of the process."""
        return tuple(self._lines.values())

    def set_limit(self, entry: str, per_hour: float | None) -> None:
        """Set an entry's limit on this VM; None takes it away."""
        if per_hour is None:
            self._buckets.pop(entry, None)
            return
        rate = per_hour / SECONDS_PER_HOUR
        bucket = self._buckets.get(entry)
        if bucket is None:
            self._buckets[entry] = rates.TokenBucket(
                self._clock, rate, rate * BURST_S
            )
        else:
            bucket.set_rate(rate, rate * BURST_S)

    def wait_s(self, entry: str) -> float:
        """Seconds until the entry may spend again; inf when never."""
        bucket = self._buckets.get(entry)
        return bucket.wait_s(1e-12) if bucket else 0.0

    def spent(self, customer: str, entry: str, amount: float) -> None:
        """Count the cost of a request that ended."""
        key = (customer, entry)
        line = self._lines.get(key)
        if line is None and len(self._lines) >= MOST_LINES:
            key = ("", "")
            line = self._lines.get(key)
        if line is None:
            line = self._lines[key] = SpendLine(*key, 0, 0.0)
        line.requests += 1
        line.amount += amount
        bucket = self._buckets.get(entry)
        if bucket is not None:
            bucket.charge(amount)
