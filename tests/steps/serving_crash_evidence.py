"""Steps for tests/serving/crash_evidence.feature."""

import asyncio
import json
import random

from behave import given
from behave import then
from behave import when

from apricotlever import clock as clocks
from apricotlever.runners import call_features
from apricotlever.runners import crash_blocklist
from apricotlever.serving import crash_evidence_record
from apricotlever.serving import store
from tests.serving import memory_store

NAMES = ("vm-0", "vm-1")
TICK_S = 0.1
#: The time in which a VM writes what it has seen, and its first try to read.
WRITE_S = 2.0
FIRST = call_features.CallFeatures("first")
SECOND = call_features.CallFeatures("second")


class FailingStore(memory_store.MemoryStore):
    """A store each third of whose calls fails while it is told so."""

    fails = False
    calls = 0

    def _check(self):
        self.calls += 1
        if self.fails and self.calls % 3 == 1:
            raise store.NotDone("injected fault")
        return super()._check()

    async def list_all(self, kind, stale=False):
        """List all objects of a kind."""
        self._check()
        return await super().list_all(kind, stale)


class SkewedClock:
    """A clock whose time of day is wrong by a fixed time."""

    def __init__(self, clock, skew_s):
        self._clock = clock
        self._skew_s = skew_s
        self.now = clock.now

    def wall(self):
        """The wrong time of day, in seconds."""
        return 1e9 + self._clock.now() + self._skew_s


class Vm:
    """One process: its blocklist and its record."""

    def __init__(self, clock, store_, name):
        self.blocklist = crash_blocklist.CrashBlocklist(clock, name)
        self.blocklist.set_sizes({"dc": 20})
        self.record = crash_evidence_record.CrashEvidenceRecord(
            clock, random.Random(name), name, self.blocklist, store_
        )

    def crash(self, runner, *features):
        """See a runner crash under some calls."""
        for each in features:
            self.blocklist.connection_broken(runner, each)
        self.blocklist.runner_crashed(runner, "dc", False)


class Fleet:
    """VMs and their store; each VM has the same clock but for its skew."""

    def __init__(self, skew_s=0.0):
        self.clock = clocks.ManualClock()
        self.store = FailingStore()
        self.skews = dict(zip(NAMES, (0.0, skew_s)))
        self.start(NAMES)

    def start(self, names):
        """Start processes that remember nothing."""
        self.vms = [
            Vm(
                SkewedClock(self.clock, self.skews.get(name, 0.0)),
                self.store,
                name,
            )
            for name in names
        ]
        for vm in self.vms:
            vm.blocklist.set_vms(NAMES, len(NAMES))
            asyncio.run(vm.record.read())

    def run(self, seconds):
        """Let time pass; VMs write what is due."""
        for _ in range(round(seconds / TICK_S)):
            self.clock.advance(TICK_S)
            for vm in self.vms:
                vm.blocklist.tick()
                if vm.record.is_due:
                    asyncio.run(vm.record.write())

    def crash_both(self):
        """Let the first call crash two runners, the second one of them."""
        self.vms[0].crash("r1", FIRST, SECOND)
        self.clock.advance(0.5)
        self.vms[1].crash("r2", FIRST)


def _is_blocked(vm, features):
    return vm.blocklist.retry_after_s(features) is not None


@given(
    "two VMs, a call that crashed two runners there, and a call that crashed "
    "one"
)
def _crashed(context):
    context.fleet = Fleet()
    context.fleet.crash_both()
    context.fleet.run(WRITE_S)


@given("two VMs whose clocks differ by 20 s, and a crash that both have seen")
def _skewed(context):
    context.fleet = Fleet(20.0)
    for vm in context.fleet.vms:
        vm.crash("r1", FIRST)
    context.fleet.run(WRITE_S)


@given(
    "two VMs, a store that fails each third call, and a call that crashed "
    "two runners"
)
def _failing_store(context):
    context.fleet = Fleet()
    context.fleet.store.fails = True
    context.fleet.crash_both()
    context.fleet.run(2 * WRITE_S)


@when("all VMs are killed and start again")
def _killed(context):
    context.fleet.start(NAMES)


@when("the first call is answered at a VM")
def _answered(context):
    context.fleet.run(1.0)
    fleet = context.fleet
    fleet.vms[0].blocklist.call_answered(lambda: FIRST, 10)
    fleet.run(WRITE_S)


@when("another writer stores {value} among them")
def _stored(context, value):
    store_ = context.fleet.store
    kind = crash_evidence_record.KIND
    asyncio.run(store_.create(kind, "other", json.loads(value)))


@when("{seconds:d} seconds pass, and one VM starts again under another name")
def _aged(context, seconds):
    fleet = context.fleet
    fleet.vms = fleet.vms[:1]
    fleet.run(seconds)
    fleet.start(["vm-9"])


@when("{count:d} other calls are answered at each VM within 10 seconds")
def _others_answered(context, count):
    fleet = context.fleet
    context.writes = fleet.store.writes
    for number in range(count):
        for vm in fleet.vms:
            features = call_features.CallFeatures(f"other-{number}")
            vm.blocklist.call_answered(lambda f=features: f, 10)
        fleet.run(10.0 / count)


@when("the VMs know {known:d} of {size} VMs for {seconds:d} seconds")
def _known(context, known, size, seconds):
    fleet = context.fleet
    context.trials = 0
    for vm in fleet.vms:
        others = [n for n in NAMES if n != vm.record._vm][: known - 1]
        vm.blocklist.set_vms(others, None if size == "unknown" else int(size))
    for _ in range(2 * seconds):
        fleet.clock.advance(0.5)
        for vm in fleet.vms:
            block = vm.blocklist.admit(FIRST, object())
            context.trials += block is not None and block.is_trial


@then("the first call is blocked at both, and the second at none")
def _first_blocked(context):
    for vm in context.fleet.vms:
        assert _is_blocked(vm, FIRST)
        assert not _is_blocked(vm, SECOND)


@then("the first call is blocked at both")
def _both_blocked(context):
    assert all(_is_blocked(vm, FIRST) for vm in context.fleet.vms)


@then("the first call is not blocked")
def _not_blocked(context):
    # One VM holds the answer, the other one's crash it clears as well.
    assert not any(_is_blocked(vm, FIRST) for vm in context.fleet.vms)


@then("each VM knows {count:d} crash")
def _crash_count(context, count):
    counts = [vm.blocklist.crash_count for vm in context.fleet.vms]
    assert counts == [count] * len(NAMES), counts


@then("the store holds no crashes")
def _no_objects(context):
    assert not context.fleet.store.objects, context.fleet.store.objects


@then("the store is not written to meanwhile")
def _not_written(context):
    assert context.fleet.store.writes == context.writes


@then("the first call runs as a trial at {whom}")
def _trials(context, whom):
    assert bool(context.trials) == (whom == "some VM"), context.trials
