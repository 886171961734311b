"""The HTTP link to callers, on waitress.

The link turns HTTP into a typed :class:`Call`, hands it to a handler on one
of waitress's threads, and writes the :class:`Reply`. Whatever is wrong with
the HTTP itself is answered here, as JSON that promises that nothing ran. Of
a call with an idempotency key it doesn't, for that may have come before.
"""

from http import client as http_names
import re
import socket
import time
import typing
from urllib import parse as urls

from waitress import channel as waitress_channel
from waitress import server as waitress_server
from waitress import task as waitress_task

from .. import errors
from .. import refusals

Application = typing.Callable[["Call"], "Reply | StreamReply"]

CONNECTION_LIMIT = 8192
BACKLOG = 1024
BACKLOG_BYTES_MAX = 1_000_000
CLEANUP_INTERVAL_S = 1
IDLE_CONNECTION_S = 120
_LENGTH_LIMIT = 2**31
_TASK = "apricotlever.task"
_KEY_FIELD = "IDEMPOTENCY_KEY"

_KIND_BY_STATUS = {
    400: refusals.BAD_REQUEST,
    408: refusals.SLOW_SENDER,
    413: refusals.BODY_TOO_LARGE,
    431: refusals.HEADERS_TOO_LARGE,
    501: refusals.NOT_IMPLEMENTED,
    503: refusals.SHED,
}


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

    def __init__(self, task: "_Task") -> None:
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


def refused(refusal: refusals.Refusal) -> Reply:
    """The reply that a refusal becomes.

    :param refusal: what to tell the caller.
    """
    return Reply(refusal.kind.status, refusal.headers(), refusal.body())


def status_line(status: int) -> str:
    """A status code with its reason phrase.

    :param status: HTTP status code.
    """
    return f"{status} {http_names.responses.get(status, 'Unknown')}"


class _RequestTimeout:
    """Stands in the parser's error for a request that came too slowly."""

    code = 408
    body = "the request did not arrive in time"


class _Overloaded:
    """Stands in the parser's error when no thread is free."""

    code = 503
    body = "this entry VM has no thread left for the request"


class _RefusalTask(waitress_task.ErrorTask):
    """Answers a malformed request in the form of every other refusal."""

    def execute(self) -> None:
        error = self.request.error
        kind = _KIND_BY_STATUS.get(error.code, refusals.BAD_REQUEST)
        retry_after_s = 1.0 if kind is refusals.SHED else None
        message = str(error.body).strip() or kind.meaning
        executed = refusals.Executed.NO
        if _KEY_FIELD in self.request.headers:
            # An earlier sending under the key may have run.
            executed = refusals.Executed.UNKNOWN
        refusal = refusals.Refusal(kind, message, executed, retry_after_s)
        body = refusal.body()
        self.status = status_line(kind.status)
        self.response_headers.extend(refusal.headers())
        self.set_close_on_finish()
        self.content_length = len(body)
        self.write(body)


class _Task(waitress_task.WSGITask):
    """A call whose handler can write its stream from another thread."""

    def get_environment(self) -> dict[str, typing.Any]:
        environ = super().get_environment()
        environ[_TASK] = self
        return environ


class _Channel(waitress_channel.HTTPChannel):
    """A caller's connection that knows when its request began."""

    task_class = _Task
    error_task_class = _RefusalTask
    began: float | None = None
    request: typing.Any
    stalled = False

    def writable(self) -> bool:
        """Whether the network thread has something to send.

        A thread that answers sends its bytes itself. If the network thread
        polled for the same bytes, it would find the socket ready and the
        buffer locked, again and again, at the cost of a whole core. It is
        wanted only for what the caller's socket did not take.
        """
        if self.requests and not self.stalled:
            return bool(self.will_close)
        return bool(super().writable())

    def write_soon(self, data: typing.Any) -> int:
        written = int(super().write_soon(data))
        self.stalled = self.total_outbufs_len > 0
        if self.stalled:
            self.server.pull_trigger()
        return written

    def received(self, data: bytes) -> bool:
        if self.request is None:
            self.began = time.monotonic()
        answer = super().received(data)
        if self.request is None:
            self.began = None
        return answer

    def send_now(self, data: bytes) -> None:
        """Send bytes past the output buffers while those are empty.

        The buffers cost more than the sending itself, and a stream of small
        events almost never needs them.

        :raises ClientDisconnected: when the caller has gone.
        """
        with self.outbuf_lock:
            if self.total_outbufs_len:
                self.write_soon(data)
                return
            if not self.connected:
                raise waitress_channel.ClientDisconnected
            try:
                sent = self.socket.send(data)
            except BlockingIOError:
                sent = 0
            if sent < len(data):
                self.write_soon(data[sent:])
        self.last_activity = time.time()

    def overdue(self, limit_s: float) -> bool:
        """Whether a request has been arriving for too long.

        :param limit_s: how long it may take, in seconds.
        """
        if self.began is None or self.request is None:
            return False
        return time.monotonic() - self.began > limit_s

    def give_up_receiving(self) -> None:
        """Answer the half-received request with a timeout."""
        with self.requests_lock:
            if self.request is None or self.requests:
                return
            request = self.request
            request.error = _RequestTimeout()
            request.completed = True
            self.requests.append(request)
            self.request = None
            self.began = None
        self.server.add_task(self)


class _Server(waitress_server.TcpWSGIServer):
    """A server that times out slow senders and refuses when full.

    A sender that trickles bytes would hold a connection for ever and never
    look idle; the age of the request, not of the last byte, ends it.
    """

    channel_class = _Channel
    receive_s = 10.0
    queued_max = 64

    def maintenance(self, now: float) -> None:
        super().maintenance(now)
        overdue = [
            channel
            for channel in self.active_channels.values()
            if channel.overdue(self.receive_s)
        ]
        for channel in overdue:
            channel.give_up_receiving()

    def add_task(self, task: _Channel) -> None:
        # With every thread busy a request would wait unseen, and its refusal
        # would come late. A small error is written from the network thread
        # instead, which never blocks on it.
        request = task.requests[0] if task.requests else None
        if len(self.task_dispatcher.queue) < self.queued_max:
            super().add_task(task)
            return
        if request is not None and request.error is None:
            request.error = _Overloaded()
        task.service()


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
        self._server = _Server(
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
        """Whether a call is being answered or its answer being sent."""
        return any(
            channel.requests or channel.total_outbufs_len
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
        self._server.accepting = False
        try:
            self._server.socket.shutdown(socket.SHUT_RDWR)
        except OSError:
            return

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
            start_response(status_line(200), reply.headers)
            reply.run(Writer(environ[_TASK]))
            return []
        start_response(status_line(reply.status), reply.headers)
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


class _Route:
    """One row of the table of routes."""

    __slots__ = ("pattern", "methods", "handler")

    def __init__(
        self,
        pattern: re.Pattern[str],
        methods: frozenset[str],
        handler: typing.Any,
    ) -> None:
        self.pattern = pattern
        self.methods = methods
        self.handler = handler


class Routes:
    """A table from method and path to handler, filled by a decorator."""

    __slots__ = ("_table",)

    def __init__(self) -> None:
        self._table: list[_Route] = []

    def on(
        self, pattern: str, *methods: str
    ) -> typing.Callable[[typing.Any], typing.Any]:
        """Register a handler.

        :param pattern: a regular expression for the whole path; its groups
            become the handler's arguments after the call.
        :param methods: methods taken; none means any.
        """

        def register(handler: typing.Any) -> typing.Any:
            route = _Route(re.compile(pattern), frozenset(methods), handler)
            self._table.append(route)
            return handler

        return register

    def find(self, call: Call) -> tuple[typing.Any, tuple[str, ...]]:
        """The handler of a call and the arguments from its path.

        :param call: what came in.
        :raises Refusal: when no path matches, or not with this method.
        """
        matches = [
            (route, match.groups())
            for route in self._table
            if (match := route.pattern.fullmatch(call.path))
        ]
        if not matches:
            raise refusals.Refusal(refusals.NOT_FOUND, "no such path")
        for route, groups in matches:
            if not route.methods or call.method in route.methods:
                return route.handler, groups
        raise refusals.Refusal(
            refusals.METHOD, f"{call.method} is not taken here"
        )
