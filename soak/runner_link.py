"""The paths from all VMs of a soak test to one runner."""

import typing

from tests.support import ports

from . import proxy
from . import runner_paths


class RunnerLink:
    """A proxy for each VM to one runner.

    :param target: the port of the runner.
    :param vms: the names of the VMs.
    """

    __slots__ = ("target", "port", "_proxies", "_reservations")

    def __init__(self, target: int, vms: typing.Iterable[str]) -> None:
        self.target = target
        self._reservations = ports.PortReservations()
        #: The port of the runner's address, and of all proxies.
        self.port = 0
        self._proxies = {
            vm: proxy.FaultProxy(target, runner_paths.host_of(vm))
            for vm in vms
        }

    def start(self) -> None:
        """Listen for all VMs."""
        self.port = self._reservations.reserve(runner_paths.RUNNER_HOST)
        for each in self._proxies.values():
            each.start(self.port)

    def set_mode(self, mode: proxy.Mode) -> None:
        """Change the mode for all VMs."""
        for each in self._proxies.values():
            each.set_mode(mode)

    def set_down(self, down: bool) -> None:
        """Set whether the runner refuses connections."""
        for each in self._proxies.values():
            each.set_down(down)

    def cut(self, vm: str, cut: proxy.Cut) -> None:
        """Cut off the path from one VM."""
        self._proxies[vm].cut(cut)

    def heal(self, vm: str) -> None:
        """End the cut of the path from one VM."""
        self._proxies[vm].heal()

    def close(self) -> None:
        """Stop listening and abort all connections."""
        self._reservations.close()
        for each in self._proxies.values():
            each.close()
