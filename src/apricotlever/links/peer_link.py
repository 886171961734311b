"""RPC between entry VMs: grpclib on an asyncio loop in its own thread.

The rest of the process does not use asyncio: calls return a
:class:`concurrent.futures.Future`, and handlers of incoming calls return a
message or such a future.
"""

import asyncio
from concurrent import futures
import socket
import typing

from google.protobuf import message as protobuf
from grpclib import const
from grpclib import exceptions
from h2 import exceptions as h2_exceptions

from .. import clock as clocks
from .. import errors
from .. import socket_options
from . import peer_channels
from . import peer_connections
from . import peer_grpc

Handler = typing.Callable[[typing.Any], typing.Any]

DEFAULT_GRACE_S = 5.0
#: How long a stopping link waits for its peers to close their connections
#: after a GOAWAY, in seconds: some round trips, also to a busy peer.
GO_AWAY_LINGER_S = 1.0

_REFUSAL_STATUSES = frozenset(
    (const.Status.FAILED_PRECONDITION, const.Status.UNIMPLEMENTED)
)


class PeerError(errors.ApricotleverError):
    """A call to another entry VM got no answer, or was refused."""


class PeerUnavailable(PeerError):
    """The peer was unreachable, or the call timed out or broke off.

    :param address: the peer's "host:port".
    :param reason: the underlying error.
    :param sent: False only if the call was certainly not sent; if True, the
        peer may have acted on it.
    """

    def __init__(self, address: str, reason: str, sent: bool) -> None:
        super().__init__(f"peer {address} is unavailable: {reason}")
        self.address = address
        self.sent = sent


class PeerRefused(PeerError):
    """The peer refused the call, which had no effect.

    :param reason: the peer's message.
    :param address: the peer's "host:port"; empty when raised by a handler
        to refuse an incoming call.
    """

    def __init__(self, reason: str, address: str = "") -> None:
        super().__init__(reason)
        self.address = address


class Handlers:
    """Handlers of incoming calls, filled by the decorator :meth:`register`."""

    __slots__ = ("_by_method",)

    def __init__(self) -> None:
        self._by_method: dict[str, Handler] = {}

    def register(self, method: str) -> typing.Callable[[Handler], Handler]:
        """Register the decorated function as the handler of one method.

        The handler runs on the loop's thread and must not block. It returns
        a message or a :class:`concurrent.futures.Future` of one, or raises
        :class:`PeerRefused` to refuse the call.

        :param method: "Gossip", "Fetch", "Run", "Handover", "Crash" or
            "Judge".
        """

        def register(handler: Handler) -> Handler:
            self._by_method[method] = handler
            return handler

        return register

    def get(self, method: str) -> Handler | None:
        """Return the handler of a method, or None."""
        return self._by_method.get(method)


class _PeersService(peer_grpc.PeersBase):
    """Passes each incoming call to its registered handler."""

    def __init__(self, handlers: Handlers) -> None:
        self._handlers = handlers
        self._running = 0
        self._closing = False

    @property
    def running_calls(self) -> int:
        """The number of calls that are being answered."""
        return self._running

    def refuse_new_calls(self) -> None:
        """Refuse all further calls with FAILED_PRECONDITION."""
        self._closing = True

    async def Gossip(self, stream: typing.Any) -> None:
        await self._serve("Gossip", stream)

    async def Fetch(self, stream: typing.Any) -> None:
        await self._serve("Fetch", stream)

    async def Run(self, stream: typing.Any) -> None:
        await self._serve("Run", stream)

    async def Handover(self, stream: typing.Any) -> None:
        await self._serve("Handover", stream)

    async def Crash(self, stream: typing.Any) -> None:
        await self._serve("Crash", stream)

    async def Judge(self, stream: typing.Any) -> None:
        await self._serve("Judge", stream)

    async def _serve(self, method: str, stream: typing.Any) -> None:
        message = await stream.recv_message()
        if self._closing:
            # FAILED_PRECONDITION tells the caller that the call had no
            # effect, so that it may call another VM; UNAVAILABLE would not.
            raise _grpc_error(const.Status.FAILED_PRECONDITION, "stopping")
        self._running += 1
        try:
            await stream.send_message(await self._answer(method, message))
        finally:
            self._running -= 1

    async def _answer(
        self, method: str, message: protobuf.Message
    ) -> protobuf.Message:
        handler = self._handlers.get(method)
        if handler is None:
            raise _grpc_error(
                const.Status.UNIMPLEMENTED, f"no handler for {method}"
            )
        try:
            answer = handler(message)
            if isinstance(answer, futures.Future):
                # A caller that gives up cancels this coroutine. The shield
                # keeps the future from being cancelled under the task that
                # is going to complete it.
                answer = await asyncio.shield(asyncio.wrap_future(answer))
        except PeerRefused as error:
            raise _grpc_error(const.Status.FAILED_PRECONDITION, error.message)
        except Exception as error:
            raise _grpc_error(const.Status.INTERNAL, str(error))
        return answer


class PeerLink:
    """Server for the calls of peers and client for calls to them.

    :param host: the IP address to listen on.
    :param port: the port to listen on; 0 picks a free one.
    :param handlers: the handlers of incoming calls.
    :param clock: measures the age of connections.
    :param max_age_s: age in seconds beyond which a connection takes no new
        call.
    """

    def __init__(
        self,
        host: str,
        port: int,
        handlers: Handlers,
        clock: clocks.Clock | None = None,
        max_age_s: float = peer_channels.MAX_CHANNEL_AGE_S,
    ) -> None:
        self._socket = _listen(host, port)
        self._address = "%s:%d" % self._socket.getsockname()[:2]
        self._service = _PeersService(handlers)
        self._channels = peer_channels.ChannelCache(
            clock or clocks.SystemClock(), max_age_s
        )
        self._loop = asyncio.new_event_loop()
        self._executor = futures.ThreadPoolExecutor(1, "peers")
        self._thread: futures.Future[None] | None = None
        self._server: peer_connections.Server | None = None
        self._stopping = False

    @property
    def address(self) -> str:
        """The "host:port" that peers call."""
        return self._address

    @property
    def open_channel_count(self) -> int:
        """The number of open connections to peers."""
        return self._channels.open_count

    def start(self) -> None:
        """Start the event loop's thread and accept calls."""
        self._thread = self._executor.submit(self._run_loop)
        self._submit(self._start_server()).result()

    def call(
        self,
        address: str,
        method: str,
        message: protobuf.Message,
        timeout_s: float,
    ) -> "futures.Future[typing.Any]":
        """Call a method of a peer.

        :param address: the peer's "host:port".
        :param method: a method of the service, such as "Gossip".
        :param message: the request.
        :param timeout_s: limit in seconds, including the time to connect.
        :returns: a future of the answer; it raises :class:`PeerUnavailable`
            or :class:`PeerRefused`.
        """
        if self._stopping:
            failed: futures.Future[typing.Any] = futures.Future()
            failed.set_exception(
                PeerUnavailable(address, "this VM is stopping", False)
            )
            return failed
        return self._submit(self._call(address, method, message, timeout_s))

    def stop(self, grace_s: float = DEFAULT_GRACE_S) -> None:
        """Refuse new calls, wait for those in progress, and close.

        :param grace_s: how long to wait for calls in progress, in seconds.
        """
        if self._stopping or self._thread is None:
            return
        self._stopping = True
        self._submit(self._stop_server(grace_s)).result()
        self._loop.call_soon_threadsafe(self._loop.stop)
        self._thread.result()
        self._executor.shutdown()

    def _submit(
        self, work: typing.Coroutine[typing.Any, typing.Any, typing.Any]
    ) -> "futures.Future[typing.Any]":
        return asyncio.run_coroutine_threadsafe(work, self._loop)

    def _run_loop(self) -> None:
        asyncio.set_event_loop(self._loop)
        self._loop.run_forever()
        self._loop.close()

    async def _start_server(self) -> None:
        self._server = peer_connections.Server(self._service)
        await self._server.start(sock=self._socket)

    async def _stop_server(self, grace_s: float) -> None:
        assert self._server is not None
        self._service.refuse_new_calls()
        self._server.stop_handling()
        deadline = self._loop.time() + grace_s
        while self._service.running_calls and self._loop.time() < deadline:
            await asyncio.sleep(0.01)
        self._server.close()
        self._channels.close()
        await self._server.wait_closed()
        self._server.go_away()
        deadline = self._loop.time() + GO_AWAY_LINGER_S
        while self._server.has_connections and self._loop.time() < deadline:
            await asyncio.sleep(0.01)
        self._server.close_connections()
        await asyncio.sleep(0)

    async def _call(
        self,
        address: str,
        method: str,
        message: protobuf.Message,
        timeout_s: float,
    ) -> protobuf.Message:
        try:
            cached = self._channels.acquire(address)
        except ValueError:
            raise PeerUnavailable(address, "not a host:port", False)
        healthy = False
        try:
            answer = await self._exchange(
                cached, address, method, message, timeout_s
            )
            healthy = True
            return answer
        except PeerRefused:
            healthy = True
            raise
        finally:
            self._channels.release(address, cached, healthy)

    async def _exchange(
        self,
        cached: peer_channels.CachedChannel,
        address: str,
        method: str,
        message: protobuf.Message,
        timeout_s: float,
    ) -> protobuf.Message:
        deadline = self._loop.time() + timeout_s
        try:
            async with asyncio.timeout(timeout_s):
                await cached.channel.__connect__()
        except (OSError, asyncio.TimeoutError) as error:
            raise PeerUnavailable(address, _reason(error), False)
        stub = peer_grpc.PeersStub(cached.channel)
        remaining_s = max(0.001, deadline - self._loop.time())
        opened = getattr(stub, method).open(timeout=remaining_s)
        try:
            async with opened as stream:
                await stream.send_message(message, end=True)
                answer: protobuf.Message = await stream.recv_message()
            return answer
        except peer_connections.StreamNotHandled as error:
            raise PeerUnavailable(address, _reason(error), False)
        except exceptions.GRPCError as error:
            if error.status in _REFUSAL_STATUSES:
                raise PeerRefused(error.message or "", address)
            raise PeerUnavailable(address, _reason(error), True)
        except (
            OSError,
            asyncio.TimeoutError,
            exceptions.ProtocolError,
            exceptions.StreamTerminatedError,
            h2_exceptions.H2Error,
        ) as error:
            # grpclib sets the peer once the call's headers are written.
            sent = opened.peer is not None
            raise PeerUnavailable(address, _reason(error), sent)


def _listen(host: str, port: int) -> socket.socket:
    listener = socket.create_server((host, port), backlog=512)
    # Without keepalive, the connection of a peer that vanished without a FIN
    # would stay open for ever. Accepted sockets inherit these options; asyncio
    # itself does not set TCP_NODELAY on them, and without it, each answer
    # waits some 40 ms for the caller's delayed acknowledgement.
    socket_options.PEERS.apply(listener)
    return listener


def _reason(error: BaseException) -> str:
    return str(error) or type(error).__name__


def _grpc_error(status: const.Status, message: str) -> exceptions.GRPCError:
    return exceptions.GRPCError(status, message)
