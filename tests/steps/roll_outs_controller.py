"""Steps for tests/roll_outs/controller.feature."""

import functools
import itertools
import random

from behave import given
from behave import step
from behave import then
from behave import when

from apricotlever import clock as clocks
from apricotlever.roll_outs import controller as controllers
from apricotlever.roll_outs import model
from apricotlever.roll_outs import samples
from bench import roll_outs

SERVICE = "service"
NEW = "v2"
ROUTE = "route"
TICK_S = 0.1
CALLS_PER_TICK = 20


class Runner:
    """A fake runner with the attributes that a roll-out uses."""

    def __init__(self, runner_id, version):
        self.runner_id = runner_id
        self.service = SERVICE
        self.version = version
        self.leaving = False


class Vm:
    """A VM that sends all calls of the fleet, on a manual clock."""

    def __init__(self, duration_s, old):
        self.clock = clocks.ManualClock()
        self.rng = random.Random(4)
        self.controller = controllers.RollOutController(
            self.clock, random.Random(3), model.RollOutLimits()
        )
        self.order = model.RollOutOrder(
            SERVICE, NEW, 5, self.clock.wall(), duration_s
        )
        self.controller.merge_order(self.order)
        self.old_runners = [Runner(f"a{n}", "v1") for n in range(old)]
        self.new_runners = []
        self.in_flight = 0
        self.controller.set_runners(self.old_runners)

    @property
    def elapsed_s(self):
        """Seconds since the order."""
        return self.clock.now() - self.order.started_at

    def add_runners(self, count, version=NEW):
        """Add new runners to the list."""
        self.new_runners = [Runner(f"b{n}", version) for n in range(count)]
        self.controller.set_runners([*self.old_runners, *self.new_runners])

    def call(self, is_retry=False):
        """Send a call.

        :returns: the runner that it is sent to.
        """
        role = model.RunnerRole.SERVING
        if self.controller.should_use_new_version(SERVICE, ROUTE, is_retry):
            role = model.RunnerRole.CANARY
        runners = [
            runner
            for runner in [*self.old_runners, *self.new_runners]
            if self.controller.role(runner) is role
        ]
        runner = self.rng.choice(runners)
        sample = self.controller.record_sent(runner, ROUTE)
        if sample is not None:
            sample.ended += 1
            sample.first_byte.add(0.1)
            sample.last_byte.add(0.1)
        return runner

    def tick(self):
        """Advance the clock by one tick."""
        self.clock.advance(TICK_S)
        self.controller.update_fleet_counts({}, False)
        self.controller.tick()

    def run(self, until_s):
        """Send calls until a time in seconds.

        :returns: the runners that they are sent to.
        """
        called = []
        while self.elapsed_s < until_s - TICK_S / 2:
            self.tick()
            called += [self.call() for _ in range(CALLS_PER_TICK)]
        return called

    def result(self):
        """The state that is due; None if there is none."""
        results = self.controller.due_results(lambda names: self.in_flight)
        return results[0].state if results else None


@given(
    "a roll-out of {duration:d} seconds for a service of {old:d} old runners"
)
def step_order(context, duration, old):
    """Create a VM that has received a new order."""
    context.vm = Vm(float(duration), old)


@step("{count:d} new runners appear after {after:d} seconds")
def step_new_runners(context, count, after):
    """Advance the clock, and add new runners to the list."""
    context.vm.run(after)
    context.vm.add_runners(count)


@then(
    "from {since:d} to {until:d} seconds {least:d} to {most:d} percent of the"
    " calls go to {count:d} new runners"
)
def step_share(context, since, until, least, most, count):
    """Send calls until the given time."""
    called = context.vm.run(until)
    new = [runner for runner in called if runner.version == NEW]
    percent = 100.0 * len(new) / len(called)
    assert least <= percent <= most, percent
    assert len({runner.runner_id for runner in new}) <= count


@then("after the takeover all calls go to {count:d} new runners")
def step_taken_over(context, count):
    """Send calls until after the takeover and check their runners."""
    vm = context.vm
    vm.run(18.8)
    called = vm.run(19.0)
    assert all(runner.version == NEW for runner in called)
    canaries = [
        r
        for r in vm.new_runners
        if vm.controller.role(r) is model.RunnerRole.CANARY
    ]
    assert len(canaries) == count


@when("another VM reports {calls:d} calls to them, half of which failed")
def step_reported_failures(context, calls):
    """Receive another VM's counts of calls and failures."""
    vm = context.vm
    vm.run(3)
    records = {
        samples.SampleKey(SERVICE, NEW, runner.runner_id, ROUTE).text: (
            samples.Sample(calls // 10, calls // 10, calls // 20).to_record()
        )
        for runner in vm.new_runners
    }
    vm.controller.update_fleet_counts(records, False)
    assert vm.controller.tick()


@when("another VM reports that the version is {state}")
def step_reported_state(context, state):
    """Receive the order from another VM, in the given state."""
    order = context.vm.order.with_state(model.RollOutState[state])
    assert context.vm.controller.merge_order(order)


@when("the roll-out is {state}")
def step_final_state(context, state):
    """Receive the order from another VM, in a final state."""
    step_reported_state(context, state)


@then("no call goes to a new runner")
def step_no_call_to_new(context):
    """Send many calls and check that no runner is new."""
    called = [context.vm.call() for _ in range(200)]
    assert all(runner.version != NEW for runner in called)


@then("no retry goes to a new runner")
def step_no_retry_to_new(context):
    """Send many retries and check that no runner is new."""
    context.vm.run(3)
    called = [context.vm.call(is_retry=True) for _ in range(200)]
    assert all(runner.version != NEW for runner in called)


@then("the result {state} is due")
def step_result_due(context, state):
    """Check the state that is due."""
    assert (
        context.vm.result() is model.RollOutState[state]
    ), context.vm.result()


@then("no result of a roll-out is due")
def step_no_result_due(context):
    """Check that no state is due."""
    assert context.vm.result() is None


@when("{seconds:f} seconds pass without a failure")
def step_calls_succeed(context, seconds):
    """Send calls until the given time."""
    context.vm.run(seconds)


@when("{count} is in flight at old runners")
@when("{count} are in flight at old runners")
def step_calls_in_flight(context, count):
    """Set the number of calls in flight, such as "2 calls" or "no call"."""
    number = count.split()[0]
    context.vm.in_flight = 0 if number == "no" else int(number)


@then("all old runners are {old} and all new ones {new}")
def step_roles(context, old, new):
    """Check the roles of all runners."""
    vm = context.vm
    assert {vm.controller.role(r) for r in vm.old_runners} == {
        model.RunnerRole[old]
    }
    assert {vm.controller.role(r) for r in vm.new_runners} == {
        model.RunnerRole[new]
    }


@when("a second roll-out to version {version} starts")
def step_second_order(context, version):
    """Receive a second order."""
    vm = context.vm
    second = model.RollOutOrder(SERVICE, version, 9, vm.clock.wall(), 20.0)
    assert vm.controller.merge_order(second)
    vm.controller.set_runners([*vm.old_runners, *vm.new_runners])


@then("all runners of version {version} are {role}")
def step_version_role(context, version, role):
    """Check the roles of a version's runners."""
    vm = context.vm
    found = {
        vm.controller.role(r) for r in vm.new_runners if r.version == version
    }
    assert found == {model.RunnerRole[role]}, found


@then("a late update of the first order changes nothing")
def step_late_update(context):
    """Receive the first order again."""
    assert not context.vm.controller.merge_order(context.vm.order)


@when("the operators order the same version again")
def step_repeated_order(context):
    """Receive the order with a higher revision and no status."""
    vm = context.vm
    second = model.RollOutOrder(SERVICE, NEW, 9, vm.clock.wall(), 20.0)
    assert vm.controller.merge_order(second)


@then("a late result of the finished order changes nothing")
def step_late_result(context):
    """Receive the result of the finished order after the repeated one."""
    finished = context.vm.order.with_state(model.RollOutState.ROLLED_BACK)
    assert not context.vm.controller.merge_order(finished)


@when("the operators withdraw the order")
def step_withdrawn(context):
    """Withdraw the order."""
    assert context.vm.controller.withdraw_order(SERVICE, 9)


@when("another VM reports that the roll-out started {ago_s:f} seconds ago")
def step_reported_start(context, ago_s):
    """Receive an earlier start time."""
    vm = context.vm
    order = vm.order.with_state(model.RollOutState.RUNNING)
    order.started_at = vm.clock.wall() - ago_s
    assert vm.controller.merge_order(order)
    context.started_ago_s = ago_s


@then("{seconds:f} seconds of the roll-out have passed")
def step_elapsed(context, seconds):
    """Advance the clock, and compare the elapsed time."""
    vm = context.vm
    vm.clock.advance(seconds - context.started_ago_s)
    started_at = vm.controller.order(SERVICE).started_at
    assert abs(vm.clock.wall() - started_at - seconds) < 1e-6


@then("updates of an order can be merged in any sequence")
def step_any_sequence(context):
    """Merge the same updates in all sequences and compare the results."""
    updates = [
        model.RollOutOrder(SERVICE, "v2", 5, 100.0, 20.0),
        model.RollOutOrder(
            SERVICE, "v2", 5, 99.0, 20.0, model.RollOutState.FAILED
        ),
        model.RollOutOrder(
            SERVICE, "v2", 7, 101.0, 20.0, model.RollOutState.ROLLED_BACK
        ),
        model.RollOutOrder(SERVICE, "v3", 9, 130.0, 30.0),
        model.RollOutOrder(
            SERVICE, "v3", 11, 130.5, 30.0, model.RollOutState.COMPLETED
        ),
    ]
    results = {
        tuple(functools.reduce(model.RollOutOrder.merge, sequence).to_record())
        for sequence in itertools.permutations(updates)
    }
    assert len(results) == 1, results


@when(
    "{count:d} roll-outs of a version with {fault} are simulated at {load}"
    " load"
)
def step_simulate(context, count, fault, load):
    """Simulate the roll-outs on a fleet of 70 VMs."""
    context.fault = roll_outs.FAULTS[fault]
    context.outcomes = [
        roll_outs.simulate(roll_outs.Case("compared", fault, load, 70, seed))
        for seed in range(1, count + 1)
    ]


@then("at least {correct:d} have the expected result")
def step_expected_results(context, correct):
    """Compare the number of expected results with the minimum."""
    expected_state = (
        model.RollOutState.ROLLED_BACK
        if context.fault.is_bad
        else model.RollOutState.COMPLETED
    )
    found = [outcome.state for outcome in context.outcomes]
    assert found.count(expected_state) >= correct, found


@then("no bad version that was detected received more calls than allowed")
def step_exposure(context):
    """Compare the calls at bad versions with the limit."""
    for outcome in context.outcomes if context.fault.is_bad else ():
        if outcome.state is model.RollOutState.ROLLED_BACK:
            assert (
                outcome.exposed_calls <= outcome.allowed_calls
            ), outcome.exposed_calls
            assert not outcome.late_calls
