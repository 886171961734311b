"""HTTP client for one server, with one connection for each thread.

The errors of a failed exchange tell whether the server may have acted on the
request: it may have if any byte of the request may have left this process.
"""

import http.client
import select
import ssl
import threading
import time
import typing
import urllib.parse

from .. import errors
from .. import socket_options

from . import strict_responses

MAX_RESPONSE_BYTES = 64 * 1024 * 1024
MAX_CONNECTION_AGE_S = 60.0
CONNECT_TIMEOUT_S = 1.0
READ_BYTES = 64 * 1024

TRANSPORT_ERRORS = (
    OSError,
    http.client.HTTPException,
    ssl.SSLError,
    ValueError,
)


class ExchangeFailed(errors.ApricotleverError):
    """An HTTP exchange ended without a complete response."""


class RequestNotSent(ExchangeFailed):
    """No byte of the request was sent, so the server did not act on it."""


class ResponseLost(ExchangeFailed):
    """Bytes of the request may have been sent; the server may have acted."""


class ResponseTooLarge(ResponseLost):
    """The response body exceeds ``MAX_RESPONSE_BYTES``."""


class Response:
    """A complete HTTP response.

    :param status: the HTTP status.
    :param headers: values by header name in lower case.
    :param body: the complete body.
    """

    __slots__ = ("status", "headers", "body")

    def __init__(
        self, status: int, headers: dict[str, str], body: bytes
    ) -> None:
        self.status = status
        self.headers = headers
        self.body = body


class _Connection:
    """An HTTP connection, its opening time and its number of exchanges."""

    __slots__ = ("http", "opened_at", "exchange_count")

    def __init__(self, connection: http.client.HTTPConnection) -> None:
        self.http = connection
        self.opened_at = time.monotonic()
        self.exchange_count = 0

    @property
    def is_reusable(self) -> bool:
        """Whether a further exchange may use the connection.

        An idle connection that is readable was closed by the server, or
        holds bytes that belong to no exchange of this client. A write over it
        could be lost, with its outcome unknown.
        """
        young = time.monotonic() - self.opened_at < MAX_CONNECTION_AGE_S
        return young and self.http.sock is not None and not self._is_readable

    @property
    def _is_readable(self) -> bool:
        poll = select.poll()
        poll.register(self.http.sock, select.POLLIN | select.POLLHUP)
        return bool(poll.poll(0))


class _ThreadConnection(threading.local):
    """The current thread's connection to the server, or None."""

    connection: _Connection | None = None


class HttpClient:
    """HTTP client for one server.

    A connection belongs to the thread that opened it and is closed after
    any failure, so a late response can't be read as the response to the
    next request.

    :param url: ``http://host:port`` or ``https://host:port``, optionally
        with a base path.
    """

    __slots__ = ("_url", "_base_path", "_local")

    def __init__(self, url: str) -> None:
        self._url = urllib.parse.urlsplit(url)
        self._base_path = self._url.path.rstrip("/")
        self._local = _ThreadConnection()

    @property
    def authority(self) -> str:
        """Host and port of the server, for messages."""
        return self._url.netloc

    def exchange(
        self,
        method: str,
        path: str,
        body: bytes | None = None,
        headers: dict[str, str] | None = None,
        timeout_s: float = 2.0,
    ) -> Response:
        """Send one request and read its complete response.

        :param method: HTTP method.
        :param path: path with query, below the base path.
        :param body: the request body, or None.
        :param headers: names and values.
        :param timeout_s: limit in seconds for the request and its response
            together; opening a connection has its own timeout.
        :returns: the response, whatever its status.
        :raises RequestNotSent: the server can't have acted on the request.
        :raises ResponseLost: the server may have acted on the request.
        """
        connection = self._get_connection()
        deadline = time.monotonic() + timeout_s
        try:
            _set_timeout(connection.http, timeout_s)
            sent = {**(headers or {}), "Accept-Encoding": "identity"}
            connection.http.request(method, self._base_path + path, body, sent)
            response = _read_response(connection.http, deadline)
        except TRANSPORT_ERRORS as error:
            self.close()
            raise ResponseLost(
                self._failure_message(method, path, error)
            ) from error
        except BaseException:
            self.close()
            raise
        connection.exchange_count += 1
        return response

    def read_with_retry(
        self,
        method: str,
        path: str,
        timeout_s: float = 2.0,
        headers: dict[str, str] | None = None,
    ) -> Response:
        """Send a read, and repeat it once if a reused connection failed.

        A middlebox may drop the state of an open connection while new ones
        work; a read over the old connection then times out although the
        server is healthy. Only reads are repeated here, since repeating one
        has no effect at the server.

        :param method: HTTP method of the read.
        :param path: path with query, below the base path.
        :param timeout_s: limit in seconds for each of the two exchanges.
        :param headers: names and values.
        :returns: the response, whatever its status.
        :raises RequestNotSent: no connection could be opened.
        :raises ResponseLost: no complete response arrived.
        """
        reused = self._local.connection
        try:
            return self.exchange(method, path, None, headers, timeout_s)
        except ResponseTooLarge:
            raise
        except ResponseLost:
            if reused is None:
                raise
        return self.exchange(method, path, None, headers, timeout_s)

    def close(self) -> None:
        """Close this thread's connection."""
        connection = self._local.connection
        self._local.connection = None
        if connection is not None:
            connection.http.close()

    def _get_connection(self) -> _Connection:
        connection = self._local.connection
        if connection is not None and connection.is_reusable:
            return connection
        self.close()
        try:
            opened = _open_connection(self._url)
        except TRANSPORT_ERRORS as error:
            raise RequestNotSent(
                f"can't connect to {self.authority}: {error}"
            ) from error
        self._local.connection = _Connection(opened)
        return self._local.connection

    def _failure_message(
        self, method: str, path: str, error: Exception
    ) -> str:
        reason = str(error) or type(error).__name__
        return (
            f"no response from {self.authority} to {method} {path}: {reason}"
        )


def _open_connection(
    url: urllib.parse.SplitResult,
) -> http.client.HTTPConnection:
    make: typing.Callable[..., http.client.HTTPConnection] = (
        http.client.HTTPSConnection
        if url.scheme == "https"
        else http.client.HTTPConnection
    )
    connection = make(url.hostname, url.port, timeout=CONNECT_TIMEOUT_S)
    try:
        connection.connect()
        socket_options.PLATFORM.apply(connection.sock)
    except BaseException:
        connection.close()
        raise
    # Otherwise http.client reopens a closed connection for the next request,
    # without the socket options and the checks of this module.
    connection.auto_open = 0
    # It refuses heads and trailers without end.
    connection.response_class = strict_responses.StrictResponse
    return connection


def _set_timeout(
    connection: http.client.HTTPConnection, timeout_s: float
) -> None:
    if connection.sock is not None:
        connection.sock.settimeout(max(timeout_s, 0.001))


def _read_response(
    connection: http.client.HTTPConnection, deadline: float
) -> Response:
    response = connection.getresponse()
    body = bytearray()
    while chunk := response.read(READ_BYTES):
        body += chunk
        if len(body) > MAX_RESPONSE_BYTES:
            raise ResponseTooLarge(f"more than {MAX_RESPONSE_BYTES} bytes")
        remaining_s = deadline - time.monotonic()
        if remaining_s <= 0:
            raise TimeoutError("timed out")
        _set_timeout(connection, remaining_s)
    _check_complete(response)
    headers = {k.lower(): v for k, v in response.getheaders()}
    return Response(response.status, headers, bytes(body))


def _check_complete(response: http.client.HTTPResponse) -> None:
    """Check that the body is as long as its Content-Length.

    A read of a given size ends without an error when the connection closes
    early, so a truncated response would pass for a complete one.

    :raises http.client.IncompleteRead: when the body is truncated.
    """
    if response.length:
        raise http.client.IncompleteRead(b"", response.length)
