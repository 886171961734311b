"""Steps for tests/daemon/runner_statements.feature."""

from http import server as http_server
import random
import threading
import time

from behave import given
from behave import then
from behave import when

from apricotlever import clock as clocks
from apricotlever import metrics
from apricotlever import refusals

from apricotlever.daemon import attempt_reports
from apricotlever.daemon import dispatcher
from apricotlever.daemon import dispatcher_messages
from apricotlever.daemon import runner_messages
from apricotlever.links import upstream_exchange
from apricotlever.runners import call_features
from apricotlever.runners import model as runners
from apricotlever.runners import statements

POOL = "pool"
REPLY_TIMEOUT_S = 5.0
#: More requests than any scenario sends.
TURNED_AWAY_MOST = 1000
LOOKUP_S = 6.0


def _name(number):
    return f"runner-{number}"


def _list_runners(context):
    listed = tuple(
        runners.Runner(
            _name(number), f"10.0.0.{number}:80", "dc", POOL, "vm", "", 1.0, 4
        )
        for number in range(1, context.count + 1)
    )
    context.dispatcher.ask(runner_messages.RunnersListed(listed)).result(
        REPLY_TIMEOUT_S
    )


def _dispatch(context, number, excluded=()):
    query = runners.Query("entry", POOL, "", excluded=frozenset(excluded))
    message = dispatcher_messages.Dispatch(
        f"r-{number}", query, call_features.CallFeatures(""), 1
    )
    reply = context.dispatcher.ask(message).result(REPLY_TIMEOUT_S)
    return reply.runner.name


@given("a dispatcher with {count:d} runners")
def _start_dispatcher(context, count):
    context.count = count
    context.dispatcher = dispatcher.Dispatcher(
        clocks.SystemClock(),
        random.Random(1),
        "vm-1",
        "dc",
        metrics.Metrics(None),
        lambda rumour: None,
    )
    thread = threading.Thread(target=context.dispatcher.run)
    thread.start()
    context.closers.append(thread.join)
    context.closers.append(context.dispatcher.stop)
    _list_runners(context)


@when("the runners are listed again")
def _list_again(context):
    _list_runners(context)


@when("runner {number:d} asks for a rest of {rest_s:g} seconds")
def _rest(context, number, rest_s):
    context.dispatcher.tell(
        runner_messages.RunnerStated(
            _name(number), statements.Statement(rest_s=rest_s), 0.0
        )
    )


@when("runner {number:d} says to the dispatcher that it leaves")
def _leave(context, number):
    context.dispatcher.tell(
        runner_messages.RunnerStated(
            _name(number), statements.Statement(leaves=True), 0.0
        )
    )


@then("{count:d} requests are all dispatched to runner {number:d}")
def _check_dispatched(context, count, number):
    found = {_dispatch(context, n) for n in range(count)}
    assert found == {_name(number)}, found


@then(
    "after {seconds:g} seconds a request that excludes runner {other:d} goes "
    "to runner {number:d}"
)
def _check_used_again(context, seconds, other, number):
    time.sleep(seconds)
    found = _dispatch(context, 100, [_name(other)])
    assert found == _name(number), found


@then("a request is refused, to return after {least:g} to {most:g} seconds")
def _check_refused(context, least, most):
    try:
        _dispatch(context, 1)
    except refusals.Refusal as refusal:
        assert refusal.kind is refusals.NO_RUNNER, refusal.kind
        assert least <= refusal.retry_after_s <= most, refusal.retry_after_s
    else:
        raise AssertionError("not refused")


@when("runner {number:d} names a limit of {limit:g} to {vms:d} VMs")
def _name_limit(context, number, limit, vms):
    context.dispatcher.tell(
        dispatcher_messages.MembersChanged(
            frozenset(f"vm-{n}" for n in range(1, vms + 1))
        )
    )
    context.dispatcher.tell(
        runner_messages.RunnerStated(
            _name(number), statements.Statement(limit), time.monotonic()
        )
    )


@when("runner {number:d} names no limit any more")
def _lift_limit(context, number):
    sent_at = clocks.SystemClock().now()
    context.dispatcher.tell(
        runner_messages.RunnerStated(
            _name(number), statements.NOTHING, sent_at
        )
    )


@then(
    "of {count:d} requests a second for {seconds:d} seconds runner {number:d} "
    "gets at most {most:d}, if it takes them before the others"
)
def _check_limited(context, count, seconds, number, most):
    found = 0
    for request in range(count * seconds):
        time.sleep(1.0 / count)
        try:
            found += _dispatch(context, request) == _name(number)
        except refusals.Refusal as refusal:
            assert refusal.retry_after_s < 10.0, refusal.retry_after_s
    assert 1 <= found <= most, found


@given("an upstream that answers {status:d} with {header}")
def _start_upstream(context, status, header):
    name, _, value = header.partition(": ")

    class _Handler(http_server.BaseHTTPRequestHandler):
        def do_GET(self):
            self.send_response(status)
            self.send_header(name, value)
            self.send_header("Content-Length", "0")
            self.end_headers()

        def log_message(self, *arguments):
            """Keep the output of the tests clean."""

    upstream = http_server.HTTPServer(("127.0.0.1", 0), _Handler)
    thread = threading.Thread(target=upstream.serve_forever)
    thread.start()
    context.closers.append(upstream.server_close)
    context.closers.append(thread.join)
    context.closers.append(upstream.shutdown)
    context.address = f"127.0.0.1:{upstream.server_port}"


@when("a request is sent to that upstream")
def _send(context):
    exchange = upstream_exchange.Exchange(context.address, REPLY_TIMEOUT_S)
    exchange.open()
    exchange.send("GET", "/", {"Connection": "close"})
    context.statement = exchange.statement
    exchange.abandon()


@then("its statement has the rest {rest} and {leaves}")
def _check_statement(context, rest, leaves):
    expected = None if rest == "none" else float(rest)
    assert context.statement.rest_s == expected, context.statement.rest_s
    assert context.statement.leaves == (leaves == "leaves")


@then("its statement says that it bears {rejections} rejections")
def _check_fragility(context, rejections):
    found = context.statement.rejections_per_s
    assert str(found).lower() == rejections, found


@then(
    "an error response that asks for rest counts as cancelled, others as "
    "failed"
)
def _check_outcomes(context):
    error = upstream_exchange.UpstreamErrorResponse
    outcome = attempt_reports.failure_outcome
    assert outcome(error(503, b"", True)) is runners.Outcome.CANCELLED
    assert outcome(error(503, b"")) is runners.Outcome.FAILED


@given(
    "service-0 turns requests away and asks for a rest of {rest_s:d} seconds"
)
def _turn_away(context, rest_s):
    context.scene.fleet.set_faults(
        "service-0",
        turn_away=TURNED_AWAY_MOST,
        statements={"Retry-After": str(rest_s)},
    )


@when("{count:d} lookups are made one after the other")
def _look_up(context, count):
    context.lookup_problems = []
    for _ in range(count):
        context.lookups.start(1)
        context.lookup_problems += context.lookups.problems(LOOKUP_S)
    assert not context.lookup_problems, context.lookup_problems


@then("service-0 has turned away at most {most:d} of them")
def _check_turned_away(context, most):
    left = context.scene.fleet.control("service-0", "faults")["turn_away"]
    assert TURNED_AWAY_MOST - left <= most, TURNED_AWAY_MOST - left
