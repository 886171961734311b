"""Chooses the VM that runs a call for a VM that reaches no runner.

The VM that runs the call is called its helper. Helpers of the same data centre
go first, so that few bytes travel between data centres. Among them, the less
loaded one of two random ones is chosen, as all VMs of a data centre may need
helpers at once and know each other's loads only with a delay.
"""

import random
import typing

from .. import clock as clocks

from . import vm_records

#: A helper of another data centre is preferred if the one of this data centre
#: has more than this multiple of its load.
FAR_LOAD_FACTOR = 2.0
#: It must also have at least this many more calls in flight.
FAR_LOAD_MARGIN = 32.0
#: Random draws before all helpers are looked at. Few are paused or excluded
#: as a rule, so that the first draws suffice.
MAX_DRAWS = 8
#: Longest time for which a helper that keeps refusing gets no more calls, in
#: seconds. The time doubles with each refusal, as asking costs the helper too.
MAX_REFUSAL_PAUSE_S = 3.2
#: Number of helpers whose loads are compared.
CHOICES = 2


class HelperChoice:
    """Chooses helpers from the status records of the other VMs.

    The lists of helpers are rebuilt when records came, and only if a helper
    is needed, so that a call costs the same in a fleet of any size.

    :param rng: draws the helpers that are compared.
    :param vm: this VM's name.
    :param data_centre: this VM's data centre.
    """

    __slots__ = (
        "_clock",
        "_data_centre",
        "_far",
        "_in_flight",
        "_loads",
        "_near",
        "_paused_until",
        "_records",
        "_refusals",
        "_rng",
        "_vm",
    )

    def __init__(
        self,
        clock: clocks.Clock,
        rng: random.Random,
        vm: str,
        data_centre: str,
    ) -> None:
        self._clock = clock
        self._rng = rng
        self._vm = vm
        self._data_centre = data_centre
        #: Records that the lists don't contain yet; None if there are none.
        self._records: typing.Sequence[vm_records.VmRecord] | None = None
        self._near: list[vm_records.VmRecord] = []
        self._far: list[vm_records.VmRecord] = []
        #: Calls in flight at runners, by VM, as their records tell.
        self._loads: dict[str, int] = {}
        #: Calls that this VM has forwarded and that are in flight, by helper.
        self._in_flight: dict[str, int] = {}
        self._paused_until: dict[str, float] = {}
        #: Pauses after refusals since the last call that was taken, by helper.
        self._refusals: dict[str, int] = {}

    @property
    def in_flight(self) -> int:
        """Number of forwarded calls that are in flight."""
        return sum(self._in_flight.values())

    def set_records(self, alive: typing.Sequence[vm_records.VmRecord]) -> None:
        """Set the latest records of the VMs that were heard from recently."""
        self._records = alive

    def choose(
        self, excluded: typing.Collection[str]
    ) -> vm_records.VmRecord | None:
        """Choose the helper of a call.

        :param excluded: VMs that must not be chosen.
        :returns: the helper's record; None if there is no helper.
        """
        self._rebuild()
        near = self._choose_from(self._near, excluded)
        if near is None:
            return self._choose_from(self._far, excluded)
        load = self._load(near)
        if load <= FAR_LOAD_MARGIN:
            return near
        far = self._choose_from(self._far, excluded)
        if far is None:
            return near
        far_load = self._load(far)
        is_far_better = (
            load > FAR_LOAD_FACTOR * far_load
            and load - far_load >= FAR_LOAD_MARGIN
        )
        return far if is_far_better else near

    def pause(self, vm: str, for_s: float) -> None:
        """Choose a VM no more for a while, as it has failed.

        :param for_s: seconds.
        """
        self._paused_until[vm] = self._clock.now() + for_s

    def refused(self, vm: str, for_s: float) -> None:
        """Choose a VM no more for a while, as it takes no calls for now.

        Refusals of calls that were in flight at once count as one.

        :param for_s: what the VM asks for, in seconds.
        """
        if self._is_paused(vm):
            return
        count = self._refusals.get(vm, 0)
        self._refusals[vm] = count + 1
        self.pause(vm, min(MAX_REFUSAL_PAUSE_S, for_s * 2.0**count))

    def accepted(self, vm: str) -> None:
        """Record that a VM has taken a call."""
        self._refusals.pop(vm, None)

    def call_started(self, vm: str) -> None:
        """Count a call that was forwarded to a VM."""
        self._in_flight[vm] = self._in_flight.get(vm, 0) + 1

    def call_ended(self, vm: str) -> None:
        """Count the end of a call that was forwarded to a VM."""
        left = self._in_flight.get(vm, 1) - 1
        if left > 0:
            self._in_flight[vm] = left
        else:
            self._in_flight.pop(vm, None)

    def _rebuild(self) -> None:
        """Sort the VMs that may help by data centre, if records came."""
        if self._records is None:
            return
        records, self._records = self._records, None
        helpers = [
            record
            for record in records
            if record.ready
            and not record.leaving
            and not record.isolated
            and record.vm != self._vm
        ]
        self._near = [
            record
            for record in helpers
            if record.data_centre == self._data_centre
        ]
        self._far = [
            record
            for record in helpers
            if record.data_centre != self._data_centre
        ]
        self._loads = {
            record.vm: sum(record.in_flight.values()) for record in helpers
        }
        self._refusals = {
            vm: count
            for vm, count in self._refusals.items()
            if vm in self._loads
        }
        now = self._clock.now()
        self._paused_until = {
            vm: until
            for vm, until in self._paused_until.items()
            if until > now
        }

    def _load(self, record: vm_records.VmRecord) -> int:
        """Calls in flight at a VM, counting those that its record lacks."""
        return self._loads[record.vm] + self._in_flight.get(record.vm, 0)

    def _choose_from(
        self,
        records: list[vm_records.VmRecord],
        excluded: typing.Collection[str],
    ) -> vm_records.VmRecord | None:
        """The less loaded one of two random VMs; None if there is none."""
        if not records:
            return None
        drawn: dict[str, vm_records.VmRecord] = {}
        for _ in range(MAX_DRAWS):
            record = records[self._rng.randrange(len(records))]
            if self._may_help(record, excluded):
                drawn[record.vm] = record
                if len(drawn) == CHOICES:
                    break
        candidates = list(drawn.values())
        if not candidates:
            candidates = [r for r in records if self._may_help(r, excluded)]
            self._rng.shuffle(candidates)
        return min(candidates, key=self._load, default=None)

    def _may_help(
        self,
        record: vm_records.VmRecord,
        excluded: typing.Collection[str],
    ) -> bool:
        if record.vm in excluded:
            return False
        return not self._is_paused(record.vm)

    def _is_paused(self, vm: str) -> bool:
        until = self._paused_until.get(vm)
        return until is not None and self._clock.now() < until
