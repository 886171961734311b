"""Timers that decide when to fetch newer data from a peer.

The status records of peers show which of them have newer data than this VM,
such as a newer configuration. Such a peer may only have received a change from
the store a moment earlier, so it may stay ahead for some time before it is
asked. Each peer has its own timer: records of peers that are not ahead arrive
in between and would restart a shared timer again and again.
"""

from .. import clock as clocks

Key = tuple[str, str]

#: Seconds after which another peer is asked, too, if one has not answered.
#: This is a tenth of the shortest time within which calls to a leaving runner
#: must stop.
SLOW_ANSWER_S = 0.2
#: Seconds for which a peer is not asked again after a slow fetch that failed.
#: It may have ended, and in this time each other VM sends two records, so that
#: another one is asked first.
FAILED_PEER_S = 0.4


class CatchUpTimers:
    """Decides when this VM asks a peer for data that is newer there.

    For each peer and kind of data it measures for how long the peer has been
    ahead of this VM.
    """

    __slots__ = ("_clock", "_since")

    def __init__(self, clock: clocks.Clock) -> None:
        self._clock = clock
        self._since: dict[Key, float] = {}

    def should_ask(
        self,
        kind: str,
        peer: str,
        is_ahead: bool,
        tolerated_s: float,
        may_ask: bool = True,
    ) -> bool:
        """Record a comparison with a peer, and decide whether to ask it.

        :param kind: the kind of data compared, such as "configuration".
        :param peer: name of the peer's VM.
        :param is_ahead: whether the peer's data is newer than this VM's.
        :param tolerated_s: how long the peer may be ahead, in seconds.
        :param may_ask: whether the peer can be asked now; otherwise it keeps
            its turn.
        :returns: whether to ask the peer now; its timer then restarts.
        """
        key = (kind, peer)
        if not is_ahead:
            self._since.pop(key, None)
            return False
        now = self._clock.now()
        if now - self._since.setdefault(key, now) < tolerated_s:
            return False
        if not may_ask:
            return False
        del self._since[key]
        return True


class RunningFetches:
    """Decides whether a fetch may begin beside those that are running.

    A peer that has just ended, or whose link is saturated, would otherwise
    hold up all fetches of the same data until its timeout.
    """

    __slots__ = ("_clock", "_failed_at", "_started_at")

    def __init__(self, clock: clocks.Clock) -> None:
        self._clock = clock
        #: When each running fetch began, by kind of data and peer.
        self._started_at: dict[Key, float] = {}
        #: When a slow fetch failed last, by kind of data and peer. One that
        #: fails at once, as a kept connection was closed, can be repeated.
        self._failed_at: dict[Key, float] = {}

    def may_begin(self, kind: str, peer: str, limit: int) -> bool:
        """Whether a fetch may begin.

        :param limit: most fetches of this kind at the same time. A further
            one begins when the others have run for :data:`SLOW_ANSWER_S`.
        """
        now = self._clock.now()
        if (
            now - self._failed_at.get((kind, peer), float("-inf"))
            < FAILED_PEER_S
        ):
            return False
        running = {
            asked: at
            for (what, asked), at in self._started_at.items()
            if what == kind
        }
        return (
            peer not in running
            and len(running) < limit
            and all(now - at >= SLOW_ANSWER_S for at in running.values())
        )

    def begin(self, kind: str, peer: str) -> None:
        """Note that a fetch has begun."""
        self._started_at[kind, peer] = self._clock.now()

    def end(self, kind: str, peer: str, is_answered: bool) -> None:
        """Note that a fetch has ended.

        :param is_answered: whether the peer has answered.
        """
        started_at = self._started_at.pop((kind, peer))
        now = self._clock.now()
        self._failed_at = {
            key: at
            for key, at in self._failed_at.items()
            if now - at < FAILED_PEER_S
        }
        if not is_answered and now - started_at >= SLOW_ANSWER_S:
            self._failed_at[kind, peer] = now
