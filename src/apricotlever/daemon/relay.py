"""Gives a model request's answer to its caller, as a stream or whole."""

import json
import typing

from .. import refusals
from ..links import callers
from ..links import openai
from ..requests import records

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
        self._chunks = pumps.Pump(context, flight).chunks()

    def stream(self) -> callers.Reply:
        """Answer token by token; the first one has come by then.

        :raises Refusal: when the request failed before its first token.
        """
        first = self._first()
        headers = answer_headers(self._flight.request_id, STREAM_TYPE)
        token = self._token()
        if token:
            headers.append((resumption.HEADER, token))
        return callers.Reply(200, headers, self._events(first))

    def whole(self) -> callers.Reply:
        """Answer at once when the last token has come.

        :raises Refusal: when the request was given up.
        """
        flight = self._flight
        try:
            for _ in self._chunks:
                pass
        except pumps.Moved:
            return redirect(flight.request_id, flight.moved_to)
        except refusals.Refusal as refusal:
            self._failed(refusal)
            raise refusal.for_request(flight.request_id)
        self._done()
        tokens = flight.transcript.tokens()
        body = openai.whole_answer(flight.request, flight.request_id, tokens)
        headers = answer_headers(flight.request_id, "application/json")
        return callers.Reply(200, headers, body)

    def _first(self) -> bytes:
        try:
            return next(self._chunks)
        except StopIteration:
            self._done()
            return b""
        except pumps.Moved:
            flight = self._flight
            return moved_event(flight.request_id, flight.moved_to)
        except refusals.Refusal as refusal:
            self._failed(refusal)
            raise refusal.for_request(self._flight.request_id)

    def _events(self, first: bytes) -> typing.Iterator[bytes]:
        flight = self._flight
        try:
            yield first
            runner = flight.runner
            for chunk in self._chunks:
                if flight.runner is not runner:
                    runner = flight.runner
                    yield resumption.event(self._token())
                yield chunk
            yield openai.DONE_EVENT
        except GeneratorExit:
            # The caller has gone. The stream runs on for a while, for the
            # caller may come back and must find every token.
            self._context.background.submit(self._linger)
            raise
        except pumps.Moved:
            yield moved_event(flight.request_id, flight.moved_to)
            return
        except refusals.Refusal as refusal:
            self._failed(refusal)
            yield error_event(refusal)
            return
        self._done()

    def _token(self) -> str:
        """The token by which the caller finds its stream without us."""
        return token_of(self._context, self._flight)

    def _linger(self) -> None:
        flight = self._flight
        give_up_at = self._context.clock.now() + LINGER_S
        try:
            for _ in self._chunks:
                overdue = self._context.clock.now() > give_up_at
                if overdue and not flight.transcript.followed:
                    flight.cancel()
        except pumps.Moved:
            return
        except refusals.Refusal as refusal:
            self._failed(refusal)
            return
        self._done()

    def _done(self) -> None:
        self._close(archive.outcome_done())

    def _failed(self, refusal: refusals.Refusal) -> None:
        self._close(
            archive.outcome_failed(refusal.executed.value, refusal.kind.name)
        )

    def _close(self, outcome: records.Outcome) -> None:
        close = archive.Close(self._flight.request_id, outcome)
        self._context.archive.tell(close)


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


def pump_adopted(context: contexts.Context, pump: pumps.Pump) -> None:
    """Go on with a request that another entry VM handed over.

    :param pump: of the adopted request; its caller comes on its own.
    """
    flight = pump.flight
    outcome = archive.outcome_done()
    try:
        for _ in pump.chunks():
            pass
    except pumps.Moved:
        return
    except refusals.Refusal as refusal:
        outcome = archive.outcome_failed(
            refusal.executed.value, refusal.kind.name
        )
    context.archive.tell(archive.Close(flight.request_id, outcome))


def redirect(request_id: str, address: str) -> callers.Reply:
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
    return callers.Reply(303, headers, body)


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
        return openai.DONE_EVENT
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
