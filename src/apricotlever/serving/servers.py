"""The HTTP servers of one process, one for each address of its settings."""

from ..vms import caller_memory

from . import caller_channel
from . import caller_server
from . import configuration_model
from . import forwarding_protocol
from . import listening_sockets
from . import settings
from . import start_gate
from . import task_supervisor

#: Names of the servers that callers use: for their calls, and for looking up
#: the VMs to call. They accept connections only when this VM can answer.
CALLER_FACING = ("callers", "lookups")
#: Bytes of a forwarded call for each byte of its headers: prompts are sent as
#: headers and once more by their parts.
HEADER_EXPANSION = 3
#: Descriptors that are left to files.
RESERVED_DESCRIPTORS = 200
#: Parts of the others that the connections of each server may take. The rest
#: is for runners, the store and calls to other VMs.
CONNECTION_SHARES = {
    "callers": 0.5,
    "lookups": 0.1,
    "checks": 0.05,
    "peers": 0.15,
    "metrics": 0.05,
}


class Servers:
    """Starts, drains and closes the HTTP servers of a process, by name.

    :param listening: listening sockets that are already open.
    :param machine: what the machine has.
    """

    __slots__ = ("_machine", "_opening", "_ports", "_servers", "memory")

    def __init__(
        self,
        listening: listening_sockets.ListeningSockets,
        machine: settings.Machine | None = None,
    ) -> None:
        self._machine = machine or settings.Machine()
        #: What callers of all servers hold.
        self.memory = caller_memory.CallerMemory(self._machine.memory_bytes)
        self._ports = listening
        self._servers: dict[str, caller_server.CallerServer] = {}
        self._opening = start_gate.StartGate()

    @property
    def metrics(self) -> dict[str, float]:
        """Values for the metrics, by name."""
        return {
            **self.memory.metrics,
            "caller_connections": sum(
                len(server.channels) for server in self._servers.values()
            ),
            "caller_connections_closed_for_room_total": sum(
                server.closed_for_room for server in self._servers.values()
            ),
        }

    @property
    def busy(self) -> int:
        """Number of connections on which callers' calls are being answered."""
        server = self._servers.get("callers")
        return server.busy if server else 0

    async def listen(
        self,
        name: str,
        address: settings.Address | None,
        handler: caller_channel.RequestHandler,
    ) -> None:
        """Start a server at an address.

        A server in :data:`CALLER_FACING` accepts connections only after
        :meth:`serve_callers`.

        :param name: name of the server.
        :param address: where it listens; None starts no server.
        :param handler: answers each request.
        """
        if address is None:
            return
        server = self._servers[name] = caller_server.CallerServer(
            handler, self.memory, self._max_connections(name)
        )
        sock = self._ports.take(address)
        if name in CALLER_FACING:
            self._opening.add(server, sock)
        else:
            await server.serve(sock)

    def _max_connections(self, name: str) -> int:
        """How many connections a server may have; 0 for any number."""
        sockets = self._machine.descriptors - RESERVED_DESCRIPTORS
        if sockets <= 0:
            return 0
        return max(1, int(CONNECTION_SHARES[name] * sockets))

    def set_ready(self) -> None:
        """Record that this VM can answer callers.

        It can once it has a configuration and runners.
        """
        self._opening.set_ready()

    async def serve_callers(self) -> bool:
        """Accept callers' connections once this VM can answer.

        After :data:`.start_gate.READY_TIMEOUT_S`, connections are accepted in
        any case.

        :returns: whether :meth:`set_ready` was called before the timeout.
        """
        return await self._opening.serve()

    def set_limits(self, limits: configuration_model.CallerLimits) -> None:
        """Set the limits on the size and timing of callers' calls.

        Other VMs may forward such calls, in requests that are longer.
        """
        self._servers["callers"].limits = limits
        peers = self._servers.get("peers")
        if peers is not None:
            peers.limits = configuration_model.CallerLimits(
                body_bytes=limits.body_bytes
                + HEADER_EXPANSION * limits.header_bytes
                + forwarding_protocol.ENVELOPE_BYTES
            )

    def start_idle_sweeps(
        self, running: task_supervisor.TaskSupervisor
    ) -> None:
        """Start tasks that close the servers' idle and slow connections."""
        for server in self._servers.values():
            running.spawn(server.sweep_forever())

    def drain(self) -> None:
        """Close each caller's connection after its next response.

        The callers then connect to other VMs. Calls in progress go on.
        """
        for name in self._servers.keys() & set(CALLER_FACING):
            self._servers[name].disable_keep_alive()

    def close(self) -> None:
        """Stop accepting connections, and close all open ones."""
        for server in self._servers.values():
            server.close()
