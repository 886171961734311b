"""What an engine stand-in sends: headers, events, answers and state."""

import json
import typing

from . import _http
from . import _sequence


def echo(
    request: _http.Request, sequence: _sequence.Sequence
) -> _http.Headers:
    """The headers that name the request and the attempt answered."""
    attempt = request.header("Apricotlever-Attempt")
    return [
        ("Apricotlever-Request", sequence.work.request_id),
        ("Apricotlever-Attempt", attempt or str(sequence.work.attempt)),
    ]


def frame_parts(work: _sequence.Work) -> tuple[str, str]:
    """What stands before and after the token in a data line."""
    name = json.dumps(work.request_id)
    if work.chat:
        before = f'data: {{"id":{name},"choices":[{{"index":0,"delta":'
        return before + '{"content":"', '"}}]}\n\n'
    before = f'data: {{"id":{name},"choices":[{{"index":0,"text":"'
    return before, '"}]}\n\n'


def last_frame(ended: str) -> bytes:
    """The event that closes a stream."""
    if ended == _sequence.DONE:
        return b"data: [DONE]\n\n"
    return f"event: {ended}\ndata: {{}}\n\n".encode()


def answer(sequence: _sequence.Sequence) -> dict[str, typing.Any]:
    """A whole answer in OpenAI's format."""
    work = sequence.work
    text = "".join(sequence.tokens)
    message = {"role": "assistant", "content": text}
    content = {"message": message} if work.chat else {"text": text}
    return {
        "id": work.request_id,
        "model": work.model,
        "choices": [{"index": 0, **content, "finish_reason": "length"}],
        "usage": {
            "prompt_tokens": sequence.prompt_tokens,
            "completion_tokens": len(sequence.tokens),
            "total_tokens": sequence.prompt_tokens + len(sequence.tokens),
        },
    }


def state_of(sequence: _sequence.Sequence) -> dict[str, typing.Any]:
    """The state that an export hands out and an import takes."""
    blocks = sequence.all_blocks() if sequence.prefilled else []
    return {
        "request": sequence.work.request_id,
        "work": sequence.work.payload(),
        "seed": sequence.work.seed,
        "prompt_hash": f"{sequence.base:016x}",
        "tokens": sequence.tokens,
        "prefilled": sequence.prefilled,
        "blocks": [f"{block:016x}" for block in blocks],
    }
