"""Steps for tests/serving/rejoined_streams.feature."""

import asyncio

from behave import then
from behave import when

from soak import rejoin_play


@when("{count:d} streams are taken up again after all VMs were killed: {way}")
def _taken_up(context, count, way):
    assert count == rejoin_play.STREAMS
    context.play = rejoin_play.Play(rejoin_play.WAYS[way])
    asyncio.run(context.play.run())
    assert context.play.resumed > count // 2, context.play.resumed


@then("at most two of them hold events of two versions")
def _not_joined(context):
    assert context.play.joined <= 2, context.play.joined


@then("at least half of those taken up again are whole")
def _whole(context):
    play = context.play
    assert 2 * play.whole >= play.resumed, (play.whole, play.resumed)
