"""Reads many streams of upstreams on one thread.

A thread for each stream would wake, take the interpreter's lock and sleep
again for every token; that costs more than the token's own work. Here one
thread polls all sockets and hands each stream's bytes to its owner's
callback, while the owner waits on a future for the end.
"""

from concurrent import futures
import queue
import selectors
import socket
import typing

from .. import clock as clocks
from . import upstreams

READ_BYTES = 65536
SWEEP_S = 0.2

Take = typing.Callable[[bytes], bool]


class _Reading:
    """One stream that is read.

    :param label: names the upstream in errors.
    """

    __slots__ = ("sock", "label", "patience_s", "take", "future", "heard_at")

    def __init__(
        self,
        sock: socket.socket,
        label: str,
        patience_s: float,
        take: Take,
        heard_at: float,
    ) -> None:
        self.sock = sock
        self.label = label
        self.patience_s = patience_s
        self.take = take
        self.future: futures.Future[None] = futures.Future()
        self.heard_at = heard_at


class StreamLoop:
    """One thread that reads streams until they end, break or fall silent.

    :param clock: tells how long a stream was silent.
    """

    __slots__ = (
        "_clock",
        "_selector",
        "_waker",
        "_woken",
        "_fresh",
        "_readings",
        "_stopping",
    )

    def __init__(self, clock: clocks.Clock) -> None:
        self._clock = clock
        self._selector = selectors.DefaultSelector()
        self._waker, self._woken = socket.socketpair()
        self._waker.setblocking(False)
        self._woken.setblocking(False)
        self._selector.register(self._woken, selectors.EVENT_READ, None)
        self._fresh: queue.SimpleQueue[_Reading] = queue.SimpleQueue()
        self._readings: dict[int, _Reading] = {}
        self._stopping = False

    @property
    def count(self) -> int:
        """Streams that are read now."""
        return len(self._readings)

    def read(
        self, sock: socket.socket, label: str, patience_s: float, take: Take
    ) -> "futures.Future[None]":
        """Read a stream until its owner has all of it.

        :param sock: connected; the loop owns it until the future settles.
        :param label: names the upstream in errors.
        :param patience_s: silence after which the stream counts as broken.
        :param take: called on the loop's thread with what was read; returns
            whether the stream is whole, and must not block. What it raises
            ends the reading and goes to the future.
        :returns: settles with None when the stream is whole; raises
            :class:`.upstreams.Broken` or :class:`.upstreams.Silent`.
        """
        reading = _Reading(sock, label, patience_s, take, self._clock.now())
        self._fresh.put(reading)
        self._wake()
        return reading.future

    def run(self) -> None:
        """Read until stopped; runs on a thread of its own."""
        sweep_at = self._clock.now() + SWEEP_S
        while not self._stopping:
            for key, _ in self._selector.select(SWEEP_S):
                if key.data is None:
                    self._take_fresh()
                else:
                    self._read_one(key.data)
            if self._clock.now() >= sweep_at:
                self._sweep()
                sweep_at = self._clock.now() + SWEEP_S
        self._end_all()

    def stop(self) -> None:
        """End the thread; streams that are read break."""
        self._stopping = True
        self._wake()

    def _wake(self) -> None:
        try:
            self._waker.send(b"\0")
        except BlockingIOError:
            # Enough wakes are waiting to be read.
            return

    def _take_fresh(self) -> None:
        try:
            self._woken.recv(READ_BYTES)
        except BlockingIOError:
            return
        while not self._fresh.empty():
            reading = self._fresh.get()
            try:
                reading.sock.setblocking(False)
                self._selector.register(
                    reading.sock, selectors.EVENT_READ, reading
                )
            except (OSError, ValueError) as error:
                reading.future.set_exception(_broken(reading, error))
                continue
            self._readings[id(reading)] = reading

    def _read_one(self, reading: _Reading) -> None:
        try:
            data = reading.sock.recv(READ_BYTES)
        except BlockingIOError:
            return
        except OSError as error:
            self._end(reading, _broken(reading, error))
            return
        if not data:
            self._end(reading, _broken(reading, "the stream ended early"))
            return
        reading.heard_at = self._clock.now()
        try:
            whole = reading.take(data)
        except Exception as error:
            self._end(reading, error)
            return
        if whole:
            self._end(reading, None)

    def _sweep(self) -> None:
        now = self._clock.now()
        silent = [
            reading
            for reading in self._readings.values()
            if now - reading.heard_at > reading.patience_s
        ]
        for reading in silent:
            self._end_if_silent(reading)

    def _end_if_silent(self, reading: _Reading) -> None:
        """End a stream that has nothing to read.

        When this process is short of processor time, the bytes of a stream
        that is well wait in its socket. Taken for silent it would be
        resumed, which costs more time yet, and the next ones would follow.
        """
        heard_at = reading.heard_at
        self._read_one(reading)
        ended = id(reading) not in self._readings
        if ended or reading.heard_at > heard_at:
            return
        message = f"{reading.label} fell silent"
        self._end(reading, upstreams.Silent(message, sent=True))

    def _end(self, reading: _Reading, error: Exception | None) -> None:
        self._readings.pop(id(reading), None)
        try:
            self._selector.unregister(reading.sock)
        except (KeyError, ValueError):
            # Closed under the loop; the selector has dropped it already.
            pass
        if error is None:
            reading.future.set_result(None)
        else:
            reading.future.set_exception(error)

    def _end_all(self) -> None:
        self._take_fresh()
        for reading in list(self._readings.values()):
            self._end(reading, _broken(reading, "this VM is stopping"))
        self._selector.close()


def _broken(reading: _Reading, why: typing.Any) -> upstreams.Broken:
    return upstreams.Broken(f"{reading.label} broke off: {why}", sent=True)
