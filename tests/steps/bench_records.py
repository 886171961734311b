"""Steps for tests/bench/records.feature."""

from behave import then
from behave import when

from bench import records

CUSTOMERS = 4
RUNNERS = 4


@when(
    "the cost of the records is measured for fleets of {few:d} and {many:d} "
    "entry VMs"
)
def _measure_costs(context, few, many):
    context.costs = {
        vms: records.measure(vms, CUSTOMERS, RUNNERS) for vms in (few, many)
    }


@then("each cost is positive")
def _costs_positive(context):
    for costs in context.costs.values():
        parts = (costs.heard_us, costs.sent_us, costs.tick_us, costs.bytes)
        assert all(part > 0.0 for part in parts), parts


@then("the records of the larger fleet use a larger fraction of a core")
def _larger_fraction(context):
    few, many = sorted(context.costs)
    # The larger fleet sends ten times as many records. Variations of the
    # machine's speed are too small to reverse the order.
    assert context.costs[many].cores(many) > context.costs[few].cores(few)
