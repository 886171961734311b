"""Steps for tests/serving/runner_rests.feature."""

import asyncio

from behave import given
from behave import then
from behave import when

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


@when("VM {number:d} gets a call")
def _call(context, number):
    async def call():
        context.fleet.replies.clear()
        await context.fleet.call_at(number - 1)

    context.loop.run(call())


@when("{seconds:g} seconds pass")
def _pass(context, seconds):
    context.loop.run(asyncio.sleep(seconds))


@then("the call is answered")
def _check_answered(context):
    assert context.fleet.replies[0].status == 200


@then(
    "the call is refused within {seconds:g} seconds, to return after "
    "{least:g} to {most:g} seconds"
)
def _check_refused(context, seconds, least, most):
    reply = context.fleet.replies[0]
    assert reply.status == 503 and reply.took_s <= seconds, reply.took_s
    retry_after_s = float(reply.headers["retry-after"])
    assert least <= retry_after_s <= most, retry_after_s


@then("VM {number:d} has counted no failure of runner {runner:d}")
def _check_no_failure(context, number, runner):
    vm = context.fleet.vms[number - 1]
    counts = vm.upstreams.outcome_counts
    assert counts.get(f"runner-{runner}", (0, 0))[0] == 0, counts
