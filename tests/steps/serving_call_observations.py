"""Steps for tests/serving/call_observations.feature."""

from unittest import mock

from behave import given
from behave import then
from behave import when

from apricotlever import clock as clocks
from apricotlever.runners import local_fragility
from apricotlever.runners import performance as performances
from apricotlever.serving import modes
from apricotlever.serving import performance_meters
from apricotlever.serving import runners

FIRST_EVENT_S = 0.5
STREAM_S = 2.0
TOKENS = 100


@given("a VM that knows that runner 1 {is_fragile}")
def _knows_fragile(context, is_fragile):
    fragile = {"runner-1"} if is_fragile == "is fragile" else set()
    patch = mock.patch.object(
        local_fragility.LocalFragility,
        "is_fragile",
        lambda self, runner: runner in fragile,
    )
    patch.start()
    context.closers.append(patch.stop)


@then("{count:d} calls count in outlier detection")
def _counted(context, count):
    counts = context.world.upstreams.outcome_counts
    assert sum(calls for _, calls in counts.values()) == count, counts


@given("the times of streams at a runner that {is_fragile}")
def _meters(context, is_fragile):
    context.clock = clocks.ManualClock()
    context.meters = performance_meters.PerformanceMeters(
        context.clock, modes.Mode.ON, lambda _: is_fragile == "is fragile"
    )


@when("{count:d} streams bring an event and {end}")
def _streams(context, count, end):
    runner = runners.Runner("r-1", "llm", "127.0.0.1", 1, "dc-a", 4)
    backlog = performance_meters.Backlog(0, 0.0)
    with mock.patch.object(
        performances.RunnerPerformance, "record_first_event"
    ) as recorded:
        for number in range(count):
            name = f"stream-{number}"
            context.meters.record_sent(
                name, runner, "route", TOKENS, True, backlog
            )
            context.clock.advance(FIRST_EVENT_S)
            context.meters.record_first_event(name)
            context.clock.advance(STREAM_S)
            context.meters.record_end(name, end == "complete", 1)
    context.recorded = recorded.call_args_list


@then("the prefill of {count:d} streams is known")
def _prefill_known(context, count):
    assert len(context.recorded) == count, context.recorded
    assert all(call.args[3] == FIRST_EVENT_S for call in context.recorded)
