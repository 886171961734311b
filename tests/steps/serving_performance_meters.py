"""Steps for tests/serving/performance_meters.feature."""

import asyncio

from apricotlever.runners import performance_samples
from behave import then
from behave import when


@when("{count:d} calls are timed")
def _timed(context, count):
    async def send():
        for number in range(count):
            await context.world.call(call_id=f"timed-{number}")

    context.loop.run(asyncio.wait_for(send(), 10.0))


@then("{paces:d} paces and {plain:d} plain answers were recorded")
def _recorded(context, paces, plain):
    # The first answers of a route, over five, give the mean that others are
    # compared with.
    learned = context.world.upstreams.performance.performance
    topic = performance_samples.RUNNER_TOPIC
    counts = learned.take_samples().get(topic, {}).get("runner-1", [0] * 6)
    assert counts[2::2] == [paces, plain], counts
