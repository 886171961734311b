"""Sends a model answer to its caller, as a stream or as one response."""

import functools
import json
import typing

from .. import refusals
from ..links import caller_server
from ..links import openai_format
from ..runners import model as runners

from . import answer_reader
from . import context as contexts
from . import model_request
from . import request_registry
from . import resumption_tokens
from . import transcripts

#: How long reading an answer continues after its caller has disconnected.
LINGER_S = 15.0
STREAM_TYPE = "text/event-stream"
Headers = list[tuple[str, str]]


def answer_headers(request_id: str, content_type: str) -> Headers:
    """The headers of a response to a request that an upstream executed.

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
    """The SSE event that tells a caller which entry VM now has its request.

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
    :param request: the admitted model request.
    """

    def __init__(
        self, context: contexts.Context, request: model_request.ModelRequest
    ) -> None:
        self._context = context
        self._request = request
        self._reader = answer_reader.AnswerReader(context, request)
        self._runner: runners.Runner | None = None

    def respond_streaming(
        self,
    ) -> caller_server.Reply | caller_server.StreamingReply:
        """Wait for the first token, then respond with a stream.

        :returns: the stream, or a redirect when the request has moved.
        :raises Refusal: when the request failed before its first token.
        """
        request = self._request
        try:
            first_events = self._reader.read_first()
        except answer_reader.RequestMoved:
            return redirect_reply(request.request_id, request.moved_to)
        except refusals.Refusal as refusal:
            self._record_refusal(refusal)
            raise refusal.for_request(request.request_id)
        self._runner = request.runner
        headers = answer_headers(request.request_id, STREAM_TYPE)
        token = resumption_token(self._context, request)
        if token:
            headers.append((resumption_tokens.HEADER, token))
        return caller_server.StreamingReply(
            headers, functools.partial(self._write, first_events)
        )

    def respond_whole(self) -> caller_server.Reply:
        """Wait for the last token, then respond with the whole answer.

        :returns: the answer, or a redirect when the request has moved.
        :raises Refusal: when the request was given up.
        """
        request = self._request
        try:
            self._reader.read_first()
            self._reader.read_rest(discard)
        except answer_reader.RequestMoved:
            return redirect_reply(request.request_id, request.moved_to)
        except refusals.Refusal as refusal:
            self._record_refusal(refusal)
            raise refusal.for_request(request.request_id)
        self._record_done()
        tokens = request.transcript.tokens()
        body = openai_format.completion_response(
            request.completion_request, request.request_id, tokens
        )
        headers = answer_headers(request.request_id, "application/json")
        return caller_server.Reply(200, headers, body)

    def _write(
        self, first_events: bytes, writer: caller_server.StreamWriter
    ) -> None:
        """Write the answer until it ends or the caller disconnects."""
        try:
            closing_event = self._write_events(first_events, writer)
            writer(closing_event)
        except caller_server.CallerDisconnected:
            if not self._request.transcript.ended:
                # A caller that reconnects must receive every token, so reading
                # goes on without it for LINGER_S.
                self._context.background.submit(self._read_without_caller)

    def _write_events(
        self, first_events: bytes, writer: caller_server.StreamWriter
    ) -> bytes:
        """Write the events of all tokens.

        :returns: the event that ends the stream.
        """
        request = self._request

        def sink(data: bytes) -> None:
            if request.runner is not self._runner:
                self._runner = request.runner
                token = resumption_token(self._context, request)
                writer(resumption_tokens.encode_event(token))
            writer(data)

        try:
            writer(first_events)
            self._reader.read_rest(sink)
        except answer_reader.RequestMoved:
            return moved_event(request.request_id, request.moved_to)
        except refusals.Refusal as refusal:
            self._record_refusal(refusal)
            return error_event(refusal)
        self._record_done()
        return openai_format.DONE_EVENT

    def _read_without_caller(self) -> None:
        read_to_end(self._context, self._reader, LINGER_S)

    def _record_done(self) -> None:
        _record_outcome(self._context, self._request, None)

    def _record_refusal(self, refusal: refusals.Refusal) -> None:
        _record_outcome(self._context, self._request, refusal)


def resumption_token(
    context: contexts.Context, request: model_request.ModelRequest
) -> str:
    """The resumption token of a stream.

    A caller presents it to any entry VM to resume the stream after the one
    that it used has crashed.

    :param context: holds the catalogue with the customer's key hash.
    :param request: the request.
    :returns: the token; empty when the customer is no longer in the
        catalogue or no runner has the request.
    """
    customer = context.catalogue.customers.get(request.customer)
    if customer is None or request.runner is None:
        return ""
    token = resumption_tokens.ResumptionToken(
        request.request_id,
        request.entry.name,
        request.runner.name,
        request.completion_request.chat,
        request.completion_request.max_tokens,
    )
    return resumption_tokens.encode(token, customer)


def discard(data: bytes) -> None:
    """Drop events: the sink while no caller reads them as a stream."""


def read_adopted(
    context: contexts.Context, reader: answer_reader.AnswerReader
) -> None:
    """Read the answer to a request taken over from another entry VM.

    The caller reconnects on its own and then follows the transcript.

    :param context: the daemon's tasks.
    :param reader: reads the adopted request's answer.
    """
    try:
        reader.read_first()
    except answer_reader.RequestMoved:
        return
    except refusals.Refusal as refusal:
        _record_outcome(context, reader.request, refusal)
        return
    read_to_end(context, reader, float("inf"))


def read_to_end(
    context: contexts.Context,
    reader: answer_reader.AnswerReader,
    linger_s: float,
) -> None:
    """Read an answer to its end while no caller is connected.

    :param context: the daemon's tasks.
    :param reader: reads the answer; its first events have been read.
    :param linger_s: seconds after which the request is cancelled unless a
        caller has reconnected.
    """
    refusal = None
    try:
        reader.read_rest(discard, linger_s)
    except answer_reader.RequestMoved:
        return
    except refusals.Refusal as error:
        refusal = error
    _record_outcome(context, reader.request, refusal)


def _record_outcome(
    context: contexts.Context,
    request: model_request.ModelRequest,
    refusal: refusals.Refusal | None,
) -> None:
    """Record the outcome of a request in the registry."""
    outcome = request_registry.outcome_done()
    if refusal is not None:
        outcome = request_registry.outcome_failed(
            refusal.executed.value, refusal.kind.name
        )
    context.registry.tell(
        request_registry.RecordOutcome(request.request_id, outcome)
    )


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
    request: model_request.ModelRequest,
    start: int,
    is_disconnected: typing.Callable[[], bool],
) -> typing.Iterator[bytes]:
    """Yield the events of an answer that another thread reads.

    :param request: the request.
    :param start: index of the first token to yield.
    :param is_disconnected: returns whether the caller has disconnected.
    """
    transcript = request.transcript
    yield from transcript.follow(start, is_disconnected)
    yield final_event(request, transcript)


def final_event(
    request: model_request.ModelRequest, transcript: transcripts.Transcript
) -> bytes:
    """The event that ends a followed stream.

    :param request: the request.
    :param transcript: the transcript of the answer, which has ended.
    """
    if request.moved_to:
        return moved_event(request.request_id, request.moved_to)
    if transcript.outcome == "done":
        return openai_format.DONE_EVENT
    kind = refusals.kinds().get(transcript.outcome, refusals.GAVE_UP)
    return error_event(
        refusals.Refusal(
            kind,
            kind.meaning,
            refusals.Executed.UNKNOWN,
            1.0,
            request.request_id,
        )
    )
