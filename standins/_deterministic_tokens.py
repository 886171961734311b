"""Deterministic answers and prefix blocks, the same for all engine stand-ins.

A token of an answer depends only on the prompt, the seed and the token's
index, so that a client can check a complete answer against its request.
"""

import itertools
import typing

import xxhash

BLOCK_BYTES = 256
TOKEN_BYTES = 4
BLOCK_TOKENS = BLOCK_BYTES // TOKEN_BYTES

_CONSONANTS = "bdfghjklmnprstvz"
_VOWELS = "aeiou"
TOKEN_WORDS = [
    " " + "".join(letters)
    for letters in itertools.product(_CONSONANTS, _VOWELS, _CONSONANTS)
]


def prompt_from_body(body: dict[str, typing.Any]) -> str:
    """Extract the prompt text from an OpenAI completion or chat body."""
    if "messages" in body:
        return "".join(
            f"{message['role']}: {message['content']}\n"
            for message in body["messages"]
        )
    return body["prompt"]


def token_count(prompt_bytes: int) -> int:
    """Number of tokens in a prompt of ``prompt_bytes`` bytes."""
    return -(-prompt_bytes // TOKEN_BYTES)


def answer_hash(prompt_text: str, seed: int) -> int:
    """Hash of prompt and seed that determines the tokens of an answer.

    :returns: an unsigned 64-bit integer.
    """
    return xxhash.xxh64_intdigest(
        prompt_text.encode(), seed=seed & 0xFFFFFFFFFFFFFFFF
    )


def answer_token(seed_hash: int, index: int) -> str:
    """The token at an index: four bytes, of which the first is a space.

    :param seed_hash: the hash returned by :func:`answer_hash`.
    """
    digest = xxhash.xxh64_intdigest(index.to_bytes(4, "big"), seed=seed_hash)
    return TOKEN_WORDS[digest % len(TOKEN_WORDS)]


def expected_answer(prompt_text: str, seed: int, max_tokens: int) -> list[str]:
    """The tokens of the answer that every engine stand-in gives to a prompt.

    :param prompt_text: the text returned by :func:`prompt_from_body`.
    :param seed: the request's seed; 0 for a request without one.
    :param max_tokens: number of tokens in the answer.
    """
    seed_hash = answer_hash(prompt_text, seed)
    return [answer_token(seed_hash, index) for index in range(max_tokens)]


def prefix_block_hashes(model: str, text: str) -> list[int]:
    """Hashes of the full blocks of a text.

    Each hash depends on the model and on all blocks before it, so that equal
    hashes mean equal prefixes.
    """
    data = text.encode()
    full_length = len(data) - len(data) % BLOCK_BYTES
    return list(
        itertools.accumulate(
            (
                data[start : start + BLOCK_BYTES]
                for start in range(0, full_length, BLOCK_BYTES)
            ),
            lambda previous, block: xxhash.xxh64_intdigest(
                block, seed=previous
            ),
            initial=xxhash.xxh64_intdigest(model.encode()),
        )
    )[1:]
