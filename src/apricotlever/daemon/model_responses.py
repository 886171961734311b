"""Sends a model answer to its caller, as a stream or as one response."""

import functools
import json
import typing

from .. import refusals
from ..links import caller_server
from ..links import openai_format
from ..runners import model as runners

from . import answer_reader as readers
from . import context as contexts
from . import model_request
from . import request_registry
from . import resumption_tokens
from . import transcripts

#: How long an answer is read on after its caller has disconnected.
LINGER_S = 15.0
STREAM_TYPE = "text/event-stream"
Headers = list[tuple[str, str]]


def answer_headers(request_id: str, content_type: str) -> Headers:
    """The headers of a response whose request was executed by an upstream.

    :param request_id: the request's ID.
    :param content_type: the content type of the body.
    """
    return [
        ("Content-Type", content_type),
        ("Cache-Control", "no-store"),
        ("Apricotlever-Request", request_id),
        ("Apricotlever-Executed", refusals.Executed.YES.value),
    ]


def token_event(request_id: str, index: int, token: str, chat: bool) -> bytes:
    """The SSE event of a token, in the format that runners send.

    :param request_id: the request's ID.
    :param index: position of the token in the whole answer.
    :param token: the text of the token.
    :param chat: whether the request is a chat completion.
    """
    choice: dict[str, typing.Any] = {"index": 0}
    if chat:
        choice["delta"] = {"content": token}
    else:
        choice["text"] = token
    document = {"id": request_id, "choices": [choice]}
    data = json.dumps(document, separators=(",", ":"))
    return f"id: {index}\ndata: {data}\n\n".encode()


def moved_event(request_id: str, address: str) -> bytes:
    """The SSE event that tells a caller which entry VM has its request.

    :param request_id: the request's ID.
    :param address: ``host:port`` of that VM for callers.
    """
    data = json.dumps({"entry": address, "request": request_id})
    return f"event: moved\ndata: {data}\n\n".encode()


def error_event(refusal: refusals.Refusal) -> bytes:
    """The SSE event that ends a failed stream with its error.

    :param refusal: the error, which states whether the request was executed.
    """
    return b"event: error\ndata: " + refusal.body() + b"\n\n"


class ModelResponder:
    """Runs one model request and responds to its caller.

    :param context: the daemon's tasks.
    :param flight: the admitted request.
    """

    def __init__(
        self, context: contexts.Context, flight: model_request.ModelRequest
    ) -> None:
        self._context = context
        self._flight = flight
        self._reader = readers.AnswerReader(context, flight)
        self._runner: runners.Runner | None = None

    def respond_streaming(
        self,
    ) -> caller_server.Reply | caller_server.StreamingReply:
        """Wait for the first token, then respond with a stream.

        :returns: the stream, or a redirect when the request has moved.
        :raises Refusal: when the request failed before its first token.
        """
        flight = self._flight
        try:
            first = self._reader.read_first()
        except readers.RequestMoved:
            return redirect_reply(flight.request_id, flight.moved_to)
        except refusals.Refusal as refusal:
            self._record_refusal(refusal)
            raise refusal.for_request(flight.request_id)
        self._runner = flight.runner
        headers = answer_headers(flight.request_id, STREAM_TYPE)
        token = resumption_token(self._context, flight)
        if token:
            headers.append((resumption_tokens.HEADER, token))
        return caller_server.StreamingReply(
            headers, functools.partial(self._write, first)
        )

    def respond_whole(self) -> caller_server.Reply:
        """Wait for the last token, then respond with the whole answer.

        :returns: the answer, or a redirect when the request has moved.
        :raises Refusal: when the request was given up.
        """
        flight = self._flight
        try:
            self._reader.read_first()
            self._reader.read_rest(discard)
        except readers.RequestMoved:
            return redirect_reply(flight.request_id, flight.moved_to)
        except refusals.Refusal as refusal:
            self._record_refusal(refusal)
            raise refusal.for_request(flight.request_id)
        self._record_done()
        tokens = flight.transcript.tokens()
        body = openai_format.completion_response(
            flight.request, flight.request_id, tokens
        )
        headers = answer_headers(flight.request_id, "application/json")
        return caller_server.Reply(200, headers, body)

    def _write(self, first: bytes, writer: caller_server.StreamWriter) -> None:
        """Write the answer until it ends or the caller disconnects."""
        try:
            last = self._write_events(first, writer)
            writer(last)
        except caller_server.CallerDisconnected:
            if not self._flight.transcript.ended:
                # The answer is read on for LINGER_S, because the caller may
                # reconnect and must then find every token.
                self._context.background.submit(self._read_without_caller)

    def _write_events(
        self, first: bytes, writer: caller_server.StreamWriter
    ) -> bytes:
        """Write the events of all tokens.

        :returns: the event that ends the stream.
        """
        flight = self._flight

        def sink(data: bytes) -> None:
            if flight.runner is not self._runner:
                self._runner = flight.runner
                token = resumption_token(self._context, flight)
                writer(resumption_tokens.event(token))
            writer(data)

        try:
            writer(first)
            self._reader.read_rest(sink)
        except readers.RequestMoved:
            return moved_event(flight.request_id, flight.moved_to)
        except refusals.Refusal as refusal:
            self._record_refusal(refusal)
            return error_event(refusal)
        self._record_done()
        return openai_format.DONE_EVENT

    def _read_without_caller(self) -> None:
        read_to_end(self._context, self._reader, LINGER_S)

    def _record_done(self) -> None:
        _record_outcome(self._context, self._flight, None)

    def _record_refusal(self, refusal: refusals.Refusal) -> None:
        _record_outcome(self._context, self._flight, refusal)


def resumption_token(
    context: contexts.Context, flight: model_request.ModelRequest
) -> str:
    """The token by which a caller can resume its stream.

    :param context: holds the catalogue with the customer's key hash.
    :param flight: the request.
    :returns: the token; empty when the customer is no longer in the
        catalogue or no runner has the request.
    """
    customer = context.catalogue.customers.get(flight.customer)
    if customer is None or flight.runner is None:
        return ""
    ticket = resumption_tokens.ResumptionToken(
        flight.request_id,
        flight.entry.name,
        flight.runner.name,
        flight.request.chat,
        flight.request.max_tokens,
    )
    return resumption_tokens.encode(ticket, customer)


def discard(data: bytes) -> None:
    """Sink used while no caller is connected."""


def pump_adopted(
    context: contexts.Context, reader: readers.AnswerReader
) -> None:
    """Read the answer to a request taken over from another entry VM.

    The caller of the request reconnects by itself and follows the transcript.

    :param context: the daemon's tasks.
    :param reader: reads the adopted request's answer.
    """
    try:
        reader.read_first()
    except readers.RequestMoved:
        return
    except refusals.Refusal as refusal:
        _record_outcome(context, reader.flight, refusal)
        return
    read_to_end(context, reader, float("inf"))


def read_to_end(
    context: contexts.Context, reader: readers.AnswerReader, linger_s: float
) -> None:
    """Read an answer to its end while no caller is connected.

    :param context: the daemon's tasks.
    :param reader: reads the answer; its first events have been read.
    :param linger_s: seconds after which the request is cancelled unless a
        caller has reconnected.
    """
    refused = None
    try:
        reader.read_rest(discard, linger_s)
    except readers.RequestMoved:
        return
    except refusals.Refusal as refusal:
        refused = refusal
    _record_outcome(context, reader.flight, refused)


def _record_outcome(
    context: contexts.Context,
    flight: model_request.ModelRequest,
    refusal: refusals.Refusal | None,
) -> None:
    """Record the outcome of a request in the archive."""
    outcome = request_registry.outcome_done()
    if refusal is not None:
        outcome = request_registry.outcome_failed(
            refusal.executed.value, refusal.kind.name
        )
    context.registry.tell(request_registry.Close(flight.request_id, outcome))


def redirect_reply(request_id: str, address: str) -> caller_server.Reply:
    """Redirect a caller to the entry VM that has its request.

    :param request_id: the request's ID.
    :param address: ``host:port`` of that VM for callers.
    """
    location = f"http://{address}/v1/requests/{request_id}"
    body = json.dumps({"entry": address, "request": request_id}).encode()
    headers = [
        ("Content-Type", "application/json"),
        ("Location", location),
        ("Apricotlever-Request", request_id),
        ("Apricotlever-Executed", refusals.Executed.YES.value),
    ]
    return caller_server.Reply(303, headers, body)


def follow_stream(
    flight: model_request.ModelRequest,
    start: int,
    is_disconnected: typing.Callable[[], bool],
) -> typing.Iterator[bytes]:
    """Yield the events of an answer that another thread reads.

    :param flight: the request.
    :param start: index of the first token to yield.
    :param is_disconnected: returns whether the caller has disconnected.
    """
    transcript = flight.transcript
    yield from transcript.follow(start, is_disconnected)
    yield final_event(flight, transcript)


def final_event(
    flight: model_request.ModelRequest, transcript: transcripts.Transcript
) -> bytes:
    """The event that ends a followed stream.

    :param flight: the request.
    :param transcript: the transcript of its answer, which has ended.
    """
    if flight.moved_to:
        return moved_event(flight.request_id, flight.moved_to)
    if transcript.outcome == "done":
        return openai_format.DONE_EVENT
    kind = refusals.kinds().get(transcript.outcome, refusals.GAVE_UP)
    return error_event(
        refusals.Refusal(
            kind,
            kind.meaning,
            refusals.Executed.UNKNOWN,
            1.0,
            flight.request_id,
        )
    )
