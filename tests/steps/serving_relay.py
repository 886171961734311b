"""Steps for the features in tests/serving."""

import asyncio
import re

from behave import given
from behave import then
from behave import when

from apricotlever import clock as clocks
from apricotlever.serving import limits
from apricotlever.serving import routes
from tests.serving import world as worlds

KINDS = {
    "idempotent calls": (routes.CallKind.IDEMPOTENT, {}),
    "non-idempotent calls": (routes.CallKind.NON_IDEMPOTENT, {}),
    "streams": (routes.CallKind.STREAM, {}),
    "resumable streams": (routes.CallKind.STREAM, {"resumable": True}),
}
WAIT_S = 10.0
#: More than one event takes; a reader's buffer holds twice as much.
EVENT_BYTES = 16384


def _run(context, work):
    return context.loop.run(asyncio.wait_for(work, WAIT_S))


def _world(context):
    if not hasattr(context, "world"):
        context.loop = asyncio.Runner()
        context.world = worlds.World()
        _run(context, context.world.start())
        context.closers.append(context.loop.close)
        context.closers.append(lambda: _run(context, context.world.stop()))
    return context.world


def _configure(context, kind, **more):
    call_kind, extra = KINDS[kind]
    _world(context).configure(call_kind, **extra, **more)


@given("a route for {kind}")
def _route(context, kind):
    seconds = re.search(r" with a timeout of ([0-9.]+) seconds", kind)
    attempts = re.search(r" with (\d+) attempts", kind)
    rate = re.search(r" with 1 call in (\d+) seconds", kind)
    more = {}
    if seconds:
        more["timeout_s"] = float(seconds[1])
        more["objective_s"] = float(seconds[1]) / 4
    if attempts:
        more["max_attempts"] = int(attempts[1])
    if rate:
        more["rate"] = 1.0 / int(rate[1])
    if " with small limits" in kind:
        more["limits"] = routes.CallerLimits(500, 1000, 0.3, 0.5)
    _configure(context, kind.partition(" with ")[0], **more)


@given("a runner that {names}")
def _runner(context, names):
    world = _world(context)
    standin = _run(context, _add(world, names))
    if names == "is not there":
        standin.stop()


async def _add(world, names):
    behaviours = (
        ["answers"] if names == "is not there" else names.split(", then ")
    )
    standin = await world.add_runner(behaviours)
    world.upstreams.refresh()
    return standin


@given(
    "the limits of a VM that hears {units:d} units let in for a new customer"
)
def _new_customer(context, units):
    context.clock = clocks.ManualClock(1000.0)
    context.limits = limits.Limits(context.clock, 640.0)
    context.limits.set_members(frozenset({"vm-2#1"}))
    # In its first second a process assumes others that it has not heard.
    context.clock.advance(2.0)
    context.units = float(units)
    context.limits.heard("vm-2#1", {"new": context.units})


@when(
    "the customer's limit of {units:d} units comes and the same is heard again"
)
def _limit_comes(context, units):
    context.customer = routes.Customer(
        "new", frozenset({"k"}), rate=0.001, burst=float(units)
    )
    configuration = routes.Configuration(
        2, [], [], [context.customer], routes.CallerLimits()
    )
    context.limits.configure(configuration)
    context.limits.heard("vm-2#1", {"new": context.units})
    context.limits.set_members(frozenset({"vm-2#1"}))


@then("{refused:d} units are refused there and {let_in:d} are let in")
def _some(context, refused, let_in):
    rate = context.limits.of(context.customer)
    assert rate.take(float(refused)) > 0.0
    assert rate.take(float(let_in)) == 0.0


@given("{count:d} runners that crash")
def _crashing(context, count):
    for _ in range(count):
        _run(context, _add(_world(context), "crashes"))


@when("{count:d} calls are made one after the other")
def _one_by_one(context, count):
    async def work():
        context.world.connection = None
        return await context.world.call(call_id=f"call-{number}")

    context.replies = []
    for number in range(count):
        context.replies.append(_run(context, work()))


@then("the last status is {status:d} with a time to come back")
def _last(context, status):
    _come_back(context, status)


@when("a call is made")
def _call(context):
    context.replies = [_run(context, _world(context).call())]


@when("a call is made that goes on after event {number:d}")
def _after(context, number):
    more = f"After: {number}\r\n"
    context.replies = [_run(context, context.world.call(more=more))]


@when("a call is made with a second sound runner behind it")
def _second(context):
    async def work():
        await context.world.send()
        await _add(context.world, "streams")
        return await context.world.receive()

    context.replies = [_run(context, work())]


@when("a call with {what} is made")
def _bad_call(context, what):
    more = {
        "an unknown key": {"key": "unheard-of"},
        "another path": {"path": "/elsewhere"},
    }[what]
    context.replies = [_run(context, context.world.call(**more))]


@when("{count:d} calls are made")
def _calls(context, count):
    context.replies = [
        _run(context, context.world.call(call_id=f"call-{n}"))
        for n in range(count)
    ]


@when("{count:d} calls are sent at once on one connection")
def _pipelined(context, count):
    async def work():
        for number in range(count):
            await context.world.send(call_id=f"call-{number}")
        return [await context.world.receive() for _ in range(count)]

    context.replies = _run(context, work())


@when("a caller makes a call and leaves")
def _leaves(context):
    async def work():
        await context.world.send()
        standin = context.world.standins[0]
        while not standin.ran:
            await asyncio.sleep(0.01)
        context.world.connection[1].close()

    _run(context, work())


@when("a caller sends a body in chunks")
def _chunks(context):
    head = (
        f"POST /s/x HTTP/1.1\r\nHost: {worlds.HOST}\r\nCall-Id: c\r\n"
        f"Key: {worlds.KEY}\r\nTransfer-Encoding: chunked\r\n\r\n"
    )
    _raw(context, head.encode() + b"6\r\nhello \r\n5\r\nworld\r\n0\r\n\r\n")


BYTES = {
    "no HTTP": b"hello there\r\n\r\n",
    "two lengths": (
        b"POST /s/x HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n"
        b"Content-Length: 6\r\n\r\nhello!"
    ),
    "a length and chunks": (
        b"POST /s/x HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n"
        b"Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n"
    ),
    "a head that is too long": (
        b"POST /s/x HTTP/1.1\r\nHost: h\r\nX: " + b"x" * 600 + b"\r\n\r\n"
    ),
    "a body that is too long": (
        b"POST /s/x HTTP/1.1\r\nHost: h\r\nContent-Length: 2000\r\n\r\n"
    ),
    "chunks that are too long": (
        b"POST /s/x HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n"
        b"\r\n7d0\r\n" + b"x" * 2000 + b"\r\n"
    ),
    "half a head and waits": b"POST /s/x HTTP/1.1\r\nHos",
}


@when("a caller sends {name}")
def _sends(context, name):
    _raw(context, BYTES[name])


def _raw(context, data):
    async def work():
        _, writer = await context.world.connect()
        writer.write(data)
        await writer.drain()
        return await context.world.receive()

    context.replies = [_run(context, work())]


@when("the VM leaves while a call is made")
def _vm_leaves(context):
    async def work():
        await context.world.send()
        context.world.server.leave()
        return await context.world.receive()

    context.replies = [_run(context, work())]


@when("the VM takes no more calls and a call is made")
def _takes_none(context):
    context.world.relay.stop_taking()
    context.replies = [_run(context, context.world.call())]


@then("the status is {status:d}")
def _status(context, status):
    assert context.replies[-1].status == status, context.replies[-1].status


@then('the status is {status:d} with "{body}"')
def _body(context, status, body):
    reply = context.replies[-1]
    assert (reply.status, reply.body.decode()) == (status, body), reply.body


@then("the status is {status:d} with a time to come back")
def _come_back(context, status):
    reply = context.replies[-1]
    assert reply.status == status, reply.status
    assert float(reply.headers["retry-after"]) > 0


@then("all answers are {status:d}")
def _all(context, status):
    statuses = [reply.status for reply in context.replies]
    assert set(statuses) == {status}, statuses


@then("{count:d} answers with status {status:d} come in their order")
def _ordered(context, count, status):
    _all(context, status)
    ids = [reply.headers["call-id"] for reply in context.replies]
    assert ids == [f"call-{n}" for n in range(count)], ids


@then("no runner ran a call")
def _none(context):
    _runs(context, 0)


@then("runners ran {count:d} calls")
def _runs(context, count):
    ran = [call for standin in context.world.standins for call in standin.ran]
    assert len(ran) == count, ran


@then('runner 1 saw the customer "{name}" and the call\'s own id')
def _saw(context, name):
    (call,) = context.world.standins[0].seen
    assert call["customer"] == name
    assert call["call-id"] == "call-1"


@then("runner 1 is no longer known, if it was asked")
def _unknown(context):
    if context.world.standins[0].seen:
        assert context.world.directory.get("runner-1") is None


@then("runner 1 had {count:d} connections")
def _connections(context, count):
    assert context.world.standins[0].connections == count


@then('runner 1 read the body "{text}"')
def _read(context, text):
    assert context.world.standins[0].seen[0]["body"].decode() == text


@then("runner 1 has seen its caller close")
def _closed(context):
    async def work():
        while not context.world.standins[0].closed:
            await asyncio.sleep(0.01)

    _run(context, work())


@then("the connection is closed after it")
def _ended(context):
    assert context.replies[-1].headers["connection"] == "close"
    reader, _ = context.world.connection
    assert _run(context, reader.read()) == b""


def _numbers(reply):
    return [int(n) for n in re.findall(rb"id: (\d+)\n", reply.body)]


@then("the stream has events {first:d} to {last:d} and is complete")
def _complete(context, first, last):
    reply = context.replies[-1]
    assert _numbers(reply) == list(range(first, last + 1)), reply.body
    assert reply.complete


@then("the stream has events {first:d} to {last:d} and is not complete")
def _incomplete(context, first, last):
    reply = context.replies[-1]
    assert _numbers(reply) == list(range(first, last + 1)), reply.body
    assert not reply.complete


@when("a call is made whose caller reads nothing for {seconds:f} s")
def _reads_late(context, seconds):
    world = context.world

    async def late():
        world.connection = await asyncio.open_connection(
            "127.0.0.1", world.port, limit=EVENT_BYTES
        )
        await world.send()
        await asyncio.sleep(seconds)
        (channel,) = world.server.channels
        context.waiting = channel.unsent_bytes
        return await world.receive()

    context.replies = [_run(context, late())]


@then("at most {count:d} bytes waited for the caller in the VM")
def _little_waited(context, count):
    assert 0 < context.waiting <= count, context.waiting


@then("the stream is cut before event {number:d}")
def _cut_before(context, number):
    reply = context.replies[-1]
    assert all(n < number for n in _numbers(reply)), reply.body
    assert not reply.complete


@then('the usage of "{name}" is {count:d}')
def _usage(context, name, count):
    usage = context.world.usage
    assert usage.total(usage.window) == {name: count}


@then("the failure counts against runner 1")
def _counts_against(context):
    assert context.world.upstreams.failures == {"runner-1": (1, 1)}
