"""Which VMs of a data centre aggregate, and which of them a VM uses.

All VMs rank the living ones of a data centre alike, so they agree without
talking, and nobody is set aside: when an aggregator ends, the next in rank
takes its part. A VM that is not served passes its aggregator over for a while
and uses the next, whatever the others see. Two that both take themselves for
an aggregator do no harm, as each tells only of the VMs that use it.
"""

import typing

from .. import clock as clocks

from . import rendezvous

#: VMs that one aggregator serves, on the mean, at most.
SERVED = 24
#: A VM that hears nothing from its aggregator for so long, in seconds, uses
#: the next one: two or more messages were lost or not sent by then.
SILENT_S = 0.7
#: The same for one that it has just begun to use, and that would answer at
#: once.
FIRST_SILENT_S = 0.3
#: For how long it passes that one over, in seconds.
PASSED_OVER_S = 5.0
RANK_KEY = "aggregate"


def of_data_centre(vms: typing.Collection[str]) -> list[str]:
    """The aggregators of a data centre, one more than it needs.

    :param vms: names of its living VMs.
    """
    count = -(-len(vms) // SERVED) + 1
    return rendezvous.rank(RANK_KEY, vms)[:count]


class Choice:
    """The aggregator that one VM uses, and the next in case it ends.

    :param vm: its name; it uses itself while it is an aggregator.
    """

    __slots__ = (
        "_aggregators",
        "_clock",
        "_passed_over",
        "_ranked",
        "_silent_at",
        "_used",
        "_vm",
        "_vms",
    )

    def __init__(self, clock: clocks.Clock, vm: str) -> None:
        self._clock = clock
        self._vm = vm
        self._vms: frozenset[str] = frozenset()
        self._aggregators: list[str] = []
        #: All that may be used, in this VM's order.
        self._ranked: list[str] = []
        #: To when each that did not serve may be used again.
        self._passed_over: dict[str, float] = {}
        self._used = ""
        #: When the used one counts as silent.
        self._silent_at = float("inf")

    @property
    def used(self) -> str:
        """The aggregator in use; "" for none."""
        return self._used

    @property
    def next(self) -> str:
        """The VM that would be used after it; "" for none."""
        if self._used == self._vm:
            return ""
        others = (name for name in self._usable if name != self._used)
        return next(others, "")

    @property
    def is_aggregator(self) -> bool:
        """Whether this VM is an aggregator itself."""
        return self._vm in self._aggregators

    def set_vms(self, vms: typing.Iterable[str]) -> None:
        """Take over which VMs may aggregate, this one's data centre's."""
        found = frozenset(vms)
        if found == self._vms:
            return
        self._vms = found
        self._aggregators = of_data_centre(found)
        # Behind the aggregators come all others: when these end together,
        # it takes longer to see them gone than to pass them over.
        self._ranked = list(
            dict.fromkeys(
                [
                    *rendezvous.rank(self._vm, self._aggregators),
                    *rendezvous.rank(RANK_KEY, found - {self._vm}),
                ]
            )
        )
        if self.is_aggregator:
            self._ranked = [self._vm]
        self._choose()

    def heard(self, vm: str) -> None:
        """A message came from an aggregator that serves this VM."""
        if vm == self._used:
            self._silent_at = self._clock.now() + SILENT_S

    def tick(self) -> None:
        """Pass the aggregator over if it does not serve this VM."""
        now = self._clock.now()
        self._passed_over = {
            vm: until for vm, until in self._passed_over.items() if until > now
        }
        if self._used not in ("", self._vm) and now > self._silent_at:
            self._passed_over[self._used] = now + PASSED_OVER_S
        self._choose()

    @property
    def _usable(self) -> list[str]:
        """Aggregators in this VM's order; all of them if all were silent."""
        left = [vm for vm in self._ranked if vm not in self._passed_over]
        return left or self._ranked

    def _choose(self) -> None:
        """Use the first in this VM's order."""
        first = next(iter(self._usable), "")
        if first != self._used:
            self._used = first
            self._silent_at = self._clock.now() + FIRST_SILENT_S
