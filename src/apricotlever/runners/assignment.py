"""Assigns runners to entry VMs, for sending and for reading their load.

Both assignments use rendezvous hashing over the membership view, so that
entry VMs agree without communication.
"""

import itertools
import typing

from ..vms import rendezvous

from . import model as models
from . import subset


class RunnerAssignment:
    """The runners that one entry VM sends to and whose load it may read.

    :param vm: this VM's name.
    :param data_centre: this VM's data centre.
    """

    __slots__ = ("_vm", "_data_centre", "_entry_vms", "_subsets")

    def __init__(self, vm: str, data_centre: str) -> None:
        self._vm = vm
        self._data_centre = data_centre
        self._entry_vms: typing.Mapping[str, typing.Sequence[str]] = {
            data_centre: [vm]
        }
        self._subsets: dict[str, subset.Subset] = {}

    def set_serving(
        self, serving: typing.Mapping[str, typing.Sequence[str]]
    ) -> None:
        """Set the entry VMs that the runners are assigned to.

        :param serving: VM names by data centre; empty for a data centre of
            which only a summary is known.
        """
        self._entry_vms = serving
        for pool_subset in self._subsets.values():
            pool_subset.set_vms(self._named_entry_vms())

    def local_rank(self, key: str) -> int:
        """This VM's rank among the entry VMs of its data centre, from 0.

        A task that only a few VMs of a data centre should perform is left to
        those of the lowest ranks. Each task ranks the VMs differently.

        :param key: the name of the task.
        """
        here = self._entry_vms.get(self._data_centre, ())
        ranked = rendezvous.rank(key, {*here, self._vm})
        return ranked.index(self._vm)

    def load_reader_rank(self, runner: models.Runner) -> int:
        """This VM's rank among the VMs that may read a runner's load.

        The VMs of the lowest ranks read it. If the runner's data centre has
        entry VMs, only these may read the load, so that a runner is not polled
        from every data centre; other VMs get a rank beyond theirs.
        """
        local = self._entry_vms.get(runner.data_centre)
        if local is None:
            local = self._named_entry_vms()
        elif self._vm not in local:
            return max(len(local), 1) + len(self._entry_vms)
        ranked = rendezvous.rank(f"keeper/{runner.name}", {*local, self._vm})
        return ranked.index(self._vm)

    def select_runners(
        self, listed: typing.Iterable[models.Runner]
    ) -> tuple[models.Runner, ...]:
        """Select the runners that this VM sends to from all listed runners.

        Of a large pool, these are the VM's subset (see :mod:`.subset`); of a
        small pool, they are all runners.
        """
        listed = tuple(listed)
        by_pool: dict[str, list[str]] = {}
        for runner in listed:
            by_pool.setdefault(runner.pool, []).append(runner.name)
        selected: set[str] = set()
        for pool, names in by_pool.items():
            if pool not in self._subsets:
                self._subsets[pool] = subset.Subset(self._vm)
                self._subsets[pool].set_vms(self._named_entry_vms())
            self._subsets[pool].set_runners(names)
            selected |= self._subsets[pool].runners
        return tuple(runner for runner in listed if runner.name in selected)

    def _named_entry_vms(self) -> list[str]:
        """All serving entry VMs whose names are known."""
        return list(itertools.chain.from_iterable(self._entry_vms.values()))
