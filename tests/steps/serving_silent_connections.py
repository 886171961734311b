"""Steps for tests/serving/silent_connections.feature."""

import asyncio
import socket
import time
from unittest import mock

from behave import given
from behave import then
from behave import when

from apricotlever import socket_options
from tests.serving import packet_filter

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


@given("callers are given up after {seconds:d} seconds of silence")
def _shorten(context, seconds):
    short = socket_options.KeepAlive(seconds - 1, 1, 1)
    patch = mock.patch.object(socket_options, "CALLERS", short)
    patch.start()
    context.closers.append(patch.stop)


@when("a caller makes a call and goes silent for good")
def _call_and_go_silent(context):
    async def work():
        world = context.world
        await world.send()
        while not world.standins[0].executed_call_ids:
            await asyncio.sleep(0.01)
        sock = world.connection[1].get_extra_info("socket")
        packet_filter.drop_received(sock)

    context.loop.run(asyncio.wait_for(work(), WAIT_S))
    context.silent_since = time.monotonic()


@then("it was closed within {seconds:d} seconds")
def _check_closed_within(context, seconds):
    assert time.monotonic() - context.silent_since < seconds
