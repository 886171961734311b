"""Keeps repeated log lines about one thing few."""

from .. import clock as clocks

#: Between two lines about the same thing, in seconds.
EVERY_S = 10.0
#: Things that had a line lately, at most. Of more, the next ones have none: a
#: store of spoiled entries must not turn into as many lines.
MOST = 64


class LogLimit:
    """Tells whether a line about a thing is due."""

    __slots__ = ("_clock", "_told_at")

    def __init__(self, clock: clocks.Clock) -> None:
        self._clock = clock
        self._told_at: dict[str, float] = {}

    def allows(self, thing: str) -> bool:
        """Whether to log it now; counted as logged if so."""
        now = self._clock.now()
        self._told_at = {
            name: at
            for name, at in self._told_at.items()
            if now - at < EVERY_S
        }
        if thing in self._told_at or len(self._told_at) >= MOST:
            return False
        self._told_at[thing] = now
        return True
