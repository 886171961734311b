"""Timers that decide when to fetch newer data from a peer.

A peer with newer data may only have received a change from the store a
moment earlier, so it may stay ahead for some time before it is asked. Each
peer has its own timer: records of peers that are not ahead arrive in between
and would restart a shared timer again and again.
"""

from .. import clock as clocks

Key = tuple[str, str]


class CatchUpTimers:
    """Measures for how long each peer has been ahead, by kind of data."""

    __slots__ = ("_clock", "_since")

    def __init__(self, clock: clocks.Clock) -> None:
        self._clock = clock
        self._since: dict[Key, float] = {}

    def should_ask(
        self, kind: str, peer: str, is_ahead: bool, tolerated_s: float
    ) -> bool:
        """Record whether a peer is ahead of this VM.

        :param kind: the kind of data compared.
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
