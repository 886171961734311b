"""Selection of the VMs' status records that an aggregator passes on.

A VM's record is included in an aggregate when a status field has changed. All
records are also repeated in turn, to make up for lost messages. Totals of
admitted units (``used`` in a record) are sent as they change.
"""

import typing

from .. import clock as clocks

from . import peer_table
from . import vm_records

#: How many messages include a changed record, as messages may be lost.
SENDS_PER_CHANGE = 2
#: Seconds within which each VM's record is repeated.
RESEND_ROUND_S = 5.0
#: Most changed records in an aggregate, and most records in a catch-up
#: message, so that each fits into a datagram.
MAX_RECORDS_PER_MESSAGE = 40
#: Seconds without a sign of life after which a VM is not reported any more.
LIVENESS_TIMEOUT_S = 1.6
#: Seconds after which a newly known VM counts as known to all served VMs.
PROPAGATION_S = 1.0
#: Seconds after which a VM's crash report is repeated, and the most VMs whose
#: reports one message repeats: when many runners end, all VMs notice them.
CRASH_RESEND_S = 0.5
MAX_CRASH_RESENDS = 4


class _RelayedRecord:
    """The latest status record of one VM and the state of its sends.

    ``sends_left`` is the number of messages that are still to include the
    record, and ``first_at`` the time at which its process was first heard.
    """

    __slots__ = ("record", "first_at", "heard_at", "sends_left", "sent_at")

    def __init__(self, record: vm_records.VmRecord, heard_at: float) -> None:
        self.record = record
        self.first_at = heard_at
        self.heard_at = heard_at
        self.sends_left = SENDS_PER_CHANGE
        self.sent_at = float("-inf")

    def mark_sent(self, now: float) -> None:
        """Note that a message includes the record."""
        self.sends_left = max(0, self.sends_left - 1)
        self.sent_at = now


class RecordRelay:
    """Latest status records of all VMs, and when to pass each one on."""

    __slots__ = (
        "_by_vm",
        "_clock",
        "_last_in_turn",
        "_used",
        "_used_changed",
        "directory_sources",
    )

    def __init__(self, clock: clocks.Clock) -> None:
        self._clock = clock
        self._by_vm: dict[str, _RelayedRecord] = {}
        self._used: dict[str, dict[str, float]] = {}
        #: Totals of admitted units that have changed and are still to be sent,
        #: by process and customer.
        self._used_changed: dict[str, dict[str, float]] = {}
        #: VMs with which others compare their directory of runners.
        self.directory_sources: frozenset[str] = frozenset()
        #: The VM whose record was last repeated in turn.
        self._last_in_turn = ""

    @property
    def processes(self) -> set[str]:
        """Processes of all known VMs."""
        return {entry.record.process for entry in self._by_vm.values()}

    def __contains__(self, vm: str) -> bool:
        return vm in self._by_vm

    def count_propagated(self) -> int:
        """Number of live VMs that all served VMs should know by now."""
        until = self._clock.now() - PROPAGATION_S
        return sum(entry.first_at < until for entry in self._live.values())

    def live_records(self, data_centre: str = "") -> list[vm_records.VmRecord]:
        """Status records of the live VMs, for a VM that knows few of them.

        Each record has the totals of units that its VM has admitted.

        :param data_centre: data centre of the VMs; "" for all.
        """
        return [
            self._with_used(entry.record)
            for entry in self._live.values()
            if data_centre in ("", entry.record.data_centre)
        ]

    def ages(
        self, records: typing.Iterable[vm_records.VmRecord] | None = None
    ) -> dict[str, float]:
        """Seconds since the last sign of life of each live VM.

        :param records: records of the VMs to include; None for all VMs.
        """
        now = self._clock.now()
        live = self._live
        vms = live if records is None else [r.vm for r in records]
        return {
            vm: round(now - live[vm].heard_at, 1) for vm in vms if vm in live
        }

    def resend(self, vms: typing.Iterable[str]) -> None:
        """Include the records of VMs in messages as if they had changed."""
        for vm in vms:
            self._by_vm[vm].sends_left = SENDS_PER_CHANGE

    def note_heard(self, vm: str, heard_at: float) -> None:
        """Note a sign of life of a VM that another aggregator reports.

        :param heard_at: time of it by the local clock.
        """
        entry = self._by_vm.get(vm)
        if entry is not None:
            entry.heard_at = max(entry.heard_at, heard_at)

    def merge_record(
        self, record: vm_records.VmRecord, heard_at: float
    ) -> None:
        """Store a VM's status record if it is later than the known one.

        It is passed on with the next messages if a status field has changed
        or the VM's process is new.

        :param heard_at: time by the local clock at which its VM was heard.
        """
        known = self._by_vm.get(record.vm)
        self.merge_used(record.process, record.used)
        if known is None or known.record.process != record.process:
            if known is None or record.incarnation > known.record.incarnation:
                self._by_vm[record.vm] = _RelayedRecord(
                    record.without_summed_fields(), heard_at
                )
            return
        known.heard_at = max(known.heard_at, heard_at)
        if not record.supersedes(known.record):
            return
        before, known.record = known.record, record.without_summed_fields()
        # VMs fetch the directory from the sources only. If the versions of
        # the other VMs counted, each change of a runner would change the
        # records of all VMs.
        is_source = record.follows or record.vm in self.directory_sources
        if known.record.differs_from(before, is_source):
            known.sends_left = SENDS_PER_CHANGE

    def merge_used(
        self, process: str, used: typing.Mapping[str, float]
    ) -> None:
        """Merge the totals of units that a process has admitted.

        :param used: totals by customer; those that have grown are passed on.
        """
        known = self._used.setdefault(process, {})
        new = {
            customer: units
            for customer, units in used.items()
            # A smaller total is not taken, as relayed totals may arrive late.
            # Totals only grow, except for calls that did not run.
            if known.get(customer, -1.0) < units
        }
        if new:
            known.update(new)
            self._used_changed.setdefault(process, {}).update(new)

    def take_changed_used(self) -> dict[str, dict[str, float]]:
        """Take the totals of admitted units that have changed.

        :returns: the changes since the last call, by process and customer.
        """
        used, self._used_changed = self._used_changed, {}
        return used

    def select_due(
        self, since_last_turn_s: float
    ) -> list[vm_records.VmRecord]:
        """Select the records for the next message and count them as sent.

        They are those that have changed, and those due for a repeat. Records
        repeated in turn have all totals of admitted units.

        :param since_last_turn_s: seconds since records were last repeated in
            turn; 0 to repeat none now.
        """
        now = self._clock.now()
        live = self._live
        # Records sent longest ago come first, so that VMs that change often
        # don't keep the others from being sent.
        waiting = sorted(live, key=lambda vm: (live[vm].sent_at, vm))
        changed = [vm for vm in waiting if live[vm].sends_left]
        crashes = [
            vm
            for vm in waiting
            if live[vm].record.crashes
            and now - live[vm].sent_at > CRASH_RESEND_S
        ]
        in_turn = self._select_in_turn(sorted(live), since_last_turn_s)
        vms = dict.fromkeys(
            [
                *changed[:MAX_RECORDS_PER_MESSAGE],
                *crashes[:MAX_CRASH_RESENDS],
                *in_turn,
            ]
        )
        for vm in vms:
            live[vm].mark_sent(now)
        in_turn_names = frozenset(in_turn)
        records = (live[vm].record for vm in vms)
        return [
            self._with_used(r) if r.vm in in_turn_names else r for r in records
        ]

    def drop_expired(self) -> None:
        """Drop the records of VMs that have been silent for too long."""
        since = self._clock.now() - peer_table.MEMBER_TTL_S
        self._by_vm = {
            vm: entry
            for vm, entry in self._by_vm.items()
            if entry.heard_at >= since
        }
        known = self.processes
        self._used = {p: u for p, u in self._used.items() if p in known}

    @property
    def _live(self) -> dict[str, _RelayedRecord]:
        since = self._clock.now() - LIVENESS_TIMEOUT_S
        return {
            vm: entry
            for vm, entry in self._by_vm.items()
            if entry.heard_at >= since
        }

    def _with_used(self, record: vm_records.VmRecord) -> vm_records.VmRecord:
        """Copy a record, with all its process's totals of admitted units.

        They are repeated because single updates of them may be lost.
        """
        copy = record.without_summed_fields()
        copy.used = self._used.get(record.process, {})
        return copy

    def _select_in_turn(
        self, vms: list[str], since_last_turn_s: float
    ) -> list[str]:
        """Select the VMs whose records are repeated in turn."""
        count = -(-len(vms) * since_last_turn_s // RESEND_ROUND_S)
        after = [vm for vm in vms if vm > self._last_in_turn]
        in_turn = (after + vms)[: int(count)]
        self._last_in_turn = in_turn[-1] if in_turn else self._last_in_turn
        return in_turn
