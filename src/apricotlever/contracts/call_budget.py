"""Each VM's share of the call rate that the object API gives the fleet.

The object API's rate grows more slowly than the fleet, so a VM's share
shrinks as VMs join. Within the share, a call of low rank must leave tokens
for calls of higher rank. Pure: the caller brings the clock and sleeps
itself.
"""

import enum

from .. import clock as clocks

BURST_S = 2.0
FLEET_SIZE_UNKNOWN = 100
SHRINK_HOLD_S = 300.0
THROTTLED_FACTOR = 0.5
FACTOR_MIN = 0.05
FACTOR_RECOVERY_PER_S = 0.05


class Rank(enum.IntEnum):
    """Who goes first when calls are short; the lowest number does."""

    CLAIM = 0
    LEASE = 1
    CATALOGUE = 2
    STATUS = 3


class Kind(enum.Enum):
    """Reads and writes have rates of their own."""

    READ = "read"
    WRITE = "write"


class _Bucket:
    """A token bucket whose last tokens are kept for the higher ranks."""

    __slots__ = ("_total_per_s", "_tokens", "_at", "_closed_until", "_factor")

    def __init__(self, total_per_s: float, now: float) -> None:
        self._total_per_s = total_per_s
        self._tokens = float("inf")
        self._at = now
        self._closed_until = now
        self._factor = 1.0

    def rate(self, fleet_size: int) -> float:
        """Tokens per second for one VM of the fleet."""
        return self._total_per_s * self._factor / fleet_size

    def refill(self, now: float, fleet_size: int) -> None:
        """Add what has grown since the last call."""
        grown_s = max(0.0, now - max(self._at, self._closed_until))
        recovered = self._factor + grown_s * FACTOR_RECOVERY_PER_S
        self._factor = min(1.0, recovered)
        grown = grown_s * self.rate(fleet_size)
        self._tokens = min(_depth(self, fleet_size), self._tokens + grown)
        self._at = max(self._at, now)

    def take(self, rank: Rank, fleet_size: int) -> bool:
        """Spend a token if the rank may."""
        if self._missing(rank, fleet_size) > 0:
            return False
        self._tokens -= 1
        return True

    def wait_s(self, rank: Rank, now: float, fleet_size: int) -> float:
        """Seconds until the rank may spend, if nobody else does."""
        missing = self._missing(rank, fleet_size)
        if missing <= 0:
            return 0.0
        closed_s = max(0.0, self._closed_until - now)
        return closed_s + missing / self.rate(fleet_size)

    def close(self, until: float) -> None:
        """Spend all, grow again from a time on, and more slowly."""
        self._tokens = 0.0
        self._closed_until = max(self._closed_until, until)
        self._factor = max(FACTOR_MIN, self._factor * THROTTLED_FACTOR)

    def _missing(self, rank: Rank, fleet_size: int) -> float:
        reserved = rank * _depth(self, fleet_size) / len(Rank)
        return reserved + 1.0 - self._tokens


class CallBudget:
    """When this VM may call the object API.

    :param clock: the source of time.
    :param reads_per_s: the rate for the whole fleet.
    :param writes_per_s: the rate for the whole fleet.
    """

    __slots__ = ("_clock", "_buckets", "_size", "_reported", "_shrinks_at")

    def __init__(
        self, clock: clocks.Clock, reads_per_s: float, writes_per_s: float
    ) -> None:
        now = clock.now()
        self._clock = clock
        self._buckets = {
            Kind.READ: _Bucket(reads_per_s, now),
            Kind.WRITE: _Bucket(writes_per_s, now),
        }
        self._size = FLEET_SIZE_UNKNOWN
        self._reported = 0
        self._shrinks_at = now

    @property
    def fleet_size(self) -> int:
        """The number of VMs that the rates are split over."""
        if self._clock.now() >= self._shrinks_at and self._reported:
            self._size = self._reported
        return self._size

    def configure(self, fleet_size: int) -> None:
        """Take note of how many entry VMs the view holds.

        A larger fleet counts at once. A smaller one counts only after it
        stayed so: when regions lose each other, each sees the other's VMs
        vanish and would take over their shares while those still spend
        them. The store would meet twice its rate, seen as throttling
        everywhere, just when leases have to move.

        :param fleet_size: live VMs in the view, this one included.
        """
        size = max(1, fleet_size)
        first = self._reported == 0
        if first or size >= self.fleet_size:
            self._size = size
            self._shrinks_at = self._clock.now() + SHRINK_HOLD_S
        self._reported = size

    def allow(self, rank: Rank, kind: Kind = Kind.WRITE) -> bool:
        """Spend one call if the rank may.

        A watch spends one read when it starts and one at each renewal.

        :returns: whether the call may be made now.
        """
        bucket = self._refilled(kind)
        return bucket.take(rank, self._size)

    def wait_s(self, rank: Rank, kind: Kind = Kind.WRITE) -> float:
        """Seconds until :meth:`allow` may say yes; spends nothing."""
        bucket = self._refilled(kind)
        return bucket.wait_s(rank, self._clock.now(), self._size)

    def throttled(self, kind: Kind, retry_after_s: float) -> None:
        """The object API refused a call for its rate.

        Somebody spends more than the shares allow for. Going on at the
        same rate would keep everyone's claims refused, so the share is
        halved, and it recovers while nothing more is refused.
        """
        self._refilled(kind).close(self._clock.now() + retry_after_s)

    def _refilled(self, kind: Kind) -> _Bucket:
        bucket = self._buckets[kind]
        bucket.refill(self._clock.now(), self.fleet_size)
        return bucket


def _depth(bucket: _Bucket, fleet_size: int) -> float:
    """Tokens that a bucket holds: one for each rank at the least."""
    return max(float(len(Rank)), bucket.rate(fleet_size) * BURST_S)
