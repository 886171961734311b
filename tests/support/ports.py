"""Addresses for processes that are about to start.

A port that was only looked up and let go belongs to nobody until its process
binds it. Whoever asks for any port may get it meanwhile (of 100,000 that were
asked for, 90 were one of six ports let go); the process then ends with
"address already in use", seen as a start that fails once in some hundred. The
kernel gives a port that is bound to nobody else.
"""

import socket

HOST = "127.0.0.1"


class Reservations:
    """Ports that are kept until :meth:`close`, also across restarts."""

    __slots__ = ("_held",)

    def __init__(self) -> None:
        self._held: list[socket.socket] = []

    def reserve(self) -> int:
        """A port that only a listener that reuses addresses can bind."""
        held = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        # Two sockets may share a bound port when both ask for it and at most
        # one listens; so the process that is meant can still take it.
        held.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        held.bind((HOST, 0))
        self._held.append(held)
        return int(held.getsockname()[1])

    def close(self) -> None:
        """Let all ports go."""
        held, self._held = self._held, []
        for each in held:
            each.close()
