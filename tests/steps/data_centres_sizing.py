"""Steps for tests/data_centres/sizing.feature."""

import math

from behave import then
import hypothesis
from hypothesis import strategies

from apricotlever.data_centres import model
from apricotlever.data_centres import sizing
from tests.data_centres import naive


@then("the number of slots equals the result of a linear search")
def _equals_linear_search(context):
    @hypothesis.settings(derandomize=True, deadline=None, database=None)
    @hypothesis.given(
        strategies.floats(0.1, 10),
        strategies.floats(0.1, 6),
        strategies.floats(0, 2),
    )
    def check(rate, service_s, wait_s):
        demand = model.Demand(rate, service_s, wait_s)
        slots = sizing.slots_needed(demand)
        naive_slots = 1
        while naive.late_share(demand, naive_slots) > sizing.LATE_SHARE:
            naive_slots += 1
        assert slots == naive_slots, (slots, naive_slots)

    check()


@then(
    "at a load of {load:d} slots both rules agree within {percent:d} percent"
)
def _rules_agree(context, load, percent):
    exact = sizing.slots_needed(model.Demand(load, 1.0, 0.0))
    approximate = load + 2 * math.sqrt(load)
    assert abs(exact - approximate) <= exact * percent / 100, (
        exact,
        approximate,
    )
