"""Steps for tests/vms/vm_records.feature."""

import random

from behave import given
from behave import step
from behave import then
from behave import when

from apricotlever import clock as clocks
from apricotlever.vms import peer_table
from apricotlever.vms import vm_records


class Vm:
    """A VM with its peer table."""

    def __init__(self, clock, number, seed):
        self.name = f"vm-{number}"
        self.address = f"10.0.0.{number}:7000"
        self.incarnation = 1
        self.number = 0
        self.leaving = False
        self.silent = False
        self.table = peer_table.PeerTable(
            clock, random.Random(number), self.name, self.address, [seed]
        )

    def next_record(self):
        """Build the next record of this VM."""
        self.number += 1
        return vm_records.VmRecord(
            self.name,
            self.incarnation,
            self.number,
            self.address,
            f"10.0.0.{self.name[3:]}:80",
            "dc",
            True,
            self.leaving,
            known=self.table.known(),
        )


class Fleet:
    """VMs that exchange records over a network that loses none."""

    def __init__(self, count):
        self.clock = clocks.ManualClock()
        self.vms = [
            Vm(self.clock, n + 1, "10.0.0.1:7000") for n in range(count)
        ]
        self.by_address = {vm.address: vm for vm in self.vms}
        #: Time of the last record and longest pause between two records, by
        #: receiver and sender.
        self.received_at = {}
        self.longest_pause = {}

    def run(self, seconds):
        """Let all VMs exchange records for a time."""
        for _ in range(round(seconds / vm_records.RECORD_INTERVAL_S)):
            for vm in self.vms:
                if vm.silent:
                    continue
                record = vm.next_record().to_record()
                for address in vm.table.receivers():
                    self._note_record(address, vm)
                    self.by_address[address].table.receive_record(
                        vm_records.VmRecord.from_record(record)
                    )
            self.clock.advance(vm_records.RECORD_INTERVAL_S)

    def _note_record(self, address, sender):
        pair = (address, sender.name)
        now = self.clock.now()
        pause = now - self.received_at.get(pair, now)
        self.received_at[pair] = now
        self.longest_pause[pair] = max(
            pause, self.longest_pause.get(pair, 0.0)
        )


@given("{count:d} VMs whose settings name only the first one")
def _fleet(context, count):
    context.fleet = Fleet(count)


@step("they exchange records for {seconds:d} seconds")
def _exchange(context, seconds):
    context.fleet.run(seconds)


@when("VM {number:d} falls silent for {seconds:d} seconds")
def _fall_silent(context, number, seconds):
    context.fleet.vms[number - 1].silent = True
    context.fleet.run(seconds)


@when("VM {number:d} leaves and falls silent for {seconds:d} seconds")
def _leave_and_fall_silent(context, number, seconds):
    context.fleet.vms[number - 1].leaving = True
    context.fleet.run(1)
    context.fleet.vms[number - 1].silent = True
    context.fleet.run(seconds)


@when("VM 2 restarts and a record of its former process arrives late")
def _restart(context):
    one, two = context.fleet.vms
    late = two.next_record()
    two.incarnation, two.number = 2, 0
    assert one.table.receive_record(two.next_record()).incarnation == 1
    one.table.receive_record(late)


@when("VM 1 detects that its process was paused")
def _detect_pause(context):
    context.fleet.vms[0].table.mark_all_silent()


@then("each peer table lists all others as alive")
def _lists_all(context):
    for vm in context.fleet.vms:
        heard = {digest.vm for digest in vm.table.alive()}
        assert len(heard) == len(context.fleet.vms) - 1, (vm.name, heard)


@then("VM 1 counts {alive:d} other as alive and {members:d} as members")
def _counts(context, alive, members):
    table = context.fleet.vms[0].table
    assert len(table.alive()) == alive
    assert len(table.members()) == members


@then("VM 1 has the record of the new process")
def _has_new_process(context):
    (digest,) = context.fleet.vms[0].table.alive()
    assert digest.incarnation == 2


@then("each VM counts all others as members")
def _counts_all_as_members(context):
    vms = context.fleet.vms
    for vm in vms:
        for other in vms:
            host = other.address.partition(":")[0]
            assert other is vm or vm.table.is_member(host), (vm, other)


@when("they exchange records for another {seconds:d} seconds")
def _exchange_more(context, seconds):
    context.fleet.longest_pause.clear()
    context.fleet.run(seconds)


@then("no VM waited for a record of another one for over {seconds:f} seconds")
def _records_are_regular(context, seconds):
    longest = context.fleet.longest_pause
    count = len(context.fleet.vms)
    assert len(longest) == count * (count - 1), len(longest)
    worst = max(longest, key=longest.get)
    assert longest[worst] <= seconds, (worst, longest[worst])


def _record(isolated, number=1):
    return vm_records.VmRecord(
        "vm", 1, number, "10.0.0.1:1", "10.0.0.1:2", "dc", isolated=isolated
    )


@then("the record of a VM that reaches runners has no field for isolation")
def _without_isolation(context):
    encoded = _record(False).to_record()
    known_before = len(vm_records.VmRecord.__slots__) - 1
    assert len(encoded) <= known_before, encoded
    assert not vm_records.VmRecord.from_record(encoded).isolated


@then("the record of an isolated VM is read as such, and passed on at once")
def _with_isolation(context):
    read = vm_records.VmRecord.from_record(_record(True).to_record())
    assert read.isolated
    assert read.without_summed_fields().isolated
    assert read.differs_from(_record(False, 2), versions=False)
    assert not read.differs_from(_record(True, 2), versions=False)
