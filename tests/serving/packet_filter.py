"""Makes a connection silent, as one whose state a network device dropped."""

import ctypes
import socket
import struct

_SO_ATTACH_FILTER = 26
_SO_DETACH_FILTER = 27
#: One instruction of a packet filter: accept no byte of any packet.
_DROP_ALL = struct.pack("HBBI", 6, 0, 0, 0)


def drop_received(sock):
    """Drop each packet that arrives at a socket, so that none is acknowledged.

    :param sock: an open TCP socket.
    """
    program = ctypes.create_string_buffer(_DROP_ALL)
    argument = struct.pack("HxxxxxxP", 1, ctypes.addressof(program))
    sock.setsockopt(socket.SOL_SOCKET, _SO_ATTACH_FILTER, argument)


def receive_again(sock):
    """Undo :func:`drop_received`."""
    sock.setsockopt(socket.SOL_SOCKET, _SO_DETACH_FILTER, 0)
