"""The runners as the request path uses them: choice, connections, load."""

import random
import typing

from .. import clock as clocks
from .. import logs
from ..data_centres import prefill_load
from ..roll_outs import controller as roll_outs_controller
from ..roll_outs import model as roll_outs_model
from ..runners import model as models
from ..runners import outlier_detector
from ..runners import prefix
from ..runners import routing
from ..runners import silence_detector
from ..vms import peer_loads

from . import crash_watch
from . import directory as directories
from . import messages
from . import pool as pools
from . import routes
from . import runner_pools
from . import runners
from . import trials

#: What an answer of a plain service counts as, in tokens.
NO_TOKENS = 0


class Upstreams:
    """All runners of all services.

    :param directory: which runners there are.
    :param news: called when a runner was given a prompt to read.
    :param roll_outs: determines the roles of runners in roll-outs; None
        without roll-outs.
    """

    __slots__ = (
        "_clock",
        "_configuration",
        "_crashes",
        "_directory",
        "_news",
        "_others",
        "_outliers",
        "_own",
        "_pools",
        "_reading",
        "_roll_outs",
        "_router",
        "_silence",
        "_trials",
        "_work",
    )

    def __init__(
        self,
        clock: clocks.Clock,
        rng: random.Random,
        vm: str,
        data_centre: str,
        directory: directories.Directory,
        process: str = "",
        news: typing.Callable[[], None] | None = None,
        roll_outs: roll_outs_controller.RollOutController | None = None,
    ) -> None:
        self._clock = clock
        self._news = news
        self._roll_outs = roll_outs or roll_outs_controller.RollOutController(
            clock, rng, roll_outs_model.RollOutLimits()
        )
        self._trials = trials.Trials(clock, self._roll_outs)
        self._outliers = outlier_detector.OutlierDetector(clock, process)
        self._crashes = crash_watch.CrashWatch(clock, vm)
        self._directory = directory
        self._router = routing.Router(
            clock, rng, vm, data_centre, "home_or_faster"
        )
        self._pools = runner_pools.RunnerPools()
        self._configuration: routes.Configuration | None = None
        self._own: dict[str, int] = {}
        self._silence = silence_detector.SilenceDetector(clock)
        self._others: dict[str, int] = {}
        self._work: dict[str, prefill_load.PrefillMeter] = {}
        #: Attempts without an answer yet: work counter, query, tokens to
        #: read, start.
        self._reading: dict[
            str, tuple[prefill_load.PrefillMeter, models.Query, int, float]
        ] = {}

    @property
    def directory(self) -> directories.Directory:
        """Which runners there are."""
        return self._directory

    @property
    def crashes(self) -> crash_watch.CrashWatch:
        """Crashes of runners, and the calls that may cause them."""
        return self._crashes

    @property
    def in_flight(self) -> dict[str, int]:
        """This VM's calls at each runner that has any."""
        return {name: count for name, count in self._own.items() if count}

    @property
    def silent(self) -> list[str]:
        """Runners that this VM finds silent."""
        return self._silence.silent_here

    @property
    def failures(self) -> outlier_detector.Counts:
        """This VM's failed and all calls, by runner."""
        return self._outliers.own_counts

    @property
    def pending(self) -> dict[str, int]:
        """Prompt tokens that wait at each runner for this VM."""
        return self._router.pending_tokens()

    @property
    def work(self) -> dict[str, tuple[int, float, float]]:
        """Tokens read, a runner's speed and the pressure, by service."""
        return {
            name: (work.total_tokens, work.prefill_speed, work.latency_ratio)
            for name, work in self._work.items()
        }

    def all_in_flight(self, service: str) -> int:
        """Calls of all VMs at the runners of a service."""
        return self.in_flight_at(
            r.runner_id
            for r in self._directory.runners
            if r.service == service
        )

    @property
    def opened(self) -> int:
        """Connections opened to the runners that are known now."""
        return self._pools.opened

    def configure(self, configuration: routes.Configuration) -> None:
        """Take over a version of the configuration."""
        self._configuration = configuration
        self._pools.configure(configuration.services)
        self.refresh()

    def refresh(self) -> None:
        """Take over which runners take new work."""
        listed = self._directory.runners
        self._roll_outs.set_runners(listed)
        self._router.set_runners(
            _described(runner, pool)
            for runner in listed
            if not runner.leaving and (pool := self._pool_of(runner))
        )
        self._crashes.listed(listed)
        present = {runner.runner_id for runner in listed}
        self._silence.keep_only(present)
        self._outliers.keep_only(present)
        self._pools.keep_only(listed)

    def set_members(self, count: int) -> None:
        """Take over how many VMs share the runners' connections."""
        self._pools.set_members(count)

    def observe_peers(self, loads: peer_loads.PeerLoads) -> None:
        """Take in what the other VMs do at each runner."""
        self._silence.set_peer_counts(loads.silent)
        for source, counts in loads.failures.items():
            self._outliers.add_peer_counts(
                source, counts, loads.from_aggregate
            )
        self._judge()
        self._others = others = loads.in_flight
        self._router.observe_pending(loads.pending)
        for runner in self._directory.runners:
            name = runner.runner_id
            total = others.get(name, 0) + self._router.own_in_flight(name)
            self._router.observe_load(
                name,
                models.LoadReport(
                    total, 0, runner.concurrency, 0, self._blocks(runner)
                ),
            )

    def query(
        self,
        call: messages.CallerCall,
        route: routes.Route,
        service: str,
        excluded: frozenset[str],
    ) -> models.Query:
        """What routing has to know of a call."""
        prompt = call.prompt
        if prompt is None:
            return models.Query(
                route.name,
                service,
                "",
                excluded=excluded,
                wanted_first_token_s=route.objective_s,
            )
        shared = prefix.part_block_hashes(
            (part.part_id, part.tokens) for part in prompt.parts[:-1]
        )
        return models.Query(
            route.name,
            service,
            "",
            prefix.part_block_hashes(
                ((part.part_id, part.tokens) for part in prompt.parts[-1:]),
                shared,
            ),
            prompt.tokens_in,
            prompt.tokens_out,
            excluded=excluded,
            wanted_first_token_s=route.objective_s,
            shared_blocks=len(shared),
            can_copy=self._copies(service),
        )

    def fetch_source(
        self, query: models.Query, runner: runners.Runner
    ) -> str | None:
        """Where a runner may copy the cached part of a prompt from.

        :returns: ``host:port``, None when it has to read all itself.
        """
        if not query.can_copy:
            return None
        source = self._router.fetch_source(query, runner.runner_id)
        return source.address if source is not None else None

    def choose(self, query: models.Query) -> runners.Runner | None:
        """The runner for a query, None when there is none."""
        service = query.pool
        repeated = bool(query.excluded)
        if self._roll_outs.should_use_new_version(
            service, query.entry, repeated
        ):
            query.pool = trials.pool_name(
                service, roll_outs_model.RunnerRole.CANARY
            )
            choice = self._choose(query)
            if not isinstance(choice, models.NoRunner):
                return self._directory.get(choice.runner.name)
            query.pool = service
        choice = self._choose(query)
        if isinstance(choice, models.NoRunner):
            logs.event(
                "no_runner", service=query.pool, reason=choice.reason.value
            )
            return None
        return self._directory.get(choice.runner.name)

    def serves(self, runner: runners.Runner) -> bool:
        """Whether a runner takes regular calls of its service."""
        return (
            self._roll_outs.role(runner) is roll_outs_model.RunnerRole.SERVING
        )

    def in_flight_at(self, names: typing.Iterable[str]) -> int:
        """The number of calls of all VMs at the given runners."""
        return sum(
            self._own.get(name, 0) + self._others.get(name, 0)
            for name in names
        )

    def pool(self, runner: runners.Runner) -> pools.Pool:
        """The connections to a runner."""
        return self._pools.of(runner)

    def started(
        self, attempt: str, runner: runners.Runner, query: models.Query
    ) -> None:
        """A call was sent to a runner."""
        name = runner.runner_id
        self._own[name] = self._own.get(name, 0) + 1
        self._silence.call_sent(name)
        tokens = self._router.request_started(attempt, name, query)
        counter = self._counter(runner.service)
        self._trials.sent(
            attempt, runner, query.entry, tokens, counter.prefill_speed
        )
        if query.prompt_tokens:
            counter.record_sent(tokens)
            if self._news is not None:
                self._news()
            now = self._clock.now()
            self._reading[attempt] = (counter, query, tokens, now)

    def heard(self, runner: runners.Runner) -> None:
        """A byte of an answer came from a runner."""
        self._silence.bytes_received(runner.runner_id)

    def first_answer(self, attempt: str) -> None:
        """The first byte of an answer came."""
        self._router.first_token(attempt)
        self._trials.first_answer(attempt)
        reading = self._reading.pop(attempt, None)
        if reading is not None:
            counter, query, tokens, since = reading
            counter.record_first_answer(
                tokens,
                self._clock.now() - since,
                query.wanted_first_token_s,
            )

    def finished(
        self,
        attempt: str,
        runner: runners.Runner,
        outcome: models.Outcome,
        tokens: int = NO_TOKENS,
        blamed: bool = False,
    ) -> None:
        """A call ended at its runner.

        :param blamed: the runner turned it away or said nothing, which a
            full runner does too: it counts only beside its service's others.
        """
        self._reading.pop(attempt, None)
        self._trials.ended(attempt, outcome)
        name = runner.runner_id
        self._silence.call_ended(name)
        if outcome is not models.Outcome.CANCELLED or blamed:
            failed = outcome is models.Outcome.FAILED or blamed
            self._outliers.call_ended(name, failed)
        left = self._own.get(name, 1) - 1
        if left > 0:
            self._own[name] = left
        else:
            self._own.pop(name, None)
        self._router.request_finished(attempt, outcome, tokens)

    def unreachable(self, runner: runners.Runner) -> None:
        """No connection to a runner opened."""
        self._router.record_failure(runner.runner_id)
        self._crashes.lost(runner)

    async def check_crashed(self, runner: runners.Runner) -> None:
        """Find out whether a runner that broke an answer off has ended."""
        if self._directory.get(runner.runner_id) is None:
            # Another one has started in its place, or its entry has gone.
            return
        if await self._crashes.refuses(runner, self.pool(runner)):
            self.unreachable(runner)

    def replaced(self, runner: runners.Runner) -> None:
        """Another runner answers at a runner's address."""
        self._directory.gone(runner.runner_id)
        self.refresh()

    def sweep(self, now: float) -> None:
        """Close connections that idled for too long."""
        self._pools.sweep(now)
        self._crashes.tick()

    def _judge(self) -> None:
        by_service: dict[str, list[str]] = {}
        for runner in self._directory.runners:
            pool = "" if runner.leaving else self._pool_of(runner)
            if pool:
                by_service.setdefault(pool, []).append(runner.runner_id)
        for found in self._outliers.detect(by_service.values()):
            logs.event("runner_outlier", **found.inputs)

    def _choose(self, query: models.Query) -> models.Route | models.NoRunner:
        """Choose a runner from a pool, preferring healthy ones."""
        excluded = query.excluded
        avoided = self._silence.silent | self._outliers.ejected
        query.excluded = excluded | avoided
        choice = self._router.choose(query)
        query.excluded = excluded
        if isinstance(choice, models.NoRunner) and avoided:
            choice = self._router.choose(query)
        return choice

    def _pool_of(self, runner: runners.Runner) -> str:
        """The pool of a runner; "" for none.

        Each version has its own pool, so that prompts are neither placed nor
        copied across versions.
        """
        return trials.pool_name(runner.service, self._roll_outs.role(runner))

    def _copies(self, name: str) -> bool:
        configuration = self._configuration
        service = configuration and configuration.services.get(name)
        return bool(service and service.engine and service.engine.copies)

    def _counter(self, service: str) -> prefill_load.PrefillMeter:
        return self._work.setdefault(service, prefill_load.PrefillMeter())

    def _blocks(self, runner: runners.Runner) -> int:
        service = self._service(runner)
        if service is None or service.engine is None:
            return 0
        return service.engine.memory_tokens // prefix.TOKENS_PER_BLOCK

    def _service(self, runner: runners.Runner) -> routes.Service | None:
        if self._configuration is None:
            return None
        return self._configuration.services.get(runner.service)


def _described(runner: runners.Runner, pool: str) -> models.Runner:
    return models.Runner(
        runner.runner_id,
        runner.address,
        runner.data_centre,
        pool,
        "reclaimable" if runner.reclaimable else "on_demand",
        "",
        1.0,
        runner.concurrency,
    )
