"""The handler of callers that come back for a request they made before."""

import typing

from .. import refusals
from ..catalogue import model as catalogues
from ..links import caller_server
from ..links import openai_format
from ..requests import records

from . import access
from . import archive
from . import context as contexts
from . import presence as presences
from . import relay
from . import rescues
from . import resumption

TOKEN_INDEX_DIGITS_MAX = 9


class Lookups:
    """Finds requests by their IDs, here or elsewhere.

    :param context: the daemon's tasks.
    :param presence: this VM's place among the entry VMs.
    """

    __slots__ = ("_context", "_presence", "_rescues")

    def __init__(
        self, context: contexts.Context, presence: presences.Presence
    ) -> None:
        self._context = context
        self._presence = presence
        self._rescues = rescues.Rescues(context)

    def answer(
        self, call: caller_server.Call, request_id: str
    ) -> caller_server.Reply:
        """What became of a request, or the rest of its stream.

        :param call: what the caller sent.
        :param request_id: the request.
        :returns: the outcome as JSON, the stream from the token wanted on,
            or a redirect to the entry VM that has the request.
        :raises Refusal: when this customer has no such request.
        """
        catalogue = access.catalogue_of(self._context)
        customer = access.customer_of(catalogue, call)
        last = _last_event_id(call)
        resume = archive.Resume(request_id, customer.name, last)
        asked = self._context.archive.ask(resume)
        found = self._context.answer_of(asked)
        if found is None:
            return self._unknown(call, catalogue, customer, request_id, last)
        if isinstance(found.resumed, records.ResumeMoved):
            return relay.redirect(request_id, found.resumed.vm)
        wants_stream = relay.STREAM_TYPE in call.header("Accept")
        if last is not None or wants_stream:
            return _resumed(call, found, last)
        return caller_server.json_reply(_described(found))

    def _unknown(
        self,
        call: caller_server.Call,
        catalogue: catalogues.Catalogue,
        customer: catalogues.Customer,
        request_id: str,
        last: int | None,
    ) -> caller_server.Reply:
        """A request that another entry VM took, living or dead."""
        owner = self._presence.owner_of(request_id)
        if owner:
            return relay.redirect(request_id, owner)
        ticket = resumption.decode(call.header(resumption.HEADER), customer)
        if ticket is None or ticket.request_id != request_id:
            raise refusals.Refusal(
                refusals.NOT_FOUND,
                "no such request of this customer is known here",
                refusals.Executed.UNKNOWN,
                request_id=request_id,
            )
        flight = self._rescues.rescue(ticket, catalogue, customer)
        headers = relay.answer_headers(request_id, relay.STREAM_TYPE)
        events = relay.follow(flight, _start(last), call.is_disconnected)
        return caller_server.Reply(200, headers, events)


def _start(last: int | None) -> int:
    """The index of the first token wanted."""
    return 0 if last is None else last + 1


def _resumed(
    call: caller_server.Call, found: archive.Found, last: int | None
) -> caller_server.Reply:
    record = found.record
    headers = relay.answer_headers(record.request_id, relay.STREAM_TYPE)
    start = _start(last)
    if found.flight is not None:
        events = relay.follow(found.flight, start, call.is_disconnected)
        return caller_server.Reply(200, headers, events)
    if record.state is records.RequestState.RUNNING:
        raise refusals.Refusal(
            refusals.LEAVING,
            "the request is being taken over; ask again",
            refusals.Executed.UNKNOWN,
            0.2,
            record.request_id,
        )
    body = b"".join(
        relay.token_event(record.request_id, index, token, record.chat)
        for index, token in enumerate(record.tokens)
        if index >= start
    )
    return caller_server.Reply(200, headers, body + _last_event(record))


def _last_event_id(call: caller_server.Call) -> int | None:
    text = call.header("Last-Event-ID")
    if not text:
        return None
    digits = text.isascii() and text.isdigit()
    if not digits or len(text) > TOKEN_INDEX_DIGITS_MAX:
        raise refusals.Refusal(
            refusals.BAD_REQUEST, "Last-Event-ID: wanted a token's index"
        )
    return int(text)


def _last_event(record: records.RequestRecord) -> bytes:
    outcome = record.outcome
    if outcome is None or outcome.error is None:
        return openai_format.DONE_EVENT
    kind = refusals.kinds().get(outcome.error, refusals.GAVE_UP)
    executed = refusals.Executed(outcome.executed.value)
    return relay.error_event(
        refusals.Refusal(kind, kind.meaning, executed, 1.0, record.request_id)
    )


def _described(found: archive.Found) -> dict[str, typing.Any]:
    """The outcome of a request as JSON."""
    record = found.record
    flight = found.flight
    tokens = len(flight.transcript) if flight else len(record.tokens)
    document: dict[str, typing.Any] = {
        "request": record.request_id,
        "entry": record.entry,
        "state": record.state.value,
        "tokens": tokens,
    }
    if record.outcome is not None:
        document["executed"] = record.outcome.executed.value
        document["error"] = record.outcome.error
        document["text"] = "".join(record.tokens)
    return document
