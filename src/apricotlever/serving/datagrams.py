"""What peers tell each other, as datagrams."""

import socket
import typing
import zlib

import msgpack

from .. import logs
from ..vms import aggregates
from ..vms import record_exchange
from ..vms import vm_records

#: Between two looks at what has come, in seconds. Were each record read as
#: it comes, the process would be woken for each, in a large fleet more than
#: a hundred times a second, which is most of what an idle VM does. Records are
#: told less often than they are read, so they grow little older by it.
READ_S = 0.05
#: Records read at one look. A VM is sent six between two, and 120 a second;
#: more must not keep callers waiting.
MAX_DATAGRAMS_PER_READ = 300
MAX_DATAGRAM_BYTES = 65535
#: A message of an aggregator goes to many: it pays to pack it well.
COMPRESSION_LEVEL = 6
#: A message that becomes longer is refused: a few bytes could fill the memory.
MAX_UNPACKED_BYTES = 1 << 20
#: Malformed records logged for each one that is.
MAX_REFUSALS_LOGGED = 20


_Decoder = typing.Callable[[typing.Any], record_exchange.Message]
#: Kinds of messages beside records, the first field of each.
AGGREGATE = 1
TALLY = 2
_DECODERS: dict[int, _Decoder] = {
    AGGREGATE: aggregates.Aggregate.from_record,
    TALLY: aggregates.Tally.from_record,
}
_KIND_BY_TYPE = {aggregates.Aggregate: AGGREGATE, aggregates.Tally: TALLY}


def pack(message: record_exchange.Message) -> bytes:
    """A message as it is sent; a record has no kind before its fields."""
    fields: list[typing.Any] = message.to_record()
    kind = _KIND_BY_TYPE.get(type(message))
    if kind is not None:
        fields = [kind, fields]
    return zlib.compress(msgpack.packb(fields), COMPRESSION_LEVEL)


def unpack(data: bytes) -> record_exchange.Message:
    """The reverse of :func:`pack`.

    :raises zlib.error: when it is no compressed message.
    :raises ValueError: when it is cut short, too long, or has other fields.
    """
    decompressor = zlib.decompressobj()
    packed = decompressor.decompress(data, MAX_UNPACKED_BYTES)
    if not decompressor.eof:
        raise ValueError("a message is cut short or too long")
    fields = msgpack.unpackb(packed, strict_map_key=False)
    if isinstance(fields, list) and len(fields) == 2:
        kind, fields = fields
        reader = _DECODERS.get(kind) if isinstance(kind, int) else None
        if reader is None:
            raise ValueError("no such kind of message")
        return reader(fields)
    return vm_records.VmRecord.from_record(fields)


class MessageReceiver(typing.Protocol):
    """Takes what peers say."""

    def receive_message(self, message: record_exchange.Message) -> None:
        """A message of another VM came."""


class PeerSocket:
    """Sends and receives messages.

    :param inbox: takes those that are well formed.
    """

    __slots__ = ("_refused_count", "_receiver", "_socket")

    def __init__(self, inbox: MessageReceiver) -> None:
        self._receiver = inbox
        self._socket: socket.socket | None = None
        self._refused_count = 0

    @property
    def port(self) -> int:
        """Where it hears the others, 0 for nowhere."""
        return self._socket.getsockname()[1] if self._socket else 0

    def listen(self, host: str, port: int) -> None:
        """Open the socket."""
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._socket.setblocking(False)
        self._socket.bind((host, port))

    def receive_pending(self) -> None:
        """Take in what has come since the last look."""
        for data, (host, _) in self._pending_datagrams():
            self._take(data, host)

    def discard_pending(self) -> None:
        """Throw away what has come.

        What waited while the process stood still is as old as that: it
        would show VMs as alive that ended meanwhile.
        """
        for _ in self._pending_datagrams():
            pass

    def send(
        self, message: record_exchange.Message, receivers: typing.Sequence[str]
    ) -> None:
        """Send a message to many."""
        if self._socket is None or not receivers:
            return
        data = pack(message)
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

    def _pending_datagrams(
        self,
    ) -> typing.Iterator[tuple[bytes, tuple[str, int]]]:
        if self._socket is None:
            return
        for _ in range(MAX_DATAGRAMS_PER_READ):
            try:
                yield self._socket.recvfrom(MAX_DATAGRAM_BYTES)
            except OSError:
                return

    def _take(self, data: bytes, host: str) -> None:
        try:
            message = unpack(data)
            sender = message.peer_address.rpartition(":")[0]
        except (ValueError, TypeError, AttributeError, zlib.error) as error:
            self._log_refusal(host, type(error).__name__)
            return
        if sender != host:
            # A message has to come from the address that it names.
            self._log_refusal(host, "foreign_address")
            return
        self._receiver.receive_message(message)

    def _log_refusal(self, host: str, reason: str) -> None:
        self._refused_count += 1
        if self._refused_count <= MAX_REFUSALS_LOGGED:
            logs.event("peer_refused", peer=host, reason=reason)
