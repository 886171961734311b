"""Simulates a day of one service: prompts, runners and waves of reclaims.

The simulation advances a manual clock in steps of a tenth of a second. A
runner prefills prompts one after the other. Decoding and caches are not
simulated, so the results compare rules with each other and do not predict
the performance of a deployment.
"""

import collections
import random
import typing

from apricotlever import clock as clocks
from apricotlever.data_centres import fleet_mix_planner
from apricotlever.data_centres import prefill_load

STEP_S = 0.1
#: Interval between two plans, in seconds.
PLAN_INTERVAL_S = 0.5
#: Prefill speed of a runner: mean of the users' larger engine.
PREFILL_TOKENS_PER_S = 25_000.0
#: The three kinds of prompts of the users' larger engine: prompts a second,
#: mean number of uncached tokens, latency objective in seconds, and worth of
#: an answer.
PROMPT_KINDS = (
    (18.5, 2890.0, 0.8, 3.4),
    (13.2, 1800.0, 0.6, 1.9),
    (20.5, 543.0, 0.4, 0.43),
)
#: Standard deviation of the logarithm of the number of uncached tokens.
PROMPT_TOKENS_SIGMA = 0.8
#: Share of its worth that an answer after its objective earns.
LATE_WORTH_SHARE = 0.1
#: Time after which a caller gives up waiting for the first token, in seconds.
MAX_WAIT_S = 2.0
#: Price of a second of an on-demand runner as a share of a day's worth,
#: multiplied by the duration of the day in seconds. On the users' platform
#: 311.7 such seconds cost 0.205 on a day of 54 s.
RUNNER_SECOND_PRICE = 0.0356
#: Weights by which the users rate a day: the whole day, its two worst windows
#: of two seconds, and the kind of prompt that is served worst.
DAY_WEIGHT = 0.5
WORST_WINDOWS_WEIGHT = 0.35
WORST_KIND_WEIGHT = 0.15
WORST_WINDOW_COUNT = 2
WINDOW_S = 2.0
#: Time between the notice of a reclaim and the end of the runner, in seconds.
RECLAIM_NOTICE_S = 2.4
#: Mean number of prompts that arrive together, as on the users' platform.
MEAN_CLUSTER_SIZE = 3.0
#: Time after a reclaim in which no reclaimable runner can be ordered, in
#: seconds.
UNAVAILABLE_S = 4.5
#: Price of an on-demand runner, by data centre.
ON_DEMAND_PRICES = {"dc-a": 0.85, "dc-b": 1.2, "dc-c": 1.0}


class Runner:
    """A simulated runner.

    :param ready_at: time at which the runner has booted.
    """

    __slots__ = (
        "data_centre",
        "reclaimable",
        "ready_at",
        "ends_at",
        "backlog",
    )

    def __init__(
        self, data_centre: str, reclaimable: bool, ready_at: float
    ) -> None:
        self.data_centre = data_centre
        self.reclaimable = reclaimable
        self.ready_at = ready_at
        self.ends_at = float("inf")
        #: Prompt tokens that wait for prefill.
        self.backlog = 0.0


class Sample:
    """Runners held and needed at one time, for a plot.

    :param needed: number of runners that the measured load requires.
    :param late: late and lost prompts since the start of the day.
    """

    __slots__ = ("at_s", "on_demand", "reclaimable", "needed", "late")

    def __init__(
        self,
        at_s: float,
        on_demand: int,
        reclaimable: int,
        needed: float,
        late: int,
    ) -> None:
        self.at_s = at_s
        self.on_demand = on_demand
        self.reclaimable = reclaimable
        self.needed = needed
        self.late = late


class ScalingRule(typing.Protocol):
    """Decides how many runners to hold."""

    def plan(
        self,
        terms: fleet_mix_planner.ScalingTerms,
        held: typing.Mapping[str, fleet_mix_planner.RunnerCounts],
        needed: float,
    ) -> dict[str, fleet_mix_planner.RunnerCounts]:
        """Compute the runners to hold, by data centre."""

    def record_refusal(self, data_centre: str) -> None:
        """Record that reclaimable runners are unavailable."""

    def record_accepted_order(
        self, data_centre: str, reclaimable: bool, count: int, boot_s: float
    ) -> None:
        """Record an accepted order."""


class DaySimulation:
    """Simulates one day under one rule.

    :param seed: seed of prompts, bursts and reclaims; the same for all rules.
    :param load: traffic relative to the usual traffic.
    """

    def __init__(
        self,
        seed: int,
        seconds: float,
        load: float,
        make_rule: typing.Callable[[clocks.Clock], ScalingRule],
        initial_runners_per_data_centre: int = 3,
        boot_s: float = 4.0,
    ) -> None:
        self.clock = clocks.ManualClock(0.0)
        self._rng = random.Random(seed)
        self._duration_s = seconds
        self._traffic_factor = load
        self._rule = make_rule(self.clock)
        self._terms = fleet_mix_planner.ScalingTerms(
            1, 40, boot_s, 0.22, ON_DEMAND_PRICES
        )
        self._prefill_meter = prefill_load.PrefillMeter()
        self._prefill_load = prefill_load.PrefillLoad(self.clock)
        self._unavailable_until = dict.fromkeys(
            ON_DEMAND_PRICES, float("-inf")
        )
        self._reclaims = _generate_reclaims(self._rng, seconds)
        self._bursts = _generate_bursts(self._rng, seconds)
        self._initial_runners = initial_runners_per_data_centre * len(
            ON_DEMAND_PRICES
        )
        self.runners = [
            Runner(data_centre, False, 0.0)
            for data_centre in ON_DEMAND_PRICES
            for _ in range(initial_runners_per_data_centre)
        ]
        self.samples: list[Sample] = []
        # Possible and earned worth.
        self._worth_by_window: dict[int, list[float]] = {}
        self._worth_by_kind: dict[float, list[float]] = {}
        #: Runner-seconds, weighted by their price relative to an on-demand
        #: runner of price 1.
        self.cost_runner_s = 0.0
        self.counts: collections.Counter[str] = collections.Counter()

    @property
    def worth(self) -> float:
        """Earned share of the possible worth, less the price of the runners.

        The share is rated as the users do: the whole day, its worst windows
        and the kind of prompt that is served worst. If only the whole day
        counted, spare runners would never pay off.
        """
        price = RUNNER_SECOND_PRICE / self._duration_s * self.cost_runner_s
        windows = sorted(map(_earned_share, self._worth_by_window.values()))
        worst = windows[:WORST_WINDOW_COUNT]
        whole = [sum(pair) for pair in zip(*self._worth_by_kind.values())]
        return (
            DAY_WEIGHT * _earned_share(whole)
            + WORST_WINDOWS_WEIGHT * sum(worst) / len(worst)
            + WORST_KIND_WEIGHT
            * min(map(_earned_share, self._worth_by_kind.values()))
            - price
        )

    def run(self) -> None:
        """Run the simulation."""
        next_plan = 0.0
        while self.clock.now() < self._duration_s:
            self._apply_reclaims()
            if self.clock.now() >= next_plan:
                next_plan += PLAN_INTERVAL_S
                self._plan()
            self._send_prompts()
            self._advance_runners()
            self.clock.advance(STEP_S)

    def _serving(self) -> list[Runner]:
        now = self.clock.now()
        return [r for r in self.runners if r.ready_at <= now < r.ends_at]

    def _send_prompts(self) -> None:
        now = self.clock.now()
        burst_factor = next(
            (
                factor
                for start, end, factor in self._bursts
                if start <= now < end
            ),
            1.0,
        )
        for per_s, tokens, objective_s, worth in PROMPT_KINDS:
            mean_clusters = (
                per_s
                * self._traffic_factor
                * burst_factor
                * STEP_S
                / MEAN_CLUSTER_SIZE
            )
            for _ in range(_clustered_arrivals(self._rng, mean_clusters)):
                size = self._rng.lognormvariate(0.0, PROMPT_TOKENS_SIGMA)
                # 1.377 is the mean of the distribution of sizes.
                self._send_prompt(tokens * size / 1.377, objective_s, worth)

    def _send_prompt(
        self, tokens: float, objective_s: float, worth: float
    ) -> None:
        """Send a prompt to the one of two runners with less backlog."""
        self._record_worth(objective_s, worth, 0.0)
        candidates = [r for r in self._serving() if r.ends_at == float("inf")]
        candidates = candidates or self._serving()
        self._prefill_meter.record_sent(int(tokens))
        if not candidates:
            self.counts["no_runner"] += 1
            return
        sampled = self._rng.sample(candidates, min(2, len(candidates)))
        runner = min(sampled, key=lambda r: r.backlog)
        runner.backlog += tokens
        took_s = runner.backlog / PREFILL_TOKENS_PER_S
        lost = self.clock.now() + took_s > runner.ends_at
        if lost or took_s > MAX_WAIT_S:
            self.counts["lost"] += 1
            return
        self._prefill_meter.record_first_answer(
            int(tokens), took_s, objective_s
        )
        on_time = took_s <= objective_s
        self.counts["on_time" if on_time else "late"] += 1
        earned = worth if on_time else worth * LATE_WORTH_SHARE
        self._record_worth(objective_s, 0.0, earned)

    def _record_worth(
        self, kind: float, possible: float, earned: float
    ) -> None:
        """Add to the worth of the current window and of a kind of prompt.

        :param kind: latency objective, which identifies the kind of prompt.
        """
        window = int(self.clock.now() // WINDOW_S)
        for account in (
            self._worth_by_window.setdefault(window, [0.0, 0.0]),
            self._worth_by_kind.setdefault(kind, [0.0, 0.0]),
        ):
            account[0] += possible
            account[1] += earned

    def _advance_runners(self) -> None:
        for runner in self._serving():
            processed = PREFILL_TOKENS_PER_S * STEP_S
            runner.backlog = max(0.0, runner.backlog - processed)
        now = self.clock.now()
        self.runners = [r for r in self.runners if now < r.ends_at]
        for runner in self.runners:
            price = ON_DEMAND_PRICES[runner.data_centre] * STEP_S
            self.cost_runner_s += price * (0.22 if runner.reclaimable else 1.0)

    def _apply_reclaims(self) -> None:
        now = self.clock.now()
        while self._reclaims and self._reclaims[0][0] <= now:
            _, data_centre = self._reclaims.pop(0)
            for runner in self.runners:
                if runner.data_centre == data_centre and runner.reclaimable:
                    runner.ends_at = min(
                        runner.ends_at, now + RECLAIM_NOTICE_S
                    )
            for name in ON_DEMAND_PRICES:
                self._unavailable_until[name] = now + UNAVAILABLE_S

    def _plan(self) -> None:
        now = self.clock.now()
        meter = self._prefill_meter
        self._prefill_load.receive_report(
            "vm",
            meter.total_tokens,
            meter.prefill_speed,
            meter.latency_ratio,
        )
        needed = self._prefill_load.required_runners(0, 96)
        if self._prefill_load.observed_for_s < 6.0:
            needed = max(needed, float(self._initial_runners))
        held = self._held()
        late = self.counts["late"] + self.counts["lost"]
        self.samples.append(
            Sample(
                now,
                sum(h.on_demand for h in held.values()),
                sum(h.reclaimable for h in held.values()),
                needed,
                late,
            )
        )
        for data_centre, wanted in self._rule.plan(
            self._terms, held, needed
        ).items():
            self._order(data_centre, False, wanted.on_demand)
            self._order(data_centre, True, wanted.reclaimable)

    def _held(self) -> dict[str, fleet_mix_planner.RunnerCounts]:
        held = {
            data_centre: fleet_mix_planner.RunnerCounts()
            for data_centre in ON_DEMAND_PRICES
        }
        for runner in self._serving():
            if runner.ends_at == float("inf"):
                counts_held = held[runner.data_centre]
                counts_held.on_demand += not runner.reclaimable
                counts_held.reclaimable += runner.reclaimable
        return held

    def _order(self, data_centre: str, reclaimable: bool, count: int) -> None:
        now = self.clock.now()
        current = [
            runner
            for runner in self.runners
            if runner.data_centre == data_centre
            and runner.reclaimable == reclaimable
            and runner.ends_at == float("inf")
        ]
        if count > len(current):
            if reclaimable and now < self._unavailable_until[data_centre]:
                self._rule.record_refusal(data_centre)
                return
            for _ in range(count - len(current)):
                ready_at = now + self._terms.boot_s
                self.runners.append(Runner(data_centre, reclaimable, ready_at))
            self._rule.record_accepted_order(
                data_centre, reclaimable, count, self._terms.boot_s
            )
        for runner in sorted(current, key=lambda r: -r.ready_at)[
            : max(0, len(current) - count)
        ]:
            runner.ends_at = max(now + 1.0, runner.ready_at)


def _generate_reclaims(
    rng: random.Random, seconds: float
) -> list[tuple[float, str]]:
    """Time and data centre of each wave of reclaims."""
    count = max(1, round(seconds / 20.0))
    return sorted(
        (rng.uniform(2.0, seconds), rng.choice(sorted(ON_DEMAND_PRICES)))
        for _ in range(count)
    )


def _generate_bursts(
    rng: random.Random, seconds: float
) -> list[tuple[float, float, float]]:
    """Start, end and traffic factor of each burst."""
    bursts = []
    for _ in range(max(1, round(seconds / 30.0))):
        start = rng.uniform(5.0, seconds)
        bursts.append((start, start + 5.0, rng.uniform(1.5, 2.5)))
    return bursts


def _earned_share(account: typing.Sequence[float]) -> float:
    """Earned worth divided by the possible worth."""
    possible, earned = account
    return earned / possible if possible else 1.0


def _clustered_arrivals(rng: random.Random, mean_clusters: float) -> int:
    """Draw the number of prompts that arrive in a step, in clusters.

    :param mean_clusters: mean number of clusters in a step.
    """
    clusters = _poisson(rng, mean_clusters)
    return sum(
        1 + _poisson(rng, MEAN_CLUSTER_SIZE - 1.0) for _ in range(clusters)
    )


def _poisson(rng: random.Random, mean_count: float) -> int:
    """Draw a Poisson variate by counting exponential intervals."""
    count = 0
    remaining = mean_count - rng.expovariate(1.0)
    while remaining > 0.0:
        count += 1
        remaining -= rng.expovariate(1.0)
    return count
