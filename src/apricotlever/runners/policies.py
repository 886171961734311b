"""Routing policies, which pick one of the runners that may take a query.

A policy is registered under a name by :func:`policy`. It is created with a
seeded random source, and receives the query and the usable candidates with
their estimates of the time to the first token, the cost and the fill. The
fill is the number of requests at a runner, with the new one, divided by its
slots. Some policies use rendezvous hashing: the hash of a prefix of the prompt
is combined with each runner's name to rank the runners alike on all VMs.
"""

import random
import typing

import xxhash

from . import candidates as candidates_
from . import model as models

Candidates = typing.Sequence[candidates_.Candidate]


class Policy(typing.Protocol):
    """Picks one runner from a non-empty list of candidates."""

    def pick(
        self, query: models.Query, candidates: Candidates, key: int | None
    ) -> candidates_.Candidate:
        """Pick the runner for a query.

        :param key: hash of the shortest prefix that no candidate is known to
            have cached; None for a prompt shorter than one block.
        """


PolicyFactory = typing.Callable[[random.Random], Policy]

_FACTORIES: dict[str, PolicyFactory] = {}

#: Shares of the target for the time to the first token that a runner's
#: estimate may use. The first share that any runner meets applies. The rest is
#: a margin for requests that other VMs sent since the last report, which the
#: estimate does not include.
TARGET_SHARES = (0.25, 0.5)
#: Relative difference up to which costs are treated as equal.
COST_TOLERANCE = 0.1
#: Relative difference up to which times to the first token are treated as
#: equal when no runner meets the target.
LATENCY_TOLERANCE = 0.1
#: Of nearly equal runners, a prompt goes to the one that the hash of its
#: shortest prefix without a known cached copy selects, but only among those
#: whose fill is at most this multiple of their average fill. Without the
#: bound, the hash would select a runner whatever its load.
LOAD_BOUND = 1.25
#: Fill up to which a runner is treated as empty. When few requests are spread
#: over a fleet, one more request raises a runner's fill by half, and VMs that
#: read reports of different ages would send the same prefix to different
#: runners: three copies of a request that crashes its runner would then crash
#: three runners. A batch that is a quarter full is an eighth slower than an
#: empty one, which is close to the other tolerances.
LIGHT_LOAD_FILL = 0.25
#: Runners that the policy ``home_or_faster`` samples at random, in addition to
#: the home runner of the prefix.
SAMPLE_SIZE = 2
#: Share of the target for the time to the first token within which the policy
#: ``home_or_faster`` prefers a runner of the VM's own data centre to faster
#: ones elsewhere. At this share, the own data centre's runners become only
#: slightly busier than the others.
LOCAL_TARGET_SHARE = 0.25
#: Shares of the target from which the policy ``expected_time`` compares more
#: runners, if the prefill of the uncached part of the prompt takes them at a
#: runner of mean speed. A prompt that takes a quarter meets its target at a
#: runner of a third of the mean speed that is a little busy; one that takes
#: half of it may not do so even at an idle one.
LONG_PREFILL_SHARE = 0.25
VERY_LONG_PREFILL_SHARE = 0.5
#: Runners that the policy then samples in addition to the home runner.
LONG_PREFILL_SAMPLE_SIZE = 4
#: Shares of the target within which a runner of a very long prompt would be if
#: nothing waited there. The first share that any runner meets applies.
IDLE_TARGET_SHARES = (0.75, 1.0)
#: Share of the target by which a runner elsewhere must be faster than the
#: home runner and those of the VM's own data centre. Traffic between data
#: centres is charged, and callers do not notice a tenth of their target.
REMOTE_TARGET_SHARE = 0.1
#: Number of leading blocks that the policy ``prefix_hash`` hashes.
HASHED_BLOCKS = 20


def policy(name: str) -> typing.Callable[[PolicyFactory], PolicyFactory]:
    """Register a policy class or factory function under a name."""

    def register(factory: PolicyFactory) -> PolicyFactory:
        _FACTORIES[name] = factory
        return factory

    return register


def policy_names() -> tuple[str, ...]:
    """The names of the registered policies in alphabetical order."""
    return tuple(sorted(_FACTORIES))


def create_policy(name: str, rng: random.Random) -> Policy:
    """Create the policy that is registered under a name.

    :raises KeyError: if no policy has the name.
    """
    return _FACTORIES[name](rng)


class _RandomizedPolicy:
    """Base class of the policies that choose at random.

    :param rng: the random source of this entry VM. It must differ between
        VMs, which would otherwise all choose the same runner.
    """

    __slots__ = ("_rng",)

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng


@policy("cost_at_target")
class CostAtTarget(_RandomizedPolicy):
    """Picks the cheapest runner that meets the target, else the fastest.

    Runners that are equal within a tolerance are ranked by rendezvous
    hashing of the prefix, so that entry VMs send the same prefix to the same
    runner without communication.
    """

    __slots__ = ()

    def pick(
        self, query: models.Query, candidates: Candidates, key: int | None
    ) -> candidates_.Candidate:
        """Pick the runner for a query."""
        meeting = _meeting_target(query.wanted_first_token_s, candidates)
        if meeting:
            limit = min(c.cost for c in meeting) * (1 + COST_TOLERANCE)
            near = [c for c in meeting if c.cost <= limit]
        else:
            limit = min(c.first_token_s for c in candidates)
            limit *= 1 + LATENCY_TOLERANCE
            near = [c for c in candidates if c.first_token_s <= limit]
        if len(near) == 1:
            return near[0]
        if key is None:
            return self._less_filled_of_two(near)
        return rendezvous(key, _within_load_bound(near))

    def _less_filled_of_two(self, near: Candidates) -> candidates_.Candidate:
        """The less filled of two random runners, so that VMs do not herd."""
        first, second = self._rng.sample(near, 2)
        return first if first.fill <= second.fill else second


@policy("home_or_faster")
class HomeOrFaster(_RandomizedPolicy):
    """Picks the home runner of the prefix, unless one of two is faster.

    Faster means a lower estimated time to the first token. All VMs select the
    home runner by the hash of the shared prefix, so it probably has the prefix
    cached, whichever VM sent it there. It is compared with two runners sampled
    at random only: VMs that see the same outdated figures would otherwise all
    send to the one runner that seemed idle.

    The two runners are from this VM's data centre, as long as one of them or
    the home runner answers well within the target. Traffic between data
    centres is charged, and with fewer runners each is called again while a
    connection to it is still open.
    """

    __slots__ = ()

    def pick(
        self, query: models.Query, candidates: Candidates, key: int | None
    ) -> candidates_.Candidate:
        """Pick the runner for a query."""
        compared = [c for c in candidates if c.is_home]
        near = [c for c in candidates if c.is_local]
        if len(near) >= SAMPLE_SIZE:
            compared += self._rng.sample(near, SAMPLE_SIZE)
            best = min(compared, key=lambda c: c.first_token_s)
            if (
                best.first_token_s
                <= LOCAL_TARGET_SHARE * query.wanted_first_token_s
            ):
                return best
        count = min(SAMPLE_SIZE, len(candidates))
        compared += self._rng.sample(list(candidates), count)
        return min(compared, key=lambda c: c.first_token_s)


@policy("expected_time")
class ExpectedTime(_RandomizedPolicy):
    """Picks a runner with a low expected time to the first token.

    It compares the home runner of the prefix and random runners, those of the
    VM's own data centre first, like ``home_or_faster``. The longer the
    prompt's prefill takes, the more runners are compared, since of two random
    runners both may be too slow. For a prompt whose prefill takes half of the
    target, the runners that would be fast enough if nothing waited there are
    found among all of them. Even then only some of these are compared by their
    queues: the figures of queues are outdated, and VMs that compared them all
    would send to the same runner.
    """

    __slots__ = ()

    def pick(
        self, query: models.Query, candidates: Candidates, key: int | None
    ) -> candidates_.Candidate:
        """Pick the runner for a query."""
        homes = [c for c in candidates if c.is_home]
        usual = homes[0] if homes else self._rng.choice(candidates)
        target_s = query.wanted_first_token_s
        prefill_s = usual.uncached_tokens * usual.token_s
        size = SAMPLE_SIZE
        if prefill_s >= LONG_PREFILL_SHARE * target_s:
            size = LONG_PREFILL_SAMPLE_SIZE
        if prefill_s >= VERY_LONG_PREFILL_SHARE * target_s:
            candidates = _fast_enough(target_s, candidates)
            homes = [c for c in homes if c in candidates]
        best = self._fastest(candidates, size)
        near = [c for c in candidates if c.is_local]
        local = homes + ([self._fastest(near, size)] if near else [])
        if local:
            best_local = min(local, key=_first_token_s)
            limit_s = best.first_token_s + REMOTE_TARGET_SHARE * target_s
            if best_local.first_token_s <= limit_s:
                return best_local
        return best

    def _fastest(
        self, candidates: Candidates, size: int
    ) -> candidates_.Candidate:
        """The fastest of some random runners.

        If there are so few that all are compared, the nearly fastest are
        equal: all VMs would otherwise send to the one that is ahead by the
        error of its estimate.
        """
        if size < len(candidates):
            compared = self._rng.sample(candidates, size)
            return min(compared, key=_first_token_s)
        limit_s = min(c.first_token_s for c in candidates)
        limit_s *= 1 + LATENCY_TOLERANCE
        return self._rng.choice(
            [c for c in candidates if c.first_token_s <= limit_s]
        )


@policy("random")
class Random(_RandomizedPolicy):
    """Picks a random runner."""

    __slots__ = ()

    def pick(
        self, query: models.Query, candidates: Candidates, key: int | None
    ) -> candidates_.Candidate:
        """Pick the runner for a query."""
        return self._rng.choice(candidates)


@policy("round_robin")
class RoundRobin:
    """Picks the runners in turn."""

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
class LeastInFlight(_RandomizedPolicy):
    """Picks the runner with the fewest requests of this VM in flight."""

    __slots__ = ()

    def pick(
        self, query: models.Query, candidates: Candidates, key: int | None
    ) -> candidates_.Candidate:
        """Pick the runner for a query."""
        least = min(c.load.own for c in candidates)
        return self._rng.choice([c for c in candidates if c.load.own == least])


@policy("prefix_hash")
class PrefixHash(_RandomizedPolicy):
    """Picks by the hash of the prompt's leading blocks, whatever the load.

    A query without blocks gets a random runner.
    """

    __slots__ = ()

    def pick(
        self, query: models.Query, candidates: Candidates, key: int | None
    ) -> candidates_.Candidate:
        """Pick the runner for a query."""
        if not query.blocks:
            return self._rng.choice(candidates)
        last = min(HASHED_BLOCKS, len(query.blocks)) - 1
        return rendezvous(query.blocks[last], candidates)


def _fast_enough(target_s: float, candidates: Candidates) -> Candidates:
    """The runners that would meet the target if nothing waited there.

    Without such a runner, those that would be nearly as fast as the fastest.
    """
    idle = [(c.first_token_s - c.wait_s, c) for c in candidates]
    limit_s = (1 + LATENCY_TOLERANCE) * min(idle_s for idle_s, _ in idle)
    for share in IDLE_TARGET_SHARES:
        if limit_s <= share * target_s:
            limit_s = share * target_s
            break
    return [c for idle_s, c in idle if idle_s <= limit_s]


def _first_token_s(candidate: candidates_.Candidate) -> float:
    return candidate.first_token_s


def _meeting_target(target_s: float, candidates: Candidates) -> Candidates:
    """The candidates that meet the target with a margin.

    :param target_s: the target for the time to the first token, in seconds.
    :returns: the candidates within the first of :data:`TARGET_SHARES` that any
        candidate meets; empty if none meets one.
    """
    fastest_s = min(c.first_token_s for c in candidates)
    for share in TARGET_SHARES:
        within_s = target_s * share
        if fastest_s <= within_s:
            return [c for c in candidates if c.first_token_s <= within_s]
    return []


def _within_load_bound(near: Candidates) -> Candidates:
    """The candidates that are not much fuller than the average of them.

    Lightly loaded ones count as empty. If none is left, all are returned.
    """
    bound = LOAD_BOUND * sum(c.fill for c in near) / len(near)
    bound = max(bound, LIGHT_LOAD_FILL)
    return [c for c in near if c.fill <= bound] or near


def rendezvous(key: int, candidates: Candidates) -> candidates_.Candidate:
    """The candidate that every VM selects for a key by rendezvous hashing."""
    digest = xxhash.xxh64_intdigest
    return max(candidates, key=lambda c: digest(c.name_bytes, seed=key))
