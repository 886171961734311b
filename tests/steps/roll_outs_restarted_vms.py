"""Steps for tests/roll_outs/restarted_vms.feature."""

from behave import given
from behave import then
from behave import when

from apricotlever.roll_outs import model
from apricotlever.roll_outs import samples
from bench import roll_outs
from tests.roll_outs import restarted_fleet


def _play(context, fault, count, times, in_turn):
    context.outcomes = [
        restarted_fleet.RestartedFleet(fault, times, in_turn, seed).run()
        for seed in range(1, count + 1)
    ]


@when(
    "a version with {fault} is rolled out {count:d} times, and {which} killed "
    "every {seconds:g} s"
)
def _killed_often(context, fault, count, which, seconds):
    kills = range(1, int(roll_outs.DURATION_S / seconds) + 1)
    times = [number * seconds for number in kills]
    _play(context, fault, count, times, which == "one VM is")


@when(
    "a version with {fault} is rolled out {count:d} times, and all VMs are "
    "killed once after {seconds:g} s"
)
def _killed_once(context, fault, count, seconds):
    _play(context, fault, count, [seconds], False)


@then("it is never completed, and never gets more calls than it may")
def _within_exposure(context):
    for outcome in context.outcomes:
        assert outcome.state is not model.RollOutState.COMPLETED
        assert outcome.exposed_calls <= outcome.allowed_calls, (
            outcome.exposed_calls,
            outcome.allowed_calls,
        )


@then("it is completed at least {count:d} times")
def _completed(context, count):
    states = [outcome.state for outcome in context.outcomes]
    completed = states.count(model.RollOutState.COMPLETED)
    assert completed >= count, states


@given("counts of 10 calls, 8 of them ended, 1 failed")
def _counts(context):
    context.before = samples.Sample(10, 8, 1)


@when("a VM with 2 failed calls is added as one with 2 sound ones ends")
def _exchanged(context):
    context.after = samples.Sample(10, 8, 3)


@then("the difference of both counts has no more failures than ends")
def _difference(context):
    difference = context.after.since(context.before)
    assert difference.failed <= difference.ended, (
        difference.failed,
        difference.ended,
    )
