"""Parts of a prompt that other requests may share, in OpenAI's format.

A caller of that format doesn't declare parts. In a chat each message but the
last is one. A text has the beginnings of its first blocks, each twice as long
as the one before: those of texts with a common beginning are equal.
"""

import json
import typing

import xxhash

#: The size of the shortest beginning of a text, in characters.
FIRST_BEGINNING_CHARS = 64
#: The greatest number of parts of a prompt; the last ones are left out.
MAX_PARTS = 8


def find_parts(
    document: typing.Mapping[str, typing.Any],
) -> tuple[str, ...]:
    """The names of a prompt's parts, in order.

    :param document: the body of a request to ``/v1/completions`` or
        ``/v1/chat/completions``.
    :returns: a hash of each part.
    """
    messages = document.get("messages")
    if isinstance(messages, list):
        texts = [json.dumps(each, sort_keys=True) for each in messages[:-1]]
        return tuple(map(_hash, texts[:MAX_PARTS]))
    text = str(document.get("prompt", ""))
    lengths = (FIRST_BEGINNING_CHARS << n for n in range(MAX_PARTS))
    return tuple(
        _hash(text[:length]) for length in lengths if length < len(text)
    )


def _hash(text: str) -> str:
    return xxhash.xxh64_hexdigest(text.encode("utf-8", "surrogatepass"))
