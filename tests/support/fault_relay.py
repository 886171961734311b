"""A TCP relay whose connections can be black-holed, reset or refused.

It simulates network faults between a daemon and a runner: the test registers
the relay's address in place of the runner's.
"""

import socket
import struct
import threading

from tests.support import ports

HOST = "127.0.0.1"
CHUNK_BYTES = 65536
BACKLOG = 128
# SO_LINGER with a timeout of 0 s: closing sends RST instead of FIN.
RESET_ON_CLOSE = struct.pack("ii", 1, 0)


class _RelayedConnection:
    """The two sockets of one relayed connection.

    :param client_socket: the connection that the relay accepted.
    :param target_socket: the connection to the relay's target.
    """

    __slots__ = ("client_socket", "target_socket", "blackholed")

    def __init__(
        self, client_socket: socket.socket, target_socket: socket.socket
    ) -> None:
        self.client_socket = client_socket
        self.target_socket = target_socket
        self.blackholed = False

    def forward(self, source: socket.socket, target: socket.socket) -> None:
        """Copy data in one direction until either end closes.

        While the connection is black-holed, data is read and dropped and a
        close is not forwarded, so the other end can't detect the fault.
        """
        try:
            while chunk := source.recv(CHUNK_BYTES):
                if not self.blackholed:
                    target.sendall(chunk)
            if not self.blackholed:
                target.shutdown(socket.SHUT_WR)
        except OSError:
            if not self.blackholed:
                self.close()

    def close(self) -> None:
        """Reset both sockets."""
        for end in (self.client_socket, self.target_socket):
            try:
                end.setsockopt(
                    socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE
                )
                end.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass
            end.close()


class FaultRelay:
    """Relays TCP connections to one address.

    :param target: ``host:port`` that connections are relayed to.
    """

    __slots__ = (
        "_target",
        "_listener",
        "_connections",
        "_lock",
        "_blackhole_new",
        "_port",
        "_ports",
        "_accepted",
    )

    def __init__(self, target: str) -> None:
        host, _, port = target.rpartition(":")
        self._target = (host, int(port))
        self._connections: list[_RelayedConnection] = []
        self._lock = threading.Lock()
        self._blackhole_new = False
        self._accepted = 0
        self._listener: socket.socket | None = None
        # The port stays reserved while the relay refuses connections;
        # otherwise another process could bind it before
        # :meth:`restore` does.
        self._ports = ports.PortReservations()
        self._port = self._ports.reserve()
        self._listen()

    @property
    def address(self) -> str:
        """``host:port`` where the relay listens."""
        return f"{HOST}:{self._port}"

    @property
    def accepted_count(self) -> int:
        """The number of connections relayed so far."""
        return self._accepted

    @property
    def open_count(self) -> int:
        """The number of open connections that are not black-holed."""
        with self._lock:
            return sum(
                not connection.blackholed
                and connection.client_socket.fileno() >= 0
                for connection in self._connections
            )

    def blackhole(self, new_too: bool = False) -> int:
        """Drop all data on the open connections from now on.

        :param new_too: whether later connections are black-holed as well,
            until :meth:`restore`.
        :returns: the number of black-holed connections.
        """
        with self._lock:
            self._blackhole_new = new_too
            for connection in self._connections:
                connection.blackholed = True
            return len(self._connections)

    def reset_connections(self) -> None:
        """Reset the open connections."""
        with self._lock:
            connections, self._connections = self._connections, []
        for connection in connections:
            connection.close()

    def refuse_connections(self) -> None:
        """Refuse new connections until :meth:`restore`."""
        if self._listener is not None:
            self._listener.shutdown(socket.SHUT_RDWR)
            self._listener.close()
            self._listener = None

    def restore(self) -> None:
        """Relay new connections again; black-holed ones stay black-holed."""
        self._blackhole_new = False
        if self._listener is None:
            self._listen()

    def close(self) -> None:
        """Stop listening, reset all connections and release the port."""
        self.refuse_connections()
        self.reset_connections()
        self._ports.close()

    def _listen(self) -> None:
        listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.bind((HOST, self._port))
        listener.listen(BACKLOG)
        self._listener = listener
        _start_thread(self._accept, listener)

    def _accept(self, listener: socket.socket) -> None:
        while True:
            try:
                client_socket, _ = listener.accept()
            except OSError:
                return
            _start_thread(self._connect, client_socket)

    def _connect(self, client_socket: socket.socket) -> None:
        try:
            target_socket = socket.create_connection(self._target)
        except OSError:
            client_socket.close()
            return
        for end in (client_socket, target_socket):
            end.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        connection = _RelayedConnection(client_socket, target_socket)
        with self._lock:
            connection.blackholed = self._blackhole_new
            self._connections.append(connection)
            self._accepted += 1
        responses = _start_thread(
            connection.forward, target_socket, client_socket
        )
        connection.forward(client_socket, target_socket)
        responses.join()
        if not connection.blackholed:
            self._remove(connection)

    def _remove(self, connection: _RelayedConnection) -> None:
        with self._lock:
            if connection in self._connections:
                self._connections.remove(connection)
        connection.client_socket.close()
        connection.target_socket.close()


def _start_thread(target, *arguments) -> threading.Thread:
    thread = threading.Thread(target=target, args=arguments, daemon=True)
    thread.start()
    return thread
