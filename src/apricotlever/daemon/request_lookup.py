"""Handles callers that ask for the outcome or stream of an earlier request."""

import typing

from .. import refusals
from ..catalogue import model as catalogues
from ..links import caller_server
from ..links import openai_format
from ..requests import records

from . import access
from . import context as contexts
from . import model_responses
from . import orphaned_streams
from . import request_registry
from . import resumption_tokens
from . import vm_presence as presences

MAX_TOKEN_INDEX_DIGITS = 9


class RequestLookup:
    """Finds a caller's earlier request by its ID.

    The request may be at this VM, at another entry VM, or only at its runner.

    :param context: the daemon's tasks.
    :param presence: knows the addresses of the other entry VMs.
    """

    __slots__ = ("_context", "_presence", "_orphaned_streams")

    def __init__(
        self, context: contexts.Context, presence: presences.VmPresence
    ) -> None:
        self._context = context
        self._presence = presence
        self._orphaned_streams = orphaned_streams.OrphanedStreams(context)

    def answer(
        self, call: caller_server.Call, request_id: str
    ) -> caller_server.Reply:
        """Answer with the outcome of a request or the rest of its stream.

        :param call: the HTTP call.
        :param request_id: the request's ID.
        :returns: the outcome as JSON, the stream after the ``Last-Event-ID``
            of the call, or a redirect to the entry VM that has the request.
        :raises Refusal: when this customer has no such request.
        """
        catalogue = access.current_catalogue(self._context)
        customer = access.authenticate(catalogue, call)
        last_index = _last_event_id(call)
        resume = request_registry.ResumeRequest(
            request_id, customer.name, last_index
        )
        future = self._context.registry.ask(resume)
        found = self._context.wait_for_reply(future)
        if found is None:
            return self._find_elsewhere(
                call, catalogue, customer, request_id, last_index
            )
        if isinstance(found.resumed, records.ResumeMoved):
            return model_responses.redirect_reply(request_id, found.resumed.vm)
        wants_stream = model_responses.STREAM_TYPE in call.header("Accept")
        if last_index is not None or wants_stream:
            return _stream_reply(call, found, last_index)
        return caller_server.json_reply(_describe(found))

    def _find_elsewhere(
        self,
        call: caller_server.Call,
        catalogue: catalogues.Catalogue,
        customer: catalogues.Customer,
        request_id: str,
        last_index: int | None,
    ) -> caller_server.Reply:
        """Answer for a request that another entry VM accepted.

        :param call: the HTTP call.
        :param catalogue: the catalogue that the call uses.
        :param customer: the caller's customer.
        :param request_id: the request's ID.
        :param last_index: index of the last token that the caller has, or
            None.
        :returns: a redirect to that VM. If that VM has ended and the runner
            still has the stream, the rest of the stream.
        :raises Refusal: when neither the request nor its stream is found.
        """
        owner_address = self._presence.address_of_minting_vm(request_id)
        if owner_address:
            return model_responses.redirect_reply(request_id, owner_address)
        token = resumption_tokens.decode(
            call.header(resumption_tokens.HEADER), customer
        )
        if token is None or token.request_id != request_id:
            raise refusals.Refusal(
                refusals.NOT_FOUND,
                "this entry VM knows no such request of this customer",
                refusals.Executed.UNKNOWN,
                request_id=request_id,
            )
        request = self._orphaned_streams.resume(token, catalogue, customer)
        headers = model_responses.answer_headers(
            request_id, model_responses.STREAM_TYPE
        )
        events = model_responses.follow_stream(
            request, _first_index(last_index), call.is_disconnected
        )
        return caller_server.Reply(200, headers, events)


def _first_index(last_index: int | None) -> int:
    """The index of the first token to send.

    :param last_index: index of the last token that the caller has, or None.
    """
    return 0 if last_index is None else last_index + 1


def _stream_reply(
    call: caller_server.Call,
    found: request_registry.FoundRequest,
    last_index: int | None,
) -> caller_server.Reply:
    record = found.record
    headers = model_responses.answer_headers(
        record.request_id, model_responses.STREAM_TYPE
    )
    start = _first_index(last_index)
    if found.request is not None:
        events = model_responses.follow_stream(
            found.request, start, call.is_disconnected
        )
        return caller_server.Reply(200, headers, events)
    outcome = record.outcome
    if outcome is None:
        # The registry may change the record at this moment. An outcome is set
        # last, once the tokens are final.
        raise refusals.Refusal(
            refusals.LEAVING,
            "the request is ending or moving; ask again",
            refusals.Executed.UNKNOWN,
            0.2,
            record.request_id,
        )
    body = b"".join(
        model_responses.token_event(
            record.request_id, index, token, record.chat
        )
        for index, token in enumerate(record.tokens)
        if index >= start
    )
    end = _final_event(record.request_id, outcome)
    return caller_server.Reply(200, headers, body + end)


def _last_event_id(call: caller_server.Call) -> int | None:
    text = call.header("Last-Event-ID")
    if not text:
        return None
    is_number = text.isascii() and text.isdigit()
    if not is_number or len(text) > MAX_TOKEN_INDEX_DIGITS:
        raise refusals.Refusal(
            refusals.BAD_REQUEST,
            "Last-Event-ID: expected the index of a token",
        )
    return int(text)


def _final_event(request_id: str, outcome: records.RequestOutcome) -> bytes:
    if outcome.error is None:
        return openai_format.DONE_EVENT
    kind = refusals.kinds().get(outcome.error, refusals.GAVE_UP)
    executed = refusals.Executed(outcome.executed.value)
    return model_responses.error_event(
        refusals.Refusal(kind, kind.meaning, executed, 1.0, request_id)
    )


def _describe(found: request_registry.FoundRequest) -> dict[str, typing.Any]:
    """The state of a request as JSON, with the outcome once it has ended."""
    record = found.record
    request = found.request
    tokens = len(request.transcript) if request else len(record.tokens)
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
