"""Passes the events of this VM's calls to all that learns from them.

Each call to a runner shows something: whether the runner answers, fails, is
slow, or is loaded. The parts that learn from it are told of the call's start,
of its response and of its end here, so that the path of a call has to report
each event only once.
"""

import typing

from .. import clock as clocks
from .. import logs
from ..roll_outs import controller as roll_outs_controller
from ..runners import model as models
from ..runners import outlier_detector
from ..runners import past_fragility
from ..runners import routing
from ..runners import silence_detector
from ..runners import vouched_counts
from ..vms import peer_loads

from . import call_sampling
from . import modes
from . import performance_meters
from . import prompt_meters
from . import reach_monitor
from . import runner_refusals
from . import runners
from . import service_priorities

#: Output tokens reported for a response whose tokens are not counted.
NO_OUTPUT_TOKENS = 0


class CallObservations:
    """What the calls of this VM show of the runners.

    :param process: the name of this VM's process.
    :param router: ranks the runners by their load.
    :param performance: measures how fast the runners are.
    :param roll_outs: the roll-outs, whose calls are sampled.
    :param part_modes: the modes of the parts of the request path.
    :param reach: finds out whether this VM reaches runners.
    :param fragile: tells which runners are or were fragile. Calls that broke
        there say nothing of the runner's quality.
    :param news: called when the other VMs should be told at once: when a
        prompt was sent, or when there are refused connections to report.
    """

    __slots__ = (
        "_fragile",
        "_in_flight",
        "_news",
        "_outliers",
        "_performance",
        "_priorities",
        "_prompts",
        "_reach",
        "_refusals",
        "_router",
        "_silence",
        "_trials",
        "_vouched",
    )

    def __init__(
        self,
        clock: clocks.Clock,
        process: str,
        router: routing.Router,
        performance: performance_meters.PerformanceMeters,
        roll_outs: roll_outs_controller.RollOutController,
        part_modes: modes.PartModes,
        reach: reach_monitor.ReachMonitor,
        fragile: past_fragility.PastFragility,
        news: typing.Callable[[], None],
    ) -> None:
        self._news = news
        self._router = router
        self._reach = reach
        self._fragile = fragile
        self._performance = performance
        self._in_flight: dict[str, int] = {}
        self._silence = silence_detector.SilenceDetector(clock)
        self._outliers = outlier_detector.OutlierDetector(clock, process)
        self._vouched = vouched_counts.VouchedCounts(clock)
        self._trials = call_sampling.CallSampler(clock, roll_outs)
        self._prompts = prompt_meters.PromptMeters(clock)
        self._refusals = runner_refusals.RunnerRefusals(
            clock, self._router, part_modes.priorities
        )
        self._priorities = service_priorities.ServicePriorities(
            clock,
            self._router,
            self._token_s,
            self._performance.prefill_speed,
            part_modes.priorities,
        )

    @property
    def in_flight(self) -> dict[str, int]:
        """This VM's calls in progress by runner, without zeros."""
        return dict(self._in_flight)

    @property
    def silence(self) -> silence_detector.SilenceDetector:
        """Detects the runners that send no bytes."""
        return self._silence

    @property
    def outliers(self) -> outlier_detector.OutlierDetector:
        """Detects the runners that fail more often than others."""
        return self._outliers

    @property
    def vouched(self) -> vouched_counts.VouchedCounts:
        """The failed calls that this VM may report to the others."""
        return self._vouched

    @property
    def refusals(self) -> runner_refusals.RunnerRefusals:
        """The runners that refuse connections."""
        return self._refusals

    @property
    def prompts(self) -> prompt_meters.PromptMeters:
        """Measures how the runners process prompts."""
        return self._prompts

    @property
    def priorities(self) -> service_priorities.ServicePriorities:
        """Decides the levels of calls in the engines' queues."""
        return self._priorities

    def in_flight_at(self, name: str) -> int:
        """The number of this VM's calls in progress at a runner."""
        return self._in_flight.get(name, 0)

    def keep_only(self, listed: typing.Iterable[runners.Runner]) -> None:
        """Discard what is known of all runners but the listed ones."""
        listed = list(listed)
        present = frozenset(runner.runner_id for runner in listed)
        self._performance.keep_only(listed)
        self._silence.keep_only(present)
        self._outliers.keep_only(present)
        self._vouched.keep_only(present)
        self._refusals.keep_only(present)

    def update_peer_loads(
        self,
        loads: peer_loads.PeerLoads,
        pools: typing.Iterable[list[str]],
    ) -> None:
        """Apply what the other VMs have observed.

        :param pools: runners that are compared with each other, by ID.
        """
        self._silence.set_peer_counts(loads.silent)
        self._refusals.apply_reports(loads.refused)
        for source, counts in loads.failures.items():
            self._outliers.add_peer_counts(
                source, counts, loads.from_aggregate
            )
        for found in self._outliers.detect(pools):
            logs.event("runner_outlier", **found.inputs)
        self._router.observe_pending(loads.pending)
        self._priorities.update()

    def call_started(
        self,
        attempt: str,
        runner: runners.Runner,
        query: models.Query,
        customer: str | None = None,
        shows_speed: bool = True,
    ) -> None:
        """Record that a call is sent to a runner.

        :param attempt: name of the attempt, unique on this VM.
        :param customer: name of the call's customer; None without one.
        :param shows_speed: whether its times depend on the runner alone.
        """
        name = runner.runner_id
        # From now on it is known for a while, also when the runner has fallen.
        self._fragile.was_fragile(name)
        self._in_flight[name] = self._in_flight.get(name, 0) + 1
        self._silence.call_sent(name)
        self._reach.reach.call_sent(name)
        # The backlog is that of the other calls, so it is read first.
        backlog = performance_meters.Backlog(*self._router.backlog(name))
        tokens = self._router.request_started(attempt, name, query)
        if shows_speed:
            self._performance.record_sent(
                attempt,
                runner,
                query.entry,
                tokens,
                bool(query.prompt_tokens),
                backlog,
            )
        self._trials.record_sent(
            attempt,
            runner,
            query.entry,
            tokens,
            self._prompts.meter(runner.service).prefill_speed,
        )
        if query.prompt_tokens:
            self._prompts.record_sent(attempt, runner.service, query, tokens)
            self._priorities.record_sent(
                runner.service, customer, query, tokens
            )
            self._news()

    def bytes_received(self, runner: runners.Runner) -> None:
        """Record that bytes of a response came from a runner."""
        self._silence.bytes_received(runner.runner_id)
        self._reach.bytes_received(runner.runner_id)
        if self._refusals.record_answer(runner.runner_id):
            self._news()

    def first_event_received(self, attempt: str) -> None:
        """Record the first event of an attempt's stream."""
        self._performance.record_first_event(attempt)
        self.response_started(attempt)

    def response_started(self, attempt: str) -> None:
        """Record that an attempt's response has begun."""
        self._router.first_token(attempt)
        self._trials.record_first_byte(attempt)
        self._prompts.record_response(attempt)

    def call_finished(
        self,
        attempt: str,
        runner: runners.Runner,
        outcome: models.Outcome,
        tokens: int = NO_OUTPUT_TOKENS,
        outlier_failure: bool = False,
        events: int = 0,
        shows_speed: bool = False,
        answered: bool = True,
    ) -> None:
        """Record the end of a call at its runner.

        :param tokens: output tokens of the response.
        :param outlier_failure: whether the runner rejected the call or did not
            respond. An overloaded runner does so too, so this counts only in
            outlier detection, which compares the runners of a service.
        :param events: number of events after the first one of a stream.
        :param shows_speed: whether the call was answered completely and with
            success, so that its duration is that of its work.
        :param answered: whether the runner answered in full, if only with an
            error or a rejection.
        """
        self._prompts.record_end(attempt)
        self._performance.record_end(attempt, shows_speed, events)
        self._trials.record_end(attempt, outcome)
        name = runner.runner_id
        self._silence.call_ended(name)
        self._reach.reach.call_ended(name)
        if outcome is not models.Outcome.CANCELLED or outlier_failure:
            failed = outcome is models.Outcome.FAILED or outlier_failure
            self._record_outcome(name, failed, answered)
        left = self._in_flight.get(name, 1) - 1
        if left > 0:
            self._in_flight[name] = left
        else:
            self._in_flight.pop(name, None)
        self._router.request_finished(attempt, outcome, tokens)

    def _record_outcome(
        self, runner: str, failed: bool, answered: bool
    ) -> None:
        """Record how a call ended for outlier detection, here and at peers."""
        was_fragile = self._fragile.was_fragile(runner)
        if was_fragile and failed and not answered:
            return
        self._outliers.call_ended(runner, failed)
        if answered:
            self._vouched.call_answered(runner, failed)
        else:
            self._vouched.call_unanswered(runner)

    def _token_s(self, service: str) -> float:
        """Seconds of the prefill of a token; 0 while unknown."""
        learned_s = self._performance.token_s(service)
        return learned_s or self._prompts.token_s(service)
