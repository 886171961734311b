"""Learns how fast runners are, from the calls of all VMs.

A service's latency is a line: the seconds to the first event of a prompt that
found its runner idle, by the prompt tokens that the runner had to prefill. A
runner's slowness is the ratio of its seconds to those of its service, 1.0 for
the median runner. All sums are decayed, and VMs exchange what they add to them
as :mod:`..vms.shared_samples`: a VM alone calls a given runner too rarely.
"""

import math
import statistics
import typing

from .. import clock as clocks
from ..vms import shared_samples

from . import latency_model
from . import latency_sums
from . import performance_samples

#: Weight of the prior, a slowness of 1.0, in samples. A sample's logarithm has
#: a standard deviation of up to 0.4 if a runner is at times 2.5 times slower,
#: so with fewer samples the mean may be off by more than a sixth.
PRIOR_SAMPLES = 6.0
#: From this weight on, samples are limited to :data:`NEAR_LOG_RATIO` around
#: the runner's mean, so that moments of slowness don't move it at random.
#: Before, the mean itself is too uncertain.
NEAR_FROM_SAMPLES = 12.0
NEAR_LOG_RATIO = math.log(1.5)
#: The same above the mean. It is smaller because calls of other VMs that are
#: not known here yet only lengthen a wait.
NEAR_LOG_EXCESS = math.log(1.22)
#: Longest estimated wait of a sample as a share of its seconds at an idle
#: runner. A longer one says more of the queue than of the runner's speed.
MAX_WAIT_SHARE = 0.5
#: Weight from which a runner's mean counts in the median of its service.
MEDIAN_SAMPLES = 3.0
#: Samples of a route after which its mean is known well enough to compare
#: runners with.
MIN_ROUTE_SAMPLES = 5.0
#: Lower limit of expected seconds, as a ratio to nothing means nothing.
MIN_EXPECTED_S = 1e-4
#: How long the slownesses of a service are reused, in seconds, and the same
#: for each of its runners, so that 10,000 runners cost under 2% of a core. The
#: sums change little in a twentieth of their half-life.
REFRESH_S = 1.0
REFRESH_S_PER_RUNNER = 5e-4


class Estimate(typing.NamedTuple):
    """What is expected of calls at one runner.

    :param base_s: seconds to the first event of a fully cached prompt at the
        median runner, or to the answer of a call without a prompt.
    :param token_s: seconds for an uncached prompt token there.
    :param slowness: the runner's seconds relative to these.
    """

    base_s: float
    token_s: float
    slowness: float


class _Service:
    """What is known of one service, apart from its runners' sums.

    ``slowness`` is by runner and phase. ``routes`` are the means of this VM's
    calls by route and phase, and ``plain`` that of all calls without a prompt.
    """

    __slots__ = (
        "line",
        "plain",
        "routes",
        "runners",
        "slowness",
        "fresh_until",
    )

    def __init__(self) -> None:
        self.line = latency_sums.LatencyLine()
        self.plain = latency_sums.DecayedMean()
        self.routes: dict[
            tuple[str, performance_samples.Phase], latency_sums.DecayedMean
        ] = {}
        self.runners: set[str] = set()
        self.slowness: dict[tuple[str, performance_samples.Phase], float] = {}
        self.fresh_until = float("-inf")


class RunnerPerformance:
    """The latency of each service and the slowness of each runner.

    :param clock: the source of time.
    """

    __slots__ = (
        "_buffer",
        "_clock",
        "_ignored",
        "_runners",
        "_service_of",
        "_services",
    )

    def __init__(self, clock: clocks.Clock) -> None:
        self._clock = clock
        self._buffer = shared_samples.SampleBuffer()
        self._ignored = 0
        self._runners: dict[
            tuple[str, performance_samples.Phase], latency_sums.DecayedMean
        ] = {}
        self._service_of: dict[str, str] = {}
        self._services: dict[str, _Service] = {}

    @property
    def ignored(self) -> int:
        """The number of keys of other VMs' samples with invalid values."""
        return self._ignored

    @property
    def services(self) -> tuple[str, ...]:
        """The services with known runners."""
        return tuple(self._services)

    @property
    def runners(self) -> tuple[str, ...]:
        """The IDs of the known runners."""
        return tuple(self._service_of)

    def keep_only(self, runners: typing.Mapping[str, str]) -> None:
        """Set the known runners, and forget the others.

        :param runners: the service of each runner, by the runner's ID.
        """
        self._service_of = dict(runners)
        services = frozenset(runners.values())
        for service in [s for s in self._services if s not in services]:
            del self._services[service]
        for known in self._services.values():
            known.runners.clear()
            known.fresh_until = float("-inf")
        for runner, service in runners.items():
            self._services.setdefault(service, _Service()).runners.add(runner)
        for gone in [k for k in self._runners if k[0] not in runners]:
            del self._runners[gone]

    def record_first_event(
        self,
        service: str,
        runner: str,
        tokens: int,
        seconds: float,
        wait_s: float,
        found_idle: bool,
    ) -> None:
        """Learn from the first event of a prompt's answer.

        :param tokens: uncached prompt tokens.
        :param seconds: time from sending to the first event.
        :param wait_s: wait for other prompts' prefill that was estimated at
            sending, at the speed of the median runner.
        :param found_idle: whether nothing was estimated to wait there.
        """
        known = self._services.get(service)
        if known is None or runner not in known.runners or seconds <= 0:
            return
        now = self._clock.now()
        expected_s = known.line.expected_s(now, tokens)
        if expected_s is not None and wait_s <= MAX_WAIT_SHARE * expected_s:
            self._add(
                runner,
                performance_samples.Phase.PREFILL,
                seconds,
                expected_s + wait_s,
            )
        if found_idle:
            alike_s = seconds / self.slowness(
                runner, performance_samples.Phase.PREFILL
            )
            counts = known.line.counts(now, tokens, alike_s)
            known.line.add(now, counts)
            self._buffer.add(
                performance_samples.SERVICE_TOPIC, service, counts
            )

    def record_pace(
        self,
        service: str,
        route: str,
        runner: str,
        seconds: float,
        events: int,
    ) -> None:
        """Learn from a stream that has ended.

        :param seconds: time from its first event to the last one.
        :param events: number of events after the first one.
        """
        if events > 0:
            each_s = seconds / events
            self._record_of_route(
                service,
                route,
                runner,
                performance_samples.Phase.DECODE,
                each_s,
            )

    def record_plain(
        self, service: str, route: str, runner: str, seconds: float
    ) -> None:
        """Learn from the answer to a call without a prompt.

        :param seconds: time from sending to the end of the answer.
        """
        self._record_of_route(
            service, route, runner, performance_samples.Phase.PLAIN, seconds
        )

    def merge(self, samples: shared_samples.Samples) -> None:
        """Add the samples that other VMs have sent.

        Unknown runners and services are ignored, since VMs learn of them at
        different times; invalid values are ignored and counted.
        """
        now = self._clock.now()
        for runner, counts in samples.get(
            performance_samples.RUNNER_TOPIC, {}
        ).items():
            if runner not in self._service_of:
                continue
            sums = performance_samples.sums_by_phase(counts)
            if sums is None:
                self._ignored += 1
                continue
            for phase, number, log_sum in sums:
                self._sums(runner, phase).add(now, number, log_sum)
        for service, counts in samples.get(
            performance_samples.SERVICE_TOPIC, {}
        ).items():
            known = self._services.get(service)
            if known is None:
                continue
            if not latency_sums.are_line_counts(counts):
                self._ignored += 1
                continue
            known.line.add(now, counts)

    def take_samples(self) -> shared_samples.Samples:
        """Remove and return what was recorded since the last time."""
        taken, self._buffer = self._buffer, shared_samples.SampleBuffer()
        return taken.take(len(self._service_of) + len(self._services))

    def slowness(self, runner: str, phase: performance_samples.Phase) -> float:
        """A runner's seconds relative to those of its service's median runner.

        :returns: 1.0 for an unknown runner.
        """
        known = self._services.get(self._service_of.get(runner, ""))
        if known is None:
            return 1.0
        now = self._clock.now()
        if now >= known.fresh_until:
            self._refresh(known, now)
        return known.slowness.get((runner, phase), 1.0)

    def confidence(
        self, runner: str, phase: performance_samples.Phase
    ) -> float:
        """The decayed number of samples behind a slowness."""
        sums = self._runners.get((runner, phase))
        return sums.weight(self._clock.now()) if sums else 0.0

    def speed(self, runner: str) -> float:
        """The prefill speed of a runner; 1.0 for the median one."""
        return 1.0 / self.slowness(runner, performance_samples.Phase.PREFILL)

    def latency(self, service: str) -> latency_sums.ServiceLatency:
        """The latency of a service's median runner."""
        known = self._services.get(service)
        if known is None:
            return latency_sums.DEFAULT_LATENCY
        return known.line.latency(self._clock.now())

    def service_of(self, runner: str) -> str:
        """The service of a runner; "" for an unknown runner."""
        return self._service_of.get(runner, "")

    def estimate(self, runner: str) -> Estimate:
        """What is expected of calls at a runner.

        A service that has answered calls without prompts only is a plain one.
        """
        known = self._services.get(self._service_of.get(runner, ""))
        if known is None:
            return Estimate(*latency_sums.DEFAULT_LATENCY[:2], 1.0)
        now = self._clock.now()
        if known.plain.weight(now) and not known.line.has_samples:
            slowness = self.slowness(runner, performance_samples.Phase.PLAIN)
            return Estimate(known.plain.mean, 0.0, slowness)
        slowness = self.slowness(runner, performance_samples.Phase.PREFILL)
        return Estimate(*known.line.coefficients(now), slowness)

    def _record_of_route(
        self,
        service: str,
        route: str,
        runner: str,
        phase: performance_samples.Phase,
        seconds: float,
    ) -> None:
        """Compare seconds with the mean of this VM's calls of a route."""
        known = self._services.get(service)
        if known is None or runner not in known.runners or seconds <= 0:
            return
        now = self._clock.now()
        mean = known.routes.setdefault(
            (route, phase), latency_sums.DecayedMean()
        )
        alike_s = seconds / self.slowness(runner, phase)
        if mean.weight(now) >= MIN_ROUTE_SAMPLES:
            self._add(runner, phase, seconds, mean.mean)
            alike_s = min(alike_s, latency_model.MAX_SAMPLE_RATIO * mean.mean)
        mean.add(now, 1, alike_s)
        if phase is performance_samples.Phase.PLAIN:
            known.plain.add(now, 1, alike_s)

    def _add(
        self,
        runner: str,
        phase: performance_samples.Phase,
        seconds: float,
        expected_s: float,
    ) -> None:
        """Add one sample to a runner's sums and to those to be sent."""
        now = self._clock.now()
        sums = self._sums(runner, phase)
        log_ratio = math.log(seconds / max(MIN_EXPECTED_S, expected_s))
        if sums.weight(now) >= NEAR_FROM_SAMPLES:
            low, high = sums.mean - NEAR_LOG_RATIO, sums.mean + NEAR_LOG_EXCESS
            log_ratio = min(high, max(low, log_ratio))
        limit = performance_samples.MAX_LOG_RATIO
        log_ratio = min(limit, max(-limit, log_ratio))
        sums.add(now, 1, log_ratio)
        self._buffer.add(
            performance_samples.RUNNER_TOPIC,
            runner,
            performance_samples.runner_counts(phase, log_ratio),
        )

    def _sums(
        self, runner: str, phase: performance_samples.Phase
    ) -> latency_sums.DecayedMean:
        return self._runners.setdefault(
            (runner, phase), latency_sums.DecayedMean()
        )

    def _refresh(self, known: _Service, now: float) -> None:
        """Compute the slownesses of a service's runners again.

        The means are compared with their median first and are then moved
        towards the prior, so that a runner with few samples is taken for a
        median one whatever the service's line is off by. The prior loses
        weight as samples arrive: at 50 samples it would otherwise still hide
        a tenth of the difference.
        """
        known.fresh_until = (
            now + REFRESH_S + REFRESH_S_PER_RUNNER * len(known.runners)
        )
        known.slowness = {}
        for phase in performance_samples.PHASES:
            found = [
                (runner, sums.weight(now), sums.mean)
                for runner in known.runners
                if (sums := self._runners.get((runner, phase)))
            ]
            means = [mean for _, n, mean in found if n >= MEDIAN_SAMPLES]
            if not means:
                continue
            median = statistics.median(means)
            for runner, weight, mean in found:
                prior = PRIOR_SAMPLES**2 / (PRIOR_SAMPLES + weight)
                share = weight / (weight + prior)
                known.slowness[runner, phase] = math.exp(
                    share * (mean - median)
                )
