"""Which VMs follow the store for all.

Each change of what is followed ends a call of each VM that follows, so a few
do it and the others hear of it from them. VMs whose calls fail don't count,
so that others take their place.
"""

import typing

from .. import clock as clocks

from . import digests
from . import rendezvous

#: With one turned away and one just ended there is still one.
FOLLOWERS = 3
RANK_KEY = "follow"
#: A process that has just started knows few others, in seconds. Of a fleet
#: that starts at once, each VM would else take itself for one of the few.
STARTED_S = 1.0
#: While nobody follows with success, twice as many VMs try after each such
#: time, in seconds: the first ones may be those that can't reach the store.
WIDENED_S = 0.25


class Followers:
    """Decides whether one VM follows the store.

    :param vm: its name.
    """

    __slots__ = (
        "_clock",
        "_follows",
        "_known",
        "_nobody_since",
        "_started_at",
        "_vm",
    )

    def __init__(self, clock: clocks.Clock, vm: str) -> None:
        self._clock = clock
        self._vm = vm
        self._started_at = clock.now()
        self._follows = False
        #: Who followed and who lived at the last look.
        self._known: tuple[frozenset[str], frozenset[str]] | None = None
        self._nobody_since: float | None = None

    @property
    def follows(self) -> bool:
        """Whether this VM has to follow the store itself."""
        return self._follows

    def look(self, peers: typing.Iterable[digests.Digest]) -> None:
        """Decide by the records of the other living VMs."""
        now = self._clock.now()
        if now - self._started_at < STARTED_S:
            return
        alive = [p for p in peers if not p.leaving]
        following = frozenset(p.vm for p in alive if p.follows)
        if following:
            self._nobody_since = None
        elif self._nobody_since is None:
            self._nobody_since = now
        known = (following, frozenset(p.vm for p in alive))
        if following and known == self._known:
            # Ranking would be most of a look in a large fleet.
            return
        self._known = known
        ranked = rendezvous.rank(
            RANK_KEY, [*(following or known[1]), self._vm]
        )
        self._follows = self._vm in ranked[: self._wanted(now)]

    def _wanted(self, now: float) -> int:
        if self._nobody_since is None:
            return FOLLOWERS
        doublings = int((now - self._nobody_since) / WIDENED_S)
        return FOLLOWERS << min(doublings, 32)
