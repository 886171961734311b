"""Messages between entry VMs, sent and received as UDP datagrams.

The messages are the status records of VMs, and the aggregates and tallies by
which an aggregator, a VM that relays the records of others, reports on many
VMs (:mod:`~apricotlever.vms.aggregates`).
"""

import socket
import typing
import zlib

import msgpack

from .. import logs
from ..vms import aggregates
from ..vms import record_exchange
from ..vms import vm_records

#: Time between two reads of the socket, in seconds. Reading each record on
#: arrival would wake the process more than a hundred times a second in a large
#: fleet, which would be most of the work of an idle VM. A VM sends its records
#: less often than the socket is read, so waiting adds little to their age.
READ_INTERVAL_S = 0.05
#: Maximum number of datagrams in one read. A VM receives about six between two
#: reads, 120 a second. A flood of datagrams must not delay callers.
MAX_DATAGRAMS_PER_READ = 300
MAX_DATAGRAM_BYTES = 65535
#: zlib level. An aggregator sends a message to many VMs, so the time spent on
#: good compression pays off.
COMPRESSION_LEVEL = 6
#: Messages that are longer when decompressed are refused. Otherwise a datagram
#: of a few bytes could fill the memory.
MAX_UNPACKED_BYTES = 1 << 20
#: Number of refused messages that a process logs; later ones are not logged.
MAX_REFUSALS_LOGGED = 20


_Decoder = typing.Callable[[typing.Any], record_exchange.Message]
#: Kinds of messages, the first field of each message that is not a status
#: record.
AGGREGATE = 1
TALLY = 2
_DECODERS: dict[int, _Decoder] = {
    AGGREGATE: aggregates.Aggregate.from_record,
    TALLY: aggregates.Tally.from_record,
}
_KIND_BY_TYPE = {aggregates.Aggregate: AGGREGATE, aggregates.Tally: TALLY}


def pack(message: record_exchange.Message) -> bytes:
    """Encode a message as a datagram.

    A status record is encoded without a kind before its fields.
    """
    fields: list[typing.Any] = message.to_record()
    kind = _KIND_BY_TYPE.get(type(message))
    if kind is not None:
        fields = [kind, fields]
    return zlib.compress(msgpack.packb(fields), COMPRESSION_LEVEL)


def unpack(data: bytes) -> record_exchange.Message:
    """Decode a message encoded by :func:`pack`.

    :raises zlib.error: if the data is not compressed.
    :raises ValueError: if the message is truncated, too long or malformed.
    """
    decompressor = zlib.decompressobj()
    packed = decompressor.decompress(data, MAX_UNPACKED_BYTES)
    if not decompressor.eof:
        raise ValueError("peer message is truncated or too long")
    fields = msgpack.unpackb(packed, strict_map_key=False)
    if isinstance(fields, list) and len(fields) == 2:
        kind, fields = fields
        decode = _DECODERS.get(kind) if isinstance(kind, int) else None
        if decode is None:
            raise ValueError("peer message has an unknown kind")
        return decode(fields)
    return vm_records.VmRecord.from_record(fields)


class MessageReceiver(typing.Protocol):
    """Processes the valid messages that a :class:`PeerSocket` receives."""

    def receive_message(self, message: record_exchange.Message) -> None:
        """Process a message of another VM."""


class PeerSocket:
    """UDP socket for messages between VMs.

    Messages are queued in the socket's buffer until the owner has them read.

    :param receiver: processes the valid messages.
    """

    __slots__ = ("_refused_count", "_receiver", "_socket")

    def __init__(self, receiver: MessageReceiver) -> None:
        self._receiver = receiver
        self._socket: socket.socket | None = None
        self._refused_count = 0

    @property
    def port(self) -> int:
        """Local port of the socket, 0 while the socket is closed."""
        return self._socket.getsockname()[1] if self._socket else 0

    def listen(self, host: str, port: int) -> None:
        """Open the socket at the address that other VMs send to."""
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._socket.setblocking(False)
        self._socket.bind((host, port))

    def receive_pending(self) -> None:
        """Process the messages that have arrived since the last read."""
        for data, (host, _) in self._pending_datagrams():
            self._receive(data, host)

    def discard_pending(self) -> None:
        """Discard the messages that have arrived since the last read.

        This is for the end of a suspension of the process. The messages may be
        as old as the suspension, and would show VMs as alive that have ended
        since.
        """
        for _ in self._pending_datagrams():
            pass

    def send(
        self, message: record_exchange.Message, receivers: typing.Sequence[str]
    ) -> None:
        """Send a message to several VMs, without retries.

        :param receivers: peer addresses as ``host:port``.
        """
        if self._socket is None or not receivers:
            return
        data = pack(message)
        for receiver in receivers:
            host, _, port = receiver.rpartition(":")
            try:
                self._socket.sendto(data, (host, int(port)))
            except OSError:
                # A datagram that can't be sent counts as lost on the network.
                # The next record repeats its contents.
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

    def _receive(self, data: bytes, host: str) -> None:
        try:
            message = unpack(data)
            sender = message.peer_address.rpartition(":")[0]
        except (ValueError, TypeError, AttributeError, zlib.error) as error:
            self._log_refusal(host, type(error).__name__)
            return
        if sender != host:
            # A message must come from the host that it names as its sender.
            self._log_refusal(host, "foreign_address")
            return
        self._receiver.receive_message(message)

    def _log_refusal(self, host: str, reason: str) -> None:
        self._refused_count += 1
        if self._refused_count <= MAX_REFUSALS_LOGGED:
            logs.event("peer_refused", peer=host, reason=reason)
