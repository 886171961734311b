"""Bounds of what a peer may send without getting any further.

A peer that has gone wrong may send bytes without end where a head, a chunk's
extension or trailers are due. Nobody waits for these bytes, but a parser keeps
them or reads them for ever.
"""

#: Upper limit of the bytes in a row that end no head and hold no part of a
#: body. What arrives in one piece with something of use isn't counted.
MAX_IDLE_BYTES = 65536
#: Upper limit of the time in which such bytes arrive, in seconds. Far longer
#: than a head takes of which one packet was lost.
MAX_IDLE_S = 3.0
#: Upper limit of the fields of a head.
MAX_FIELDS = 256


class Endless(Exception):
    """A peer sends bytes that lead nowhere."""


class ReadBounds:
    """Counts the bytes of one connection that lead nowhere.

    For each piece of bytes, the owner parses it, calling :meth:`advance` at
    what is of use, and then calls :meth:`check`.
    """

    __slots__ = ("_advanced", "_count", "_since")

    def __init__(self) -> None:
        self._advanced = False
        self._count = 0
        #: When the first of the counted bytes came.
        self._since = 0.0

    def advance(self) -> None:
        """Note that the piece that is being parsed holds something of use."""
        self._advanced = True

    def check(self, count: int, now: float) -> None:
        """Count a piece that was parsed.

        :param count: its bytes.
        :param now: on any monotonic clock, in seconds.
        :raises Endless: when too much has come, or for too long.
        """
        if self._advanced:
            self._advanced = False
            self._count = 0
            return
        if not self._count:
            self._since = now
        self._count += count
        if self._count > MAX_IDLE_BYTES:
            raise Endless(f"{self._count} bytes that end no head or chunk")
        if now - self._since > MAX_IDLE_S:
            raise Endless(f"a head or chunk not ended in {MAX_IDLE_S:g} s")
