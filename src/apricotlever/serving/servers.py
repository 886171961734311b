"""The servers of one process, by what asks there."""

from . import callers
from . import opening
from . import ports
from . import routes
from . import settings
from . import tasks

#: Servers that wait until there is an answer for their callers.
CALLER_FACING = ("callers", "lookups")


class Servers:
    """Takes calls at all addresses of a process.

    :param listening: ports that were opened before.
    """

    __slots__ = ("_opening", "_ports", "_servers")

    def __init__(self, listening: ports.Ports) -> None:
        self._ports = listening
        self._servers: dict[str, callers.CallerServer] = {}
        self._opening = opening.Opening()

    @property
    def busy(self) -> int:
        """Callers' calls that are being answered."""
        server = self._servers.get("callers")
        return server.busy if server else 0

    async def listen(
        self,
        name: str,
        address: settings.Address | None,
        handler: callers.Handler,
    ) -> None:
        """Serve at an address; None stands for nowhere.

        :param name: of who asks there. Callers are answered only from
            :meth:`serve_callers` on.
        """
        if address is None:
            return
        server = self._servers[name] = callers.CallerServer(handler)
        sock = self._ports.take(address)
        if name in CALLER_FACING:
            self._opening.add(server, sock)
        else:
            await server.serve(sock)

    def informed(self) -> None:
        """This VM knows what to serve, and where."""
        self._opening.informed()

    async def serve_callers(self) -> bool:
        """Answer callers, as soon as there is an answer.

        :returns: whether this VM was informed in time.
        """
        return await self._opening.serve()

    def set_limits(self, limits: routes.CallerLimits) -> None:
        """Take over what callers may send."""
        self._servers["callers"].limits = limits

    def start_idle_sweeps(self, running: tasks.Tasks) -> None:
        """Close idle connections from now on."""
        for server in self._servers.values():
            running.spawn(server.sweep_forever())

    def drain(self) -> None:
        """Send callers elsewhere after the answers that they wait for."""
        for name in self._servers.keys() & set(CALLER_FACING):
            self._servers[name].leave()

    def close(self) -> None:
        """Take no more connections and close all that are open."""
        for server in self._servers.values():
            server.close()
