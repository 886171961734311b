"""Steps for tests/serving/silent_connections.feature."""

import asyncio
import socket
import time

from behave import then
from behave import when

WAIT_S = 10.0


@when("a call is made and timed")
def _call_timed(context):
    started_at = time.monotonic()
    context.replies = [
        context.loop.run(asyncio.wait_for(context.world.call(), WAIT_S))
    ]
    context.seconds = time.monotonic() - started_at


@then("it ends after {low:f} to {high:f} seconds")
def _check_time(context, low, high):
    assert low <= context.seconds <= high, context.seconds


def _runner_sockets(world):
    for runner in world.directory.runners:
        for channel in world.upstreams.pool(runner)._open:
            yield channel._transport.get_extra_info("socket")


@then("no connection to a runner is probed")
def _check_not_probed(context):
    sockets = list(_runner_sockets(context.world))
    assert sockets
    probed = [
        sock.getsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE)
        for sock in sockets
    ]
    assert not any(probed), probed


@then("no call is suspected of a crash")
def _check_not_suspected(context):
    blocklist = context.world.upstreams.crashes._blocklist
    assert not blocklist._broken_calls, blocklist._broken_calls
