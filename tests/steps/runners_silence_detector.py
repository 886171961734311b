"""Steps for tests/runners/silence_detector.feature."""

from behave import given
from behave import step
from behave import then
from behave import when

from apricotlever import clock as clocks
from apricotlever.runners import silence_detector

RUNNER = "runner"


@given("a runner with {calls:d} calls")
def _runner(context, calls):
    context.clock = clocks.ManualClock()
    context.silence = silence_detector.SilenceDetector(context.clock)
    context.calls = calls
    for _ in range(calls):
        context.silence.call_sent(RUNNER)


@step("{seconds:f} seconds pass without a byte")
def _silent_time(context, seconds):
    context.clock.advance(seconds)


@when("{seconds:f} seconds pass with a byte every {pause:f} seconds")
def _regular_bytes(context, seconds, pause):
    for _ in range(int(seconds / pause)):
        context.clock.advance(pause)
        context.silence.bytes_received(RUNNER)


@when("all of its calls end and {seconds:f} seconds pass")
def _calls_end(context, seconds):
    for _ in range(context.calls):
        context.silence.call_ended(RUNNER)
    context.clock.advance(seconds)


@step("a byte comes from the runner")
def _byte_received(context):
    context.silence.bytes_received(RUNNER)


@when("{count:d} other VMs report it as silent")
def _peer_reports(context, count):
    context.silence.set_peer_counts({RUNNER: count})


@then("the runner is treated as silent")
def _treated_as_silent(context):
    assert RUNNER in context.silence.silent


@then("the runner is not treated as silent")
def _not_treated_as_silent(context):
    assert RUNNER not in context.silence.silent


@then("the runner is reported to the other VMs")
def _reported(context):
    assert RUNNER in context.silence.silent_for_long


@then("the runner is not reported to the other VMs")
def _not_reported(context):
    assert RUNNER not in context.silence.silent_for_long
