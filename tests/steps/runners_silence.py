"""Steps for tests/runners/silence.feature."""

from behave import given
from behave import step
from behave import then
from behave import when

from apricotlever import clock as clocks
from apricotlever.runners import silence

RUNNER = "runner"


@given("a runner with {calls:d} calls")
def _runner(context, calls):
    context.clock = clocks.ManualClock()
    context.silence = silence.Silence(context.clock)
    context.calls = calls
    for _ in range(calls):
        context.silence.sent(RUNNER)


@step("{seconds:f} seconds pass without a byte")
def _pass(context, seconds):
    context.clock.advance(seconds)


@when("{seconds:f} seconds pass with a byte every {pause:f} seconds")
def _bytes(context, seconds, pause):
    for _ in range(int(seconds / pause)):
        context.clock.advance(pause)
        context.silence.heard(RUNNER)


@when("all of its calls end and {seconds:f} seconds pass")
def _end(context, seconds):
    for _ in range(context.calls):
        context.silence.ended(RUNNER)
    context.clock.advance(seconds)


@step("a byte comes from the runner")
def _byte(context):
    context.silence.heard(RUNNER)


@when("{count:d} other VMs find it silent")
def _others(context, count):
    context.silence.told({RUNNER: count})


@then("the runner is believed to be silent")
def _believed(context):
    assert RUNNER in context.silence.believed


@then("the runner is not believed to be silent")
def _not_believed(context):
    assert RUNNER not in context.silence.believed
