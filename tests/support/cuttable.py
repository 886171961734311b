"""A TCP relay whose connections can go silent, be cut or be refused.

Put it between a daemon and a runner: register the relay's address in the
runner's place.
"""

import socket
import struct
import threading

from tests.support import ports

HOST = "127.0.0.1"
CHUNK_BYTES = 65536
BACKLOG = 128
RESET = struct.pack("ii", 1, 0)


class _Pair:
    """Both halves of one relayed connection."""

    __slots__ = ("near", "far", "silent")

    def __init__(self, near: socket.socket, far: socket.socket) -> None:
        self.near = near
        self.far = far
        self.silent = False

    def pump(self, source: socket.socket, target: socket.socket) -> None:
        """Copy one way until either end closes.

        While silent, what arrives is read and dropped, and a close is not
        passed on either: the other end can't tell that anything happened.
        """
        try:
            while chunk := source.recv(CHUNK_BYTES):
                if not self.silent:
                    target.sendall(chunk)
            if not self.silent:
                target.shutdown(socket.SHUT_WR)
        except OSError:
            if not self.silent:
                self.close()

    def close(self) -> None:
        """Reset both halves."""
        for half in (self.near, self.far):
            try:
                half.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
                half.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass
            half.close()


class Relay:
    """Relays connections to one address.

    :param target: ``host:port``.
    """

    __slots__ = (
        "_target",
        "_listener",
        "_pairs",
        "_lock",
        "_silent_new",
        "_port",
        "_ports",
        "_accepted",
    )

    def __init__(self, target: str) -> None:
        host, _, port = target.rpartition(":")
        self._target = (host, int(port))
        self._pairs: list[_Pair] = []
        self._lock = threading.Lock()
        self._silent_new = False
        self._accepted = 0
        self._listener: socket.socket | None = None
        # Kept while the relay refuses: the port would be anybody's until
        # :meth:`restore` wants it back.
        self._ports = ports.Reservations()
        self._port = self._ports.reserve()
        self._listen()

    @property
    def address(self) -> str:
        """``host:port`` of the relay."""
        return f"{HOST}:{self._port}"

    @property
    def accepted(self) -> int:
        """Connections accepted so far."""
        return self._accepted

    @property
    def open(self) -> int:
        """Connections that are neither closed nor silent."""
        with self._lock:
            return sum(
                not pair.silent and pair.near.fileno() >= 0
                for pair in self._pairs
            )

    def silence(self, new_too: bool = False) -> int:
        """Swallow everything on the open connections, for good.

        :param new_too: whether later connections are swallowed as well,
            until :meth:`restore`.
        :returns: how many connections went silent.
        """
        with self._lock:
            self._silent_new = new_too
            for pair in self._pairs:
                pair.silent = True
            return len(self._pairs)

    def cut(self) -> None:
        """Reset the open connections."""
        with self._lock:
            pairs, self._pairs = self._pairs, []
        for pair in pairs:
            pair.close()

    def refuse(self) -> None:
        """Refuse new connections until :meth:`restore`."""
        if self._listener is not None:
            self._listener.shutdown(socket.SHUT_RDWR)
            self._listener.close()
            self._listener = None

    def restore(self) -> None:
        """Relay new connections again; silent ones stay silent."""
        self._silent_new = False
        if self._listener is None:
            self._listen()

    def close(self) -> None:
        """Stop listening and reset each connection."""
        self.refuse()
        self.cut()
        self._ports.close()

    def _listen(self) -> None:
        listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.bind((HOST, self._port))
        listener.listen(BACKLOG)
        self._listener = listener
        _spawn(self._accept, listener)

    def _accept(self, listener: socket.socket) -> None:
        while True:
            try:
                near, _ = listener.accept()
            except OSError:
                return
            _spawn(self._connect, near)

    def _connect(self, near: socket.socket) -> None:
        try:
            far = socket.create_connection(self._target)
        except OSError:
            near.close()
            return
        for half in (near, far):
            half.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        pair = _Pair(near, far)
        with self._lock:
            pair.silent = self._silent_new
            self._pairs.append(pair)
            self._accepted += 1
        back = _spawn(pair.pump, far, near)
        pair.pump(near, far)
        back.join()
        if not pair.silent:
            self._forget(pair)

    def _forget(self, pair: _Pair) -> None:
        with self._lock:
            if pair in self._pairs:
                self._pairs.remove(pair)
        pair.near.close()
        pair.far.close()


def _spawn(target, *arguments) -> threading.Thread:
    thread = threading.Thread(target=target, args=arguments, daemon=True)
    thread.start()
    return thread
