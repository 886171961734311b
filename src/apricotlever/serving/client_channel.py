"""HTTP/1.1 client connections, each with one request in progress at a time.

A connection whose exchange did not end cleanly is closed and never reused,
because bytes that still arrive on it could be taken for the response to
another caller's request.
"""

import asyncio
import collections
import enum
import socket
import typing

import httptools

from .. import socket_options

from . import messages
from . import read_bounds

#: Body bytes buffered for a slow consumer before the connection stops reading.
MAX_BUFFERED_BYTES = 262144
#: Upper limit of the late responses to earlier requests that are skipped for
#: one request, and of the bytes of their bodies.
MAX_SKIPPED_RESPONSES = 16
MAX_SKIPPED_BYTES = 16777216
#: The statuses that HTTP has.
MIN_STATUS, MAX_STATUS = 100, 599
#: A request that a peer has received once it answers, in bytes.
SMALL_REQUEST_BYTES = 65536
#: Time beyond the limit for connecting in which the loop handles what has
#: arrived until then, in seconds.
PROCESSING_S = 0.01

#: Takes status and headers; returns whether they answer the pending request.
HeadFilter = typing.Callable[[int, messages.Headers], bool]
#: Takes body bytes as they arrive; returns False to stop receiving them.
BodyCallback = typing.Callable[[bytes], bool]


class ChannelError(Exception):
    """Base class for failures of a request on a connection."""


class NotConnected(ChannelError):
    """The connection could not be opened; nothing was sent.

    :param refused: whether the peer refused the connection, as opposed to a
        timeout or another error.
    """

    def __init__(self, reason: str, refused: bool = False) -> None:
        super().__init__(reason)
        self.refused = refused


class Broken(ChannelError):
    """The connection failed, or received an invalid response.

    :param reset: whether the peer closed or reset it.
    """

    def __init__(self, reason: str, reset: bool = False) -> None:
        super().__init__(reason)
        self.reset = reset


class BodyEnd(enum.Enum):
    """What showed the end of a response's body."""

    #: The peer's framing: the announced length, or the last chunk.
    FRAMED = "framed"
    #: The end of the connection; the body had neither length nor chunks.
    CLOSED = "closed"


class ResponseHead:
    """Status and headers of a response."""

    __slots__ = ("status", "headers")

    def __init__(self, status: int, headers: messages.Headers) -> None:
        self.status = status
        self.headers = headers


class Channel(asyncio.Protocol):
    """One client connection to an HTTP server, its peer.

    Only one task may use it at a time. For each request it calls
    :meth:`send`, then :meth:`read_head`, then :meth:`read_chunk` until that
    returns None.

    :param on_end: called once when the connection ends.
    """

    __slots__ = (
        "_head_filter",
        "_answer_status",
        "_body_chunks",
        "_error",
        "_awaiting_response",
        "_bounds",
        "_head",
        "_headers",
        "_buffered_bytes",
        "_idle_since",
        "_in_response",
        "_loop",
        "_on_end",
        "_parser",
        "_read_paused",
        "_reading_head",
        "_request_bytes",
        "_skipped_bytes",
        "_skipped_responses",
        "_skipping_response",
        "_socket",
        "_body_callback",
        "_body_end",
        "_transport",
        "_body_until_close",
        "_waiter",
        "echoes_ids",
        "uses",
        "reusable_until",
    )

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        on_end: "typing.Callable[[Channel], None] | None" = None,
    ) -> None:
        self._loop = loop
        self._request_bytes = 0
        self._on_end = on_end
        self._transport: asyncio.Transport | None = None
        self._socket: socket.socket | None = None
        self._waiter: asyncio.Future[None] | None = None
        self._error: Broken | None = None
        self._head_filter: HeadFilter | None = None
        self._awaiting_response = False
        self._in_response = False
        self._skipping_response = False
        self._body_callback: BodyCallback | None = None
        self._body_until_close = False
        self._body_end: BodyEnd | None = None
        self._head: ResponseHead | None = None
        self._headers: list[tuple[bytes, bytes]] = []
        self._body_chunks: collections.deque[bytes | None] = (
            collections.deque()
        )
        self._buffered_bytes = 0
        self._read_paused = False
        self._reading_head = True
        self._bounds = read_bounds.ReadBounds()
        self._skipped_responses = 0
        self._skipped_bytes = 0
        self._parser = httptools.HttpResponseParser(self)
        self._idle_since = loop.time()
        #: Whether a response on this connection named its request.
        self.echoes_ids = False
        #: Number of requests sent on this connection.
        self.uses = 0
        #: Until when the connection may be reused, on the event loop's clock
        #: in seconds.
        self.reusable_until = float("inf")

    @property
    def open(self) -> bool:
        """Whether the connection can still be used."""
        return (
            self._error is None
            and self._transport is not None
            and not self._transport.is_closing()
        )

    @property
    def idle(self) -> bool:
        """Whether the channel is open, with no pending or unread response."""
        return (
            self.open and not self._awaiting_response and not self._body_chunks
        )

    @property
    def body_end(self) -> BodyEnd | None:
        """What showed the end of the last response; None before its end."""
        return self._body_end

    @property
    def idle_since(self) -> float:
        """When the last response ended, on the event loop's clock.

        Before the first response, when the channel was created.
        """
        return self._idle_since

    def send(
        self, request: bytes, head_filter: HeadFilter | None = None
    ) -> None:
        """Send a request.

        :param head_filter: tells whether a response head answers this
            request; other responses are skipped, as they are late ones to
            earlier requests.
        :raises Broken: when the connection has ended or is not idle.
        """
        if not self.idle or self._transport is None:
            raise self._error or Broken("the connection is not idle")
        self._head_filter = head_filter
        self._awaiting_response = True
        self._head = None
        self._body_end = None
        self._skipped_responses = 0
        self._skipped_bytes = 0
        self.uses += 1
        self._set_probing(True)
        self._request_bytes = len(request)
        self._transport.write(request)

    async def read_head(self) -> ResponseHead:
        """Wait for the head of the response.

        :raises Broken: when the connection has failed.
        """
        while self._head is None:
            await self._wait()
        return self._head

    async def read_chunk(self) -> bytes | None:
        """Wait for the next part of the response body.

        :returns: the part, which is empty if the body callback has just
            stopped receiving; None at the end of the body.
        :raises Broken: when the connection has failed.
        """
        while not self._body_chunks:
            await self._wait()
        data = self._body_chunks.popleft()
        if data is not None:
            self._buffered_bytes -= len(data)
            if (
                self._read_paused
                and self._buffered_bytes < MAX_BUFFERED_BYTES // 2
            ):
                self._resume()
        return data

    def set_body_callback(self, callback: BodyCallback) -> None:
        """Pass body bytes to a callback as they arrive, without waking a task.

        Waking a task for each event costs an event loop iteration and a
        system call per event. The callback is removed when it returns False,
        which wakes :meth:`read_chunk` with an empty chunk, or at the end of
        the response. If unread chunks are buffered, the callback is not set,
        as it would get later bytes before them.
        """
        if not self._body_chunks:
            self._body_callback = callback

    def read_buffered(self) -> bytes:
        """Take the buffered body bytes without waiting for more."""
        ready = []
        while self._body_chunks and self._body_chunks[0] is not None:
            ready.append(self._body_chunks.popleft())
        data = b"".join(part for part in ready if part is not None)
        self._buffered_bytes -= len(data)
        if (
            self._read_paused
            and self._buffered_bytes < MAX_BUFFERED_BYTES // 2
        ):
            self._resume()
        return data

    def close(self) -> None:
        """Abort the connection and fail the pending request."""
        self._fail(Broken("closed by this VM"))
        self._abort()

    def fail_as_reset(self) -> None:
        """Abort the connection as if the peer had reset it.

        For a peer whose process is known to have ended.
        """
        self._fail(Broken("the peer process has ended", reset=True))
        self._abort()

    async def _wait(self) -> None:
        if self._error is not None:
            raise self._error
        self._waiter = self._loop.create_future()
        try:
            await self._waiter
        finally:
            self._waiter = None

    def _wake(self) -> None:
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(None)

    def _fail(self, error: Broken) -> None:
        if self._error is None:
            self._error = error
        self._body_callback = None
        self._wake()

    def _resume(self) -> None:
        self._read_paused = False
        if self._transport is not None and not self._transport.is_closing():
            self._transport.resume_reading()

    # Callbacks of asyncio.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Set socket options on the open connection."""
        self._transport = typing.cast(asyncio.Transport, transport)
        self._socket = transport.get_extra_info("socket")
        if self._socket is not None:
            socket_options.CALLS.apply(self._socket, probing=False)

    def data_received(self, data: bytes) -> None:
        """Parse bytes of the response; abort on unexpected bytes."""
        if self._error is not None:
            return
        if not self._awaiting_response:
            self._reject_unexpected_bytes()
            return
        try:
            self._parser.feed_data(data)
            self._bounds.check(len(data), self._loop.time())
        except (httptools.HttpParserError, ValueError) as error:
            cause = error.__context__
            if not isinstance(cause, read_bounds.Endless):
                cause = error
            self._fail(Broken(f"not an answer: {type(cause).__name__}"))
            self._abort()
        except read_bounds.Endless as error:
            self._fail(Broken(f"not an answer: {error}"))
            self._abort()
        if self._buffered_bytes > MAX_BUFFERED_BYTES and not self._read_paused:
            self._read_paused = True
            if self._transport is not None:
                self._transport.pause_reading()

    def eof_received(self) -> bool:
        """Handle that the peer has closed its sending side.

        This ends a response body of unannounced length. Any other pending
        request fails.
        """
        if (
            self._awaiting_response
            and self._in_response
            and self._body_until_close
        ):
            if self._has_unread_request:
                # A runner that stops in the middle ends its answer so, too.
                self._fail(Broken("ended before it read its request", True))
            else:
                self._finish_response(BodyEnd.CLOSED)
        self._fail(Broken("closed by the other side", reset=True))
        self._notify_end()
        return False

    @property
    def _has_unread_request(self) -> bool:
        """Whether the peer's machine has not received the whole request."""
        if self._transport is None:
            return False
        if self._transport.get_write_buffer_size():
            return True
        if self._request_bytes <= SMALL_REQUEST_BYTES or self._socket is None:
            return False
        return socket_options.unacknowledged_bytes(self._socket) > 0

    def connection_lost(self, exc: Exception | None) -> None:
        """Fail the pending request and report the end of the connection.

        A connection that timed out, or whose peer became unreachable, was not
        closed by the peer, whose process may be sound.
        """
        reason = "closed" if exc is None else type(exc).__name__
        reset = exc is None or isinstance(exc, ConnectionError)
        self._fail(Broken(reason, reset))
        self._notify_end()

    # Callbacks of the parser.

    def on_message_begin(self) -> None:
        """Prepare for a response, whose first bytes have arrived."""
        if not self._awaiting_response:
            # A second response after a complete one answers no request.
            self._reject_unexpected_bytes()
        self._headers = []
        self._reading_head = True
        self._in_response = True

    def on_header(self, name: bytes, value: bytes) -> None:
        """Append a header of the response; trailers are ignored.

        :raises read_bounds.Endless: when there are too many.
        """
        if not self._reading_head:
            return
        if len(self._headers) >= read_bounds.MAX_FIELDS:
            raise read_bounds.Endless("too many fields in a head")
        self._headers.append((name, value))

    def on_headers_complete(self) -> None:
        """Hand the response head over to :meth:`read_head`.

        Interim responses (1xx) are skipped, and so are those which the head
        filter takes for late responses to earlier requests.
        """
        self._reading_head = False
        if not self._awaiting_response or self._error is not None:
            return
        status = self._parser.get_status_code()
        if not MIN_STATUS <= status <= MAX_STATUS:
            raise ValueError(f"the status {status}")
        names = {name.lower() for name, _ in self._headers}
        self._body_until_close = (
            b"content-length" not in names
            and b"transfer-encoding" not in names
            and status >= 200
            and status not in (204, 304)
        )
        if status < 200:
            self._skipping_response = True
            return
        head_filter = self._head_filter
        self._skipping_response = head_filter is not None and not head_filter(
            status, self._headers
        )
        if self._skipping_response:
            self._skipped_responses += 1
            if self._skipped_responses > MAX_SKIPPED_RESPONSES:
                raise read_bounds.Endless("too many late responses")
            return
        self._bounds.advance()
        self._head = ResponseHead(status, self._headers)
        self._wake()

    def on_chunk_header(self) -> None:
        """Note that a chunk begins, the last one of a body too."""
        self._bounds.advance()

    def on_body(self, data: bytes) -> None:
        """Pass a part of the body to the callback, or buffer it."""
        self._bounds.advance()
        if not self._awaiting_response or self._error is not None:
            return
        if self._skipping_response:
            self._skipped_bytes += len(data)
            if self._skipped_bytes > MAX_SKIPPED_BYTES:
                raise read_bounds.Endless("a late response without end")
            return
        if self._body_callback is not None:
            if self._body_callback(data):
                return
            self._body_callback = None
            data = b""
        self._body_chunks.append(data)
        self._buffered_bytes += len(data)
        self._wake()

    def on_message_complete(self) -> None:
        """End the response; after a skipped one, wait for the next."""
        if self._parser.get_status_code() >= 200:
            self._bounds.advance()
        if not self._awaiting_response or self._error is not None:
            return
        if self._skipping_response:
            self._skipping_response = False
            self._in_response = False
            return
        self._finish_response(BodyEnd.FRAMED)

    def _finish_response(self, body_end: BodyEnd) -> None:
        if self._skipping_response:
            return
        self._body_end = body_end
        self._awaiting_response = False
        self._in_response = False
        self._body_callback = None
        self._idle_since = self._loop.time()
        self._set_probing(False)
        self._body_chunks.append(None)
        self._wake()

    def _reject_unexpected_bytes(self) -> None:
        self._fail(Broken("unexpected bytes outside a response"))
        self._abort()
        self._notify_end()

    def _abort(self) -> None:
        if self._transport is not None:
            self._transport.abort()

    def _set_probing(self, probing: bool) -> None:
        """Let the kernel probe the peer while a response is awaited only.

        Probes on the idle connections of all pools would be traffic between
        data centres, for connections that may never be used again.
        """
        if self._socket is not None and self.open:
            socket_options.set_probing(self._socket, probing)

    def _notify_end(self) -> None:
        if self._on_end is not None:
            callback, self._on_end = self._on_end, None
            callback(self)


async def connect(
    host: str,
    port: int,
    timeout_s: float,
    on_end: typing.Callable[[Channel], None] | None = None,
    source_host: str | None = None,
) -> Channel:
    """Open a connection.

    :param on_end: called once when the connection ends.
    :param source_host: the address from which to connect; None for any.
    :raises NotConnected: when the connection fails or times out.
    """
    loop = asyncio.get_running_loop()
    channel = Channel(loop, on_end)
    try:
        async with asyncio.timeout(None) as limit:
            timer = loop.call_later(timeout_s, _expire_soon, loop, limit)
            try:
                await loop.create_connection(
                    lambda: channel,
                    host,
                    port,
                    local_addr=(source_host, 0) if source_host else None,
                )
            finally:
                timer.cancel()
    except (OSError, TimeoutError) as error:
        refused = isinstance(error, ConnectionRefusedError)
        raise NotConnected(type(error).__name__, refused) from error
    return channel


def _expire_soon(
    loop: asyncio.AbstractEventLoop, limit: asyncio.Timeout
) -> None:
    """Let a time limit that has run out expire after what has arrived.

    If this process was paused, the connection may have opened meanwhile, and
    the loop runs the timer before the code that waits for the connection.
    """
    limit.reschedule(loop.time() + PROCESSING_S)
