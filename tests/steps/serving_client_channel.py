"""Steps for tests/serving/client_channel.feature."""

import asyncio
import socket
import time
from unittest import mock

from behave import given
from behave import then
from behave import when

from apricotlever.serving import client_channel

HOST = "127.0.0.1"


@given("a port that accepts connections")
def _accepting_port(context):
    listener = socket.create_server((HOST, 0))
    context.closers.append(listener.close)
    context.port = listener.getsockname()[1]


@given("a port at which no connection opens")
def _silent_port(context):
    async def never_opens(*args, **kwargs):
        await asyncio.Event().wait()

    patch = mock.patch.object(
        asyncio.BaseEventLoop, "create_connection", never_opens
    )
    patch.start()
    context.closers.append(patch.stop)
    context.port = 1


@when("the process connects within {limit:g} s")
def _connect(context, limit):
    _connect_paused(context, 0.0, limit)


@when(
    "the process is paused for {pause:g} s while it connects within "
    "{limit:g} s"
)
def _connect_paused(context, pause, limit):
    async def work():
        asyncio.get_running_loop().call_soon(time.sleep, pause)
        began = time.monotonic()
        try:
            channel = await client_channel.connect(HOST, context.port, limit)
        except client_channel.NotConnected as error:
            context.outcome = str(error)
        else:
            context.outcome = "open"
            channel.close()
        context.lasted_s = time.monotonic() - began

    asyncio.run(work())


@then("the connection is open")
def _open(context):
    assert context.outcome == "open", context.outcome


@then("it gives up with {error} after {least:g} to {most:g} s")
def _given_up(context, error, least, most):
    assert error in context.outcome, context.outcome
    assert least <= context.lasted_s <= most, context.lasted_s
