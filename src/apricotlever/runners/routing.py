"""Selects a runner for each request of one entry VM.

A query describes the request that is to be routed. The router estimates for
each runner the time to the first token and the cost of the query, and a policy
(see :mod:`.policies`) picks one. Prompts consist of blocks, and a runner
answers faster if it has a prompt's leading blocks cached.
"""

import collections
import random
import typing

from .. import clock as clocks
from . import candidates as candidates_
from . import in_flight
from . import latency_model as latency_model
from . import load
from . import model as models
from . import performance as performances
from . import policies
from . import prefix

DEFAULT_POLICY = "cost_at_target"
#: How long a removed runner is ignored in the platform's list, in seconds. The
#: list lags by up to this time and would add the runner again.
REMOVED_RUNNER_TTL_S = 300.0
#: Seconds after which a caller may retry if a pool has no runner for a query.
NO_RUNNER_RETRY_S = 5.0
#: Value of a block that the runner can copy from another runner's cache,
#: relative to a block in its own. The rest is the time and price of the
#: transfer.
COPIED_BLOCK_VALUE = 0.7
#: The least number of blocks to copy from another runner's cache. Copying
#: fewer saves less time than its setup takes. A shared prefix of fewer blocks
#: has no home runner either.
MIN_FETCH_BLOCKS = 8


class Router:
    """Tracks the load, caches and health of runners and selects among them.

    The home runner of a prefix that prompts share is the one that every VM
    selects by its hash, so it probably has the prefix cached.

    :param vm: the name of this entry VM.
    :param data_centre: the data centre of this VM.
    :param policy: the name of a policy registered in :mod:`.policies`.
    :param performance: what all VMs have learned of the runners' speed, which
        the estimates use; None if they use what this VM has learned alone.
    """

    __slots__ = (
        "_candidates",
        "_clock",
        "_data_centre",
        "_groups",
        "_removed_until",
        "_reported",
        "_in_flight",
        "_index",
        "_latency_models",
        "_mean_fills",
        "_mixed",
        "_peer_ratios",
        "_performance",
        "_policy",
        "_rng",
        "_vm",
    )

    def __init__(
        self,
        clock: clocks.Clock,
        rng: random.Random,
        vm: str,
        data_centre: str,
        policy: str = DEFAULT_POLICY,
        performance: performances.RunnerPerformance | None = None,
    ) -> None:
        self._clock = clock
        self._rng = rng
        self._vm = vm
        self._data_centre = data_centre
        self._policy = policies.create_policy(policy, rng)
        self._index = prefix.PrefixIndex()
        self._latency_models: dict[
            tuple[str, str], latency_model.LatencyModel
        ] = {}
        self._mean_fills: dict[str, candidates_.MeanFill] = {}
        self._peer_ratios: dict[str, load.PeerRatio] = {}
        self._performance = performance
        self._candidates: dict[str, candidates_.Candidate] = {}
        #: The runners that accept new requests, by pool and by the origin of
        #: the streams that may continue there.
        self._groups: dict[models.Group, list[candidates_.Candidate]] = {}
        #: How many runners of each origin a pool has, for pools with several.
        self._mixed: dict[
            str, collections.Counter[models.StreamOrigin | None]
        ] = {}
        self._reported: frozenset[str] = frozenset()
        self._removed_until: dict[str, float] = {}
        self._in_flight = in_flight.InFlight(clock)

    @property
    def vm(self) -> str:
        """The name of the entry VM that this router belongs to."""
        return self._vm

    @property
    def index(self) -> prefix.PrefixIndex:
        """The index of the runners' caches."""
        return self._index

    @property
    def runners(self) -> tuple[models.Runner, ...]:
        """The known runners, including those that are leaving."""
        return tuple(c.runner for c in self._candidates.values())

    def runner(self, name: str) -> models.Runner | None:
        """The description of a runner; None if it is unknown or removed."""
        candidate = self._candidates.get(name)
        return candidate.runner if candidate else None

    def is_leaving(self, name: str) -> bool:
        """Whether a runner is unknown, removed or about to end."""
        candidate = self._candidates.get(name)
        return candidate is None or candidate.leaving

    def own_in_flight(self, name: str) -> int:
        """The number of this VM's requests in flight at a runner."""
        candidate = self._candidates.get(name)
        return candidate.load.own if candidate else 0

    def names(self, group: models.Group) -> frozenset[str]:
        """The runners of a group that accept new requests."""
        return frozenset(c.name for c in self._groups.get(group, ()))

    def reserved(self, query: models.Query) -> frozenset[str]:
        """Runners whose free slots are left to streams that go on.

        If one of the runners of a version ends, its streams need room at the
        others, whereas what begins may go to any version. So of n runners of
        a version each takes new requests up to (n - 1) / n of its slots; a
        single one up to a half, as its own streams may come back to it.
        """
        origins = self._mixed.get(query.pool)
        if origins is None or isinstance(query, models.ContinuationQuery):
            return frozenset()
        now = self._clock.now()
        return frozenset(
            candidate.name
            for candidate in self._groups.get(query.pool, ())
            if candidate.load.in_flight(now) + 1
            > _share_for_new(origins[candidate.runner.origin])
            * candidate.load.slots
        )

    def blocked(self, pool: str) -> list[str]:
        """The runners of a pool that get no request now.

        They are about to end, or their circuits let no request through.
        """
        now = self._clock.now()
        return [
            candidate.name
            for candidate in self._groups.get(pool, ())
            if candidate.leaving or not candidate.circuit.allows(now)
        ]

    def set_runners(self, runners: typing.Iterable[models.Runner]) -> None:
        """Set the list of live runners.

        Runners in the first list are taken to be warm; runners added later
        go through a slow start. A list that lags does not restore a runner
        that is leaving or was removed.
        """
        now = self._clock.now()
        self._removed_until = {
            name: until
            for name, until in self._removed_until.items()
            if until > now
        }
        listed = {
            runner.name: runner
            for runner in runners
            if runner.name not in self._removed_until
        }
        warm = not self._candidates
        for name in [n for n in self._candidates if n not in listed]:
            self._remove(name)
        for name, runner in listed.items():
            self._add(name, runner, warm)
        self._group_candidates()

    def observe_load(self, name: str, report: models.LoadReport) -> None:
        """Apply a report of a runner's load and of the size of its cache."""
        candidate = self._candidates.get(name)
        if candidate is not None:
            candidate.load.observe(report)
            candidate.invalidate()
            self._index.resize(name, report.blocks)

    def observe_cache(self, name: str, answer: models.CacheEvents) -> None:
        """Correct the index of cached prefixes by a runner's cache events."""
        self._index.observe(name, answer)

    def mark_leaving(self, name: str, deadline: float | None = None) -> None:
        """Stop sending new requests to a runner.

        :param deadline: the time at which the runner will end, by this VM's
            clock.
        """
        candidate = self._candidates.get(name)
        if candidate is None:
            self._suppress_runner(name)
            return
        candidate.leaving = True
        self._group_candidates()

    def remove_runner(self, name: str) -> None:
        """Remove a runner that has ended.

        The platform's list may still hold it for a while, so the runner is
        ignored there for :data:`REMOVED_RUNNER_TTL_S`.
        """
        self._suppress_runner(name)
        self._remove(name)
        self._group_candidates()

    def record_success(self, name: str) -> None:
        """Record a successful poll of the runner's load by this VM.

        It closes the circuit, so the runner gets requests again.
        """
        candidate = self._candidates.get(name)
        if candidate is not None:
            candidate.circuit.succeeded()
            candidate.invalidate()

    def record_failure(self, name: str) -> None:
        """Record a failed probe of the runner or connection to it."""
        candidate = self._candidates.get(name)
        if candidate is not None:
            candidate.circuit.failed()
            candidate.invalidate()

    def record_refused(self, name: str) -> None:
        """Record that no process listens at the runner's address."""
        candidate = self._candidates.get(name)
        if candidate is not None:
            candidate.circuit.refused()
            candidate.invalidate()

    def forget_failures(self, since: float) -> int:
        """Forget what failed from a time on, as it was this VM's own fault.

        :param since: when this VM lost its paths to the runners.
        :returns: the number of circuits that closed.
        """
        closed = 0
        for candidate in self._candidates.values():
            closed += candidate.circuit.forget(since)
            candidate.invalidate()
        return closed

    def set_reported(
        self, names: frozenset[str], confirmed: frozenset[str]
    ) -> None:
        """Set the runners that refuse connections of other VMs.

        :param names: runners whose next failure opens their circuits.
        :param confirmed: those that are avoided without a failure.
        """
        for name in self._reported - names:
            if (candidate := self._candidates.get(name)) is not None:
                candidate.circuit.suspected = False
        self._reported = names
        for name in names:
            if (candidate := self._candidates.get(name)) is not None:
                candidate.circuit.suspected = True
                candidate.circuit.reported(name in confirmed)
                candidate.invalidate()

    def runner_crashed(self, name: str) -> None:
        """Record the end of a runner's process, which empties its cache."""
        self._index.clear_runner(name)
        candidate = self._candidates.get(name)
        if candidate is not None:
            candidate.circuit.crashed()
            candidate.invalidate()

    def choose(self, query: models.Query) -> models.Route | models.NoRunner:
        """Select a runner for a query, without counting the request.

        :returns: the route, or the reason why no runner was selected.
        """
        usable = self._usable_candidates(query)
        if not usable and query.accepts_unhealthy:
            usable = [
                candidate
                for candidate in self._groups.get(query.group, ())
                if candidate.name not in query.excluded
            ]
        if not usable:
            return self._no_runner(query)
        candidate = self._policy.pick(
            query, usable, self._prefix_key(query, usable)
        )
        return _route(candidate)

    def expected_first_token_s(self, name: str) -> float:
        """The time to the first token at a runner, by the last estimate."""
        candidate = self._candidates.get(name)
        return candidate.first_token_s if candidate is not None else 0.0

    def best_first_token_s(
        self, query: models.Query, share: float
    ) -> float | None:
        """The shortest expected time to the first token of a query.

        :param share: part of the waiting prompts that the query waits for.
        :returns: seconds; None if a runner is idle, or none is available.
        """
        usable = self._usable_candidates(query)
        if not usable or any(candidate.idle for candidate in usable):
            return None
        return min(c.first_token_behind_s(share) for c in usable)

    def ranked(self, query: models.Query, limit: int) -> list[models.Route]:
        """The best runners for a query, the best first.

        :param limit: the maximum number of routes.
        """
        routes: list[models.Route] = []
        usable = self._usable_candidates(query)
        while usable and len(routes) < limit:
            best = self._policy.pick(
                query, usable, self._prefix_key(query, usable)
            )
            routes.append(_route(best))
            usable.remove(best)
        return routes

    def fetch_source(
        self, query: models.Query, chosen: str
    ) -> models.Runner | None:
        """A runner from which the chosen runner may copy cached blocks.

        Copying takes milliseconds, whereas a prefill takes a tenth of a
        second and delays the tokens of all other requests. The index covers
        only prompts sent by this VM. However, all VMs send a prefix to the
        same runner by its hash, so the runner that the hash selects among the
        others probably has the prefix cached.

        :returns: None if no runner is likely to have many more blocks cached.
        """
        others = self._copy_sources(query, chosen)
        if not others or len(query.blocks) < MIN_FETCH_BLOCKS:
            return None
        expected_cached = self._index.expected(query.blocks)
        own = expected_cached.get(chosen, 0.0)
        best = max(others, key=lambda c: expected_cached.get(c.name, 0.0))
        if expected_cached.get(best.name, 0.0) - own >= MIN_FETCH_BLOCKS:
            return best.runner
        if query.shared_blocks - own < MIN_FETCH_BLOCKS:
            return None
        home = self._home_runner(query, others)
        return home.runner if home is not None else None

    def _copy_sources(
        self, query: models.Query, chosen: str
    ) -> list[candidates_.Candidate]:
        """The runners whose cached blocks the chosen one can use.

        The software of another version may keep them in another form.
        """
        candidate = self._candidates.get(chosen)
        origin = candidate.runner.origin if candidate is not None else None
        return [
            other
            for other in self._groups.get(query.group, [])
            if other.name != chosen and other.runner.origin == origin
        ]

    def backlog(self, name: str) -> tuple[int, float]:
        """What a request would find at a runner, as far as is known.

        :returns: all VMs' uncached prompt tokens that await a first token, and
            the runner's fill with the request.
        """
        found = self._candidates.get(name)
        if found is None:
            return 0, 0.0
        fill = (found.load.in_flight(self._clock.now()) + 1) / found.load.slots
        return found.pending_tokens + found.others_pending, fill

    def pending_tokens(self) -> dict[str, int]:
        """Uncached prompt tokens of this VM's requests, by runner.

        They belong to requests without a first token, and a new request waits
        for their prefill. The result is sent to the other VMs.
        """
        return {
            name: candidate.pending_tokens
            for name, candidate in self._candidates.items()
            if candidate.pending_tokens > 0
        }

    def waiting_tokens(self, pool: str) -> dict[str, int]:
        """Uncached prompt tokens of all VMs that await a prefill, by runner.

        :returns: tokens for each runner of the pool that takes requests.
        """
        now = self._clock.now()
        return {
            candidate.name: candidate.pending_tokens + candidate.others_pending
            for candidate in self._groups.get(pool, [])
            if candidate.circuit.allows(now)
        }

    def observe_pending(self, tokens: typing.Mapping[str, int]) -> None:
        """Set the other VMs' part of the prompt tokens that await a prefill.

        :param tokens: the sums of the other VMs' :meth:`pending_tokens`.
        """
        for name, candidate in self._candidates.items():
            candidate.others_pending = tokens.get(name, 0)
            candidate.invalidate()

    def request_started(
        self, request_id: str, runner: str, query: models.Query
    ) -> int:
        """Record that a request was sent to a runner.

        :returns: prompt tokens that the runner probably has to prefill.
        """
        self._in_flight.remove(request_id)
        candidate = self._candidates.get(runner)
        if candidate is None:
            return query.prompt_tokens
        expected_cached = self._index.expected(query.blocks).get(runner, 0.0)
        home = self._home_runner(query, self._groups.get(query.group, []))
        if candidate is home or query.can_copy:
            expected_cached = max(expected_cached, query.shared_blocks)
        cached = expected_cached * prefix.TOKENS_PER_BLOCK
        candidate.estimate(
            self._clock.now(),
            query.prompt_tokens,
            cached,
            query.expected_tokens,
        )
        uncached = max(0, query.prompt_tokens - int(cached))
        self._in_flight.started(request_id, candidate, uncached)
        self._index.claim(runner, query.blocks)
        return uncached

    def first_token(self, request_id: str) -> None:
        """Record the arrival of the first token or byte of an answer."""
        self._in_flight.first_token(request_id)

    def request_finished(
        self, request_id: str, outcome: models.Outcome, tokens: int = 0
    ) -> None:
        """Record the end of a request.

        Its outcome counts in the runner's circuit breaker, and its timing in
        the latency model.

        :param tokens: tokens of the answer, 0 if unknown.
        """
        self._in_flight.finished(request_id, outcome, tokens)

    def _add(self, name: str, runner: models.Runner, warm: bool) -> None:
        known = self._candidates.get(name)
        if known is not None:
            known.update_runner(runner)
            return
        latency = self._latency_models.setdefault(
            (runner.pool, runner.machine), latency_model.LatencyModel()
        )
        peers = self._peer_ratios.setdefault(runner.pool, load.PeerRatio())
        fill = self._mean_fills.setdefault(runner.pool, candidates_.MeanFill())
        candidate = candidates_.Candidate(
            runner,
            latency,
            self._clock,
            self._rng,
            warm,
            peers,
            self._performance,
            fill,
        )
        candidate.is_local = runner.data_centre == self._data_centre
        self._candidates[name] = candidate
        self._index.add_runner(name)

    def _remove(self, name: str) -> None:
        candidate = self._candidates.pop(name, None)
        if candidate is not None and candidate.leaving:
            self._suppress_runner(name)
        self._index.remove_runner(name)

    def _suppress_runner(self, name: str) -> None:
        self._removed_until[name] = self._clock.now() + REMOVED_RUNNER_TTL_S

    def _group_candidates(self) -> None:
        """Group the runners that accept new requests."""
        groups: dict[models.Group, list[candidates_.Candidate]] = {}
        versioned = set()
        for candidate in self._candidates.values():
            if candidate.leaving:
                continue
            runner = candidate.runner
            if runner.pool:
                groups.setdefault(runner.pool, []).append(candidate)
            if runner.origin is not None:
                groups.setdefault(runner.origin, []).append(candidate)
                if runner.origin.version:
                    versioned.add(runner.origin.service)
        for service in versioned:
            # A runner of unknown version may be of any of the known ones.
            groups.pop(models.StreamOrigin(service, ""), None)
        self._groups = groups
        self._mixed = {}
        for group, members in groups.items():
            origins = collections.Counter(c.runner.origin for c in members)
            if isinstance(group, str) and len(origins) > 1:
                self._mixed[group] = origins

    def _usable_candidates(
        self, query: models.Query
    ) -> list[candidates_.Candidate]:
        """The runners that may take the query, with estimates for it."""
        now = self._clock.now()
        excluded = query.excluded
        expected_cached = (
            self._index.expected(query.blocks) if query.blocks else {}
        )
        tokens = query.prompt_tokens
        answer = query.expected_tokens
        usable = []
        pool = self._groups.get(query.group, [])
        home = self._home_runner(query, pool)
        for candidate in pool:
            cached = expected_cached.get(candidate.name, 0.0)
            candidate.cached_blocks = cached
            candidate.is_home = candidate is home
            if query.shared_blocks:
                cached = self._expected_blocks(query, candidate, cached)
            cached *= prefix.TOKENS_PER_BLOCK
            is_usable = candidate.estimate(now, tokens, cached, answer)
            if is_usable and candidate.name not in excluded:
                usable.append(candidate)
        return usable

    def _home_runner(
        self, query: models.Query, pool: list[candidates_.Candidate]
    ) -> candidates_.Candidate | None:
        """The home runner of the prefix that a query shares with others.

        Every VM selects it by the hash of the prefix.

        :param pool: the runners to select from.
        :returns: the runner; None if the shared prefix is too short.
        """
        if not pool or query.shared_blocks < MIN_FETCH_BLOCKS:
            return None
        key = query.blocks[query.shared_blocks - 1]
        return policies.rendezvous(key, pool)

    def _expected_blocks(
        self,
        query: models.Query,
        candidate: candidates_.Candidate,
        known: float,
    ) -> float:
        """The expected number of a query's leading blocks in a runner's cache.

        The home runner is taken to have the whole shared prefix. If runners
        can copy blocks from each other, the others count it in part.

        :param known: the number that is expected from this VM's requests.
        """
        if candidate.is_home:
            return max(known, query.shared_blocks)
        if query.can_copy:
            return max(known, COPIED_BLOCK_VALUE * query.shared_blocks)
        return known

    def _prefix_key(
        self, query: models.Query, usable: list[candidates_.Candidate]
    ) -> int | None:
        """Hash of the shortest prefix that no usable runner has cached.

        If one has cached the whole prompt, it is the hash of the prompt.

        :returns: the hash; None for a query without blocks.
        """
        if not query.blocks:
            return None
        depth = int(max(candidate.cached_blocks for candidate in usable))
        return query.blocks[min(depth, len(query.blocks) - 1)]

    def _no_runner(self, query: models.Query) -> models.NoRunner:
        """The answer to a query that no runner can take, with the reason."""
        reason = models.NoRunnerReason
        pool = self._groups.get(query.group)
        if not pool:
            leaving = any(
                candidate.runner.pool == query.pool
                for candidate in self._candidates.values()
            )
            why = reason.ALL_LEAVING if leaving else reason.EMPTY_POOL
            return models.NoRunner(why, NO_RUNNER_RETRY_S)
        probe_times = [
            candidate.circuit.open_until
            for candidate in pool
            if candidate.name not in query.excluded
        ]
        if not probe_times:
            return models.NoRunner(reason.ALL_EXCLUDED, NO_RUNNER_RETRY_S)
        wait_s = max(0.1, min(probe_times) - self._clock.now())
        return models.NoRunner(reason.ALL_UNHEALTHY, wait_s)


def _share_for_new(count: int) -> float:
    """The part of its slots that a runner of a version gives to new requests.

    :param count: number of runners of the version.
    """
    count = max(2, count)
    return (count - 1) / count


def _route(candidate: candidates_.Candidate) -> models.Route:
    return models.Route(
        candidate.runner, candidate.first_token_s, int(candidate.cached_blocks)
    )
