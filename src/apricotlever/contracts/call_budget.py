"""Each VM's share of the call rate that the object API allows the fleet.

The object API is the store that all VMs of the fleet use. Each VM gets an
equal share of its rates. The rates grow more slowly than the fleet, so the
share shrinks as VMs join. Within the share, a call of lower priority must
leave tokens for calls of higher priority. This module does no I/O: the caller
passes the clock and does the waiting.
"""

import enum

from .. import clock as clocks

#: The size of a bucket, in seconds of this VM's share of the rate.
BURST_S = 2.0
#: Fleet size assumed until the first membership view.
INITIAL_FLEET_SIZE = 100
#: Seconds for which a smaller fleet size must last before it applies.
SHRINK_HOLD_S = 300.0
#: Each refusal because of the rate multiplies the VM's rate by this factor,
#: down to MIN_FACTOR of its share. The factor then recovers linearly to 1.
THROTTLE_FACTOR = 0.5
MIN_FACTOR = 0.05
FACTOR_RECOVERY_PER_S = 0.05


class CallPriority(enum.IntEnum):
    """The priority of a call to the object API; the lowest number goes first.

    Each priority is named after what the call reads or writes.
    """

    CLAIM = 0
    LEASE = 1
    CATALOGUE = 2
    STATUS = 3


class CallKind(enum.Enum):
    """The kind of a call; reads and writes have separate rates."""

    READ = "read"
    WRITE = "write"


class _PriorityBucket:
    """A token bucket whose last tokens are reserved for higher priorities.

    Each call takes one token. A call may take one only if a quarter of the
    bucket remains for each higher priority. The rate falls when the object API
    throttles calls, and recovers with time.

    :param fleet_rate_per_s: the rate of the whole fleet, in calls per second.
    :param now: monotonic time in seconds.
    """

    __slots__ = (
        "_fleet_rate_per_s",
        "_tokens",
        "_refilled_at",
        "_paused_until",
        "_factor",
    )

    def __init__(self, fleet_rate_per_s: float, now: float) -> None:
        self._fleet_rate_per_s = fleet_rate_per_s
        self._tokens = float("inf")
        self._refilled_at = now
        self._paused_until = now
        self._factor = 1.0

    def rate(self, fleet_size: int) -> float:
        """Return the tokens per second for one VM of the fleet."""
        return self._fleet_rate_per_s * self._factor / fleet_size

    def refill(self, now: float, fleet_size: int) -> None:
        """Add the tokens gained since the last call and recover the rate."""
        elapsed_s = max(0.0, now - max(self._refilled_at, self._paused_until))
        recovered = self._factor + elapsed_s * FACTOR_RECOVERY_PER_S
        self._factor = min(1.0, recovered)
        gained = elapsed_s * self.rate(fleet_size)
        self._tokens = min(_depth(self, fleet_size), self._tokens + gained)
        self._refilled_at = max(self._refilled_at, now)

    def take(self, priority: CallPriority, fleet_size: int) -> bool:
        """Take a token for a call of this priority.

        :returns: whether there was a token besides those reserved for higher
            priorities.
        """
        if self._missing(priority, fleet_size) > 0:
            return False
        self._tokens -= 1
        return True

    def wait_s(
        self, priority: CallPriority, now: float, fleet_size: int
    ) -> float:
        """Return the seconds until a call of this priority may take a token.

        The result assumes that no other call takes a token meanwhile.
        """
        missing = self._missing(priority, fleet_size)
        if missing <= 0:
            return 0.0
        paused_s = max(0.0, self._paused_until - now)
        return paused_s + missing / self.rate(fleet_size)

    def pause(self, until: float) -> None:
        """Drop all tokens, pause the refill and reduce its rate.

        :param until: monotonic time in seconds at which the refill resumes.
        """
        self._tokens = 0.0
        self._paused_until = max(self._paused_until, until)
        self._factor = max(MIN_FACTOR, self._factor * THROTTLE_FACTOR)

    def _missing(self, priority: CallPriority, fleet_size: int) -> float:
        reserved = priority * _depth(self, fleet_size) / len(CallPriority)
        return reserved + 1.0 - self._tokens


class CallBudget:
    """Limits this VM's calls to the object API.

    :param clock: the source of time.
    :param reads_per_s: reads per second for the whole fleet.
    :param writes_per_s: writes per second for the whole fleet.
    """

    __slots__ = (
        "_clock",
        "_buckets",
        "_fleet_size",
        "_reported_size",
        "_shrinks_at",
    )

    def __init__(
        self, clock: clocks.Clock, reads_per_s: float, writes_per_s: float
    ) -> None:
        now = clock.now()
        self._clock = clock
        self._buckets = {
            CallKind.READ: _PriorityBucket(reads_per_s, now),
            CallKind.WRITE: _PriorityBucket(writes_per_s, now),
        }
        self._fleet_size = INITIAL_FLEET_SIZE
        self._reported_size = 0
        self._shrinks_at = now

    @property
    def fleet_size(self) -> int:
        """The number of VMs that the rates are split over."""
        if self._clock.now() >= self._shrinks_at and self._reported_size:
            self._fleet_size = self._reported_size
        return self._fleet_size

    def set_fleet_size(self, fleet_size: int) -> None:
        """Set how many entry VMs the membership view holds.

        A larger fleet applies at once. A smaller one applies only after it
        has lasted for :data:`SHRINK_HOLD_S`. When regions lose contact, each
        sees the other's VMs disappear and would take over their shares while
        those VMs still use them. The store would receive twice its rate and
        throttle everyone, just when leases have to move.

        :param fleet_size: live VMs in the view, this one included.
        """
        size = max(1, fleet_size)
        is_first = self._reported_size == 0
        if is_first or size >= self.fleet_size:
            self._fleet_size = size
            self._shrinks_at = self._clock.now() + SHRINK_HOLD_S
        self._reported_size = size

    def try_acquire(
        self, priority: CallPriority, kind: CallKind = CallKind.WRITE
    ) -> bool:
        """Take a token for one call, unless it is kept for higher priorities.

        A watch takes one read when it starts and one at each renewal.

        :returns: whether the call may be made now.
        """
        bucket = self._refilled(kind)
        return bucket.take(priority, self._fleet_size)

    def wait_s(
        self, priority: CallPriority, kind: CallKind = CallKind.WRITE
    ) -> float:
        """Return the seconds until :meth:`try_acquire` may succeed.

        No token is taken.
        """
        bucket = self._refilled(kind)
        return bucket.wait_s(priority, self._clock.now(), self._fleet_size)

    def record_throttling(self, kind: CallKind, retry_after_s: float) -> None:
        """Note that the object API refused a call because of its rate.

        Some client uses more than its share. At an unchanged rate, all
        claims would stay refused, so this VM's share is halved. It recovers
        while no further call is refused.

        :param kind: the kind of the refused call.
        :param retry_after_s: seconds for which no call of that kind may be
            made.
        """
        self._refilled(kind).pause(self._clock.now() + retry_after_s)

    def _refilled(self, kind: CallKind) -> _PriorityBucket:
        bucket = self._buckets[kind]
        bucket.refill(self._clock.now(), self.fleet_size)
        return bucket


def _depth(bucket: _PriorityBucket, fleet_size: int) -> float:
    """Return the size of a bucket: at least one token per priority."""
    return max(float(len(CallPriority)), bucket.rate(fleet_size) * BURST_S)
