"""Timers that decide when to fetch newer data from a peer.

The status records of peers show which of them have newer data than this VM,
such as a newer configuration. Such a peer may only have received a change from
the store a moment earlier, so it may stay ahead for some time before it is
asked. Each peer has its own timer: records of peers that are not ahead arrive
in between and would restart a shared timer again and again.
"""

from .. import clock as clocks

Key = tuple[str, str]


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
        self, kind: str, peer: str, is_ahead: bool, tolerated_s: float
    ) -> bool:
        """Record a comparison with a peer, and decide whether to ask it.

        :param kind: the kind of data compared, such as "configuration".
        :param peer: name of the peer's VM.
        :param is_ahead: whether the peer's data is newer than this VM's.
        :param tolerated_s: how long the peer may be ahead, in seconds.
        :returns: whether to ask the peer now; its timer then restarts.
        """
        key = (kind, peer)
        if not is_ahead:
            self._since.pop(key, None)
            return False
        now = self._clock.now()
        if now - self._since.setdefault(key, now) < tolerated_s:
            return False
        del self._since[key]
        return True
