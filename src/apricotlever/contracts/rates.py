"""Token buckets."""

from .. import clock as clocks

BURST_S = 2.0


class TokenBucket:
    """Allows a rate over time and a burst on top.

    The level may go below zero: work whose size is known only afterwards is
    charged then, and the debt delays what comes next.

    :param rate: units per second.
    :param burst: the most units that idle time can save up.
    """

    __slots__ = ("_burst", "_clock", "_level", "_rate", "_read_at")

    def __init__(self, clock: clocks.Clock, rate: float, burst: float) -> None:
        self._clock = clock
        self._rate = rate
        self._burst = burst
        self._level = burst
        self._read_at = clock.now()

    @property
    def rate(self) -> float:
        """Units per second."""
        return self._rate

    @property
    def level(self) -> float:
        """Units that can be taken now; below zero in debt."""
        self._refill()
        return self._level

    def set_rate(self, rate: float, burst: float) -> None:
        """Change the rate from now on; what was saved or owed stays.

        A bucket that shrinks keeps no more than its new size.
        """
        self._refill()
        self._rate = rate
        self._burst = burst
        self._level = min(self._level, burst)

    def wait_s(self, units: float) -> float:
        """Seconds until ``units`` can be taken; inf when never.

        More than a whole burst can be taken from a full bucket, or it could
        never be taken at all.
        """
        self._refill()
        missing = min(units, self._burst) - self._level
        # A level that is short by a rounding error would make a caller who
        # comes back exactly at the promised time wait once more.
        if missing <= 1e-9 * max(1.0, self._burst):
            return 0.0
        return missing / self._rate if self._rate > 0 else float("inf")

    def backlog_s(self, units: float) -> float:
        """Seconds until ``units`` have been taken one after the other."""
        missing = units - self.level
        if missing <= 0.0:
            return 0.0
        return missing / self._rate if self._rate > 0 else float("inf")

    def take(self, units: float) -> bool:
        """Take units if they are there now."""
        if self.wait_s(units) > 0.0:
            return False
        self._level -= units
        return True

    def charge(self, units: float) -> None:
        """Take units that have been used already, or give back some.

        :param units: negative to give back.
        """
        self._refill()
        self._level = min(self._burst, self._level - units)

    def _refill(self) -> None:
        now = self._clock.now()
        gained = self._rate * (now - self._read_at)
        self._level = min(self._burst, self._level + gained)
        self._read_at = now
