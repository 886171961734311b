"""Delays accepting callers' connections until a new process can serve them."""

import asyncio
import socket

from . import caller_server

#: How long callers' connections wait for the first configuration and the first
#: runners, in seconds. Peers deliver them within this time if the store does
#: not. Afterwards connections are accepted, and calls are refused while either
#: is missing.
READY_TIMEOUT_S = 0.4


class StartGate:
    """Leaves callers' connections unaccepted until calls can be served.

    A VM reads its configuration and runners within milliseconds of its start.
    A call read before then would be refused, which costs its caller one
    attempt. Unaccepted, it waits in the backlog of the listening socket.
    """

    __slots__ = ("_ready", "_waiting_servers")

    def __init__(self) -> None:
        self._ready = asyncio.Event()
        self._waiting_servers: list[
            tuple[caller_server.CallerServer, socket.socket]
        ] = []

    def add(
        self, server: caller_server.CallerServer, sock: socket.socket
    ) -> None:
        """Add a server, to be started on its listening socket later."""
        self._waiting_servers.append((server, sock))

    def set_ready(self) -> None:
        """Record that this VM can answer callers.

        It can once it has a configuration and runners.
        """
        self._ready.set()

    async def serve(self, within_s: float = READY_TIMEOUT_S) -> bool:
        """Start the added servers once this VM is ready or the time is over.

        :param within_s: longest wait, in seconds.
        :returns: whether this VM was ready in time.
        """
        try:
            async with asyncio.timeout(within_s):
                await self._ready.wait()
        except TimeoutError:
            pass
        for server, sock in self._waiting_servers:
            await server.serve(sock)
        self._waiting_servers.clear()
        return self._ready.is_set()
