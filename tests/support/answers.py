"""Records what a client received for one request, over all its connections.

Also parses server-sent events and the status codes that precede a stream.
"""

import http.client
import json
import time
import typing

from standins import _deterministic_tokens

MOVED_EVENT = "moved"
RESUME_EVENT = "resume"
RESUME_HEADER = "Apricotlever-Resume"
ERROR_EVENT = "error"
DONE_MARKER = "[DONE]"
SEE_OTHER = 303
REQUEST_ID_HEADER = "Apricotlever-Request"
EXECUTED_HEADER = "Apricotlever-Executed"


class Answer:
    """What a client received for one request, over all its connections.

    :param expected_tokens: the correct tokens; None if they are not checked.
    """

    __slots__ = (
        "request_id",
        "status",
        "executed",
        "error",
        "tokens",
        "event_ids",
        "done",
        "first_token_s",
        "token_gaps_s",
        "last_token_s",
        "redirects",
        "broken_connections",
        "expected_tokens",
        "payload",
        "retry_after_s",
        "total_s",
        "resume_token",
    )

    def __init__(self, expected_tokens: list[str] | None = None) -> None:
        self.request_id = ""
        self.status = 0
        self.executed = ""
        self.error: typing.Any = None
        self.tokens: list[str] = []
        self.event_ids: list[int] = []
        self.done = False
        #: Seconds from the sending of the request to the first token.
        self.first_token_s: float | None = None
        #: Pauses between tokens, in seconds.
        self.token_gaps_s: list[float] = []
        #: Seconds from the sending of the request to the last token.
        self.last_token_s = 0.0
        #: Number of redirects to another entry VM.
        self.redirects = 0
        #: Number of connections that failed.
        self.broken_connections = 0
        self.expected_tokens = expected_tokens
        self.payload: typing.Any = None
        self.retry_after_s: float | None = None
        #: Seconds from the sending of the request to the end of its answer.
        self.total_s = 0.0
        self.resume_token = ""

    @property
    def problem(self) -> str:
        """What is wrong with the result; empty if it is complete and right."""
        if not self.done:
            return f"not whole: status {self.status}, error {self.error}"
        if self.event_ids != list(range(len(self.event_ids))):
            return (
                "event IDs out of order, missing or duplicated: "
                f"{self.event_ids}"
            )
        if (
            self.expected_tokens is not None
            and self.tokens != self.expected_tokens
        ):
            return f"tokens differ: {self.tokens} != {self.expected_tokens}"
        return ""

    @property
    def refused(self) -> bool:
        """Whether the request was refused and reported as not executed."""
        return self.status >= 400 and self.executed == "no"


class RequestEnded(Exception):
    """The request has ended; no more events will follow."""


class StreamMoved(Exception):
    """The entry VM named another one that continues the stream.

    :param address: ``host:port`` of that entry VM; may be empty.
    """

    def __init__(self, address: str) -> None:
        super().__init__(address)
        self.address = address


class _SseEvent:
    """One server-sent event."""

    __slots__ = ("name", "event_id", "data")

    def __init__(self, name: str, event_id: str, data: str) -> None:
        self.name = name
        self.event_id = event_id
        self.data = data


def read_events(
    response: http.client.HTTPResponse,
) -> typing.Iterator[_SseEvent]:
    """Yield the events of a stream until the connection closes."""
    fields: dict[str, str] = {}
    while raw := response.readline():
        line = raw.decode().rstrip("\r\n")
        if line:
            name, _, value = line.partition(":")
            fields[name] = value.removeprefix(" ")
        elif fields:
            yield _SseEvent(
                fields.get("event", ""),
                fields.get("id", ""),
                fields.get("data", ""),
            )
            fields = {}


def require_stream(
    answer: Answer, response: http.client.HTTPResponse, resuming: bool
) -> None:
    """Record the status and headers, and raise unless a stream follows.

    :param resuming: whether the request was sent before, so that another
        entry VM may still have its stream.
    :raises StreamMoved: when the response redirects to another entry VM.
    :raises OSError: when a resumed stream is not available here.
    :raises RequestEnded: when the response has any other status but 200.
    """
    if response.status == 200:
        record_headers(answer, 200, response.headers)
        return
    content = response.read().decode(errors="replace")
    if response.status == SEE_OTHER:
        answer.request_id = response.headers[REQUEST_ID_HEADER]
        raise StreamMoved(json.loads(content)["entry"])
    if resuming and response.status in (404, 429, 502, 503, 504):
        raise OSError(f"no stream to resume: {response.status} {content}")
    record_headers(answer, response.status, response.headers)
    answer.error = content
    raise RequestEnded


def record_headers(
    answer: Answer, status: int, headers: http.client.HTTPMessage
) -> None:
    """Record the status and the project's headers of a response.

    A header that is missing keeps the value from an earlier response.
    ``Retry-After`` alone is cleared.
    """
    answer.status = status
    answer.request_id = headers.get(REQUEST_ID_HEADER, answer.request_id)
    answer.executed = headers.get(EXECUTED_HEADER, answer.executed)
    answer.resume_token = headers.get(RESUME_HEADER, answer.resume_token)
    retry_after = headers.get("Retry-After")
    answer.retry_after_s = float(retry_after) if retry_after else None


def add_event(answer: Answer, event: _SseEvent, started_at: float) -> None:
    """Add one event to a request's result.

    :param started_at: when the request was sent, in monotonic seconds.
    :raises RequestEnded: after the last event.
    :raises StreamMoved: when another entry VM continues the stream.
    """
    if event.name == MOVED_EVENT:
        raise StreamMoved(json.loads(event.data)["entry"])
    if event.name == RESUME_EVENT:
        answer.resume_token = event.data
        return
    if event.name == ERROR_EVENT:
        answer.error = json.loads(event.data)["error"]
        answer.executed = answer.error["executed"]
        raise RequestEnded
    if event.data == DONE_MARKER:
        answer.done = True
        answer.error = None
        raise RequestEnded
    if not event.event_id:
        return
    now = time.monotonic() - started_at
    if answer.first_token_s is None:
        answer.first_token_s = now
    else:
        answer.token_gaps_s.append(now - answer.last_token_s)
    answer.last_token_s = now
    choice = json.loads(event.data)["choices"][0]
    delta = choice.get("delta") or {}
    answer.tokens.append(choice.get("text") or delta.get("content", ""))
    answer.event_ids.append(int(event.event_id))


def expected_tokens_for(body: dict[str, typing.Any]) -> list[str]:
    """The tokens that every engine stand-in generates for a request body."""
    return _deterministic_tokens.expected_answer(
        _deterministic_tokens.prompt_from_body(body),
        body.get("seed", 0),
        body.get("max_tokens", 16),
    )
