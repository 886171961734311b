"""Selects the subset of a large pool's runners that an entry VM sends to.

Each runner is assigned to the same number of VMs, those that rank highest
for it by rendezvous hashing. All runners thus get work from equally many
VMs without coordination, and when a VM joins or leaves, only the runners
assigned to that VM are reassigned.
"""

import typing

from ..vms import rendezvous

#: The number of runners that a VM gets on average, by default.
DEFAULT_SUBSET_SIZE = 64


class Subset:
    """The runners of one pool that are assigned to one VM.

    :param vm: this VM's name.
    :param size: the average number of runners to assign to a VM.
    """

    __slots__ = ("_higher_ranked", "_own_weights", "_size", "_vm", "_vms")

    def __init__(self, vm: str, size: int = DEFAULT_SUBSET_SIZE) -> None:
        self._vm = vm
        self._size = size
        self._vms: set[str] = {vm}
        #: Number of VMs that rank above this one, by runner.
        self._higher_ranked: dict[str, int] = {}
        self._own_weights: dict[str, int] = {}

    @property
    def vms_per_runner(self) -> int:
        """The number of VMs that each runner is assigned to.

        It is chosen so that a VM gets at least ``size`` runners on average, if
        the pool has so many.
        """
        runners = max(1, len(self._higher_ranked))
        wanted = -(-self._size * len(self._vms) // runners)
        return min(len(self._vms), wanted)

    @property
    def runners(self) -> frozenset[str]:
        """The runners assigned to this VM."""
        wanted = self.vms_per_runner
        return frozenset(
            runner
            for runner, higher_ranked in self._higher_ranked.items()
            if higher_ranked < wanted
        )

    def set_vms(self, vms: typing.Iterable[str]) -> None:
        """Set the VMs that send to the pool.

        Only VMs that join or leave are ranked, so small changes are cheap.
        """
        present = set(vms) | {self._vm}
        joined = present - self._vms
        left = self._vms - present
        self._vms = present
        for runner, own_weight in self._own_weights.items():
            self._higher_ranked[runner] += _count_above(
                runner, own_weight, joined
            )
            self._higher_ranked[runner] -= _count_above(
                runner, own_weight, left
            )

    def set_runners(self, runners: typing.Iterable[str]) -> None:
        """Set the runners of the pool.

        Only new runners are ranked, so small changes are cheap.
        """
        present = set(runners)
        for runner in set(self._higher_ranked) - present:
            del self._higher_ranked[runner]
            del self._own_weights[runner]
        others = self._vms - {self._vm}
        for runner in present - set(self._higher_ranked):
            own_weight = rendezvous.weight(runner, self._vm)
            self._own_weights[runner] = own_weight
            self._higher_ranked[runner] = _count_above(
                runner, own_weight, others
            )


def _count_above(
    runner: str, own_weight: int, vms: typing.Iterable[str]
) -> int:
    """The number of VMs whose weight for a runner exceeds this VM's."""
    return sum(rendezvous.weight(runner, vm) > own_weight for vm in vms)
