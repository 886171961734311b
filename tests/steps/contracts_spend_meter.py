"""Steps for tests/contracts/spend_meter.feature."""

import collections

from behave import given
from behave import then
from behave import when
import hypothesis
from hypothesis import strategies

from apricotlever import clock as clocks
from apricotlever.contracts import spend_meter

SETTINGS = hypothesis.settings(
    derandomize=True, deadline=None, database=None, max_examples=100
)


@then("the spend meter's totals equal plain sums after any costs")
def _totals_exact(context):
    cost = strategies.tuples(
        strategies.sampled_from("ab"),
        strategies.sampled_from("xy"),
        strategies.floats(0, 10),
    )

    @SETTINGS
    @hypothesis.given(strategies.lists(cost, max_size=40))
    def check(costs):
        meter = spend_meter.SpendMeter(clocks.ManualClock())
        sums = collections.defaultdict(float)
        for customer, entry, amount in costs:
            meter.record(customer, entry, amount)
            sums[customer, entry] += amount
        assert {(x.customer, x.entry): x.amount for x in meter.totals} == sums

    check()


@given("an entry that may spend {amount:d} per hour")
def _spend_limit(context, amount):
    context.clock = clocks.ManualClock()
    context.meter = spend_meter.SpendMeter(context.clock)
    context.meter.set_limit("e", float(amount))
    context.per_s = amount / spend_meter.SECONDS_PER_HOUR


@when("it spends {amount:f} whenever it may for {minutes:d} minutes")
def _spends(context, amount, minutes):
    context.amount = amount
    context.seconds = minutes * 60
    for _ in range(context.seconds):
        if context.meter.wait_s("e") <= 0.0:
            context.meter.record("c", "e", amount)
        context.clock.advance(1.0)


@then("it has spent at most 36 per hour, a burst and one request")
def _within_limit(context):
    (line,) = context.meter.totals
    allowed = context.per_s * (context.seconds + spend_meter.BURST_S)
    assert line.amount <= allowed + context.amount
    assert line.amount >= context.per_s * context.seconds * 0.95


@then(
    "a slot of a runner of {price:f} per hour with {slots:d} slots costs"
    " {cost:f} in an hour"
)
def _cost(context, price, slots, cost):
    assert spend_meter.request_cost(price, slots, 3600.0) == cost
