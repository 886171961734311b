"""Steps for tests/runners/circuit_breaker.feature."""

import random

from behave import given
from behave import then
from behave import when
import hypothesis
from hypothesis import strategies

from apricotlever import clock as clocks
from apricotlever.runners import circuit_breaker

SETTINGS = hypothesis.settings(
    derandomize=True, deadline=None, database=None, max_examples=200
)


@given("a runner's circuit")
def _circuit(context):
    context.clock = clocks.ManualClock()
    context.health = circuit_breaker.CircuitBreaker(
        context.clock, random.Random(1), warm=True
    )


@when('requests end with "{ends}"')
def _requests_end(context, ends):
    for end in ends:
        context.health.started()
        if end == "S":
            context.health.succeeded()
        else:
            context.health.failed()


@when("the open time of the circuit passes")
def _open_time_passes(context):
    context.clock.advance(context.health.open_until - context.clock.now())


@when("a probe is sent and its end is not reported for {seconds:d} seconds")
def _lost_probe(context, seconds):
    context.health.started()
    context.clock.advance(seconds)


@when("{seconds:d} seconds pass for the circuit")
def _circuit_waits(context, seconds):
    context.clock.advance(seconds)


@when("the failures of the last second are forgotten")
def _forget(context):
    context.health.forget(context.clock.now() - 1.0)


@then("the circuit is {state}")
def _state(context, state):
    assert context.health.state.value == state


@then("the circuit allows one probe and not a second one")
def _one_probe(context):
    assert context.health.allows(context.clock.now())
    context.health.started()
    assert not context.health.allows(context.clock.now())


@then("the runner is in slow start again")
def _slow_start(context):
    now = context.clock.now()
    assert context.health.slot_share(now) == circuit_breaker.SLOW_START_SHARE
    assert context.health.slot_share(now + circuit_breaker.SLOW_START_S) == 1.0


@then("each failed probe keeps the circuit open longer, up to 38 seconds")
def _probe_backoff(context):
    waits = []
    for _ in range(8):
        waits.append(context.health.open_until - context.clock.now())
        _open_time_passes(context)
        _requests_end(context, "F")
    assert waits[0] < 1.3 and 22.0 < waits[-1] <= 37.5
    assert all(later > 0.9 * sooner for sooner, later in zip(waits, waits[1:]))


@then("a circuit is closed exactly when a plain count says so")
def _agrees_with_count(context):
    @SETTINGS
    @hypothesis.given(
        strategies.lists(
            strategies.tuples(strategies.booleans(), strategies.floats(0, 5)),
            max_size=40,
        )
    )
    def check(ends):
        _circuit(context)
        in_a_row = 0
        opened = False
        for succeeded, pause_s in ends:
            context.clock.advance(pause_s)
            _requests_end(context, "S" if succeeded else "F")
            in_a_row = 0 if succeeded else in_a_row + 1
            opened = not succeeded and (
                opened or in_a_row >= circuit_breaker.FAILURES_TO_OPEN
            )
            closed = (
                context.health.state is circuit_breaker.CircuitState.CLOSED
            )
            assert closed == (not opened)

    check()
