"""Steps for tests/serving/out_of_step.feature."""

import asyncio

from behave import then
from behave import when

from soak import rejoin_play
from soak import skew_play


@when("{count:d} streams are taken up at VMs that are out of step: {way}")
def _taken_up(context, count, way):
    assert count == rejoin_play.STREAMS
    context.play = skew_play.Play(way)
    asyncio.run(context.play.run())
    assert context.play.began == count, context.play.result
    assert context.play.resumed, context.play.result


@then("all of them are whole")
def _whole(context):
    play = context.play
    assert play.whole == play.began, play.result
