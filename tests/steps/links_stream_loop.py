"""Steps for tests/links/stream_loop.feature."""

from concurrent import futures
import socket
import time

from behave import given
from behave import then
from behave import when

from apricotlever import clock
from apricotlever.links import stream_loop
from apricotlever.links import upstream_exchange

RESULT_TIMEOUT_S = 10.0


@given("a stream loop with an idle timeout of {idle_timeout_s:f} s")
def _start_loop(context, idle_timeout_s):
    context.loop = stream_loop.StreamLoop(clock.SystemClock())
    context.runner, loop_socket = socket.socketpair()
    context.received = []
    context.hold_s = 0.0
    pool = futures.ThreadPoolExecutor(1)
    pool.submit(context.loop.run)
    context.closers.append(pool.shutdown)
    context.closers.append(context.loop.stop)

    def on_data(data):
        context.received.append(data)
        hold_s, context.hold_s = context.hold_s, 0.0
        time.sleep(hold_s)
        return data.endswith(b"end")

    context.stream = context.loop.read(
        loop_socket, "runner", idle_timeout_s, on_data
    )


@when("the runner sends, and the loop is held up for {seconds:f} s")
def _hold_up_loop(context, seconds):
    context.hold_s = seconds
    context.runner.sendall(b"one")
    while not context.received:
        time.sleep(0.01)
    context.runner.sendall(b"two")
    time.sleep(seconds)


@when("the runner sends nothing")
def _send_nothing(context):
    """Leave the stream open without data."""


@then("the loop's stream is read to its end")
def _read_to_end(context):
    context.runner.sendall(b"end")
    context.stream.result(RESULT_TIMEOUT_S)
    assert b"".join(context.received) == b"onetwoend", context.received


@then("the loop's stream ends with a timeout")
def _times_out(context):
    error = context.stream.exception(RESULT_TIMEOUT_S)
    assert isinstance(error, upstream_exchange.UpstreamTimeout), error
