"""The HTTP/1.1 server for callers, peers and the platform's checks."""

import asyncio
import collections
import socket
import typing

import httptools

from .. import addresses

from . import framing
from . import pace
from . import ports
from . import replies
from . import routes

#: Bytes of an answer that may wait for a slow caller before the task that
#: writes them waits too.
MOST_UNSENT_BYTES = 65536
#: A caller that does not read for so long is given up, in seconds.
STUCK_S = 10.0
#: How often idle connections are looked at, in seconds.
SWEEP_S = 0.5


class RawCall:
    """A request as it was read."""

    __slots__ = ("method", "target", "headers", "body", "received_at")

    def __init__(self, received_at: float) -> None:
        self.method = ""
        self.target = ""
        self.headers: list[tuple[bytes, bytes]] = []
        self.body = b""
        self.received_at = received_at


Handler = typing.Callable[[RawCall, replies.Reply], typing.Awaitable[None]]


class CallerChannel(asyncio.Protocol):
    """One connection of a caller; its calls are answered in order."""

    __slots__ = (
        "_body",
        "_body_bytes",
        "_call",
        "_calls",
        "_chunked",
        "_closing",
        "_eof",
        "_head_bytes",
        "_in_head",
        "_loop",
        "_parser",
        "_paused",
        "_reading_since",
        "_server",
        "_task",
        "_transport",
        "_waiter",
        "_idle_since",
    )

    def __init__(self, server: "CallerServer") -> None:
        self._server = server
        self._loop = asyncio.get_running_loop()
        self._transport: asyncio.Transport | None = None
        self._parser = httptools.HttpRequestParser(self)
        self._call: RawCall | None = None
        self._calls: collections.deque[RawCall] = collections.deque()
        self._body: list[bytes] = []
        self._body_bytes = 0
        self._head_bytes = 0
        self._in_head = True
        self._closing = False
        self._eof = False
        self._paused = False
        self._waiter: asyncio.Future[None] | None = None
        self._task: asyncio.Task[None] | None = None
        self._reading_since: float | None = None
        self._idle_since = self._loop.time()

    @property
    def closing(self) -> bool:
        """Whether this is the last answer on the connection."""
        return self._closing or self._server.leaving

    @property
    def host(self) -> str:
        """The other side's IP number."""
        if self._transport is None:
            return ""
        return str((self._transport.get_extra_info("peername") or ("",))[0])

    @property
    def behind(self) -> bool:
        """Whether the caller reads slower than its answer comes."""
        return self._paused

    @property
    def unsent(self) -> int:
        """Bytes of answers that wait for the caller to read."""
        if self._transport is None:
            return 0
        return self._transport.get_write_buffer_size()

    @property
    def busy(self) -> bool:
        """Whether a call is being answered or was read and waits."""
        return self._task is not None or bool(self._calls)

    def write(self, data: bytes) -> None:
        """Queue bytes for the caller.

        :raises replies.CallerGone: when the connection is over.
        """
        if self._transport is None or self._transport.is_closing():
            raise replies.CallerGone()
        self._transport.write(data)

    async def drained(self) -> None:
        """Wait while the caller is far behind.

        :raises replies.CallerGone: when it does not read for too long.
        """
        if not self._paused:
            return
        self._waiter = self._loop.create_future()
        try:
            async with asyncio.timeout(STUCK_S):
                await self._waiter
        except TimeoutError as error:
            self.close()
            raise replies.CallerGone() from error
        finally:
            self._waiter = None

    def close(self) -> None:
        """Close at once."""
        if self._transport is not None:
            self._transport.abort()

    def sweep(self, now: float, limits: routes.CallerLimits) -> None:
        """Close the connection if its caller is too slow or idle."""
        if self.busy:
            return
        since = self._reading_since
        if since is None:
            if now - self._idle_since > limits.idle_s:
                self._end()
            return
        allowed = limits.header_s if self._in_head else limits.idle_s
        if now - since > allowed:
            self._refuse(408)

    # What asyncio calls.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """A caller has connected."""
        self._transport = typing.cast(asyncio.Transport, transport)
        self._transport.set_write_buffer_limits(MOST_UNSENT_BYTES)
        sock = transport.get_extra_info("socket")
        if sock is not None:
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self._server.channels.add(self)

    def data_received(self, data: bytes) -> None:
        """Bytes of a call."""
        if self._closing:
            return
        if self._reading_since is None:
            self._reading_since = self._loop.time()
        if self._in_head:
            self._head_bytes += len(data)
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self._refuse(400)
        except httptools.HttpParserError as error:
            refusal = error.__context__
            self._refuse(
                refusal.status if isinstance(refusal, framing.Refused) else 400
            )
        except framing.Refused as refusal:
            self._refuse(refusal.status)
        if self._in_head and self._call is not None:
            if self._head_bytes > self._server.limits.header_bytes:
                self._refuse(431)

    def eof_received(self) -> bool:
        """The caller sends no more, and so it waits for nothing."""
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """The caller is gone; what runs for it is stopped."""
        self._server.channels.discard(self)
        self._closing = True
        self._calls.clear()
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_exception(replies.CallerGone())
        if self._task is not None:
            self._task.cancel()

    def pause_writing(self) -> None:
        """The caller reads slower than its answer comes."""
        self._paused = True

    def resume_writing(self) -> None:
        """The caller has caught up."""
        self._paused = False
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(None)

    # What the parser calls.

    def on_message_begin(self) -> None:
        """A call begins."""
        self._call = RawCall(self._loop.time())
        self._body = []
        self._body_bytes = 0
        self._in_head = True

    def on_url(self, url: bytes) -> None:
        """A part of the target."""
        if self._call is not None:
            self._call.target += url.decode("latin-1")

    def on_header(self, name: bytes, value: bytes) -> None:
        """One header."""
        if self._call is not None and self._in_head:
            # What comes after the body is a trailer and no header: a key or
            # a length in it was not there when the call was checked. The
            # parser leaves blanks that follow a value.
            self._call.headers.append((name, value.rstrip(b" \t")))

    def on_headers_complete(self) -> None:
        """The head is whole."""
        call = self._call
        if call is None:
            return
        framing.check_head(
            self._parser.get_http_version(),
            call.target,
            call.headers,
            self._server.limits,
        )
        self._in_head = False
        self._head_bytes = 0
        call.method = self._parser.get_method().decode("latin-1")
        if any(name.lower() == b"expect" for name, _ in call.headers):
            self.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def on_body(self, data: bytes) -> None:
        """A part of the body."""
        self._body_bytes += len(data)
        if self._body_bytes > self._server.limits.body_bytes:
            raise framing.Refused(413)
        self._body.append(data)

    def on_message_complete(self) -> None:
        """The call is whole."""
        call, self._call = self._call, None
        if call is None or self._closing:
            return
        call.body = b"".join(self._body)
        self._body = []
        self._in_head = True
        self._head_bytes = 0
        self._reading_since = None
        if not self._parser.should_keep_alive():
            self._closing = True
        self._calls.append(call)
        self._next()

    def _next(self) -> None:
        if self._task is None and self._calls:
            call = self._calls.popleft()
            self._task = self._loop.create_task(self._answer(call))

    async def _answer(self, call: RawCall) -> None:
        reply = replies.Reply(self)
        try:
            await self._server.handler(call, reply)
        except replies.CallerGone:
            self.close()
        finally:
            self._task = None
            self._idle_since = self._loop.time()
            if not reply.ended:
                self.close()
            elif self.closing and not self._calls:
                self._end()
            else:
                self._next()

    def _refuse(self, status: int) -> None:
        """Refuse what is malformed, and close after what is before it."""
        if self._closing:
            return
        self._closing = True
        self._reading_since = None
        if self.busy:
            return
        try:
            replies.Reply(self).whole(status, ())
        except replies.CallerGone:
            return
        self._end()

    def _end(self) -> None:
        """Close after what is queued has been sent."""
        self._closing = True
        if self._transport is not None:
            self._transport.close()


class CallerServer:
    """Listens on one address.

    :param handler: answers one call.
    """

    __slots__ = ("handler", "limits", "channels", "_leaving", "_server")

    def __init__(self, handler: Handler) -> None:
        self.handler = handler
        self.limits = routes.CallerLimits()
        self.channels: set[CallerChannel] = set()
        self._leaving = False
        self._server: asyncio.Server | None = None

    @property
    def leaving(self) -> bool:
        """Whether each answer is the last one on its connection."""
        return self._leaving

    @property
    def busy(self) -> int:
        """Connections with a call that is being answered."""
        return sum(channel.busy for channel in self.channels)

    async def listen(self, host: str, port: int) -> int:
        """Start to take connections at an address.

        :returns: the port, which matters when 0 was asked for.
        """
        address = addresses.Address(host, port)
        return await self.serve(ports.Ports().take(address))

    async def serve(self, sock: socket.socket) -> int:
        """Start to take connections from a socket that listens.

        :returns: its port.
        """
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            lambda: CallerChannel(self), sock=sock, backlog=ports.BACKLOG
        )
        return int(sock.getsockname()[1])

    def leave(self) -> None:
        """Close each connection after the answer it waits for."""
        self._leaving = True

    async def sweep_forever(self) -> None:
        """Close the connections of idle and slow callers, for ever."""
        loop = asyncio.get_running_loop()
        while True:
            await pace.pause(SWEEP_S)
            now = loop.time()
            for channel in list(self.channels):
                channel.sweep(now, self.limits)

    def close(self) -> None:
        """Take no more connections and close all that are open."""
        if self._server is not None:
            self._server.close()
        for channel in list(self.channels):
            channel.close()
