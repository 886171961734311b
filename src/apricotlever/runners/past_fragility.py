"""Remembers which runners are fragile, so that their falls prove nothing.

A fragile runner has said that it falls over when too many calls reach it at
once. When it does, neither its calls nor its quality is the cause.
"""

import typing

from .. import clock as clocks

#: For how long a runner counts as fragile after it was last known as such, in
#: seconds. A fall is noticed when the runner's list entry disappears at the
#: latest, after about four seconds, and what it said goes with its entry.
KEPT_S = 6.0

#: Tells whether a runner, by its ID, is fragile now.
IsFragile = typing.Callable[[str], bool]


def never_fragile(runner: str) -> bool:
    """Say that no runner is fragile, where nothing is known of that."""
    return False


class PastFragility:
    """The runners that are fragile, or were a few seconds ago.

    :param is_fragile: tells whether a runner has said that it is fragile.
    """

    __slots__ = ("_clock", "_is_fragile", "_known_at")

    def __init__(
        self, clock: clocks.Clock, is_fragile: IsFragile = never_fragile
    ) -> None:
        self._clock = clock
        self._is_fragile = is_fragile
        #: When a runner was last known as fragile, in monotonic seconds.
        self._known_at: dict[str, float] = {}

    def was_fragile(self, runner: str) -> bool:
        """Whether a runner is fragile, or was known to be a moment ago."""
        now = self._clock.now()
        if self._is_fragile(runner):
            self._known_at[runner] = now
            return True
        known_at = self._known_at.get(runner)
        return known_at is not None and now - known_at < KEPT_S

    def tick(self) -> None:
        """Note the runners that are still fragile, and forget the others.

        To be called several times a second. A runner is noted from the first
        time on that :meth:`was_fragile` is asked of it.
        """
        for runner in list(self._known_at):
            if not self.was_fragile(runner):
                del self._known_at[runner]
