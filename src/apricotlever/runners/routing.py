"""Picks a runner for each request on one entry VM."""

import random
import typing

from .. import clock as clocks
from . import candidates as candidates_
from . import in_flight
from . import load
from . import model as models
from . import pace as paces
from . import policies
from . import prefix

DEFAULT_POLICY = "cost_at_target"
#: How long a runner that is gone stays barred. The platform's list lags and
#: would bring it back for as long.
GONE_MEMORY_S = 300.0
EMPTY_RETRY_S = 5.0
#: A copied block costs the rest of what reading it would: the time and the
#: price of the transfer.
COPIED_PART = 0.7
#: A copy of fewer blocks of a prompt saves less than it takes to set up.
LEAST_FETCH_BLOCKS = 8


class Router:
    """Knows the runners, their load, caches and health; picks among them.

    :param vm: the name of this entry VM.
    :param data_centre: where this VM runs.
    :param policy: a name registered in :mod:`.policies`.
    """

    __slots__ = (
        "_by_pool",
        "_candidates",
        "_clock",
        "_data_centre",
        "_gone_until",
        "_in_flight",
        "_index",
        "_paces",
        "_peers",
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
    ) -> None:
        self._clock = clock
        self._rng = rng
        self._vm = vm
        self._data_centre = data_centre
        self._policy = policies.make(policy, rng)
        self._index = prefix.PrefixIndex()
        self._paces: dict[tuple[str, str], paces.Pace] = {}
        self._peers: dict[str, load.PeerRatio] = {}
        self._candidates: dict[str, candidates_.Candidate] = {}
        self._by_pool: dict[str, list[candidates_.Candidate]] = {}
        self._gone_until: dict[str, float] = {}
        self._in_flight = in_flight.InFlight(clock)

    @property
    def vm(self) -> str:
        """The entry VM that this router works for."""
        return self._vm

    @property
    def index(self) -> prefix.PrefixIndex:
        """What the runners' caches likely hold."""
        return self._index

    @property
    def runners(self) -> tuple[models.Runner, ...]:
        """The known runners, leaving ones included."""
        return tuple(c.runner for c in self._candidates.values())

    def runner(self, name: str) -> models.Runner | None:
        """The description of a runner, None when it is unknown or gone."""
        candidate = self._candidates.get(name)
        return candidate.runner if candidate else None

    def is_leaving(self, name: str) -> bool:
        """Whether a runner is unknown, gone or about to go."""
        candidate = self._candidates.get(name)
        return candidate is None or candidate.leaving

    def own_in_flight(self, name: str) -> int:
        """Requests of this VM at a runner."""
        candidate = self._candidates.get(name)
        return candidate.load.own if candidate else 0

    def set_runners(self, runners: typing.Iterable[models.Runner]) -> None:
        """Take over the list of live runners.

        The first list is taken as warm; runners that turn up later start
        slowly. A runner known to be leaving or gone isn't revived by a list
        that lags.
        """
        now = self._clock.now()
        self._gone_until = {
            name: until
            for name, until in self._gone_until.items()
            if until > now
        }
        listed = {
            runner.name: runner
            for runner in runners
            if runner.name not in self._gone_until
        }
        warm = not self._candidates
        for name in [n for n in self._candidates if n not in listed]:
            self._remove(name)
        for name, runner in listed.items():
            self._add(name, runner, warm)
        self._group()

    def observe_load(self, name: str, report: models.LoadReport) -> None:
        """Take in a runner's load report."""
        candidate = self._candidates.get(name)
        if candidate is not None:
            candidate.load.observe(report)
            candidate.changed()
            self._index.resize(name, report.blocks)

    def observe_cache(self, name: str, answer: models.CacheEvents) -> None:
        """Take in a runner's cache events."""
        self._index.observe(name, answer)

    def leaving(self, name: str, deadline: float | None = None) -> None:
        """Send no new work to a runner from now on.

        :param deadline: when it will be gone, by this VM's clock.
        """
        candidate = self._candidates.get(name)
        if candidate is None:
            self._bar(name)
            return
        candidate.leaving = True
        self._group()

    def gone(self, name: str) -> None:
        """Forget a runner that has ended."""
        self._bar(name)
        self._remove(name)
        self._group()

    def succeeded(self, name: str) -> None:
        """A probe outside of any request was answered by the runner."""
        candidate = self._candidates.get(name)
        if candidate is not None:
            candidate.health.succeeded()
            candidate.changed()

    def failed(self, name: str) -> None:
        """A probe outside of any request failed at the runner."""
        candidate = self._candidates.get(name)
        if candidate is not None:
            candidate.health.failed()
            candidate.changed()

    def crashed(self, name: str) -> None:
        """The runner's process ended; if it restarts, its cache is empty."""
        self._index.forget(name)
        candidate = self._candidates.get(name)
        if candidate is not None:
            candidate.health.crashed()
            candidate.changed()

    def choose(self, query: models.Query) -> models.Route | models.NoRunner:
        """Pick a runner for a query; nothing is counted yet.

        :returns: the route, or the reason why there is none.
        """
        fit = self._estimated(query)
        if not fit:
            return self._no_runner(query)
        candidate = self._policy.pick(query, fit, self._key(query, fit))
        return _route(candidate)

    def ranked(self, query: models.Query, limit: int) -> list[models.Route]:
        """The best runners for a query, the best first."""
        routes: list[models.Route] = []
        fit = self._estimated(query)
        while fit and len(routes) < limit:
            best = self._policy.pick(query, fit, self._key(query, fit))
            routes.append(_route(best))
            fit.remove(best)
        return routes

    def fetch_source(
        self, query: models.Query, chosen: str
    ) -> models.Runner | None:
        """A runner from which the chosen one may copy cached tokens.

        Copying takes milliseconds where reading takes a tenth of a second
        and delays the tokens of everybody else. What this VM did not send
        itself it does not know of; but all VMs send a prefix to the same
        runner by its hash, so the first runner by the hash other than the
        chosen one likely holds it.

        :returns: None when no runner is likely to hold much more.
        """
        pool = self._by_pool.get(query.pool, [])
        others = [c for c in pool if c.name != chosen and not c.leaving]
        if not others or len(query.blocks) < LEAST_FETCH_BLOCKS:
            return None
        held = self._index.expected(query.blocks)
        own = held.get(chosen, 0.0)
        best = max(others, key=lambda c: held.get(c.name, 0.0))
        if held.get(best.name, 0.0) - own >= LEAST_FETCH_BLOCKS:
            return best.runner
        if query.shared_blocks - own < LEAST_FETCH_BLOCKS:
            return None
        home = self._home(query, others)
        return home.runner if home is not None else None

    def pending_tokens(self) -> dict[str, int]:
        """Prompt tokens that wait at each runner for this VM."""
        return {
            name: candidate.pending_tokens
            for name, candidate in self._candidates.items()
            if candidate.pending_tokens > 0
        }

    def observe_pending(self, tokens: typing.Mapping[str, int]) -> None:
        """Take in the prompt tokens that wait for the other VMs."""
        for name, candidate in self._candidates.items():
            candidate.others_pending = tokens.get(name, 0)
            candidate.changed()

    def started(
        self, request_id: str, runner: str, query: models.Query
    ) -> int:
        """The request was sent to the runner.

        :returns: prompt tokens that the runner likely has to read.
        """
        self._in_flight.end(request_id)
        candidate = self._candidates.get(runner)
        if candidate is None:
            return query.prompt_tokens
        held = self._index.expected(query.blocks).get(runner, 0.0)
        home = self._home(query, self._by_pool.get(query.pool, []))
        if candidate is home or query.copies:
            held = max(held, query.shared_blocks)
        cached = held * prefix.TOKENS_PER_BLOCK
        candidate.estimate(
            self._clock.now(),
            query.prompt_tokens,
            cached,
            query.expected_tokens,
        )
        uncached = max(0, query.prompt_tokens - int(cached))
        self._in_flight.started(request_id, candidate, uncached)
        self._index.routed(runner, query.blocks)
        return uncached

    def first_token(self, request_id: str) -> None:
        """The first token, or the first byte, of the answer has come."""
        self._in_flight.first_token(request_id)

    def finished(
        self, request_id: str, outcome: models.Outcome, tokens: int = 0
    ) -> None:
        """The request ended; the runner's health learns from it.

        :param tokens: of the answer, 0 when not known.
        """
        self._in_flight.finished(request_id, outcome, tokens)

    def _add(self, name: str, runner: models.Runner, warm: bool) -> None:
        known = self._candidates.get(name)
        if known is not None:
            known.describe(runner)
            return
        pace = self._paces.setdefault(
            (runner.pool, runner.machine), paces.Pace()
        )
        peers = self._peers.setdefault(runner.pool, load.PeerRatio())
        candidate = candidates_.Candidate(
            runner, pace, self._clock, self._rng, warm, peers
        )
        candidate.is_near = runner.data_centre == self._data_centre
        self._candidates[name] = candidate
        self._index.add_runner(name)

    def _remove(self, name: str) -> None:
        candidate = self._candidates.pop(name, None)
        if candidate is not None and candidate.leaving:
            self._bar(name)
        self._index.remove_runner(name)

    def _bar(self, name: str) -> None:
        self._gone_until[name] = self._clock.now() + GONE_MEMORY_S

    def _group(self) -> None:
        """Keep the runners that take new work, by pool."""
        self._by_pool = {}
        for candidate in self._candidates.values():
            if not candidate.leaving:
                pool = candidate.runner.pool
                self._by_pool.setdefault(pool, []).append(candidate)

    def _estimated(self, query: models.Query) -> list[candidates_.Candidate]:
        """The runners that may take the query, with figures for it."""
        now = self._clock.now()
        excluded = query.excluded
        held = self._index.expected(query.blocks) if query.blocks else {}
        tokens = query.prompt_tokens
        answer = query.expected_tokens
        fit = []
        pool = self._by_pool.get(query.pool, [])
        home = self._home(query, pool)
        for candidate in pool:
            cached = held.get(candidate.name, 0.0)
            candidate.cached = cached
            candidate.is_home = candidate is home
            if query.shared_blocks:
                cached = self._believed(query, candidate, cached)
            cached *= prefix.TOKENS_PER_BLOCK
            fits = candidate.estimate(now, tokens, cached, answer)
            if fits and candidate.name not in excluded:
                fit.append(candidate)
        return fit

    def _home(
        self, query: models.Query, pool: list[candidates_.Candidate]
    ) -> candidates_.Candidate | None:
        """The runner that all VMs pick for the shared prefix."""
        if not pool or query.shared_blocks < LEAST_FETCH_BLOCKS:
            return None
        key = query.blocks[query.shared_blocks - 1]
        return policies.rendezvous(key, pool)

    def _believed(
        self,
        query: models.Query,
        candidate: candidates_.Candidate,
        known: float,
    ) -> float:
        """Blocks that a runner holds, or may copy in little time."""
        if candidate.is_home:
            return max(known, query.shared_blocks)
        if query.copies:
            return max(known, COPIED_PART * query.shared_blocks)
        return known

    def _key(
        self, query: models.Query, fit: list[candidates_.Candidate]
    ) -> int | None:
        """The shortest prefix of the query that is held nowhere."""
        if not query.blocks:
            return None
        depth = int(max(candidate.cached for candidate in fit))
        return query.blocks[min(depth, len(query.blocks) - 1)]

    def _no_runner(self, query: models.Query) -> models.NoRunner:
        reason = models.NoRunnerReason
        pool = self._by_pool.get(query.pool)
        if not pool:
            leaving = any(
                candidate.runner.pool == query.pool
                for candidate in self._candidates.values()
            )
            why = reason.ALL_LEAVING if leaving else reason.EMPTY_POOL
            return models.NoRunner(why, EMPTY_RETRY_S)
        open_ = [
            candidate.health.open_until
            for candidate in pool
            if candidate.name not in query.excluded
        ]
        if not open_:
            return models.NoRunner(reason.ALL_EXCLUDED, EMPTY_RETRY_S)
        wait_s = max(0.1, min(open_) - self._clock.now())
        return models.NoRunner(reason.ALL_UNHEALTHY, wait_s)


def _route(candidate: candidates_.Candidate) -> models.Route:
    return models.Route(
        candidate.runner, candidate.first_s, int(candidate.cached)
    )
