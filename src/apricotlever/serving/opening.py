"""When a process that has started begins to answer callers."""

import asyncio
import socket

from . import callers

#: How long callers' connections wait for the first configuration and the first
#: runners, in seconds: as long as peers take to bring what the store does not.
#: Without either, calls are refused.
INFORMED_S = 0.4


class Opening:
    """Holds callers' connections until there is an answer for them.

    A VM reads configuration and runners within milliseconds of its start.
    Calls that came meanwhile would be sent away, with one try less; unread,
    they wait on connections that listen already.
    """

    __slots__ = ("_informed", "_waiting")

    def __init__(self) -> None:
        self._informed = asyncio.Event()
        self._waiting: list[tuple[callers.CallerServer, socket.socket]] = []

    def add(self, server: callers.CallerServer, sock: socket.socket) -> None:
        """Have a server wait with its socket."""
        self._waiting.append((server, sock))

    def informed(self) -> None:
        """This VM knows what to serve, and where."""
        self._informed.set()

    async def serve(self, within_s: float = INFORMED_S) -> bool:
        """Let the servers take their connections.

        :param within_s: whether informed or not, after so many seconds.
        :returns: whether this VM was informed in time.
        """
        try:
            async with asyncio.timeout(within_s):
                await self._informed.wait()
        except TimeoutError:
            pass
        for server, sock in self._waiting:
            await server.serve(sock)
        self._waiting.clear()
        return self._informed.is_set()
