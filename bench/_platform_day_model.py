"""A day of one service: prompts, runners that read them, waves of reclaims.

A plain step of a tenth of a second on a manual clock. A runner reads prompts
one after the other; decoding and caches are left out, so figures compare
rules with each other and are no forecast of a deployment.
"""

import collections
import random
import typing

from apricotlever import clock as clocks
from apricotlever.data_centres import fleet_mix_planner
from apricotlever.data_centres import prefill_load

STEP_S = 0.1
#: Between two plans, in seconds.
PLAN_S = 0.5
#: Tokens that a runner reads in a second, and those of a prompt that its cache
#: does not hold: means of the users' larger engine and its three kinds of
#: prompts.
READ_PER_S = 25_000.0
PROMPT_TOKENS = (
    (18.5, 2890.0, 0.8, 3.4),
    (13.2, 1800.0, 0.6, 1.9),
    (20.5, 543.0, 0.4, 0.43),
)
#: A prompt's tokens are spread like this around their mean.
SIGMA = 0.8
LATE_WORTH = 0.1
#: Nobody waits longer for a first answer, in seconds.
PATIENCE_S = 2.0
#: Part of a day's worth that a second of an on-demand runner costs, times the
#: seconds of the day: 311.7 such seconds cost 0.205 on a day of 54 s.
PRICE = 0.0356
#: How the users weigh a day: the whole of it, its two worst windows of two
#: seconds, and the kind of prompt that is served worst.
WHOLE_PART = 0.5
WINDOWS_PART = 0.35
KIND_PART = 0.15
WORST_WINDOWS = 2
WINDOW_S = 2.0
NOTICE_S = 2.4
#: Prompts that come at once, on average, as on the users' platform.
CLUMP = 3.0
DRY_S = 4.5
PLACES = {"dc-a": 0.85, "dc-b": 1.2, "dc-c": 1.0}


class Runner:
    """One runner.

    :param serves_at: when it has booted.
    """

    __slots__ = ("place", "reclaimable", "serves_at", "ends_at", "backlog")

    def __init__(
        self, place: str, reclaimable: bool, serves_at: float
    ) -> None:
        self.place = place
        self.reclaimable = reclaimable
        self.serves_at = serves_at
        self.ends_at = float("inf")
        #: Prompt tokens that wait to be read.
        self.backlog = 0.0


class Sample:
    """What there was at a moment, for a plot."""

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


class Rule(typing.Protocol):
    """Decides how many runners to hold."""

    def plan(
        self,
        terms: fleet_mix_planner.ScalingTerms,
        held: typing.Mapping[str, fleet_mix_planner.RunnerCounts],
        needed: float,
    ) -> dict[str, fleet_mix_planner.RunnerCounts]:
        """The runners to hold from now on."""

    def record_refusal(self, place: str) -> None:
        """Reclaimable runners were not to be had."""

    def record_accepted_order(
        self, place: str, reclaimable: bool, count: int, boot_s: float
    ) -> None:
        """An order was taken."""


class Day:
    """One day under one rule.

    :param seed: of prompts, bursts and reclaims; equal for all rules.
    :param load: times the usual traffic.
    """

    def __init__(
        self,
        seed: int,
        seconds: float,
        load: float,
        make_rule: typing.Callable[[clocks.Clock], Rule],
        started_with: int = 3,
        boot_s: float = 4.0,
    ) -> None:
        self.clock = clocks.ManualClock(0.0)
        self._rng = random.Random(seed)
        self._seconds = seconds
        self._load = load
        self._rule = make_rule(self.clock)
        self._terms = fleet_mix_planner.ScalingTerms(
            1, 40, boot_s, 0.22, PLACES
        )
        self._counter = prefill_load.PrefillMeter()
        self._demand = prefill_load.PrefillLoad(self.clock)
        self._dry_until = dict.fromkeys(PLACES, float("-inf"))
        self._reclaims = _reclaims(self._rng, seconds)
        self._bursts = _bursts(self._rng, seconds)
        self._started_with = started_with * len(PLACES)
        self.runners = [
            Runner(place, False, 0.0)
            for place in PLACES
            for _ in range(started_with)
        ]
        self.samples: list[Sample] = []
        #: Owed and earned worth, by window and by kind of prompt.
        self._windows: dict[int, list[float]] = {}
        self._kinds: dict[float, list[float]] = {}
        self.on_demand_s = 0.0
        self.counts: collections.Counter[str] = collections.Counter()

    @property
    def worth(self) -> float:
        """Earned of what was owed, less the price of the runners.

        As the users weigh it: the whole day, its worst windows and its
        worst-served kind. By the whole day alone spare runners never pay.
        """
        price = PRICE / self._seconds * self.on_demand_s
        windows = sorted(map(_share, self._windows.values()))
        worst = windows[:WORST_WINDOWS]
        whole = [sum(pair) for pair in zip(*self._kinds.values())]
        return (
            WHOLE_PART * _share(whole)
            + WINDOWS_PART * sum(worst) / len(worst)
            + KIND_PART * min(map(_share, self._kinds.values()))
            - price
        )

    def run(self) -> None:
        """Play it."""
        next_plan = 0.0
        while self.clock.now() < self._seconds:
            self._reclaim()
            if self.clock.now() >= next_plan:
                next_plan += PLAN_S
                self._plan()
            self._arrive()
            self._work()
            self.clock.advance(STEP_S)

    def _serving(self) -> list[Runner]:
        now = self.clock.now()
        return [r for r in self.runners if r.serves_at <= now < r.ends_at]

    def _arrive(self) -> None:
        now = self.clock.now()
        burst = next((x for a, b, x in self._bursts if a <= now < b), 1.0)
        for rate, tokens, objective_s, worth in PROMPT_TOKENS:
            expected = rate * self._load * burst * STEP_S / CLUMP
            for _ in range(_clumped(self._rng, expected)):
                size = self._rng.lognormvariate(0.0, SIGMA)
                self._prompt(tokens * size / 1.377, objective_s, worth)

    def _prompt(self, tokens: float, objective_s: float, worth: float) -> None:
        """Send a prompt to the emptier of two runners."""
        self._account(objective_s, worth, 0.0)
        drawn_from = [r for r in self._serving() if r.ends_at == float("inf")]
        drawn_from = drawn_from or self._serving()
        self._counter.record_sent(int(tokens))
        if not drawn_from:
            self.counts["no_runner"] += 1
            return
        drawn = self._rng.sample(drawn_from, min(2, len(drawn_from)))
        runner = min(drawn, key=lambda r: r.backlog)
        runner.backlog += tokens
        took_s = runner.backlog / READ_PER_S
        lost = self.clock.now() + took_s > runner.ends_at
        if lost or took_s > PATIENCE_S:
            self.counts["lost"] += 1
            return
        self._counter.record_first_answer(int(tokens), took_s, objective_s)
        on_time = took_s <= objective_s
        self.counts["on_time" if on_time else "late"] += 1
        earned = worth if on_time else worth * LATE_WORTH
        self._account(objective_s, 0.0, earned)

    def _account(self, kind: float, owed: float, earned: float) -> None:
        window = int(self.clock.now() // WINDOW_S)
        for known in (
            self._windows.setdefault(window, [0.0, 0.0]),
            self._kinds.setdefault(kind, [0.0, 0.0]),
        ):
            known[0] += owed
            known[1] += earned

    def _work(self) -> None:
        for runner in self._serving():
            read = READ_PER_S * STEP_S
            runner.backlog = max(0.0, runner.backlog - read)
        now = self.clock.now()
        self.runners = [r for r in self.runners if now < r.ends_at]
        for runner in self.runners:
            price = PLACES[runner.place] * STEP_S
            self.on_demand_s += price * (0.22 if runner.reclaimable else 1.0)

    def _reclaim(self) -> None:
        now = self.clock.now()
        while self._reclaims and self._reclaims[0][0] <= now:
            _, place = self._reclaims.pop(0)
            for runner in self.runners:
                if runner.place == place and runner.reclaimable:
                    runner.ends_at = min(runner.ends_at, now + NOTICE_S)
            for name in PLACES:
                self._dry_until[name] = now + DRY_S

    def _plan(self) -> None:
        now = self.clock.now()
        counter = self._counter
        self._demand.receive_report(
            "vm",
            counter.total_tokens,
            counter.prefill_speed,
            counter.latency_ratio,
        )
        needed = self._demand.required_runners(0, 96)
        if self._demand.observed_for_s < 6.0:
            needed = max(needed, float(self._started_with))
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
        for place, wanted in self._rule.plan(
            self._terms, held, needed
        ).items():
            self._order(place, False, wanted.on_demand)
            self._order(place, True, wanted.reclaimable)

    def _held(self) -> dict[str, fleet_mix_planner.RunnerCounts]:
        held = {place: fleet_mix_planner.RunnerCounts() for place in PLACES}
        for runner in self._serving():
            if runner.ends_at == float("inf"):
                holding = held[runner.place]
                holding.on_demand += not runner.reclaimable
                holding.reclaimable += runner.reclaimable
        return held

    def _order(self, place: str, reclaimable: bool, count: int) -> None:
        now = self.clock.now()
        there = [
            runner
            for runner in self.runners
            if runner.place == place
            and runner.reclaimable == reclaimable
            and runner.ends_at == float("inf")
        ]
        if count > len(there):
            if reclaimable and now < self._dry_until[place]:
                self._rule.record_refusal(place)
                return
            for _ in range(count - len(there)):
                serves_at = now + self._terms.boot_s
                self.runners.append(Runner(place, reclaimable, serves_at))
            self._rule.record_accepted_order(
                place, reclaimable, count, self._terms.boot_s
            )
        for runner in sorted(there, key=lambda r: -r.serves_at)[
            : max(0, len(there) - count)
        ]:
            runner.ends_at = max(now + 1.0, runner.serves_at)


def _reclaims(rng: random.Random, seconds: float) -> list[tuple[float, str]]:
    count = max(1, round(seconds / 20.0))
    return sorted(
        (rng.uniform(2.0, seconds), rng.choice(sorted(PLACES)))
        for _ in range(count)
    )


def _bursts(
    rng: random.Random, seconds: float
) -> list[tuple[float, float, float]]:
    found = []
    for _ in range(max(1, round(seconds / 30.0))):
        at = rng.uniform(5.0, seconds)
        found.append((at, at + 5.0, rng.uniform(1.5, 2.5)))
    return found


def _share(account: typing.Sequence[float]) -> float:
    """Earned of what was owed."""
    owed, earned = account
    return earned / owed if owed else 1.0


def _clumped(rng: random.Random, expected: float) -> int:
    """Arrivals in a step that come in clumps.

    :param expected: clumps in a step, on average.
    """
    clumps = _poisson(rng, expected)
    return sum(1 + _poisson(rng, CLUMP - 1.0) for _ in range(clumps))


def _poisson(rng: random.Random, expected: float) -> int:
    """Arrivals in a step, as a sum of exponential pauses."""
    count = 0
    left = expected - rng.expovariate(1.0)
    while left > 0.0:
        count += 1
        left -= rng.expovariate(1.0)
    return count
