"""Steps for tests/contracts/token_bucket.feature."""

from behave import given
from behave import then
from behave import when
import hypothesis
from hypothesis import strategies

from apricotlever import clock as clocks
from apricotlever.contracts import token_bucket
from tests.contracts import naive

SETTINGS = hypothesis.settings(
    derandomize=True, deadline=None, database=None, max_examples=200
)
RATES = strategies.floats(0.1, 100.0)


@then("the units taken from a token bucket stay within its rate and burst")
def _within_rate(context):
    asks = strategies.lists(
        strategies.tuples(strategies.floats(0, 3), strategies.floats(0, 50)),
        max_size=50,
    )

    @SETTINGS
    @hypothesis.given(RATES, RATES, asks)
    def check(rate, burst, steps):
        clock = clocks.ManualClock()
        bucket = token_bucket.TokenBucket(clock, rate, burst)
        taken = []
        for pause_s, units in steps:
            clock.advance(pause_s)
            # A take above the burst is allowed on credit, which later waits
            # pay off. Such takes are left out here.
            if units <= burst and bucket.take(units):
                taken.append((clock.now(), units))
        assert naive.max_excess(taken, rate, burst) <= 1e-6 * burst

    check()


@then("a token bucket allows a take after its wait and not before")
def _exact_wait(context):
    @SETTINGS
    @hypothesis.given(
        RATES, RATES, strategies.floats(0, 500), strategies.floats(0.1, 500)
    )
    def check(rate, burst, used, units):
        clock = clocks.ManualClock(0.0)
        bucket = token_bucket.TokenBucket(clock, rate, burst)
        bucket.charge(used)
        wait_s = bucket.wait_s(units)
        if wait_s > 0.01:
            clock.advance(wait_s - 0.005)
            assert not bucket.take(units)
            wait_s = 0.005
        clock.advance(wait_s)
        assert bucket.take(units)

    check()


@given("a token bucket of {rate:d} a second and a burst of {burst:d}")
def _bucket(context, rate, burst):
    context.bucket = token_bucket.TokenBucket(
        clocks.ManualClock(), rate, burst
    )


@when("{taken:d} units are taken and {charged:d} more are charged")
def _debt(context, taken, charged):
    assert context.bucket.take(taken)
    context.bucket.charge(charged)


@then("the token bucket allows a take of 1 unit in {seconds:f} seconds")
def _wait_is(context, seconds):
    assert abs(context.bucket.wait_s(1.0) - seconds) < 1e-9
