"""Chooses runners for calls, and records what their calls show of them.

An upstream is a runner, a process to which this VM forwards calls (see
:mod:`.runners`). An attempt is the sending of a call to one runner.
"""

import random
import typing

from .. import clock as clocks
from ..data_centres import prompt_sizes
from ..roll_outs import controller as roll_outs_controller
from ..roll_outs import model as roll_outs_model
from ..runners import model as models
from ..runners import outlier_detector
from ..runners import past_fragility
from ..runners import reachability
from ..runners import routing
from ..vms import peer_loads

from . import call_observations
from . import call_queries
from . import configuration_model
from . import connection_pool as pools
from . import crash_watch
from . import draining_runners
from . import messages
from . import modes
from . import performance_meters
from . import reach_monitor
from . import runner_choice
from . import runner_directory as directories
from . import runner_limits
from . import runner_pools
from . import runner_reports
from . import runner_selection
from . import runner_statements
from . import runners
from . import service_priorities
from . import slot_keepers
from . import slot_leases
from . import start_times
from . import stream_origins


class Upstreams:
    """The runners of all services, as the path of a call uses them.

    It combines the runner directory, the router, the connection pools, and
    what this VM's calls show of the runners. The directory says which runners
    exist; the others get its list at each :meth:`refresh`.

    :param vm: this VM's name.
    :param directory: the known runners.
    :param process: the name of this VM's process, which changes when it
        restarts.
    :param news: see :class:`.call_observations.CallObservations`.
    :param roll_outs: determines the roles of runners in roll-outs; None
        without roll-outs.
    :param part_modes: the modes of the parts of the request path; all are on
        by default.
    :param paths_changed: called when this VM has lost its paths to all
        runners, or has them again.
    """

    __slots__ = (
        "_choice",
        "_clock",
        "_configuration",
        "_crashes",
        "_directory",
        "_draining",
        "_fragility",
        "_limits",
        "_modes",
        "_observations",
        "_origins",
        "_peer_in_flight",
        "_performance",
        "_pools",
        "_reach_monitor",
        "_reports",
        "_roll_outs",
        "_router",
        "_selection",
        "_slots",
        "_start_times",
        "_statements",
    )

    def __init__(
        self,
        clock: clocks.Clock,
        rng: random.Random,
        vm: str,
        data_centre: str,
        directory: directories.RunnerDirectory,
        process: str = "",
        news: typing.Callable[[], None] | None = None,
        roll_outs: roll_outs_controller.RollOutController | None = None,
        part_modes: modes.PartModes | None = None,
        paths_changed: typing.Callable[[], None] | None = None,
    ) -> None:
        self._modes = part_modes or modes.PartModes()
        self._clock = clock
        self._roll_outs = roll_outs or roll_outs_controller.RollOutController(
            clock, rng, roll_outs_model.RollOutLimits()
        )
        self._directory = directory
        self._limits = runner_limits.RunnerLimits(
            clock,
            rng,
            vm,
            process,
            lambda runner: self.in_flight_at((runner,)),
        )
        self._fragility = past_fragility.PastFragility(
            clock, self._limits.fragile.local.is_fragile
        )
        self._performance = performance_meters.PerformanceMeters(
            clock, self._modes.performance, self._fragility.was_fragile
        )
        learned = self._performance.for_routing
        self._router = routing.Router(
            clock,
            rng,
            vm,
            data_centre,
            "home_or_faster" if learned is None else "expected_time",
            learned,
        )
        self._reach_monitor = reach_monitor.ReachMonitor(
            clock,
            f"{vm} {process}",
            self._router,
            paths_changed or (lambda: None),
        )
        self._observations = call_observations.CallObservations(
            clock,
            process,
            self._router,
            self._performance,
            self._roll_outs,
            self._modes,
            self._reach_monitor,
            self._fragility,
            news or (lambda: None),
        )
        self._crashes = crash_watch.CrashWatch(
            clock, vm, self._fragility.was_fragile
        )
        self._reports = runner_reports.RunnerReports(
            self.reach, self._observations, self._crashes
        )
        self._pools = runner_pools.RunnerPools()
        self._configuration: configuration_model.Configuration | None = None
        self._statements = runner_statements.RunnerStatements(
            clock, self._limits
        )
        self._choice = runner_choice.RunnerChoice(
            self._router,
            self._roll_outs,
            self._observations.silence,
            self._observations.outliers,
        )
        self._start_times = start_times.StartTimes(
            self._router, self._observations.prompts, self._modes.priorities
        )
        self._peer_in_flight: dict[str, int] = {}
        self._draining = draining_runners.DrainingRunners(
            clock, directory.drain_s
        )
        self._selection = runner_selection.RunnerSelection(
            directory,
            self._router,
            self._choice,
            self._statements,
            self._observations.silence,
            self._observations.outliers,
            self._draining,
            lambda: self.in_flight,
        )
        self._origins = stream_origins.StreamOrigins(
            clock, vm, data_centre, lambda: directory.unconfirmed_s
        )
        self._slots = slot_keepers.SlotKeepers(
            clock,
            vm,
            process,
            data_centre,
            self._modes.slots,
            self._performance.plain_slowness,
            lambda runner: self.in_flight_at((runner,)),
        )

    @property
    def reach(self) -> reachability.Reachability:
        """Tells which runners this VM reaches."""
        return self._reach_monitor.reach

    @property
    def reach_monitor(self) -> reach_monitor.ReachMonitor:
        """Acts when this VM loses all runners and when it is back."""
        return self._reach_monitor

    @property
    def directory(self) -> directories.RunnerDirectory:
        """The known runners."""
        return self._directory

    @property
    def crashes(self) -> crash_watch.CrashWatch:
        """Detects crashes of runners and the calls that may cause them."""
        return self._crashes

    @property
    def statements(self) -> runner_statements.RunnerStatements:
        """Takes what the runners say of themselves."""
        return self._statements

    @property
    def runner_limits(self) -> runner_limits.RunnerLimits:
        """The limits that runners name, kept together with the other VMs."""
        return self._limits

    @property
    def performance(self) -> performance_meters.PerformanceMeters:
        """Measures how fast the runners are."""
        return self._performance

    @property
    def slots(self) -> slot_keepers.SlotKeepers:
        """Asks for slots of plain services, and grants them."""
        return self._slots

    @property
    def selection(self) -> runner_selection.RunnerSelection:
        """Selects the runner of a call."""
        return self._selection

    @property
    def origins(self) -> stream_origins.StreamOrigins:
        """Knows where streams began."""
        return self._origins

    @property
    def in_flight(self) -> dict[str, int]:
        """This VM's calls in progress by runner, without zeros."""
        return self._observations.in_flight

    @property
    def reports(self) -> runner_reports.RunnerReports:
        """What this VM reports of the runners to the other VMs."""
        return self._reports

    @property
    def refused_runners(self) -> list[str]:
        """Runners that have just refused a connection of this VM."""
        return self._observations.refusals.refused_here

    @property
    def start_times(self) -> start_times.StartTimes:
        """Finds the calls that can't begin in time at any runner."""
        return self._start_times

    @property
    def priorities(self) -> service_priorities.ServicePriorities:
        """Decides the levels of calls in the engines' queues."""
        return self._observations.priorities

    @property
    def part_modes(self) -> modes.PartModes:
        """The modes of the parts of the request path."""
        return self._modes

    @property
    def outcome_counts(self) -> outlier_detector.Counts:
        """This VM's counts of failed and of all calls, by runner."""
        return self._observations.outliers.own_counts

    @property
    def pending_tokens(self) -> dict[str, int]:
        """Prompt tokens of this VM that await a first token, by runner."""
        return self._router.pending_tokens()

    @property
    def prefill_meters(self) -> dict[str, tuple[int, float, float]]:
        """See :attr:`.prompt_meters.PromptMeters.measurements`."""
        return self._observations.prompts.measurements

    @property
    def prompt_sizes(self) -> prompt_sizes.PromptSizes:
        """See :attr:`.prompt_meters.PromptMeters.sizes`."""
        return self._observations.prompts.sizes

    def all_in_flight(self, service: str) -> int:
        """The number of all VMs' calls in flight at a service's runners."""
        return self.in_flight_at(
            r.runner_id
            for r in self._directory.runners
            if r.service == service
        )

    def limited_away(self, service: str) -> float:
        """How many runners' worth of a service its limited runners don't take.

        A runner that names a limit is present, but most of it can't be used.
        """
        limits = self._limits.stated.in_force
        return self._observations.prompts.limited_away(
            service,
            [
                limits[runner.runner_id]
                for runner in self._directory.available_runners(service)
                if runner.runner_id in limits
            ],
        )

    @property
    def counters(self) -> dict[str, float]:
        """Counts since the start for the metrics, by metric.

        Connections are those ever opened to the known runners.
        """
        return {
            "runner_connections_total": self._pools.opened_connections,
            "runner_samples_ignored_total": (
                self._performance.performance.ignored
            ),
            "runner_failures_dropped_total": self._reports.dropped_failures,
            **self._limits.counters,
            **self._slots.counters,
            **self._origins.counters,
        }

    def configure(
        self, configuration: configuration_model.Configuration
    ) -> None:
        """Use a new version of the configuration from now on."""
        self._configuration = configuration
        self._pools.configure(configuration.services)
        self._observations.priorities.configure(configuration)
        self._origins.configure(configuration)
        self.refresh()

    def refresh(self) -> None:
        """Pass the directory's runners on to router, pools and detectors.

        To be called when the directory or a runner's role in a roll-out has
        changed.
        """
        listed = self._directory.runners
        self._roll_outs.set_runners(listed)
        self._observations.keep_only(listed)
        self._reach_monitor.set_runners(listed)
        self._origins.set_origins(runner.origin for runner in listed)
        held = self._origins.held
        self._router.set_runners(
            runner_choice.routing_view(
                runner, self._choice.routing_pool(runner)
            )
            for runner in listed
            if not runner.leaving and runner.origin not in held
        )
        self._draining.update(listed)
        self._crashes.update_runners(listed)
        self._statements.keep_only(listed)
        self._pools.retain_runners(listed)
        if self._configuration is not None:
            self._slots.set_runners(
                slot_leases.plain_slots(
                    listed, self._configuration, self._choice
                )
            )

    def set_fleet_size(self, count: int) -> None:
        """Set how many VMs share each runner's connection limit."""
        self._pools.set_members(count)

    def update_peer_loads(self, loads: peer_loads.PeerLoads) -> None:
        """Apply the other VMs' loads on runners and observations of them."""
        self._observations.update_peer_loads(loads, self._runners_by_pool())
        self._peer_in_flight = others = loads.in_flight
        for runner in self._directory.runners:
            name = runner.runner_id
            total = others.get(name, 0) + self._router.own_in_flight(name)
            self._router.observe_load(
                name,
                models.LoadReport(
                    total,
                    0,
                    runner.concurrency,
                    0,
                    call_queries.cache_blocks(
                        self._service_named(runner.service)
                    ),
                ),
            )

    def query(
        self,
        call: messages.CallerCall,
        route: configuration_model.Route,
        service: str,
        excluded: frozenset[str],
        origin: models.StreamOrigin | None = None,
    ) -> models.Query:
        """Describe a call for the router, which chooses a runner by it.

        :param excluded: runners that must not be chosen.
        :param origin: of the stream that the call continues; None if the call
            has no part of a response yet.
        """
        query = call_queries.query_of(
            call, route, self._service_named(service), service, excluded
        )
        if origin is None:
            return query
        return models.ContinuationQuery(query, origin)

    def fetch_source(
        self, query: models.Query, runner: runners.Runner
    ) -> str | None:
        """The runner from which a prompt's cached prefix may be copied.

        :returns: ``host:port``; None if the runner has to process the whole
            prompt itself.
        """
        if not query.can_copy:
            return None
        source = self._router.fetch_source(query, runner.runner_id)
        if source is None or self._limits.is_in_need(source.name):
            # A runner in need is not burdened with copies either.
            return None
        return source.address

    def takes_regular_calls(self, runner: runners.Runner) -> bool:
        """Whether a runner takes its service's regular calls."""
        return self._choice.takes_regular_calls(runner)

    def in_flight_at(self, names: typing.Iterable[str]) -> int:
        """The number of all VMs' calls in flight at the given runners."""
        return sum(
            self._observations.in_flight_at(name)
            + self._peer_in_flight.get(name, 0)
            for name in names
        )

    def pool(self, runner: runners.Runner) -> pools.ConnectionPool:
        """The connection pool of a runner."""
        return self._pools.pool_of(runner)

    def call_started(
        self,
        attempt: str,
        runner: runners.Runner,
        query: models.Query,
        customer: str | None = None,
        shows_speed: bool = True,
    ) -> float:
        """Record that a call is sent to a runner.

        :returns: the time, by this VM's clock.

        See :meth:`.call_observations.CallObservations.call_started`.
        """
        now = self._clock.now()
        self._observations.call_started(
            attempt, runner, query, customer, shows_speed
        )
        return now

    def bytes_received(self, runner: runners.Runner) -> None:
        """Record that bytes of a response came from a runner."""
        self._observations.bytes_received(runner)

    def first_event_received(self, attempt: str) -> None:
        """Record the first event of an attempt's stream."""
        self._observations.first_event_received(attempt)

    def response_started(self, attempt: str) -> None:
        """Record that an attempt's response has begun."""
        self._observations.response_started(attempt)

    def call_finished(
        self,
        attempt: str,
        runner: runners.Runner,
        outcome: models.Outcome,
        tokens: int = call_observations.NO_OUTPUT_TOKENS,
        outlier_failure: bool = False,
        events: int = 0,
        shows_speed: bool = False,
        answered: bool = True,
    ) -> None:
        """Record the end of a call at its runner.

        See :meth:`.call_observations.CallObservations.call_finished`.
        """
        self._observations.call_finished(
            attempt,
            runner,
            outcome,
            tokens,
            outlier_failure,
            events,
            shows_speed,
            answered,
        )

    def connection_opened(self, runner: runners.Runner, at: float) -> None:
        """Record that a new connection to a runner has brought a byte.

        Before, it may have been accepted by something else on the way.

        :param at: when it opened, by this VM's clock.
        """
        self._reach_monitor.connection_opened(runner.runner_id, at)

    def connection_broken(self, runner: runners.Runner) -> None:
        """Record that a connection to a runner was reset or closed midway."""
        self.reach.connection_broken(runner.runner_id)

    def connect_failed(
        self, runner: runners.Runner, refused: bool, shows_path: bool = True
    ) -> None:
        """Record that no connection to a runner could be opened.

        :param refused: whether the runner's host refused it, as no process
            listens there.
        :param shows_path: False if it had little time to open.
        """
        if refused or shows_path:
            self.reach.connection_failed(runner.runner_id)
        self._observations.refusals.record_failure(runner.runner_id, refused)
        if refused:
            # A runner that is silent for a while opens connections late, too.
            self._crashes.runner_lost(runner)

    async def check_runner_crash(self, runner: runners.Runner) -> None:
        """Check whether a runner that broke a connection has crashed.

        If it refuses a new connection, this is recorded as a failure.
        """
        if self._directory.get(runner.runner_id) is None:
            # The runner has already been replaced or removed.
            return
        if await self._crashes.refuses(runner, self.pool(runner)):
            self.connect_failed(runner, True)

    async def may_have_ended(self, runner: runners.Runner) -> bool:
        """Check whether a runner that closed a connection may have ended."""
        if self._directory.get(runner.runner_id) is None:
            return True
        return await self._crashes.may_have_ended(runner, self.pool(runner))

    def runner_replaced(self, runner: runners.Runner) -> None:
        """Remove a runner whose address now belongs to another runner."""
        self._directory.mark_ended(runner.runner_id)
        self.refresh()

    def sweep(self, now: float) -> None:
        """Close expired idle connections and advance crash detection.

        :param now: on the event loop's clock, in seconds.
        """
        self._pools.close_idle(now)
        self._fragility.tick()
        self._crashes.tick()
        self._reports.update()
        self._performance.log_changes()

    def _runners_by_pool(self) -> list[list[str]]:
        """IDs of the runners that get calls, by routing pool."""
        by_pool: dict[str, list[str]] = {}
        for runner in self._directory.runners:
            pool = "" if runner.leaving else self._choice.routing_pool(runner)
            if pool:
                by_pool.setdefault(pool, []).append(runner.runner_id)
        return list(by_pool.values())

    def _service_named(self, name: str) -> configuration_model.Service | None:
        if self._configuration is None:
            return None
        return self._configuration.services.get(name)
