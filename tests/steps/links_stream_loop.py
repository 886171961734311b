"""Steps for tests/links/stream_loop.feature."""

from concurrent import futures
import socket
import time

from behave import given
from behave import then
from behave import when

from apricotlever import clock
from apricotlever.links import stream_loop
from apricotlever.links import upstreams

WAIT_S = 10.0


@given("a stream loop with a patience of {patience_s:f} s")
def _loop(context, patience_s):
    context.loop = stream_loop.StreamLoop(clock.SystemClock())
    context.runner, mine = socket.socketpair()
    context.heard = []
    context.hold_s = 0.0
    pool = futures.ThreadPoolExecutor(1)
    pool.submit(context.loop.run)
    context.closers.append(pool.shutdown)
    context.closers.append(context.loop.stop)

    def take(data):
        context.heard.append(data)
        hold_s, context.hold_s = context.hold_s, 0.0
        time.sleep(hold_s)
        return data.endswith(b"end")

    context.reading = context.loop.read(mine, "runner", patience_s, take)


@when("the runner sends, and the loop is held up for {seconds:f} s")
def _held_up(context, seconds):
    context.hold_s = seconds
    context.runner.sendall(b"one")
    while not context.heard:
        time.sleep(0.01)
    context.runner.sendall(b"two")
    time.sleep(seconds)


@when("the runner sends nothing")
def _nothing(context):
    """The stream stays open."""


@then("the loop's stream goes on")
def _goes_on(context):
    context.runner.sendall(b"end")
    context.reading.result(WAIT_S)
    assert b"".join(context.heard) == b"onetwoend", context.heard


@then("the loop's stream ends as silent")
def _silent(context):
    error = context.reading.exception(WAIT_S)
    assert isinstance(error, upstreams.Silent), error
