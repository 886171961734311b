"""When to ask a peer for news that the store has not brought.

A peer that is further may only have heard of a change a moment sooner, so
its lead is given some time. Each peer's lead is timed by itself: were there
one timer, the records of peers that are no further than this VM, which come
in between, would start it anew for ever.
"""

from .. import clock as clocks

Key = tuple[str, str]


class Leads:
    """The leads of peers, by what they are further in."""

    __slots__ = ("_clock", "_since")

    def __init__(self, clock: clocks.Clock) -> None:
        self._clock = clock
        self._since: dict[Key, float] = {}

    def due(self, what: str, peer: str, is_ahead: bool, lead_s: float) -> bool:
        """Note a peer's record.

        :param is_ahead: whether the peer is further than this VM.
        :param lead_s: for how long it may be.
        :returns: whether to ask the peer now; its time then begins anew.
        """
        key = (what, peer)
        if not is_ahead:
            self._since.pop(key, None)
            return False
        now = self._clock.now()
        if now - self._since.setdefault(key, now) < lead_s:
            return False
        del self._since[key]
        return True
