"""Kept connections to one address."""

import asyncio
import typing

from . import channels

#: How long a connection may idle whose other side did not say how long it
#: keeps one. An idle time below a second is not announced.
UNANNOUNCED_S = 0.3
#: Part of the announced idle time that is used. A request that crosses the
#: close of an idle connection may have run for all this VM knows.
KEEP_PART = 0.7
CONNECT_S = 1.0
#: How long connections to the store, the cloud and peers are taken to be kept
#: when the other side does not say; a close is seen before the next call.
SILENT_KEEP_S = 5.0


class PoolFull(channels.ChannelError):
    """As many connections are open as may be; nothing was sent."""


class Pool:
    """Connections to one address; the one used last is used first.

    :param limit: connections open at once.
    """

    __slots__ = (
        "_host",
        "_idle",
        "_limit",
        "_open",
        "_opened",
        "_port",
        "_retired",
    )

    def __init__(self, host: str, port: int, limit: int = 256) -> None:
        self._host = host
        self._port = port
        self._limit = limit
        self._idle: list[channels.Channel] = []
        self._open: set[channels.Channel] = set()
        self._opened = 0
        self._retired = False

    @property
    def address(self) -> str:
        """``host:port``."""
        return f"{self._host}:{self._port}"

    @property
    def open(self) -> int:
        """Connections open now."""
        return len(self._open)

    @property
    def opened(self) -> int:
        """Connections ever opened."""
        return self._opened

    def set_limit(self, limit: int) -> None:
        """Change how many may be open; open ones stay."""
        self._limit = limit

    def kept(self) -> channels.Channel | None:
        """A kept connection that may be used, or None."""
        now = asyncio.get_running_loop().time()
        while self._idle:
            channel = self._idle.pop()
            if channel.idle and now < channel.keep_until:
                return channel
            self._drop(channel)
        return None

    async def acquire(
        self, timeout_s: float = CONNECT_S, fresh: bool = False
    ) -> channels.Channel:
        """A connection for one exchange.

        :param fresh: open a new one even if one is kept.
        :raises channels.NotConnected: when none opens in time.
        :raises PoolFull: when too many are open.
        """
        kept = None if fresh else self.kept()
        if kept is not None:
            return kept
        if len(self._open) >= self._limit:
            raise PoolFull("too many connections are open")
        channel = await channels.connect(
            self._host, self._port, timeout_s, self._ended
        )
        self._opened += 1
        self._open.add(channel)
        return channel

    def release(
        self,
        channel: channels.Channel,
        closing: bool,
        keep_alive_s: float | None,
    ) -> None:
        """Give a connection back after its exchange.

        :param closing: the other side said that it closes it.
        :param keep_alive_s: how long it said that it keeps it.
        """
        if closing or self._retired or not channel.idle:
            self._drop(channel)
            return
        kept_s = (
            UNANNOUNCED_S if keep_alive_s is None else KEEP_PART * keep_alive_s
        )
        channel.keep_until = channel.idle_since + kept_s
        self._idle.append(channel)

    def discard(self, channel: channels.Channel) -> None:
        """Close a connection whose exchange did not end cleanly."""
        self._drop(channel)

    def close(self) -> None:
        """Close all idle connections; those in use end with their use."""
        idle, self._idle = self._idle, []
        for channel in idle:
            self._drop(channel)

    def retire(self) -> None:
        """Keep no connection any more; those in use end with their use."""
        self._retired = True
        self.close()

    def other_side_ended(self) -> None:
        """Break all connections off, those in use included."""
        self._retired = True
        while self._open:
            self._open.pop().other_side_ended()
        self._idle.clear()

    def close_old(self, now: float) -> None:
        """Close idle connections that will not be used again."""
        stale = [c for c in self._idle if not c.idle or now >= c.keep_until]
        for channel in stale:
            self._idle.remove(channel)
            self._drop(channel)

    def _drop(self, channel: channels.Channel) -> None:
        self._open.discard(channel)
        channel.close()

    def _ended(self, channel: channels.Channel) -> None:
        self._open.discard(channel)
        if channel in self._idle:
            self._idle.remove(channel)


class Answer:
    """A whole answer."""

    __slots__ = ("status", "headers", "body")

    def __init__(self, head: channels.Head, body: bytes) -> None:
        self.status = head.status
        self.headers = head.headers
        self.body = body


class NotWanted(channels.ChannelError):
    """A call was no longer wanted when it could be sent; nothing was."""


async def call(
    pool: Pool,
    request: bytes,
    timeout_s: float,
    fresh: bool = False,
    still: typing.Callable[[], bool] = lambda: True,
) -> Answer:
    """One whole exchange.

    :param still: asked just before it is sent, whether it is still wanted.
    :raises channels.NotConnected: nothing was sent.
    :raises NotWanted: likewise.
    :raises channels.Broken: it was sent, and the answer did not come.
    :raises TimeoutError: likewise.
    """
    channel = await pool.acquire(min(CONNECT_S, timeout_s), fresh)
    if not still():
        pool.discard(channel)
        raise NotWanted("it was no longer wanted")
    try:
        async with asyncio.timeout(timeout_s):
            channel.send(request)
            head = await channel.head()
            body = await _rest(channel)
    except BaseException:
        pool.discard(channel)
        raise
    pool.release(channel, _closing(head), _keep_alive(head))
    return Answer(head, body)


async def _rest(channel: channels.Channel) -> bytes:
    parts = []
    while (part := await channel.chunk()) is not None:
        parts.append(part)
    return b"".join(parts)


def _closing(head: channels.Head) -> bool:
    return any(
        name.lower() == b"connection" and b"close" in value.lower()
        for name, value in head.headers
    )


def _keep_alive(head: channels.Head) -> float | None:
    """The idle time that a head announces; a kept store answers many."""
    for name, value in head.headers:
        if name.lower() == b"keep-alive":
            return keep_alive_s(value)
    return SILENT_KEEP_S


def keep_alive_s(value: bytes) -> float | None:
    """The seconds of a ``Keep-Alive`` header, None if it has none."""
    for part in value.split(b","):
        key, _, number = part.strip().partition(b"=")
        if key.lower() == b"timeout" and number.strip().isdigit():
            return float(number)
    return None


def request_bytes(
    method: str,
    target: str,
    host: str,
    body: bytes = b"",
    headers: typing.Iterable[tuple[bytes, bytes]] = (),
) -> bytes:
    """A request with a JSON body or none."""
    lines = [f"{method} {target} HTTP/1.1\r\nHost: {host}\r\n".encode()]
    lines += [name + b": " + value + b"\r\n" for name, value in headers]
    if body or method in ("POST", "PUT"):
        lines.append(
            b"Content-Type: application/json\r\nContent-Length: %d\r\n"
            % len(body)
        )
    return b"".join([*lines, b"\r\n", body])
