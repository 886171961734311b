"""Steps for tests/serving/runner_rests.feature."""

from behave import given
from behave import then

#: A VM must keep a rest from this time after it was turned away.
KEPT_AFTER_S = 0.5


@given(
    "runner {number:d} {behaviour} and asks for a rest of {rest_s:g} seconds"
)
def _ask_for_rest(context, number, behaviour, rest_s):
    runner = context.fleet.runners[number - 1]
    runner.behaviour_names = behaviour.split(", then ")
    runner.statements = [f"Rest-S: {rest_s:g}"]
    context.rest_s = rest_s


def _calls_in_rests(context):
    """The calls of each VM in each rest that a runner asked it for."""
    return [
        sum(
            since + KEPT_AFTER_S < at < since + context.rest_s
            for at in runner.arrived_from[vm]
        )
        for runner in context.fleet.runners
        for vm, times in runner.turned_away.items()
        for since in times
    ]


@then(
    "no VM sends them more than {most:d} calls in a rest, from half a second "
    "on"
)
def _check_rests(context, most):
    found = _calls_in_rests(context)
    assert found and max(found) <= most, max(found, default=None)
