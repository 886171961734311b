"""What waitress does with a caller's connection, and what it does here."""

from http import client as http_names
import time
import typing

from waitress import channel as waitress_channel
from waitress import server as waitress_server
from waitress import task as waitress_task
from waitress import wasyncore

from .. import refusals

TASK = "apricotlever.task"
_KEY_FIELD = "IDEMPOTENCY_KEY"

_KIND_BY_STATUS = {
    400: refusals.BAD_REQUEST,
    408: refusals.SLOW_SENDER,
    413: refusals.BODY_TOO_LARGE,
    431: refusals.HEADERS_TOO_LARGE,
    501: refusals.NOT_IMPLEMENTED,
    503: refusals.SHED,
}


def status_line(status: int) -> str:
    """A status code with its reason phrase.

    :param status: HTTP status code.
    """
    return f"{status} {http_names.responses.get(status, 'Unknown')}"


class RequestTimeout:
    """Stands in the parser's error for a request that came too slowly."""

    code = 408
    body = "the request did not arrive in time"


class Overloaded:
    """Stands in the parser's error when no thread is free."""

    code = 503
    body = "this entry VM has no thread left for the request"


class RefusalTask(waitress_task.ErrorTask):
    """Answers a malformed request in the form of every other refusal."""

    def execute(self) -> None:
        """Write the refusal and close the connection."""
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


class Task(waitress_task.WSGITask):
    """A call whose handler can write its stream from another thread."""

    def get_environment(self) -> dict[str, typing.Any]:
        """The WSGI environment, which names this task as well."""
        environ = super().get_environment()
        environ[TASK] = self
        return environ


class Channel(waitress_channel.HTTPChannel):
    """A caller's connection that knows when its request began."""

    task_class = Task
    error_task_class = RefusalTask
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
        """Buffer bytes, and wake the network thread if some stay there."""
        written = int(super().write_soon(data))
        self.stalled = self.total_outbufs_len > 0
        if self.stalled:
            self.server.pull_trigger()
        return written

    def received(self, data: bytes) -> bool:
        """Parse bytes, and note when the request that they are of began."""
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
            request.error = RequestTimeout()
            request.completed = True
            self.requests.append(request)
            self.request = None
            self.began = None
        self.server.add_task(self)


class Server(waitress_server.TcpWSGIServer):
    """A server that times out slow senders and refuses when full.

    A sender that trickles bytes would hold a connection for ever and never
    look idle; the age of the request, not of the last byte, ends it.
    """

    channel_class = Channel
    receive_s = 10.0
    queued_max = 64

    def maintenance(self, now: float) -> None:
        """End the requests that have been arriving for too long."""
        super().maintenance(now)
        overdue = [
            channel
            for channel in self.active_channels.values()
            if channel.overdue(self.receive_s)
        ]
        for channel in overdue:
            channel.give_up_receiving()

    def stop_listening(self) -> None:
        """Accept what waits, then close the port; on the loop's thread.

        The kernel resets the connections that wait to be accepted when the
        listening socket is closed. Their callers have sent a request and
        could not tell whether it was run, so they are accepted first.
        """
        known = -1
        while known != len(self.active_channels):
            known = len(self.active_channels)
            self.handle_accept()
        self.accepting = False
        wasyncore.dispatcher.close(self)

    def add_task(self, task: Channel) -> None:
        """Queue a request for the threads, or refuse it when they are busy."""
        # With every thread busy a request would wait unseen, and its refusal
        # would come late. A small error is written from the network thread
        # instead, which never blocks on it.
        request = task.requests[0] if task.requests else None
        if len(self.task_dispatcher.queue) < self.queued_max:
            super().add_task(task)
            return
        if request is not None and request.error is None:
            request.error = Overloaded()
        task.service()
