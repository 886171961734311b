"""Naive rules that buy runners, to compare the planner with."""

import collections
import itertools
import math
import typing

from apricotlever import clock as clocks
from apricotlever.data_centres import capacity_planner
from apricotlever.data_centres import demand_forecast
from apricotlever.data_centres import model
from apricotlever.data_centres import price_book
from apricotlever.data_centres import sizing

HOLD_S = 300.0
RULES: dict[str, type["Rule"]] = {}


def rule(name: str) -> typing.Callable[[type["Rule"]], type["Rule"]]:
    """Register a naive rule."""

    def register(cls: type["Rule"]) -> type["Rule"]:
        RULES[name] = cls
        return cls

    return register


class Rule:
    """Sizes as the planner does; where to buy is left to each rule.

    :param extra: multiplies the runners that the demand needs.
    """

    def __init__(
        self,
        clock: clocks.Clock,
        policy: capacity_planner.CapacityPolicy,
        book: price_book.PriceBook,
        extra: float,
    ) -> None:
        self._clock = clock
        self._policy = policy
        self._book = book
        self._extra = extra
        self._forecast = demand_forecast.DemandForecast(
            clock, capacity_planner.RUNNER_START_S
        )
        self._tokens = itertools.count()
        self._over_since: float | None = None

    def place(self, held: collections.Counter) -> model.Place:
        """Where to buy the next runner."""
        raise NotImplementedError

    def tick(
        self, demand: model.Demand, holdings: list[model.HeldRunner]
    ) -> list[model.PlannerAction]:
        """Decide as the planner does."""
        self._forecast.observe(demand.requests_per_s)
        counted = [
            each
            for each in holdings
            if each.state != model.RunnerState.LEAVING
        ]
        wanted = sizing.runners_needed(
            model.Demand(
                self._forecast.predicted_rate(),
                demand.service_s,
                demand.wait_s,
            ),
            self._policy.slots_per_runner,
        )
        wanted = max(self._policy.min_runners, math.ceil(self._extra * wanted))
        loads: list[model.PlannerAction] = [
            model.LoadModel(each.vm)
            for each in counted
            if each.state == model.RunnerState.LIVE and not each.loaded
        ]
        return loads + self._change(counted, wanted)

    def record_grant(self, token: str, vm: str) -> None:
        """Nothing to learn."""

    def record_refusal(self, token: str) -> None:
        """Nothing to learn: it is asked again at the next tick."""

    def _change(
        self, counted: list[model.HeldRunner], wanted: int
    ) -> list[model.PlannerAction]:
        held = collections.Counter(each.place for each in counted)
        orders: list[model.PlannerAction] = []
        for _ in range(wanted - len(counted)):
            place = self.place(held)
            held[place] += 1
            orders.append(model.Buy(f"naive-{next(self._tokens)}", place))
        if len(counted) <= wanted:
            self._over_since = None
            return orders
        now = self._clock.now()
        if self._over_since is None:
            self._over_since = now
        if now - self._over_since < HOLD_S:
            return orders
        dearest = max(
            (each for each in counted if each.loaded),
            key=lambda each: self._book.price_per_hour(each.place) or 0.0,
            default=None,
        )
        return [model.Release(dearest.vm)] if dearest else []

    def _cheapest(self, places: typing.Iterable[model.Place]) -> model.Place:
        return min(
            places, key=lambda each: self._book.price_per_hour(each) or 0.0
        )


@rule("on_demand")
class OnDemand(Rule):
    """Buys on demand only, where that is cheapest."""

    def place(self, held: collections.Counter) -> model.Place:
        places = self._book.places(self._policy.machine)
        return self._cheapest(
            each for each in places if each.market == model.Market.ON_DEMAND
        )


@rule("cheapest")
class Cheapest(Rule):
    """Buys whatever is cheapest now."""

    def place(self, held: collections.Counter) -> model.Place:
        return self._cheapest(self._book.places(self._policy.machine))


@rule("even_spread")
class EvenSpread(Rule):
    """Buys reclaimable VMs, as many in each data centre."""

    def place(self, held: collections.Counter) -> model.Place:
        places = self._book.places(self._policy.machine)
        return min(
            (each for each in places if each.market != "on_demand"),
            key=lambda each: (held[each], each),
        )
