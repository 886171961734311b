"""Steps for tests/links/upstreams.feature."""

from behave import then
from behave import when

from apricotlever import clock as clocks
from apricotlever.links import upstreams

STEP_S = 1.0
SOON_S = 0.01
UPSTREAM = "10.0.0.1:80"


class _Connection:
    """Remembers whether it was closed."""

    def __init__(self):
        self.closed = False

    def close(self):
        self.closed = True


def _pool(context):
    context.clock = clocks.ManualClock()
    context.pool = upstreams.Pool(context.clock)
    context.connections = []


def _put(context, address):
    connection = _Connection()
    context.connections.append(connection)
    context.pool.put(address, connection, context.clock.now())


@when("a pool keeps a connection to each of {count:d} upstreams in turn")
def _in_turn(context, count):
    _pool(context)
    context.most = 0
    for number in range(count):
        _put(context, f"10.0.0.1:{number}")
        context.most = max(context.most, len(context.pool))
        context.clock.advance(STEP_S)


@then("it never keeps more than {most:d} of them")
def _bounded(context, most):
    assert 1 < context.most <= most, context.most


@then("it has closed each one that it doesn't keep")
def _closed(context):
    still_open = sum(not each.closed for each in context.connections)
    assert still_open == len(context.pool), still_open


@when(
    "a pool keeps {count:d} connections to one upstream, {seconds:f} s apart"
)
def _apart(context, count, seconds):
    _pool(context)
    for _ in range(count):
        _put(context, "10.0.0.1:1")
        context.clock.advance(seconds)


@then("they are taken from the latest to the oldest")
def _latest_first(context):
    taken = [context.pool.take("10.0.0.1:1") for _ in context.connections]
    found = [each.connection for each in taken]
    assert found == context.connections[::-1]
    for each in taken:
        context.pool.put("10.0.0.1:1", each.connection, each.opened_at)


@then("after another {seconds:f} s none is taken")
def _too_old(context, seconds):
    context.clock.advance(seconds)
    assert context.pool.take("10.0.0.1:1") is None
    assert all(each.closed for each in context.connections)


@when("{count:d} calls on kept connections to one upstream get no answer")
def _silent(context, count):
    _pool(context)
    opened = [context.clock.now()] * count
    context.clock.advance(STEP_S)
    context.blamed = []
    for opened_at in opened:
        context.blamed.append(context.pool.fell_silent(UPSTREAM, opened_at))
        context.clock.advance(SOON_S)


@then("none of their repeats is charged")
def _uncharged(context):
    assert all(context.blamed), context.blamed


@then("a call on a connection that was opened later is charged")
def _charged(context):
    assert not context.pool.fell_silent(UPSTREAM, context.clock.now())


@then("after {seconds:f} s a silence is taken for the connections' once more")
def _once_more(context, seconds):
    opened_at = context.clock.now()
    context.clock.advance(seconds)
    assert context.pool.fell_silent(UPSTREAM, opened_at)
