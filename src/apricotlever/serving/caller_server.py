"""HTTP/1.1 server for callers, peer VMs and the platform's health checks.

Whoever opens a connection is called its caller, and each request on it a
call. The server parses calls and passes each one to a handler, which writes
the response.
"""

import asyncio
import heapq
import socket

from .. import addresses
from .. import clock as clocks
from .. import log_rate_limiter
from .. import logs
from ..vms import caller_memory

from . import aligned_timer
from . import caller_channel
from . import configuration_model
from . import listening_sockets

#: Interval between checks for idle and slow connections, in seconds.
SWEEP_INTERVAL_S = 0.5
#: Connections that are accepted before those that were are looked at, as many
#: may come at once. More wait in the queue of the listening socket.
ACCEPTED_AT_ONCE = 32
#: Part of the connections that close once too many are open, so that the next
#: ones aren't sought for each new one.
CLOSED_SHARE = 1 / 16


class CallerServer:
    """HTTP server on one address.

    :param handler: answers each call.
    :param memory: counts what all callers of the process hold; by default
        without a limit.
    :param max_connections: upper limit of the open connections; 0 for none.
    """

    __slots__ = (
        "handler",
        "limits",
        "channels",
        "memory",
        "closed_for_room",
        "_leaving",
        "_log_limit",
        "_max_connections",
        "_server",
    )

    def __init__(
        self,
        handler: caller_channel.RequestHandler,
        memory: caller_memory.CallerMemory | None = None,
        max_connections: int = 0,
    ) -> None:
        self.handler = handler
        self._max_connections = max_connections
        #: How many connections were closed as too many were open.
        self.closed_for_room = 0
        self.memory = memory or caller_memory.CallerMemory()
        self.limits = configuration_model.CallerLimits()
        self.channels: set[caller_channel.CallerChannel] = set()
        self._leaving = False
        #: Limits the lines about each address.
        self._log_limit = log_rate_limiter.LogRateLimiter(clocks.SystemClock())
        self._server: asyncio.Server | None = None

    @property
    def keep_alive_disabled(self) -> bool:
        """Whether each connection closes after its current response."""
        return self._leaving

    @property
    def busy(self) -> int:
        """Number of connections with a call in progress or queued.

        A call is in progress until its caller's socket has the response.
        """
        return sum(
            channel.busy or channel.unsent_bytes > 0
            for channel in self.channels
        )

    def add(self, channel: caller_channel.CallerChannel) -> bool:
        """Add an open connection, and close others if too many are open.

        Those close that have waited longest for a call, or for the end of
        one; the new one itself, if all others are being answered.

        :returns: whether the new one stays open.
        """
        self.channels.add(channel)
        if not 0 < self._max_connections < len(self.channels):
            return True
        waiting = [
            other
            for other in self.channels
            if other is not channel and not other.busy
        ]
        count = max(1, int(CLOSED_SHARE * self._max_connections))
        oldest = heapq.nsmallest(
            count, waiting, key=lambda other: other.waiting_since
        )
        for other in oldest or [channel]:
            self.closed_for_room += 1
            self.note_gave_way(other.host, other.stage, other.held_bytes)
            self.channels.discard(other)
            other.close()
        return bool(oldest)

    def note_gave_way(
        self, host: str, stage: caller_memory.Stage, held_bytes: int
    ) -> None:
        """Log that a connection is closed, as callers hold too much."""
        if self._log_limit.allows(host):
            logs.event(
                "caller_gave_way",
                caller=host,
                stage=stage.name.lower(),
                held_bytes=held_bytes,
            )

    async def listen(self, host: str, port: int) -> int:
        """Accept connections at an address.

        :returns: the port; if the argument is 0, one that the system chose.
        """
        address = addresses.Address(host, port)
        return await self.serve(
            listening_sockets.ListeningSockets().take(address)
        )

    async def serve(self, sock: socket.socket) -> int:
        """Accept connections from a listening socket.

        :returns: its port.
        """
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            lambda: caller_channel.CallerChannel(self),
            sock=sock,
            backlog=ACCEPTED_AT_ONCE,
        )
        sock.listen(listening_sockets.BACKLOG)
        return int(sock.getsockname()[1])

    def disable_keep_alive(self) -> None:
        """From now on, close each connection after its next response."""
        self._leaving = True

    async def sweep_forever(self) -> None:
        """Close idle and slow connections periodically, until cancelled."""
        loop = asyncio.get_running_loop()
        while True:
            await aligned_timer.sleep_until_tick(SWEEP_INTERVAL_S)
            now = loop.time()
            for channel in list(self.channels):
                channel.sweep(now, self.limits)

    def close(self) -> None:
        """Stop accepting connections and abort those that are open."""
        if self._server is not None:
            self._server.close()
        for channel in list(self.channels):
            channel.close()
