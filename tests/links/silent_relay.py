"""Forwards TCP connections until told to go silent on them."""

import socket
import threading

CHUNK_BYTES = 65536


class SilentRelay:
    """New connections work while those before stay open and dead.

    :param target: "host:port" to forward to.
    """

    def __init__(self, target: str) -> None:
        host, port = target.split(":")
        self._target = (host, int(port))
        self._listener = socket.create_server(("127.0.0.1", 0))
        self._silent: set[socket.socket] = set()
        self._open: list[socket.socket] = []
        self.accepted = 0
        self._start(self._accept)

    @property
    def address(self) -> str:
        """Where to connect."""
        return "127.0.0.1:%d" % self._listener.getsockname()[1]

    def go_silent(self) -> None:
        """Nothing comes through the connections of now any more."""
        self._silent.update(self._open)

    def close(self) -> None:
        """Close everything."""
        for each in [self._listener, *self._open]:
            each.close()

    def _start(self, work, *arguments) -> None:
        threading.Thread(target=work, args=arguments, daemon=True).start()

    def _accept(self) -> None:
        while True:
            try:
                near, _ = self._listener.accept()
            except OSError:
                return
            far = socket.create_connection(self._target)
            self.accepted += 1
            self._open += [near, far]
            self._start(self._pump, near, far)
            self._start(self._pump, far, near)

    def _pump(self, source: socket.socket, target: socket.socket) -> None:
        try:
            while chunk := source.recv(CHUNK_BYTES):
                if source not in self._silent:
                    target.sendall(chunk)
            target.shutdown(socket.SHUT_WR)
        except OSError:
            return
