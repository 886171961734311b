"""The records of peers, as datagrams."""

import socket
import typing
import zlib

import msgpack

from .. import logs
from ..vms import digests

#: Between two looks at what has come, in seconds. Were each record read as
#: it comes, the process would be woken for each, in a large fleet more than
#: a hundred times a second, which is most of what an idle VM does. Records are
#: told less often than they are read, so they grow little older by it.
READ_S = 0.05
#: Records read at one look. A VM is sent six between two, and 120 a second;
#: more must not keep callers waiting.
MOST_READ = 300
MOST_BYTES = 65535
#: The fastest: all levels take off about as much of so little.
COMPRESSION = 1
#: A record that becomes longer is refused: a few bytes could fill the memory.
MOST_UNPACKED = 1 << 20
#: Malformed records logged for each one that is.
MOST_BAD_LOGGED = 20


def pack(digest: digests.Digest) -> bytes:
    """A record as it is sent."""
    return zlib.compress(msgpack.packb(digest.to_record()), COMPRESSION)


def unpack(data: bytes) -> digests.Digest:
    """The reverse of :func:`pack`.

    :raises zlib.error: when it is no compressed record.
    :raises ValueError: when it is cut short, too long, or has other fields.
    """
    reader = zlib.decompressobj()
    record = reader.decompress(data, MOST_UNPACKED)
    if not reader.eof:
        raise ValueError("a record is cut short or too long")
    return digests.Digest.from_record(
        msgpack.unpackb(record, strict_map_key=False)
    )


class Inbox(typing.Protocol):
    """Takes what peers say."""

    def digest(self, digest: digests.Digest) -> None:
        """A record of another VM came."""


class Datagrams:
    """Sends and receives records.

    :param inbox: takes those that are well formed.
    """

    __slots__ = ("_bad", "_inbox", "_socket")

    def __init__(self, inbox: Inbox) -> None:
        self._inbox = inbox
        self._socket: socket.socket | None = None
        self._bad = 0

    @property
    def port(self) -> int:
        """Where it hears the others, 0 for nowhere."""
        return self._socket.getsockname()[1] if self._socket else 0

    def listen(self, host: str, port: int) -> None:
        """Open the socket."""
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._socket.setblocking(False)
        self._socket.bind((host, port))

    def read(self) -> None:
        """Take in what has come since the last look."""
        for data, (host, _) in self._waiting():
            self._take(data, host)

    def drop(self) -> None:
        """Throw away what has come.

        What waited while the process stood still is as old as that: it
        would show VMs as alive that ended meanwhile.
        """
        for _ in self._waiting():
            pass

    def send(
        self, digest: digests.Digest, receivers: typing.Iterable[str]
    ) -> None:
        """Send a record to many."""
        if self._socket is None:
            return
        data = pack(digest)
        for receiver in receivers:
            host, _, port = receiver.rpartition(":")
            try:
                self._socket.sendto(data, (host, int(port)))
            except OSError:
                # One that can't be sent is lost like one on the way; the
                # next one tells the same.
                continue

    def close(self) -> None:
        """Close the socket."""
        if self._socket is not None:
            self._socket.close()
            self._socket = None

    def _waiting(self) -> typing.Iterator[tuple[bytes, tuple[str, int]]]:
        if self._socket is None:
            return
        for _ in range(MOST_READ):
            try:
                yield self._socket.recvfrom(MOST_BYTES)
            except OSError:
                return

    def _take(self, data: bytes, host: str) -> None:
        try:
            digest = unpack(data)
            sender = digest.peer_address.rpartition(":")[0]
        except (ValueError, TypeError, AttributeError, zlib.error) as error:
            self._refused(host, type(error).__name__)
            return
        if sender != host:
            # A record has to come from the address that it names.
            self._refused(host, "foreign_address")
            return
        self._inbox.digest(digest)

    def _refused(self, host: str, reason: str) -> None:
        self._bad += 1
        if self._bad <= MOST_BAD_LOGGED:
            logs.event("peer_refused", peer=host, reason=reason)
