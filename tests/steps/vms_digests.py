"""Steps for tests/vms/digests.feature."""

import random

from behave import given
from behave import step
from behave import then
from behave import when

from apricotlever import clock as clocks
from apricotlever.vms import digests
from apricotlever.vms import peer_table


class Vm:
    """A VM with its table."""

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

    def digest(self):
        """The next record."""
        self.number += 1
        return digests.Digest(
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
        #: Receiver and sender to the last time of a record, and the longest
        #: pause between two.
        self.last = {}
        self.longest = {}

    def run(self, seconds):
        """Let all tell for a while."""
        for _ in range(round(seconds / digests.INTERVAL_S)):
            for vm in self.vms:
                if vm.silent:
                    continue
                record = vm.digest().to_record()
                for address in vm.table.receivers():
                    self._note(address, vm)
                    self.by_address[address].table.heard(
                        digests.Digest.from_record(record)
                    )
            self.clock.advance(digests.INTERVAL_S)

    def _note(self, address, sender):
        pair = (address, sender.name)
        now = self.clock.now()
        pause = now - self.last.get(pair, now)
        self.last[pair] = now
        self.longest[pair] = max(pause, self.longest.get(pair, 0.0))


@given("{count:d} VMs of which only the first is in everybody's settings")
def _fleet(context, count):
    context.fleet = Fleet(count)


@step("they tell each other for {seconds:d} seconds")
def _tell(context, seconds):
    context.fleet.run(seconds)


@when("VM {number:d} falls silent for {seconds:d} seconds")
def _silent(context, number, seconds):
    context.fleet.vms[number - 1].silent = True
    context.fleet.run(seconds)


@when("VM {number:d} leaves and falls silent for {seconds:d} seconds")
def _leaves(context, number, seconds):
    context.fleet.vms[number - 1].leaving = True
    context.fleet.run(1)
    context.fleet.vms[number - 1].silent = True
    context.fleet.run(seconds)


@when("VM 2 restarts and a record of its former process comes late")
def _restarts(context):
    one, two = context.fleet.vms
    late = two.digest()
    two.incarnation, two.number = 2, 0
    assert one.table.heard(two.digest()).incarnation == 1
    one.table.heard(late)


@when("VM 1 notices that it stood still")
def _stood(context):
    context.fleet.vms[0].table.silence()


@then("each hears all others")
def _all(context):
    for vm in context.fleet.vms:
        heard = {digest.vm for digest in vm.table.alive()}
        assert len(heard) == len(context.fleet.vms) - 1, (vm.name, heard)


@then("VM 1 hears {heard:d} other and counts {members:d} members")
def _counts(context, heard, members):
    table = context.fleet.vms[0].table
    assert len(table.alive()) == heard
    assert len(table.members()) == members


@then("VM 1 knows the new process")
def _new(context):
    (digest,) = context.fleet.vms[0].table.alive()
    assert digest.incarnation == 2


@then("each knows all others as members")
def _members(context):
    vms = context.fleet.vms
    for vm in vms:
        for other in vms:
            host = other.address.partition(":")[0]
            assert other is vm or vm.table.is_member(host), (vm, other)


@when("they go on for {seconds:d} seconds")
def _go_on(context, seconds):
    context.fleet.longest.clear()
    context.fleet.run(seconds)


@then("no VM was silent to another one for over {seconds:f} seconds")
def _regular(context, seconds):
    longest = context.fleet.longest
    count = len(context.fleet.vms)
    assert len(longest) == count * (count - 1), len(longest)
    worst = max(longest, key=longest.get)
    assert longest[worst] <= seconds, (worst, longest[worst])
