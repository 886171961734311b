"""Reads the response streams of many upstreams on one thread.

A thread for each stream would wake, take the interpreter's lock and sleep
again for every token, which costs more than processing the token. Here one
thread polls all sockets and passes each stream's bytes to a callback, while
the stream's owner waits on a future for its end.
"""

from concurrent import futures
import queue
import selectors
import socket
import typing

from .. import clock as clocks
from . import upstream_exchange

READ_BYTES = 65536
IDLE_CHECK_INTERVAL_S = 0.2

DataCallback = typing.Callable[[bytes], bool]


class _Stream:
    """A stream that the loop reads.

    The other parameters are those of :meth:`StreamLoop.read`.

    :param last_data_at: when data last arrived, by the loop's clock.
    """

    __slots__ = (
        "sock",
        "label",
        "idle_timeout_s",
        "on_data",
        "future",
        "last_data_at",
    )

    def __init__(
        self,
        sock: socket.socket,
        label: str,
        idle_timeout_s: float,
        on_data: DataCallback,
        last_data_at: float,
    ) -> None:
        self.sock = sock
        self.label = label
        self.idle_timeout_s = idle_timeout_s
        self.on_data = on_data
        self.future: futures.Future[None] = futures.Future()
        self.last_data_at = last_data_at


class StreamLoop:
    """Reads streams on one thread until they end, break or time out.

    :param clock: measures how long a stream has been idle.
    """

    __slots__ = (
        "_clock",
        "_selector",
        "_wake_sender",
        "_wake_receiver",
        "_new_streams",
        "_streams",
        "_stopping",
    )

    def __init__(self, clock: clocks.Clock) -> None:
        self._clock = clock
        self._selector = selectors.DefaultSelector()
        self._wake_sender, self._wake_receiver = socket.socketpair()
        self._wake_sender.setblocking(False)
        self._wake_receiver.setblocking(False)
        self._selector.register(
            self._wake_receiver, selectors.EVENT_READ, None
        )
        self._new_streams: queue.SimpleQueue[_Stream] = queue.SimpleQueue()
        self._streams: dict[int, _Stream] = {}
        self._stopping = False

    @property
    def stream_count(self) -> int:
        """The number of streams that are being read."""
        return len(self._streams)

    def read(
        self,
        sock: socket.socket,
        label: str,
        idle_timeout_s: float,
        on_data: DataCallback,
    ) -> "futures.Future[None]":
        """Read a stream until it is complete.

        :param sock: connected; the loop owns it until the future completes.
        :param label: name of the upstream in error messages.
        :param idle_timeout_s: seconds without data after which the stream
            times out.
        :param on_data: called on the loop's thread with the bytes read;
            returns whether the stream is complete, and must not block. An
            exception that it raises ends the stream and is set on the future.
        :returns: a future that completes with None when the stream is
            complete, or raises ``ConnectionBroken`` or ``UpstreamTimeout``.
        """
        stream = _Stream(
            sock, label, idle_timeout_s, on_data, self._clock.now()
        )
        self._new_streams.put(stream)
        self._wake()
        return stream.future

    def run(self) -> None:
        """Read streams until stopped; to be called on a thread of its own."""
        next_idle_check_at = self._clock.now() + IDLE_CHECK_INTERVAL_S
        while not self._stopping:
            for key, _ in self._selector.select(IDLE_CHECK_INTERVAL_S):
                if key.data is None:
                    self._add_new_streams()
                else:
                    self._read_stream(key.data)
            if self._clock.now() >= next_idle_check_at:
                self._end_idle_streams()
                next_idle_check_at = self._clock.now() + IDLE_CHECK_INTERVAL_S
        self._end_all()

    def stop(self) -> None:
        """Stop the thread; the streams that are being read fail."""
        self._stopping = True
        self._wake()

    def _wake(self) -> None:
        try:
            self._wake_sender.send(b"\0")
        except BlockingIOError:
            # The loop has unread wake-ups already.
            return

    def _add_new_streams(self) -> None:
        try:
            self._wake_receiver.recv(READ_BYTES)
        except BlockingIOError:
            return
        while not self._new_streams.empty():
            stream = self._new_streams.get()
            try:
                stream.sock.setblocking(False)
                self._selector.register(
                    stream.sock, selectors.EVENT_READ, stream
                )
            except (OSError, ValueError) as error:
                stream.future.set_exception(_broken(stream, error))
                continue
            self._streams[id(stream)] = stream

    def _read_stream(self, stream: _Stream) -> None:
        try:
            data = stream.sock.recv(READ_BYTES)
        except BlockingIOError:
            return
        except OSError as error:
            self._end(stream, _broken(stream, error))
            return
        if not data:
            self._end(stream, _broken(stream, "the stream ended early"))
            return
        stream.last_data_at = self._clock.now()
        try:
            complete = stream.on_data(data)
        except Exception as error:
            self._end(stream, error)
            return
        if complete:
            self._end(stream, None)

    def _end_idle_streams(self) -> None:
        now = self._clock.now()
        idle = [
            stream
            for stream in self._streams.values()
            if now - stream.last_data_at > stream.idle_timeout_s
        ]
        for stream in idle:
            self._end_if_idle(stream)

    def _end_if_idle(self, stream: _Stream) -> None:
        """Time out a stream unless data waits in its socket.

        When this process is short of processor time, the bytes of a healthy
        stream wait in its socket. If such a stream timed out, it would be
        resumed, which takes more processor time and delays further streams
        past their timeout.
        """
        last_data_at = stream.last_data_at
        self._read_stream(stream)
        ended = id(stream) not in self._streams
        if ended or stream.last_data_at > last_data_at:
            return
        message = f"{stream.label} timed out"
        self._end(
            stream, upstream_exchange.UpstreamTimeout(message, sent=True)
        )

    def _end(self, stream: _Stream, error: Exception | None) -> None:
        self._streams.pop(id(stream), None)
        try:
            self._selector.unregister(stream.sock)
        except (KeyError, ValueError):
            # The socket was closed elsewhere and is no longer registered.
            pass
        if error is None:
            stream.future.set_result(None)
        else:
            stream.future.set_exception(error)

    def _end_all(self) -> None:
        self._add_new_streams()
        for stream in list(self._streams.values()):
            self._end(stream, _broken(stream, "this VM is stopping"))
        self._selector.close()


def _broken(
    stream: _Stream, why: typing.Any
) -> upstream_exchange.ConnectionBroken:
    return upstream_exchange.ConnectionBroken(
        f"{stream.label} broke off: {why}", sent=True
    )
