"""Answers and prompt blocks that any engine stand-in computes alike.

A token of an answer depends only on the prompt, the seed and its index, so
whoever knows the request can check a whole answer at the far end.
"""

import itertools
import typing

import xxhash

BLOCK_BYTES = 256
TOKEN_BYTES = 4
BLOCK_TOKENS = BLOCK_BYTES // TOKEN_BYTES

_CONSONANTS = "bdfghjklmnprstvz"
_VOWELS = "aeiou"
WORDS = [
    " " + "".join(letters)
    for letters in itertools.product(_CONSONANTS, _VOWELS, _CONSONANTS)
]


def prompt_of(body: dict[str, typing.Any]) -> str:
    """The prompt text of an OpenAI completion or chat body."""
    if "messages" in body:
        return "".join(
            f"{message['role']}: {message['content']}\n"
            for message in body["messages"]
        )
    return body["prompt"]


def tokens_in(prompt_bytes: int) -> int:
    """How many tokens a prompt of so many bytes has."""
    return -(-prompt_bytes // TOKEN_BYTES)


def answer_base(prompt_text: str, seed: int) -> int:
    """What an answer's tokens follow from, as an unsigned 64-bit int."""
    return xxhash.xxh64_intdigest(
        prompt_text.encode(), seed=seed & 0xFFFFFFFFFFFFFFFF
    )


def token(base: int, index: int) -> str:
    """One token, of four bytes with its leading space."""
    digest = xxhash.xxh64_intdigest(index.to_bytes(4, "big"), seed=base)
    return WORDS[digest % len(WORDS)]


def expected_answer(prompt_text: str, seed: int, max_tokens: int) -> list[str]:
    """The whole answer that every engine gives to a prompt.

    :param prompt_text: as :func:`prompt_of` gives it.
    :param seed: of the request; 0 when it had none.
    """
    base = answer_base(prompt_text, seed)
    return [token(base, index) for index in range(max_tokens)]


def blocks_of(model: str, text: str) -> list[int]:
    """The chained hashes of a text's full blocks."""
    data = text.encode()
    whole = len(data) - len(data) % BLOCK_BYTES
    return list(
        itertools.accumulate(
            (
                data[start : start + BLOCK_BYTES]
                for start in range(0, whole, BLOCK_BYTES)
            ),
            lambda before, block: xxhash.xxh64_intdigest(block, seed=before),
            initial=xxhash.xxh64_intdigest(model.encode()),
        )
    )[1:]
