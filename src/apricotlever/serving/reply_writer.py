"""Writes HTTP responses to callers, as a whole or as a stream of chunks."""

import typing

from . import attempt_outcome

REASON_PHRASES = {
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


class ReplyChannel(typing.Protocol):
    """The part of a caller's connection that :class:`ReplyWriter` uses."""

    @property
    def closing(self) -> bool:
        """Whether the connection closes after the current response."""

    @property
    def host(self) -> str:
        """The caller's IP address."""

    @property
    def write_paused(self) -> bool:
        """Whether writers should wait, as the write buffer is too full."""

    def write(self, data: bytes) -> None:
        """Send bytes, or buffer them until the caller reads.

        :raises CallerGone: when the connection is closed.
        """

    async def drain(self) -> None:
        """Wait while the write buffer is too full to write on.

        :raises CallerGone: when the caller disconnects or does not read.
        """

    def close(self) -> None:
        """Abort the connection."""

    def reset(self) -> None:
        """Reset the connection."""


class CallerGone(Exception):
    """The caller closed its connection, or stopped reading for too long."""


class ReplyWriter:
    """Writes the response to one call.

    The response is either written by :meth:`send_whole`, or by
    :meth:`start_stream`, :meth:`send_chunk` and :meth:`finish`. Its ``status``
    is 0 until the head is written.

    A caller that takes no chunks gets a stream that ends with its connection,
    which is reset if the stream is broken off.

    :param channel: the caller's connection.
    :param takes_chunks: whether the caller takes chunks.
    """

    __slots__ = ("_channel", "_ended", "_started", "_takes_chunks", "status")

    def __init__(
        self, channel: ReplyChannel, takes_chunks: bool = True
    ) -> None:
        self._channel = channel
        self._takes_chunks = takes_chunks
        self._started = False
        self._ended = False
        self.status = 0

    @property
    def started(self) -> bool:
        """Whether the status line was written."""
        return self._started

    @property
    def ended(self) -> bool:
        """Whether the response has ended, complete or not."""
        return self._ended

    @property
    def caller_host(self) -> str:
        """The caller's IP address."""
        return self._channel.host

    def send_whole(
        self,
        status: int,
        headers: typing.Iterable[tuple[bytes, bytes]],
        body: bytes = b"",
    ) -> None:
        """Write a complete response; none of it may have been written before.

        :raises CallerGone: when the connection is closed.
        """
        assert not self._started, "the response has begun"
        lines = self._head(status, headers)
        lines.append(b"Content-Length: %d\r\n\r\n" % len(body))
        lines.append(body)
        self._ended = True
        self._channel.write(b"".join(lines))

    def start_stream(
        self, status: int, headers: typing.Iterable[tuple[bytes, bytes]]
    ) -> None:
        """Write the head of a chunked response.

        :raises CallerGone: when the connection is closed.
        """
        lines = self._head(status, headers)
        if self._takes_chunks:
            lines.append(b"Transfer-Encoding: chunked\r\n")
        lines.append(b"\r\n")
        self._channel.write(b"".join(lines))

    def send_chunk(self, data: bytes) -> bool:
        """Write a part of a chunked response.

        :returns: False when the write buffer is too full; await
            :meth:`drain` then.
        :raises CallerGone: when the connection is closed.
        """
        if self._takes_chunks:
            data = b"%x\r\n%b\r\n" % (len(data), data)
        self._channel.write(data)
        return not self._channel.write_paused

    async def drain(self) -> None:
        """Wait while the write buffer is too full to write on.

        :raises CallerGone: when the caller disconnects or does not read.
        """
        await self._channel.drain()

    def finish(self, end: attempt_outcome.StreamEnd) -> None:
        """End a chunked response, so that it is framed as complete.

        :param end: a runner's word that the stream is complete.
        :raises CallerGone: when the connection is closed.
        """
        self._ended = True
        if self._takes_chunks:
            self._channel.write(b"0\r\n\r\n")

    def abort(self) -> None:
        """Abort the connection, which shows the response to be incomplete."""
        self._ended = True
        if self._takes_chunks:
            self._channel.close()
        else:
            self._channel.reset()

    def _head(
        self, status: int, headers: typing.Iterable[tuple[bytes, bytes]]
    ) -> list[bytes]:
        self._started = True
        self.status = status
        reason = REASON_PHRASES.get(status, b"Status")
        lines = [b"HTTP/1.1 %d %b\r\n" % (status, reason)]
        lines += [b"%b: %b\r\n" % header for header in headers]
        if self._channel.closing:
            lines.append(b"Connection: close\r\n")
        return lines
