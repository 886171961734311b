"""Compares rules for ordering runners over days with reclaims and bursts.

``python -m bench platform_day --days 20 --plot day.svg``
"""

import argparse
import json
import math
import statistics
import typing

from apricotlever import clock as clocks
from apricotlever.data_centres import fleet_mix_planner

from . import _platform_day_model as model

DAYS = 12
SECONDS = 60.0
#: Times the users' traffic: caches hold four in ten of its tokens on a calm
#: day, and a busy one has twice as much.
LOADS = (0.6, 1.2)

MakeRule = typing.Callable[[clocks.Clock], model.Rule]
RULES: dict[str, MakeRule] = {}


def rule(name: str) -> typing.Callable[[MakeRule], MakeRule]:
    """Register a maker of rules."""

    def register(make: MakeRule) -> MakeRule:
        RULES[name] = make
        return make

    return register


@rule("fleet_size")
def _ours(clock: clocks.Clock) -> model.Rule:
    """The product's own."""
    return fleet_mix_planner.FleetMixPlanner(clock)


class _Simple:
    """A rule that neither learns of refusals nor counts its orders."""

    def __init__(self, clock: clocks.Clock) -> None:
        """It has no use for a clock."""

    def record_refusal(self, place: str) -> None:
        """It asks again."""

    def record_accepted_order(
        self, place: str, reclaimable: bool, count: int, boot_s: float
    ) -> None:
        """Orders show by themselves."""


@rule("as_at_start")
class AsAtStart(_Simple):
    """What the deployment began with, on demand."""

    def plan(
        self,
        terms: fleet_mix_planner.ScalingTerms,
        held: typing.Mapping[str, fleet_mix_planner.RunnerCounts],
        needed: float,
    ) -> dict[str, fleet_mix_planner.RunnerCounts]:
        """Three in each data centre."""
        return {
            place: fleet_mix_planner.RunnerCounts(3, 0)
            for place in terms.on_demand_prices
        }


@rule("on_demand_at_need")
class OnDemandAtNeed(_Simple):
    """The measured need, on demand, spread evenly."""

    def plan(
        self,
        terms: fleet_mix_planner.ScalingTerms,
        held: typing.Mapping[str, fleet_mix_planner.RunnerCounts],
        needed: float,
    ) -> dict[str, fleet_mix_planner.RunnerCounts]:
        """The need, rounded up in each data centre."""
        each = math.ceil(needed / len(terms.on_demand_prices))
        return {
            place: fleet_mix_planner.RunnerCounts(each, 0)
            for place in terms.on_demand_prices
        }


@rule("cheapest_place")
class CheapestPlace(_Simple):
    """The need as reclaimable runners where they are cheapest."""

    def plan(
        self,
        terms: fleet_mix_planner.ScalingTerms,
        held: typing.Mapping[str, fleet_mix_planner.RunnerCounts],
        needed: float,
    ) -> dict[str, fleet_mix_planner.RunnerCounts]:
        """All in one place, and the least elsewhere."""
        cheapest = min(
            terms.on_demand_prices,
            key=lambda place: terms.on_demand_prices[place],
        )
        return {
            place: fleet_mix_planner.RunnerCounts(
                0 if place == cheapest else terms.min_runners,
                math.ceil(needed) if place == cheapest else 0,
            )
            for place in terms.on_demand_prices
        }


@rule("even_spread")
class EvenSpread(_Simple):
    """The need, half on demand and half reclaimable, everywhere alike."""

    def plan(
        self,
        terms: fleet_mix_planner.ScalingTerms,
        held: typing.Mapping[str, fleet_mix_planner.RunnerCounts],
        needed: float,
    ) -> dict[str, fleet_mix_planner.RunnerCounts]:
        """Half of the need of each kind."""
        each = math.ceil(needed / 2 / len(terms.on_demand_prices))
        return {
            place: fleet_mix_planner.RunnerCounts(each, each)
            for place in terms.on_demand_prices
        }


def run(arguments: list[str]) -> int:
    """Play the days under each rule.

    :returns: the exit code of the process.
    """
    parser = argparse.ArgumentParser("platform_day", description=__doc__)
    parser.add_argument("--days", type=int, default=DAYS)
    parser.add_argument("--seconds", type=float, default=SECONDS)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--plot", metavar="FILE", help="of the first day")
    options = parser.parse_args(arguments)
    firsts = {}
    for load in LOADS:
        for name, make in RULES.items():
            seeds = range(options.seed, options.seed + options.days)
            days = [_play(s, options.seconds, load, make) for s in seeds]
            firsts[name, load] = days[0]
            print(json.dumps(_row(name, load, days)), flush=True)
    if options.plot:
        _plot(firsts, options.plot)
    return 0


def _play(seed: int, seconds: float, load: float, make: MakeRule) -> model.Day:
    day = model.Day(seed, seconds, load, make)
    day.run()
    return day


def _row(
    name: str, load: float, days: typing.Sequence[model.Day]
) -> dict[str, typing.Any]:
    worths = [day.worth for day in days]
    asked = sum(sum(day.counts.values()) for day in days)
    return {
        "rule": name,
        "load": load,
        "days": len(days),
        "worth": round(statistics.mean(worths), 3),
        "worst": round(min(worths), 3),
        "on_time": round(sum(d.counts["on_time"] for d in days) / asked, 3),
        "runner_s": round(statistics.mean(d.on_demand_s for d in days), 1),
    }


def _plot(
    firsts: typing.Mapping[tuple[str, float], model.Day], path: str
) -> None:
    """Runners by kind and what was needed, one panel a rule and load."""
    import matplotlib

    matplotlib.use("svg")
    from matplotlib import figure

    page = figure.Figure(figsize=(12, 14), layout="constrained")
    panels = page.subplots(len(RULES), len(LOADS))
    for row, name in enumerate(RULES):
        for column, load in enumerate(LOADS):
            _panel(panels[row][column], name, load, firsts[name, load])
    page.savefig(path)


def _panel(panel: typing.Any, name: str, load: float, day: model.Day) -> None:
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
