"""Routing policies against each other on an analytic model of runners.

``python -m bench routing [--seconds N] [--seeds N]`` prints one JSON line
for each workload and policy: hit rate, recomputed tokens, first tokens and
cost, averaged over the seeds, and one line with the time that one choice
takes at 50 runners.
"""

import argparse
import functools
import json
import random
import statistics
import time
import typing

from apricotlever import clock as clocks
from apricotlever.runners import model as models
from apricotlever.runners import policies
from apricotlever.runners import routing

from . import engine_model
from . import workloads

VMS = 7
SLOTS = 16
CACHE_BLOCKS = 3000
LOAD_LAG_S = 2.0
EVENTS_LAG_S = 1.5
EVENTS_LOST = 0.2
POLL_S = 0.5
DRAIN_S = 60.0
WARM_UP_S = 20.0
PRICES = (1.0, 1.2, 1.5)
CHOICES = 2000

Mix = typing.Callable[
    [random.Random, float, float, int], list[workloads.Arrival]
]


class Workload:
    """One user's requests and runners."""

    __slots__ = ("name", "mix", "runners", "per_s")

    def __init__(
        self, name: str, mix: Mix, runners: int, per_s: float
    ) -> None:
        self.name = name
        self.mix = mix
        self.runners = runners
        self.per_s = per_s


WORKLOADS = (
    Workload("mandates", workloads.mandates, 9, 26.0),
    Workload("mandates_busy", workloads.mandates, 9, 40.0),
    Workload("chats", workloads.chats, 5, 12.0),
    Workload("chats_busy", workloads.chats, 5, 18.0),
)


class _Trial:
    """One policy on one workload with one seed."""

    def __init__(
        self, workload: Workload, policy: str, seed: int, seconds: float
    ) -> None:
        self._events = engine_model.Events()
        self._totals = engine_model.Totals()
        self._rng = random.Random(seed)
        self._first: list[tuple[float, float]] = []
        self._seconds = seconds
        self._unanswered: dict[str, float] = {}
        self._next_event: dict[tuple[int, str], int] = {}
        runners = [
            _runner(n, workload.runners) for n in range(workload.runners)
        ]
        self._engines = {
            runner.name: engine_model.Engine(
                self._events, runner, CACHE_BLOCKS, self._totals
            )
            for runner in runners
        }
        self._routers = [
            routing.Router(
                self._events.clock,
                random.Random(seed * 100 + vm),
                f"vm{vm}",
                "a",
                policy,
            )
            for vm in range(VMS)
        ]
        for router in self._routers:
            router.set_runners(runners)
        arrivals = workload.mix(
            random.Random(seed), seconds, workload.per_s, VMS
        )
        for number, arrival in enumerate(arrivals):
            self._events.at(
                arrival.at, functools.partial(self._arrive, number, arrival)
            )
        self._events.every(POLL_S, self._poll)

    def run(self) -> dict[str, float]:
        """Run it and measure."""
        self._events.run(self._seconds + DRAIN_S)
        totals = self._totals
        self._first += [
            (self._events.clock.now() - sent_at, 0.0)
            for sent_at in self._unanswered.values()
        ]
        waits = sorted(wait for wait, _ in self._first)
        met = sum(wait <= target for wait, target in self._first)
        return {
            "requests": len(waits),
            "unanswered": len(self._unanswered),
            "hit_rate": totals.cached_tokens / totals.prompt_tokens,
            "recomputed_tokens": totals.recomputed_tokens,
            "first_token_p50_s": waits[len(waits) // 2],
            "first_token_p95_s": waits[int(0.95 * len(waits))],
            "within_target": met / len(waits),
            "cost": totals.cost,
            "cost_per_1000_within_target": 1000 * totals.cost / max(1, met),
        }

    def _arrive(self, number: int, arrival: workloads.Arrival) -> None:
        router = self._routers[arrival.vm]
        job = arrival.job
        query = models.Query(
            "entry",
            "pool",
            "model",
            job.blocks,
            job.tokens,
            job.answer,
            5,
            frozenset(),
            arrival.target_s,
        )
        route = router.choose(query)
        assert isinstance(route, models.Route)
        name = str(number)
        sent_at = self._events.clock.now()
        if sent_at >= WARM_UP_S:
            self._unanswered[name] = sent_at

        def on_first() -> None:
            router.first_token(name)
            if self._unanswered.pop(name, None) is not None:
                wait_s = self._events.clock.now() - sent_at
                self._first.append((wait_s, arrival.target_s))

        def on_end() -> None:
            router.request_finished(name, models.Outcome.DONE, job.answer)

        job.on_first = on_first
        job.on_end = on_end
        router.request_started(name, route.runner.name, query)
        self._engines[route.runner.name].submit(job)

    def _poll(self) -> None:
        for vm, router in enumerate(self._routers):
            for name, engine in self._engines.items():
                router.observe_load(name, engine.load(LOAD_LAG_S))
                after = self._next_event.get((vm, name), 0)
                lost = functools.partial(_lost, name)
                answer = engine.cache_events(after, EVENTS_LAG_S, lost)
                self._next_event[vm, name] = max(after, answer.last + 1)
                router.observe_cache(name, answer)


def _lost(runner: str, seq: int) -> bool:
    return random.Random(f"{runner} {seq}").random() < EVENTS_LOST


def _runner(number: int, count: int) -> models.Runner:
    place = number * len(PRICES) // count
    return models.Runner(
        f"runner{number}",
        f"127.0.0.1:{number}",
        f"dc{place}",
        "pool",
        "reclaimable",
        "machine",
        PRICES[place],
        SLOTS,
    )


def _measure(workload: Workload, policy: str, seeds: int, seconds: float):
    results = [
        _Trial(workload, policy, seed, seconds).run()
        for seed in range(1, seeds + 1)
    ]
    averages = {
        name: round(statistics.mean(r[name] for r in results), 4)
        for name in results[0]
    }
    return {"workload": workload.name, "policy": policy, **averages}


def _choice_us(runners: int) -> dict[str, typing.Any]:
    """The time of one choice, with requests ending all the while."""
    clock = clocks.ManualClock()
    router = routing.Router(clock, random.Random(1), "vm0", "a")
    router.set_runners([_runner(n, runners) for n in range(runners)])
    arrivals = workloads.mandates(random.Random(1), CHOICES / 26.0, 26.0, 1)
    spent = []
    for number, arrival in enumerate(arrivals):
        job = arrival.job
        query = models.Query(
            "entry", "pool", "model", job.blocks, job.tokens, job.answer
        )
        start = time.perf_counter()
        route = router.choose(query)
        spent.append(time.perf_counter() - start)
        assert isinstance(route, models.Route)
        router.request_started(str(number), route.runner.name, query)
        clock.advance(1 / 26.0)
        router.first_token(str(number - 30))
        router.request_finished(
            str(number - 30), models.Outcome.DONE, job.answer
        )
    spent.sort()
    return {
        "runners": runners,
        "choices": len(spent),
        "choose_mean_us": round(1e6 * statistics.mean(spent), 1),
        "choose_p99_us": round(1e6 * spent[int(0.99 * len(spent))], 1),
    }


def run(arguments: list[str]) -> int:
    """Run the trials.

    :param arguments: of the command line.
    :returns: the exit code.
    """
    parser = argparse.ArgumentParser(prog="bench routing")
    parser.add_argument("--seconds", type=float, default=90.0)
    parser.add_argument("--seeds", type=int, default=2)
    parser.add_argument(
        "--policies", nargs="*", default=policies.policy_names()
    )
    parser.add_argument("--workloads", nargs="*", default=[])
    options = parser.parse_args(arguments)
    for workload in WORKLOADS:
        if options.workloads and workload.name not in options.workloads:
            continue
        for policy in options.policies:
            line = _measure(workload, policy, options.seeds, options.seconds)
            print(json.dumps(line), flush=True)
    print(json.dumps(_choice_us(50)), flush=True)
    return 0
