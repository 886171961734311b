"""Steps for tests/daemon/request_lookup.feature."""

from concurrent import futures
import types
from unittest import mock

from behave import given
from behave import then
from behave import when

from apricotlever import clock as clocks
from apricotlever import refusals

from apricotlever.daemon import access
from apricotlever.daemon import request_lookup
from apricotlever.daemon import request_registry
from apricotlever.links import caller_server
from apricotlever.links import openai_format
from apricotlever.requests import records

ID = "r-1"
TOKENS = ["a", "b"]


def _end(state, outcome):
    def change(kept, record):
        record.state = state
        record.outcome = outcome

    return change


#: What happens to a record between its lookup and the reply.
CHANGES = {
    "has ended well": _end(
        records.RequestState.ENDED, request_registry.outcome_done()
    ),
    "has failed": _end(
        records.RequestState.ENDED,
        request_registry.outcome_failed("unknown", refusals.GAVE_UP.name),
    ),
    "has moved": lambda kept, record: kept.record_move(ID, "10.0.0.2:80"),
    "is ending": _end(records.RequestState.ENDED, None),
    "runs without its reader": lambda kept, record: None,
}


class _Registry:
    """Finds one request, which changes before the reply.

    :param change: is given the records and the request's record.
    """

    def __init__(self, change):
        self._change = change

    def ask(self, message):
        kept = records.RequestRecords(clocks.ManualClock())
        record = kept.open(ID, "ana", "entry", "/v1/completions", b"{}", False)
        record.tokens = list(TOKENS)
        resumed = kept.resume(ID, "ana", message.last_event_id)
        self._change(kept, record)
        reply = futures.Future()
        reply.set_result(request_registry.FoundRequest(record, resumed, None))
        return reply


@given(
    "a request with {count:d} tokens that {does} when its caller's lookup is "
    "answered"
)
def _request(context, count, does):
    assert count == len(TOKENS)
    daemon = types.SimpleNamespace(
        registry=_Registry(CHANGES[does]),
        wait_for_reply=lambda future: future.result(),
    )
    context.lookup = request_lookup.RequestLookup(daemon, None)


@when("the caller is sent the answer")
def _answer(context):
    call = caller_server.Call(
        "GET",
        f"/v1/requests/{ID}",
        {},
        {"HTTP_ACCEPT": "text/event-stream"},
        b"",
    )
    customer = types.SimpleNamespace(name="ana")
    try:
        with mock.patch.object(access, "current_catalogue"):
            with mock.patch.object(
                access, "authenticate", return_value=customer
            ):
                context.reply = context.lookup.answer(call, ID)
    except refusals.Refusal as refusal:
        context.reply = refusal


@then("the caller gets the tokens and the end")
def _check_done(context):
    assert context.reply.body.count(b"id: ") == len(TOKENS), context.reply.body
    assert context.reply.body.endswith(openai_format.DONE_EVENT)


@then("the caller gets the tokens and an error")
def _check_error(context):
    assert context.reply.body.count(b"id: ") == len(TOKENS), context.reply.body
    assert b"event: error" in context.reply.body
    assert openai_format.DONE_EVENT not in context.reply.body


@then("the caller gets that it should ask again")
def _check_refused(context):
    assert isinstance(context.reply, refusals.Refusal), context.reply.body
    assert context.reply.kind is refusals.LEAVING, context.reply.kind
    assert context.reply.executed is refusals.Executed.UNKNOWN
