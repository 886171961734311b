"""Answers of a runner that has gone wrong."""

import asyncio
import time
import typing

#: Events that such a runner writes at a time, and which of the second such
#: group is spoiled.
BURST = 4
SPOILED_IN_BURST = 2
#: Bytes written at a time that never end.
PIECE_BYTES = 20000
#: What comes first, and what comes over and over, in place of the rest of a
#: response.
ENDLESS: dict[str, tuple[bytes, bytes]] = {
    "head": (b"HTTP/1.1 200 X\r\n", b"X: aaaaaaaaaaaaaaaaaa\r\n"),
    "interim": (b"", b"HTTP/1.1 102 X\r\nX: y\r\n\r\n"),
    "trailers": (b"0\r\n", b"X: y\r\n"),
    "extension": (b"2;", b"a" * 100),
    "event": (b"", b"64\r\n" + b"a" * 100 + b"\r\n"),
}
#: Those that stand in place of a head.
IN_PLACE_OF_HEAD = frozenset({"head", "interim"})
#: Headers of which one at least tells a runner to answer badly.
_HEADERS = frozenset({"spoil-every", "endless", "lost-of-five"})


class BadAnswers:
    """What a runner does to its answers for a while.

    :param spoil_every: one in so many streams is spoiled; 0 for none.
    :param endless: what comes without end; "" for nothing.
    :param until: on the monotonic clock, in seconds.
    :param lost_of_five: of five calls that run so many are not answered.
    """

    __slots__ = (
        "_count",
        "_endless",
        "_lost_of_five",
        "_run_count",
        "_spoil_every",
        "_until",
    )

    def __init__(
        self,
        spoil_every: int,
        endless: str,
        until: float,
        lost_of_five: int = 0,
    ) -> None:
        self._spoil_every = spoil_every
        self._endless = endless
        self._until = until
        self._lost_of_five = lost_of_five
        self._count = 0
        self._run_count = 0

    @property
    def endless(self) -> str:
        """What comes without end now; "" for nothing."""
        return self._endless if time.monotonic() < self._until else ""

    def spoils_next(self) -> bool:
        """Whether the next stream is spoiled."""
        if not self._spoil_every or time.monotonic() >= self._until:
            return False
        self._count += 1
        return self._count % self._spoil_every == 0

    def loses_next(self) -> bool:
        """Whether the next answer is lost."""
        if time.monotonic() >= self._until:
            return False
        self._run_count += 1
        return self._run_count % 5 < self._lost_of_five


def read_bad_answers(
    headers: typing.Mapping[str, str], now: float
) -> BadAnswers | None:
    """Read what a runner is told to do; None for nothing of the kind."""
    if not _HEADERS & headers.keys():
        return None
    return BadAnswers(
        int(headers.get("spoil-every", "0")),
        headers.get("endless", ""),
        now + float(headers["for-s"]),
        int(headers.get("lost-of-five", "0")),
    )


def spoil(events: list[bytes]) -> list[bytes]:
    """Spoil an event of a stream; returns the pieces to write."""
    spoiled = list(events)
    place = BURST + SPOILED_IN_BURST
    if place < len(events):
        spoiled[place] = b"\xa5" * (len(events[place]) - 2) + b"\n\n"
    return [
        b"".join(spoiled[start : start + BURST])
        for start in range(0, len(spoiled), BURST)
    ]


async def send_endless(writer: asyncio.StreamWriter, what: str) -> None:
    """Send bytes until the other side closes the connection.

    :raises OSError: when it has.
    """
    first, repeated = ENDLESS[what]
    writer.write(first)
    piece = repeated * (1 + PIECE_BYTES // len(repeated))
    while True:
        writer.write(piece)
        await writer.drain()
        await asyncio.sleep(0)
