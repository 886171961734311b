"""A caller's HTTP/1.1 connection, as its server sees it.

It parses the calls, and passes one at a time to the server's handler.
"""

import asyncio
import collections
import typing

import httptools

from .. import socket_options

from . import configuration_model
from . import read_bounds
from . import reply_writer
from . import request_checks

#: Write buffer limit of a connection, in bytes. Above it, the task that writes
#: a response to a slow caller waits.
MAX_UNSENT_BYTES = 65536
#: Seconds that a full write buffer may take to drain before the connection is
#: aborted.
WRITE_TIMEOUT_S = 10.0
#: Asks a caller for the body of its call. Sent only between two responses.
CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"


class RawRequest:
    """An HTTP request as read from the connection.

    :param received_at: when its first byte came, on the event loop's clock in
        seconds.
    :ivar takes_chunks: whether a response to it may be sent in chunks.
    """

    __slots__ = (
        "body",
        "headers",
        "method",
        "received_at",
        "takes_chunks",
        "target",
    )

    def __init__(self, received_at: float) -> None:
        self.method = ""
        self.target = ""
        self.headers: list[tuple[bytes, bytes]] = []
        self.body = b""
        self.received_at = received_at
        self.takes_chunks = True


#: Handles one request and writes its response.
RequestHandler = typing.Callable[
    [RawRequest, reply_writer.ReplyWriter], typing.Awaitable[None]
]


class Server(typing.Protocol):
    """What a connection needs of its server."""

    handler: RequestHandler
    limits: configuration_model.CallerLimits
    #: The open connections, which add and remove themselves.
    channels: "set[CallerChannel]"

    @property
    def keep_alive_disabled(self) -> bool:
        """Whether each connection closes after its current response."""


class CallerChannel(asyncio.Protocol):
    """The server's end of one HTTP connection from a caller.

    It parses received bytes into calls and queues complete ones. The handler
    runs for one call at a time, so pipelined calls are answered in order.
    """

    __slots__ = (
        "_body",
        "_bounds",
        "_current_call",
        "_pending_calls",
        "_chunked",
        "_closing",
        "_continue_due",
        "_eof",
        "_head_bytes",
        "_reading_head",
        "_loop",
        "_parser",
        "_write_paused",
        "_read_started_at",
        "_server",
        "_task",
        "_transport",
        "_drain_waiter",
        "_idle_started_at",
    )

    def __init__(self, server: Server) -> None:
        self._server = server
        self._loop = asyncio.get_running_loop()
        self._transport: asyncio.Transport | None = None
        self._parser = httptools.HttpRequestParser(self)
        self._current_call: RawRequest | None = None
        self._pending_calls: collections.deque[RawRequest] = (
            collections.deque()
        )
        self._body = bytearray()
        self._head_bytes = 0
        self._bounds = read_bounds.ReadBounds()
        self._reading_head = True
        self._closing = False
        #: Whether the caller waits to be asked for the body of its next call.
        self._continue_due = False
        self._eof = False
        self._write_paused = False
        self._drain_waiter: asyncio.Future[None] | None = None
        self._task: asyncio.Task[None] | None = None
        self._read_started_at: float | None = None
        self._idle_started_at = self._loop.time()

    @property
    def closing(self) -> bool:
        """Whether the connection closes after the current response."""
        return self._closing or self._server.keep_alive_disabled

    @property
    def host(self) -> str:
        """The caller's IP address, "" before the connection is open."""
        if self._transport is None:
            return ""
        return str((self._transport.get_extra_info("peername") or ("",))[0])

    @property
    def write_paused(self) -> bool:
        """Whether writers should wait, as the write buffer is too full."""
        return self._write_paused

    @property
    def unsent_bytes(self) -> int:
        """Response bytes that are buffered for the caller."""
        if self._transport is None:
            return 0
        return self._transport.get_write_buffer_size()

    @property
    def busy(self) -> bool:
        """Whether a call is being answered or is queued."""
        return self._task is not None or bool(self._pending_calls)

    def write(self, data: bytes) -> None:
        """Send bytes, or buffer them until the caller reads.

        :raises reply_writer.CallerGone: when the connection is closed.
        """
        if self._transport is None or self._transport.is_closing():
            raise reply_writer.CallerGone()
        self._transport.write(data)

    async def drain(self) -> None:
        """Wait while the write buffer is too full to write on.

        :raises reply_writer.CallerGone: when the caller closes the
            connection, or the buffer stays too full for
            :data:`WRITE_TIMEOUT_S`.
        """
        if not self._write_paused:
            return
        self._drain_waiter = self._loop.create_future()
        try:
            async with asyncio.timeout(WRITE_TIMEOUT_S):
                await self._drain_waiter
        except TimeoutError as error:
            self.reset()
            raise reply_writer.CallerGone() from error
        finally:
            self._drain_waiter = None

    def close(self) -> None:
        """Abort the connection; buffered bytes are dropped."""
        if self._transport is not None:
            self._transport.abort()

    def reset(self) -> None:
        """Reset the connection, which can't pass for the end of a response."""
        if self._transport is not None:
            sock = self._transport.get_extra_info("socket")
            if sock is not None and not self._transport.is_closing():
                socket_options.reset_on_close(sock)
            self._transport.abort()

    def sweep(
        self, now: float, limits: configuration_model.CallerLimits
    ) -> None:
        """Close the connection if it is idle or its caller sends too slowly.

        A call that arrives too slowly is answered with 408. A connection with
        a call in progress is left open.

        :param now: on the event loop's clock, in seconds.
        """
        if self.busy:
            return
        since = self._read_started_at
        if since is None:
            if now - self._idle_started_at > limits.idle_s:
                self._close_after_flush()
            return
        allowed = limits.header_s if self._reading_head else limits.idle_s
        if now - since > allowed:
            self._reject(408)

    # Callbacks of asyncio.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Set the connection up and register it with the server."""
        self._transport = typing.cast(asyncio.Transport, transport)
        self._transport.set_write_buffer_limits(MAX_UNSENT_BYTES)
        sock = transport.get_extra_info("socket")
        if sock is not None:
            socket_options.CALLERS.apply(sock)
        self._server.channels.add(self)

    def data_received(self, data: bytes) -> None:
        """Parse received bytes; malformed or oversized calls are rejected."""
        if self._closing:
            return
        if self._read_started_at is None:
            self._read_started_at = self._loop.time()
        if self._reading_head:
            self._head_bytes += len(data)
        try:
            self._parser.feed_data(data)
            if not self._reading_head:
                # A head has limits of its own, and so has the time.
                self._bounds.check(len(data), 0.0)
        except read_bounds.Endless:
            self._reject(400)
        except httptools.HttpParserUpgrade:
            self._reject(400)
        except httptools.HttpParserError as error:
            refusal = error.__context__
            self._reject(
                refusal.status
                if isinstance(refusal, request_checks.RequestRejected)
                else 400
            )
        except request_checks.RequestRejected as refusal:
            self._reject(refusal.status)
        if self._reading_head and self._current_call is not None:
            if self._head_bytes > self._server.limits.header_bytes:
                self._reject(431)

    def eof_received(self) -> bool:
        """Close the connection when the caller closes its sending side.

        Such a caller is taken to wait for no response.
        """
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Cancel the calls of a caller that has disconnected."""
        self._server.channels.discard(self)
        self._closing = True
        self._pending_calls.clear()
        if self._drain_waiter is not None and not self._drain_waiter.done():
            self._drain_waiter.set_exception(reply_writer.CallerGone())
        if self._task is not None:
            self._task.cancel()

    def pause_writing(self) -> None:
        """Make :meth:`drain` wait, as the write buffer is above its limit."""
        self._write_paused = True

    def resume_writing(self) -> None:
        """Let :meth:`drain` return, as the write buffer has drained."""
        self._write_paused = False
        if self._drain_waiter is not None and not self._drain_waiter.done():
            self._drain_waiter.set_result(None)

    # Callbacks of the parser.

    def on_message_begin(self) -> None:
        """Prepare for the next call, whose first bytes have arrived."""
        self._current_call = RawRequest(self._loop.time())
        self._body = bytearray()
        self._reading_head = True

    def on_url(self, url: bytes) -> None:
        """Append a part of the request target, which may come in pieces."""
        if self._current_call is not None:
            self._current_call.target += url.decode("latin-1")

    def on_header(self, name: bytes, value: bytes) -> None:
        """Append a header of the call; trailers are ignored."""
        if self._current_call is not None and self._reading_head:
            # Fields after the body are trailers. They are ignored, as an API
            # key or a length among them was not present when the headers
            # were checked. The parser keeps trailing whitespace of values.
            self._current_call.headers.append((name, value.rstrip(b" \t")))

    def on_headers_complete(self) -> None:
        """Check the request head, which is complete, before the body is read.

        :raises request_checks.RequestRejected: when the head is malformed, or
            it or the announced body is over its limit.
        """
        call = self._current_call
        if call is None:
            return
        version = self._parser.get_http_version()
        call.takes_chunks = version != request_checks.HTTP_1_0
        request_checks.check_request_head(
            version,
            call.target,
            call.headers,
            self._server.limits,
        )
        self._reading_head = False
        self._head_bytes = 0
        self._bounds.advance()
        call.method = self._parser.get_method().decode("latin-1")
        if any(name.lower() == b"expect" for name, _ in call.headers):
            self._continue_due = True
            if not self.busy:
                self._ask_for_body()

    def on_chunk_header(self) -> None:
        """Note that a chunk begins, the last one of a body too."""
        self._bounds.advance()

    def on_body(self, data: bytes) -> None:
        """Append a part of the call's body.

        :raises request_checks.RequestRejected: when the body is over its
            limit.
        """
        self._bounds.advance()
        if len(self._body) + len(data) > self._server.limits.body_bytes:
            raise request_checks.RequestRejected(413)
        self._body += data

    def on_message_complete(self) -> None:
        """Queue the call for the handler, as its whole body has arrived.

        The call is started at once if the connection has no earlier one.
        """
        call, self._current_call = self._current_call, None
        self._continue_due = False
        if call is None or self._closing:
            return
        call.body = bytes(self._body)
        self._body = bytearray()
        self._reading_head = True
        self._head_bytes = 0
        self._read_started_at = None
        if not (call.takes_chunks and self._parser.should_keep_alive()):
            self._closing = True
        self._pending_calls.append(call)
        self._start_next_call()

    def _start_next_call(self) -> None:
        if self._task is None and self._pending_calls:
            call = self._pending_calls.popleft()
            self._task = self._loop.create_task(self._handle(call))
        elif self._continue_due and not self.busy:
            self._ask_for_body()

    def _ask_for_body(self) -> None:
        self._continue_due = False
        if self._transport is not None and not self._transport.is_closing():
            self._transport.write(CONTINUE)

    async def _handle(self, call: RawRequest) -> None:
        reply = reply_writer.ReplyWriter(self, call.takes_chunks)
        try:
            await self._server.handler(call, reply)
        except reply_writer.CallerGone:
            self.close()
        finally:
            self._task = None
            self._idle_started_at = self._loop.time()
            if not reply.ended:
                reply.abort()
            elif self.closing and not self._pending_calls:
                self._close_after_flush()
            else:
                self._start_next_call()

    def _reject(self, status: int) -> None:
        """Reject a call that is malformed, too large or too slow, and close.

        If earlier calls of the connection are still being answered, no status
        is sent: the connection closes after their responses.
        """
        if self._closing:
            return
        self._closing = True
        self._read_started_at = None
        if self.busy:
            return
        try:
            reply_writer.ReplyWriter(self).send_whole(status, ())
        except reply_writer.CallerGone:
            return
        self._close_after_flush()

    def _close_after_flush(self) -> None:
        """Close the connection once its buffered bytes are sent."""
        self._closing = True
        if self._transport is not None:
            self._transport.close()
