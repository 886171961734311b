"""Steps for bodies of answers in tests/links/upstream_exchange.feature."""

import time

from behave import given
from behave import then
from behave import when

from apricotlever import clock as clocks
from apricotlever.links import json_calls
from apricotlever.links import upstream_exchange

from tests.links import scripted_upstream

READ_TIMEOUT_S = 0.3


def _read(exchange, method):
    """The body of an answer; the name of the error if it has none."""
    exchange.open()
    try:
        exchange.send(method, "/", {})
        body = exchange.read_body()
    except upstream_exchange.UpstreamError as error:
        return type(error)
    exchange.finish()
    return body


@given("an upstream that sends {answer} and then {end}")
def _start(context, answer, end):
    context.upstream = scripted_upstream.ScriptedUpstream(
        [scripted_upstream.ANSWERS[answer]], end
    )
    context.closers.append(context.upstream.close)


@when("its answer to a {method} request is read")
def _read_answer(context, method):
    exchange = upstream_exchange.Exchange(
        context.upstream.address, READ_TIMEOUT_S
    )
    context.found = _read(exchange, method)


@then("the body is broken off")
def _check_broken(context):
    assert context.found is upstream_exchange.ConnectionBroken, context.found


@then("the body times out")
def _check_timed_out(context):
    assert context.found is upstream_exchange.UpstreamTimeout, context.found


@then("the body is whole")
def _check_whole(context):
    assert context.found == scripted_upstream.BODY, context.found


@then("the body is empty")
def _check_empty(context):
    assert context.found == b"", context.found


@when("a document is fetched from it")
def _fetch(context):
    try:
        context.found = json_calls.call_json(
            context.upstream.address, "GET", "/", timeout_s=READ_TIMEOUT_S
        )
    except upstream_exchange.UpstreamError as error:
        context.found = type(error)


@then("the document is broken off")
def _check_document_broken(context):
    assert context.found is upstream_exchange.ConnectionBroken, context.found


@then("the document is none")
def _check_no_document(context):
    assert context.found is None, context.found


@when("{count:d} requests are sent to it, {apart_s:g} s apart")
def _send_in_turn(context, count, apart_s):
    pool = upstream_exchange.ConnectionPool(clocks.ManualClock(0.0))
    context.bodies = []
    for _ in range(count):
        exchange = upstream_exchange.Exchange(
            context.upstream.address, READ_TIMEOUT_S, pool
        )
        context.bodies.append(_read(exchange, "GET"))
        time.sleep(apart_s)


@then("both bodies are whole")
def _check_all_whole(context):
    assert context.bodies == [scripted_upstream.BODY] * 2, context.bodies


@given("a pool whose clock runs since {seconds:g} s")
def _create_pool(context, seconds):
    context.pool = upstream_exchange.ConnectionPool(
        clocks.ManualClock(seconds)
    )


@when("a request is sent to it through that pool")
def _send_through_pool(context):
    exchange = upstream_exchange.Exchange(
        context.upstream.address, READ_TIMEOUT_S, context.pool
    )
    assert _read(exchange, "GET") == scripted_upstream.BODY


@when("a document is fetched from it through that pool")
def _fetch_through_pool(context):
    json_calls.call_json(
        context.upstream.address, "GET", "/", pool=context.pool
    )


@then("the pool gives its connection to the next request")
def _check_reused(context):
    pooled = context.pool.take(context.upstream.address)
    assert pooled is not None
    pooled.connection.close()


@then("it was not asked to close the connection")
def _check_not_asked_to_close(context):
    assert not context.upstream.was_asked_to_close
