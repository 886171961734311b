"""Steps for tests/vms/caller_memory.feature."""

import asyncio

from behave import given
from behave import then
from behave import when

from apricotlever.serving import caller_channel
from apricotlever.serving import caller_server
from apricotlever.serving import configuration_model
from apricotlever.vms import caller_memory

KB = 1000


class _Connection:
    """A connection that holds some memory."""

    def __init__(self, memory, held):
        self.memory = memory
        self.held_bytes = held
        self.first = held
        self.stage = caller_memory.Stage.UNFINISHED
        memory.add(self)
        memory.change(held)

    def give_way(self):
        """Free what it holds."""
        self.memory.change(-self.held_bytes)
        self.held_bytes = 0


@given("a machine of {size:d} MB, of which callers may hold {limit:d}")
def _machine(context, size, limit):
    context.memory = caller_memory.CallerMemory(size * KB * KB)
    assert context.memory.limit == limit * KB * KB


@when("connections hold {sizes} KB of calls not read to their end")
def _hold(context, sizes):
    context.connections = [
        _Connection(context.memory, int(size) * KB) for size in sizes.split()
    ]


@when("calls that hold {size:d} KB are being answered")
def _answered(context, size):
    context.memory.change(size * KB)


@when("a call of {size:d} KB is read to its end")
def _read(context, size):
    context.admitted = context.memory.admits(size * KB)


@then("that call is admitted")
def _is_admitted(context):
    assert context.admitted


@then("the connections of {size:d} KB alone have given way")
def _gave_way(context, size):
    gone = [c.first for c in context.connections if not c.held_bytes]
    assert set(gone) == {size * KB}, gone


@then("a call of {size:d} KB is refused")
def _refused(context, size):
    assert not context.memory.admits(size * KB)


@then("a call of {size:d} KB is admitted")
def _admitted(context, size):
    assert context.memory.admits(size * KB)


CALL = b"POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 9000\r\n\r\n"
RESPONSE_BYTES = 1_000_000
SWEEPS_PER_S = 2


class _Transport:
    """A transport whose caller takes what a test says."""

    def __init__(self):
        self.unsent = 0
        self.closed = False

    def write(self, data):
        """Buffer bytes."""

    def close(self):
        """Record the close."""
        self.closed = True

    abort = close

    def pause_reading(self):
        """Do nothing, as the test sends all at once."""

    resume_reading = pause_reading

    def is_closing(self):
        """Whether the connection is closed."""
        return self.closed

    def get_extra_info(self, name):
        """Return None, as there is no socket."""

    def set_write_buffer_limits(self, high):
        """Do nothing."""

    def get_write_buffer_size(self):
        """What the caller has not taken."""
        return self.unsent


async def _leave(memory, calls, when):
    async def handler(raw, reply):
        await asyncio.sleep(0)
        reply.send_whole(200, ())

    server = caller_server.CallerServer(handler, memory)
    channel = caller_channel.CallerChannel(server)
    channel.connection_made(_Transport())
    channel.data_received((CALL + bytes(9000)) * calls)
    turns = {"at once": 0, "after the call began": 1}.get(when, 10 * calls)
    for _ in range(turns):
        await asyncio.sleep(0)
    channel.connection_lost(None)
    for _ in range(10):
        await asyncio.sleep(0)


@when("a connection brings {calls:d} calls with bodies, and ends {moment}")
def _leaves(context, calls, moment):
    context.memory = caller_memory.CallerMemory(10 * KB * KB)
    asyncio.run(_leave(context.memory, calls, moment))


@then("callers hold nothing")
def _nothing(context):
    assert context.memory.used == 0, context.memory.used


async def _take(taken):
    async def handler(raw, reply):
        reply.send_whole(200, ())

    channel = caller_channel.CallerChannel(caller_server.CallerServer(handler))
    transport = _Transport()
    channel.connection_made(transport)
    transport.unsent = RESPONSE_BYTES
    channel.write(b"")
    channel.pause_writing()
    now = asyncio.get_running_loop().time()
    limits = configuration_model.CallerLimits()
    for sweep in range(30 * SWEEPS_PER_S):
        transport.unsent -= taken // SWEEPS_PER_S
        channel.sweep(now + sweep / SWEEPS_PER_S, limits)
    return "reset" if transport.closed else "still there"


@when("a large response is taken at {taken:d} bytes a second")
def _takes(context, taken):
    context.result = asyncio.run(_take(taken))


@then("its connection is {result} after 30 s")
def _is(context, result):
    assert context.result == result, context.result
