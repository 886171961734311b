"""Steps for tests/serving/duty_lease.feature."""

import asyncio
import random

from behave import given
from behave import step
from behave import then
from behave import when

from apricotlever import clock as clocks
from apricotlever.contracts import usage_windows
from apricotlever.serving import checkpoint
from apricotlever.serving import duty_lease
from apricotlever.serving import settings
from apricotlever.serving import store
from apricotlever.serving import usage_duty
from apricotlever.vms import rendezvous
from apricotlever.vms import vm_records
from tests.serving import memory_store

STEP_S = 0.1


class CuttableStore:
    """A VM's connection to the store, which can be cut."""

    def __init__(self, store_):
        self._store = store_
        self.durable = store_.durable
        self.cut = False

    def __getattr__(self, name):
        if self.cut:
            return self._refused
        return getattr(self._store, name)

    async def _refused(self, *arguments):
        raise store.NotDone("cut off")


class Contender:
    """A VM that may hold the lease."""

    def __init__(self, world, name):
        self.name = name
        self.silent = False
        self.leaving = False
        self.store = CuttableStore(world.store)
        self.incarnation = 0
        self.start(world)

    def start(self, world):
        """Start or restart the VM's process."""
        self.incarnation += 1
        self.keeper = duty_lease.LeaseManager(
            "fleet",
            self.name,
            self.incarnation,
            world.clock,
            random.Random(self.name),
            self.store,
            settings.FleetBounds(lease_s=3.0, fencing_checked=world.checked),
        )

    @property
    def record(self):
        """The VM's record."""
        return vm_records.VmRecord(
            self.name,
            self.incarnation,
            1,
            "10.0.0.1:1",
            "10.0.0.1:2",
            "dc",
            ready=True,
            leaving=self.leaving,
            follows=not self.store.cut,
            gave_up=self.keeper.surrendered_fencing,
            lease=self.keeper.last_renewal,
        )


class World:
    """The VMs, the store and the clock."""

    def __init__(self, durable=True, count=2, checked=True):
        self.checked = checked
        self.clock = clocks.ManualClock()
        self.store = memory_store.MemoryStore(durable)
        #: How long the record of a VM that fell silent is known, in seconds.
        self.heard_s = 0.0
        #: The VMs' records, and until when they are known.
        self.records = {}
        self.vms = [Contender(self, f"vm-{i + 1}") for i in range(count)]
        #: The holders' names in all steps, one after the other.
        self.holders = []
        #: The holders' names by step.
        self.held = []

    def run(self, seconds):
        """Advance the time by steps, in each of which all live VMs act."""
        for _ in range(round(seconds / STEP_S)):
            self.clock.advance(STEP_S)
            alive = [vm for vm in self.vms if not vm.silent]
            until = self.clock.now() + self.heard_s
            self.records.update({vm.name: (vm.record, until) for vm in alive})
            known = [
                record
                for record, until in self.records.values()
                if until >= self.clock.now()
            ]
            for vm in alive:
                others = [r for r in known if r.vm != vm.name]
                if not vm.leaving:
                    vm.keeper.update_view(others, len(known))
                asyncio.run(vm.keeper.step())
            now = [vm.name for vm in alive if vm.keeper.fencing is not None]
            self.holders += now
            self.held.append(now)

    @property
    def holder(self):
        """The one VM that may act now."""
        (vm,) = (vm for vm in self.vms if vm.keeper.fencing is not None)
        return vm


@given("{count:d} VMs that contend for a duty")
def _contending_vms(context, count):
    context.world = World(count=count)


@given(
    "{count:d} VMs that contend for a duty, of which each is heard for "
    "{heard_s:g} seconds after its end"
)
def _known_after_end(context, count, heard_s):
    context.world = World(count=count)
    context.world.heard_s = heard_s


@when("the holder and the other contender fall silent")
def _both_silent(context):
    world = context.world
    ranked = rendezvous.rank("fleet", [vm.name for vm in world.vms])
    contenders = ranked[: duty_lease.MAX_CONTENDERS]
    assert world.holder.name in contenders
    context.silent_since = len(world.held)
    for vm in world.vms:
        vm.silent = vm.name in contenders


@then(
    "another VM holds the lease at most {most_s:g} seconds after the last "
    "renewal"
)
def _replaced_after_renewal(context, most_s):
    held = context.world.held[context.silent_since :]
    first = next((n for n, names in enumerate(held) if names), None)
    assert first is not None, "nobody took over"
    assert first * STEP_S <= most_s, first * STEP_S


@given(
    "{count:d} VMs that contend for a duty, on a platform that checks {what}"
)
def _platform_checks(context, count, what):
    context.world = World(count=count, checked=what != "nothing")


@then("at least {least:f} seconds lie between the two holders' leases")
def _gap_between_holders(context, least):
    held = context.world.held
    first = next(names for names in held if names)
    last_of_first = max(n for n, names in enumerate(held) if names == first)
    later = [n for n, names in enumerate(held) if names and names != first]
    assert later, "nobody took over"
    assert (later[0] - last_of_first) * STEP_S >= least, held


def _record(vm, incarnation, lease=None):
    return vm_records.VmRecord(
        vm,
        incarnation,
        1,
        "10.0.0.1:1",
        "10.0.0.1:2",
        "dc",
        ready=True,
        follows=True,
        lease=lease,
    )


@given("a VM that has read the lease of vm-1")
def _has_read_lease(context):
    world = context.world = World(count=0)
    world.store.objects[duty_lease.KIND, "fleet"] = _stored_lease(
        11, "vm-1", 5, 1
    )
    context.third = Contender(world, "vm-3")
    # It hears no other VM, so it contends and reads the lease.
    context.third.keeper.update_view([], 1)
    world.clock.advance(STEP_S)
    asyncio.run(context.third.keeper.step())


def _stored_lease(revision, holder, incarnation, fencing):
    spec = {
        "holder": holder,
        "incarnation": incarnation,
        "fencing": fencing,
        "duration_s": 4.5,
    }
    return store.StoredObject("fleet", revision, spec, None)


@when(
    "it learns in one update that vm-2 holds the lease and that vm-1 has a "
    "new process"
)
def _one_update(context):
    world = context.world
    world.store.objects[duty_lease.KIND, "fleet"] = _stored_lease(
        12, "vm-2", 3, 2
    )
    context.records = [_record("vm-2", 3, (12, 2)), _record("vm-1", 9)]
    context.third.keeper.update_view(context.records, 3)


@then("it does not acquire the lease of vm-2 for {seconds:d} seconds")
def _not_acquired(context, seconds):
    keeper = context.third.keeper
    for _ in range(round(seconds / STEP_S)):
        context.world.clock.advance(STEP_S)
        # Without other VMs it contends whatever its rank.
        keeper.update_view([], 1)
        asyncio.run(keeper.step())
        assert keeper.fencing is None
    kept = context.world.store.objects[duty_lease.KIND, "fleet"]
    assert kept.revision == 12, kept.spec


@given("a cloud that records what it receives")
def _recording_cloud(context):
    context.sent = []


class _Headers:
    def lease_holder_headers(self, holder, fencing):
        """No headers."""
        return []


@when("a holder calls it whose lease expires while the connection opens")
def _lease_expires_while_connecting(context):
    async def serve(reader, writer):
        context.sent.append(await reader.read(1000))
        writer.close()

    async def play():
        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        cloud = duty_lease.CloudClient(
            "vm-1",
            _Headers(),
            settings.Address("127.0.0.1", port),
            lambda fencing: False,
        )
        context.not_taken = False
        try:
            await cloud.send("/orders", b"{}", 3)
        except duty_lease.CloudBusy:
            context.not_taken = True
        for _ in range(5):
            await asyncio.sleep(0.01)
        server.close()

    asyncio.run(play())


@then("the call failed, and the cloud received nothing")
def _nothing_received(context):
    assert context.not_taken
    assert not any(context.sent), context.sent


@given("2 VMs that contend for a duty in a store that may lose writes")
def _not_durable(context):
    context.world = World(durable=False)


@then("a VM holds the lease")
def _some_vm_holds(context):
    assert context.world.holder


@then("no VM holds the lease")
def _no_vm_holds(context):
    assert not context.world.holders, context.world.holders


@step("the contest goes on for {seconds:d} seconds")
def _contest_goes_on(context, seconds):
    context.world.run(seconds)


@when("the holder falls silent and {seconds:d} seconds pass")
def _holder_falls_silent(context, seconds):
    context.first = context.world.holder
    context.number = context.first.keeper.fencing
    context.first.silent = True
    context.world.run(seconds)


@when("the holder hears none of {members:d} VMs")
def _hears_none(context, members):
    context.first = context.world.holder
    context.first.keeper.update_view([], members)


def _restart(context, vms):
    context.number = context.world.holder.keeper.fencing
    context.world.held.clear()
    for vm in vms:
        vm.start(context.world)


@when("all processes restart")
def _all_restart(context):
    _restart(context, context.world.vms)


@when("the holder's process restarts")
def _holder_restarts(context):
    _restart(context, [context.world.holder])


@when("the holder leaves without reaching the store")
def _holder_leaves(context):
    leaving = context.world.holder
    context.number = leaving.keeper.fencing
    context.world.held.clear()
    leaving.leaving = leaving.store.cut = True
    leaving.keeper.release()


@then("a VM holds the lease within {seconds:g} seconds with a higher number")
def _held_within(context, seconds):
    context.world.run(seconds)
    assert context.world.holder.keeper.fencing > context.number


def _cut_off_vms(context, vms, seconds):
    context.world.held.clear()
    for vm in vms:
        vm.store.cut = True
    context.world.run(seconds)
    for vm in vms:
        vm.store.cut = False


@when("the holder alone is cut off from the store for {seconds:d} seconds")
def _cut_off(context, seconds):
    context.first = context.world.holder
    _cut_off_vms(context, [context.first], seconds)


@when("all are cut off from the store for {seconds:d} seconds")
def _all_cut_off(context, seconds):
    _cut_off_vms(context, context.world.vms, seconds)


@then("another VM held the lease at most {seconds:g} seconds after the cut")
def _replaced_after_cut(context, seconds):
    first = context.first.name
    steps = [i for i, now in enumerate(context.world.held) if now]
    taken = [i for i in steps if context.world.held[i] != [first]]
    assert taken and taken[0] * STEP_S <= seconds, taken[:1]


@then("no two VMs held the lease at the same time")
def _one_at_a_time(context):
    assert max(map(len, context.world.held)) == 1


@then("the first holder does not acquire it again within {seconds:d} seconds")
def _not_acquired_again(context, seconds):
    context.world.held.clear()
    context.world.run(seconds)
    holders = {name for now in context.world.held for name in now}
    assert holders and context.first.name not in holders, holders


@then("the same VM held the lease all the time")
def _same_holder(context):
    assert len(set(context.world.holders)) == 1
    assert len(context.world.holders) > 200


@then("the store has written the lease at least {count:d} times")
def _writes_at_least(context, count):
    assert context.world.store.writes >= count


@then("the other VM holds the lease with a higher number")
def _other_vm_holds(context):
    others = [v for v in context.world.vms if v is not context.first]
    numbers = [vm.keeper.fencing for vm in others if vm.keeper.fencing]
    assert len(numbers) == 1 and numbers[0] > context.number, numbers


@then("it must not act")
def _must_not_act(context):
    assert context.first.keeper.fencing is None


class FixedKeeper:
    """A keeper of a lease that is always held."""

    fencing = 4

    def fencing_rejected(self, fencing):
        """Ignore the rejection."""


@given("a holder of the usage duty that counted {count:d} calls in a window")
def _usage_holder(context, count):
    context.clock = clocks.ManualClock(1000.0)
    context.windows = usage_windows.UsageWindows(context.clock, "vm#1", 5.0)
    context.window = context.windows.window
    for _ in range(count):
        context.windows.record_call("customer")
    context.store = memory_store.MemoryStore()
    context.cloud = memory_store.MemoryCloud()
    context.duty = usage_duty.UsageDuty(
        context.clock,
        context.windows,
        context.store,
        context.cloud,
        memory_store.PlainReportDialect(),
        FixedKeeper(),
        lambda: {"customer": 70.0},
    )


def _stored(name, spec):
    return store.StoredObject(name, 3, spec, None)


@step("the store already has {count:d} calls for that window")
def _counts_already_fixed(context, count):
    name = f"w{context.window}"
    context.store.objects[usage_duty.KIND, name] = _stored(
        name, {"customer": count}
    )


@step("the cloud is busy for {count:d} calls")
def _cloud_is_busy(context, count):
    context.cloud.remaining_busy_answers = count


@step("the store loses answers of writes that take effect")
def _store_loses_answers(context):
    context.store.applies_unanswered = True
    context.store.errors = [None] + 6 * [store.Unanswered, None]


@step("the checkpoint has {count:d} calls of an ended process")
def _checkpoint_of_ended_process(context, count):
    table = {str(context.window): {"vm#0": {"customer": count}}}
    context.store.objects[checkpoint.KIND, checkpoint.NAME] = _stored(
        checkpoint.NAME, checkpoint.compose_checkpoint(table, {}, 0.0)
    )


@when("{seconds:d} seconds pass at the holder")
def _at_holder(context, seconds):
    for _ in range(round(seconds / usage_duty.STEP_INTERVAL_S)):
        context.clock.advance(usage_duty.STEP_INTERVAL_S)
        asyncio.run(context.duty.step())


@then("the window was reported as {count:d} calls, once")
def _reported_once(context, count):
    path = f"/report/{context.window}"
    found = [
        body
        for sent, body, _ in context.cloud.accepted_reports
        if sent == path
    ]
    assert found == [{"customer": count}], found


@then("the store has the same counts")
def _same_counts(context):
    name = f"w{context.window}"
    assert context.store.objects[usage_duty.KIND, name].spec == {"customer": 7}


@then(
    "a process that starts {seconds:d} seconds later reads {units:d} units "
    "left"
)
def _reads_levels(context, seconds, units):
    context.clock.advance(seconds)
    levels = asyncio.run(checkpoint.read_levels(context.store, context.clock))
    assert levels == ({"customer": units} if units else {}), levels
