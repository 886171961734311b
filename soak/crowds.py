"""Crowds of callers that don't behave, by name.

Each connection of a crowd sends some bytes, all of them legal by themselves,
and stays open without reading an answer.
"""

import itertools
import typing

from . import fleet
from . import runner

#: The limits of the configuration: bytes of a head and of a body.
HEAD_BYTES = 16384
BODY_BYTES = 4 * 1024 * 1024
#: Bytes of a large and of a small part of a body.
LARGE_CHUNK = 65536
SMALL_PIECE = 512

#: Gives the bytes of one connection, in the pieces in which they are sent.
Pieces = typing.Callable[[int], typing.Iterable[bytes]]


class Crowd:
    """What a crowd sends.

    :param count: the number of connections.
    :param role: the address that they connect to; see
        :attr:`.fleet.VmProcess.ports`.
    :param pieces: gives the pieces of a connection, by its number.
    """

    __slots__ = ("count", "role", "pieces")

    def __init__(self, count: int, role: str, pieces: Pieces) -> None:
        self.count = count
        self.role = role
        self.pieces = pieces


CROWDS: dict[str, Crowd] = {}


def register(
    name: str, count: int, role: str = "callers"
) -> typing.Callable[[Pieces], Pieces]:
    """Enter a function as the pieces of a crowd.

    :param count: see :class:`Crowd`, as for `role`.
    """

    def add(pieces: Pieces) -> Pieces:
        CROWDS[name] = Crowd(count, role, pieces)
        return pieces

    return add


def head(number: int, *lines: str, prefix: str = "crowd-") -> bytes:
    """The head of a call, without its last line.

    :param lines: further header lines.
    :param prefix: of the call's id.
    """
    known = [
        "POST /safe/x HTTP/1.1",
        f"Host: {fleet.ROUTE_HOST}",
        f"Call-Id: {prefix}{number}",
        f"Key: {fleet.API_KEY}",
        "Wait-S: 60",
        *lines,
        "",
    ]
    return "\r\n".join(known).encode()


def short_lines(number: int, line: bytes = b"a:\r\n") -> bytes:
    """A head that short lines fill up to its limit, without its last line."""
    begun = head(number, "Content-Length: 0")
    return begun + line * ((HEAD_BYTES - len(begun) - 2) // len(line))


def chunked(number: int) -> bytes:
    """The head of a call with a body in chunks."""
    return head(number, "Transfer-Encoding: chunked", "")


def sized(number: int, size: int = BODY_BYTES) -> bytes:
    """The head of a call with a body of known size."""
    return head(number, f"Content-Length: {size}", "")


@register("heads of short lines, not ended", 500)
def _short_lines(number: int) -> typing.Iterable[bytes]:
    return [short_lines(number)]


@register("heads of short lines in small pieces, not ended", 500)
def _in_pieces(number: int) -> typing.Iterable[bytes]:
    data = short_lines(number)
    return [
        data[start : start + SMALL_PIECE]
        for start in range(0, len(data), SMALL_PIECE)
    ]


@register("heads of odd lines, not ended", 500)
def _odd_lines(number: int) -> typing.Iterable[bytes]:
    return [short_lines(number, b"!:\t \r\n")]


@register("whole heads of short lines", 500)
def _whole_heads(number: int) -> typing.Iterable[bytes]:
    return [short_lines(number) + b"\r\n"]


@register("bodies one byte short", 40)
def _short_bodies(number: int) -> typing.Iterable[bytes]:
    return [sized(number), bytes(BODY_BYTES - 1)]


@register("bodies in small pieces, one byte short", 40)
def _small_pieces(number: int) -> typing.Iterable[bytes]:
    body = itertools.repeat(bytes(SMALL_PIECE), BODY_BYTES // SMALL_PIECE - 1)
    return itertools.chain([sized(number)], body, [bytes(SMALL_PIECE - 1)])


@register("whole bodies", 40)
def _whole_bodies(number: int) -> typing.Iterable[bytes]:
    return [sized(number), bytes(BODY_BYTES)]


@register("large chunks, not ended", 40)
def _large_chunks(number: int) -> typing.Iterable[bytes]:
    chunk = b"%x\r\n%b\r\n" % (LARGE_CHUNK, bytes(LARGE_CHUNK))
    chunks = itertools.repeat(chunk, BODY_BYTES // LARGE_CHUNK - 1)
    return itertools.chain([chunked(number)], chunks)


@register("chunks of one byte, not ended", 150)
def _small_chunks(number: int) -> typing.Iterable[bytes]:
    return [chunked(number), *itertools.repeat(b"1\r\nx\r\n" * 16384, 6)]


@register("one whole body in chunks of one byte", 1)
def _one_in_chunks(number: int) -> typing.Iterable[bytes]:
    chunks = itertools.repeat(b"1\r\nx\r\n" * 65536, BODY_BYTES // 65536)
    return itertools.chain([chunked(number)], chunks, [b"0\r\n\r\n"])


@register("one whole head of short lines", 1)
def _one_head(number: int) -> typing.Iterable[bytes]:
    return _whole_heads(number)


@register("one whole body", 1)
def _one_body(number: int) -> typing.Iterable[bytes]:
    return _whole_bodies(number)


@register("pipelined calls, unread", 40)
def _pipelined(number: int) -> typing.Iterable[bytes]:
    return itertools.repeat(sized(number, 0) * 40, 100)


@register("pipelined calls with bodies, unread", 20)
def _pipelined_bodies(number: int) -> typing.Iterable[bytes]:
    return itertools.repeat(sized(number, 1 << 20) + bytes(1 << 20), 8)


@register("large answers, unread", 20)
def _large_answers(number: int) -> typing.Iterable[bytes]:
    prefix = runner.LARGE_CALL_PREFIX
    return [head(number, "Content-Length: 0", "", prefix=prefix)]


@register("connections without a byte", 700)
def _silent(number: int) -> typing.Iterable[bytes]:
    return []


@register("heads of short lines at lookups, not ended", 500, "lookups")
def _at_lookups(number: int) -> typing.Iterable[bytes]:
    return [short_lines(number)]


@register("bodies at the readiness check, one byte short", 40, "checks")
def _at_checks(number: int) -> typing.Iterable[bytes]:
    return [sized(number), bytes(BODY_BYTES - 1)]


@register("large chunks at the peers' address, not ended", 40, "peers")
def _at_peers(number: int) -> typing.Iterable[bytes]:
    return _large_chunks(number)


@register("connections without a byte at the peers' address", 700, "peers")
def _silent_at_peers(number: int) -> typing.Iterable[bytes]:
    return []


@register("connections that expect to be asked for a body", 500)
def _expecting(number: int) -> typing.Iterable[bytes]:
    lines = (f"Content-Length: {BODY_BYTES}", "Expect: 100-continue", "")
    return [head(number, *lines)]


@register("HTTP/1.0 bodies one byte short", 40)
def _http_1_0(number: int) -> typing.Iterable[bytes]:
    begun = sized(number).replace(b"HTTP/1.1", b"HTTP/1.0")
    return [begun, bytes(BODY_BYTES - 1)]


@register("trailers without end", 100)
def _trailers(number: int) -> typing.Iterable[bytes]:
    begun = chunked(number) + b"1\r\nx\r\n0\r\n"
    return itertools.chain([begun], itertools.repeat(b"a:\r\n" * 4096, 64))


@register("slow streams, unread", 100)
def _slow_streams(number: int) -> typing.Iterable[bytes]:
    begun = head(number, "Content-Length: 0", "")
    return [begun.replace(b"/safe/", b"/stream/")]
