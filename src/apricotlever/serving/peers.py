"""What entry VMs fetch from each other, over HTTP."""

import typing
import zlib

import msgpack

from .. import logs
from .. import validation

from . import callers
from . import channels
from . import replies
from . import runners
from . import store

from . import pool as pools

FETCH_TIMEOUT_S = 0.8
#: The same for a configuration: one of thousands of routes takes most of a
#: second on a slow link, even without others.
CONFIGURATION_FETCH_TIMEOUT_S = 2.0
#: The fastest: the usual level saves little more.
COMPRESSION_LEVEL = 1
#: Named after its form: a peer that knows no compressed one answers 404.
CONFIGURATION_PATH = "/configuration.msgpack.z"
#: Named so that a peer that tells no incarnations answers 404.
RUNNERS_PATH = "/incarnations"

_IS_NEWS = validation.is_tuple_of(
    validation.is_list_of(validation.is_list_of(lambda value: True)),
    validation.is_map_of(
        validation.is_non_empty_string, validation.is_non_negative_int
    ),
)
_News = typing.TypeVar("_News")


class PeerClient:
    """Fetches from other VMs what the store did not bring."""

    __slots__ = ("_pools",)

    def __init__(self) -> None:
        self._pools: dict[str, pools.Pool] = {}

    async def configuration(
        self, address: str, above: int
    ) -> store.Json | None:
        """The configuration of a peer, as the operators wrote it.

        :returns: None when it has no newer one, or can't be reached.
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
        """A peer's news of runners after a revision."""
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
        pool = self._pools.setdefault(address, pools.Pool(host, int(port), 2))
        request = pools.request_bytes("GET", target, address)
        try:
            answer = await pools.call(pool, request, timeout_s)
        except (channels.ChannelError, TimeoutError) as error:
            pool.close()
            logs.event(
                "peer_call_failed", peer=address, error=type(error).__name__
            )
            return None
        return answer.body if answer.status == 200 else None


def unpack_configuration(body: bytes) -> store.Json:
    """A configuration as a peer sends it.

    :raises ValueError: when it can't be read.
    """
    try:
        return _decode(zlib.decompress(body))
    except zlib.error as error:
        raise ValueError(str(error)) from error


def unpack_runners(
    body: bytes,
) -> tuple[list[runners.Runner], dict[str, int]]:
    """Entries and removals of runners as a peer sends them.

    :raises ValueError: when they can't be read.
    """
    news = _decode(body)
    if not _IS_NEWS(news):
        raise validation.Misshapen("news of runners", news)
    entries, gone = news
    return [runners.Runner.from_record(record) for record in entries], gone


def _decode(body: bytes) -> typing.Any:
    try:
        return msgpack.unpackb(body, strict_map_key=False)
    except TypeError as error:
        # A map in it has a key that can't be one.
        raise ValueError(str(error)) from error


class NewsSource(typing.Protocol):
    """What a VM has to tell its peers."""

    @property
    def version(self) -> int:
        """Of the configuration in force, 0 for none."""

    def configuration_after(self, version: int) -> store.Json | None:
        """The configuration, None if it is not newer."""

    def runners_after(
        self, revision: int
    ) -> tuple[list[runners.Runner], dict[str, int]]:
        """News of runners after a revision."""

    def is_peer(self, host: str) -> bool:
        """Whether an IP number is a member's."""


class PeerServer:
    """Answers what :class:`PeerClient` asks."""

    __slots__ = ("_packed", "_source")

    def __init__(self, source: NewsSource) -> None:
        self._source = source
        #: The version that was packed last, with its bytes: all other VMs
        #: ask for the same one within a second.
        self._packed: tuple[int, bytes] = (0, b"")

    async def answer(self, raw: callers.RawCall, reply: replies.Reply) -> None:
        """Answer one fetch; strangers get nothing."""
        if not self._source.is_peer(reply.caller_host):
            logs.event(
                "peer_refused", peer=reply.caller_host, reason="stranger"
            )
            reply.whole(403, ())
            return
        path, _, above = raw.target.partition("?")
        if not above.lstrip("-").isdigit():
            reply.whole(400, ())
            return
        if path == CONFIGURATION_PATH:
            reply.whole(200, (), self._configuration(int(above)))
        elif path == RUNNERS_PATH:
            entries, gone = self._source.runners_after(int(above))
            news = [[r.to_record() for r in entries], gone]
            reply.whole(200, (), msgpack.packb(news))
        else:
            reply.whole(404, ())

    def _configuration(self, above: int) -> bytes:
        """The configuration as it is sent, empty if it is not newer."""
        spec = self._source.configuration_after(above)
        if spec is None:
            return b""
        version, packed = self._packed
        if version != self._source.version:
            packed = zlib.compress(msgpack.packb(spec), COMPRESSION_LEVEL)
            self._packed = (self._source.version, packed)
        return packed
