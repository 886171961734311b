"""TCP relay that can stop forwarding on its open connections."""

import socket
import threading

READ_BYTES = 65536


class PacketDropRelay:
    """Relays like a middlebox that drops the state of open connections.

    Dropped connections stay open but carry no data; new connections work.

    :param target: "host:port" to forward to.
    """

    def __init__(self, target: str) -> None:
        host, port = target.split(":")
        self._target = (host, int(port))
        self._listener = socket.create_server(("127.0.0.1", 0))
        self._dropped: set[socket.socket] = set()
        self._open_sockets: list[socket.socket] = []
        self.accepted = 0
        self._start(self._accept)

    @property
    def address(self) -> str:
        """The "host:port" to connect to."""
        return "127.0.0.1:%d" % self._listener.getsockname()[1]

    def drop_open_connections(self) -> None:
        """Discard all further data of the connections that are open now."""
        self._dropped.update(self._open_sockets)

    def close(self) -> None:
        """Close the listener and all connections."""
        for sock in [self._listener, *self._open_sockets]:
            sock.close()

    def _start(self, target, *args) -> None:
        threading.Thread(target=target, args=args, daemon=True).start()

    def _accept(self) -> None:
        while True:
            try:
                near, _ = self._listener.accept()
            except OSError:
                return
            far = socket.create_connection(self._target)
            self.accepted += 1
            self._open_sockets += [near, far]
            self._start(self._forward, near, far)
            self._start(self._forward, far, near)

    def _forward(self, source: socket.socket, target: socket.socket) -> None:
        try:
            while chunk := source.recv(READ_BYTES):
                if source not in self._dropped:
                    target.sendall(chunk)
            target.shutdown(socket.SHUT_WR)
        except OSError:
            return
