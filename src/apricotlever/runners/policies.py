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
#: Up to this part of its slots a runner counts as empty. Where a few requests
#: are spread over a fleet, one more makes a runner look half as full again,
#: and VMs that read reports of different ages place one prefix at different
#: runners: three copies of a request that crashes its runner then take three
#: runners with them. A batch that is a quarter full is an eighth slower than
#: an empty one, about the tolerance of the other figures.
LIGHT_FILL = 0.25
#: Runners drawn beside the home of a prefix.
DRAWN = 2
#: Part of the latency target within which runners of the VM's own data centre
#: are fast enough. They are busier than others then by little.
NEAR_SHARE = 0.25
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


class _Drawing:
    """A policy that draws among equals.

    :param rng: of this entry VM: VMs that drew alike would herd.
    """

    __slots__ = ("_rng",)

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng


@policy("cost_at_target")
class CostAtTarget(_Drawing):
    """The cheapest runner that meets the target, else the fastest.

    Runners that are equal within a tolerance are ranked by rendezvous
    hashing of the prefix, so entry VMs that share no knowledge send the same
    prefix to the same runner.
    """

    __slots__ = ()

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
        return rendezvous(key, _within_bound(near))

    def _emptier(self, near: Candidates) -> candidates_.Candidate:
        """The less filled of two at random, so VMs don't herd."""
        first, second = self._rng.sample(near, 2)
        return first if first.fill <= second.fill else second


@policy("home_or_faster")
class HomeOrFaster(_Drawing):
    """The home of the shared prefix, unless one of two others is faster.

    The home is the runner that all VMs pick for the prefix by its hash, so
    it likely holds the prefix whoever sent it there. Only two others are
    looked at, drawn at random: VMs that see the same old figures would all
    send to the one runner that looked idle.

    The two are of this VM's data centre, as long as one of those or the home
    answers well within the target: bytes between data centres have a price,
    and of fewer runners each is called again while a connection is kept.
    """

    __slots__ = ()

    def pick(
        self, query: models.Query, candidates: Candidates, key: int | None
    ) -> candidates_.Candidate:
        """Pick the runner for a query."""
        looked_at = [c for c in candidates if c.is_home]
        near = [c for c in candidates if c.is_near]
        if len(near) >= DRAWN:
            looked_at += self._rng.sample(near, DRAWN)
            best = min(looked_at, key=lambda c: c.first_s)
            if best.first_s <= NEAR_SHARE * query.wanted_first_token_s:
                return best
        count = min(DRAWN, len(candidates))
        looked_at += self._rng.sample(list(candidates), count)
        return min(looked_at, key=lambda c: c.first_s)


@policy("random")
class Random(_Drawing):
    """Any runner with equal chance."""

    __slots__ = ()

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
class LeastInFlight(_Drawing):
    """The runner with the fewest requests of this VM."""

    __slots__ = ()

    def pick(
        self, query: models.Query, candidates: Candidates, key: int | None
    ) -> candidates_.Candidate:
        """Pick the runner for a query."""
        least = min(c.load.own for c in candidates)
        return self._rng.choice([c for c in candidates if c.load.own == least])


@policy("prefix_hash")
class PrefixHash(_Drawing):
    """Rendezvous hashing of the prompt's beginning, whatever the load."""

    __slots__ = ()

    def pick(
        self, query: models.Query, candidates: Candidates, key: int | None
    ) -> candidates_.Candidate:
        """Pick the runner for a query."""
        if not query.blocks:
            return self._rng.choice(candidates)
        last = min(HASHED_BLOCKS, len(query.blocks)) - 1
        return rendezvous(query.blocks[last], candidates)


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
    bound = max(bound, LIGHT_FILL)
    return [c for c in near if c.fill <= bound] or near


def rendezvous(key: int, candidates: Candidates) -> candidates_.Candidate:
    """The candidate that all VMs pick for a key."""
    digest = xxhash.xxh64_intdigest
    return max(candidates, key=lambda c: digest(c.name_bytes, seed=key))
