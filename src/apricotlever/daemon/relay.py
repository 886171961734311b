"""Gives a model request's answer to its caller, as a stream or whole."""

import functools
import json
import typing

from .. import refusals
from ..links import caller_server
from ..links import openai_format
from ..runners import model as runners

from . import archive
from . import context as contexts
from . import flights
from . import pump as pumps
from . import resumption
from . import transcripts

LINGER_S = 15.0
STREAM_TYPE = "text/event-stream"
Headers = list[tuple[str, str]]


def answer_headers(request_id: str, content_type: str) -> Headers:
    """The headers of an answer that an upstream ran.

    :param request_id: the request's ID.
    :param content_type: of the body.
    """
    return [
        ("Content-Type", content_type),
        ("Cache-Control", "no-store"),
        ("Apricotlever-Request", request_id),
        ("Apricotlever-Executed", refusals.Executed.YES.value),
    ]


def token_event(request_id: str, index: int, token: str, chat: bool) -> bytes:
    """The SSE event of a token, in the form that runners use.

    :param index: of the token in the whole answer.
    :param chat: whether the request came in the chat form.
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
    """Tells a caller which entry VM goes on with its request.

    :param address: ``host:port`` for callers.
    """
    data = json.dumps({"entry": address, "request": request_id})
    return f"event: moved\ndata: {data}\n\n".encode()


def error_event(refusal: refusals.Refusal) -> bytes:
    """Ends a stream that can't be finished, with the truth about it."""
    return b"event: error\ndata: " + refusal.body() + b"\n\n"


class Relay:
    """Runs one model request for the caller that waits for it.

    :param context: the daemon's tasks.
    :param flight: the request, admitted.
    """

    def __init__(
        self, context: contexts.Context, flight: flights.Flight
    ) -> None:
        self._context = context
        self._flight = flight
        self._pump = pumps.Pump(context, flight)
        self._runner: runners.Runner | None = None

    def stream(self) -> caller_server.Reply | caller_server.StreamingReply:
        """Answer token by token; the first one has come by then.

        :raises Refusal: when the request failed before its first token.
        """
        flight = self._flight
        try:
            first = self._pump.first()
        except pumps.Moved:
            return redirect(flight.request_id, flight.moved_to)
        except refusals.Refusal as refusal:
            self._failed(refusal)
            raise refusal.for_request(flight.request_id)
        self._runner = flight.runner
        headers = answer_headers(flight.request_id, STREAM_TYPE)
        token = token_of(self._context, flight)
        if token:
            headers.append((resumption.HEADER, token))
        return caller_server.StreamingReply(
            headers, functools.partial(self._write, first)
        )

    def whole(self) -> caller_server.Reply:
        """Answer at once when the last token has come.

        :raises Refusal: when the request was given up.
        """
        flight = self._flight
        try:
            self._pump.first()
            self._pump.rest(drop)
        except pumps.Moved:
            return redirect(flight.request_id, flight.moved_to)
        except refusals.Refusal as refusal:
            self._failed(refusal)
            raise refusal.for_request(flight.request_id)
        self._done()
        tokens = flight.transcript.tokens()
        body = openai_format.completion_response(
            flight.request, flight.request_id, tokens
        )
        headers = answer_headers(flight.request_id, "application/json")
        return caller_server.Reply(200, headers, body)

    def _write(self, first: bytes, writer: caller_server.StreamWriter) -> None:
        """Write the answer for as long as the caller listens."""
        try:
            last = self._write_events(first, writer)
            writer(last)
        except caller_server.CallerDisconnected:
            if not self._flight.transcript.ended:
                # The stream runs on for a while, for the caller may come
                # back and must find every token.
                self._context.background.submit(self._linger)

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
                token = token_of(self._context, flight)
                writer(resumption.event(token))
            writer(data)

        try:
            writer(first)
            self._pump.rest(sink)
        except pumps.Moved:
            return moved_event(flight.request_id, flight.moved_to)
        except refusals.Refusal as refusal:
            self._failed(refusal)
            return error_event(refusal)
        self._done()
        return openai_format.DONE_EVENT

    def _linger(self) -> None:
        finish(self._context, self._pump, LINGER_S)

    def _done(self) -> None:
        _close(self._context, self._flight, None)

    def _failed(self, refusal: refusals.Refusal) -> None:
        _close(self._context, self._flight, refusal)


def token_of(context: contexts.Context, flight: flights.Flight) -> str:
    """The resumption token of a stream; empty when there is none.

    :param context: knows the customer.
    :param flight: the request, at a runner.
    """
    customer = context.catalogue.customers.get(flight.customer)
    if customer is None or flight.runner is None:
        return ""
    ticket = resumption.Ticket(
        flight.request_id,
        flight.entry.name,
        flight.runner.name,
        flight.request.chat,
        flight.request.max_tokens,
    )
    return resumption.encode(ticket, customer)


def drop(data: bytes) -> None:
    """The sink when no caller is connected."""


def pump_adopted(context: contexts.Context, pump: pumps.Pump) -> None:
    """Go on with a request that another entry VM handed over.

    :param pump: of the adopted request; its caller comes on its own.
    """
    try:
        pump.first()
    except pumps.Moved:
        return
    except refusals.Refusal as refusal:
        _close(context, pump.flight, refusal)
        return
    finish(context, pump, float("inf"))


def finish(
    context: contexts.Context, pump: pumps.Pump, linger_s: float
) -> None:
    """Read an answer to its end while no caller is connected.

    :param linger_s: given up after this time, unless a caller comes back.
    """
    refused = None
    try:
        pump.rest(drop, linger_s)
    except pumps.Moved:
        return
    except refusals.Refusal as refusal:
        refused = refusal
    _close(context, pump.flight, refused)


def _close(
    context: contexts.Context,
    flight: flights.Flight,
    refusal: refusals.Refusal | None,
) -> None:
    """Put a request's outcome on record."""
    outcome = archive.outcome_done()
    if refusal is not None:
        outcome = archive.outcome_failed(
            refusal.executed.value, refusal.kind.name
        )
    context.archive.tell(archive.Close(flight.request_id, outcome))


def redirect(request_id: str, address: str) -> caller_server.Reply:
    """Send a caller to the entry VM that has its request.

    :param address: ``host:port`` for callers of that VM.
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


def follow(
    flight: flights.Flight,
    start: int,
    gone: typing.Callable[[], bool],
) -> typing.Iterator[bytes]:
    """The rest of an answer that another thread is reading.

    :param start: index of the first token wanted.
    :param gone: whether the caller has left.
    """
    transcript = flight.transcript
    yield from transcript.follow(start, gone)
    yield ending(flight, transcript)


def ending(
    flight: flights.Flight, transcript: transcripts.Transcript
) -> bytes:
    """The event that ends a followed stream."""
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
