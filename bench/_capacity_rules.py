"""Naive rules for buying runners, as a baseline for the planner."""

import collections
import itertools
import math
import typing

from apricotlever import clock as clocks
from apricotlever.data_centres import capacity_planner
from apricotlever.data_centres import demand_forecast
from apricotlever.data_centres import model
from apricotlever.data_centres import price_table
from apricotlever.data_centres import sizing

SURPLUS_HOLD_S = 300.0
RULES: dict[str, type["Rule"]] = {}


def register_rule(name: str) -> typing.Callable[[type["Rule"]], type["Rule"]]:
    """Register a naive rule under its name in the output."""

    def register(cls: type["Rule"]) -> type["Rule"]:
        RULES[name] = cls
        return cls

    return register


class Rule:
    """Sizes the pool as the planner does; subclasses choose where to buy.

    :param extra_factor: the factor by which the number of runners that the
        demand needs is multiplied.
    """

    def __init__(
        self,
        clock: clocks.Clock,
        policy: capacity_planner.CapacityPolicy,
        prices: price_table.PriceTable,
        extra_factor: float,
    ) -> None:
        self._clock = clock
        self._policy = policy
        self._prices = prices
        self._extra_factor = extra_factor
        self._forecast = demand_forecast.DemandForecast(
            clock, capacity_planner.RUNNER_START_S
        )
        self._tokens = itertools.count()
        self._surplus_since: float | None = None

    def choose_place(self, held: collections.Counter) -> model.Place:
        """Choose where to buy the next runner.

        :param held: the number of runners held in each place.
        """
        raise NotImplementedError

    def tick(
        self, demand: model.Demand, holdings: list[model.HeldRunner]
    ) -> list[model.PlannerAction]:
        """Decide what to buy, load and release, as the planner does."""
        self._forecast.observe(demand.requests_per_s)
        staying = [
            each
            for each in holdings
            if each.state != model.RunnerState.LEAVING
        ]
        needed = sizing.runners_needed(
            model.Demand(
                self._forecast.predicted_rate(),
                demand.service_s,
                demand.wait_s,
            ),
            self._policy.slots_per_runner,
        )
        needed = max(
            self._policy.min_runners, math.ceil(self._extra_factor * needed)
        )
        loads: list[model.PlannerAction] = [
            model.LoadModel(each.vm)
            for each in staying
            if each.state == model.RunnerState.LIVE and not each.loaded
        ]
        return loads + self._resize(staying, needed)

    def record_grant(self, token: str, vm: str) -> None:
        """Ignored: the naive rules keep no record of their orders."""

    def record_refusal(self, token: str) -> None:
        """Ignored: a missing runner is ordered again at the next tick."""

    def _resize(
        self, staying: list[model.HeldRunner], needed: int
    ) -> list[model.PlannerAction]:
        held = collections.Counter(each.place for each in staying)
        actions: list[model.PlannerAction] = []
        for _ in range(needed - len(staying)):
            place = self.choose_place(held)
            held[place] += 1
            actions.append(model.Buy(f"naive-{next(self._tokens)}", place))
        if len(staying) <= needed:
            self._surplus_since = None
            return actions
        now = self._clock.now()
        if self._surplus_since is None:
            self._surplus_since = now
        if now - self._surplus_since < SURPLUS_HOLD_S:
            return actions
        most_expensive = max(
            (each for each in staying if each.loaded),
            key=lambda each: self._prices.price_per_hour(each.place) or 0.0,
            default=None,
        )
        return [model.Release(most_expensive.vm)] if most_expensive else []

    def _cheapest(self, places: typing.Iterable[model.Place]) -> model.Place:
        return min(
            places, key=lambda each: self._prices.price_per_hour(each) or 0.0
        )


@register_rule("on_demand")
class OnDemand(Rule):
    """Buys on-demand VMs only, in the cheapest data centre."""

    def choose_place(self, held: collections.Counter) -> model.Place:
        places = self._prices.places(self._policy.machine)
        return self._cheapest(
            each for each in places if each.market == model.Market.ON_DEMAND
        )


@register_rule("cheapest")
class Cheapest(Rule):
    """Buys in the place with the lowest current price."""

    def choose_place(self, held: collections.Counter) -> model.Place:
        return self._cheapest(self._prices.places(self._policy.machine))


@register_rule("even_spread")
class EvenSpread(Rule):
    """Buys reclaimable VMs, equally many in each data centre."""

    def choose_place(self, held: collections.Counter) -> model.Place:
        places = self._prices.places(self._policy.machine)
        return min(
            (each for each in places if each.market != "on_demand"),
            key=lambda each: (held[each], each),
        )
