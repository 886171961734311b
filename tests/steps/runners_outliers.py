"""Steps for tests/runners/outliers.feature."""

import random
import statistics

from behave import given
from behave import then
from behave import when

from apricotlever import clock as clocks
from apricotlever.runners import outliers

STEP_S = 0.2
CALLS_A_STEP = 3


class Fleet:
    """VMs that call the runners of one service and tell each other."""

    def __init__(self, vms, runners, seed=7):
        self.clock = clocks.ManualClock()
        self.rng = random.Random(seed)
        self.runners = [f"runner-{n + 1}" for n in range(runners)]
        self.vms = [
            outliers.Outliers(self.clock, f"vm-{n}") for n in range(vms)
        ]
        self.calls = dict.fromkeys(self.runners, 0)
        self.most_out = 0
        #: Seconds from the start until a VM left one out, of each time.
        self.found_at = []

    def run(self, seconds, share_of):
        """Let time pass; runners fail their shares of the calls."""
        for _ in range(round(seconds / STEP_S)):
            self.clock.advance(STEP_S)
            for vm in self.vms:
                for _ in range(CALLS_A_STEP):
                    self._call(vm, share_of)
            self._tell()
            for vm in self.vms:
                vm.judge([self.runners])
                self.most_out = max(self.most_out, len(vm.left_out))

    def run_calls(self, seconds, per_s, share_of):
        """The same with a number of calls of all VMs together."""
        for step in range(round(seconds / STEP_S)):
            self.clock.advance(STEP_S)
            for _ in range(round(per_s * STEP_S)):
                self._call(self.rng.choice(self.vms), share_of)
            self._tell()
            for vm in self.vms:
                for _ in vm.judge([self.runners]):
                    self.found_at.append((step + 1) * STEP_S)

    def _tell(self):
        for number, vm in enumerate(self.vms):
            for other in self.vms:
                if other is not vm:
                    other.heard(f"vm-{number}", vm.own)

    def _call(self, vm, share_of):
        fit = [r for r in self.runners if r not in vm.left_out]
        runner = self.rng.choice(fit)
        self.calls[runner] += 1
        vm.ended(runner, self.rng.random() < share_of.get(runner, 0.0))


@given("{vms:d} VMs and a service with {runners:d} runners")
def _fleet(context, vms, runners):
    context.size = (vms, runners)
    context.fleet = Fleet(vms, runners)


@when("runner 1 fails {share:d} in 100 calls for {seconds:d} seconds")
def _one(context, share, seconds):
    context.fleet.run(seconds, {"runner-1": share / 100})


@when("all runners fail {share:d} in 100 calls for {seconds:d} seconds")
def _all(context, share, seconds):
    fleet = context.fleet
    fleet.run(seconds, dict.fromkeys(fleet.runners, share / 100))


@when("runners 1 and 2 fail {share:d} in 100 calls for {seconds:d} seconds")
def _two(context, share, seconds):
    shares = dict.fromkeys(("runner-1", "runner-2"), share / 100)
    context.fleet.run(seconds, shares)


@then("all VMs leave out runner 1 alone")
def _alone(context):
    for vm in context.fleet.vms:
        assert vm.left_out == {"runner-1"}, vm.left_out


@then("no VM leaves out a runner")
def _none(context):
    assert context.fleet.most_out == 0


@then("no VM leaves out more than {count:d} runners")
def _most(context, count):
    assert context.fleet.most_out <= count


@then("runner 1 got less than a third of its share of the calls")
def _share(context):
    calls = context.fleet.calls
    even = sum(calls.values()) / len(calls)
    assert calls["runner-1"] < even / 3, calls


@when(
    "{failing:d} runners fail {share:d} in 100 of {per_s:d} calls a second "
    "for {seconds:d} seconds, {times:d} times"
)
def _few_calls(context, failing, share, per_s, seconds, times):
    context.fleets = [Fleet(*context.size, seed) for seed in range(times)]
    context.seconds = seconds
    for fleet in context.fleets:
        shares = dict.fromkeys(fleet.runners[:failing], share / 100)
        fleet.run_calls(seconds, per_s, shares)


@then("a runner was left out within {seconds:f} seconds on the mean")
def _soon(context, seconds):
    firsts = [
        min(fleet.found_at, default=context.seconds)
        for fleet in context.fleets
    ]
    assert statistics.mean(firsts) <= seconds, firsts


@then("a runner was left out at most {times:f} times in each")
def _rarely(context, times):
    # All VMs find the same one at about the same time.
    counts = [len(f.found_at) / len(f.vms) for f in context.fleets]
    assert statistics.mean(counts) <= times, counts


@when("runner 1 fails 2 of 2 calls at VM 1, and the others none of 10")
def _told(context):
    vm = context.fleet.vms[0]
    for runner in context.fleet.runners[1:]:
        for _ in range(2):
            vm.ended(runner, False)
    for _ in range(2):
        vm.ended("runner-1", True)
    context.found = vm.judge([context.fleet.runners])


@when(
    "runner 1 fails {failed:d} of {calls:d} calls at VM 1, and the others none"
)
def _first_runner_failed(context, failed, calls):
    vm = context.fleet.vms[0]
    for runner in context.fleet.runners:
        for number in range(calls):
            is_first = runner == context.fleet.runners[0]
            vm.ended(runner, is_first and number < failed)
    context.found = vm.judge([context.fleet.runners])


@then("VM 1 leaves out runner 1")
def _first_runner_left_out(context):
    assert [f.inputs["runner"] for f in context.found] == ["runner-1"]


@then(
    "VM 1 leaves out runner 1 for {out_s:d} seconds, for {failed:d} of "
    "{calls:d} beside {share:f}"
)
def _found(context, out_s, failed, calls, share):
    (found,) = context.found
    assert found.runner == "runner-1"
    assert (found.failed, found.calls) == (failed, calls)
    assert (found.others_share, found.out_s) == (share, out_s)
