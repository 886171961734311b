"""HTTP/1.1 connections that this VM opens, one exchange at a time each.

A connection whose exchange did not end cleanly is closed and never used
again: what still arrives on it could otherwise be taken for the answer to
somebody else's call.
"""

import asyncio
import collections
import socket
import typing

import httptools

from . import messages

#: Body bytes held for a slow reader before the connection stops reading.
MOST_HELD_BYTES = 262144
#: Milliseconds that sent bytes may stay unacknowledged. Without it a write
#: into a connection that went silent is noticed only after many minutes.
UNACKNOWLEDGED_MS = 2500

AcceptHead = typing.Callable[[int, messages.Headers], bool]
#: Takes body bytes as they come; False when it wants no more for now.
Tap = typing.Callable[[bytes], bool]


class ChannelError(Exception):
    """Any failure of an exchange."""


class NotConnected(ChannelError):
    """The connection could not be opened; nothing was sent.

    :param refused: nobody listens there, rather than none opened in time.
    """

    def __init__(self, reason: str, refused: bool = False) -> None:
        super().__init__(reason)
        self.refused = refused


class Broken(ChannelError):
    """The connection ended, or sent what is no answer, midway.

    :param reset: whether the other side closed or reset it.
    """

    def __init__(self, reason: str, reset: bool = False) -> None:
        super().__init__(reason)
        self.reset = reset


class Head:
    """Status and headers of an answer."""

    __slots__ = ("status", "headers")

    def __init__(self, status: int, headers: messages.Headers) -> None:
        self.status = status
        self.headers = headers


class Channel(asyncio.Protocol):
    """One connection.

    Only one task uses it at a time: :meth:`send`, then :meth:`head`, then
    :meth:`chunk` until it gives None.
    """

    __slots__ = (
        "_accept",
        "_answer_status",
        "_chunks",
        "_error",
        "_expecting",
        "_head",
        "_headers",
        "_held",
        "_idle_since",
        "_in_answer",
        "_loop",
        "_on_idle_end",
        "_parser",
        "_paused",
        "_skipping",
        "_tap",
        "_transport",
        "_until_close",
        "_waiter",
        "uses",
        "keep_until",
    )

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        on_idle_end: "typing.Callable[[Channel], None] | None" = None,
    ) -> None:
        self._loop = loop
        self._on_idle_end = on_idle_end
        self._transport: asyncio.Transport | None = None
        self._waiter: asyncio.Future[None] | None = None
        self._error: Broken | None = None
        self._accept: AcceptHead | None = None
        self._expecting = False
        self._in_answer = False
        self._skipping = False
        self._tap: Tap | None = None
        self._until_close = False
        self._head: Head | None = None
        self._headers: list[tuple[bytes, bytes]] = []
        self._chunks: collections.deque[bytes | None] = collections.deque()
        self._held = 0
        self._paused = False
        self._parser = httptools.HttpResponseParser(self)
        self._idle_since = loop.time()
        #: Exchanges so far.
        self.uses = 0
        #: On the loop's clock; past it the connection is not used again.
        self.keep_until = float("inf")

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
        """Whether the last exchange is over and nothing is left of it."""
        return self.open and not self._expecting and not self._chunks

    @property
    def idle_since(self) -> float:
        """When the last exchange ended, on the loop's clock."""
        return self._idle_since

    def send(self, request: bytes, accept: AcceptHead | None = None) -> None:
        """Start an exchange.

        :param accept: tells whether a head answers this request; an answer
            that does not is skipped, as it came late for an earlier one.
        :raises Broken: when the connection has ended meanwhile.
        """
        if not self.idle or self._transport is None:
            raise self._error or Broken("the connection is not idle")
        self._accept = accept
        self._expecting = True
        self._head = None
        self.uses += 1
        self._transport.write(request)

    async def head(self) -> Head:
        """Wait for the head of the answer.

        :raises Broken: when the exchange cannot go on.
        """
        while self._head is None:
            await self._wait()
        return self._head

    async def chunk(self) -> bytes | None:
        """Wait for more of the body; None at its end.

        :raises Broken: when the rest will not come.
        """
        while not self._chunks:
            await self._wait()
        data = self._chunks.popleft()
        if data is not None:
            self._held -= len(data)
            if self._paused and self._held < MOST_HELD_BYTES // 2:
                self._resume()
        return data

    def tap(self, tap: Tap) -> None:
        """Hand over body bytes as they come, without waking a task.

        A task that waits for each event costs a turn of the loop for each,
        with a system call of its own. The tap ends when it says so, with an
        empty chunk for whoever waits in :meth:`chunk`, or with the answer.
        """
        if not self._chunks:
            self._tap = tap

    def ready_chunks(self) -> bytes:
        """Body bytes that are here already, without waiting."""
        ready = []
        while self._chunks and self._chunks[0] is not None:
            ready.append(self._chunks.popleft())
        data = b"".join(part for part in ready if part is not None)
        self._held -= len(data)
        if self._paused and self._held < MOST_HELD_BYTES // 2:
            self._resume()
        return data

    def close(self) -> None:
        """Close at once; whatever is under way is given up."""
        self._fail(Broken("closed by this VM"))
        self._abort()

    def other_side_ended(self) -> None:
        """Close, as the process on the other side is known to have ended."""
        self._fail(Broken("the other side has ended", reset=True))
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
        self._tap = None
        self._wake()

    def _resume(self) -> None:
        self._paused = False
        if self._transport is not None and not self._transport.is_closing():
            self._transport.resume_reading()

    # What asyncio calls.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """The connection is open."""
        self._transport = typing.cast(asyncio.Transport, transport)
        sock = transport.get_extra_info("socket")
        if sock is not None:
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            sock.setsockopt(
                socket.IPPROTO_TCP,
                socket.TCP_USER_TIMEOUT,
                UNACKNOWLEDGED_MS,
            )

    def data_received(self, data: bytes) -> None:
        """Bytes of the answer, or bytes that nobody asked for."""
        if self._error is not None:
            return
        if not self._expecting:
            self._unasked()
            return
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, ValueError) as error:
            self._fail(Broken(f"not an answer: {type(error).__name__}"))
            self._abort()
        if self._held > MOST_HELD_BYTES and not self._paused:
            self._paused = True
            if self._transport is not None:
                self._transport.pause_reading()

    def eof_received(self) -> bool:
        """The other side has closed its half."""
        if self._expecting and self._in_answer and self._until_close:
            self._end_of_answer()
        self._fail(Broken("closed by the other side", reset=True))
        self._idle_end()
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """The connection is gone."""
        reason = "closed" if exc is None else type(exc).__name__
        self._fail(Broken(reason, reset=True))
        self._idle_end()

    # What the parser calls.

    def on_message_begin(self) -> None:
        """An answer begins."""
        if not self._expecting:
            # Bytes after a complete answer belong to no call.
            self._unasked()
        self._headers = []
        self._in_answer = True

    def on_header(self, name: bytes, value: bytes) -> None:
        """One header of the answer."""
        self._headers.append((name, value))

    def on_headers_complete(self) -> None:
        """The head is whole."""
        if not self._expecting or self._error is not None:
            return
        status = self._parser.get_status_code()
        names = {name.lower() for name, _ in self._headers}
        self._until_close = (
            b"content-length" not in names
            and b"transfer-encoding" not in names
            and status >= 200
            and status not in (204, 304)
        )
        if status < 200:
            self._skipping = True
            return
        accept = self._accept
        self._skipping = accept is not None and not accept(
            status, self._headers
        )
        if not self._skipping:
            self._head = Head(status, self._headers)
            self._wake()

    def on_body(self, data: bytes) -> None:
        """A part of the body."""
        if not self._expecting or self._skipping or self._error is not None:
            return
        if self._tap is not None:
            if self._tap(data):
                return
            self._tap = None
            data = b""
        self._chunks.append(data)
        self._held += len(data)
        self._wake()

    def on_message_complete(self) -> None:
        """The answer is whole."""
        if not self._expecting or self._error is not None:
            return
        if self._skipping:
            self._skipping = False
            self._in_answer = False
            return
        self._end_of_answer()

    def _end_of_answer(self) -> None:
        if self._skipping:
            return
        self._expecting = False
        self._in_answer = False
        self._tap = None
        self._idle_since = self._loop.time()
        self._chunks.append(None)
        self._wake()

    def _unasked(self) -> None:
        self._fail(Broken("bytes that nobody asked for"))
        self._abort()
        self._idle_end()

    def _abort(self) -> None:
        if self._transport is not None:
            self._transport.abort()

    def _idle_end(self) -> None:
        if self._on_idle_end is not None:
            callback, self._on_idle_end = self._on_idle_end, None
            callback(self)


async def connect(
    host: str,
    port: int,
    timeout_s: float,
    on_end: typing.Callable[[Channel], None] | None = None,
) -> Channel:
    """Open a connection.

    :param on_end: called once when the connection ends.
    :raises NotConnected: when it does not open in time.
    """
    loop = asyncio.get_running_loop()
    channel = Channel(loop, on_end)
    try:
        async with asyncio.timeout(timeout_s):
            await loop.create_connection(lambda: channel, host, port)
    except (OSError, TimeoutError) as error:
        refused = isinstance(error, ConnectionRefusedError)
        raise NotConnected(type(error).__name__, refused) from error
    return channel
