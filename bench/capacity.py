"""Cost at the latency target: the capacity planner and naive rules.

Each rule lives through the same seeded days of demand, prices, reclaim waves
and refused starts, with several settings: the planner's share that survives
the loss of a data centre, the naive rules' extra runners. Then each rule's
cheapest setting that meets a target is named. Arguments: ``--days N``,
``--first SEED``.
"""

import argparse
import collections
import itertools
import json
import random
import typing

from apricotlever import clock as clocks
from apricotlever.data_centres import capacity_planner
from apricotlever.data_centres import model
from apricotlever.data_centres import model_load_limiter
from apricotlever.data_centres import price_book
from apricotlever.data_centres import reclaim_risk
from apricotlever.data_centres import sizing
from bench import _capacity_day as days
from bench import _capacity_rules as rules

STORE_LOADS = 4
QUEUE_S = 2.0
MINUTE_S = 60.0
IN_TIME_TARGET = 0.95
RUNNERS_MIN = 2
RUNNERS_MAX = 60
TARGETS = (0.95, 0.98, 0.99)
PLANNER_SETTINGS = (
    (0.5, 1.0),
    (0.5, 1.1),
    (0.6, 1.15),
    (0.6, 1.2),
    (0.6, 1.3),
    (1.0, 1.15),
)
EXTRAS = (1.0, 1.1, 1.2, 1.3, 1.5)


class Machine:
    """One VM that a rule holds."""

    def __init__(self, vm: str, place: model.Place, now: float) -> None:
        self.vm = vm
        self.place = place
        self.live_at = now + days.START_S
        self.loaded_at: float | None = None
        self.gone_at: float | None = None

    def holding(self, now: float) -> model.HeldRunner:
        if self.gone_at is not None:
            state = model.RunnerState.LEAVING
        elif now >= self.live_at:
            state = model.RunnerState.LIVE
        else:
            state = model.RunnerState.STARTING
        return model.HeldRunner(self.vm, self.place, state, self.loaded(now))

    def loaded(self, now: float) -> bool:
        return self.loaded_at is not None and now >= self.loaded_at


class World:
    """One rule living through one day."""

    def __init__(self, day: days.Day, make: typing.Any) -> None:
        self._rng = random.Random(7)
        self.clock = clocks.ManualClock(0.0)
        self.day = day
        self.book = price_book.PriceBook()
        self.risk = reclaim_risk.ReclaimRisk(self.clock)
        self.pacer = model_load_limiter.ModelLoadLimiter(self.clock)
        self.rule = make(self)
        self.machines: list[Machine] = []
        self.waves = list(day.waves)
        self.backlog = 0.0
        self.totals: collections.Counter = collections.Counter()
        self.minutes: collections.Counter = collections.Counter()
        self.late_minutes = 0

    def run(self) -> dict[str, typing.Any]:
        """Live through the day."""
        self._warm_up()
        for _ in range(int(days.DAY_S / days.STEP_S)):
            self._step()
            self.clock.advance(days.STEP_S)
        in_time = self.totals["in_time"]
        return {
            "cost": round(self.totals["cost"], 2),
            "in_time": round(in_time / self.totals["requests"], 4),
            "cost_per_1000_in_time": round(
                1000 * self.totals["cost"] / in_time, 4
            ),
            "minutes_below_target": self.late_minutes,
            "reclaimed": self.totals["reclaimed"],
            "refused_starts": self.totals["refused"],
            "runners_mean": round(self.totals["runner_s"] / days.DAY_S, 2),
        }

    def _warm_up(self) -> None:
        for _ in range(int(600 / days.STEP_S)):
            self._prices()
            self._obey(self.rule.tick(self._demand(), self._holdings()))
            for machine in self.machines:
                machine.live_at = 0.0
                machine.loaded_at = 0.0

    def _step(self) -> None:
        self._prices()
        self._reclaim()
        self._serve()
        self._obey(self.rule.tick(self._demand(), self._holdings()))

    def _prices(self) -> None:
        now = self.clock.now()
        self.book.update(
            {place: self.day.price(place, now) for place in self.day.places}
        )

    def _demand(self) -> model.Demand:
        rate = self.day.rate(self.clock.now())
        return model.Demand(rate, days.SERVICE_S, days.WAIT_S)

    def _holdings(self) -> list[model.HeldRunner]:
        now = self.clock.now()
        return [machine.holding(now) for machine in self.machines]

    def _reclaim(self) -> None:
        now = self.clock.now()
        while self.waves and self.waves[0].at <= now:
            wave = self.waves.pop(0)
            hit = [
                machine
                for machine in self.machines
                if machine.place.data_centre == wave.data_centre
                and machine.place.market is model.Market.RECLAIMABLE
                and machine.gone_at is None
                and self._rng.random() < wave.share
            ]
            for machine in hit:
                machine.gone_at = now + days.NOTICE_S
                self.risk.record_reclaims(machine.place)
            self.totals["reclaimed"] += len(hit)
        gone = [
            machine
            for machine in self.machines
            if machine.gone_at is not None and machine.gone_at <= now
        ]
        for machine in gone:
            self.machines.remove(machine)
            self.pacer.record_end(machine.vm)

    def _serve(self) -> None:
        now = self.clock.now()
        serving = [
            machine
            for machine in self.machines
            if machine.loaded(now) and machine.gone_at is None
        ]
        self._bill()
        slots = days.SLOTS * len(serving)
        rate = self.day.rate(now)
        arrived = rate * days.STEP_S
        most = slots / days.SERVICE_S
        waits = self.backlog / most if most else float("inf")
        late = sizing.late_start_share(
            model.Demand(round(rate, 1), days.SERVICE_S, days.WAIT_S), slots
        )
        if waits > days.WAIT_S:
            late = 1.0
        served = most * days.STEP_S
        left = max(0.0, self.backlog + arrived - served)
        self.backlog = min(left, QUEUE_S * most)
        self._count(arrived, arrived * (1 - late))

    def _bill(self) -> None:
        for machine in self.machines:
            price = self.book.price_per_hour(machine.place) or 0.0
            self.totals["cost"] += price * days.STEP_S / days.HOUR_S
            self.totals["runner_s"] += days.STEP_S
            self.risk.record_held(machine.place, 1, days.STEP_S)

    def _count(self, arrived: float, in_time: float) -> None:
        self.totals["requests"] += arrived
        self.totals["in_time"] += in_time
        self.minutes["requests"] += arrived
        self.minutes["in_time"] += in_time
        if self.clock.now() % MINUTE_S >= MINUTE_S - days.STEP_S:
            share = self.minutes["in_time"] / self.minutes["requests"]
            self.late_minutes += share < IN_TIME_TARGET
            self.minutes.clear()

    def _obey(self, orders: list[model.PlannerAction]) -> None:
        for order in orders:
            if isinstance(order, model.Buy):
                self._buy(order)
            elif isinstance(order, model.LoadModel):
                self._load(order)
            elif isinstance(order, model.Release):
                self._release(order)
        now = self.clock.now()
        for machine in self.machines:
            if machine.loaded_at == now:
                self.pacer.record_end(machine.vm)

    def _buy(self, order: model.Buy) -> None:
        now = self.clock.now()
        if self.day.refuses(order.place, now):
            self.totals["refused"] += 1
            self.rule.record_refusal(order.token)
            return
        vm = f"vm-{len(self.machines)}-{self._rng.getrandbits(40):x}"
        self.machines.append(Machine(vm, order.place, now))
        self.rule.record_grant(order.token, vm)

    def _load(self, order: model.LoadModel) -> None:
        now = self.clock.now()
        loading = [
            machine
            for machine in self.machines
            if machine.loaded_at is not None and machine.loaded_at > now
        ]
        for machine in self.machines:
            if machine.vm == order.vm and machine.loaded_at is None:
                if len(loading) < STORE_LOADS:
                    machine.loaded_at = now + days.LOAD_S
                else:
                    self.pacer.record_refusal(machine.vm, days.STEP_S)

    def _release(self, order: model.Release) -> None:
        self.machines = [
            machine for machine in self.machines if machine.vm != order.vm
        ]


def _planner(
    survive: float, headroom: float
) -> typing.Callable[[World], typing.Any]:
    def make(world: World) -> capacity_planner.CapacityPlanner:
        return capacity_planner.CapacityPlanner(
            world.clock,
            random.Random(1),
            "drafts",
            _policy(survive, headroom),
            world.book,
            world.risk,
            world.pacer,
        )

    return make


def _naive(
    cls: type[rules.Rule], extra: float
) -> typing.Callable[[World], typing.Any]:
    return lambda world: cls(world.clock, _policy(1.0, 1.0), world.book, extra)


def _policy(
    survive: float, headroom: float
) -> capacity_planner.CapacityPolicy:
    return capacity_planner.CapacityPolicy(
        days.MACHINE, RUNNERS_MIN, RUNNERS_MAX, days.SLOTS, survive, headroom
    )


def _makers() -> dict[tuple[str, str], typing.Any]:
    planners = {
        ("planner", f"survive={share} headroom={headroom}"): _planner(
            share, headroom
        )
        for share, headroom in PLANNER_SETTINGS
    }
    naive = {
        (name, f"extra={extra}"): _naive(cls, extra)
        for name, cls in rules.RULES.items()
        for extra in EXTRAS
    }
    return {**planners, **naive}


def run(arguments: list[str]) -> int:
    """Print a line per rule and setting, then each rule's best."""
    parser = argparse.ArgumentParser(prog="bench capacity")
    parser.add_argument("--days", type=int, default=1)
    parser.add_argument("--first", type=int, default=0, help="first seed")
    options = parser.parse_args(arguments)
    seeds = range(options.first, options.first + options.days)
    table = [days.Day(seed) for seed in seeds]
    means: dict[tuple[str, str], dict[str, float]] = {}
    for (name, setting), make in _makers().items():
        mean = _mean([World(day, make).run() for day in table])
        means[(name, setting)] = mean
        line = {"rule": name, "setting": setting, "days": options.days}
        print(json.dumps({**line, **mean}), flush=True)
    for target, name in itertools.product(
        TARGETS, dict.fromkeys(name for name, _ in means)
    ):
        print(json.dumps(_best(name, target, means)))
    return 0


def _best(
    name: str,
    target: float,
    means: dict[tuple[str, str], dict[str, float]],
) -> dict[str, typing.Any]:
    good = [
        (mean["cost_per_1000_in_time"], setting)
        for (rule, setting), mean in means.items()
        if rule == name and mean["in_time"] >= target
    ]
    cost, setting = min(good, default=(None, None))
    return {
        "rule": name,
        "target_in_time": target,
        "best_setting": setting,
        "cost_per_1000_in_time": cost,
    }


def _mean(rows: list[dict[str, float]]) -> dict[str, float]:
    return {
        name: round(sum(row[name] for row in rows) / len(rows), 4)
        for name in rows[0]
    }
