"""Response headers, bodies and stream events of an engine stand-in."""

import json
import typing

from . import _http
from . import _sequence


def request_id_headers(
    request: _http.Request, sequence: _sequence.Sequence
) -> _http.Headers:
    """Response headers with the request ID and the attempt number."""
    attempt = request.header("Apricotlever-Attempt")
    return [
        ("Apricotlever-Request", sequence.request.request_id),
        ("Apricotlever-Attempt", attempt or str(sequence.request.attempt)),
    ]


def token_event_parts(request: _sequence.GenerationRequest) -> tuple[str, str]:
    """The data line of a token event, split before and after the token."""
    request_id = json.dumps(request.request_id)
    if request.chat:
        before = f'data: {{"id":{request_id},"choices":[{{"index":0,"delta":'
        return before + '{"content":"', '"}}]}\n\n'
    before = f'data: {{"id":{request_id},"choices":[{{"index":0,"text":"'
    return before, '"}]}\n\n'


def final_event(state: str) -> bytes:
    """The last event of a stream whose sequence ended in ``state``."""
    if state == _sequence.DONE:
        return b"data: [DONE]\n\n"
    return f"event: {state}\ndata: {{}}\n\n".encode()


def completion_payload(sequence: _sequence.Sequence) -> dict[str, typing.Any]:
    """The body of a non-streamed response in OpenAI's format."""
    request = sequence.request
    text = "".join(sequence.tokens)
    message = {"role": "assistant", "content": text}
    content = {"message": message} if request.chat else {"text": text}
    return {
        "id": request.request_id,
        "model": request.model,
        "choices": [{"index": 0, **content, "finish_reason": "length"}],
        "usage": {
            "prompt_tokens": sequence.prompt_token_count,
            "completion_tokens": len(sequence.tokens),
            "total_tokens": sequence.prompt_token_count + len(sequence.tokens),
        },
    }


def exported_state(sequence: _sequence.Sequence) -> dict[str, typing.Any]:
    """The state of a sequence, as an export returns and an import takes it."""
    blocks = sequence.current_blocks() if sequence.prefilled else []
    return {
        "request": sequence.request.request_id,
        "work": sequence.request.payload(),
        "seed": sequence.request.seed,
        "prompt_hash": f"{sequence.answer_hash:016x}",
        "tokens": sequence.tokens,
        "prefilled": sequence.prefilled,
        "blocks": [f"{block:016x}" for block in blocks],
    }
