"""Pools of keep-alive client connections, one pool per address."""

import asyncio
import typing

from . import client_channel

#: Idle time after which a connection is not reused if the peer announced no
#: keep-alive timeout, in seconds. ``Keep-Alive`` has a resolution of a second,
#: so shorter timeouts are not announced.
DEFAULT_IDLE_S = 0.3
#: Share of the announced keep-alive timeout for which an idle connection may
#: be reused. The rest is a margin: if the peer closes the connection while a
#: request is sent, the request may have run.
KEEP_ALIVE_SHARE = 0.7
#: Upper limit of a response body in bytes: many pages of the store's lists.
MAX_RESPONSE_BYTES = 16777216
#: Default timeout for opening a connection, in seconds.
CONNECT_TIMEOUT_S = 1.0
#: Keep-alive timeout that :func:`exchange` assumes if the peer announces none,
#: in seconds. It serves requests to the store, the cloud and other VMs, where
#: a close by the peer is noticed before the next request.
DEFAULT_KEEP_ALIVE_S = 5.0


class PoolFull(client_channel.ChannelError):
    """The pool's connection limit is reached; nothing was sent."""


class ConnectionPool:
    """Connections to one address; the most recently used one is reused first.

    :param limit: maximum number of open connections.
    :param source_host: the address from which to connect; None for any.
    """

    __slots__ = (
        "_host",
        "_idle",
        "_limit",
        "_open",
        "_opened",
        "_port",
        "_retired",
        "_source_host",
    )

    def __init__(
        self,
        host: str,
        port: int,
        limit: int = 256,
        source_host: str | None = None,
    ) -> None:
        self._source_host = source_host
        self._host = host
        self._port = port
        self._limit = limit
        self._idle: list[client_channel.Channel] = []
        self._open: set[client_channel.Channel] = set()
        self._opened = 0
        self._retired = False

    @property
    def address(self) -> str:
        """The address of the connections' peer, as ``host:port``."""
        return f"{self._host}:{self._port}"

    @property
    def open_count(self) -> int:
        """The number of open connections."""
        return len(self._open)

    @property
    def opened_count(self) -> int:
        """The number of connections ever opened."""
        return self._opened

    @property
    def has_idle(self) -> bool:
        """Whether an idle connection may be reused now."""
        now = asyncio.get_running_loop().time()
        return any(c.idle and now < c.reusable_until for c in self._idle)

    def set_limit(self, limit: int) -> None:
        """Change the connection limit; open connections stay open."""
        self._limit = limit

    def take_idle(self) -> client_channel.Channel | None:
        """Take an idle connection that may be reused; None without one."""
        now = asyncio.get_running_loop().time()
        while self._idle:
            channel = self._idle.pop()
            if channel.idle and now < channel.reusable_until:
                return channel
            self._close_channel(channel)
        return None

    async def acquire(
        self, timeout_s: float = CONNECT_TIMEOUT_S, fresh: bool = False
    ) -> client_channel.Channel:
        """Take an idle connection or open one, for one request.

        :param fresh: open a connection even if an idle one is available.
        :raises client_channel.NotConnected: when the connection fails or
            times out.
        :raises PoolFull: when the connection limit is reached.
        """
        kept = None if fresh else self.take_idle()
        if kept is not None:
            return kept
        if len(self._open) >= self._limit:
            raise PoolFull("too many connections are open")
        channel = await client_channel.connect(
            self._host,
            self._port,
            timeout_s,
            self._on_channel_end,
            self._source_host,
        )
        self._opened += 1
        self._open.add(channel)
        return channel

    def release(
        self,
        channel: client_channel.Channel,
        closing: bool,
        keep_alive_s: float | None,
    ) -> None:
        """Return a connection to the pool after a complete response.

        :param closing: whether the peer announced that it closes the
            connection after this response.
        :param keep_alive_s: keep-alive timeout that the peer announced, in
            seconds; None if it announced none.
        """
        if closing or self._retired or not channel.idle:
            self._close_channel(channel)
            return
        kept_s = (
            DEFAULT_IDLE_S
            if keep_alive_s is None
            else KEEP_ALIVE_SHARE * keep_alive_s
        )
        channel.reusable_until = channel.idle_since + kept_s
        self._idle.append(channel)

    def discard(self, channel: client_channel.Channel) -> None:
        """Close a connection whose response did not end cleanly."""
        self._close_channel(channel)

    def close_idle(self) -> None:
        """Close the idle connections; those in use stay open."""
        idle, self._idle = self._idle, []
        for channel in idle:
            self._close_channel(channel)

    def disable_reuse(self) -> None:
        """Close idle connections now, and those in use once released."""
        self._retired = True
        self.close_idle()

    def abort_all(self) -> None:
        """Abort all connections, as if the peer had reset them.

        Their pending requests fail.
        """
        self._retired = True
        while self._open:
            self._open.pop().fail_as_reset()
        self._idle.clear()

    def close_expired(self, now: float) -> None:
        """Close idle connections that may no longer be reused.

        :param now: on the event loop's clock, in seconds.
        """
        stale = [
            c for c in self._idle if not c.idle or now >= c.reusable_until
        ]
        for channel in stale:
            self._idle.remove(channel)
            self._close_channel(channel)

    def _close_channel(self, channel: client_channel.Channel) -> None:
        self._open.discard(channel)
        channel.close()

    def _on_channel_end(self, channel: client_channel.Channel) -> None:
        self._open.discard(channel)
        if channel in self._idle:
            self._idle.remove(channel)


class HttpResponse:
    """A response with its complete body."""

    __slots__ = ("status", "headers", "body")

    def __init__(self, head: client_channel.ResponseHead, body: bytes) -> None:
        self.status = head.status
        self.headers = head.headers
        self.body = body


class NotWanted(client_channel.ChannelError):
    """A request became unwanted while its connection opened; it was not sent.

    See the parameter ``still`` of :func:`exchange`.
    """


async def exchange(
    pool: ConnectionPool,
    request: bytes,
    timeout_s: float,
    fresh: bool = False,
    still: typing.Callable[[], bool] = lambda: True,
) -> HttpResponse:
    """Send a request and read the complete response.

    :param timeout_s: time limit from sending the request to the end of its
        response, in seconds. Opening a connection may take as long in
        addition, but at most :data:`CONNECT_TIMEOUT_S`.
    :param fresh: open a connection even if an idle one is available.
    :param still: called just before sending; tells whether the request is
        still wanted.
    :raises PoolFull: nothing was sent.
    :raises client_channel.NotConnected: nothing was sent.
    :raises NotWanted: nothing was sent.
    :raises client_channel.Broken: the connection failed before the response
        was complete; the peer may have processed the request.
    :raises TimeoutError: the response was not complete in time; the peer may
        have processed the request.
    """
    channel = await pool.acquire(min(CONNECT_TIMEOUT_S, timeout_s), fresh)
    if not still():
        pool.discard(channel)
        raise NotWanted("the request is no longer wanted")
    try:
        async with asyncio.timeout(timeout_s):
            channel.send(request)
            head = await channel.read_head()
            body = await _read_body(channel)
    except BaseException:
        pool.discard(channel)
        raise
    pool.release(
        channel, _announces_close(head), _announced_keep_alive_s(head)
    )
    return HttpResponse(head, body)


async def _read_body(channel: client_channel.Channel) -> bytes:
    """Read a whole body.

    :raises client_channel.Broken: when it is too large.
    """
    parts = []
    size = 0
    while (part := await channel.read_chunk()) is not None:
        parts.append(part)
        size += len(part)
        if size > MAX_RESPONSE_BYTES:
            raise client_channel.Broken("the response body is too large")
    return b"".join(parts)


def _announces_close(head: client_channel.ResponseHead) -> bool:
    return any(
        name.lower() == b"connection" and b"close" in value.lower()
        for name, value in head.headers
    )


def _announced_keep_alive_s(head: client_channel.ResponseHead) -> float | None:
    """The keep-alive timeout that a response head announces, in seconds.

    :returns: :data:`DEFAULT_KEEP_ALIVE_S` without a ``Keep-Alive`` header;
        None if the header states no timeout.
    """
    for name, value in head.headers:
        if name.lower() == b"keep-alive":
            return parse_keep_alive_s(value)
    return DEFAULT_KEEP_ALIVE_S


def parse_keep_alive_s(value: bytes) -> float | None:
    """The timeout in the value of a ``Keep-Alive`` header, in seconds.

    :returns: None if the value states no timeout.
    """
    for part in value.split(b","):
        key, _, number = part.strip().partition(b"=")
        if key.lower() == b"timeout" and number.strip().isdigit():
            return float(number)
    return None


def encode_request(
    method: str,
    target: str,
    host: str,
    body: bytes = b"",
    headers: typing.Iterable[tuple[bytes, bytes]] = (),
) -> bytes:
    """Encode an HTTP request with a JSON body or without a body."""
    lines = [f"{method} {target} HTTP/1.1\r\nHost: {host}\r\n".encode()]
    lines += [name + b": " + value + b"\r\n" for name, value in headers]
    if body or method in ("POST", "PUT"):
        lines.append(
            b"Content-Type: application/json\r\nContent-Length: %d\r\n"
            % len(body)
        )
    return b"".join([*lines, b"\r\n", body])
