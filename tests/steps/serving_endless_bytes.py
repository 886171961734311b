"""Steps for tests/serving/endless_bytes.feature."""

import asyncio
import itertools
import time
import tracemalloc
from unittest import mock

from behave import given
from behave import then
from behave import when

from apricotlever.serving import client_channel
from apricotlever.serving import connection_pool
from tests.serving import request_path
from tests.serving import runner_standin

#: More than any reader may take, in bytes.
MOST_BYTES = 60000000
DRIP_S = 0.5
HOST = "127.0.0.1"
#: What a caller sends without end, as in the stand-in for a runner.
ENDLESS_REQUESTS = {
    "lines of a head": (b"", b"X: aaaaaaaaaaaaaaaaaa\r\n"),
    "a chunk extension": (
        b"Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n2;",
        b"a" * 100,
    ),
    "trailers": (
        b"Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n",
        b"X: y\r\n",
    ),
}


class _Loop:
    """The parts of an event loop that a connection uses."""

    now = 0.0

    def time(self):
        """Return the simulated time in seconds."""
        return self.now

    def create_future(self):
        """Return a future that nobody waits for."""
        return mock.Mock()


@given("a connection that waits for a response")
def _waiting(context):
    context.loop_standin = _Loop()
    context.channel = channel = client_channel.Channel(context.loop_standin)
    transport = mock.Mock()
    transport.is_closing.return_value = False
    transport.get_extra_info.return_value = None
    channel.connection_made(transport)

    def is_own(status, headers):
        return (b"Call-Id", b"of-another") not in headers

    channel.send(b"GET / HTTP/1.1\r\n\r\n", is_own)


def _stream_of(what):
    """The bytes that come first, and those that come over and over."""
    if what in runner_standin.ENDLESS:
        return runner_standin.ENDLESS[what]
    first, repeated = runner_standin.ENDLESS_BODIES[what]
    head = b"HTTP/1.1 200 X\r\nTransfer-Encoding: chunked\r\n\r\n"
    return head + first, repeated


@when("{what} come without end, in pieces of {size:d} bytes")
def _send_endless(context, what, size):
    first, repeated = _stream_of(what)
    channel = context.channel
    piece = repeated * (1 + size // len(repeated))
    tracemalloc.start()
    channel.data_received(first)
    context.sent = len(first)
    while channel.open and context.sent < MOST_BYTES:
        # What comes is cut at any byte.
        start = context.sent % len(repeated)
        data = piece[start : start + size]
        channel.data_received(data)
        context.sent += len(data)
        channel.read_buffered()
    context.kept = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()


@then(
    "it fails after at most {most:d} bytes, with at most {kept:d} bytes kept"
)
def _check_bounds(context, most, kept):
    assert not context.channel.open
    assert context.sent <= most, context.sent
    assert context.kept <= kept, context.kept


@when("{what} come without end, a byte each {pause_s:g} seconds")
def _drip(context, what, pause_s):
    first, repeated = _stream_of(what)
    channel = context.channel
    channel.data_received(first)
    for byte in itertools.cycle(repeated):
        context.loop_standin.now += pause_s
        channel.data_received(bytes([byte]))
        if not channel.open or context.loop_standin.now > 60.0:
            return


@then("it fails within {seconds:d} seconds")
def _check_soon(context, seconds):
    assert not context.channel.open
    assert context.loop_standin.now <= seconds, context.loop_standin.now


_HEAD = b"HTTP/1.1 200 X\r\n"
_CHUNKED = _HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
#: Sound responses, with their bodies.
SOUND = {
    "200 fields of 200 bytes": (
        _HEAD
        + b"".join(b"X-%d: %b\r\n" % (n, b"a" * 200) for n in range(200))
        + b"Content-Length: 2\r\n\r\nok",
        b"ok",
    ),
    "100000 chunks of 1 byte": (
        _CHUNKED + b"1\r\na\r\n" * 100000 + b"0\r\n\r\n",
        b"a" * 100000,
    ),
    "a chunk of 4000000 bytes": (
        _CHUNKED + b"3d0900\r\n" + b"a" * 4000000 + b"\r\n0\r\n\r\n",
        b"a" * 4000000,
    ),
    "three interim heads": (
        b"HTTP/1.1 102 X\r\n\r\n" * 3 + _HEAD + b"Content-Length: 2\r\n\r\nok",
        b"ok",
    ),
    "ten trailers": (
        _CHUNKED + b"2\r\nok\r\n0\r\n" + b"X: y\r\n" * 10 + b"\r\n",
        b"ok",
    ),
}


@when("a response comes with {what}, in pieces of {size:d} bytes")
def _send_sound(context, what, size):
    sent, context.wanted = SOUND[what]
    context.body = b""
    for start in range(0, len(sent), size):
        context.channel.data_received(sent[start : start + size])
        context.body += context.channel.read_buffered()


@then("it is whole")
def _check_whole(context):
    assert context.channel.open
    assert context.body == context.wanted
    assert context.channel.body_end is client_channel.BodyEnd.FRAMED


@when("a call is made and a runner that answers joins after it was sent")
def _call_and_add(context):
    async def work():
        started_at = time.monotonic()
        await context.world.send()
        await context.world.add_runner(["answers"])
        context.world.upstreams.refresh()
        reply = await context.world.receive()
        context.took_s = time.monotonic() - started_at
        return reply

    context.replies = [context.loop.run(asyncio.wait_for(work(), 20.0))]


@then("the call is answered within {seconds:d} seconds")
def _check_answered(context, seconds):
    assert context.replies[0].status == 200, context.replies[0].status
    assert context.took_s <= seconds, context.took_s


@when("without end a caller sends {what}")
def _send_request(context, what):
    first, repeated = ENDLESS_REQUESTS[what]
    piece = repeated * (1 + 20000 // len(repeated))

    async def work():
        reader, writer = await asyncio.open_connection(
            HOST, context.world.port
        )
        writer.write(
            f"POST /s/x HTTP/1.1\r\nHost: {request_path.HOST}\r\n"
            f"Call-Id: call-1\r\nKey: {request_path.KEY}\r\n".encode() + first
        )
        context.sent = 0
        try:
            while context.sent < MOST_BYTES:
                writer.write(piece)
                context.sent += len(piece)
                await writer.drain()
                await asyncio.sleep(0)
        except ConnectionError:
            return
        finally:
            writer.close()

    context.loop.run(asyncio.wait_for(work(), 20.0))


@then("the caller's connection is closed after at most {most:d} bytes")
def _check_request(context, most):
    assert context.sent <= most, context.sent


@given("a server that sends a body without end")
def _endless_server(context):
    async def serve(reader, writer):
        writer.write(_CHUNKED)
        try:
            while True:
                writer.write(b"2710\r\n" + b"a" * 10000 + b"\r\n")
                await writer.drain()
        except ConnectionError:
            return

    context.serve = serve


@when("it is called")
def _call_server(context):
    async def work():
        server = await asyncio.start_server(context.serve, HOST, 0)
        port = server.sockets[0].getsockname()[1]
        pool = connection_pool.ConnectionPool(HOST, port)
        request = connection_pool.encode_request("GET", "/", HOST)
        started_at = time.monotonic()
        context.error = None
        try:
            await connection_pool.exchange(pool, request, 20.0)
        except (client_channel.Broken, TimeoutError) as error:
            context.error = error
        context.took_s = time.monotonic() - started_at
        server.close()

    asyncio.run(work())


@then("the call to the server fails within {seconds:d} seconds")
def _check_call(context, seconds):
    assert isinstance(context.error, client_channel.Broken), context.error
    assert context.took_s <= seconds, context.took_s


@when("a stream is begun and a runner that streams joins after it was sent")
def _stream_and_add(context):
    async def work():
        started_at = time.monotonic()
        await context.world.send()
        await context.world.add_runner(["streams"])
        context.world.upstreams.refresh()
        reply = await context.world.receive()
        context.took_s = time.monotonic() - started_at
        return reply

    context.replies = [context.loop.run(asyncio.wait_for(work(), 20.0))]


@then("the stream took at most {seconds:d} seconds")
def _check_stream_time(context, seconds):
    assert context.took_s <= seconds, context.took_s
