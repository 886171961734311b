"""Steps for tests/standins/engine.feature."""

import http.client
import json

from behave import given
from behave import then
from behave import when

from standins import _batch
from standins import _journal
from standins import _tokens
from standins import engine
from tests.standins import engine_calls
from tests.standins import serving
from tests.support import answers
from tests.support import caller
from tests.support import fleet

CRASH_WORD = "fatal"
STEP_S = 0.004
SILENCE_S = 0.3


def _start(context, linger_s=10.0, slots=16, blocks=4096):
    speed = _batch.SchedulerConfig(
        slots=slots,
        step_s=STEP_S,
        prefill_s_per_token=0.0,
        linger_s=linger_s,
    )
    made = engine.Engine(speed, blocks)
    context.closers.append(made.close)
    context.engines.append(made)
    context.addresses.append(serving.serve(context, made))


def _post(context, body, headers=None, limit=None, which=0):
    engine_calls.read(
        context.answer,
        context.addresses[which],
        "POST",
        "/v1/completions",
        body,
        headers or engine_calls.headers(),
        limit,
    )


def _new_answer(context, max_tokens):
    context.answer = answers.Answer(
        _tokens.expected_answer(
            engine_calls.PROMPT, engine_calls.SEED, max_tokens
        )
    )


def _executions(made):
    return sum(made.counts()["executions"].values())


@given("an engine stand-in")
def _an_engine(context):
    context.engines, context.addresses = [], []
    _start(context)


@given("{count:d} engine stand-ins")
def _engines(context, count):
    context.engines, context.addresses = [], []
    for _ in range(count):
        _start(context)


@given("an engine stand-in with a linger time of {seconds:g} s")
def _lingering(context, seconds):
    context.engines, context.addresses = [], []
    _start(context, linger_s=seconds)


@given("an engine stand-in with {slots:d} slot")
def _with_slots(context, slots):
    context.engines, context.addresses = [], []
    _start(context, slots=slots)


@given("an engine stand-in with a prefix cache of {blocks:d} blocks")
def _with_blocks(context, blocks):
    context.engines, context.addresses = [], []
    _start(context, blocks=blocks)


@given("the engine stand-in ignores fencing numbers")
def _no_fencing(context):
    context.engines[0].faults.set({"fencing": False})


@given("the engine stand-in drops every cache event")
def _losing(context):
    context.engines[0].faults.set({"event_gap": 1.0, "events_lag_s": 0.0})


@given("an engine stand-in in its own process")
def _a_process(context):
    context.fleet = fleet.Fleet()
    context.closers.append(context.fleet.close)
    context.fleet.start_engines(["e1"], "pool", register=False)


@when("a completion of {count:d} tokens is streamed from the engine stand-in")
def _stream(context, count):
    _new_answer(context, count)
    _post(context, engine_calls.body(count))


def _exported(context):
    path = f"/v1/streams/{engine_calls.REQUEST}/export"
    reply = engine_calls.call(context.addresses[0], "POST", path)
    assert reply.status == 200, reply.payload
    context.state = reply.payload


def _read_on(context, which):
    start = len(context.answer.tokens)
    path = f"/v1/streams/{engine_calls.REQUEST}?from={start}"
    engine_calls.read(context.answer, context.addresses[which], "GET", path)


@when(
    "a stream of {count:d} tokens is exported from the first engine stand-in"
)
def _export(context, count):
    _new_answer(context, count)
    context.count = count
    _post(context, engine_calls.body(count), limit=5)
    _exported(context)
    assert 5 <= len(context.state["tokens"]) < count


@when("a stream of {count:d} tokens is exported when all are generated")
def _export_late(context, count):
    _new_answer(context, count)
    _post(context, engine_calls.body(count), limit=5)
    made = context.engines[0]
    fleet.wait_for(lambda: made.counts()["generated_total"] == count)
    _exported(context)
    assert len(context.state["tokens"]) == count, context.state


@when("the state is imported by the second engine stand-in")
def _import(context):
    reply = engine_calls.call(
        context.addresses[1], "POST", "/v1/import", context.state
    )
    assert reply.status == 200, reply.payload


@when("the stream is read on from the second engine stand-in")
def _read_imported(context):
    _read_on(context, 1)


@when("the request resumes on the second one with the received tokens")
def _replay(context):
    context.sent = len(context.answer.tokens)
    extra = {"resume_tokens": context.answer.tokens[:]}
    body = {**engine_calls.body(context.count), "apricotlever": extra}
    _post(context, body, engine_calls.headers(attempt=2), which=1)


@when("the same request is sent to the engine stand-in again")
def _again(context):
    _new_answer(context, 8)
    _post(context, engine_calls.body(8), engine_calls.headers(attempt=2))


@when("a client disconnects from a stream of {count:d} tokens after {limit:d}")
def _break_off(context, count, limit):
    _new_answer(context, count)
    _post(context, engine_calls.body(count), limit=limit)


@when("the stream is read on from the same engine stand-in")
def _resume(context):
    _read_on(context, 0)


@when("requests of priority 1 and 9 wait while another one runs")
def _priorities(context):
    context.streams = [
        _submit(context, f"r.{priority}", priority) for priority in (5, 1, 9)
    ]


def _submit(context, request, priority):
    connection = http.client.HTTPConnection(context.addresses[0])
    connection.request(
        "POST",
        "/v1/completions",
        json.dumps(engine_calls.body(40)).encode(),
        engine_calls.headers(request, priority=priority),
    )
    made = context.engines[0]
    fleet.wait_for(lambda: request in made.counts()["executions"])
    return connection


@when(
    "the engine stand-in gets orders with fencing numbers {first:d} and"
    " {second:d}"
)
def _orders(context, first, second):
    for fencing, role in ((first, "serve"), (second, "drain")):
        order = {
            "order": f"order-{fencing}",
            "fencing": fencing,
            "target": {"models": [], "role": role},
        }
        reply = engine_calls.call(
            context.addresses[0], "POST", "/v1/orders", order
        )
        context.status = reply.status


@when("the engine stand-in stops dropping cache events")
def _not_losing(context):
    context.engines[0].faults.set({"event_gap": 0.0})


@when("a completion of another prompt is streamed")
def _another_prompt(context):
    _post(
        context,
        engine_calls.body(2, "another " * 50),
        engine_calls.headers("r.2"),
    )


@when("three prompts of 3 blocks each are sent one after another, twice")
def _thrash(context):
    prompts = [letter * 3 * _tokens.BLOCK_BYTES for letter in "abc"]
    for number, prompt in enumerate(prompts * 2):
        _new_answer(context, 1)
        _post(
            context,
            engine_calls.body(1, prompt),
            engine_calls.headers(f"r.{number}"),
        )


@when("a prompt that matches the crash fault is sent to the engine process")
def _crash(context):
    context.fleet.faults("e1", crash_on=CRASH_WORD)
    try:
        engine_calls.call(
            context.fleet.address("e1"),
            "POST",
            "/v1/completions",
            engine_calls.body(4, f"a {CRASH_WORD} prompt"),
            engine_calls.headers(),
        )
    except caller.BROKEN as error:
        context.error = error


@when("an open stream is silenced after {count:d} tokens")
def _silence(context, count):
    context.connection, context.response = engine_calls.open_stream(
        context.addresses[0],
        "POST",
        "/v1/completions",
        engine_calls.body(1000),
        engine_calls.headers(),
        SILENCE_S,
    )
    for _ in range(3 * count):
        context.response.readline()
    engine_calls.call(context.addresses[0], "POST", "/control/silence", {})


@then("the answer from the engine stand-in is complete")
def _whole(context):
    assert not context.answer.problem, context.answer.problem


@then(
    "the engine stand-in counts {runs:d} execution and {tokens:d}"
    " recomputed tokens"
)
@then(
    "the engine stand-in counts {runs:d} executions and {tokens:d}"
    " recomputed tokens"
)
def _counted(context, runs, tokens):
    counts = context.engines[0].counts()
    assert counts["executions"] == {engine_calls.REQUEST: runs}, counts
    assert counts["recomputed_total"] == tokens, counts


@then("no engine stand-in counts recomputed tokens")
def _none_recomputed(context):
    totals = [made.counts()["recomputed_total"] for made in context.engines]
    assert totals == [0, 0], totals


@then("the request was executed from its start on {count:d} engine stand-in")
def _ran_once(context, count):
    assert sum(map(_executions, context.engines)) == count


@then("the second one counts the prompt and those tokens as recomputed")
def _recomputed(context):
    counts = context.engines[1].counts()
    prompt_tokens = _tokens.token_count(len(engine_calls.PROMPT.encode()))
    wanted = prompt_tokens + context.sent
    assert counts["recomputed"] == {engine_calls.REQUEST: wanted}, counts
    assert counts["executions"] == {}, counts
    assert counts["resume_mismatches"] == 0, counts


@then("the engine stand-in no longer knows the stream")
def _forgotten(context):
    path = f"/v1/streams/{engine_calls.REQUEST}?from=4000"
    fleet.wait_for(
        lambda: engine_calls.call(context.addresses[0], "DELETE", path).status
        == 404
    )


@then("the engine stand-in runs the request of priority 9 first")
def _by_priority(context):
    _, low, high = context.streams
    high.getresponse().read()
    batch = context.engines[0].counts()
    assert batch["generated_total"] < 120, "the low one has ended first"
    low.getresponse().read()
    assert context.engines[0].counts()["generated_total"] == 120


@then(
    "the engine stand-in has applied the order with fencing number {fencing:d}"
)
def _in_force(context, fencing):
    reply = engine_calls.call(context.addresses[0], "GET", "/v1/orders")
    assert reply.payload["order"] == f"order-{fencing}", reply.payload
    assert reply.payload["fencing"] == 5, reply.payload
    assert context.status == (409 if fencing == 5 else 200), context.status


@then("the first published cache event has a sequence number above 1")
def _gap(context):
    reply = engine_calls.call(
        context.addresses[0], "GET", "/v1/cache/events?after=0"
    )
    events = reply.payload["events"]
    assert events and events[0]["seq"] > 1, reply.payload


@then("the engine stand-in counts the recomputed tokens of evicted blocks")
def _evicted(context):
    counts = context.engines[0].counts()
    assert counts["evicted_recomputed"] >= 3 * _tokens.BLOCK_TOKENS, counts


@then("the engine process has exited and counted {count:d} execution")
def _exited(context, count):
    process = context.fleet.process("e1")
    assert process.wait(10.0) == _batch.CRASH_CODE
    assert context.error is not None
    path = str(context.fleet.journal_path("e1"))
    assert _journal.read(path) == {engine_calls.REQUEST: count}


@then("the silenced stream sends nothing more")
def _silent(context):
    try:
        while context.response.readline():
            pass
    except TimeoutError:
        context.connection.close()
        return
    raise AssertionError("the stream ended instead of going silent")


@then("a new stream of the engine stand-in is complete")
def _new_stream(context):
    _new_answer(context, 6)
    _post(context, engine_calls.body(6), engine_calls.headers("r.new"))
    assert not context.answer.problem, context.answer.problem
