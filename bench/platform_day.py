"""Compares rules for ordering runners on days with reclaims and bursts.

``python -m bench platform_day --days 20 --plot day.svg``
"""

import argparse
import json
import math
import statistics
import typing

from apricotlever import clock as clocks
from apricotlever.data_centres import fleet_mix_planner

from . import _day_simulation as model

DAYS = 12
DURATION_S = 60.0
#: Traffic relative to the users' traffic. On a calm day caches hold four in
#: ten of its tokens; a busy day has twice as much traffic.
LOADS = (0.6, 1.2)

MakeRule = typing.Callable[[clocks.Clock], model.ScalingRule]
RULES: dict[str, MakeRule] = {}


def rule(name: str) -> typing.Callable[[MakeRule], MakeRule]:
    """Register a rule or a function that creates one."""

    def register(make_rule: MakeRule) -> MakeRule:
        RULES[name] = make_rule
        return make_rule

    return register


@rule("fleet_size")
def _production_rule(clock: clocks.Clock) -> model.ScalingRule:
    """Create the rule that the product uses."""
    return fleet_mix_planner.FleetMixPlanner(clock)


class _StatelessRule:
    """Base class of rules that ignore refusals and accepted orders."""

    def __init__(self, clock: clocks.Clock) -> None:
        """Ignore the clock."""

    def record_refusal(self, data_centre: str) -> None:
        """Do nothing: the next plan orders the runners again."""

    def record_accepted_order(
        self, data_centre: str, reclaimable: bool, count: int, boot_s: float
    ) -> None:
        """Do nothing: the next plan depends on the runners held."""


@rule("as_at_start")
class AsAtStart(_StatelessRule):
    """Holds the initial number of runners, all on demand."""

    def plan(
        self,
        terms: fleet_mix_planner.ScalingTerms,
        held: typing.Mapping[str, fleet_mix_planner.RunnerCounts],
        needed: float,
    ) -> dict[str, fleet_mix_planner.RunnerCounts]:
        """Request three runners in each data centre."""
        return {
            data_centre: fleet_mix_planner.RunnerCounts(3, 0)
            for data_centre in terms.on_demand_prices
        }


@rule("on_demand_at_need")
class OnDemandAtNeed(_StatelessRule):
    """Holds the measured need on demand, spread evenly."""

    def plan(
        self,
        terms: fleet_mix_planner.ScalingTerms,
        held: typing.Mapping[str, fleet_mix_planner.RunnerCounts],
        needed: float,
    ) -> dict[str, fleet_mix_planner.RunnerCounts]:
        """Request the need, rounded up in each data centre."""
        count = math.ceil(needed / len(terms.on_demand_prices))
        return {
            data_centre: fleet_mix_planner.RunnerCounts(count, 0)
            for data_centre in terms.on_demand_prices
        }


@rule("cheapest_place")
class CheapestDataCentre(_StatelessRule):
    """Holds the need as reclaimable runners in the cheapest data centre."""

    def plan(
        self,
        terms: fleet_mix_planner.ScalingTerms,
        held: typing.Mapping[str, fleet_mix_planner.RunnerCounts],
        needed: float,
    ) -> dict[str, fleet_mix_planner.RunnerCounts]:
        """Request the minimum on demand in the other data centres."""
        cheapest = min(
            terms.on_demand_prices,
            key=lambda data_centre: terms.on_demand_prices[data_centre],
        )
        return {
            data_centre: fleet_mix_planner.RunnerCounts(
                0 if data_centre == cheapest else terms.min_runners,
                math.ceil(needed) if data_centre == cheapest else 0,
            )
            for data_centre in terms.on_demand_prices
        }


@rule("even_spread")
class EvenSpread(_StatelessRule):
    """Holds half of the need on demand and half reclaimable, spread evenly."""

    def plan(
        self,
        terms: fleet_mix_planner.ScalingTerms,
        held: typing.Mapping[str, fleet_mix_planner.RunnerCounts],
        needed: float,
    ) -> dict[str, fleet_mix_planner.RunnerCounts]:
        """Request half of the need of each kind."""
        count = math.ceil(needed / 2 / len(terms.on_demand_prices))
        return {
            data_centre: fleet_mix_planner.RunnerCounts(count, count)
            for data_centre in terms.on_demand_prices
        }


def run(arguments: list[str]) -> int:
    """Simulate the days under each rule and print a row for each.

    :returns: the exit code of the process.
    """
    parser = argparse.ArgumentParser("platform_day", description=__doc__)
    parser.add_argument("--days", type=int, default=DAYS)
    parser.add_argument("--seconds", type=float, default=DURATION_S)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument(
        "--plot", metavar="FILE", help="SVG file for a plot of the first day"
    )
    options = parser.parse_args(arguments)
    first_days = {}
    for load in LOADS:
        for name, make_rule in RULES.items():
            seeds = range(options.seed, options.seed + options.days)
            days = [
                _simulate(s, options.seconds, load, make_rule) for s in seeds
            ]
            first_days[name, load] = days[0]
            print(json.dumps(_row(name, load, days)), flush=True)
    if options.plot:
        _plot(first_days, options.plot)
    return 0


def _simulate(
    seed: int, seconds: float, load: float, make_rule: MakeRule
) -> model.DaySimulation:
    day = model.DaySimulation(seed, seconds, load, make_rule)
    day.run()
    return day


def _row(
    name: str, load: float, days: typing.Sequence[model.DaySimulation]
) -> dict[str, typing.Any]:
    worths = [day.worth for day in days]
    prompt_count = sum(sum(day.counts.values()) for day in days)
    return {
        "rule": name,
        "load": load,
        "days": len(days),
        "worth": round(statistics.mean(worths), 3),
        "worst": round(min(worths), 3),
        "on_time": round(
            sum(d.counts["on_time"] for d in days) / prompt_count, 3
        ),
        "runner_s": round(statistics.mean(d.cost_runner_s for d in days), 1),
    }


def _plot(
    first_days: typing.Mapping[tuple[str, float], model.DaySimulation],
    path: str,
) -> None:
    """Plot runners held and needed, one panel for each rule and load."""
    import matplotlib

    matplotlib.use("svg")
    from matplotlib import figure

    drawing = figure.Figure(figsize=(12, 14), layout="constrained")
    panels = drawing.subplots(len(RULES), len(LOADS))
    for row, name in enumerate(RULES):
        for column, load in enumerate(LOADS):
            _plot_panel(
                panels[row][column], name, load, first_days[name, load]
            )
    drawing.savefig(path)


def _plot_panel(
    panel: typing.Any, name: str, load: float, day: model.DaySimulation
) -> None:
    at = [sample.at_s for sample in day.samples]
    panel.stackplot(
        at,
        [sample.on_demand for sample in day.samples],
        [sample.reclaimable for sample in day.samples],
        labels=["on demand", "reclaimable"],
        alpha=0.5,
    )
    panel.plot(at, [s.needed for s in day.samples], "k:", label="needed")
    panel.set(title=f"{name}, load {load:g}: worth {day.worth:.2f}")
    panel.legend(loc="upper right", fontsize=7)
