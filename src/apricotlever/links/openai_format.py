"""Requests of callers and events of runners in OpenAI's format.

Only the fields that routing, recovery and accounting need are read; the rest
of a request body is passed to the runner unchanged.
"""

import json
import typing

from .. import refusals
from ..runners import prefix

DEFAULT_MAX_TOKENS = 128
MAX_TOKENS_LIMIT = 32768
EXTENSION_FIELD = "apricotlever"
DONE_EVENT = b"data: [DONE]\n\n"
EVENT_END = b"\n\n"
CHAT_PATH = "/v1/chat/completions"
COMPLETIONS_PATH = "/v1/completions"


class ModelRequest:
    """A caller's request to a model for a completion.

    :param document: the parsed body.
    :param chat: whether the request is a chat completion.
    :param prompt: the text that the engine receives as the prompt.
    """

    __slots__ = (
        "document",
        "chat",
        "catalogue_entry",
        "prompt",
        "max_tokens",
        "stream",
    )

    def __init__(
        self, document: dict[str, typing.Any], chat: bool, prompt: str
    ) -> None:
        self.document = document
        self.chat = chat
        self.catalogue_entry = str(document["model"])
        self.prompt = prompt
        self.max_tokens = _max_tokens(document)
        self.stream = bool(document.get("stream", False))

    @property
    def path(self) -> str:
        """The path at the runner for this kind of completion."""
        return CHAT_PATH if self.chat else COMPLETIONS_PATH

    @property
    def prompt_tokens(self) -> int:
        """The estimated number of tokens in the prompt."""
        return prefix.count_tokens(self.prompt)

    def body_for(
        self, model: str, resume_tokens: typing.Sequence[str]
    ) -> bytes:
        """Build the body of the request that is sent to a runner.

        :param model: the model's name at the runner.
        :param resume_tokens: the tokens that the caller already has; the
            runner continues after them.
        """
        document = dict(self.document, model=model, stream=True)
        document["max_tokens"] = self.max_tokens
        document.pop(EXTENSION_FIELD, None)
        if resume_tokens:
            document[EXTENSION_FIELD] = {"resume_tokens": list(resume_tokens)}
        return json.dumps(document).encode()


def parse_request(body: bytes, chat: bool) -> ModelRequest:
    """Parse and validate the body of a completion request.

    :param body: JSON in OpenAI's format.
    :param chat: whether the request is a chat completion.
    :raises Refusal: when the body is not valid; names the invalid field.
    """
    document = parse_json_object(body)
    model = document.get("model")
    if not isinstance(model, str) or not model:
        raise _field_error("model", "the name of a catalogue entry")
    if chat:
        _check_messages(document)
    else:
        _check_prompt(document)
    _check_seed(document)
    prompt = _check_encodable(prefix.prompt_text(document))
    return ModelRequest(document, chat, prompt)


def parse_json_object(body: bytes) -> dict[str, typing.Any]:
    """Parse a request body that must be a JSON object.

    :param body: the request body.
    :raises Refusal: when the body is not a JSON object.
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


def _field_error(field: str, expected: str) -> refusals.Refusal:
    return refusals.Refusal(
        refusals.BAD_JSON, f"field {field}: expected {expected}"
    )


def _max_tokens(document: dict[str, typing.Any]) -> int:
    value = document.get("max_tokens", DEFAULT_MAX_TOKENS)
    whole = isinstance(value, int) and not isinstance(value, bool)
    if not whole or not 1 <= value <= MAX_TOKENS_LIMIT:
        raise _field_error(
            "max_tokens", f"an integer from 1 to {MAX_TOKENS_LIMIT}"
        )
    return value


def _check_seed(document: dict[str, typing.Any]) -> None:
    # A runner would refuse an invalid seed, but a request that was sent to a
    # runner counts as one that may have run.
    value = document.get("seed")
    whole = isinstance(value, int) and not isinstance(value, bool)
    if value is not None and not whole:
        raise _field_error("seed", "an integer")


def _check_prompt(document: dict[str, typing.Any]) -> None:
    if not isinstance(document.get("prompt"), str):
        raise _field_error("prompt", "a string")
    if "messages" in document:
        raise _field_error("messages", "no messages together with a prompt")


def _check_messages(document: dict[str, typing.Any]) -> None:
    messages = document.get("messages")
    if not isinstance(messages, list) or not messages:
        raise _field_error("messages", "a non-empty list of messages")
    if not all(map(_is_message, messages)):
        raise _field_error(
            "messages", "objects with the strings role and content"
        )


def _is_message(message: typing.Any) -> bool:
    return isinstance(message, dict) and all(
        isinstance(message.get(field), str) for field in ("role", "content")
    )


def _check_encodable(text: str) -> str:
    # JSON may hold half of a surrogate pair, which UTF-8 can't encode. Without
    # this check the request would fail later, during routing.
    try:
        text.encode()
    except UnicodeEncodeError as error:
        raise _field_error("prompt", "text that UTF-8 can encode") from error
    return text


def extract_token(event: bytes) -> str:
    """Extract the token's text from a server-sent event of a runner.

    :param event: the event's bytes, with its ``data:`` line.
    """
    start = event.index(b"data: ") + len(b"data: ")
    choice = json.loads(event[start:])["choices"][0]
    if "delta" in choice:
        return choice["delta"].get("content", "")
    return choice["text"]


def completion_response(
    request: ModelRequest, request_id: str, tokens: typing.Sequence[str]
) -> bytes:
    """Build the body of the response to a caller that asked for no stream.

    :param request: the caller's request.
    :param request_id: the request's ID.
    :param tokens: the tokens of the completion, in order.
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
        "model": request.catalogue_entry,
        "choices": [choice],
        "usage": {
            "prompt_tokens": request.prompt_tokens,
            "completion_tokens": len(tokens),
            "total_tokens": request.prompt_tokens + len(tokens),
        },
    }
    return json.dumps(document).encode()
