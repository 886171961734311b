"""Levels at contended engines: calls within their objectives by rule and load.

``python -m bench priorities`` prints one JSON line for each load and rule:
the share of calls whose first event came within the objective, by rank and
over all calls, and the lowest share of a customer, relative to that over all.
The rules are the levels that regard the size first (today), ranks alone,
first in first out, ranks before sizes with fair shares in each contention
(strict), and the choice, in which ranks come first only when short prompts
take many of the tokens. The engine is a model (``_priority_engines``).
"""

import argparse
import json
import random
import typing

from apricotlever import clock as clocks
from apricotlever.contracts import call_priorities
from apricotlever.contracts import demand_shares
from apricotlever.runners import engine_priority

from . import _priority_engines as engines

RUNNERS = 8
CUSTOMERS = 16
SECONDS = 30.0
#: Calls per second, objectives and prompts of the deployment; the calls are
#: scaled to the wanted use of the runners.
ROUTES = (
    engines.Route(0, 0.535, 137.0, 2890.0, 6300),
    engines.Route(1, 0.82, 157.0, 2368.0, 0),
    engines.Route(2, 2.0, 44.0, 715.0, 0),
)
#: The customers' sizes, which are also their configured rates.
WEIGHTS = {str(n): 1.0 / (n + 1) for n in range(CUSTOMERS)}
#: Factor on a route's calls or a customer's by load, with its times.
LOADS = ("usual", "burst", "customer", "crash", "outage", "flood")
#: The customer that sends seven times its usual calls.
BUSY_CUSTOMER = 2
MIN_CUSTOMER_CALLS = 50


class _Today:
    """Short prompts first, then the rank."""

    def level(self, call: engines.Call) -> int:
        """The level by :func:`engine_priority.queue_level`."""
        return engine_priority.queue_level(
            None, call.route.rank, call.tokens + call.route.shared
        )

    def observe(self, waiting: dict[str, int], sent: dict[int, int]) -> None:
        """Ignore the load."""


class _Ranks(_Today):
    """The rank alone."""

    def level(self, call: engines.Call) -> int:
        """The rank."""
        return call.route.rank


class _Fifo(_Today):
    """First in, first out."""

    def level(self, call: engines.Call) -> int:
        """The same level for all."""
        return 0


class _Choice(_Today):
    """Ranks and fair shares while the service is contended."""

    def __init__(
        self, clock: clocks.ManualClock, strict: bool = False
    ) -> None:
        self._strict = strict
        self._passing = call_priorities.PassingShare(clock)
        self._plan = engine_priority.LevelPlan([0], [r.rank for r in ROUTES])
        self._contention = call_priorities.ServiceContention(clock)
        self._shares = demand_shares.DemandShares(clock)

    def level(self, call: engines.Call) -> int:
        """The level of the part ``priorities``."""
        self._contention.record_call(call.route.rank, call.route.objective_s)
        whole = call.tokens + call.route.shared
        self._passing.record(
            call.tokens,
            call.route.rank > 0
            and whole < engine_priority.SHORT_PROMPT_TOKENS,
        )
        if not self._contention.contended:
            return super().level(call)
        by_rank = self._strict or self._passing.is_high
        decide = self._plan.level if by_rank else self._plan.level_by_size
        over = str(call.customer) in self._shares.over
        return decide(None, call.route.rank, whole, over)

    def observe(self, waiting: dict[str, int], sent: dict[int, int]) -> None:
        """Apply the load of all VMs."""
        for customer, tokens in sent.items():
            self._shares.add(str(customer), 1, tokens)
        wait_s = call_priorities.mean_wait_s(
            waiting, 1.0 / engines.TOKENS_PER_S, {}
        )
        self._contention.observe_wait(wait_s)
        if self._contention.contended:
            self._shares.update(sum(waiting.values()), WEIGHTS)


RULES: dict[str, typing.Callable[[clocks.ManualClock], engines.Rule]] = {
    "today": lambda clock: _Today(),
    "ranks": lambda clock: _Ranks(),
    "fifo": lambda clock: _Fifo(),
    "strict": lambda clock: _Choice(clock, strict=True),
    "choice": _Choice,
}


def _factor(
    load: str, at: float, route: engines.Route, customer: int
) -> float:
    """The multiple of the usual calls at a time."""
    if load == "burst":
        if route.rank == 2 and 5.0 <= at < 25.0:
            return 2.3
        if route.rank == 0 and 15.0 <= at < 25.0:
            return 1.6
    if load == "flood" and route.rank == 2 and 5.0 <= at < 15.0:
        return 20.0
    if load == "customer" and customer == BUSY_CUSTOMER and 5.0 <= at < 15.0:
        return 7.0
    if load == "outage" and 5.0 <= at < 8.0:
        return 0.0
    if load == "outage" and 8.0 <= at < 10.0:
        # The calls of the outage return within two seconds.
        return 2.5
    return 1.0


def _calls(load: str, use: float, rng: random.Random) -> list[engines.Call]:
    weights = list(WEIGHTS.values())
    tokens_per_s = sum(route.share * route.tokens for route in ROUTES)
    scale = use * RUNNERS * engines.TOKENS_PER_S / tokens_per_s
    calls = []
    for route in ROUTES:
        for customer, weight in enumerate(weights):
            rate = scale * route.share * weight / sum(weights)
            most = 20.0
            at = rng.expovariate(rate * most)
            while at < SECONDS:
                if rng.random() * most < _factor(load, at, route, customer):
                    tokens = 1 + int(
                        min(
                            6.0 * route.tokens,
                            rng.expovariate(1.0 / route.tokens),
                        )
                    )
                    calls.append(engines.Call(at, route, customer, tokens))
                at += rng.expovariate(rate * most)
    return sorted(calls, key=lambda call: call.at)


def _share(calls: typing.Sequence[engines.Call]) -> float:
    return sum(call.in_time for call in calls) / max(1, len(calls))


def measure(load: str, name: str, use: float, seed: int) -> dict[str, float]:
    """Simulate one load under one rule.

    :param use: part of the runners' time that the usual load takes.
    :returns: shares of calls within their objectives.
    """
    rng = random.Random(seed)
    calls = _calls(load, use, rng)
    clock = clocks.ManualClock()
    crash = (5.0, RUNNERS // 4) if load == "crash" else None
    engines.simulate(calls, RULES[name](clock), clock, RUNNERS, crash, rng)
    found = {
        f"rank_{route.rank}": _share([c for c in calls if c.route is route])
        for route in ROUTES
    }
    found["all"] = _share(calls)
    of_customers = [
        [call for call in calls if call.customer == customer]
        for customer in range(CUSTOMERS)
    ]
    found["lowest_customer"] = min(
        _share(own) for own in of_customers if len(own) >= MIN_CUSTOMER_CALLS
    ) / max(1e-9, found["all"])
    found["other_customers"] = _share(
        [call for call in calls if call.customer != BUSY_CUSTOMER]
    )
    return found


def run(arguments: list[str]) -> int:
    """Print the shares for each load and rule."""
    parser = argparse.ArgumentParser("bench priorities")
    parser.add_argument("--use", type=float, default=0.75)
    parser.add_argument("--seeds", type=int, default=3)
    options = parser.parse_args(arguments)
    for load in LOADS:
        for name in RULES:
            runs = [
                measure(load, name, options.use, seed)
                for seed in range(options.seeds)
            ]
            means = {
                key: round(sum(r[key] for r in runs) / len(runs), 3)
                for key in runs[0]
            }
            print(
                json.dumps({"load": load, "rule": name, **means}), flush=True
            )
    return 0
