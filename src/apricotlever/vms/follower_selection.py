"""Selection of the VMs that follow the store on behalf of all.

A follower is a VM that learns of changes by long-poll calls to the store. Each
change of a followed object completes a call of every follower. Only a few VMs
follow the store, therefore, and the others learn of changes from them. VMs
whose calls fail don't count as followers, so that others replace them.
"""

import typing

from .. import clock as clocks

from . import rendezvous
from . import vm_records

#: Number of VMs that follow the store. If one follower is refused by the store
#: and another has just ended, one is left.
FOLLOWER_COUNT = 3
RANK_KEY = "follow"
#: Seconds after its start in which a process does not decide whether to follow
#: the store, as it knows few peers. Otherwise each VM of a fleet that starts
#: at once would select itself.
START_UP_S = 1.0
#: While no VM follows with success, the number of VMs that try doubles after
#: each such time, in seconds: the first ones may be unable to reach the store.
WIDENING_INTERVAL_S = 0.25


class FollowerSelection:
    """Decides whether one VM follows the store, by rendezvous hashing.

    The VM is ranked with the peers that follow the store, or with all live
    peers while none does. It follows the store if it is one of the first
    :data:`FOLLOWER_COUNT`. While no peer follows, more and more VMs try.

    :param vm: name of the VM.
    """

    __slots__ = (
        "_clock",
        "_follows",
        "_last_inputs",
        "_no_follower_since",
        "_started_at",
        "_vm",
    )

    def __init__(self, clock: clocks.Clock, vm: str) -> None:
        self._clock = clock
        self._vm = vm
        self._started_at = clock.now()
        self._follows = False
        #: Followers and live peers at the last decision.
        self._last_inputs: tuple[frozenset[str], frozenset[str]] | None = None
        self._no_follower_since: float | None = None

    @property
    def follows(self) -> bool:
        """Whether this VM has to follow the store."""
        return self._follows

    def update(self, peers: typing.Iterable[vm_records.VmRecord]) -> None:
        """Decide again whether this VM has to follow the store.

        :param peers: status records of the other live VMs, which tell whether
            each one follows the store.
        """
        now = self._clock.now()
        if now - self._started_at < START_UP_S:
            return
        alive = [p for p in peers if not p.leaving]
        following = frozenset(p.vm for p in alive if p.follows)
        if following:
            self._no_follower_since = None
        elif self._no_follower_since is None:
            self._no_follower_since = now
        inputs = (following, frozenset(p.vm for p in alive))
        if following and inputs == self._last_inputs:
            # The decision stays. Ranking would take most of its time in a
            # large fleet.
            return
        self._last_inputs = inputs
        ranked = rendezvous.rank(
            RANK_KEY, [*(following or inputs[1]), self._vm]
        )
        self._follows = self._vm in ranked[: self._target_count(now)]

    def _target_count(self, now: float) -> int:
        if self._no_follower_since is None:
            return FOLLOWER_COUNT
        doublings = int((now - self._no_follower_since) / WIDENING_INTERVAL_S)
        return FOLLOWER_COUNT << min(doublings, 32)
