"""Estimates how many runners the prompts of a service keep busy.

Prefill, the computation over the prompt, slows down all calls on a runner and
depends on the contents of its cache. The load is therefore measured in
uncached prompt tokens per second, relative to the prefill speed observed for
single long prompts.

Each VM measures the prompts that it sends (:class:`PrefillMeter`) and reports
its figures; :class:`PrefillLoad` combines the reports of all VMs. The latency
ratio of a call is its time to the first answer divided by the objective for
that time.
"""

import collections
import math
import typing

from .. import clock as clocks

#: Window over which the token rate is computed, in seconds. A shorter one
#: orders runners for a burst of a second, which ends before they are ready;
#: a longer one reacts late to a rising load.
RATE_WINDOW_S = 4.0
#: Fraction of a runner's prefill speed that the load should use. Calls arrive
#: in bursts, so busier runners answer late although they are idle at times.
TARGET_PREFILL_UTILIZATION = 1.0
#: Prompts with fewer uncached tokens measure the network latency rather than
#: the prefill speed.
MIN_SAMPLE_TOKENS = 800
#: The number of latest prefill speeds that a VM keeps for a service.
SPEED_SAMPLES = 64
#: The number of latest latency ratios that a VM keeps for a service: about two
#: seconds of one VM's calls on a busy day.
LATENCY_SAMPLES = 24
#: Factor by which the retained peak speed falls with each prompt that shows a
#: lower one. It halves after 700 prompts, some minutes of one VM's calls.
PEAK_SPEED_DECAY = 0.999
#: Quantile of the observed speeds that is taken as the prefill speed. It is
#: high because waiting can only lower an observed speed.
SPEED_QUANTILE = 0.9
#: Fraction of a runner's slots, the calls that it processes at the same time,
#: that the load should use on average.
TARGET_SLOT_UTILIZATION = 0.2
#: A VM without a report for this time, in seconds, does not count. Until then
#: its last report counts, since a late report does not mean that the load has
#: ended.
REPORT_TIMEOUT_S = 5.0
#: Mean latency ratio of runners at their target utilization. A higher ratio
#: means that more runners are needed than the token rate indicates, because
#: caches were lost or a runner is slower than the others.
TARGET_LATENCY_RATIO = 0.6
#: Upper limit of the factor by which the latency ratio raises the number of
#: runners.
MAX_LATENCY_FACTOR = 2.5
#: Upper limit of the latency ratio of a single call.
MAX_LATENCY_RATIO = 3.0
#: Minimum time over which the token rate is computed, in seconds.
MIN_RATE_WINDOW_S = 1.0


class PrefillMeter:
    """Measures the prefill load that one VM sends to a service's runners."""

    __slots__ = (
        "_peak_speed",
        "_latency_ratios",
        "_prompts",
        "_speeds",
        "_total",
    )

    def __init__(self) -> None:
        self._total = 0
        self._prompts = 0
        #: Highest speed observed, reduced slightly by each later prompt.
        self._peak_speed = 0.0
        self._latency_ratios: collections.deque[float] = collections.deque(
            maxlen=LATENCY_SAMPLES
        )
        self._speeds: collections.deque[float] = collections.deque(
            maxlen=SPEED_SAMPLES
        )

    @property
    def total_tokens(self) -> int:
        """Uncached prompt tokens sent since the start."""
        return self._total

    @property
    def prefill_speed(self) -> float:
        """Prefill speed of a runner in tokens per second; 0 while unknown.

        Prompts that waited show a lower speed. The retained peak prevents
        waiting on full runners from looking like slow prefill, which would
        cause the order of more runners than needed, all of them paid.
        """
        if not self._speeds:
            return 0.0
        ranked = sorted(self._speeds)
        observed = ranked[int(SPEED_QUANTILE * (len(ranked) - 1))]
        return max(observed, self._peak_speed)

    @property
    def latency_ratio(self) -> float:
        """Mean latency ratio of this VM's latest calls; 0 while unknown.

        The ratio is the time to the first answer divided by its objective.
        """
        if not self._latency_ratios:
            return 0.0
        return sum(self._latency_ratios) / len(self._latency_ratios)

    def record_sent(self, tokens: int) -> None:
        """Record a prompt that was sent.

        :param tokens: its uncached tokens.
        """
        self._total += tokens
        self._prompts += 1

    def runner_share(self, calls_per_s: float) -> float:
        """The share of a runner that a rate of calls keeps busy, at most 1.

        It is 1 while the prefill speed is unknown.
        """
        speed = self.prefill_speed
        if not speed or not self._prompts:
            return 1.0
        return min(1.0, calls_per_s * self._total / self._prompts / speed)

    def record_first_answer(
        self, tokens: int, took_s: float, objective_s: float = 0.0
    ) -> None:
        """Record the first answer to a prompt.

        :param tokens: the uncached tokens of the prompt.
        :param took_s: time since it was sent in seconds, including any wait.
        :param objective_s: time objective in seconds; 0 for none.
        """
        if objective_s > 0.0:
            self._latency_ratios.append(
                min(MAX_LATENCY_RATIO, took_s / objective_s)
            )
        if tokens >= MIN_SAMPLE_TOKENS and took_s > 0.0:
            self._speeds.append(tokens / took_s)
            if len(self._speeds) == SPEED_SAMPLES:
                # With fewer samples, a few prompts that were cached
                # unexpectedly would determine the peak.
                self._peak_speed = PEAK_SPEED_DECAY * self.prefill_speed


class _ProcessReports:
    """The reports of one VM's process.

    ``totals`` holds pairs of a time in seconds and a token total.
    """

    __slots__ = ("totals", "prefill_speed", "latency_ratio")

    def __init__(self) -> None:
        self.latency_ratio = 0.0
        self.totals: collections.deque[tuple[float, int]] = collections.deque()
        self.prefill_speed = 0.0


class PrefillLoad:
    """The prefill load of the whole fleet at the runners of one service."""

    __slots__ = ("_clock", "_processes", "_since")

    def __init__(self, clock: clocks.Clock) -> None:
        self._clock = clock
        self._processes: dict[str, _ProcessReports] = {}
        self._since: float | None = None

    @property
    def observed_for_s(self) -> float:
        """Time since the first reported load, in seconds; 0 before it."""
        if self._since is None:
            return 0.0
        return self._clock.now() - self._since

    @property
    def tokens_per_s(self) -> float:
        """Uncached prompt tokens per second that all VMs send together."""
        now = self._clock.now()
        return sum(
            _token_rate(process.totals)
            for process in self._processes.values()
            if now - process.totals[-1][0] < REPORT_TIMEOUT_S
        )

    @property
    def prefill_speed(self) -> float:
        """Prefill speed of a runner in tokens per second; 0 while unknown.

        It is the median of the speeds that the VMs report.
        """
        speeds = sorted(
            process.prefill_speed
            for process in self._processes.values()
            if process.prefill_speed
        )
        return speeds[len(speeds) // 2] if speeds else 0.0

    @property
    def latency_ratio(self) -> float:
        """Mean of the latency ratios that the VMs report; 0 while unknown.

        The ratio is the time to the first answer divided by its objective.
        """
        now = self._clock.now()
        reported = [
            process.latency_ratio
            for process in self._processes.values()
            if process.latency_ratio
            and now - process.totals[-1][0] < REPORT_TIMEOUT_S
        ]
        return sum(reported) / len(reported) if reported else 0.0

    @property
    def latency_factor(self) -> float:
        """Factor by which late first answers raise the prefill's need."""
        factor = self.latency_ratio / TARGET_LATENCY_RATIO
        return min(MAX_LATENCY_FACTOR, max(1.0, factor))

    def receive_report(
        self,
        process: str,
        total: int,
        speed: float,
        latency_ratio: float = 0.0,
    ) -> None:
        """Merge the report of a VM, including this one.

        :param process: identifies the process of the VM.
        :param total: uncached prompt tokens since its start.
        :param speed: prefill speed in tokens per second; 0 if unknown.
        :param latency_ratio: mean latency ratio; 0 if unknown.
        """
        now = self._clock.now()
        known = self._processes.setdefault(process, _ProcessReports())
        known.totals.append((now, total))
        known.prefill_speed = speed
        known.latency_ratio = latency_ratio
        if total and self._since is None:
            self._since = now

    def retain_processes(self, processes: typing.Container[str]) -> None:
        """Remove the reports of all other processes, which have ended."""
        for process in [p for p in self._processes if p not in processes]:
            del self._processes[process]

    def required_runners(self, in_flight: int, slots: int) -> float:
        """The number of runners that the load requires.

        It is the greater one of what the slots and what the prefill of the
        prompts require, but at least 1.

        :param in_flight: calls at all runners together.
        :param slots: calls that one runner processes at the same time.
        """
        by_slots = in_flight / max(1.0, TARGET_SLOT_UTILIZATION * slots)
        speed = self.prefill_speed
        by_prefill = (
            self.tokens_per_s / (TARGET_PREFILL_UTILIZATION * speed)
            if speed
            else 0.0
        )
        by_prefill *= self.latency_factor
        return math.ceil(max(1.0, by_slots, by_prefill) - 1e-9)


def _token_rate(totals: collections.deque[tuple[float, int]]) -> float:
    """Tokens per second up to the last report.

    :param totals: pairs of a time in seconds and a token total. Pairs older
        than the window are removed.
    """
    until, total = totals[-1]
    while len(totals) > 2 and totals[1][0] <= until - RATE_WINDOW_S:
        totals.popleft()
    since, before = totals[0]
    return (total - before) / max(MIN_RATE_WINDOW_S, until - since)
