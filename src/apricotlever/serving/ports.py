"""Ports that listen while the process that serves them still starts.

Loading the modules takes longer than all else at a start. Callers who connect
meanwhile are turned away by a port on which nobody listens, and most of them
try only once more. On a port that listens already, their calls wait for the
moment until they are read.

Nothing but the socket module is loaded here.
"""

import socket
import typing

from .. import addresses

#: Connections that wait to be taken. Callers of a whole fleet come back at
#: the same moment when its power does.
BACKLOG = 1024


class Ports:
    """Listening sockets by address."""

    __slots__ = ("_sockets",)

    def __init__(self) -> None:
        self._sockets: dict[str, socket.socket] = {}

    def open(self, wanted: typing.Iterable[addresses.Address | None]) -> None:
        """Listen at addresses; None stands for nowhere.

        :raises OSError: when one of them can't be had.
        """
        for address in wanted:
            if address is not None and address.port:
                self._sockets[str(address)] = _open_listening_socket(address)

    def take(self, address: addresses.Address) -> socket.socket:
        """The socket of an address, opened now if it was not before.

        :raises OSError: when it can't be had.
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
