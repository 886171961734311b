"""Steps for tests/standins/engine.feature."""

import http.client
import json

from behave import given
from behave import then
from behave import when

from standins import _batch_scheduler
from standins import _deterministic_tokens
from standins import _journal
from standins import engine
from tests.standins import engine_client
from tests.standins import scenario_server
from tests.support import answers
from tests.support import caller
from tests.support import fleet

CRASH_TEXT = "fatal"
STEP_S = 0.004
READ_TIMEOUT_S = 0.3


def _start_engine(
    context, linger_s=10.0, slots=16, blocks=4096, queue_limit=0
):
    scheduler_config = _batch_scheduler.SchedulerConfig(
        slots=slots,
        step_s=STEP_S,
        prefill_s_per_token=0.0,
        linger_s=linger_s,
    )
    standin = engine.Engine(scheduler_config, blocks, queue_limit=queue_limit)
    context.closers.append(standin.close)
    context.engines.append(standin)
    context.addresses.append(
        scenario_server.serve_in_scenario(context, standin)
    )


def _read_completion(context, body, headers=None, limit=None, index=0):
    engine_client.read_stream(
        context.answer,
        context.addresses[index],
        "POST",
        "/v1/completions",
        body,
        headers or engine_client.headers(),
        limit,
    )


def _expect_answer(context, max_tokens):
    context.answer = answers.Answer(
        _deterministic_tokens.expected_answer(
            engine_client.PROMPT, engine_client.SEED, max_tokens
        )
    )


def _execution_count(standin):
    return sum(standin.counts()["executions"].values())


@given("an engine stand-in")
def _one_engine(context):
    context.engines, context.addresses = [], []
    _start_engine(context)


@given("{count:d} engine stand-ins")
def _several_engines(context, count):
    context.engines, context.addresses = [], []
    for _ in range(count):
        _start_engine(context)


@given("an engine stand-in with a linger time of {seconds:g} s")
def _engine_with_linger_time(context, seconds):
    context.engines, context.addresses = [], []
    _start_engine(context, linger_s=seconds)


@given("an engine stand-in with {slots:d} slot")
def _engine_with_slots(context, slots):
    context.engines, context.addresses = [], []
    _start_engine(context, slots=slots)


@given("an engine stand-in with a prefix cache of {blocks:d} blocks")
def _engine_with_cache(context, blocks):
    context.engines, context.addresses = [], []
    _start_engine(context, blocks=blocks)


@given("the engine stand-in ignores fencing numbers")
def _disable_fencing(context):
    context.engines[0].faults.set({"fencing": False})


@given("the engine stand-in drops every cache event")
def _drop_cache_events(context):
    context.engines[0].faults.set({"event_gap": 1.0, "events_lag_s": 0.0})


@given("an engine stand-in in its own process")
def _engine_process(context):
    context.fleet = fleet.Fleet()
    context.closers.append(context.fleet.close)
    context.fleet.start_engines(["e1"], "pool", register=False)


@when("a completion of {count:d} tokens is streamed from the engine stand-in")
def _stream_completion(context, count):
    _expect_answer(context, count)
    _read_completion(context, engine_client.body(count))


def _request_export(context):
    path = f"/v1/streams/{engine_client.REQUEST}/export"
    reply = engine_client.call(context.addresses[0], "POST", path)
    assert reply.status == 200, reply.payload
    context.exported_state = reply.payload


def _resume_stream(context, index):
    start = len(context.answer.tokens)
    path = f"/v1/streams/{engine_client.REQUEST}?from={start}"
    engine_client.read_stream(
        context.answer, context.addresses[index], "GET", path
    )


@when(
    "a stream of {count:d} tokens is exported from the first engine stand-in"
)
def _export_running(context, count):
    _expect_answer(context, count)
    context.token_count = count
    _read_completion(context, engine_client.body(count), limit=5)
    _request_export(context)
    assert 5 <= len(context.exported_state["tokens"]) < count


@when("a stream of {count:d} tokens is exported when all are generated")
def _export_generated(context, count):
    _expect_answer(context, count)
    _read_completion(context, engine_client.body(count), limit=5)
    standin = context.engines[0]
    fleet.wait_for(lambda: standin.counts()["generated_total"] == count)
    _request_export(context)
    assert (
        len(context.exported_state["tokens"]) == count
    ), context.exported_state


@when("the state is imported by the second engine stand-in")
def _import_state(context):
    reply = engine_client.call(
        context.addresses[1], "POST", "/v1/import", context.exported_state
    )
    assert reply.status == 200, reply.payload


@when("the stream is read on from the second engine stand-in")
def _read_from_second(context):
    _resume_stream(context, 1)


@when("the request resumes on the second engine stand-in")
def _resume_on_second(context):
    context.received_count = len(context.answer.tokens)
    extra = {"resume_tokens": context.answer.tokens[:]}
    body = {**engine_client.body(context.token_count), "apricotlever": extra}
    _read_completion(context, body, engine_client.headers(attempt=2), index=1)


@when("the same request is sent to the engine stand-in again")
def _repeat_request(context):
    _expect_answer(context, 8)
    _read_completion(
        context, engine_client.body(8), engine_client.headers(attempt=2)
    )


@when("a client disconnects from a stream of {count:d} tokens after {limit:d}")
def _disconnect_client(context, count, limit):
    _expect_answer(context, count)
    _read_completion(context, engine_client.body(count), limit=limit)


@when("the stream is read on from the same engine stand-in")
def _read_from_same(context):
    _resume_stream(context, 0)


@when("requests of priority 1 and 9 wait while another one runs")
def _queue_two_priorities(context):
    context.streams = [
        _send_request(context, f"r.{priority}", priority)
        for priority in (5, 1, 9)
    ]


def _send_request(context, request, priority):
    connection = http.client.HTTPConnection(context.addresses[0])
    connection.request(
        "POST",
        "/v1/completions",
        json.dumps(engine_client.body(40)).encode(),
        engine_client.headers(request, priority=priority),
    )
    standin = context.engines[0]
    fleet.wait_for(lambda: request in standin.counts()["executions"])
    return connection


@when(
    "the engine stand-in gets orders with fencing numbers {first:d} and"
    " {second:d}"
)
def _send_orders(context, first, second):
    for fencing, role in ((first, "serve"), (second, "drain")):
        order = {
            "order": f"order-{fencing}",
            "fencing": fencing,
            "target": {"models": [], "role": role},
        }
        reply = engine_client.call(
            context.addresses[0], "POST", "/v1/orders", order
        )
        context.status = reply.status


@when("the engine stand-in stops dropping cache events")
def _stop_dropping(context):
    context.engines[0].faults.set({"event_gap": 0.0})


@when("a completion of another prompt is streamed")
def _stream_another_prompt(context):
    _read_completion(
        context,
        engine_client.body(2, "another " * 50),
        engine_client.headers("r.2"),
    )


@when("three prompts of 3 blocks each are sent one after another, twice")
def _thrash_cache(context):
    prompts = [
        letter * 3 * _deterministic_tokens.BLOCK_BYTES for letter in "abc"
    ]
    for number, prompt in enumerate(prompts * 2):
        _expect_answer(context, 1)
        _read_completion(
            context,
            engine_client.body(1, prompt),
            engine_client.headers(f"r.{number}"),
        )


@when("a prompt that matches the crash fault is sent to the engine process")
def _send_crash_prompt(context):
    context.fleet.set_faults("e1", crash_on=CRASH_TEXT)
    try:
        engine_client.call(
            context.fleet.address("e1"),
            "POST",
            "/v1/completions",
            engine_client.body(4, f"a {CRASH_TEXT} prompt"),
            engine_client.headers(),
        )
    except caller.CONNECTION_ERRORS as error:
        context.error = error


@when("an open stream is silenced after {count:d} tokens")
def _silence_stream(context, count):
    context.connection, context.response = engine_client.open_stream(
        context.addresses[0],
        "POST",
        "/v1/completions",
        engine_client.body(1000),
        engine_client.headers(),
        READ_TIMEOUT_S,
    )
    for _ in range(3 * count):
        context.response.readline()
    engine_client.call(context.addresses[0], "POST", "/control/silence", {})


@then("the answer from the engine stand-in is complete")
def _answer_complete(context):
    assert not context.answer.problem, context.answer.problem


@then(
    "the engine stand-in counts {runs:d} execution and {tokens:d}"
    " recomputed tokens"
)
@then(
    "the engine stand-in counts {runs:d} executions and {tokens:d}"
    " recomputed tokens"
)
def _counts_match(context, runs, tokens):
    counts = context.engines[0].counts()
    assert counts["executions"] == {engine_client.REQUEST: runs}, counts
    assert counts["recomputed_total"] == tokens, counts


@then("no engine stand-in counts recomputed tokens")
def _nothing_recomputed(context):
    totals = [
        standin.counts()["recomputed_total"] for standin in context.engines
    ]
    assert totals == [0, 0], totals


@then("the request was executed from its start on {count:d} engine stand-in")
def _executed_on(context, count):
    assert sum(map(_execution_count, context.engines)) == count


@then("the second engine stand-in recomputed the prompt and received tokens")
def _context_recomputed(context):
    counts = context.engines[1].counts()
    prompt_tokens = _deterministic_tokens.token_count(
        len(engine_client.PROMPT.encode())
    )
    expected = prompt_tokens + context.received_count
    assert counts["recomputed"] == {engine_client.REQUEST: expected}, counts
    assert counts["executions"] == {}, counts
    assert counts["resume_mismatches"] == 0, counts


@then("the engine stand-in no longer knows the stream")
def _stream_unknown(context):
    path = f"/v1/streams/{engine_client.REQUEST}?from=4000"
    fleet.wait_for(
        lambda: engine_client.call(context.addresses[0], "DELETE", path).status
        == 404
    )


@then("the engine stand-in runs the request of priority 9 first")
def _high_priority_first(context):
    _, low_priority, high_priority = context.streams
    high_priority.getresponse().read()
    counts = context.engines[0].counts()
    assert (
        counts["generated_total"] < 120
    ), "the request of priority 1 ended first"
    low_priority.getresponse().read()
    assert context.engines[0].counts()["generated_total"] == 120


@then(
    "the engine stand-in has applied the order with fencing number {fencing:d}"
)
def _order_applied(context, fencing):
    reply = engine_client.call(context.addresses[0], "GET", "/v1/orders")
    assert reply.payload["order"] == f"order-{fencing}", reply.payload
    assert reply.payload["fencing"] == 5, reply.payload
    assert context.status == (409 if fencing == 5 else 200), context.status


@then("the first published cache event has a sequence number above 1")
def _sequence_gap(context):
    reply = engine_client.call(
        context.addresses[0], "GET", "/v1/cache/events?after=0"
    )
    events = reply.payload["events"]
    assert events and events[0]["seq"] > 1, reply.payload


@then("the engine stand-in counts the recomputed tokens of evicted blocks")
def _evicted_recomputed(context):
    counts = context.engines[0].counts()
    assert (
        counts["evicted_recomputed"] >= 3 * _deterministic_tokens.BLOCK_TOKENS
    ), counts


@then("the engine process has exited and counted {count:d} execution")
def _process_exited(context, count):
    process = context.fleet.process("e1")
    assert process.wait(10.0) == _batch_scheduler.CRASH_EXIT_CODE
    assert context.error is not None
    path = str(context.fleet.journal_path("e1"))
    assert _journal.read_counts(path) == {engine_client.REQUEST: count}


@then("the silenced stream sends nothing more")
def _stream_silent(context):
    try:
        while context.response.readline():
            pass
    except TimeoutError:
        context.connection.close()
        return
    raise AssertionError("the silenced stream ended")


@then("a new stream of the engine stand-in is complete")
def _new_stream_complete(context):
    _expect_answer(context, 6)
    _read_completion(
        context, engine_client.body(6), engine_client.headers("r.new")
    )
    assert not context.answer.problem, context.answer.problem


@given("a full engine stand-in that is fragile")
def _start_fragile_engine(context):
    context.engines, context.addresses = [], []
    _start_engine(context, slots=1, queue_limit=1)
    context.engines[0].faults.set(
        {"fragile_rejections_per_s": 1, "load_lag_s": 0.0}
    )
    context.streams = [_send_request(context, "r.1", 5)]
    fleet.wait_for(lambda: _load(context)["running"] == 1)
    context.streams.append(_send_request(context, "r.2", 5))


def _load(context):
    address = context.addresses[0]
    return engine_client.call(address, "GET", "/v1/load").payload


@when("2 more requests are sent to the engine stand-in")
def _send_two_more(context):
    for number in (3, 4):
        connection = http.client.HTTPConnection(context.addresses[0])
        connection.request(
            "POST",
            "/v1/completions",
            json.dumps(engine_client.body(8)).encode(),
            engine_client.headers(f"r.{number}"),
        )
        context.streams.append(connection)
        if number == 3:
            context.status = connection.getresponse().status


def _is_dropped(connection):
    try:
        text = connection.getresponse().read()
    except (http.client.HTTPException, ConnectionError):
        return True
    return b"[DONE]" not in text


@then("it rejects the first with 503 and drops all other connections")
def _check_dropped(context):
    assert context.status == 503, context.status
    running, waiting, _, last = context.streams
    assert all(map(_is_dropped, (running, waiting, last)))
    late = http.client.HTTPConnection(context.addresses[0])
    late.request("GET", "/v1/load")
    assert _is_dropped(late)


@then("the engine stand-in takes requests again after its fall")
def _check_up(context):
    def is_up():
        try:
            reply = engine_client.call(context.addresses[0], "GET", "/v1/load")
        except (http.client.HTTPException, ConnectionError):
            return False
        return reply.status == 200

    fleet.wait_for(is_up)
