"""Listening sockets that are opened before the rest of the process starts.

Importing modules is the longest part of a start. Without a listening socket,
connections of callers are refused in this time, and most callers retry only
once. On a socket that listens already, calls wait until the process reads
them.

So that sockets open early, this module imports nothing heavier than socket.
"""

import socket
import typing

from .. import addresses

#: Maximum number of connections that wait to be accepted. After a power
#: outage, the callers of a whole fleet reconnect at the same moment.
BACKLOG = 1024


class ListeningSockets:
    """Listening sockets, opened at the start and handed over to servers."""

    __slots__ = ("_sockets",)

    def __init__(self) -> None:
        self._sockets: dict[str, socket.socket] = {}

    def open(self, wanted: typing.Iterable[addresses.Address | None]) -> None:
        """Open sockets at addresses in advance.

        None and an address without a port are skipped.

        :raises OSError: if an address can't be bound.
        """
        for address in wanted:
            if address is not None and address.port:
                self._sockets[str(address)] = _open_listening_socket(address)

    def take(self, address: addresses.Address) -> socket.socket:
        """Hand over the socket of an address, opening it if necessary.

        :raises OSError: if the address can't be bound.
        """
        return self._sockets.pop(str(address), None) or _open_listening_socket(
            address
        )


def _open_listening_socket(address: addresses.Address) -> socket.socket:
    family = socket.AF_INET6 if ":" in address.host else socket.AF_INET
    sock = socket.socket(family, socket.SOCK_STREAM)
    try:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        sock.setblocking(False)
        sock.bind((address.host, address.port))
        sock.listen(BACKLOG)
    except OSError:
        sock.close()
        raise
    return sock
