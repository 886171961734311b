"""Reserves ports for processes that are about to start.

A port that was looked up and released is free until its process binds it, and
the kernel may assign it to any other socket meanwhile (of 100,000 assigned
ports, 90 were one of six released ports). The process then ends with "address
already in use", which made roughly one start in a hundred fail. The kernel
never assigns a port that is still bound.
"""

import socket

HOST = "127.0.0.1"


class PortReservations:
    """Keeps ports reserved until :meth:`close`, also across restarts."""

    __slots__ = ("_sockets",)

    def __init__(self) -> None:
        self._sockets: list[socket.socket] = []

    def reserve(self, host: str = HOST, port: int = 0) -> int:
        """Reserve a port that only a socket with SO_REUSEADDR can bind.

        :param port: the port to reserve; 0 for any free one.
        :raises OSError: if the port is taken.
        """
        reserving = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        # Two sockets with SO_REUSEADDR may bind one port if at most one of
        # them listens, so the intended process can still bind it.
        reserving.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        reserving.bind((host, port))
        self._sockets.append(reserving)
        return int(reserving.getsockname()[1])

    def close(self) -> None:
        """Release all ports."""
        sockets, self._sockets = self._sockets, []
        for reserving in sockets:
            reserving.close()
