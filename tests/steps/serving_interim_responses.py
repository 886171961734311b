"""Steps for interim responses in tests/serving/caller_server.feature."""

import asyncio

from behave import given
from behave import then
from behave import when

from apricotlever.serving import attempt_outcome
from apricotlever.serving import caller_channel
from apricotlever.serving import caller_server

STREAM_CALL = b"GET /stream HTTP/1.1\r\nHost: h\r\n\r\n"
NEXT_HEAD = (
    b"POST /next HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\n"
    b"Expect: 100-continue\r\n\r\n"
)
CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"
#: Loop iterations in which everything that is ready has run.
ITERATIONS = 10


class _Transport:
    """Keeps the bytes that are written to it."""

    def __init__(self):
        self.written = b""

    def write(self, data):
        self.written += data

    def is_closing(self):
        """Return False, as it never closes."""
        return False

    def get_extra_info(self, name):
        """Return None, as there is no socket."""

    def set_write_buffer_limits(self, high):
        """Do nothing, as the write buffer never fills."""

    def get_write_buffer_size(self):
        """Return 0, as all bytes are sent."""
        return 0


async def _settle():
    for _ in range(ITERATIONS):
        await asyncio.sleep(0)


async def _play(context):
    ends = asyncio.Event()

    async def handler(raw, reply):
        reply.start_stream(200, ())
        reply.send_chunk(b"one")
        await ends.wait()
        reply.send_chunk(b"two")
        reply.finish(attempt_outcome.StreamEnd(None))

    channel = caller_channel.CallerChannel(caller_server.CallerServer(handler))
    context.transport = _Transport()
    channel.connection_made(context.transport)
    channel.data_received(STREAM_CALL)
    await _settle()
    for step in context.steps:
        step(channel, ends)
        await _settle()


@given("a caller that reads a stream")
def _reads(context):
    context.steps = []


@when("it sends the head of a call that expects to be asked for its body")
def _sends(context):
    context.steps.append(
        lambda channel, ends: channel.data_received(NEXT_HEAD)
    )


@when("the stream ends after another event")
def _ends(context):
    context.steps.append(lambda channel, ends: ends.set())


@then("the caller gets both events, the end, and is asked for the body")
def _check(context):
    asyncio.run(_play(context))
    _, _, body = context.transport.written.partition(b"\r\n\r\n")
    expected = b"3\r\none\r\n3\r\ntwo\r\n0\r\n\r\n" + CONTINUE
    assert body == expected, body
