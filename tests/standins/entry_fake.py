"""A fake of an entry VM that spoils streams in a chosen way."""

import itertools
import json
import typing

from standins import _http
from standins import _tokens

Spoil = typing.Callable[["EntryFake", int, list[str]], typing.Iterator[str]]

SPOILS: dict[str, Spoil] = {}
SPOIL_AFTER = 3


def spoil(name: str) -> typing.Callable[[Spoil], Spoil]:
    """Register a way to go on after the first few tokens."""

    def mark(method: Spoil) -> Spoil:
        SPOILS[name] = method
        return method

    return mark


class EntryFake(_http.StandIn):
    """Streams the expected answer itself.

    :param spoiling: the name of a registered way, or nothing.
    """

    def __init__(self, spoiling: str, bodies: dict[str, typing.Any]) -> None:
        super().__init__()
        self._spoiling = spoiling
        self._bodies = bodies
        self.peers: list[str] = []

    @_http.route("GET", "/v1/entries")
    def _entries(self, request: _http.Request) -> _http.Response:
        entries = [{"address": address} for address in self.peers]
        return _http.Response(200, {"entries": entries, "ttl_s": 60})

    @_http.route("POST", "/v1/completions")
    def _complete(self, request: _http.Request) -> _http.Response:
        self._bodies["r.1"] = request.json()
        return self._stream(0, self._spoiling)

    @_http.route("GET", "/v1/requests/r.1")
    def _resume(self, request: _http.Request) -> _http.Response:
        return self._stream(int(request.header("Last-Event-ID")) + 1, "")

    def _stream(self, start: int, spoiling: str) -> _http.Response:
        body = self._bodies["r.1"]
        tokens = _tokens.expected_answer(
            body["prompt"], body["seed"], body["max_tokens"]
        )
        cut = SPOIL_AFTER if spoiling else len(tokens)
        first = events(start, tokens[start:cut])
        rest = SPOILS[spoiling](self, cut, tokens) if spoiling else end()
        return _http.Response(
            200,
            headers=[("Apricotlever-Request", "r.1")],
            stream=map(str.encode, itertools.chain(first, rest)),
        )


def events(start: int, tokens: list[str]) -> typing.Iterator[str]:
    """Tokens as events numbered from ``start``."""
    for at, token in enumerate(tokens, start):
        chunk = json.dumps({"choices": [{"text": token}]})
        yield f"id: {at}\ndata: {chunk}\n\n"


def end() -> typing.Iterator[str]:
    """The event that closes an answer."""
    yield "data: [DONE]\n\n"


@spoil("moves")
def _moves(
    fake: EntryFake, cut: int, tokens: list[str]
) -> typing.Iterator[str]:
    address = json.dumps({"entry": fake.peers[1]})
    yield f"event: moved\ndata: {address}\n\n"


@spoil("breaks")
def _breaks(
    fake: EntryFake, cut: int, tokens: list[str]
) -> typing.Iterator[str]:
    yield ": about to break\n\n"
    _http.drop_connection()


@spoil("doubles")
def _doubles(
    fake: EntryFake, cut: int, tokens: list[str]
) -> typing.Iterator[str]:
    yield from events(cut - 1, tokens[cut - 1 :])
    yield from end()


@spoil("skips")
def _skips(
    fake: EntryFake, cut: int, tokens: list[str]
) -> typing.Iterator[str]:
    yield from events(cut + 1, tokens[cut + 1 :])
    yield from end()


@spoil("swaps")
def _swaps(
    fake: EntryFake, cut: int, tokens: list[str]
) -> typing.Iterator[str]:
    foreign = _tokens.expected_answer("another's prompt", 0, len(tokens))
    yield from events(cut, foreign[cut:])
    yield from end()


@spoil("shortens")
def _shortens(
    fake: EntryFake, cut: int, tokens: list[str]
) -> typing.Iterator[str]:
    yield from end()


@spoil("errors")
def _errors(
    fake: EntryFake, cut: int, tokens: list[str]
) -> typing.Iterator[str]:
    error = {"type": "gave_up", "executed": "yes"}
    yield f"event: error\ndata: {json.dumps({'error': error})}\n\n"
