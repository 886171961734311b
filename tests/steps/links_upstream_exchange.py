"""Steps for tests/links/upstream_exchange.feature."""

import socket

from behave import then
from behave import when

from apricotlever import clock as clocks
from apricotlever.links import upstream_exchange

CALL_INTERVAL_S = 1.0
TIMEOUT_SPACING_S = 0.01
UPSTREAM = "10.0.0.1:80"
#: Two ends of a connection on which nothing is ever sent.
_SILENT_ENDS = socket.socketpair()


class _Connection:
    """A connection that records whether it was closed."""

    def __init__(self):
        self.closed = False
        self.sock = _SILENT_ENDS[0]

    def close(self):
        self.closed = True


def _create_pool(context):
    context.clock = clocks.ManualClock()
    context.pool = upstream_exchange.ConnectionPool(context.clock)
    context.connections = []


def _add_connection(context, address):
    connection = _Connection()
    context.connections.append(connection)
    context.pool.put(address, connection, context.clock.now())


@when("a pool keeps a connection to each of {count:d} upstreams in turn")
def _fill_pool(context, count):
    _create_pool(context)
    context.max_pooled = 0
    for number in range(count):
        _add_connection(context, f"10.0.0.1:{number}")
        context.max_pooled = max(context.max_pooled, len(context.pool))
        context.clock.advance(CALL_INTERVAL_S)


@then("it never keeps more than {most:d} of them")
def _bounded(context, most):
    assert 1 < context.max_pooled <= most, context.max_pooled


@then("it has closed each one that it doesn't keep")
def _closed(context):
    still_open = sum(not each.closed for each in context.connections)
    assert still_open == len(context.pool), still_open


@when(
    "a pool keeps {count:d} connections to one upstream, {seconds:f} s apart"
)
def _add_spaced(context, count, seconds):
    _create_pool(context)
    for _ in range(count):
        _add_connection(context, "10.0.0.1:1")
        context.clock.advance(seconds)


@then("they are taken from the latest to the oldest")
def _latest_first(context):
    taken = [context.pool.take("10.0.0.1:1") for _ in context.connections]
    found = [each.connection for each in taken]
    assert found == context.connections[::-1]
    for each in taken:
        context.pool.put("10.0.0.1:1", each.connection, each.opened_at)


@then("after another {seconds:f} s none is taken")
def _none_taken(context, seconds):
    context.clock.advance(seconds)
    assert context.pool.take("10.0.0.1:1") is None
    assert all(each.closed for each in context.connections)


@when("{count:d} calls on pooled connections to one upstream time out")
def _calls_time_out(context, count):
    _create_pool(context)
    opened = [context.clock.now()] * count
    context.clock.advance(CALL_INTERVAL_S)
    context.blamed = []
    for opened_at in opened:
        context.blamed.append(context.pool.record_silence(UPSTREAM, opened_at))
        context.clock.advance(TIMEOUT_SPACING_S)


@then("none of their repeats counts against the retry budget")
def _repeats_not_counted(context):
    assert all(context.blamed), context.blamed


@then("a repeat after a connection that was opened later does count")
def _repeat_counted(context):
    assert not context.pool.record_silence(UPSTREAM, context.clock.now())


@then("after {seconds:f} s the pooled connections are blamed once more")
def _blamed_again(context, seconds):
    opened_at = context.clock.now()
    context.clock.advance(seconds)
    assert context.pool.record_silence(UPSTREAM, opened_at)
