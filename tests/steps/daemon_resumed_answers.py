"""Steps for tests/daemon/resumed_answers.feature."""

from concurrent import futures
import json
import threading
import types

from behave import given
from behave import then
from behave import when

from apricotlever import clock as clocks
from apricotlever import histograms
from apricotlever import metrics
from apricotlever import refusals

from apricotlever.contracts import retry_policy
from apricotlever.daemon import answer_reader
from apricotlever.daemon import dispatcher_messages
from apricotlever.daemon import model_request
from apricotlever.links import openai_format
from apricotlever.links import stream_loop
from apricotlever.requests import recovery
from apricotlever.runners import call_features
from apricotlever.runners import model as runners

from tests.links import scripted_upstream

DEADLINE_S = 10.0
TOKENS = 6
_HEAD = b"HTTP/1.0 200 OK\r\n"


def _event(index):
    data = json.dumps({"choices": [{"index": 0, "text": f"t{index}"}]})
    return b"id: %d\ndata: %b\n\n" % (index, data.encode())


def _events(first, last):
    return b"".join(map(_event, range(first, last + 1)))


#: What a runner sends that is to resume an answer after token 2, by name.
RESUMPTIONS = {
    "the rest": (
        _HEAD + b"\r\n" + _events(3, TOKENS - 1) + openai_format.DONE_EVENT
    ),
    "an empty stream": _HEAD + b"\r\n",
    "an empty body of length 0": _HEAD + b"Content-Length: 0\r\n\r\n",
    "a body without events": _HEAD + b'\r\n{"choices": []}',
    "the token after the next": _HEAD + b"\r\n" + _event(4),
    "half of the next token": _HEAD + b"\r\n" + _event(3)[:-9],
    "an event without a number": _HEAD + b"\r\nid: x\ndata: {}\n\n",
}


def _resumption(name):
    if name.startswith("status "):
        status = name.removeprefix("status ").encode()
        return b"HTTP/1.0 %b X\r\nContent-Length: 2\r\n\r\nno" % status
    return RESUMPTIONS[name]


class _Dispatcher:
    """Sends each attempt to the next runner, until there is none.

    :param addresses: of the runners.
    """

    def __init__(self, addresses):
        self._left = list(addresses)

    def ask(self, message):
        reply = futures.Future()
        try:
            reply.set_result(self._reply(message))
        except refusals.Refusal as refusal:
            reply.set_exception(refusal)
        return reply

    def tell(self, message):
        """Take a report, which has no effect here."""

    def _reply(self, message):
        if isinstance(message, dispatcher_messages.Dispatch):
            if not self._left:
                raise refusals.Refusal(refusals.NO_RUNNER, "none is left")
            address = self._left.pop(0)
            runner = runners.Runner(
                address, address, "dc", "pool", "vm", "", 1.0, 4
            )
            return runners.Route(runner, 0.0, 0)
        if isinstance(message, dispatcher_messages.DecideRetry):
            return retry_policy.Retry(message.tried)
        if isinstance(message, dispatcher_messages.DecideRecovery):
            return recovery.Replay("", ())
        if isinstance(message, dispatcher_messages.RequestEnded):
            return ()
        return None


def _daemon(context, clock):
    loop = stream_loop.StreamLoop(clock)
    thread = threading.Thread(target=loop.run, daemon=True)
    thread.start()
    context.closers.append(thread.join)
    context.closers.append(loop.stop)
    return types.SimpleNamespace(
        background=futures.ThreadPoolExecutor(1),
        clock=clock,
        dispatcher=_Dispatcher(each.address for each in context.runners),
        histograms=histograms.Histograms(),
        metrics=metrics.Metrics(None),
        streams=loop,
        wait_for_reply=lambda future: future.result(),
    )


def _request(clock):
    body = json.dumps(
        {"model": "m", "prompt": "p", "max_tokens": TOKENS, "stream": True}
    ).encode()
    return model_request.ModelRequest(
        clock,
        "r-1",
        "ana",
        types.SimpleNamespace(name="entry", pool="pool", model="m"),
        types.SimpleNamespace(
            name="class",
            priority=0,
            first_token_s=0.1,
            between_tokens_s=0.01,
        ),
        openai_format.parse_request(body, False),
        body,
        call_features.CallFeatures("r-1"),
        clock.now() + DEADLINE_S,
    )


def _add_runner(context, sent):
    runner = scripted_upstream.ScriptedUpstream([sent], "closes")
    context.closers.append(runner.close)
    context.runners = [*getattr(context, "runners", []), runner]


@given("a runner that breaks off after {count:d} tokens of {most:d}")
def _breaks_off(context, count, most):
    assert most == TOKENS
    _add_runner(context, _HEAD + b"\r\n" + _events(0, count - 1))


@given("a runner that resumes the answer with {answer}")
def _resumes(context, answer):
    _add_runner(context, _resumption(answer))


#: What a runner sends in one piece from token 0 on, by name.
BAD_PIECES = {
    "a missing token": _events(0, 2) + _event(4),
    "a token without a number": _events(0, 2) + b"id: x\ndata: {}\n\n",
    "a token with a huge number": _events(0, 2)
    + b"id: %b\ndata: {}\n\n" % (b"9" * 5000),
    "bytes without end": _events(0, 2) + b"id: 3\ndata: " + b"x" * 4000000,
}


@given("a runner that sends 3 tokens, then {what}, in one piece")
def _sends_bad_piece(context, what):
    _add_runner(context, _HEAD + b"\r\n" + BAD_PIECES[what])


@given("a runner that answers the request with status {status:d}")
def _answers_status(context, status):
    _add_runner(context, _resumption(f"status {status}"))


@when("the answer is read")
def _read(context):
    clock = clocks.SystemClock()
    context.request = _request(clock)
    reader = answer_reader.AnswerReader(
        _daemon(context, clock), context.request
    )
    received = []
    context.refusal = None
    try:
        received.append(reader.read_first())
        reader.read_rest(received.append)
    except refusals.Refusal as refusal:
        context.refusal = refusal
    context.received = b"".join(received)


@then("the caller gets the tokens 0 to {last:d} and the answer is done")
def _check_done(context, last):
    assert context.refusal is None, context.refusal
    assert context.received == _events(0, last), context.received
    assert context.request.transcript.outcome == "done"


@then("the caller gets the tokens 0 to {last:d} and the answer has failed")
def _check_failed(context, last):
    assert context.received == _events(0, last), context.received
    assert context.refusal is not None
    assert context.refusal.executed is refusals.Executed.UNKNOWN
    assert context.request.transcript.outcome == context.refusal.kind.name


@then("the caller is told that its request was bad")
def _check_bad(context):
    assert context.refusal.kind is refusals.BAD_REQUEST, context.refusal
    assert not context.received
    assert not context.runners[1].requests
