"""Notices that a process stood still, which spoils its observations.

Timeouts of a process that was suspended, or had no processor, are its own.
"""

import enum

from .. import clock as clocks

#: Time between two ticks, in seconds, above which the process stood still.
STALL_S = 0.6
#: The same, above which it counts as suspended.
SUSPENSION_S = 1.0
#: For so long after a pause, in seconds, what fails may be due to it.
AFTER_PAUSE_S = 0.1


class Pause(enum.Enum):
    """How a process was kept from running."""

    NONE = "none"
    STALL = "stall"
    SUSPENSION = "suspension"


class ProcessPauses:
    """Notices pauses between ticks, once each. Ticks come every 0.1 s."""

    __slots__ = ("_clock", "_ended_at", "_ticked_at")

    def __init__(self, clock: clocks.Clock) -> None:
        self._clock = clock
        self._ended_at = float("-inf")
        self._ticked_at: float | None = None

    @property
    def just_ended(self) -> bool:
        """Whether what fails now may be due to a pause."""
        return self._clock.now() - self._ended_at < AFTER_PAUSE_S

    def tick(self) -> None:
        """Record that the process runs."""
        self._ticked_at = self._clock.now()

    def check(self) -> Pause:
        """The pause that ends now; none before the first tick."""
        now, last = self._clock.now(), self._ticked_at
        if last is None or now - last <= STALL_S:
            return Pause.NONE
        self._ticked_at = self._ended_at = now
        return Pause.SUSPENSION if now - last > SUSPENSION_S else Pause.STALL
