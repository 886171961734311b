"""Tells whether this process was suspended of late.

What arrived meanwhile lies in the sockets, and nothing says when it came.
"""

from .. import clock as clocks

#: A process that has not run its periodic work for so long, in seconds, was
#: suspended.
STALL_S = 0.5
#: For how long after a suspension what is read may have come in it, in
#: seconds.
TRUST_AFTER_S = 1.0


class SuspensionWatch:
    """Notes gaps in the periodic work of this process."""

    __slots__ = ("_clock", "_suspended_at", "_ticked_at")

    def __init__(self, clock: clocks.Clock) -> None:
        self._clock = clock
        self._ticked_at: float | None = None
        #: When the last gap ended.
        self._suspended_at = float("-inf")

    @property
    def is_recent(self) -> bool:
        """Whether what was just read may have come in a suspension."""
        now = self._clock.now()
        return self._is_stalled(now) or (
            now - self._suspended_at < TRUST_AFTER_S
        )

    def tick(self) -> None:
        """Note that the process runs; to be called several times a second."""
        now = self._clock.now()
        if self._is_stalled(now):
            self._suspended_at = now
        self._ticked_at = now

    def _is_stalled(self, now: float) -> bool:
        return self._ticked_at is not None and now - self._ticked_at > STALL_S
