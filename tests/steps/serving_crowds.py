"""Steps for tests/serving/crowds.feature."""

import asyncio

from behave import then
from behave import when

from soak import crowd_play


@when(
    "a crowd connects to a VM of {memory:d} MB and {descriptors:d}"
    " descriptors: {crowd}"
)
def _connects(context, memory, descriptors, crowd):
    assert memory == crowd_play.MEMORY_MB
    assert descriptors == crowd_play.MAX_DESCRIPTORS
    context.play = crowd_play.Play(crowd)
    asyncio.run(context.play.run())


@then("the VM's process lives, within its memory and descriptors")
def _lives(context):
    play = context.play
    assert play.lived, play.result
    assert play.memory_mb <= crowd_play.MEMORY_MB, play.result
    assert play.descriptors <= crowd_play.MAX_DESCRIPTORS, play.result


@then("an ordinary call is answered beside the crowd and after it")
def _answered(context):
    play = context.play
    assert play.served_beside, play.result
    assert play.served_after, play.result


@then("the crowd's request is served")
def _served(context):
    play = context.play
    assert play.first_answer.split()[1:2] == [b"200"], play.result
