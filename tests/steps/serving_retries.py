"""Steps for tests/serving/retries.feature."""

import asyncio

from behave import then
from behave import when

from soak import retry_play


@when(
    "runners lose most answers, and all VMs are killed five times within 8 s"
)
def _kill_all(context):
    context.play = retry_play.Play(retry_play.Hits(5))
    asyncio.run(context.play.run())


@then("no ten seconds bring more retries to the runners than the limit")
def _within_limit(context):
    worst = context.play.worst
    assert not worst.is_violation, (worst.repeats, worst.allowed)
