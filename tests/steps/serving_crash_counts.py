"""Steps for tests/serving/crash_counts.feature."""

import asyncio

from behave import then
from behave import when

from soak import crash_play

#: Calls with the part come every 5 s: six of them.
PLAY_S = 27.0
HITS = 6


@when(
    "one prompt part crashes runners, and all VMs are killed after each crash"
)
def _killed(context):
    context.play = crash_play.Play(crash_play.Hits(HITS), PLAY_S)
    asyncio.run(context.play.run())
    assert context.play.crashes


@then(
    "at most three calls with the part reach runners later than 3 s after the "
    "fifth crash"
)
def _kept_away(context):
    assert not context.play.violations, context.play.violations
