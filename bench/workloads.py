"""Seeded requests that resemble the users' two workloads.

A prompt is represented by the hashes of its blocks.
"""

import random
import typing

import xxhash

from apricotlever.runners import prefix

from . import engine_model


def hash_blocks(
    parts: typing.Iterable[tuple[str, int]], parent: int = 0
) -> tuple[int, ...]:
    """Return the block hashes of a prompt that consists of named parts.

    A hash covers its block and all blocks before it.

    :param parts: name and number of blocks of each part.
    :param parent: hash of the block before the first part.
    """
    blocks = []
    for name, count in parts:
        for number in range(count):
            label = f"{name}/{number}".encode()
            parent = xxhash.xxh64_intdigest(label, seed=parent)
            blocks.append(parent)
    return tuple(blocks)


class Arrival:
    """Request that arrives at an entry VM.

    :param at: time of arrival in seconds.
    :param vm: number of the entry VM.
    :param job: prompt and length of the answer.
    :param target_s: target for the time to the first token.
    :param kind: ``short`` or ``long``.
    """

    __slots__ = ("at", "vm", "job", "target_s", "kind")

    def __init__(
        self,
        at: float,
        vm: int,
        job: engine_model.Job,
        target_s: float,
        kind: str,
    ) -> None:
        self.at = at
        self.vm = vm
        self.job = job
        self.target_s = target_s
        self.kind = kind


def _job(
    parts: list[tuple[str, int]], tail: int, answer: int
) -> engine_model.Job:
    """Return a job whose prompt has ``tail`` tokens after its full blocks."""
    blocks = hash_blocks(parts)
    tokens = len(blocks) * prefix.TOKENS_PER_BLOCK + tail
    answer_blocks = answer // prefix.TOKENS_PER_BLOCK
    name = "/".join(part_name for part_name, _ in parts)
    parent = blocks[-1] if blocks else 0
    cached_blocks = blocks + hash_blocks(
        [(f"{name}:answer", answer_blocks)], parent
    )
    return engine_model.Job(blocks, cached_blocks, tokens, answer)


def mandates(
    rng: random.Random, seconds: float, per_s: float, vms: int
) -> list[Arrival]:
    """Generate drafting checks of long mandates, and short lookups.

    The prompt of a mandate consists of a common system prompt, one of 40
    templates and a text of its own. A mandate is checked about six times,
    and the clerk adds to its text between the checks.
    """
    arrivals = []
    at = 0.0
    open_mandates: list[list[typing.Any]] = []
    number = 0
    while at < seconds:
        at += rng.expovariate(per_s)
        if rng.random() < 0.4:
            job = _job([], rng.randint(40, 63), rng.randint(10, 30))
            arrivals.append(Arrival(at, rng.randrange(vms), job, 0.6, "short"))
            continue
        if not open_mandates or rng.random() < 1 / 6:
            number += 1
            template = rng.randrange(40)
            size = rng.randint(20, 60)
            home = rng.randrange(vms)
            open_mandates.append([number, template, size, 0, home])
            open_mandates = open_mandates[-120:]
        mandate = rng.choice(open_mandates)
        mandate[3] += 1
        name, template, size, checks, home = mandate
        parts = [("system", 8), (f"template{template}", 24)]
        parts.append((f"mandate{name}", size))
        parts += [(f"add{name}-{k}", 2) for k in range(checks)]
        vm = home if rng.random() < 0.6 else rng.randrange(vms)
        job = _job(parts, rng.randrange(64), rng.randint(60, 200))
        arrivals.append(Arrival(at, vm, job, 1.2, "long"))
    return arrivals


def chats(
    rng: random.Random, seconds: float, per_s: float, vms: int
) -> list[Arrival]:
    """Generate chats with a concierge, and short summaries.

    The history of a chat grows with each turn. Most turns of a chat are sent
    to the same entry VM.
    """
    arrivals = []
    at = 0.0
    open_chats: list[list[typing.Any]] = []
    number = 0
    while at < seconds:
        at += rng.expovariate(per_s)
        if rng.random() < 0.3:
            job = _job(
                [("house", 6)], rng.randint(10, 60), rng.randint(20, 60)
            )
            arrivals.append(Arrival(at, rng.randrange(vms), job, 0.8, "short"))
            continue
        if not open_chats or rng.random() < 1 / 8:
            number += 1
            open_chats.append([number, 0, rng.randrange(vms)])
            open_chats = open_chats[-80:]
        chat = rng.choice(open_chats)
        chat[1] += 1
        name, turns, home = chat
        parts = [("house", 6), ("concierge", 10)]
        parts += [(f"turn{name}-{k}", 5) for k in range(turns)]
        vm = home if rng.random() < 0.7 else rng.randrange(vms)
        job = _job(parts, rng.randrange(64), rng.randint(100, 250))
        arrivals.append(Arrival(at, vm, job, 1.2, "long"))
    return arrivals
