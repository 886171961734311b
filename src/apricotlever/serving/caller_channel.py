"""A caller's HTTP/1.1 connection, as its server sees it.

It parses the calls, and passes one at a time to the server's handler.
"""

import asyncio
import collections
import typing

import httptools

from .. import socket_options
from ..vms import caller_memory

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
#: Smaller pieces of a body are kept together.
SMALL_PIECE_BYTES = 1024
#: Bytes that are parsed at once, so that a caller can't have many small
#: calls made of one piece.
SLICE_BYTES = 16384
#: Calls of a connection that may wait; nothing more is read meanwhile.
MAX_QUEUED_CALLS = 16
#: ``Retry-After`` of a call that is refused for want of memory, in seconds.
NO_MEMORY_RETRY_AFTER_S = 1
#: Asks a caller for the body of its call. Sent only between two responses.
CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"


class RawRequest:
    """An HTTP request as read from the connection.

    :param received_at: when its first byte came, on the event loop's clock in
        seconds.
    :ivar takes_chunks: whether a response to it may be sent in chunks.
    :ivar cost: memory of its head, and of its body once that is complete, in
        bytes.
    """

    __slots__ = (
        "body",
        "cost",
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
        self.cost = 0


class _Body:
    """A body that comes in pieces; small ones are kept together.

    An object for each piece would take many times the memory of its bytes.
    """

    __slots__ = ("_pieces", "size")

    def __init__(self) -> None:
        self._pieces: list[bytes | bytearray] = []
        self.size = 0

    def append(self, data: bytes) -> None:
        """Append a piece."""
        self.size += len(data)
        if len(data) >= SMALL_PIECE_BYTES:
            self._pieces.append(data)
        elif self._pieces and isinstance(self._pieces[-1], bytearray):
            self._pieces[-1] += data
        else:
            self._pieces.append(bytearray(data))

    def join(self) -> bytes:
        """The whole body."""
        if len(self._pieces) == 1:
            return bytes(self._pieces[0])
        return b"".join(self._pieces)


#: Handles one request and writes its response.
RequestHandler = typing.Callable[
    [RawRequest, reply_writer.ReplyWriter], typing.Awaitable[None]
]


class Server(typing.Protocol):
    """What a connection needs of its server."""

    handler: RequestHandler
    limits: configuration_model.CallerLimits
    #: The open connections, which remove themselves.
    channels: "set[CallerChannel]"
    #: What all callers of the process hold.
    memory: caller_memory.CallerMemory

    @property
    def keep_alive_disabled(self) -> bool:
        """Whether each connection closes after its current response."""

    def add(self, channel: "CallerChannel") -> bool:
        """Add an open connection.

        :returns: whether it stays open.
        """

    def note_gave_way(
        self, host: str, stage: caller_memory.Stage, held_bytes: int
    ) -> None:
        """Note that a connection is closed, as callers hold too much."""


class CallerChannel(asyncio.Protocol):
    """The server's end of one HTTP connection from a caller.

    It parses received bytes into calls and queues complete ones. The handler
    runs for one call at a time, so pipelined calls are answered in order.
    While many wait, or the caller reads no responses, nothing more is read.
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
        "_read_cost",
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
        "_unparsed",
        "_unsent",
        "_unsent_before",
        "_untaken_since",
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
        self._body = _Body()
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
        #: Memory of the call that is being read, in bytes, as it is counted.
        self._read_cost = 0
        #: Bytes that were read and are parsed once fewer calls wait.
        self._unparsed = b""
        #: Response bytes that are counted as not sent, and their number when
        #: the connection was looked at before.
        self._unsent = 0
        self._unsent_before = 0
        #: Since when the caller has taken nothing of a full write buffer.
        self._untaken_since = 0.0

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
        self._count_unsent()

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

    @property
    def waiting_since(self) -> float:
        """When the call began to come, or the last one ended.

        On the event loop's clock, in seconds.
        """
        if self._read_started_at is not None:
            return self._read_started_at
        return self._idle_started_at

    @property
    def held_bytes(self) -> int:
        """See :class:`.caller_memory.Holder`."""
        if self.stage is caller_memory.Stage.UNREAD:
            return self._unsent
        queued = sum(call.cost for call in self._pending_calls)
        return queued + self._read_cost + len(self._unparsed)

    @property
    def stage(self) -> caller_memory.Stage:
        """What the connection holds memory for."""
        if self._pending_calls or self._unparsed:
            return caller_memory.Stage.QUEUED
        if self._read_cost:
            return caller_memory.Stage.UNFINISHED
        taken = self._unsent_before - self._unsent
        if self._unsent_before and taken < MAX_UNSENT_BYTES < self._unsent:
            return caller_memory.Stage.UNREAD
        return caller_memory.Stage.ACTIVE

    def give_way(self) -> None:
        """Free the memory of what is not being answered, and close.

        A call that is being answered goes on; a response that its caller
        doesn't read is given up.
        """
        stage = self.stage
        self._server.note_gave_way(self.host, stage, self.held_bytes)
        if stage is caller_memory.Stage.UNREAD:
            self.reset()
            return
        self._drop_queue()
        self._reject(503)

    def sweep(
        self, now: float, limits: configuration_model.CallerLimits
    ) -> None:
        """Close the connection if it is idle or its caller sends too slowly.

        A call that arrives too slowly is answered with 408. A connection with
        a call in progress is left open.

        :param now: on the event loop's clock, in seconds.
        """
        self._unsent_before = self._unsent
        self._count_unsent()
        if self._unsent < self._unsent_before:
            self._untaken_since = now
        if self._write_paused and self._task is None:
            if now - self._untaken_since > WRITE_TIMEOUT_S:
                self.reset()
            return
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
        self._server.memory.add(self)
        if not self._server.add(self):
            self._closing = True

    def data_received(self, data: bytes) -> None:
        """Parse received bytes; malformed or oversized calls are rejected."""
        if self._unparsed:
            self._keep_unparsed(self._unparsed + data)
        else:
            self._parse(data)

    def _parse(self, data: bytes) -> None:
        """Parse bytes, unless too many calls wait."""
        if len(data) <= SLICE_BYTES and not self._is_full:
            if not self._closing:
                self._parse_slice(data)
            return
        for start in range(0, len(data), SLICE_BYTES):
            if self._closing:
                return
            if self._is_full:
                self._keep_unparsed(data[start:])
                return
            self._parse_slice(data[start : start + SLICE_BYTES])

    @property
    def _is_full(self) -> bool:
        """Whether no more calls are read for now."""
        return len(self._pending_calls) >= MAX_QUEUED_CALLS

    def _keep_unparsed(self, data: bytes) -> None:
        """Keep bytes for later, and read no more."""
        if self._transport is not None and not self._transport.is_closing():
            self._transport.pause_reading()
        self._server.memory.change(len(data) - len(self._unparsed))
        self._unparsed = data
        self._server.memory.check()

    def _parse_unparsed(self) -> None:
        """Go on with bytes that were kept, and read on."""
        data, self._unparsed = self._unparsed, b""
        self._server.memory.change(-len(data))
        self._parse(data)
        if self._unparsed or self._closing or self._transport is None:
            return
        if not self._transport.is_closing():
            self._transport.resume_reading()

    def _parse_slice(self, data: bytes) -> None:
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
        self._count_read()
        self._server.memory.check()

    def _count_read(self) -> None:
        """Count the memory of the call that is being read."""
        call = self._current_call
        cost = 0
        if call is not None:
            cost = call.cost or self._head_cost(call)
            cost += self._body.size
        if cost != self._read_cost:
            self._server.memory.change(cost - self._read_cost)
            self._read_cost = cost

    def _head_cost(self, call: RawRequest) -> int:
        """The memory of the head that is being read, in bytes."""
        lines = len(call.headers) * caller_memory.LINE_BYTES
        return caller_memory.CALL_BYTES + lines + self._head_bytes

    def _count_unsent(self) -> None:
        """Count the response bytes that the caller has not taken."""
        unsent = self.unsent_bytes
        if unsent != self._unsent:
            self._server.memory.unsent += unsent - self._unsent
            self._unsent = unsent

    def _drop_queue(self) -> None:
        """Release what waits and what is being read."""
        held = sum(call.cost for call in self._pending_calls)
        held += len(self._unparsed) + self._read_cost
        self._server.memory.change(-held)
        self._pending_calls.clear()
        self._unparsed = b""
        self._read_cost = 0
        self._current_call = None
        self._body = _Body()

    def eof_received(self) -> bool:
        """Close the connection when the caller closes its sending side.

        Such a caller is taken to wait for no response.
        """
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Cancel the calls of a caller that has disconnected."""
        self._server.channels.discard(self)
        self._closing = True
        self._drop_queue()
        self._server.memory.unsent -= self._unsent
        self._unsent = 0
        self._server.memory.remove(self)
        if self._drain_waiter is not None and not self._drain_waiter.done():
            self._drain_waiter.set_exception(reply_writer.CallerGone())
        if self._task is not None:
            self._task.cancel()

    def pause_writing(self) -> None:
        """Make :meth:`drain` wait, as the write buffer is above its limit."""
        self._write_paused = True
        self._untaken_since = self._loop.time()

    def resume_writing(self) -> None:
        """Let :meth:`drain` return, as the write buffer has drained."""
        self._write_paused = False
        if self._drain_waiter is not None and not self._drain_waiter.done():
            self._drain_waiter.set_result(None)
        self._count_unsent()
        self._start_next_call()

    # Callbacks of the parser.

    def on_message_begin(self) -> None:
        """Prepare for the next call, whose first bytes have arrived."""
        self._current_call = RawRequest(self._loop.time())
        self._body = _Body()
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
        call.cost = self._head_cost(call)
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
        if self._body.size + len(data) > self._server.limits.body_bytes:
            raise request_checks.RequestRejected(413)
        self._body.append(data)

    def on_message_complete(self) -> None:
        """Queue the call for the handler, as its whole body has arrived.

        The call is started at once if the connection has no earlier one.
        """
        call, self._current_call = self._current_call, None
        self._continue_due = False
        if call is None or self._closing:
            return
        call.body = self._body.join()
        self._body = _Body()
        call.cost += caller_memory.BODY_COPIES * len(call.body)
        self._reading_head = True
        self._head_bytes = 0
        self._read_started_at = None
        self._count_read()
        if not self._server.memory.admits(call.cost):
            self._reject(503)
        if self._closing:
            return
        self._server.memory.change(call.cost)
        if not (call.takes_chunks and self._parser.should_keep_alive()):
            self._closing = True
        self._pending_calls.append(call)
        self._start_next_call()

    def _start_next_call(self) -> None:
        if self._task is None and self._pending_calls:
            if self._write_paused:
                # The caller reads no responses.
                return
            call = self._pending_calls.popleft()
            self._task = self._loop.create_task(self._handle(call))
            # A task that is cancelled before it begins runs none of its code.
            self._task.add_done_callback(
                lambda _: self._server.memory.change(-call.cost)
            )
            if self._unparsed and not self._is_full:
                self._loop.call_soon(self._parse_unparsed)
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
        headers = []
        if status == 503:
            headers.append((b"Retry-After", b"%d" % NO_MEMORY_RETRY_AFTER_S))
        try:
            reply_writer.ReplyWriter(self).send_whole(status, headers)
        except reply_writer.CallerGone:
            return
        self._close_after_flush()

    def _close_after_flush(self) -> None:
        """Close the connection once its buffered bytes are sent."""
        self._closing = True
        if self._transport is not None:
            self._transport.close()
