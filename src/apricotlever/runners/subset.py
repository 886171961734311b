"""Which of very many runners an entry VM sends to.

Each runner is given to a fixed number of VMs, those that rank highest for it
by rendezvous hashing. So all runners get work from equally many VMs, nobody
has to be asked, and when a VM comes or goes only the runners that it takes
or leaves change hands.
"""

import typing

from ..vms import rendezvous

DEFAULT_SIZE = 64


class Subset:
    """The runners of one pool that one VM keeps.

    :param vm: this VM's name.
    :param size: runners that a VM keeps on average.
    """

    __slots__ = ("_ahead", "_own_weights", "_size", "_vm", "_vms")

    def __init__(self, vm: str, size: int = DEFAULT_SIZE) -> None:
        self._vm = vm
        self._size = size
        self._vms: set[str] = {vm}
        #: For each runner, how many VMs rank above this one.
        self._ahead: dict[str, int] = {}
        self._own_weights: dict[str, int] = {}

    @property
    def vms_per_runner(self) -> int:
        """How many VMs send to each runner."""
        runners = max(1, len(self._ahead))
        wanted = -(-self._size * len(self._vms) // runners)
        return min(len(self._vms), wanted)

    @property
    def runners(self) -> frozenset[str]:
        """The runners that this VM keeps."""
        wanted = self.vms_per_runner
        return frozenset(
            runner for runner, ahead in self._ahead.items() if ahead < wanted
        )

    def set_vms(self, vms: typing.Iterable[str]) -> None:
        """Take over which VMs send to the pool; only changes cost time."""
        present = set(vms) | {self._vm}
        came = present - self._vms
        went = self._vms - present
        self._vms = present
        for runner, own in self._own_weights.items():
            self._ahead[runner] += _above(runner, own, came)
            self._ahead[runner] -= _above(runner, own, went)

    def set_runners(self, runners: typing.Iterable[str]) -> None:
        """Take over the runners of the pool; only new ones cost time."""
        present = set(runners)
        for runner in set(self._ahead) - present:
            del self._ahead[runner]
            del self._own_weights[runner]
        others = self._vms - {self._vm}
        for runner in present - set(self._ahead):
            own = rendezvous.weight(runner, self._vm)
            self._own_weights[runner] = own
            self._ahead[runner] = _above(runner, own, others)


def _above(runner: str, own: int, vms: typing.Iterable[str]) -> int:
    """How many of the VMs rank above a weight for a runner."""
    return sum(rendezvous.weight(runner, vm) > own for vm in vms)
