"""What an aggregator tells of each VM of the fleet, and when.

A VM's record is told when something lasting of it has changed, and in turn
with all others, so that a message that is lost is made up for. Units let in
are told as they change.
"""

import typing

from .. import clock as clocks

from . import digests
from . import peer_table

#: A record that has changed is told so often.
TOLD_TIMES = 2
#: Each VM's record is told again within this time, in seconds.
ROUND_S = 5.0
#: Records of one message, so that it fits into a datagram.
MOST_ENTRIES = 40
#: A VM not heard for so long, in seconds, is not told of any more.
HEARD_S = 1.6
#: All that are told of a VM know it after this time, in seconds.
SPREAD_S = 1.0
#: Crashes of runners that a VM noticed are told again after this time, in
#: seconds, by so many VMs at once: when many runners end, all VMs notice them.
CRASHES_S = 0.5
MOST_CRASHES = 4


class _Entry:
    """What is told of one VM.

    :param due: how many messages are still to tell it.
    """

    __slots__ = ("record", "first_at", "heard_at", "due", "told_at")

    def __init__(self, record: digests.Digest, heard_at: float) -> None:
        self.record = record
        self.first_at = heard_at
        self.heard_at = heard_at
        self.due = TOLD_TIMES
        self.told_at = float("-inf")

    def told(self, now: float) -> None:
        """A message tells it now."""
        self.due = max(0, self.due - 1)
        self.told_at = now


class FleetEntries:
    """What is known of each VM."""

    __slots__ = (
        "_by_vm",
        "_clock",
        "_turn",
        "_used",
        "_used_due",
        "sources",
    )

    def __init__(self, clock: clocks.Clock) -> None:
        self._clock = clock
        self._by_vm: dict[str, _Entry] = {}
        self._used: dict[str, dict[str, float]] = {}
        #: Units let in that were not told on, by process and customer.
        self._used_due: dict[str, dict[str, float]] = {}
        #: VMs that others compare their news of runners with.
        self.sources: frozenset[str] = frozenset()
        #: Whose turn it was last to be told again.
        self._turn = ""

    @property
    def processes(self) -> set[str]:
        """The processes of all VMs that are known."""
        return {entry.record.process for entry in self._by_vm.values()}

    def __contains__(self, vm: str) -> bool:
        return vm in self._by_vm

    def spread(self) -> int:
        """How many living VMs all that are told of them know by now."""
        until = self._clock.now() - SPREAD_S
        return sum(entry.first_at < until for entry in self._living.values())

    def living(self, data_centre: str = "") -> list[digests.Digest]:
        """Records of the VMs that live, with all units let in.

        :param data_centre: of the VMs; "" for all.
        """
        return [
            self._with_used(entry.record)
            for entry in self._living.values()
            if data_centre in ("", entry.record.data_centre)
        ]

    def ages(
        self, records: typing.Iterable[digests.Digest] | None = None
    ) -> dict[str, float]:
        """How long ago VMs were heard, in seconds, of those that live.

        :param records: of the VMs; None for all.
        """
        now = self._clock.now()
        living = self._living
        vms = living if records is None else [r.vm for r in records]
        return {
            vm: round(now - living[vm].heard_at, 1)
            for vm in vms
            if vm in living
        }

    def tell_again(self, vms: typing.Iterable[str]) -> None:
        """Tell VMs' records as if they had changed."""
        for vm in vms:
            self._by_vm[vm].due = TOLD_TIMES

    def heard(self, vm: str, heard_at: float) -> None:
        """A VM was heard at a time, by whomever."""
        entry = self._by_vm.get(vm)
        if entry is not None:
            entry.heard_at = max(entry.heard_at, heard_at)

    def note(self, record: digests.Digest, heard_at: float) -> None:
        """Note what is told of a VM, if it is news."""
        known = self._by_vm.get(record.vm)
        self.note_used(record.process, record.used)
        if known is None or known.record.process != record.process:
            if known is None or record.incarnation > known.record.incarnation:
                self._by_vm[record.vm] = _Entry(record.rare(), heard_at)
            return
        known.heard_at = max(known.heard_at, heard_at)
        if not record.supersedes(known.record):
            return
        before, known.record = known.record, record.rare()
        # Who fetches news asks one of the sources; a change of the others'
        # versions would make each change of a runner one of all VMs.
        is_source = record.follows or record.vm in self.sources
        if known.record.differs(before, is_source):
            known.due = TOLD_TIMES

    def note_used(
        self, process: str, used: typing.Mapping[str, float]
    ) -> None:
        known = self._used.setdefault(process, {})
        new = {
            customer: units
            for customer, units in used.items()
            # What was told on may be late, and totals only grow but for calls
            # that did not run.
            if known.get(customer, -1.0) < units
        }
        if new:
            known.update(new)
            self._used_due.setdefault(process, {}).update(new)

    def take_used(self) -> dict[str, dict[str, float]]:
        """Units let in that were not told on yet, by process and customer."""
        used, self._used_due = self._used_due, {}
        return used

    def due(self, turns_s: float) -> list[digests.Digest]:
        """Records that have changed, and those whose turn it is.

        :param turns_s: how long ago some were told in turn; 0 for not now.
        """
        now = self._clock.now()
        living = self._living
        # Those that waited longest first: who changes often must not keep
        # the others from being told at all.
        waiting = sorted(living, key=lambda vm: (living[vm].told_at, vm))
        changed = [vm for vm in waiting if living[vm].due]
        crashes = [
            vm
            for vm in waiting
            if living[vm].record.crashes
            and now - living[vm].told_at > CRASHES_S
        ]
        turns = self._next_turns(sorted(living), turns_s)
        vms = dict.fromkeys(
            [*changed[:MOST_ENTRIES], *crashes[:MOST_CRASHES], *turns]
        )
        for vm in vms:
            living[vm].told(now)
        in_turn = frozenset(turns)
        records = (living[vm].record for vm in vms)
        return [self._with_used(r) if r.vm in in_turn else r for r in records]

    def forget(self) -> None:
        """Forget the VMs that are gone."""
        since = self._clock.now() - peer_table.MEMBER_S
        self._by_vm = {
            vm: entry
            for vm, entry in self._by_vm.items()
            if entry.heard_at >= since
        }
        known = self.processes
        self._used = {p: u for p, u in self._used.items() if p in known}

    @property
    def _living(self) -> dict[str, _Entry]:
        since = self._clock.now() - HEARD_S
        return {
            vm: entry
            for vm, entry in self._by_vm.items()
            if entry.heard_at >= since
        }

    def _with_used(self, record: digests.Digest) -> digests.Digest:
        """A record with all units let in, as some may not have been heard."""
        copy = record.rare()
        copy.used = self._used.get(record.process, {})
        return copy

    def _next_turns(self, vms: list[str], turns_s: float) -> list[str]:
        """Names of the VMs whose turn it is to be told again."""
        count = -(-len(vms) * turns_s // ROUND_S)
        after = [vm for vm in vms if vm > self._turn]
        turns = (after + vms)[: int(count)]
        self._turn = turns[-1] if turns else self._turn
        return turns
