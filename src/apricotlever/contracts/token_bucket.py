"""A token bucket that limits a rate.

The bucket holds units, which may be tokens of a model, requests or money.
"""

import math

from .. import clock as clocks

#: The burst of an entry's limits on requests and tokens, in seconds of the
#: rate.
DEFAULT_BURST_S = 2.0


class TokenBucket:
    """Limits a rate over time and allows bursts.

    The level may go below zero: work whose size is known only afterwards is
    charged then, and the debt delays later work.

    :param clock: the source of time.
    :param rate: units per second.
    :param burst: the greatest level, in units.
    :param earned_s: for how long the bucket has been filled already, in
        seconds.
    """

    __slots__ = ("_burst", "_clock", "_level", "_rate", "_refilled_at")

    def __init__(
        self,
        clock: clocks.Clock,
        rate: float,
        burst: float,
        earned_s: float = math.inf,
    ) -> None:
        self._clock = clock
        self._rate = rate
        self._burst = burst
        self._level = min(burst, rate * earned_s) if rate > 0 else burst
        self._refilled_at = clock.now()

    @property
    def rate(self) -> float:
        """Units per second."""
        return self._rate

    @property
    def level(self) -> float:
        """The units that can be taken now; negative while in debt."""
        self._refill()
        return self._level

    def set_rate(self, rate: float, burst: float) -> None:
        """Change the rate and the burst from now on.

        The level stays, but is capped at the new burst.
        """
        self._refill()
        self._rate = rate
        self._burst = burst
        self._level = min(self._level, burst)

    def wait_s(self, units: float, reserved: float = 0.0) -> float:
        """Return the seconds until ``units`` can be taken; inf if never.

        More units than the burst can be taken from a full bucket, because
        they could never be taken otherwise.

        :param units: the units to take.
        :param reserved: units that must be left.
        """
        self._refill()
        missing = min(units, self._burst) + reserved - self._level
        # Without this tolerance, a caller that returns exactly at the promised
        # time could be refused again because of a rounding error.
        if missing <= 1e-9 * max(1.0, self._burst):
            return 0.0
        return missing / self._rate if self._rate > 0 else float("inf")

    def backlog_s(self, units: float) -> float:
        """Return the seconds until ``units`` are taken one after the other.

        Unlike :meth:`wait_s`, it counts units beyond the burst, because they
        belong to several pieces of work that wait for each other. The result
        is inf if the bucket is not refilled.
        """
        missing = units - self.level
        if missing <= 0.0:
            return 0.0
        return missing / self._rate if self._rate > 0 else float("inf")

    def take(self, units: float) -> bool:
        """Take units if they are available now; return whether they were."""
        if self.wait_s(units) > 0.0:
            return False
        self._level -= units
        return True

    def charge(self, units: float) -> None:
        """Take units that were already used, even into debt.

        :param units: the units; a negative number refunds them.
        """
        self._refill()
        self._level = min(self._burst, self._level - units)

    def _refill(self) -> None:
        now = self._clock.now()
        gained = self._rate * (now - self._refilled_at)
        self._level = min(self._burst, self._level + gained)
        self._refilled_at = now
