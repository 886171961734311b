"""The HTTP servers of one process."""

from . import caller_server
from . import configuration_model
from . import listening_sockets
from . import settings
from . import start_gate
from . import task_supervisor

#: Names of the servers that callers use. They accept connections only when
#: this VM can answer.
CALLER_FACING = ("callers", "lookups")


class Servers:
    """Serves calls at all addresses of a process.

    :param listening: listening sockets that are already open.
    """

    __slots__ = ("_opening", "_ports", "_servers")

    def __init__(self, listening: listening_sockets.ListeningSockets) -> None:
        self._ports = listening
        self._servers: dict[str, caller_server.CallerServer] = {}
        self._opening = start_gate.StartGate()

    @property
    def busy(self) -> int:
        """Number of callers' calls that are being answered."""
        server = self._servers.get("callers")
        return server.busy if server else 0

    async def listen(
        self,
        name: str,
        address: settings.Address | None,
        handler: caller_server.RequestHandler,
    ) -> None:
        """Serve at an address; None starts no server.

        A server in :data:`CALLER_FACING` accepts connections only after
        :meth:`serve_callers`.

        :param name: name of the server.
        """
        if address is None:
            return
        server = self._servers[name] = caller_server.CallerServer(handler)
        sock = self._ports.take(address)
        if name in CALLER_FACING:
            self._opening.add(server, sock)
        else:
            await server.serve(sock)

    def set_ready(self) -> None:
        """Note that this VM has a configuration and runners."""
        self._opening.set_ready()

    async def serve_callers(self) -> bool:
        """Accept callers' connections once this VM can answer.

        After a timeout, connections are accepted in any case.

        :returns: whether :meth:`informed` was called before the timeout.
        """
        return await self._opening.serve()

    def set_limits(self, limits: configuration_model.CallerLimits) -> None:
        """Set the limits on the size and timing of callers' calls."""
        self._servers["callers"].limits = limits

    def start_idle_sweeps(
        self, running: task_supervisor.TaskSupervisor
    ) -> None:
        """Start closing idle connections."""
        for server in self._servers.values():
            running.spawn(server.sweep_forever())

    def drain(self) -> None:
        """Send callers to other VMs after their pending calls are answered."""
        for name in self._servers.keys() & set(CALLER_FACING):
            self._servers[name].disable_keep_alive()

    def close(self) -> None:
        """Stop accepting connections, and close all open ones."""
        for server in self._servers.values():
            server.close()
