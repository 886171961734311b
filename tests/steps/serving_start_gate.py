"""Steps for tests/serving/start_gate.feature."""

import asyncio

from behave import given
from behave import then
from behave import when

from apricotlever import addresses
from apricotlever.serving import caller_server
from apricotlever.serving import listening_sockets
from apricotlever.serving import start_gate

HOST = "127.0.0.1"
REQUEST = b"GET /x HTTP/1.1\r\nHost: h\r\n\r\n"
TIMEOUT_S = 10.0


async def _handle(raw, reply):
    reply.send_whole(200, (), b"here")


@given("a listening port whose server has not started")
def _listen(context):
    context.sock = listening_sockets.ListeningSockets().take(
        addresses.Address(HOST, 0)
    )
    context.port = context.sock.getsockname()[1]


async def _send_request(context):
    reader, writer = await asyncio.open_connection(HOST, context.port)
    writer.write(REQUEST)
    await writer.drain()
    return reader, writer


async def _call_and_start(context, start):
    server = caller_server.CallerServer(_handle)
    reader, writer = await _send_request(context)
    await start(server)
    head = await asyncio.wait_for(reader.readuntil(b"\r\n\r\n"), TIMEOUT_S)
    context.answer = head + await reader.readexactly(4)
    writer.close()
    server.close()


@when("a call arrives and then the server starts")
def _start_server(context):
    asyncio.run(
        _call_and_start(context, lambda server: server.serve(context.sock))
    )


@when("a call arrives and then the VM becomes ready")
def _become_ready(context):
    async def start(server):
        gate = start_gate.StartGate()
        gate.add(server, context.sock)
        serving = asyncio.ensure_future(gate.serve(TIMEOUT_S))
        for _ in range(5):
            await asyncio.sleep(0.01)
        context.read_before = len(server.channels)
        gate.set_ready()
        assert await serving

    asyncio.run(_call_and_start(context, start))


@when("a call arrives and the VM does not become ready in time")
def _time_out(context):
    async def start(server):
        gate = start_gate.StartGate()
        gate.add(server, context.sock)
        assert not await gate.serve(0.01)

    asyncio.run(_call_and_start(context, start))


@then("the call was not read before the VM was ready")
def _check_not_read(context):
    assert context.read_before == 0


@then("the caller receives its response")
def _check_response(context):
    assert context.answer.startswith(b"HTTP/1.1 200"), context.answer
    assert context.answer.endswith(b"here"), context.answer
