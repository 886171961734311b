"""Compares the planner's and naive rules' costs at a latency target.

Each rule is simulated with several settings over the same seeded days of
demand, prices, reclaim waves and refused starts. The settings are the share
of demand that survives the loss of a data centre and the headroom for the
planner, and the factor of extra runners for the naive rules. Then the
cheapest setting of each rule that meets a target is printed. Arguments:
``--days N``, ``--first SEED``.
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
from apricotlever.data_centres import price_table
from apricotlever.data_centres import reclaim_risk
from apricotlever.data_centres import sizing
from bench import _capacity_day as days
from bench import _capacity_rules as rules

CONCURRENT_LOADS_MAX = 4
QUEUE_MAX_S = 2.0
MINUTE_S = 60.0
MINUTE_IN_TIME_TARGET = 0.95
MIN_RUNNERS = 2
MAX_RUNNERS = 60
TARGETS = (0.95, 0.98, 0.99)
PLANNER_SETTINGS = (
    (0.5, 1.0),
    (0.5, 1.1),
    (0.6, 1.15),
    (0.6, 1.2),
    (0.6, 1.3),
    (1.0, 1.15),
)
EXTRA_RUNNER_FACTORS = (1.0, 1.1, 1.2, 1.3, 1.5)


class SimulatedVm:
    """One simulated VM that a rule has bought."""

    def __init__(self, name: str, place: model.Place, now: float) -> None:
        self.name = name
        self.place = place
        self.ready_at = now + days.VM_START_S
        self.loaded_at: float | None = None
        self.ends_at: float | None = None

    def as_held_runner(self, now: float) -> model.HeldRunner:
        if self.ends_at is not None:
            state = model.RunnerState.LEAVING
        elif now >= self.ready_at:
            state = model.RunnerState.LIVE
        else:
            state = model.RunnerState.STARTING
        return model.HeldRunner(
            self.name, self.place, state, self.is_loaded(now)
        )

    def is_loaded(self, now: float) -> bool:
        return self.loaded_at is not None and now >= self.loaded_at


class Simulation:
    """Simulates one rule over one day.

    :param make_rule: creates the rule; its argument is the simulation.
    """

    def __init__(self, day: days.Day, make_rule: typing.Any) -> None:
        self._rng = random.Random(7)
        self.clock = clocks.ManualClock(0.0)
        self.day = day
        self.prices = price_table.PriceTable()
        self.reclaim_risk = reclaim_risk.ReclaimRisk(self.clock)
        self.load_limiter = model_load_limiter.ModelLoadLimiter(self.clock)
        self.rule = make_rule(self)
        self.vms: list[SimulatedVm] = []
        self.upcoming_waves = list(day.waves)
        self.backlog = 0.0
        self.totals: collections.Counter = collections.Counter()
        self.minute_totals: collections.Counter = collections.Counter()
        self.minutes_below_target = 0

    def run(self) -> dict[str, typing.Any]:
        """Simulate the day.

        :returns: the figures of the day, as fields of a JSON line.
        """
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
            "minutes_below_target": self.minutes_below_target,
            "reclaimed": self.totals["reclaimed"],
            "refused_starts": self.totals["refused"],
            "runners_mean": round(self.totals["runner_s"] / days.DAY_S, 2),
        }

    def _warm_up(self) -> None:
        for _ in range(int(600 / days.STEP_S)):
            self._update_prices()
            self._carry_out(
                self.rule.tick(self._demand(), self._held_runners())
            )
            for vm in self.vms:
                vm.ready_at = 0.0
                vm.loaded_at = 0.0

    def _step(self) -> None:
        self._update_prices()
        self._reclaim()
        self._serve()
        self._carry_out(self.rule.tick(self._demand(), self._held_runners()))

    def _update_prices(self) -> None:
        now = self.clock.now()
        self.prices.update(
            {place: self.day.price(place, now) for place in self.day.places}
        )

    def _demand(self) -> model.Demand:
        rate = self.day.rate(self.clock.now())
        return model.Demand(rate, days.SERVICE_S, days.WAIT_TARGET_S)

    def _held_runners(self) -> list[model.HeldRunner]:
        now = self.clock.now()
        return [vm.as_held_runner(now) for vm in self.vms]

    def _reclaim(self) -> None:
        now = self.clock.now()
        while self.upcoming_waves and self.upcoming_waves[0].at <= now:
            wave = self.upcoming_waves.pop(0)
            reclaimed = [
                vm
                for vm in self.vms
                if vm.place.data_centre == wave.data_centre
                and vm.place.market is model.Market.RECLAIMABLE
                and vm.ends_at is None
                and self._rng.random() < wave.share
            ]
            for vm in reclaimed:
                vm.ends_at = now + days.NOTICE_S
                self.reclaim_risk.record_reclaims(vm.place)
            self.totals["reclaimed"] += len(reclaimed)
        ended = [
            vm
            for vm in self.vms
            if vm.ends_at is not None and vm.ends_at <= now
        ]
        for vm in ended:
            self.vms.remove(vm)
            self.load_limiter.record_end(vm.name)

    def _serve(self) -> None:
        now = self.clock.now()
        serving = [
            vm for vm in self.vms if vm.is_loaded(now) and vm.ends_at is None
        ]
        self._record_cost()
        slots = days.SLOTS_PER_RUNNER * len(serving)
        rate = self.day.rate(now)
        arrived = rate * days.STEP_S
        service_rate = slots / days.SERVICE_S
        queue_wait_s = (
            self.backlog / service_rate if service_rate else float("inf")
        )
        late_share = sizing.late_start_share(
            model.Demand(round(rate, 1), days.SERVICE_S, days.WAIT_TARGET_S),
            slots,
        )
        if queue_wait_s > days.WAIT_TARGET_S:
            late_share = 1.0
        served = service_rate * days.STEP_S
        queued = max(0.0, self.backlog + arrived - served)
        self.backlog = min(queued, QUEUE_MAX_S * service_rate)
        self._record_requests(arrived, arrived * (1 - late_share))

    def _record_cost(self) -> None:
        for vm in self.vms:
            price = self.prices.price_per_hour(vm.place) or 0.0
            self.totals["cost"] += price * days.STEP_S / days.HOUR_S
            self.totals["runner_s"] += days.STEP_S
            self.reclaim_risk.record_held(vm.place, 1, days.STEP_S)

    def _record_requests(self, arrived: float, in_time: float) -> None:
        self.totals["requests"] += arrived
        self.totals["in_time"] += in_time
        self.minute_totals["requests"] += arrived
        self.minute_totals["in_time"] += in_time
        if self.clock.now() % MINUTE_S >= MINUTE_S - days.STEP_S:
            share = (
                self.minute_totals["in_time"] / self.minute_totals["requests"]
            )
            self.minutes_below_target += share < MINUTE_IN_TIME_TARGET
            self.minute_totals.clear()

    def _carry_out(self, actions: list[model.PlannerAction]) -> None:
        for action in actions:
            if isinstance(action, model.Buy):
                self._buy(action)
            elif isinstance(action, model.LoadModel):
                self._load(action)
            elif isinstance(action, model.Release):
                self._release(action)
        now = self.clock.now()
        for vm in self.vms:
            if vm.loaded_at == now:
                self.load_limiter.record_end(vm.name)

    def _buy(self, action: model.Buy) -> None:
        now = self.clock.now()
        if self.day.refuses(action.place, now):
            self.totals["refused"] += 1
            self.rule.record_refusal(action.token)
            return
        vm_name = f"vm-{len(self.vms)}-{self._rng.getrandbits(40):x}"
        self.vms.append(SimulatedVm(vm_name, action.place, now))
        self.rule.record_grant(action.token, vm_name)

    def _load(self, action: model.LoadModel) -> None:
        now = self.clock.now()
        loading = [
            vm
            for vm in self.vms
            if vm.loaded_at is not None and vm.loaded_at > now
        ]
        for vm in self.vms:
            if vm.name == action.vm and vm.loaded_at is None:
                if len(loading) < CONCURRENT_LOADS_MAX:
                    vm.loaded_at = now + days.MODEL_LOAD_S
                else:
                    self.load_limiter.record_refusal(vm.name, days.STEP_S)

    def _release(self, action: model.Release) -> None:
        self.vms = [vm for vm in self.vms if vm.name != action.vm]


def _planner_factory(
    survive: float, headroom: float
) -> typing.Callable[[Simulation], typing.Any]:
    def make_rule(simulation: Simulation) -> capacity_planner.CapacityPlanner:
        return capacity_planner.CapacityPlanner(
            simulation.clock,
            random.Random(1),
            "drafts",
            _make_policy(survive, headroom),
            simulation.prices,
            simulation.reclaim_risk,
            simulation.load_limiter,
        )

    return make_rule


def _naive_factory(
    cls: type[rules.Rule], extra_factor: float
) -> typing.Callable[[Simulation], typing.Any]:
    return lambda simulation: cls(
        simulation.clock,
        _make_policy(1.0, 1.0),
        simulation.prices,
        extra_factor,
    )


def _make_policy(
    survive: float, headroom: float
) -> capacity_planner.CapacityPolicy:
    return capacity_planner.CapacityPolicy(
        days.MACHINE,
        MIN_RUNNERS,
        MAX_RUNNERS,
        days.SLOTS_PER_RUNNER,
        survive,
        headroom,
    )


def _rule_factories() -> dict[tuple[str, str], typing.Any]:
    planners = {
        ("planner", f"survive={share} headroom={headroom}"): _planner_factory(
            share, headroom
        )
        for share, headroom in PLANNER_SETTINGS
    }
    naive = {
        (name, f"extra={extra_factor}"): _naive_factory(cls, extra_factor)
        for name, cls in rules.RULES.items()
        for extra_factor in EXTRA_RUNNER_FACTORS
    }
    return {**planners, **naive}


def run(arguments: list[str]) -> int:
    """Print each rule and setting, then the best setting of each rule."""
    parser = argparse.ArgumentParser(prog="bench capacity")
    parser.add_argument("--days", type=int, default=1)
    parser.add_argument(
        "--first", type=int, default=0, help="seed of the first day"
    )
    options = parser.parse_args(arguments)
    seeds = range(options.first, options.first + options.days)
    simulated_days = [days.Day(seed) for seed in seeds]
    means: dict[tuple[str, str], dict[str, float]] = {}
    for (name, setting), make_rule in _rule_factories().items():
        mean = _mean_of(
            [Simulation(day, make_rule).run() for day in simulated_days]
        )
        means[(name, setting)] = mean
        line = {"rule": name, "setting": setting, "days": options.days}
        print(json.dumps({**line, **mean}), flush=True)
    for target, name in itertools.product(
        TARGETS, dict.fromkeys(name for name, _ in means)
    ):
        print(json.dumps(_best_setting(name, target, means)))
    return 0


def _best_setting(
    name: str,
    target: float,
    means: dict[tuple[str, str], dict[str, float]],
) -> dict[str, typing.Any]:
    candidates = [
        (mean["cost_per_1000_in_time"], setting)
        for (rule, setting), mean in means.items()
        if rule == name and mean["in_time"] >= target
    ]
    cost, setting = min(candidates, default=(None, None))
    return {
        "rule": name,
        "target_in_time": target,
        "best_setting": setting,
        "cost_per_1000_in_time": cost,
    }


def _mean_of(rows: list[dict[str, float]]) -> dict[str, float]:
    return {
        name: round(sum(row[name] for row in rows) / len(rows), 4)
        for name in rows[0]
    }
