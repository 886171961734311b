"""The HTTP server for callers, on waitress.

The server turns an HTTP request into a typed :class:`Call`, passes it to a
handler on one of waitress's threads, and writes the :class:`Reply`. Malformed
HTTP is answered here, with JSON that says that nothing was run; for a call
with an idempotency key it says that this is unknown, as an earlier call with
the same key may have run.
"""

import json
import typing
from urllib import parse as urls

from waitress import channel as waitress_channel

from .. import errors
from .. import refusals
from .. import socket_options

from . import _waitress_server

Application = typing.Callable[["Call"], "Reply | StreamingReply"]

JSON_TYPE = "application/json"
MAX_CONNECTIONS = 8192
LISTEN_BACKLOG = 1024
MAX_UNSENT_BYTES = 1_000_000
CLEANUP_INTERVAL_S = 1
IDLE_CONNECTION_TIMEOUT_S = 120
_BUFFER_OVERFLOW_BYTES = 2**31


class Call:
    """One HTTP request from a caller.

    :param method: the HTTP method, upper case.
    :param path: the decoded path.
    :param query: one value for each query parameter.
    :param environ: the WSGI environment.
    :param body: the complete body.
    """

    __slots__ = ("method", "path", "query", "_environ", "body")

    def __init__(
        self,
        method: str,
        path: str,
        query: dict[str, str],
        environ: dict[str, typing.Any],
        body: bytes,
    ) -> None:
        self.method = method
        self.path = path
        self.query = query
        self._environ = environ
        self.body = body

    def header(self, name: str, default: str = "") -> str:
        """Return the value of a header.

        :param name: the header's name, in any case.
        :param default: returned when the header is missing.
        """
        key = name.upper().replace("-", "_")
        if key not in ("CONTENT_TYPE", "CONTENT_LENGTH"):
            key = f"HTTP_{key}"
        return self._environ.get(key, default)

    def request_target(self, path: str) -> str:
        """Quote a path and append this call's query string.

        :param path: the decoded path.
        """
        query = self._environ.get("QUERY_STRING", "")
        quoted = urls.quote(path, safe="/:@!$&'()*+,;=~")
        return f"{quoted}?{query}" if query else quoted

    def is_disconnected(self) -> bool:
        """Whether the caller has closed the connection."""
        check = self._environ.get("waitress.client_disconnected")
        return bool(check and check())


class Reply:
    """The response to a call whose body is given with it.

    :param status: HTTP status code.
    :param headers: names and values.
    :param body: bytes, or an iterator of the body's chunks.
    """

    __slots__ = ("status", "headers", "body")

    def __init__(
        self,
        status: int,
        headers: list[tuple[str, str]],
        body: bytes | typing.Iterator[bytes],
    ) -> None:
        self.status = status
        self.headers = headers
        self.body = body


class CallerDisconnected(errors.ApricotleverError):
    """The caller closed its connection, or does not read from it."""


class StreamWriter:
    """Writes the body of a stream; one thread at a time may use it.

    :param task: the WSGI task, after ``start_response`` was called.
    """

    __slots__ = ("_task", "_channel", "_failed")

    def __init__(self, task: _waitress_server.Task) -> None:
        self._task = task
        self._channel = task.channel
        self._failed = False

    @property
    def failed(self) -> bool:
        """Whether a chunk was not written, so that the body is not whole."""
        return self._failed

    def __call__(self, data: bytes) -> None:
        """Write a chunk of the body without blocking.

        :param data: the chunk.
        :raises CallerDisconnected: when the caller has disconnected, or has
            left more than ``MAX_UNSENT_BYTES`` unread. A caller that does
            not read would hold this memory without limit; it can resume the
            stream later.
        """
        task = self._task
        channel = self._channel
        if channel.total_outbufs_len > MAX_UNSENT_BYTES:
            self._failed = True
            raise CallerDisconnected("the caller does not read the stream")
        try:
            if not task.wrote_header:
                task.write(data)
            elif task.chunked_response:
                channel.send_directly(b"%X\r\n%b\r\n" % (len(data), data))
            else:
                channel.send_directly(data)
        except (waitress_channel.ClientDisconnected, OSError) as error:
            self._failed = True
            raise CallerDisconnected("the caller has disconnected") from error


class StreamingReply:
    """The response to a call whose body is written as it is produced.

    :param headers: names and values.
    :param run: writes the body and returns. If it raises, or the writer has
        failed, the connection is closed and the response is not ended, so
        that its framing shows it to be incomplete.
    """

    __slots__ = ("headers", "run")

    def __init__(
        self,
        headers: list[tuple[str, str]],
        run: typing.Callable[[StreamWriter], None],
    ) -> None:
        self.headers = headers
        self.run = run


def json_reply(document: typing.Any) -> Reply:
    """Make a JSON response that caches must not store.

    :param document: any value that JSON can represent.
    """
    body = json.dumps(document).encode()
    headers = [("Content-Type", JSON_TYPE), ("Cache-Control", "no-store")]
    return Reply(200, headers, body)


def refusal_reply(refusal: refusals.Refusal) -> Reply:
    """Make the response that reports a refusal to the caller.

    :param refusal: the error that the caller gets in place of an answer.
    """
    return Reply(refusal.kind.status, refusal.headers(), refusal.body())


class CallerServer:
    """HTTP server for callers.

    :param host: address to bind.
    :param port: port to bind; 0 picks a free one.
    :param application: turns a call into a reply; may raise ``Refusal``.
    :param on_unhandled_error: called with any other exception that the
        application raises.
    :param threads: how many calls are served concurrently.
    :param body_bytes_max: size limit of a request body, in bytes.
    :param header_bytes_max: size limit of a request's headers, in bytes.
    :param receive_timeout_s: how long a request may take to arrive, in
        seconds.
    """

    def __init__(
        self,
        host: str,
        port: int,
        application: Application,
        on_unhandled_error: typing.Callable[[Exception], None],
        threads: int,
        body_bytes_max: int,
        header_bytes_max: int,
        receive_timeout_s: float,
    ) -> None:
        self._application = application
        self._on_unhandled_error = on_unhandled_error
        # The VMs have no disks, so the size at which waitress moves a buffer
        # to a temporary file is set higher than any buffer grows.
        self._server = _waitress_server.Server(
            self._wsgi_application,
            host=host,
            port=port,
            threads=threads,
            send_bytes=1,
            asyncore_use_poll=True,
            channel_request_lookahead=1,
            connection_limit=MAX_CONNECTIONS,
            backlog=LISTEN_BACKLOG,
            cleanup_interval=CLEANUP_INTERVAL_S,
            channel_timeout=IDLE_CONNECTION_TIMEOUT_S,
            max_request_body_size=body_bytes_max,
            max_request_header_size=header_bytes_max,
            inbuf_overflow=_BUFFER_OVERFLOW_BYTES,
            outbuf_overflow=_BUFFER_OVERFLOW_BYTES,
            ident=None,
            clear_untrusted_proxy_headers=False,
        )
        self._server.receive_timeout_s = receive_timeout_s
        # Accepted sockets inherit the options.
        socket_options.CALLERS.apply(self._server.socket)

    @property
    def port(self) -> int:
        """The port that the server is bound to."""
        return int(self._server.effective_port)

    @property
    def has_calls_in_progress(self) -> bool:
        """Whether a call is being served or waits for a thread."""
        dispatcher = self._server.task_dispatcher
        return bool(dispatcher.active_count or dispatcher.queue)

    @property
    def has_unsent_data(self) -> bool:
        """Whether response bytes wait for callers to read them."""
        return any(
            channel.total_outbufs_len
            for channel in list(self._server.active_channels.values())
        )

    def run(self) -> None:
        """Serve until closed; to be called on a thread of its own."""
        try:
            self._server.run()
        except OSError:
            # Closing the sockets while the loop polls them raises this.
            return

    def stop_listening(self) -> None:
        """Accept no new connections; open ones are still served."""
        self._server.trigger.pull_trigger(self._server.stop_listening)

    def close(self) -> None:
        """Close the server and its open connections at once."""
        self._server.close()

    def _wsgi_application(
        self,
        environ: dict[str, typing.Any],
        start_response: typing.Callable[..., typing.Any],
    ) -> typing.Iterable[bytes]:
        reply = self._answer(environ)
        if isinstance(reply, StreamingReply):
            start_response(_waitress_server.status_line(200), reply.headers)
            writer = StreamWriter(environ[_waitress_server.TASK_ENVIRON_KEY])
            reply.run(writer)
            if writer.failed:
                # waitress would end the response as a complete one.
                raise waitress_channel.ClientDisconnected
            return []
        start_response(
            _waitress_server.status_line(reply.status), reply.headers
        )
        if isinstance(reply.body, bytes):
            return [reply.body]
        return reply.body

    def _answer(
        self, environ: dict[str, typing.Any]
    ) -> Reply | StreamingReply:
        try:
            return self._application(_call(environ))
        except refusals.Refusal as refusal:
            return refusal_reply(refusal)
        except Exception as error:
            self._on_unhandled_error(error)
            message = "an internal error occurred in this daemon"
            return refusal_reply(
                refusals.Refusal(
                    refusals.INTERNAL, message, refusals.Executed.UNKNOWN
                )
            )


def _call(environ: dict[str, typing.Any]) -> Call:
    query = dict(urls.parse_qsl(environ.get("QUERY_STRING", "")))
    return Call(
        environ["REQUEST_METHOD"],
        environ["PATH_INFO"],
        query,
        environ,
        environ["wsgi.input"].read(),
    )
