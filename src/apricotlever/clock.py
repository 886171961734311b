"""Clocks, passed as arguments to all code that depends on time.

Code that depends on time does not read the system's clock directly, so a test
or a benchmark can run thousands of instances on a simulated clock.
"""

import time
import typing


class Clock(typing.Protocol):
    """The interface of the clocks that time-dependent code is given."""

    def now(self) -> float:
        """Monotonic time in seconds since an arbitrary origin."""

    def wall(self) -> float:
        """Seconds since the Unix epoch; may jump forwards or backwards."""


class SystemClock:
    """The clock of the operating system."""

    __slots__ = ()

    def now(self) -> float:
        """Monotonic time in seconds, including time spent suspended."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)

    def wall(self) -> float:
        """Seconds since the Unix epoch."""
        return time.time()


class ManualClock:
    """A simulated clock that moves only by :meth:`advance`.

    :param start: the initial reading in seconds.
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
        """Move the clock forward.

        :param seconds: the time to add, not negative.
        :returns: the new reading in seconds.
        """
        self._now += seconds
        return self._now
