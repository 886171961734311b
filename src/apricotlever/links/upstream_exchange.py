"""HTTP exchanges with upstreams, which are runners and other services.

An exchange is owned by the one thread that opened it. Its connection is
reused only within a maximum age, after an exchange that ended cleanly; callers
pass a pool for idempotent calls only.
"""

from http import client as http
import json
import socket
import threading
import typing

from ..runners import statements

from . import upstream_errors
from . import upstream_pool

CONNECT_TIMEOUT_S = 1.0
READ_BYTES = 65536
MAX_RESPONSE_BYTES = 32 * 1024 * 1024
REQUEST_HEADER = "Apricotlever-Request"
ATTEMPT_HEADER = "Apricotlever-Attempt"
#: Header with the requests a second that a runner takes from all VMs.
LIMIT_HEADER = "Apricotlever-Limit"
#: Header by which a runner says that it leaves: 1 or 0.
LEAVING_HEADER = "Apricotlever-Leaving"
#: Header with the rejections in a second that a fragile runner bears.
FRAGILE_HEADER = "Apricotlever-Fragile"
#: Header with the seconds for which a runner that turns a call away wants no
#: more calls of this VM, and the status with which it does so.
REST_HEADER = "Retry-After"
TURNED_AWAY = 503

ConnectionPool = upstream_pool.ConnectionPool
UpstreamError = upstream_errors.UpstreamError
ConnectFailed = upstream_errors.ConnectFailed
UpstreamTimeout = upstream_errors.UpstreamTimeout
ConnectionBroken = upstream_errors.ConnectionBroken
ResponseMismatch = upstream_errors.ResponseMismatch
UpstreamResponseTooLarge = upstream_errors.UpstreamResponseTooLarge
UpstreamErrorResponse = upstream_errors.UpstreamErrorResponse


class Exchange:
    """One request to one upstream and its response.

    :param address: ``host:port`` of the upstream.
    :param first_byte_s: how long the response may take to begin, in seconds.
    :param pool: the pool to take a connection from and return it to; None
        to open a new one and close it.
    :param stream: whether the response is a stream that marks its own end.
    """

    def __init__(
        self,
        address: str,
        first_byte_s: float,
        pool: ConnectionPool | None = None,
        stream: bool = False,
    ) -> None:
        self._address = address
        self._first_byte_s = first_byte_s
        self._pool = pool
        self._stream = stream
        self._connection: upstream_pool.Connection | None = None
        # http.client drops its reference to the socket once the response
        # announces that the connection will close; timeouts and interrupts
        # still need the socket.
        self._sock: socket.socket | None = None
        self._opened_at = 0.0
        self._reused = False
        self._response: http.HTTPResponse | None = None
        self._interrupted = threading.Event()

    @property
    def status(self) -> int:
        """The response's HTTP status; 0 before the response began."""
        return self._response.status if self._response else 0

    @property
    def interrupted(self) -> bool:
        """Whether :meth:`interrupt` was called."""
        return self._interrupted.is_set()

    @property
    def address(self) -> str:
        """``host:port`` of the upstream."""
        return self._address

    @property
    def raw_socket(self) -> socket.socket | None:
        """The socket, if it delivers the rest of the body unframed.

        The socket may be read only after :meth:`read_chunk` has returned the
        part of the body that arrived together with the headers.
        """
        response = self._response
        if response is None or response.chunked or response.length:
            return None
        return self._sock

    @property
    def ends_by_closing(self) -> bool:
        """Whether only the end of the connection can end the body.

        The end of the upstream's process closes its connections, too.
        """
        found = self._response
        return bool(found and found.length is None and not found.chunked)

    @property
    def reused(self) -> bool:
        """Whether the connection was used for an earlier exchange."""
        return self._reused

    @property
    def opened_at(self) -> float:
        """When the connection was opened, by the pool's clock."""
        return self._opened_at

    def header(self, name: str) -> str:
        """Return a header of the response, or an empty string.

        :param name: the header's name.
        """
        if self._response is None:
            return ""
        return self._response.getheader(name, "") or ""

    def headers(self) -> list[tuple[str, str]]:
        """Return all headers of the response."""
        return self._response.getheaders() if self._response else []

    @property
    def statement(self) -> statements.Statement:
        """What the upstream says of itself in the head of the response."""
        if self._response is None:
            return statements.NOTHING
        return statements.read_statement(
            self._header_values(LIMIT_HEADER),
            rests=(
                self._header_values(REST_HEADER)
                if self.status == TURNED_AWAY
                else []
            ),
            leavings=self._header_values(LEAVING_HEADER),
            fragilities=self._header_values(FRAGILE_HEADER),
        )

    def open(self) -> None:
        """Take a connection from the pool, or open a new one.

        :raises ConnectFailed: when no connection could be opened.
        """
        pooled = (
            self._pool.take(self._address) if self._pool is not None else None
        )
        if pooled is not None:
            self._reused = True
            self._connection = pooled.connection
            self._sock = pooled.connection.sock
            self._opened_at = pooled.opened_at
            return
        host, _, port = self._address.rpartition(":")
        kind = (
            upstream_pool.StreamConnection
            if self._stream
            else upstream_pool.Connection
        )
        connection = kind(host, int(port), timeout=CONNECT_TIMEOUT_S)
        try:
            connection.connect()
        except OSError as error:
            connection.close()
            message = f"can't connect to {self._address}: {error}"
            raise ConnectFailed(message, sent=False) from error
        self._connection = connection
        self._sock = connection.sock
        self._opened_at = self._pool.now() if self._pool is not None else 0.0

    def send(
        self,
        method: str,
        path: str,
        headers: typing.Mapping[str, str],
        body: bytes | None = None,
    ) -> None:
        """Send the request and wait until the response begins.

        :param method: HTTP method.
        :param path: path with query.
        :param headers: names and values.
        :param body: the request's body.
        :raises UpstreamTimeout: when the response did not begin in time.
        :raises ConnectionBroken: when the connection ended first.
        """
        connection = self._current_connection()
        connection.sock.settimeout(self._first_byte_s)
        try:
            connection.request(method, path, body, dict(headers))
            self._response = connection.getresponse()
        except TimeoutError as error:
            raise self._abandon_with_error(
                UpstreamTimeout, "did not begin to respond", error
            ) from error
        except (OSError, http.HTTPException) as error:
            raise self._abandon_with_error(
                ConnectionBroken, "broke off", error
            ) from error

    def verify_echo(self, request_id: str, attempt: int) -> None:
        """Verify that the response belongs to this request and attempt.

        :param request_id: the request ID that was sent.
        :param attempt: the attempt number that was sent.
        :raises ResponseMismatch: when the upstream echoed another request ID
            or attempt number.
        """
        echoed = self.header(REQUEST_HEADER)
        echoed_attempt = self.header(ATTEMPT_HEADER)
        wrong_id = echoed not in ("", request_id)
        wrong_attempt = echoed_attempt not in ("", str(attempt))
        if wrong_id or wrong_attempt:
            self.abandon()
            message = f"{self._address} echoed {echoed} {echoed_attempt}"
            raise ResponseMismatch(message, sent=True)

    def set_read_timeout(self, seconds: float) -> None:
        """Set the timeout of each further read.

        :param seconds: how long a read may wait for data.
        """
        if self._sock is not None:
            self._sock.settimeout(seconds)

    def read_chunk(self) -> bytes:
        """Read the next bytes of the body; empty at its end.

        :raises UpstreamTimeout: when no data arrived in time.
        :raises ConnectionBroken: when the connection failed.
        """
        assert self._response is not None
        try:
            return self._response.read1(READ_BYTES)
        except TimeoutError as error:
            raise self._abandon_with_error(
                UpstreamTimeout, "sent no data in time", error
            ) from error
        except (OSError, ValueError, http.HTTPException) as error:
            raise self._abandon_with_error(
                ConnectionBroken, "broke off", error
            ) from error

    def read_body(self, limit: int = MAX_RESPONSE_BYTES) -> bytes:
        """Read the complete body.

        :param limit: maximum size of the body in bytes.
        :raises UpstreamResponseTooLarge: when the body is longer.
        :raises UpstreamTimeout: when no data arrived in time.
        :raises ConnectionBroken: when the connection ended before the body
            was complete.
        """
        chunks: list[bytes] = []
        size = 0
        while chunk := self.read_chunk():
            chunks.append(chunk)
            size += len(chunk)
            if size > limit:
                self.abandon()
                raise UpstreamResponseTooLarge(
                    "the response is too large", sent=True
                )
        self._check_complete()
        return b"".join(chunks)

    def read_json(self) -> typing.Any:
        """Read and parse the complete JSON body, and finish the exchange.

        :returns: None for an empty body.
        :raises ConnectionBroken: when the body is not JSON, or is empty and
            nothing but the end of the connection says so.
        :raises UpstreamError: as :meth:`read_body`.
        """
        content = self.read_body()
        if not content and self.ends_by_closing:
            self.abandon()
            message = f"{self._address} sent no document"
            raise ConnectionBroken(message, sent=True)
        self.finish()
        try:
            return json.loads(content or b"null")
        except ValueError as error:
            message = f"{self._address} sent invalid JSON: {error}"
            raise ConnectionBroken(message, sent=True) from error

    def interrupt(self) -> None:
        """Interrupt a blocked read; may be called from any thread.

        The read of the thread that owns the exchange then returns as at the
        end of the connection, with :attr:`interrupted` set.
        """
        self._interrupted.set()
        sock = self._sock
        if sock is None:
            return
        try:
            sock.shutdown(socket.SHUT_RD)
        except OSError:
            # The owner has closed the socket meanwhile and checks the flag
            # itself.
            return

    def finish(self) -> None:
        """End the exchange and keep its connection for reuse if possible."""
        connection = self._connection
        response = self._response
        self._connection = None
        self._sock = None
        if connection is None or response is None:
            return
        if response.length == 0:
            # read1 leaves a response open after its last byte was read, and
            # a connection with an open response can't send another request.
            response.close()
        reusable = response.isclosed() and not response.will_close
        if self._pool is not None and reusable and connection.sock:
            response.close()
            self._pool.put(self._address, connection, self._opened_at)
            return
        connection.close()
        response.close()

    def abandon(self) -> None:
        """End the exchange and close its connection."""
        connection = self._connection
        self._connection = None
        self._sock = None
        if self._response is not None:
            self._response.close()
        if connection is not None:
            connection.close()

    def _current_connection(self) -> upstream_pool.Connection:
        assert self._connection is not None
        return self._connection

    def _header_values(self, name: str) -> list[bytes]:
        """All values of a header, one for each time that it occurs."""
        assert self._response is not None
        values = self._response.headers.get_all(name) or []
        return [str(value).encode("latin-1", "replace") for value in values]

    def _check_complete(self) -> None:
        # http.client ends a read1 loop without an error when the connection
        # closes before Content-Length bytes arrived, so that a truncated body
        # would pass for a complete one. A response without a body, such as
        # 304, may state the length of what it doesn't hold.
        if self._response is not None and self._response.length:
            self.abandon()
            raise ConnectionBroken("the response was truncated", sent=True)

    def _abandon_with_error(
        self, kind: type[UpstreamError], what: str, cause: Exception
    ) -> UpstreamError:
        self.abandon()
        return kind(f"{self._address} {what}: {cause}", sent=True)
