"""Steps for unsent responses in tests/serving/caller_server.feature."""

import asyncio

from behave import given
from behave import then
from behave import when

from apricotlever.serving import caller_server

HOST = "127.0.0.1"
#: More than the buffers of two sockets.
BODY = bytes(16_000_000)
CALL = b"GET / HTTP/1.1\r\nHost: h\r\n\r\n"
TIMEOUT_S = 10.0
POLL_S = 0.01


async def _play(context):
    answered = asyncio.Event()

    async def handler(raw, reply):
        reply.send_whole(200, (), BODY)
        answered.set()

    server = caller_server.CallerServer(handler)
    port = await server.listen(HOST, 0)
    reader, writer = await asyncio.open_connection(HOST, port)
    writer.write(CALL)
    await answered.wait()
    # The task that answers the call ends.
    await asyncio.sleep(0)
    context.busy_before = server.busy
    await reader.readuntil(b"\r\n\r\n")
    context.received = await reader.readexactly(len(BODY))
    while server.busy:
        await asyncio.sleep(POLL_S)
    writer.close()
    server.close()


@given("a server that answers with more than the network holds")
def _server(context):
    context.received = b""


@when("a caller doesn't read until its call is answered")
def _call(context):
    asyncio.run(asyncio.wait_for(_play(context), TIMEOUT_S))


@then("its connection is busy")
def _check_busy(context):
    assert context.busy_before == 1, context.busy_before


@then("is no longer busy once the caller has read the whole response")
def _check_idle(context):
    assert context.received == BODY
