"""What a caller saw of one request, and how it reads a stream."""

import http.client
import json
import time
import typing

from standins import _tokens

MOVED = "moved"
RESUME = "resume"
RESUME_HEADER = "Apricotlever-Resume"
ERROR = "error"
END = "[DONE]"
REDIRECTED = 303
REQUEST_HEADER = "Apricotlever-Request"
EXECUTED_HEADER = "Apricotlever-Executed"


class Answer:
    """What a caller saw of one request, over all its connections."""

    __slots__ = (
        "request_id",
        "status",
        "executed",
        "error",
        "tokens",
        "ids",
        "done",
        "first_token_s",
        "gaps_s",
        "last_token_s",
        "moves",
        "breaks",
        "expected",
        "payload",
        "retry_after_s",
        "whole_s",
        "resume_token",
    )

    def __init__(self, expected: list[str] | None = None) -> None:
        self.request_id = ""
        self.status = 0
        self.executed = ""
        self.error: typing.Any = None
        self.tokens: list[str] = []
        self.ids: list[int] = []
        self.done = False
        self.first_token_s: float | None = None
        self.gaps_s: list[float] = []
        self.last_token_s = 0.0
        self.moves = 0
        self.breaks = 0
        self.expected = expected
        self.payload: typing.Any = None
        self.retry_after_s: float | None = None
        self.whole_s = 0.0
        self.resume_token = ""

    @property
    def problem(self) -> str:
        """What is wrong with the answer; empty when it is whole."""
        if not self.done:
            return f"not whole: status {self.status}, error {self.error}"
        if self.ids != list(range(len(self.ids))):
            return f"ids out of order, lost or doubled: {self.ids}"
        if self.expected is not None and self.tokens != self.expected:
            return f"tokens differ: {self.tokens} != {self.expected}"
        return ""

    @property
    def refused(self) -> bool:
        """Whether it was refused and promised not to have been run."""
        return self.status >= 400 and self.executed == "no"


class Ended(Exception):
    """Nothing more will come for this request."""


class Moved(Exception):
    """The entry VM named another that goes on with the stream."""

    def __init__(self, address: str) -> None:
        super().__init__(address)
        self.address = address


class _Event:
    """One SSE event."""

    __slots__ = ("name", "event_id", "data")

    def __init__(self, name: str, event_id: str, data: str) -> None:
        self.name = name
        self.event_id = event_id
        self.data = data


def events_of(
    response: http.client.HTTPResponse,
) -> typing.Iterator[_Event]:
    """The events of a stream until the connection ends."""
    fields: dict[str, str] = {}
    while raw := response.readline():
        line = raw.decode().rstrip("\r\n")
        if line:
            name, _, value = line.partition(":")
            fields[name] = value.removeprefix(" ")
        elif fields:
            yield _Event(
                fields.get("event", ""),
                fields.get("id", ""),
                fields.get("data", ""),
            )
            fields = {}


def check(
    answer: Answer, response: http.client.HTTPResponse, resuming: bool
) -> None:
    """Note the headers; raise unless a stream follows.

    :param resuming: whether another entry VM may still know the stream.
    """
    if response.status == 200:
        note_headers(answer, 200, response.headers)
        return
    content = response.read().decode(errors="replace")
    if response.status == REDIRECTED:
        answer.request_id = response.headers[REQUEST_HEADER]
        raise Moved(json.loads(content)["entry"])
    if resuming and response.status in (404, 429, 502, 503, 504):
        raise OSError(f"no stream to resume: {response.status} {content}")
    note_headers(answer, response.status, response.headers)
    answer.error = content
    raise Ended


def note_headers(
    answer: Answer, status: int, headers: http.client.HTTPMessage
) -> None:
    """Take over what an answer's status and headers tell."""
    answer.status = status
    answer.request_id = headers.get(REQUEST_HEADER, answer.request_id)
    answer.executed = headers.get(EXECUTED_HEADER, answer.executed)
    answer.resume_token = headers.get(RESUME_HEADER, answer.resume_token)
    retry_after = headers.get("Retry-After")
    answer.retry_after_s = float(retry_after) if retry_after else None


def take(answer: Answer, event: _Event, began: float) -> None:
    """Add one event to an answer.

    :param began: when the request was sent, on the monotonic clock.
    :raises Ended: after the last event.
    :raises Moved: when another entry VM goes on with the stream.
    """
    if event.name == MOVED:
        raise Moved(json.loads(event.data)["entry"])
    if event.name == RESUME:
        answer.resume_token = event.data
        return
    if event.name == ERROR:
        answer.error = json.loads(event.data)["error"]
        answer.executed = answer.error["executed"]
        raise Ended
    if event.data == END:
        answer.done = True
        answer.error = None
        raise Ended
    if not event.event_id:
        return
    now = time.monotonic() - began
    if answer.first_token_s is None:
        answer.first_token_s = now
    else:
        answer.gaps_s.append(now - answer.last_token_s)
    answer.last_token_s = now
    choice = json.loads(event.data)["choices"][0]
    delta = choice.get("delta") or {}
    answer.tokens.append(choice.get("text") or delta.get("content", ""))
    answer.ids.append(int(event.event_id))


def expected_of(body: dict[str, typing.Any]) -> list[str]:
    """The tokens that every engine gives to a body."""
    return _tokens.expected_answer(
        _tokens.prompt_of(body),
        body.get("seed", 0),
        body.get("max_tokens", 16),
    )
