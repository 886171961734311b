"""Selection of the aggregators, and of the one that a VM uses.

An aggregator is a VM that relays the status records of other VMs of its data
centre (:mod:`.aggregates`). All VMs compute the same ranking of the live VMs
of a data centre, so they agree on the aggregators without coordination. When
an aggregator ends, the next VM in the ranking replaces it. A VM that gets no
message from its aggregator excludes it for a while and uses the next one,
independently of the other VMs. Having too many aggregators is harmless, as
each one reports only on the VMs that use it.
"""

import typing

from .. import clock as clocks

from . import rendezvous

#: Upper bound of the mean number of VMs that one aggregator serves.
VMS_PER_AGGREGATOR = 24
#: Seconds without a message from its aggregator after which a VM uses the next
#: one: two or more messages were lost or not sent by then.
SILENCE_TIMEOUT_S = 0.7
#: Seconds without a message from a newly selected aggregator after which a VM
#: uses the next one: an aggregator answers a new VM at once if it is alive.
FIRST_MESSAGE_TIMEOUT_S = 0.3
#: Seconds for which a silent aggregator is excluded.
EXCLUSION_S = 5.0
RANK_KEY = "aggregate"


def select_aggregators(vms: typing.Collection[str]) -> list[str]:
    """Select the aggregators of a data centre.

    They are one more than :data:`VMS_PER_AGGREGATOR` requires, or all VMs if
    there are fewer.

    :param vms: names of the data centre's live VMs.
    :returns: names of the aggregators, in order of rank.
    """
    count = -(-len(vms) // VMS_PER_AGGREGATOR) + 1
    return rendezvous.rank(RANK_KEY, vms)[:count]


class AggregatorSelector:
    """Selects the aggregator that one VM uses, and its fallback.

    The selection changes with the live VMs of the data centre, and when the
    aggregator in use falls silent.

    :param vm: name of the VM, which uses itself while it is an aggregator.
    """

    __slots__ = (
        "_aggregators",
        "_clock",
        "_excluded_until",
        "_ranked",
        "_timeout_at",
        "_current",
        "_vm",
        "_candidates",
    )

    def __init__(self, clock: clocks.Clock, vm: str) -> None:
        self._clock = clock
        self._vm = vm
        self._candidates: frozenset[str] = frozenset()
        self._aggregators: list[str] = []
        #: VMs that this VM may use as its aggregator, the preferred one
        #: first; only this VM while it is an aggregator itself.
        self._ranked: list[str] = []
        #: Time at which each excluded VM may be used again.
        self._excluded_until: dict[str, float] = {}
        self._current = ""
        #: When the current aggregator counts as silent.
        self._timeout_at = float("inf")

    @property
    def current(self) -> str:
        """Name of the aggregator in use; "" for none."""
        return self._current

    @property
    def fallback(self) -> str:
        """Name of the VM to use if the aggregator in use falls silent.

        It is "" if there is none.
        """
        if self._current == self._vm:
            return ""
        others = (name for name in self._eligible if name != self._current)
        return next(others, "")

    @property
    def is_aggregator(self) -> bool:
        """Whether this VM is an aggregator itself."""
        return self._vm in self._aggregators

    def set_candidates(self, vms: typing.Iterable[str]) -> None:
        """Select again if the VMs that may be aggregators have changed.

        :param vms: names of the live VMs of this data centre, with this one.
        """
        candidates = frozenset(vms)
        if candidates == self._candidates:
            return
        self._candidates = candidates
        self._aggregators = select_aggregators(candidates)
        # All other VMs rank after the aggregators. When all aggregators end
        # together, this VM gets to one of the others by excluding the
        # aggregators one by one, which is faster than detecting that they
        # have ended.
        self._ranked = list(
            dict.fromkeys(
                [
                    *rendezvous.rank(self._vm, self._aggregators),
                    *rendezvous.rank(RANK_KEY, candidates - {self._vm}),
                ]
            )
        )
        if self.is_aggregator:
            self._ranked = [self._vm]
        self._select()

    def record_message(self, vm: str) -> None:
        """Restart the timeout of the aggregator in use after its message.

        :param vm: sender of a message which shows that it serves this VM; any
            other VM than the aggregator in use is ignored.
        """
        if vm == self._current:
            self._timeout_at = self._clock.now() + SILENCE_TIMEOUT_S

    def tick(self) -> None:
        """Replace the aggregator in use if it has been silent for too long."""
        now = self._clock.now()
        self._excluded_until = {
            vm: until
            for vm, until in self._excluded_until.items()
            if until > now
        }
        if self._current not in ("", self._vm) and now > self._timeout_at:
            self._excluded_until[self._current] = now + EXCLUSION_S
        self._select()

    @property
    def _eligible(self) -> list[str]:
        """Candidates that are not excluded; all if each one is excluded."""
        eligible = [
            vm for vm in self._ranked if vm not in self._excluded_until
        ]
        return eligible or self._ranked

    def _select(self) -> None:
        """Use the first eligible candidate."""
        first = next(iter(self._eligible), "")
        if first != self._current:
            self._current = first
            self._timeout_at = self._clock.now() + FIRST_MESSAGE_TIMEOUT_S
