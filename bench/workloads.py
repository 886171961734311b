"""Seeded requests like the users' two workloads, as block hashes."""

import random
import typing

import xxhash

from apricotlever.runners import prefix

from . import engine_model


def chain(
    parts: typing.Iterable[tuple[str, int]], parent: int = 0
) -> tuple[int, ...]:
    """Block hashes of a prompt put together from named parts.

    :param parts: name and number of blocks of each part.
    """
    blocks = []
    for name, count in parts:
        for number in range(count):
            label = f"{name}/{number}".encode()
            parent = xxhash.xxh64_intdigest(label, seed=parent)
            blocks.append(parent)
    return tuple(blocks)


class Arrival:
    """A request: when, at which entry VM, and what.

    :param target_s: for the first token.
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
    """A job whose prompt ends in ``tail`` tokens less than a block."""
    blocks = chain(parts)
    tokens = len(blocks) * prefix.TOKENS_PER_BLOCK + tail
    answer_blocks = answer // prefix.TOKENS_PER_BLOCK
    name = "/".join(part for part, _ in parts)
    parent = blocks[-1] if blocks else 0
    after = blocks + chain([(f"{name}:answer", answer_blocks)], parent)
    return engine_model.Job(blocks, after, tokens, answer)


def mandates(
    rng: random.Random, seconds: float, per_s: float, vms: int
) -> list[Arrival]:
    """Drafting checks on long mandates, and quick lookups.

    A mandate starts from one of 40 templates under a common system prompt,
    and is checked about six times while the clerk adds to it.
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
    """A concierge's chats with growing history, and short summaries.

    The caller of a chat keeps its entry VM for most turns.
    """
    arrivals = []
    at = 0.0
    talks: list[list[typing.Any]] = []
    number = 0
    while at < seconds:
        at += rng.expovariate(per_s)
        if rng.random() < 0.3:
            job = _job(
                [("house", 6)], rng.randint(10, 60), rng.randint(20, 60)
            )
            arrivals.append(Arrival(at, rng.randrange(vms), job, 0.8, "short"))
            continue
        if not talks or rng.random() < 1 / 8:
            number += 1
            talks.append([number, 0, rng.randrange(vms)])
            talks = talks[-80:]
        talk = rng.choice(talks)
        talk[1] += 1
        name, turns, home = talk
        parts = [("house", 6), ("concierge", 10)]
        parts += [(f"turn{name}-{k}", 5) for k in range(turns)]
        vm = home if rng.random() < 0.7 else rng.randrange(vms)
        job = _job(parts, rng.randrange(64), rng.randint(100, 250))
        arrivals.append(Arrival(at, vm, job, 1.2, "long"))
    return arrivals
