"""The paths from all VMs of a soak test to one runner."""

import typing

from . import proxy


class RunnerLink:
    """A proxy for each VM to one runner.

    :param target: the port of the runner.
    :param vms: the names of the VMs.
    """

    __slots__ = ("target", "_proxies")

    def __init__(self, target: int, vms: typing.Iterable[str]) -> None:
        self.target = target
        self._proxies = {vm: proxy.FaultProxy(target) for vm in vms}

    @property
    def ports(self) -> dict[str, int]:
        """The port at which each VM reaches the runner."""
        return {vm: each.port for vm, each in self._proxies.items()}

    def start(self) -> None:
        """Listen for all VMs."""
        for each in self._proxies.values():
            each.start()

    def set_mode(self, mode: proxy.Mode) -> None:
        """Change the mode for all VMs."""
        for each in self._proxies.values():
            each.set_mode(mode)

    def cut(self, vm: str, cut: proxy.Cut) -> None:
        """Cut off the path from one VM."""
        self._proxies[vm].cut(cut)

    def heal(self, vm: str) -> None:
        """End the cut of the path from one VM."""
        self._proxies[vm].heal()

    def close(self) -> None:
        """Stop listening and abort all connections."""
        for each in self._proxies.values():
            each.close()
