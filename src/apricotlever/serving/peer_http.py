"""HTTP client and server by which entry VMs fetch updates from each other.

A VM fetches configurations and runner entries that the store did not deliver
in time.
"""

import typing
import zlib

import msgpack

from .. import clock as clocks
from .. import log_rate_limiter
from .. import logs
from .. import validation

from . import caller_channel
from . import client_channel
from . import reply_writer
from . import runners
from . import store

from . import connection_pool as pools

#: Timeout of a fetch of runner entries, in seconds.
FETCH_TIMEOUT_S = 0.8
#: Timeout of a fetch of a configuration, in seconds. The transfer of one with
#: thousands of routes takes most of a second on a slow link, even without
#: concurrent transfers.
CONFIGURATION_FETCH_TIMEOUT_S = 2.0
#: The fastest zlib level; the default level saves little more.
COMPRESSION_LEVEL = 1
#: Upper limit of a configuration document in bytes, many times that of an
#: object in the store. A few bytes may unpack to any length.
MAX_CONFIGURATION_BYTES = 16777216
#: The path names the format, so that a peer without support for compression
#: answers 404.
CONFIGURATION_PATH = "/configuration.msgpack.z"
#: The path names the contents, so that a peer whose runner entries have no
#: incarnations answers 404.
RUNNERS_PATH = "/incarnations"

_IS_RUNNER_CHANGES = validation.is_tuple_of(
    validation.is_list_of(validation.is_list_of(lambda value: True)),
    validation.is_map_of(
        validation.is_non_empty_string, validation.is_non_negative_int
    ),
)
_News = typing.TypeVar("_News")


class PeerClient:
    """Fetches updates that the store did not deliver from other VMs.

    It is the client of their :class:`PeerServer`.

    :param own_host: this VM's address, by which the others know it. A VM with
        several addresses would connect from any of them.
    """

    __slots__ = ("_own_host", "_pools")

    def __init__(self, own_host: str | None = None) -> None:
        self._own_host = own_host
        #: Pools by address and timeout of a fetch. Configurations have pools
        #: of their own: on a slow link they would hold for seconds the
        #: connections that fetches of runners need.
        self._pools: dict[tuple[str, float], pools.ConnectionPool] = {}

    async def configuration(
        self, address: str, above: int
    ) -> store.Json | None:
        """Fetch a peer's configuration document.

        :param address: the peer's address as ``host:port``.
        :param above: the version that the document must exceed.
        :returns: the document as the operators wrote it; None if the peer has
            no newer one or the fetch failed.
        """
        body = await self._fetch(
            address,
            f"{CONFIGURATION_PATH}?{above}",
            CONFIGURATION_FETCH_TIMEOUT_S,
        )
        if not body:
            return None
        return self._unpack(unpack_configuration, body, address)

    async def runners(
        self, address: str, above: int
    ) -> tuple[list[runners.Runner], dict[str, int]] | None:
        """Fetch the changes of a peer's runner directory since a revision.

        :param address: the peer's address as ``host:port``.
        :param above: the store revision after which the changes were made.
        :returns: entries, and the revisions of removals by runner name; None
            if the fetch failed.
        """
        body = await self._fetch(
            address, f"{RUNNERS_PATH}?{above}", FETCH_TIMEOUT_S
        )
        if not body:
            return None
        return self._unpack(unpack_runners, body, address)

    def _unpack(
        self,
        unpack: typing.Callable[[bytes], _News],
        body: bytes,
        address: str,
    ) -> _News | None:
        try:
            return unpack(body)
        except ValueError as error:
            logs.event("peer_refused", peer=address, reason=str(error))
            return None

    async def _fetch(
        self, address: str, target: str, timeout_s: float
    ) -> bytes | None:
        host, _, port = address.rpartition(":")
        pool = self._pools.setdefault(
            (address, timeout_s),
            pools.ConnectionPool(host, int(port), 2, self._own_host),
        )
        request = pools.encode_request("GET", target, address)
        try:
            answer = await pools.exchange(pool, request, timeout_s)
        except (client_channel.ChannelError, TimeoutError) as error:
            pool.close_idle()
            logs.event(
                "peer_call_failed", peer=address, error=type(error).__name__
            )
            return None
        return answer.body if answer.status == 200 else None


def pack_configuration(spec: store.Json) -> bytes:
    """Encode a configuration document for peers."""
    return zlib.compress(msgpack.packb(spec), COMPRESSION_LEVEL)


def unpack_configuration(body: bytes) -> store.Json:
    """Decode a configuration document that a peer sent.

    :raises ValueError: if the data is malformed or too large.
    """
    decompressing = zlib.decompressobj()
    try:
        packed = decompressing.decompress(body, MAX_CONFIGURATION_BYTES)
    except zlib.error as error:
        raise ValueError(str(error)) from error
    if not decompressing.eof:
        raise ValueError("the configuration is cut off or too large")
    return _decode(packed)


def unpack_runners(
    body: bytes,
) -> tuple[list[runners.Runner], dict[str, int]]:
    """Decode runner entries and removals that a peer sent.

    :returns: entries, and the revisions of removals by runner name.
    :raises ValueError: if the data is malformed.
    """
    changes = _decode(body)
    if not _IS_RUNNER_CHANGES(changes):
        raise validation.Misshapen("runner changes from a peer", changes)
    entries, removals = changes
    return [runners.Runner.from_record(record) for record in entries], removals


def _decode(body: bytes) -> typing.Any:
    try:
        return msgpack.unpackb(body, strict_map_key=False)
    except TypeError as error:
        # msgpack raises TypeError for a map with an unhashable key.
        raise ValueError(str(error)) from error


class NewsSource(typing.Protocol):
    """This VM's configuration and runner directory, served to peers."""

    @property
    def version(self) -> int:
        """Version of this VM's active configuration, 0 without one."""

    def configuration_after(self, version: int) -> store.Json | None:
        """The active configuration's document, if it is newer than a version.

        :returns: None if it is not newer, or there is none.
        """

    def runners_after(
        self, revision: int
    ) -> tuple[list[runners.Runner], dict[str, int]]:
        """Changes of this VM's runner directory since a store revision.

        :returns: entries, and the revisions of removals by runner name.
        """

    def is_peer(self, host: str) -> bool:
        """Whether an IP address may belong to a VM of the fleet."""


class PeerServer:
    """Answers the requests of other VMs.

    They are those of :class:`PeerClient`, and those of other handlers.

    :param handlers: handlers of requests of other VMs, by path.
    """

    __slots__ = ("_handlers", "_log_limit", "_packed", "_source")

    def __init__(
        self,
        source: NewsSource,
        handlers: (
            typing.Mapping[str, caller_channel.RequestHandler] | None
        ) = None,
    ) -> None:
        self._source = source
        self._handlers = handlers or {}
        self._log_limit = log_rate_limiter.LogRateLimiter(clocks.SystemClock())
        #: The last encoded configuration: its version and data. All other VMs
        #: request the same version within a second.
        self._packed: tuple[int, bytes] = (0, b"")

    async def answer(
        self, raw: caller_channel.RawRequest, reply: reply_writer.ReplyWriter
    ) -> None:
        """Answer one request of a peer.

        Hosts outside the fleet get status 403.
        """
        if not self._source.is_peer(reply.caller_host):
            if self._log_limit.allows(reply.caller_host):
                logs.event(
                    "peer_refused", peer=reply.caller_host, reason="stranger"
                )
            reply.send_whole(403, ())
            return
        path, _, above = raw.target.partition("?")
        handler = self._handlers.get(path)
        if handler is not None:
            await handler(raw, reply)
            return
        if not above.lstrip("-").isdigit():
            reply.send_whole(400, ())
            return
        if path == CONFIGURATION_PATH:
            reply.send_whole(200, (), self._configuration(int(above)))
        elif path == RUNNERS_PATH:
            entries, removals = self._source.runners_after(int(above))
            changes = [[r.to_record() for r in entries], removals]
            reply.send_whole(200, (), msgpack.packb(changes))
        else:
            reply.send_whole(404, ())

    def _configuration(self, above: int) -> bytes:
        """The encoded configuration; empty if not newer than a version."""
        spec = self._source.configuration_after(above)
        if spec is None:
            return b""
        version, packed = self._packed
        if version != self._source.version:
            packed = pack_configuration(spec)
            self._packed = (self._source.version, packed)
        return packed
