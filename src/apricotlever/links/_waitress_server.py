"""Subclasses of waitress's server, channel and task, for callers' requests.

They time out slow requests, refuse calls when the queue for threads is full,
and let a handler write a stream from another thread.
"""

from http import client as http_names
import time
import typing

from waitress import channel as waitress_channel
from waitress import server as waitress_server
from waitress import task as waitress_task
from waitress import wasyncore

from .. import refusals

TASK_ENVIRON_KEY = "apricotlever.task"
_IDEMPOTENCY_KEY_HEADER = "IDEMPOTENCY_KEY"

_REFUSAL_KIND_BY_STATUS = {
    400: refusals.BAD_REQUEST,
    408: refusals.REQUEST_TIMEOUT,
    413: refusals.BODY_TOO_LARGE,
    431: refusals.HEADERS_TOO_LARGE,
    501: refusals.NOT_IMPLEMENTED,
    503: refusals.OVERLOADED,
}


def status_line(status: int) -> str:
    """Format a status code with its reason phrase.

    :param status: HTTP status code.
    :returns: such as ``404 Not Found``.
    """
    return f"{status} {http_names.responses.get(status, 'Unknown')}"


class RequestTimeout:
    """The error set on a request that did not arrive in time.

    It stands in for waitress's errors of parsing and has their attributes.
    """

    code = 408
    body = "the request did not arrive in time"


class Overloaded:
    """The error set on a request that found the queue for threads full.

    It stands in for waitress's errors of parsing and has their attributes.
    """

    code = 503
    body = "all threads of this entry VM are busy"


class RefusalTask(waitress_task.ErrorTask):
    """Answers a request that has an error, as JSON like every refusal."""

    def execute(self) -> None:
        """Write the refusal and close the connection."""
        error = self.request.error
        kind = _REFUSAL_KIND_BY_STATUS.get(error.code, refusals.BAD_REQUEST)
        retry_after_s = 1.0 if kind is refusals.OVERLOADED else None
        message = str(error.body).strip() or kind.meaning
        executed = refusals.Executed.NO
        if _IDEMPOTENCY_KEY_HEADER in self.request.headers:
            # An earlier request with the same key may have run.
            executed = refusals.Executed.UNKNOWN
        refusal = refusals.Refusal(kind, message, executed, retry_after_s)
        body = refusal.body()
        self.status = status_line(kind.status)
        self.response_headers.extend(refusal.headers())
        self.set_close_on_finish()
        self.content_length = len(body)
        self.write(body)


class Task(waitress_task.WSGITask):
    """A WSGI task that its handler can reach, to write a stream to it."""

    def get_environment(self) -> dict[str, typing.Any]:
        """Build the WSGI environment, with this task as an extra entry."""
        environ = super().get_environment()
        environ[TASK_ENVIRON_KEY] = self
        return environ


class Channel(waitress_channel.HTTPChannel):
    """A caller's connection that records when its current request began."""

    task_class = Task
    error_task_class = RefusalTask
    request_started_at: float | None = None
    request: typing.Any
    has_unsent_data = False

    def writable(self) -> bool:
        """Whether the network thread has something to send.

        The thread that serves a request sends the response bytes itself. If
        the network thread polled for the same bytes, it would find the socket
        ready and the buffer locked, again and again, and use a whole core.
        The network thread sends only what the caller's socket did not accept.
        """
        if self.requests and not self.has_unsent_data:
            return bool(self.will_close)
        return bool(super().writable())

    def write_soon(self, data: typing.Any) -> int:
        """Buffer bytes, and wake the network thread if some remain unsent."""
        written = int(super().write_soon(data))
        self.has_unsent_data = self.total_outbufs_len > 0
        if self.has_unsent_data:
            self.server.pull_trigger()
        return written

    def received(self, data: bytes) -> bool:
        """Parse received bytes, and record when their request began."""
        if self.request is None:
            self.request_started_at = time.monotonic()
        answer = super().received(data)
        if self.request is None:
            self.request_started_at = None
        return answer

    def send_directly(self, data: bytes) -> None:
        """Send bytes to the socket, bypassing the output buffers if empty.

        Buffering costs more than sending, and a stream of small events
        almost never needs it.

        :raises ClientDisconnected: when the caller has disconnected.
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

    def is_overdue(self, limit_s: float) -> bool:
        """Whether the current request has been arriving for too long.

        :param limit_s: how long a request may take to arrive, in seconds.
        """
        if self.request_started_at is None or self.request is None:
            return False
        return time.monotonic() - self.request_started_at > limit_s

    def time_out_request(self) -> None:
        """Answer the incomplete request with status 408."""
        with self.requests_lock:
            if self.request is None or self.requests:
                return
            request = self.request
            request.error = RequestTimeout()
            request.completed = True
            self.requests.append(request)
            self.request = None
            self.request_started_at = None
        self.server.add_task(self)


class Server(waitress_server.TcpWSGIServer):
    """A server that times out slow requests and refuses calls when full.

    A client that sends a few bytes at a time would hold a connection for
    ever without being idle. So the limit is on the age of the request, not on
    the time since its last byte.
    """

    channel_class = Channel
    receive_timeout_s = 10.0
    max_queued_requests = 64

    def maintenance(self, now: float) -> None:
        """Time out the requests that have been arriving for too long."""
        super().maintenance(now)
        overdue = [
            channel
            for channel in self.active_channels.values()
            if channel.is_overdue(self.receive_timeout_s)
        ]
        for channel in overdue:
            channel.time_out_request()

    def stop_listening(self) -> None:
        """Accept the waiting connections, then close the listening socket.

        This method must be called on the network thread. When the listening
        socket is closed, the kernel resets the connections that were not
        accepted yet. Their callers may have sent a request and could not
        tell whether it was run, so these connections are accepted first.
        """
        known = -1
        while known != len(self.active_channels):
            known = len(self.active_channels)
            self.handle_accept()
        self.accepting = False
        wasyncore.dispatcher.close(self)

    def add_task(self, task: Channel) -> None:
        """Queue a request for a thread, or refuse it if the queue is full."""
        # A request that waited in a full queue would be refused late. The
        # network thread writes the refusal instead, which is small enough
        # never to block that thread.
        request = task.requests[0] if task.requests else None
        if len(self.task_dispatcher.queue) < self.max_queued_requests:
            super().add_task(task)
            return
        if request is not None and request.error is None:
            request.error = Overloaded()
        task.service()
