"""Measures how fast runners answer this VM's calls."""

import typing

from .. import clock as clocks
from .. import logs
from ..runners import latency_sums
from ..runners import past_fragility
from ..runners import performance as performances
from ..runners import performance_samples
from ..runners import slowness_changes
from ..vms import shared_samples

from . import modes
from . import runners

#: Time between two searches for changed slownesses to be logged, in seconds.
CHANGES_INTERVAL_S = 1.0


class Backlog(typing.NamedTuple):
    """What a call finds at its runner, as far as this VM knows.

    :param tokens: uncached prompt tokens of the calls that await an answer.
    :param fill: calls at the runner with this one, as a share of its slots.
    """

    tokens: int
    fill: float


class _Call:
    """A call in flight, from whose times the speed of its runner is learned.

    The field ``first_at`` is the time of the first event, None before it.

    :param route: the route's name.
    :param tokens: uncached tokens of its prompt.
    :param has_prompt: whether it has a prompt; the tokens may all be cached.
    :param backlog: what the call found at its runner.
    :param sent_at: when it was sent, on the monotonic clock.
    :param was_fragile: whether its runner was known as fragile then, so that
        its times count only if it is answered.
    """

    __slots__ = (
        "runner",
        "route",
        "tokens",
        "has_prompt",
        "backlog",
        "sent_at",
        "was_fragile",
        "first_at",
    )

    def __init__(
        self,
        runner: runners.Runner,
        route: str,
        tokens: int,
        has_prompt: bool,
        backlog: Backlog,
        sent_at: float,
        was_fragile: bool,
    ) -> None:
        self.runner = runner
        self.route = route
        self.tokens = tokens
        self.has_prompt = has_prompt
        self.backlog = backlog
        self.sent_at = sent_at
        self.was_fragile = was_fragile
        self.first_at: float | None = None


class PerformanceMeters:
    """Records the times of this VM's calls in the performance of runners.

    :param mode: with ``off`` nothing is recorded.
    :param is_fragile: tells whether a runner is or was fragile.
    """

    __slots__ = (
        "_calls",
        "_changes",
        "_checked_at",
        "_clock",
        "_is_fragile",
        "_mode",
        "_performance",
    )

    def __init__(
        self,
        clock: clocks.Clock,
        mode: modes.Mode,
        is_fragile: past_fragility.IsFragile = past_fragility.never_fragile,
    ) -> None:
        self._clock = clock
        self._is_fragile = is_fragile
        self._mode = mode
        self._performance = performances.RunnerPerformance(clock)
        self._changes = slowness_changes.SlownessChanges(self._performance)
        self._calls: dict[str, _Call] = {}
        self._checked_at = clock.now()

    @property
    def performance(self) -> performances.RunnerPerformance:
        """What is known of the runners' speed; only defaults if off."""
        return self._performance

    @property
    def for_routing(self) -> performances.RunnerPerformance | None:
        """What the router is to use; None unless the mode is ``on``."""
        return self._performance if self._mode is modes.Mode.ON else None

    def plain_slowness(self, runner: str) -> float:
        """How slow a runner is at calls without a prompt; 1.0 if not on."""
        if self._mode is not modes.Mode.ON:
            return 1.0
        phase = performance_samples.Phase.PLAIN
        return self._performance.slowness(runner, phase)

    def prefill_speed(self, runner: str) -> float:
        """A runner's relative speed at prompts; 1.0 if not on."""
        if self._mode is not modes.Mode.ON:
            return 1.0
        return self._performance.speed(runner)

    def token_s(self, service: str) -> float:
        """Seconds of the prefill of a token; 0 if unknown or not on."""
        if self._mode is not modes.Mode.ON:
            return 0.0
        latency = self._performance.latency(service)
        # The samples of a line that is kept may be few after a long overload,
        # in which hardly any call finds an idle runner.
        if latency[:2] == latency_sums.DEFAULT_LATENCY[:2]:
            return 0.0
        return latency.token_s

    @property
    def learned(self) -> performances.RunnerPerformance | None:
        """What has been learned of the runners' speed; None if off."""
        return None if self._mode is modes.Mode.OFF else self._performance

    @property
    def labelled_metrics(
        self,
    ) -> dict[tuple[str, str], dict[str, float]]:
        """The metrics by name and label, and value of the label.

        Runners without samples are left out: the fleet may have thousands.
        """
        if self._mode is modes.Mode.OFF:
            return {}
        known = self._performance
        found: dict[tuple[str, str], dict[str, float]] = {}
        for phase in performance_samples.PHASES:
            label = f'phase="{phase.value}",runner'
            samples = {
                runner: confidence
                for runner in known.runners
                if (confidence := known.confidence(runner, phase))
            }
            found["runner_slowness", label] = {
                runner: known.slowness(runner, phase) for runner in samples
            }
            found["runner_slowness_samples", label] = samples
        latencies = {name: known.latency(name) for name in known.services}
        found["service_base_s", "service"] = {
            name: latency.base_s for name, latency in latencies.items()
        }
        found["service_token_s", "service"] = {
            name: latency.token_s for name, latency in latencies.items()
        }
        return found

    def keep_only(self, listed: typing.Iterable[runners.Runner]) -> None:
        """Set the known runners."""
        if self._mode is not modes.Mode.OFF:
            self._performance.keep_only(
                {runner.runner_id: runner.service for runner in listed}
            )

    def record_sent(
        self,
        attempt: str,
        runner: runners.Runner,
        route: str,
        tokens: int,
        has_prompt: bool,
        backlog: Backlog,
    ) -> None:
        """Record that a call is sent.

        A call to a full runner says nothing of the runner's speed: it waits
        for a slot, for a time that is not known.

        :param attempt: name of the attempt.
        :param tokens: uncached tokens of its prompt.
        :param has_prompt: whether it has one; the tokens may all be cached.
        """
        if self._mode is not modes.Mode.OFF and backlog.fill <= 1.0:
            self._calls[attempt] = _Call(
                runner,
                route,
                tokens,
                has_prompt,
                backlog,
                self._clock.now(),
                self._is_fragile(runner.runner_id),
            )

    def record_first_event(self, attempt: str) -> None:
        """Record the first event of a stream."""
        call = self._calls.get(attempt)
        if call is None or call.first_at is not None:
            return
        call.first_at = self._clock.now()
        call.was_fragile |= self._is_fragile(call.runner.runner_id)
        if not call.was_fragile:
            self._record_prefill(call, call.first_at)

    def record_end(self, attempt: str, answered: bool, events: int) -> None:
        """Record the end of a call.

        :param answered: whether the runner answered it completely and with
            success.
        :param events: number of events after the first, 0 if the caller could
            not take them as fast as they came.
        """
        call = self._calls.pop(attempt, None)
        if call is None or not answered:
            return
        now = self._clock.now()
        service, runner = call.runner.service, call.runner.runner_id
        if call.first_at is not None:
            if call.was_fragile:
                self._record_prefill(call, call.first_at)
            self._performance.record_pace(
                service, call.route, runner, now - call.first_at, events
            )
        elif not call.has_prompt:
            self._performance.record_plain(
                service, call.route, runner, now - call.sent_at
            )

    def merge(self, samples: shared_samples.Samples) -> None:
        """Add what other VMs have recorded."""
        if self._mode is not modes.Mode.OFF:
            self._performance.merge(samples)

    def log_changes(self) -> None:
        """Log the slownesses that have changed by a quarter."""
        now = self._clock.now()
        if (
            self._mode is modes.Mode.OFF
            or now - self._checked_at < CHANGES_INTERVAL_S
        ):
            return
        self._checked_at = now
        for change in self._changes.take():
            logs.event(
                "runner_slowness",
                service=self._performance.service_of(change.runner),
                **change._asdict(),
            )

    def _record_prefill(self, call: _Call, first_at: float) -> None:
        if not call.has_prompt:
            return
        service = call.runner.service
        waiting = call.backlog.tokens
        self._performance.record_first_event(
            service,
            call.runner.runner_id,
            call.tokens,
            first_at - call.sent_at,
            waiting * self._performance.latency(service).token_s,
            not waiting,
        )
