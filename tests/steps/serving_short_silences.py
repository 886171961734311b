"""Steps for tests/serving/short_silences.feature."""

import asyncio

from behave import then
from behave import when

WAIT_S = 10.0
CHECK_INTERVAL_S = 0.05
MAX_CALLS = 30


@when("a call is made and the runners that are reported are recorded")
def _call_and_record(context):
    async def work():
        answer = asyncio.ensure_future(context.world.call())
        while not answer.done():
            context.reported.update(
                context.world.upstreams._observations.silence.silent_for_long
            )
            await asyncio.wait({answer}, timeout=CHECK_INTERVAL_S)
        return answer.result()

    context.reported = set()
    context.replies = [context.loop.run(asyncio.wait_for(work(), WAIT_S))]


@when("calls are made until runner 1 ran one")
def _call_until_run(context):
    async def work():
        world = context.world
        for number in range(MAX_CALLS):
            reply = await world.call(call_id=f"call-{number}")
            if world.standins[0].executed_call_ids:
                return reply
        raise AssertionError("runner 1 got no call")

    context.replies = [context.loop.run(asyncio.wait_for(work(), WAIT_S))]


@then("the response is complete")
def _check_complete(context):
    assert context.replies[-1].complete


@then("no runner was reported or counted as failing")
def _check_not_blamed(context):
    assert not context.reported, context.reported
    counts = context.world.upstreams.outcome_counts
    failures = {name: failed for name, (failed, _) in counts.items() if failed}
    assert not failures, failures
