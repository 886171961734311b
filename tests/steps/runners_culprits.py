"""Steps for tests/runners/culprits.feature."""

import random

from behave import given
from behave import then
from behave import when

from apricotlever import clock as clocks
from apricotlever.runners import culprits

VMS = 4
RUNNERS = 20
WORLDS = 50
SENDINGS = 40
#: From a crash until the call comes again, and until its runner is back.
AGAIN_S = 1.0
BACK_S = 5.0
RECORD_S = 0.2
PLACE = "dc"
POISON = "poison"


class Forgetful:
    """The naive rival: remembers no crash."""

    def __init__(self, clock, vm):
        pass

    def set_sizes(self, sizes):
        """Nothing depends on them."""

    def broke(self, runner, fingerprint):
        """Not remembered."""

    def died(self, runner, data_centre, noticed):
        """Not remembered."""

    def retry_after_s(self, fingerprint):
        """Every call may run."""
        return None

    def tick(self):
        """There is nothing to forget."""

    def told(self, whole):
        """There is nothing to tell."""
        return None


class Fleet:
    """Entry VMs that tell each other of crashes."""

    def __init__(self, seed, told=True, make=culprits.Culprits):
        self.clock = clocks.ManualClock()
        self.rng = random.Random(seed)
        self.told = told
        self.vms = [make(self.clock, f"vm-{n}") for n in range(VMS)]
        for vm in self.vms:
            vm.set_sizes({PLACE: RUNNERS})
        self.crashed = 0
        self.down = {}
        self.records = 0

    def send(self):
        """The call comes at one VM, which may send it to a runner."""
        vm = self.rng.choice(self.vms)
        if vm.retry_after_s(POISON) is not None:
            return
        now = self.clock.now()
        up = [n for n in range(RUNNERS) if self.down.get(n, 0.0) <= now]
        runner = self.rng.choice(up)
        self.down[runner] = now + BACK_S
        self.crashed += 1
        vm.broke(f"r-{runner}", POISON)
        vm.died(f"r-{runner}", PLACE, False)

    def wait(self, seconds):
        """Time passes, and records go round."""
        for _ in range(round(seconds / RECORD_S)):
            self.clock.advance(RECORD_S)
            self.records += 1
            for sender in self.vms:
                sender.tick()
                told = sender.told(self.records % 5 == 1)
                for vm in self.vms:
                    lost = self.rng.random() < 1 / 3
                    if told and self.told and vm is not sender and not lost:
                        vm.heard("peer", told)

    def run(self):
        """The call is sent again and again."""
        for _ in range(SENDINGS):
            self.send()
            self.wait(AGAIN_S)
        return self.crashed


@then(
    "remembering nothing, a call that is sent {sendings:d} times crashes "
    "{least:d} runners"
)
def _naive(context, sendings, least):
    assert sendings == SENDINGS
    crashed = [Fleet(seed, told=False).run() for seed in range(5)]
    # Two at each VM: none learns from another one.
    assert min(crashed) >= 2 * VMS, crashed
    naive = [Fleet(seed, make=Forgetful).run() for seed in range(5)]
    assert min(naive) >= least, naive


@then(
    "with them it crashes {most:d}, in any of {worlds:d} worlds that lose "
    "every third one"
)
def _kept(context, most, worlds):
    crashed = [Fleet(seed).run() for seed in range(worlds)]
    assert max(crashed) == most, crashed


@given('an entry VM whose calls "a", "b" and "c" broke off at r1')
def _broke(context):
    context.clock = clocks.ManualClock(100.0)
    context.vm = _vm(context, "vm-1")
    for name in ("a", "b", "c"):
        context.vm.broke("r1", name)


def _vm(context, name):
    made = culprits.Culprits(context.clock, name)
    made.set_sizes({PLACE: 4})
    return made


@when("r1 has ended")
def _ended(context):
    context.clock.advance(0.01)
    context.vm.died("r1", PLACE, False)


@when('the call "{name}" breaks off at {runner}, which has ended')
def _again(context, name, runner):
    context.clock.advance(2.0)
    context.vm.broke(runner, name)
    context.vm.died(runner, PLACE, False)


@when('the call "{name}" breaks off at r2 and at r3')
def _garbled(context, name):
    for runner in ("r2", "r3"):
        context.vm.broke(runner, name)


@when('the call "{name}" breaks off at r1')
def _late(context, name):
    context.clock.advance(0.01)
    context.vm.broke("r1", name)


@when("{count:d} more calls break off at r1, one after the other")
def _more(context, count):
    for number in range(count):
        context.clock.advance(0.01)
        context.vm.broke("r1", f"more-{number}")


@then("its next record tells one death with {count:d} calls")
def _told_whole(context, count):
    deaths, _, _ = context.vm.told(False)
    assert [len(death[-1]) for death in deaths] == [count], deaths


@when("{seconds:d} seconds pass and r1 has ended")
def _pass(context, seconds):
    context.clock.advance(seconds)
    context.vm.died("r1", PLACE, False)


@when('the call "{name}" is answered at another entry VM')
def _answered(context, name):
    other = _vm(context, "vm-2")
    other.heard("vm-1", context.vm.told(False))
    context.clock.advance(0.1)
    other.answered(name)
    context.vm.heard("vm-2", other.told(False))


@when("{seconds:d} seconds pass and another entry VM starts")
def _starts(context, seconds):
    context.clock.advance(seconds)
    context.vm.tick()
    context.other = _vm(context, "vm-2")
    context.other.heard("vm-1", context.vm.told(True))


@when("two entry VMs tell each other for {seconds:d} seconds")
def _forever(context, seconds):
    other = _vm(context, "vm-2")
    for _ in range(seconds):
        context.clock.advance(1.0)
        for vm, peer in ((context.vm, other), (other, context.vm)):
            vm.tick()
            told = vm.told(True)
            if told is not None:
                peer.heard("peer", told)


@then('the call "{name}" is kept away there, for at most {most:d} seconds')
def _there(context, name, most):
    wait_s = context.other.retry_after_s(name)
    assert wait_s is not None and 0 < wait_s <= most, wait_s


@then('the call "{name}" is kept away')
def _away(context, name):
    assert context.vm.retry_after_s(name) is not None


@then('the call "{name}" is not kept away')
def _runs(context, name):
    assert context.vm.retry_after_s(name) is None


@then('none of "a", "b" and "c" is kept away')
def _all_run(context):
    for name in ("a", "b", "c"):
        _runs(context, name)
