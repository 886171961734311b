"""Steps for tests/runners/past_fragility.feature."""

from behave import given
from behave import then
from behave import when

from apricotlever import clock as clocks
from apricotlever.runners import past_fragility

TICK_S = 0.2


@given("the memory of a runner that {says} and gets a call")
def _runner(context, says):
    context.fragile = {"r1"} if says == "is fragile" else set()
    context.clock = clocks.ManualClock()
    context.memory = past_fragility.PastFragility(
        context.clock, lambda runner: runner in context.fragile
    )
    assert context.memory.was_fragile("r1") == bool(context.fragile)


@when("it {stays} fragile for {seconds:d} seconds")
def _stays(context, stays, seconds):
    if stays == "is not":
        context.fragile = set()
    for _ in range(round(seconds / TICK_S)):
        context.clock.advance(TICK_S)
        context.memory.tick()
    context.fragile = set()


@when("it is not for {seconds:g} seconds")
def _pass(context, seconds):
    context.clock.advance(seconds)


@then("it {counts} as fragile")
def _counts(context, counts):
    assert context.memory.was_fragile("r1") == (counts == "counts")
