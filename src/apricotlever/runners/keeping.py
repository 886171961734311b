"""Which runners an entry VM sends to, and whose load it reads for others.

Rendezvous hashing over the view picks both, so that entry VMs agree without
talking.
"""

import itertools
import typing

from ..vms import rendezvous

from . import model as models
from . import subset


class Keeping:
    """One VM's part in knowing the runners.

    :param vm: this VM's name.
    :param data_centre: where it runs.
    """

    __slots__ = ("_vm", "_data_centre", "_serving", "_subsets")

    def __init__(self, vm: str, data_centre: str) -> None:
        self._vm = vm
        self._data_centre = data_centre
        self._serving: typing.Mapping[str, typing.Sequence[str]] = {
            data_centre: [vm]
        }
        self._subsets: dict[str, subset.Subset] = {}

    def set_serving(
        self, serving: typing.Mapping[str, typing.Sequence[str]]
    ) -> None:
        """Take over which entry VMs serve.

        :param serving: names by data centre; empty for a data centre that
            is seen by its summary only.
        """
        self._serving = serving
        for chosen in self._subsets.values():
            chosen.set_vms(self._seen())

    def rank_here(self, key: str) -> int:
        """This VM's place among those of its data centre, 0 the first.

        :param key: what is to be done by the first few.
        """
        here = self._serving.get(self._data_centre, ())
        ranked = rendezvous.rank(key, {*here, self._vm})
        return ranked.index(self._vm)

    def rank(self, runner: models.Runner) -> int:
        """This VM's place among those that may read a runner's load.

        They are of the runner's own data centre while that has any entry
        VM, so that a runner is not read from every data centre.
        """
        near = self._serving.get(runner.data_centre)
        if near is None:
            near = self._seen()
        elif self._vm not in near:
            return max(len(near), 1) + len(self._serving)
        ranked = rendezvous.rank(f"keeper/{runner.name}", {*near, self._vm})
        return ranked.index(self._vm)

    def choose(
        self, listed: typing.Iterable[models.Runner]
    ) -> tuple[models.Runner, ...]:
        """The runners that this VM sends to; all of them in a small pool."""
        listed = tuple(listed)
        by_pool: dict[str, list[str]] = {}
        for runner in listed:
            by_pool.setdefault(runner.pool, []).append(runner.name)
        wanted: set[str] = set()
        for pool, names in by_pool.items():
            if pool not in self._subsets:
                self._subsets[pool] = subset.Subset(self._vm)
                self._subsets[pool].set_vms(self._seen())
            self._subsets[pool].set_runners(names)
            wanted |= self._subsets[pool].runners
        return tuple(runner for runner in listed if runner.name in wanted)

    def _seen(self) -> list[str]:
        """Every serving entry VM that is seen by name."""
        return list(itertools.chain.from_iterable(self._serving.values()))
