"""Steps for tests/serving/mixed_answers.feature."""

import asyncio

from behave import then
from behave import when

from apricotlever.serving import client_channel
from tests.serving import runner_standin

HOST = "127.0.0.1"
UPLOAD_BYTES = 3 * 1024 * 1024
#: Time from the end of the body to the reset, in seconds.
RESET_AFTER_S = 0.05
TIMEOUT_S = 5.0


async def _read(handler, upload_bytes):
    """Send a request to a runner, and read its answer.

    :returns: "complete", or "no answer".
    """
    writers = []

    async def serve(reader, writer):
        writers.append(writer)
        await handler(reader, writer)

    server = await asyncio.start_server(serve, HOST, 0)
    port = server.sockets[0].getsockname()[1]
    loop = asyncio.get_running_loop()
    _, channel = await loop.create_connection(
        lambda: client_channel.Channel(loop), HOST, port
    )
    head = b"POST / HTTP/1.1\r\nContent-Length: %d\r\n\r\n" % upload_bytes
    try:
        async with asyncio.timeout(TIMEOUT_S):
            channel.send(head + bytes(upload_bytes), None)
            await channel.read_head()
            while await channel.read_chunk() is not None:
                pass
        return "complete"
    except client_channel.Broken:
        return "no answer"
    finally:
        channel.close()
        server.close()
        for writer in writers:
            writer.transport.abort()
        await asyncio.sleep(0)


@when("a runner ends a body without a length {end} of 3 MiB")
def _ends(context, end):
    async def answer(reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        if end.startswith("after"):
            await reader.readexactly(UPLOAD_BYTES)
        else:
            writer.transport.pause_reading()
        writer.write(b"HTTP/1.1 200 OK\r\nSigned: yes\r\n\r\na part")
        writer.write_eof()
        await asyncio.sleep(RESET_AFTER_S)
        if "resets" in end:
            runner_standin.reset(writer)

    context.result = asyncio.run(_read(answer, UPLOAD_BYTES))


@when("a runner answers with the status {status}")
def _answers(context, status):
    async def answer(reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        writer.write(
            f"HTTP/1.1 {status} X\r\nContent-Length: 2\r\n\r\nok".encode()
        )
        await writer.drain()

    context.result = asyncio.run(_read(answer, 0))


@then("the answer is {result}")
def _is(context, result):
    assert context.result == result, context.result
