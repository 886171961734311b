"""The HTTP link to upstreams: runners and plain services.

An exchange is owned by the one thread that opened it. Its connection is
used again only when the exchange ended cleanly, for an idempotent call,
within a bounded age.
"""

from http import client as http
import json
import socket
import threading
import typing

from . import upstream_errors
from . import upstream_pool

CONNECT_S = 1.0
READ_BYTES = 65536
ANSWER_BYTES_MAX = 32 * 1024 * 1024
JSON_ONCE = {"Content-Type": "application/json", "Connection": "close"}
REQUEST_HEADER = "Apricotlever-Request"
ATTEMPT_HEADER = "Apricotlever-Attempt"

Pool = upstream_pool.Pool
UpstreamError = upstream_errors.UpstreamError
ConnectFailed = upstream_errors.ConnectFailed
Silent = upstream_errors.Silent
Broken = upstream_errors.Broken
Mismatched = upstream_errors.Mismatched
TooLarge = upstream_errors.TooLarge
Declined = upstream_errors.Declined


class Exchange:
    """One request to one upstream, and its answer.

    :param address: ``host:port`` of the upstream.
    :param first_byte_s: how long the answer may take to begin.
    :param pool: where a clean connection is taken from and put back, or
        None to use a new one.
    :param stream: whether the answer is a stream that marks its own end.
    """

    def __init__(
        self,
        address: str,
        first_byte_s: float,
        pool: Pool | None = None,
        stream: bool = False,
    ) -> None:
        self._address = address
        self._first_byte_s = first_byte_s
        self._pool = pool
        self._stream = stream
        self._connection: upstream_pool.Connection | None = None
        # http.client drops its reference once the answer says that the
        # connection will close; deadlines and interrupts still need one.
        self._sock: socket.socket | None = None
        self._opened_at = 0.0
        self._reused = False
        self._response: http.HTTPResponse | None = None
        self._interrupted = threading.Event()

    @property
    def status(self) -> int:
        """The answer's HTTP status; 0 before the answer began."""
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
        """The socket, if the rest of the answer comes from it unframed.

        To be read only after :meth:`read_some` has given what came along
        with the head.
        """
        response = self._response
        if response is None or response.chunked or response.length:
            return None
        return self._sock

    @property
    def reused(self) -> bool:
        """Whether the connection had served another exchange before."""
        return self._reused

    @property
    def opened_at(self) -> float:
        """When the connection was opened, by the pool's clock."""
        return self._opened_at

    def header(self, name: str) -> str:
        """A header of the answer, or an empty string.

        :param name: the header's name.
        """
        if self._response is None:
            return ""
        return self._response.getheader(name, "") or ""

    def headers(self) -> list[tuple[str, str]]:
        """All headers of the answer."""
        return self._response.getheaders() if self._response else []

    def open(self) -> None:
        """Connect, or take a connection that ended its last use cleanly.

        :raises ConnectFailed: when there is no connection.
        """
        pooled = self._pool.take(self._address) if self._pool else None
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
        connection = kind(host, int(port), timeout=CONNECT_S)
        try:
            connection.connect()
        except OSError as error:
            connection.close()
            message = f"no connection to {self._address}: {error}"
            raise ConnectFailed(message, sent=False) from error
        self._connection = connection
        self._sock = connection.sock
        self._opened_at = self._pool.now() if self._pool else 0.0

    def send(
        self,
        method: str,
        path: str,
        headers: typing.Mapping[str, str],
        body: bytes | None = None,
    ) -> None:
        """Send the request and wait until the answer begins.

        :param method: HTTP method.
        :param path: path with query.
        :param headers: names and values.
        :param body: the request's body.
        :raises Silent: when the answer did not begin in time.
        :raises Broken: when the connection ended first.
        """
        connection = self._live()
        connection.sock.settimeout(self._first_byte_s)
        try:
            connection.request(method, path, body, dict(headers))
            self._response = connection.getresponse()
        except TimeoutError as error:
            raise self._failed(Silent, "no answer began", error) from error
        except (OSError, http.HTTPException) as error:
            raise self._failed(Broken, "broke off", error) from error

    def check(self, request_id: str, attempt: int) -> None:
        """Verify that the answer is to this request and attempt.

        :param request_id: the ID sent.
        :param attempt: the attempt number sent.
        :raises Mismatched: when the upstream echoed another.
        """
        echoed = self.header(REQUEST_HEADER)
        echoed_attempt = self.header(ATTEMPT_HEADER)
        wrong_id = echoed not in ("", request_id)
        wrong_attempt = echoed_attempt not in ("", str(attempt))
        if wrong_id or wrong_attempt:
            self.abandon()
            message = f"{self._address} answered {echoed} {echoed_attempt}"
            raise Mismatched(message, sent=True)

    def patience(self, seconds: float) -> None:
        """Set how long each further read may wait.

        :param seconds: the deadline between two reads.
        """
        if self._sock is not None:
            self._sock.settimeout(seconds)

    def read_some(self) -> bytes:
        """The next bytes of the body, empty at its end.

        :raises Silent: when nothing came in time.
        :raises Broken: when the connection ended before the body did.
        """
        assert self._response is not None
        try:
            return self._response.read1(READ_BYTES)
        except TimeoutError as error:
            raise self._failed(Silent, "fell silent", error) from error
        except (OSError, ValueError, http.HTTPException) as error:
            raise self._failed(Broken, "broke off", error) from error

    def read_all(self, limit: int = ANSWER_BYTES_MAX) -> bytes:
        """The whole body.

        :param limit: the most bytes to hold.
        :raises TooLarge: when the body is longer.
        :raises Silent: when nothing came in time.
        :raises Broken: when the connection ended before the body did.
        """
        chunks: list[bytes] = []
        size = 0
        while chunk := self.read_some():
            chunks.append(chunk)
            size += len(chunk)
            if size > limit:
                self.abandon()
                raise TooLarge("the answer is too large", sent=True)
        self._expect_whole(size)
        return b"".join(chunks)

    def read_json(self) -> typing.Any:
        """The whole body, decoded; the exchange ends with it.

        :raises Broken: when it is not JSON.
        :raises UpstreamError: as :meth:`read_all`.
        """
        content = self.read_all()
        self.finish()
        try:
            return json.loads(content or b"null")
        except ValueError as error:
            message = f"{self._address} sent no JSON: {error}"
            raise Broken(message, sent=True) from error

    def interrupt(self) -> None:
        """Wake the owner's blocked read; may be called from any thread.

        The owner then sees the end of the connection and finds
        :attr:`interrupted` set.
        """
        self._interrupted.set()
        sock = self._sock
        if sock is None:
            return
        try:
            sock.shutdown(socket.SHUT_RD)
        except OSError:
            # The owner closed it in the meantime and will look at the flag.
            return

    def finish(self) -> None:
        """End cleanly; the connection may serve again."""
        connection = self._connection
        response = self._response
        self._connection = None
        self._sock = None
        if connection is None or response is None:
            return
        if response.length == 0:
            # read1 leaves an answer open though its last byte was read, and
            # a connection whose answer is open takes no further request.
            response.close()
        reusable = response.isclosed() and not response.will_close
        if self._pool is not None and reusable and connection.sock:
            response.close()
            self._pool.put(self._address, connection, self._opened_at)
            return
        connection.close()
        response.close()

    def abandon(self) -> None:
        """End the connection; it is never used again."""
        connection = self._connection
        self._connection = None
        self._sock = None
        if self._response is not None:
            self._response.close()
        if connection is not None:
            connection.close()

    def _live(self) -> upstream_pool.Connection:
        assert self._connection is not None
        return self._connection

    def _expect_whole(self, size: int) -> None:
        # http.client ends a read1 loop without an error when the connection
        # closes before Content-Length bytes came; the caller would take a
        # part for the whole.
        announced = self.header("Content-Length")
        if announced.isdigit() and size < int(announced):
            self.abandon()
            raise Broken("the answer was cut short", sent=True)

    def _failed(
        self, kind: type[UpstreamError], what: str, cause: Exception
    ) -> UpstreamError:
        self.abandon()
        return kind(f"{self._address} {what}: {cause}", sent=True)


def call_json(
    address: str,
    method: str,
    path: str,
    document: typing.Any = None,
    timeout_s: float = 2.0,
    pool: Pool | None = None,
) -> typing.Any:
    """One small JSON exchange.

    :param address: ``host:port`` of the upstream.
    :param method: HTTP method.
    :param path: path with query.
    :param document: what to send as JSON, or None for no body.
    :param timeout_s: deadline of the connection and of each read.
    :param pool: connections to use again; None for a new one.
    :returns: the decoded answer.
    :raises UpstreamError: when there is no whole 2xx answer.
    """
    exchange = Exchange(address, timeout_s, pool)
    exchange.open()
    body = None if document is None else encode_json(document)
    headers = {"Content-Type": "application/json"} if pool else JSON_ONCE
    exchange.send(method, path, headers, body)
    if not 200 <= exchange.status < 300:
        status = exchange.status
        body = exchange.read_all()[:512]
        exchange.finish()
        raise Declined(status, body)
    return exchange.read_json()


def encode_json(document: typing.Any) -> bytes:
    """A document as it is sent.

    :param document: anything that JSON can hold.
    """
    return json.dumps(document).encode()
