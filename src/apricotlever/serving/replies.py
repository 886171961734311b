"""Writes answers to callers."""

import typing

REASONS = {
    200: b"OK",
    400: b"Bad Request",
    401: b"Unauthorized",
    403: b"Forbidden",
    404: b"Not Found",
    408: b"Request Timeout",
    413: b"Content Too Large",
    429: b"Too Many Requests",
    431: b"Request Header Fields Too Large",
    502: b"Bad Gateway",
    503: b"Service Unavailable",
    504: b"Gateway Timeout",
}


class Channel(typing.Protocol):
    """A caller's connection, as a reply uses it."""

    @property
    def closing(self) -> bool:
        """Whether this is the last answer on the connection."""

    @property
    def host(self) -> str:
        """The caller's IP number."""

    @property
    def behind(self) -> bool:
        """Whether the caller reads slower than its answer comes."""

    def write(self, data: bytes) -> None:
        """Queue bytes for the caller."""

    async def drained(self) -> None:
        """Wait while the caller is far behind."""

    def close(self) -> None:
        """Close at once."""


class CallerGone(Exception):
    """The caller has closed its connection."""


class Reply:
    """Writes the answer to one call, once.

    :param channel: the caller's connection.
    """

    __slots__ = ("_channel", "_ended", "_started", "status")

    def __init__(self, channel: Channel) -> None:
        self._channel = channel
        self._started = False
        self._ended = False
        self.status = 0

    @property
    def started(self) -> bool:
        """Whether the caller has seen a status."""
        return self._started

    @property
    def ended(self) -> bool:
        """Whether the answer is over, whole or not."""
        return self._ended

    @property
    def caller_host(self) -> str:
        """The caller's IP number."""
        return self._channel.host

    def whole(
        self,
        status: int,
        headers: typing.Iterable[tuple[bytes, bytes]],
        body: bytes = b"",
    ) -> None:
        """Write a whole answer."""
        lines = self._head(status, headers)
        lines.append(b"Content-Length: %d\r\n\r\n" % len(body))
        lines.append(body)
        self._ended = True
        self._channel.write(b"".join(lines))

    def start(
        self, status: int, headers: typing.Iterable[tuple[bytes, bytes]]
    ) -> None:
        """Write the head of an answer that comes in pieces."""
        lines = self._head(status, headers)
        lines.append(b"Transfer-Encoding: chunked\r\n\r\n")
        self._channel.write(b"".join(lines))

    def send(self, data: bytes) -> bool:
        """Write a piece.

        :returns: False when the caller is far behind; wait for
            :meth:`drained` then.
        :raises CallerGone: when nobody reads any more.
        """
        self._channel.write(b"%x\r\n%b\r\n" % (len(data), data))
        return not self._channel.behind

    async def drained(self) -> None:
        """Wait while the caller is far behind.

        :raises CallerGone: when it does not read for too long.
        """
        await self._channel.drained()

    def finish(self) -> None:
        """The answer is complete."""
        self._ended = True
        self._channel.write(b"0\r\n\r\n")

    def cut(self) -> None:
        """End an answer early, so that it can't be taken for a whole one."""
        self._ended = True
        self._channel.close()

    def _head(
        self, status: int, headers: typing.Iterable[tuple[bytes, bytes]]
    ) -> list[bytes]:
        self._started = True
        self.status = status
        reason = REASONS.get(status, b"Status")
        lines = [b"HTTP/1.1 %d %b\r\n" % (status, reason)]
        lines += [b"%b: %b\r\n" % header for header in headers]
        if self._channel.closing:
            lines.append(b"Connection: close\r\n")
        return lines
