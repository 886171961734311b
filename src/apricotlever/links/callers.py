"""The HTTP link to callers, on waitress.

The link turns HTTP into a typed :class:`Call`, hands it to a handler on one
of waitress's threads, and writes the :class:`Reply`. Whatever is wrong with
the HTTP itself is answered here, as JSON that promises that nothing ran. Of
a call with an idempotency key it doesn't, for that may have come before.
"""

import json
import typing
from urllib import parse as urls

from waitress import channel as waitress_channel

from .. import errors
from .. import refusals

from . import _caller_channels

Application = typing.Callable[["Call"], "Reply | StreamReply"]

JSON_TYPE = "application/json"
CONNECTION_LIMIT = 8192
BACKLOG = 1024
BACKLOG_BYTES_MAX = 1_000_000
CLEANUP_INTERVAL_S = 1
IDLE_CONNECTION_S = 120
_LENGTH_LIMIT = 2**31


class Call:
    """One HTTP request from a caller.

    :param method: the HTTP method, upper case.
    :param path: the decoded path.
    :param query: the first value of each query parameter.
    :param environ: the WSGI environment.
    :param body: the whole body.
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
        """The value of a header.

        :param name: its name in any case.
        :param default: returned when the header is missing.
        """
        key = name.upper().replace("-", "_")
        if key not in ("CONTENT_TYPE", "CONTENT_LENGTH"):
            key = f"HTTP_{key}"
        return self._environ.get(key, default)

    def target(self, path: str) -> str:
        """A path, quoted, with this call's query.

        :param path: the decoded path.
        """
        query = self._environ.get("QUERY_STRING", "")
        quoted = urls.quote(path, safe="/:@!$&'()*+,;=~")
        return f"{quoted}?{query}" if query else quoted

    def gone(self) -> bool:
        """Whether the caller closed the connection."""
        check = self._environ.get("waitress.client_disconnected")
        return bool(check and check())


class Reply:
    """What to answer.

    :param status: HTTP status code.
    :param headers: names and values.
    :param body: bytes, or an iterator of chunks for a stream.
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


class CallerGone(errors.ApricotleverError):
    """The caller closed its connection, or does not read from it."""


class Writer:
    """Writes the body of a stream; any one thread may use it at a time.

    :param task: of the WSGI server, after ``start_response``.
    """

    __slots__ = ("_task", "_channel")

    def __init__(self, task: _caller_channels.Task) -> None:
        self._task = task
        self._channel = task.channel

    def __call__(self, data: bytes) -> None:
        """Write; never blocks.

        :raises CallerGone: when the caller has gone. One that does not read
            is treated alike: it would hold memory for as long as it likes,
            and can come back for what it missed.
        """
        task = self._task
        channel = self._channel
        if channel.total_outbufs_len > BACKLOG_BYTES_MAX:
            raise CallerGone("the caller does not read")
        try:
            if not task.wrote_header:
                task.write(data)
            elif task.chunked_response:
                channel.send_now(b"%X\r\n%b\r\n" % (len(data), data))
            else:
                channel.send_now(data)
        except (waitress_channel.ClientDisconnected, OSError) as error:
            raise CallerGone("the caller has gone") from error


class StreamReply:
    """What to answer, written as it comes.

    :param headers: names and values.
    :param run: writes the whole body and returns; raises nothing.
    """

    __slots__ = ("headers", "run")

    def __init__(
        self,
        headers: list[tuple[str, str]],
        run: typing.Callable[[Writer], None],
    ) -> None:
        self.headers = headers
        self.run = run


def json_reply(document: typing.Any) -> Reply:
    """A document as an answer that nobody on the way may keep.

    :param document: anything that JSON can hold.
    """
    body = json.dumps(document).encode()
    headers = [("Content-Type", JSON_TYPE), ("Cache-Control", "no-store")]
    return Reply(200, headers, body)


def refused(refusal: refusals.Refusal) -> Reply:
    """The reply that a refusal becomes.

    :param refusal: what to tell the caller.
    """
    return Reply(refusal.kind.status, refusal.headers(), refusal.body())


class CallerServer:
    """Listens for callers.

    :param host: address to bind.
    :param port: port to bind; 0 picks one.
    :param application: turns a call into a reply; may raise Refusal.
    :param on_fault: told of an exception that the application let through.
    :param threads: how many calls are served at once.
    :param body_bytes_max: largest body taken.
    :param header_bytes_max: largest header block taken.
    :param receive_s: how long a request may take to arrive.
    """

    def __init__(
        self,
        host: str,
        port: int,
        application: Application,
        on_fault: typing.Callable[[Exception], None],
        threads: int,
        body_bytes_max: int,
        header_bytes_max: int,
        receive_s: float,
    ) -> None:
        self._application = application
        self._on_fault = on_fault
        # The VMs have no disks: the buffers' overflow to temporary files is
        # put out of reach.
        self._server = _caller_channels.Server(
            self._wsgi,
            host=host,
            port=port,
            threads=threads,
            send_bytes=1,
            asyncore_use_poll=True,
            channel_request_lookahead=1,
            connection_limit=CONNECTION_LIMIT,
            backlog=BACKLOG,
            cleanup_interval=CLEANUP_INTERVAL_S,
            channel_timeout=IDLE_CONNECTION_S,
            max_request_body_size=body_bytes_max,
            max_request_header_size=header_bytes_max,
            inbuf_overflow=_LENGTH_LIMIT,
            outbuf_overflow=_LENGTH_LIMIT,
            ident=None,
            clear_untrusted_proxy_headers=False,
        )
        self._server.receive_s = receive_s

    @property
    def port(self) -> int:
        """The port that was bound."""
        return int(self._server.effective_port)

    @property
    def busy(self) -> bool:
        """Whether a call is being answered, or waits for a thread."""
        dispatcher = self._server.task_dispatcher
        return bool(dispatcher.active_count or dispatcher.queue)

    @property
    def unsent(self) -> bool:
        """Whether callers have not taken all that was written to them."""
        return any(
            channel.total_outbufs_len
            for channel in list(self._server.active_channels.values())
        )

    def run(self) -> None:
        """Serve until closed; runs on a thread of its own."""
        try:
            self._server.run()
        except OSError:
            # Closing the sockets under the poll loop ends it this way.
            return

    def stop_listening(self) -> None:
        """Take no new connections; open ones go on."""
        self._server.trigger.pull_trigger(self._server.stop_listening)

    def close(self) -> None:
        """End at once, with the connections that are open."""
        self._server.close()

    def _wsgi(
        self,
        environ: dict[str, typing.Any],
        start_response: typing.Callable[..., typing.Any],
    ) -> typing.Iterable[bytes]:
        reply = self._answer(environ)
        if isinstance(reply, StreamReply):
            start_response(_caller_channels.status_line(200), reply.headers)
            reply.run(Writer(environ[_caller_channels.TASK]))
            return []
        start_response(
            _caller_channels.status_line(reply.status), reply.headers
        )
        if isinstance(reply.body, bytes):
            return [reply.body]
        return reply.body

    def _answer(self, environ: dict[str, typing.Any]) -> Reply | StreamReply:
        try:
            return self._application(_call(environ))
        except refusals.Refusal as refusal:
            return refused(refusal)
        except Exception as error:
            self._on_fault(error)
            message = "the request met a fault in this daemon"
            return refused(
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
