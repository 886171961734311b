"""Sources of time, passed in wherever a decision depends on it.

No decision reads the system's clock itself, so a test or a benchmark can
drive thousands of instances on a clock of its own.
"""

import time
import typing


class Clock(typing.Protocol):
    """What a decision needs to know about time."""

    def now(self) -> float:
        """Monotonic time in seconds; the origin is arbitrary."""

    def wall(self) -> float:
        """Seconds since the Unix epoch; it may jump either way."""


class SystemClock:
    """The clock of the running machine."""

    __slots__ = ()

    def now(self) -> float:
        """Monotonic time in seconds, counted while suspended too."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)

    def wall(self) -> float:
        """Seconds since the Unix epoch."""
        return time.time()


class ManualClock:
    """A clock that moves only when told to.

    :param start: the first reading in seconds.
    """

    __slots__ = ("_now",)

    def __init__(self, start: float = 1000.0) -> None:
        self._now = start

    def now(self) -> float:
        """The current reading in seconds."""
        return self._now

    def wall(self) -> float:
        """The same reading as :meth:`now`."""
        return self._now

    def advance(self, seconds: float) -> float:
        """Move forward.

        :param seconds: how far, not negative.
        :returns: the new reading.
        """
        self._now += seconds
        return self._now
