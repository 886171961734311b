"""Steps for tests/contracts/pool_usage.feature."""

import math

from behave import given
from behave import then
from behave import when
import hypothesis
from hypothesis import strategies

from apricotlever import clock as clocks
from apricotlever.contracts import pool_usage

SETTINGS = hypothesis.settings(
    derandomize=True, deadline=None, database=None, max_examples=150
)
WEIGHTS = {"alfa": 1.0, "beira": 2.0, "cinta": 0.5}


@then("a customer has used its share exactly if a direct computation says so")
def _matches_direct(context):
    step = strategies.tuples(
        strategies.sampled_from(sorted(WEIGHTS)),
        strategies.integers(1, 100),
        strategies.integers(0, 40),
    )

    @SETTINGS
    @hypothesis.given(strategies.lists(step, min_size=1, max_size=30))
    def check(steps):
        clock = clocks.ManualClock(0.0)
        measured = pool_usage.PoolUsage(clock)
        measured.set_weights(WEIGHTS)
        log = []
        for customer, tokens, pause in steps:
            clock.advance(pause / 10)
            measured.record_request(customer)
            measured.record_admitted(customer, tokens)
            measured.tick()
            log.append((clock.now(), customer, tokens))
        now = clock.now()
        active = {c for at, c, _ in log if at >= now - pool_usage.DECAY_S}
        used = dict.fromkeys(WEIGHTS, 0.0)
        for at, customer, tokens in log:
            used[customer] += tokens * math.exp(
                (at - now) / pool_usage.DECAY_S
            )
        weights = sum(WEIGHTS[c] for c in active)
        for customer in active:
            share = WEIGHTS[customer] / weights * sum(used.values())
            # Closer values may differ, because the sums have another order.
            if (
                abs(used[customer] - pool_usage.FULL_SHARE_FRACTION * share)
                > 1e-6
            ):
                is_used = (
                    used[customer] > pool_usage.FULL_SHARE_FRACTION * share
                )
                expected = is_used and len(active) > 1
                assert measured.has_used_share(customer) == expected

    check()


def _use(context, customer, seconds):
    for _ in range(seconds):
        context.clock.advance(1.0)
        context.usage.record_request(customer)
        context.usage.record_admitted(customer, 10.0)
        context.usage.tick()


@given('a pool that customer "{name}" alone has used for {seconds:d} seconds')
def _alone(context, name, seconds):
    context.clock = clocks.ManualClock()
    context.usage = pool_usage.PoolUsage(context.clock)
    _use(context, name, seconds)


@when('{pause:d} seconds later "{b}" uses it as "{a}" did for {n:d} seconds')
def _use_later(context, pause, b, a, n):
    context.clock.advance(pause)
    _use(context, b, n)
    context.usage.record_request(a)


@then('customer "{name}" has used its share of the pool')
def _has_used_share(context, name):
    assert context.usage.has_used_share(name)


@then('customer "{name}" has not used its share of the pool')
def _has_not_used_share(context, name):
    assert not context.usage.has_used_share(name)
