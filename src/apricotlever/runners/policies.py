"""Ways to pick one of the runners that may take a query.

A policy is registered under a name by :func:`policy`. It gets the query,
the candidates with their expected figures, none of them unfit, and a seeded
random source.
"""

import random
import typing

import xxhash

from . import candidates as candidates_
from . import model as models

Candidates = typing.Sequence[candidates_.Candidate]


class Policy(typing.Protocol):
    """Picks one of at least one candidate."""

    def pick(
        self, query: models.Query, candidates: Candidates, key: int | None
    ) -> candidates_.Candidate:
        """Pick the runner for a query.

        :param key: the hash of the shortest prefix that no candidate is
            known to hold, None for a prompt of less than one block.
        """


Factory = typing.Callable[[random.Random], Policy]

_FACTORIES: dict[str, Factory] = {}

#: Parts of the latency target that the expectation may use up, the first
#: that any runner meets. The rest is for what the expectation can't know:
#: requests that other VMs sent since the last report.
TARGET_SHARES = (0.25, 0.5)
#: Costs this close count as equal.
COST_TOLERANCE = 0.1
#: First tokens this close count as equal when none meets the target.
LATENCY_TOLERANCE = 0.1
#: Cold prefixes go to runners filled at most this much above the average.
LOAD_BOUND = 1.25
#: How much of a prompt the policy ``prefix_hash`` looks at.
HASHED_BLOCKS = 20


def policy(name: str) -> typing.Callable[[Factory], Factory]:
    """Register a policy's class, or any maker of one, under a name."""

    def register(factory: Factory) -> Factory:
        _FACTORIES[name] = factory
        return factory

    return register


def names() -> tuple[str, ...]:
    """The registered names in alphabetical order."""
    return tuple(sorted(_FACTORIES))


def make(name: str, rng: random.Random) -> Policy:
    """A new policy.

    :raises KeyError: when no policy has the name.
    """
    return _FACTORIES[name](rng)


@policy("cost_at_target")
class CostAtTarget:
    """The cheapest runner that meets the target, else the fastest.

    Runners that are equal within a tolerance are ranked by rendezvous
    hashing of the prefix, so entry VMs that share no knowledge send the same
    prefix to the same runner.
    """

    __slots__ = ("_rng",)

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng

    def pick(
        self, query: models.Query, candidates: Candidates, key: int | None
    ) -> candidates_.Candidate:
        """Pick the runner for a query."""
        meeting = _meeting(query.wanted_first_token_s, candidates)
        if meeting:
            limit = min(c.cost for c in meeting) * (1 + COST_TOLERANCE)
            near = [c for c in meeting if c.cost <= limit]
        else:
            limit = min(c.first_s for c in candidates)
            limit *= 1 + LATENCY_TOLERANCE
            near = [c for c in candidates if c.first_s <= limit]
        if len(near) == 1:
            return near[0]
        if key is None:
            return self._emptier(near)
        return _rendezvous(key, _within_bound(near))

    def _emptier(self, near: Candidates) -> candidates_.Candidate:
        """The less filled of two at random, so VMs don't herd."""
        first, second = self._rng.sample(near, 2)
        return first if first.fill <= second.fill else second


@policy("random")
class Random:
    """Any runner with equal chance."""

    __slots__ = ("_rng",)

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng

    def pick(
        self, query: models.Query, candidates: Candidates, key: int | None
    ) -> candidates_.Candidate:
        """Pick the runner for a query."""
        return self._rng.choice(candidates)


@policy("round_robin")
class RoundRobin:
    """Each runner in turn."""

    __slots__ = ("_turn",)

    def __init__(self, rng: random.Random) -> None:
        self._turn = rng.randrange(1000)

    def pick(
        self, query: models.Query, candidates: Candidates, key: int | None
    ) -> candidates_.Candidate:
        """Pick the runner for a query."""
        self._turn += 1
        return candidates[self._turn % len(candidates)]


@policy("least_in_flight")
class LeastInFlight:
    """The runner with the fewest requests of this VM."""

    __slots__ = ("_rng",)

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng

    def pick(
        self, query: models.Query, candidates: Candidates, key: int | None
    ) -> candidates_.Candidate:
        """Pick the runner for a query."""
        least = min(c.load.own for c in candidates)
        return self._rng.choice([c for c in candidates if c.load.own == least])


@policy("prefix_hash")
class PrefixHash:
    """Rendezvous hashing of the prompt's beginning, whatever the load."""

    __slots__ = ("_rng",)

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng

    def pick(
        self, query: models.Query, candidates: Candidates, key: int | None
    ) -> candidates_.Candidate:
        """Pick the runner for a query."""
        if not query.blocks:
            return self._rng.choice(candidates)
        last = min(HASHED_BLOCKS, len(query.blocks)) - 1
        return _rendezvous(query.blocks[last], candidates)


def _meeting(target_s: float, candidates: Candidates) -> Candidates:
    """Those that meet the smallest share of the target that any meets."""
    fastest_s = min(c.first_s for c in candidates)
    for share in TARGET_SHARES:
        within_s = target_s * share
        if fastest_s <= within_s:
            return [c for c in candidates if c.first_s <= within_s]
    return []


def _within_bound(near: Candidates) -> Candidates:
    bound = LOAD_BOUND * sum(c.fill for c in near) / len(near)
    return [c for c in near if c.fill <= bound] or near


def _rendezvous(key: int, candidates: Candidates) -> candidates_.Candidate:
    digest = xxhash.xxh64_intdigest
    return max(candidates, key=lambda c: digest(c.name_bytes, seed=key))
