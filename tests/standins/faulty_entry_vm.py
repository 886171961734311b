"""A fake entry VM that injects a chosen fault into its streams."""

import itertools
import json
import typing

from standins import _deterministic_tokens
from standins import _http

StreamFault = typing.Callable[
    ["FaultyEntryVm", int, list[str]], typing.Iterator[str]
]

STREAM_FAULTS: dict[str, StreamFault] = {}
FAULT_AFTER_TOKENS = 3


def stream_fault(name: str) -> typing.Callable[[StreamFault], StreamFault]:
    """Register what a faulty stream sends after its first tokens.

    :param name: the name of the fault in the scenarios.
    """

    def decorator(generator: StreamFault) -> StreamFault:
        STREAM_FAULTS[name] = generator
        return generator

    return decorator


class FaultyEntryVm(_http.StandIn):
    """Streams the expected answer, with a fault in streams from the start.

    Resumed streams have no fault.

    :param fault: the name of a registered stream fault; empty for none.
    :param bodies_by_request_id: request bodies, shared by all fake entry VMs
        so that each can resume the request.
    """

    def __init__(
        self, fault: str, bodies_by_request_id: dict[str, typing.Any]
    ) -> None:
        super().__init__()
        self._fault = fault
        self._bodies_by_request_id = bodies_by_request_id
        self.peers: list[str] = []

    @_http.route("GET", "/v1/entries")
    def _entries(self, request: _http.Request) -> _http.Response:
        entries = [{"address": address} for address in self.peers]
        return _http.Response(200, {"entries": entries, "ttl_s": 60})

    @_http.route("POST", "/v1/completions")
    def _complete(self, request: _http.Request) -> _http.Response:
        self._bodies_by_request_id["r.1"] = request.json()
        return self._stream(0, self._fault)

    @_http.route("GET", "/v1/requests/r.1")
    def _resume(self, request: _http.Request) -> _http.Response:
        return self._stream(int(request.header("Last-Event-ID")) + 1, "")

    def _stream(self, start: int, fault: str) -> _http.Response:
        body = self._bodies_by_request_id["r.1"]
        tokens = _deterministic_tokens.expected_answer(
            body["prompt"], body["seed"], body["max_tokens"]
        )
        fault_index = FAULT_AFTER_TOKENS if fault else len(tokens)
        first = token_events(start, tokens[start:fault_index])
        remaining = (
            STREAM_FAULTS[fault](self, fault_index, tokens)
            if fault
            else done_event()
        )
        return _http.Response(
            200,
            headers=[("Apricotlever-Request", "r.1")],
            stream=map(str.encode, itertools.chain(first, remaining)),
        )


def token_events(start: int, tokens: list[str]) -> typing.Iterator[str]:
    """Encode tokens as events with IDs from ``start`` on."""
    for at, token in enumerate(tokens, start):
        chunk = json.dumps({"choices": [{"text": token}]})
        yield f"id: {at}\ndata: {chunk}\n\n"


def done_event() -> typing.Iterator[str]:
    """The event that ends a complete answer."""
    yield "data: [DONE]\n\n"


@stream_fault("moves")
def _redirect(
    entry_vm: FaultyEntryVm, fault_index: int, tokens: list[str]
) -> typing.Iterator[str]:
    """Redirect the client to the other entry VM."""
    address = json.dumps({"entry": entry_vm.peers[1]})
    yield f"event: moved\ndata: {address}\n\n"


@stream_fault("breaks")
def _disconnect(
    entry_vm: FaultyEntryVm, fault_index: int, tokens: list[str]
) -> typing.Iterator[str]:
    """Close the connection in the middle of the stream."""
    yield ": about to break\n\n"
    _http.drop_connection()


@stream_fault("doubles")
def _repeat_token(
    entry_vm: FaultyEntryVm, fault_index: int, tokens: list[str]
) -> typing.Iterator[str]:
    """Send the last token a second time."""
    yield from token_events(fault_index - 1, tokens[fault_index - 1 :])
    yield from done_event()


@stream_fault("skips")
def _skip_token(
    entry_vm: FaultyEntryVm, fault_index: int, tokens: list[str]
) -> typing.Iterator[str]:
    """Leave out a token."""
    yield from token_events(fault_index + 1, tokens[fault_index + 1 :])
    yield from done_event()


@stream_fault("swaps")
def _send_wrong_tokens(
    entry_vm: FaultyEntryVm, fault_index: int, tokens: list[str]
) -> typing.Iterator[str]:
    """Continue with the tokens of another prompt."""
    wrong_tokens = _deterministic_tokens.expected_answer(
        "another's prompt", 0, len(tokens)
    )
    yield from token_events(fault_index, wrong_tokens[fault_index:])
    yield from done_event()


@stream_fault("shortens")
def _truncate(
    entry_vm: FaultyEntryVm, fault_index: int, tokens: list[str]
) -> typing.Iterator[str]:
    """End the stream early, as if the answer were complete."""
    yield from done_event()


@stream_fault("errors")
def _send_error_event(
    entry_vm: FaultyEntryVm, fault_index: int, tokens: list[str]
) -> typing.Iterator[str]:
    """Send an error event instead of more tokens."""
    error = {"type": "gave_up", "executed": "yes"}
    yield f"event: error\ndata: {json.dumps({'error': error})}\n\n"
