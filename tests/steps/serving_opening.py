"""Steps for tests/serving/opening.feature."""

import asyncio

from behave import given
from behave import then
from behave import when

from apricotlever import addresses
from apricotlever.serving import callers
from apricotlever.serving import opening
from apricotlever.serving import ports

HOST = "127.0.0.1"
CALL = b"GET /x HTTP/1.1\r\nHost: h\r\n\r\n"
WAIT_S = 10.0


async def _answer(raw, reply):
    reply.whole(200, (), b"here")


@given("a port that listens before its server has started")
def _port(context):
    context.sock = ports.Ports().take(addresses.Address(HOST, 0))
    context.port = context.sock.getsockname()[1]


async def _call(context):
    reader, writer = await asyncio.open_connection(HOST, context.port)
    writer.write(CALL)
    await writer.drain()
    return reader, writer


async def _play(context, start):
    server = callers.CallerServer(_answer)
    reader, writer = await _call(context)
    await start(server)
    head = await asyncio.wait_for(reader.readuntil(b"\r\n\r\n"), WAIT_S)
    context.answer = head + await reader.readexactly(4)
    writer.close()
    server.close()


@when("a caller sends a call, and the server starts then")
def _starts(context):
    asyncio.run(_play(context, lambda server: server.serve(context.sock)))


@when("a caller sends a call, and the VM is informed then")
def _informed(context):
    async def start(server):
        gate = opening.Opening()
        gate.add(server, context.sock)
        serving = asyncio.ensure_future(gate.serve(WAIT_S))
        for _ in range(5):
            await asyncio.sleep(0.01)
        context.read_before = len(server.channels)
        gate.informed()
        assert await serving

    asyncio.run(_play(context, start))


@when("a caller sends a call, and the VM is not informed in time")
def _not_informed(context):
    async def start(server):
        gate = opening.Opening()
        gate.add(server, context.sock)
        assert not await gate.serve(0.01)

    asyncio.run(_play(context, start))


@then("the call was not read before")
def _not_read(context):
    assert context.read_before == 0


@then("the caller has its answer")
def _has(context):
    assert context.answer.startswith(b"HTTP/1.1 200"), context.answer
    assert context.answer.endswith(b"here"), context.answer
