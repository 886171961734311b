"""Steps for tests/runners/outlier_detector.feature."""

import random
import statistics

from behave import given
from behave import then
from behave import when

from apricotlever import clock as clocks
from apricotlever.runners import outlier_detector

STEP_S = 0.2
CALLS_PER_STEP = 3


class Fleet:
    """VMs that call the runners of one service and exchange their counts."""

    def __init__(self, vms, runners, seed=7):
        self.clock = clocks.ManualClock()
        self.rng = random.Random(seed)
        self.runners = [f"runner-{n + 1}" for n in range(runners)]
        self.vms = [
            outlier_detector.OutlierDetector(self.clock, f"vm-{n}")
            for n in range(vms)
        ]
        self.calls = dict.fromkeys(self.runners, 0)
        self.max_ejected = 0
        #: Seconds from the start to each ejection by a VM.
        self.ejected_at = []

    def run(self, seconds, failure_shares):
        """Simulate calls, of which each runner fails its share."""
        for _ in range(round(seconds / STEP_S)):
            self.clock.advance(STEP_S)
            for vm in self.vms:
                for _ in range(CALLS_PER_STEP):
                    self._call(vm, failure_shares)
            self._exchange_counts()
            for vm in self.vms:
                vm.detect([self.runners])
                self.max_ejected = max(self.max_ejected, len(vm.ejected))

    def run_calls(self, seconds, per_s, failure_shares):
        """Simulate calls at a total rate, spread randomly over the VMs."""
        for step in range(round(seconds / STEP_S)):
            self.clock.advance(STEP_S)
            for _ in range(round(per_s * STEP_S)):
                self._call(self.rng.choice(self.vms), failure_shares)
            self._exchange_counts()
            for vm in self.vms:
                for _ in vm.detect([self.runners]):
                    self.ejected_at.append((step + 1) * STEP_S)

    def _exchange_counts(self):
        for number, vm in enumerate(self.vms):
            for other in self.vms:
                if other is not vm:
                    other.add_peer_counts(f"vm-{number}", vm.own_counts)

    def _call(self, vm, failure_shares):
        available = [r for r in self.runners if r not in vm.ejected]
        runner = self.rng.choice(available)
        self.calls[runner] += 1
        vm.call_ended(
            runner, self.rng.random() < failure_shares.get(runner, 0.0)
        )


@given("{vms:d} VMs and a service with {runners:d} runners")
def _fleet(context, vms, runners):
    context.size = (vms, runners)
    context.fleet = Fleet(vms, runners)


@when("runner 1 fails {share:d} in 100 calls for {seconds:d} seconds")
def _first_fails(context, share, seconds):
    context.fleet.run(seconds, {"runner-1": share / 100})


@when("all runners fail {share:d} in 100 calls for {seconds:d} seconds")
def _all_fail(context, share, seconds):
    fleet = context.fleet
    fleet.run(seconds, dict.fromkeys(fleet.runners, share / 100))


@when("runners 1 and 2 fail {share:d} in 100 calls for {seconds:d} seconds")
def _two_fail(context, share, seconds):
    shares = dict.fromkeys(("runner-1", "runner-2"), share / 100)
    context.fleet.run(seconds, shares)


@then("all VMs eject runner 1 alone")
def _first_ejected(context):
    for vm in context.fleet.vms:
        assert vm.ejected == {"runner-1"}, vm.ejected


@then("no VM ejects a runner")
def _none_ejected(context):
    assert context.fleet.max_ejected == 0


@then("no VM ejects more than {count:d} runners")
def _ejection_limit(context, count):
    assert context.fleet.max_ejected <= count


@then("runner 1 got less than a third of an equal share of the calls")
def _few_calls_to_first(context):
    calls = context.fleet.calls
    even = sum(calls.values()) / len(calls)
    assert calls["runner-1"] < even / 3, calls


@when(
    "{failing:d} runners fail {share:d} in 100 of {per_s:d} calls a second "
    "for {seconds:d} seconds, {times:d} times"
)
def _low_call_rate(context, failing, share, per_s, seconds, times):
    context.fleets = [Fleet(*context.size, seed) for seed in range(times)]
    context.seconds = seconds
    for fleet in context.fleets:
        shares = dict.fromkeys(fleet.runners[:failing], share / 100)
        fleet.run_calls(seconds, per_s, shares)


@then("a runner was ejected within {seconds:f} seconds on average")
def _ejected_soon(context, seconds):
    firsts = [
        min(fleet.ejected_at, default=context.seconds)
        for fleet in context.fleets
    ]
    assert statistics.mean(firsts) <= seconds, firsts


@then("a runner was ejected at most {times:f} times in each run")
def _ejected_rarely(context, times):
    # All VMs eject the same runner at about the same time.
    counts = [len(f.ejected_at) / len(f.vms) for f in context.fleets]
    assert statistics.mean(counts) <= times, counts


@when("runner 1 fails 2 of 2 calls at VM 1, and the others none of 10")
def _two_failures(context):
    vm = context.fleet.vms[0]
    for runner in context.fleet.runners[1:]:
        for _ in range(2):
            vm.call_ended(runner, False)
    for _ in range(2):
        vm.call_ended("runner-1", True)
    context.ejections = vm.detect([context.fleet.runners])


@when(
    "runner 1 fails {failed:d} of {calls:d} calls at VM 1, and the others none"
)
def _first_runner_failed(context, failed, calls):
    vm = context.fleet.vms[0]
    for runner in context.fleet.runners:
        for number in range(calls):
            is_first = runner == context.fleet.runners[0]
            vm.call_ended(runner, is_first and number < failed)
    context.ejections = vm.detect([context.fleet.runners])


@then("VM 1 ejects runner 1")
def _first_runner_ejected(context):
    assert [f.inputs["runner"] for f in context.ejections] == ["runner-1"]


@then(
    "VM 1 ejects runner 1 for {out_s:d} seconds, for {failed:d} failures of "
    "{calls:d} calls against a share of {share:f}"
)
def _ejection_reported(context, out_s, failed, calls, share):
    (ejection,) = context.ejections
    assert ejection.runner == "runner-1"
    assert (ejection.failed, ejection.calls) == (failed, calls)
    assert (ejection.others_share, ejection.out_s) == (share, out_s)
