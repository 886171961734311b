"""Steps for tests/bench/records.feature."""

from behave import then
from behave import when

from bench import records

CUSTOMERS = 4
RUNNERS = 4


@when("the records of fleets of {few:d} and {many:d} entry VMs are measured")
def _measured(context, few, many):
    context.costs = {
        vms: records.measure(vms, CUSTOMERS, RUNNERS) for vms in (few, many)
    }


@then("each cost is known")
def _known(context):
    for costs in context.costs.values():
        parts = (costs.heard_us, costs.sent_us, costs.tick_us, costs.bytes)
        assert all(part > 0.0 for part in parts), parts


@then("the larger fleet's records take more of a core")
def _more(context):
    few, many = sorted(context.costs)
    # Ten times as many records: no speed of the machine turns that round.
    assert context.costs[many].core(many) > context.costs[few].core(few)
