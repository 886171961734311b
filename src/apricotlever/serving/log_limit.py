"""Keeps repeated log lines about one thing few."""

from .. import clock as clocks

#: Between two lines about the same thing, in seconds.
MIN_INTERVAL_S = 10.0
#: Things that had a line lately, at most. Of more, the next ones have none: a
#: store of spoiled entries must not turn into as many lines.
MAX_SUBJECTS = 64


class LogLimit:
    """Tells whether a line about a thing is due."""

    __slots__ = ("_clock", "_logged_at")

    def __init__(self, clock: clocks.Clock) -> None:
        self._clock = clock
        self._logged_at: dict[str, float] = {}

    def allows(self, thing: str) -> bool:
        """Whether to log it now; counted as logged if so."""
        now = self._clock.now()
        self._logged_at = {
            name: at
            for name, at in self._logged_at.items()
            if now - at < MIN_INTERVAL_S
        }
        if thing in self._logged_at or len(self._logged_at) >= MAX_SUBJECTS:
            return False
        self._logged_at[thing] = now
        return True
