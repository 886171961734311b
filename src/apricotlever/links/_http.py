"""HTTP exchanges with one server, over a connection owned by each thread.

What matters to a caller of a failed exchange is whether the server may have
acted on it. That is decided here by one question: may a byte of the request
have left this process?
"""

import http.client
import select
import socket
import ssl
import threading
import time
import typing
import urllib.parse

from .. import errors

ANSWER_BYTES_MAX = 64 * 1024 * 1024
CONNECTION_AGE_MAX_S = 60.0
CONNECT_TIMEOUT_S = 1.0
KEEPALIVE_IDLE_S = 5
KEEPALIVE_INTERVAL_S = 2
KEEPALIVE_PROBES = 3
MS_PER_S = 1000
READ_BYTES = 64 * 1024

LIBRARY_ERRORS = (OSError, http.client.HTTPException, ssl.SSLError, ValueError)


class ExchangeFailed(errors.ApricotleverError):
    """An exchange ended without an answer."""


class NotSent(ExchangeFailed):
    """No byte of the request left, so the server did not act on it."""


class AnswerLost(ExchangeFailed):
    """Bytes of the request may have left; the server may have acted."""


class AnswerTooLarge(AnswerLost):
    """The answer is longer than is read into memory."""


class Answer:
    """A whole answer.

    :param status: the HTTP status.
    :param headers: with names in lower case.
    :param body: the whole body.
    """

    __slots__ = ("status", "headers", "body")

    def __init__(
        self, status: int, headers: dict[str, str], body: bytes
    ) -> None:
        self.status = status
        self.headers = headers
        self.body = body


class _Connection:
    """One connection and when it was opened."""

    __slots__ = ("http", "opened", "exchanges")

    def __init__(self, connection: http.client.HTTPConnection) -> None:
        self.http = connection
        self.opened = time.monotonic()
        self.exchanges = 0

    @property
    def reusable(self) -> bool:
        """Whether a further exchange may use the connection.

        An idle connection that is readable was closed by the server, or
        holds bytes that belong to no exchange of ours. A write sent into it
        would be lost with its outcome unknown.
        """
        young = time.monotonic() - self.opened < CONNECTION_AGE_MAX_S
        return young and self.http.sock is not None and not self._readable

    @property
    def _readable(self) -> bool:
        poll = select.poll()
        poll.register(self.http.sock, select.POLLIN | select.POLLHUP)
        return bool(poll.poll(0))


class _Owned(threading.local):
    """The connection that a thread owns."""

    connection: _Connection | None = None


class HttpLink:
    """Exchanges with one server.

    A connection belongs to the thread that opened it and is closed after
    any failure, so an answer that comes late can't be read as the answer
    to the next request.

    :param url: ``http://host:port`` or ``https://``, maybe with a path.
    """

    __slots__ = ("_url", "_base_path", "_owned")

    def __init__(self, url: str) -> None:
        self._url = urllib.parse.urlsplit(url)
        self._base_path = self._url.path.rstrip("/")
        self._owned = _Owned()

    @property
    def place(self) -> str:
        """Host and port, for messages."""
        return self._url.netloc

    def exchange(
        self,
        method: str,
        path: str,
        body: bytes | None = None,
        headers: dict[str, str] | None = None,
        timeout_s: float = 2.0,
    ) -> Answer:
        """Send one request and read its whole answer.

        :param timeout_s: for the request and its answer together; opening
            a connection has its own timeout.
        :raises NotSent: the server can't have acted on the request.
        :raises AnswerLost: the server may have acted on the request.
        """
        connection = self._connected()
        deadline = time.monotonic() + timeout_s
        try:
            _set_timeout(connection.http, timeout_s)
            sent = {**(headers or {}), "Accept-Encoding": "identity"}
            connection.http.request(method, self._base_path + path, body, sent)
            answer = _read(connection.http, deadline)
        except LIBRARY_ERRORS as error:
            self.close()
            raise AnswerLost(self._told(method, path, error)) from error
        except BaseException:
            self.close()
            raise
        connection.exchanges += 1
        return answer

    def exchange_again(
        self,
        method: str,
        path: str,
        timeout_s: float = 2.0,
        headers: dict[str, str] | None = None,
    ) -> Answer:
        """Read something; once more when a connection in use has failed.

        A connection may have gone silent although new ones work: something
        between the two ends forgot it. The read would time out while the
        server is well. Only a read is repeated here, since repeating it
        does nothing at the server.
        """
        used = self._owned.connection
        try:
            return self.exchange(method, path, None, headers, timeout_s)
        except AnswerTooLarge:
            raise
        except AnswerLost:
            if used is None:
                raise
        return self.exchange(method, path, None, headers, timeout_s)

    def close(self) -> None:
        """Close this thread's connection."""
        connection = self._owned.connection
        self._owned.connection = None
        if connection is not None:
            connection.http.close()

    def _connected(self) -> _Connection:
        connection = self._owned.connection
        if connection is not None and connection.reusable:
            return connection
        self.close()
        try:
            opened = _open(self._url)
        except LIBRARY_ERRORS as error:
            raise NotSent(f"can't connect to {self.place}: {error}") from error
        self._owned.connection = _Connection(opened)
        return self._owned.connection

    def _told(self, method: str, path: str, error: Exception) -> str:
        reason = str(error) or type(error).__name__
        return f"no answer from {self.place} to {method} {path}: {reason}"


def _open(url: urllib.parse.SplitResult) -> http.client.HTTPConnection:
    make: typing.Callable[..., http.client.HTTPConnection] = (
        http.client.HTTPSConnection
        if url.scheme == "https"
        else http.client.HTTPConnection
    )
    connection = make(url.hostname, url.port, timeout=CONNECT_TIMEOUT_S)
    try:
        connection.connect()
        _watch_for_silence(connection.sock)
    except BaseException:
        connection.close()
        raise
    # Without this, the library itself opens a new connection for the next
    # request, with neither the options nor the checks of this module.
    connection.auto_open = 0
    return connection


def _watch_for_silence(sock: socket.socket) -> None:
    """Make the kernel end a connection whose other end went silent."""
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    options = (
        (socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S),
        (socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S),
        (socket.TCP_KEEPCNT, KEEPALIVE_PROBES),
        (socket.TCP_USER_TIMEOUT, _silence_s() * MS_PER_S),
    )
    for option, value in options:
        sock.setsockopt(socket.IPPROTO_TCP, option, value)


def _silence_s() -> int:
    return KEEPALIVE_IDLE_S + KEEPALIVE_INTERVAL_S * KEEPALIVE_PROBES


def _set_timeout(
    connection: http.client.HTTPConnection, timeout_s: float
) -> None:
    if connection.sock is not None:
        connection.sock.settimeout(max(timeout_s, 0.001))


def _read(connection: http.client.HTTPConnection, deadline: float) -> Answer:
    response = connection.getresponse()
    body = bytearray()
    while chunk := response.read(READ_BYTES):
        body += chunk
        if len(body) > ANSWER_BYTES_MAX:
            raise AnswerTooLarge(f"more than {ANSWER_BYTES_MAX} bytes")
        remaining_s = deadline - time.monotonic()
        if remaining_s <= 0:
            raise TimeoutError("timed out")
        _set_timeout(connection, remaining_s)
    _check_whole(response)
    headers = {k.lower(): v for k, v in response.getheaders()}
    return Answer(response.status, headers, bytes(body))


def _check_whole(response: http.client.HTTPResponse) -> None:
    """Refuse a body that is shorter than its header says.

    A sized read ends quietly when the server goes away in the middle, so a
    cut answer would pass for a whole one.
    """
    if response.length:
        raise http.client.IncompleteRead(b"", response.length)
