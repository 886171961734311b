"""OpenAI's format: requests from callers and events from runners.

Only what routing, recovery and accounting need is read; the rest of a body
goes to the runner as it came.
"""

import json
import typing

from .. import refusals
from ..runners import prefix

DEFAULT_MAX_TOKENS = 128
MAX_TOKENS_LIMIT = 32768
EXTENSION = "apricotlever"
DONE_EVENT = b"data: [DONE]\n\n"
EVENT_END = b"\n\n"
CHAT_PATH = "/v1/chat/completions"
COMPLETIONS_PATH = "/v1/completions"


class ModelRequest:
    """A completion that a caller asked for.

    :param document: the decoded body.
    :param chat: whether it came in the chat form.
    :param prompt: the text that the engine will see as the prompt.
    """

    __slots__ = ("document", "chat", "entry", "prompt", "max_tokens", "stream")

    def __init__(
        self, document: dict[str, typing.Any], chat: bool, prompt: str
    ) -> None:
        self.document = document
        self.chat = chat
        self.entry = str(document["model"])
        self.prompt = prompt
        self.max_tokens = _max_tokens(document)
        self.stream = bool(document.get("stream", False))

    @property
    def path(self) -> str:
        """The runner's path for this form of request."""
        return CHAT_PATH if self.chat else COMPLETIONS_PATH

    @property
    def prompt_tokens(self) -> int:
        """How many tokens the prompt is taken to have."""
        return prefix.count_tokens(self.prompt)

    def body_for(
        self, model: str, resume_tokens: typing.Sequence[str]
    ) -> bytes:
        """The body to send to a runner.

        :param model: the model's name at the runner.
        :param resume_tokens: tokens that the caller has; the runner goes on
            with the one after them.
        """
        document = dict(self.document, model=model, stream=True)
        document["max_tokens"] = self.max_tokens
        document.pop(EXTENSION, None)
        if resume_tokens:
            document[EXTENSION] = {"resume_tokens": list(resume_tokens)}
        return json.dumps(document).encode()


def parse(body: bytes, chat: bool) -> ModelRequest:
    """Decode and check a caller's body.

    :param body: JSON in OpenAI's format.
    :param chat: whether it came to the chat path.
    :raises Refusal: naming the field that is wrong.
    """
    document = decode_object(body)
    model = document.get("model")
    if not isinstance(model, str) or not model:
        raise _wrong("model", "the name of a catalogue entry")
    if chat:
        _check_messages(document)
    else:
        _check_prompt(document)
    _check_seed(document)
    prompt = _encodable(prefix.prompt_text(document))
    return ModelRequest(document, chat, prompt)


def decode_object(body: bytes) -> dict[str, typing.Any]:
    """Decode a JSON object.

    :param body: what the caller sent.
    :raises Refusal: when it is no JSON object.
    """
    try:
        document = json.loads(body)
    except (ValueError, RecursionError) as error:
        message = "the body is not valid JSON"
        raise refusals.Refusal(refusals.BAD_JSON, message) from error
    if not isinstance(document, dict):
        message = "the body is not a JSON object"
        raise refusals.Refusal(refusals.BAD_JSON, message)
    return document


def _wrong(field: str, wanted: str) -> refusals.Refusal:
    return refusals.Refusal(
        refusals.BAD_JSON, f"field {field}: wanted {wanted}"
    )


def _max_tokens(document: dict[str, typing.Any]) -> int:
    value = document.get("max_tokens", DEFAULT_MAX_TOKENS)
    whole = isinstance(value, int) and not isinstance(value, bool)
    if not whole or not 1 <= value <= MAX_TOKENS_LIMIT:
        raise _wrong("max_tokens", f"an integer from 1 to {MAX_TOKENS_LIMIT}")
    return value


def _check_seed(document: dict[str, typing.Any]) -> None:
    # A runner would refuse it, and what a runner has seen may have run.
    value = document.get("seed")
    whole = isinstance(value, int) and not isinstance(value, bool)
    if value is not None and not whole:
        raise _wrong("seed", "an integer")


def _check_prompt(document: dict[str, typing.Any]) -> None:
    if not isinstance(document.get("prompt"), str):
        raise _wrong("prompt", "a string")
    if "messages" in document:
        raise _wrong("messages", "no messages beside a prompt")


def _check_messages(document: dict[str, typing.Any]) -> None:
    messages = document.get("messages")
    if not isinstance(messages, list) or not messages:
        raise _wrong("messages", "a list of messages that is not empty")
    if not all(map(_is_message, messages)):
        raise _wrong("messages", "objects with a role and a content")


def _is_message(message: typing.Any) -> bool:
    return isinstance(message, dict) and all(
        isinstance(message.get(field), str) for field in ("role", "content")
    )


def _encodable(text: str) -> str:
    # JSON may carry half of a surrogate pair, which no UTF-8 can hold; it
    # would fail much later, in the middle of routing.
    try:
        text.encode()
    except UnicodeEncodeError as error:
        raise _wrong("prompt", "text that UTF-8 can hold") from error
    return text


def token_of(event: bytes) -> str:
    """The token text in one SSE event of a runner.

    :param event: the event's bytes, with its ``data:`` line.
    """
    start = event.index(b"data: ") + len(b"data: ")
    choice = json.loads(event[start:])["choices"][0]
    if "delta" in choice:
        return choice["delta"].get("content", "")
    return choice["text"]


def whole_answer(
    request: ModelRequest, request_id: str, tokens: typing.Sequence[str]
) -> bytes:
    """The answer to a request that did not ask for a stream.

    :param request: the caller's request.
    :param request_id: its ID.
    :param tokens: the tokens of the answer in order.
    """
    text = "".join(tokens)
    finish = "length" if len(tokens) >= request.max_tokens else "stop"
    choice: dict[str, typing.Any] = {"index": 0, "finish_reason": finish}
    if request.chat:
        choice["message"] = {"role": "assistant", "content": text}
    else:
        choice["text"] = text
    document = {
        "id": request_id,
        "object": "chat.completion" if request.chat else "text_completion",
        "model": request.entry,
        "choices": [choice],
        "usage": {
            "prompt_tokens": request.prompt_tokens,
            "completion_tokens": len(tokens),
            "total_tokens": request.prompt_tokens + len(tokens),
        },
    }
    return json.dumps(document).encode()
