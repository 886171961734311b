"""Comparison of routing policies on an analytic model of runners.

``python -m bench routing [--seconds N] [--seeds N]`` prints one JSON line
for each workload and policy with the cache hit rate, recomputed tokens, times
to the first token and cost, averaged over the seeds; and one line with the
time to choose one of 50 runners.
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
from apricotlever.runners import performance as performances
from apricotlever.runners import policies
from apricotlever.runners import routing
from apricotlever.vms import shared_samples

from . import engine_model
from . import workloads

VMS = 7
SLOTS_PER_RUNNER = 16
CACHE_BLOCKS_PER_RUNNER = 3000
LOAD_LAG_S = 2.0
EVENTS_LAG_S = 1.5
EVENT_LOSS_FRACTION = 0.2
POLL_S = 0.5
DRAIN_S = 60.0
WARM_UP_S = 20.0
PRICES = (1.0, 1.2, 1.5)
MEASURED_CHOICES = 2000
#: The policy whose routers share what they learn of the runners' speed.
SHARING_POLICY = "expected_time"
SAMPLES_INTERVAL_S = 1.0

Generator = typing.Callable[
    [random.Random, float, float, int], list[workloads.Arrival]
]


class Workload:
    """Requests of one user and the runners that serve them.

    :param generate: generates the requests.
    :param runners: number of runners.
    :param requests_per_s: mean rate of arrivals.
    """

    __slots__ = ("name", "generate", "runners", "requests_per_s")

    def __init__(
        self,
        name: str,
        generate: Generator,
        runners: int,
        requests_per_s: float,
    ) -> None:
        self.name = name
        self.generate = generate
        self.runners = runners
        self.requests_per_s = requests_per_s


WORKLOADS = (
    Workload("mandates", workloads.mandates, 9, 26.0),
    Workload("mandates_busy", workloads.mandates, 9, 40.0),
    Workload("chats", workloads.chats, 5, 12.0),
    Workload("chats_busy", workloads.chats, 5, 18.0),
)


class _Trial:
    """Simulates one policy on one workload with one seed."""

    def __init__(
        self, workload: Workload, policy: str, seed: int, seconds: float
    ) -> None:
        self._events = engine_model.EventQueue()
        self._totals = engine_model.Totals()
        self._rng = random.Random(seed)
        self._first_token_waits: list[tuple[float, float]] = []
        self._seconds = seconds
        self._unanswered: dict[str, float] = {}
        self._next_event: dict[tuple[int, str], int] = {}
        runners = [
            _runner(n, workload.runners) for n in range(workload.runners)
        ]
        self._engines = {
            runner.name: engine_model.Engine(
                self._events, runner, CACHE_BLOCKS_PER_RUNNER, self._totals
            )
            for runner in runners
        }
        self._performances = [
            performances.RunnerPerformance(self._events.clock)
            for _ in range(VMS)
        ]
        for learned in self._performances:
            learned.keep_only({runner.name: "pool" for runner in runners})
        shares = policy == SHARING_POLICY
        self._routers = [
            routing.Router(
                self._events.clock,
                random.Random(seed * 100 + vm),
                f"vm{vm}",
                "a",
                policy,
                self._performances[vm] if shares else None,
            )
            for vm in range(VMS)
        ]
        for router in self._routers:
            router.set_runners(runners)
        arrivals = workload.generate(
            random.Random(seed), seconds, workload.requests_per_s, VMS
        )
        for number, arrival in enumerate(arrivals):
            self._events.schedule_at(
                arrival.at, functools.partial(self._arrive, number, arrival)
            )
        self._events.schedule_every(POLL_S, self._poll)
        self._events.schedule_every(SAMPLES_INTERVAL_S, self._exchange)

    def run(self) -> dict[str, float]:
        """Run the simulation and return its results."""
        self._events.run(self._seconds + DRAIN_S)
        totals = self._totals
        self._first_token_waits += [
            (self._events.clock.now() - sent_at, 0.0)
            for sent_at in self._unanswered.values()
        ]
        waits = sorted(wait for wait, _ in self._first_token_waits)
        within_target = sum(
            wait <= target for wait, target in self._first_token_waits
        )
        return {
            "requests": len(waits),
            "unanswered": len(self._unanswered),
            "hit_rate": totals.cached_tokens / totals.prompt_tokens,
            "recomputed_tokens": totals.recomputed_tokens,
            "first_token_p50_s": waits[len(waits) // 2],
            "first_token_p95_s": waits[int(0.95 * len(waits))],
            "within_target": within_target / len(waits),
            "cost": totals.cost,
            "cost_per_1000_within_target": 1000
            * totals.cost
            / max(1, within_target),
        }

    def _arrive(self, number: int, arrival: workloads.Arrival) -> None:
        router = self._routers[arrival.vm]
        job = arrival.job
        query = models.Query(
            "entry",
            "pool",
            "model",
            job.blocks,
            job.prompt_tokens,
            job.answer_tokens,
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
            if fill <= 1.0:
                learned = self._performances[arrival.vm]
                learned.record_first_event(
                    "pool",
                    route.runner.name,
                    tokens,
                    self._events.clock.now() - sent_at,
                    waiting * learned.latency("pool").token_s,
                    not waiting,
                )
            if self._unanswered.pop(name, None) is not None:
                wait_s = self._events.clock.now() - sent_at
                self._first_token_waits.append((wait_s, arrival.target_s))

        def on_end() -> None:
            router.request_finished(
                name, models.Outcome.DONE, job.answer_tokens
            )

        job.on_first_token = on_first
        job.on_end = on_end
        waiting, fill = router.backlog(route.runner.name)
        tokens = router.request_started(name, route.runner.name, query)
        self._engines[route.runner.name].submit(job)

    def _exchange(self) -> None:
        summed = shared_samples.SampleBuffer()
        for learned in self._performances:
            summed.merge(learned.take_samples())
        samples = summed.take(shared_samples.MAX_KEYS_PER_AGGREGATE)
        for learned in self._performances:
            learned.merge(samples)

    def _poll(self) -> None:
        for vm, router in enumerate(self._routers):
            for name, engine in self._engines.items():
                router.observe_load(name, engine.load(LOAD_LAG_S))
                after = self._next_event.get((vm, name), 0)
                is_lost = functools.partial(_is_lost, name)
                answer = engine.cache_events(after, EVENTS_LAG_S, is_lost)
                self._next_event[vm, name] = max(after, answer.last + 1)
                router.observe_cache(name, answer)


def _is_lost(runner: str, seq: int) -> bool:
    return random.Random(f"{runner} {seq}").random() < EVENT_LOSS_FRACTION


def _runner(number: int, count: int) -> models.Runner:
    data_centre = number * len(PRICES) // count
    return models.Runner(
        f"runner{number}",
        f"127.0.0.1:{number}",
        f"dc{data_centre}",
        "pool",
        "reclaimable",
        "machine",
        PRICES[data_centre],
        SLOTS_PER_RUNNER,
    )


def _measure(workload: Workload, policy: str, seeds: int, seconds: float):
    results = [
        _Trial(workload, policy, seed, seconds).run()
        for seed in range(1, seeds + 1)
    ]
    averages = {
        name: round(statistics.mean(result[name] for result in results), 4)
        for name in results[0]
    }
    return {"workload": workload.name, "policy": policy, **averages}


def _measure_choice(runners: int) -> dict[str, typing.Any]:
    """Measure the time of one choice while requests start and finish."""
    clock = clocks.ManualClock()
    router = routing.Router(clock, random.Random(1), "vm0", "a")
    router.set_runners([_runner(n, runners) for n in range(runners)])
    arrivals = workloads.mandates(
        random.Random(1), MEASURED_CHOICES / 26.0, 26.0, 1
    )
    durations_s = []
    for number, arrival in enumerate(arrivals):
        job = arrival.job
        query = models.Query(
            "entry",
            "pool",
            "model",
            job.blocks,
            job.prompt_tokens,
            job.answer_tokens,
        )
        start = time.perf_counter()
        route = router.choose(query)
        durations_s.append(time.perf_counter() - start)
        assert isinstance(route, models.Route)
        router.request_started(str(number), route.runner.name, query)
        clock.advance(1 / 26.0)
        router.first_token(str(number - 30))
        router.request_finished(
            str(number - 30), models.Outcome.DONE, job.answer_tokens
        )
    durations_s.sort()
    return {
        "runners": runners,
        "choices": len(durations_s),
        "choose_mean_us": round(1e6 * statistics.mean(durations_s), 1),
        "choose_p99_us": round(
            1e6 * durations_s[int(0.99 * len(durations_s))], 1
        ),
    }


def run(arguments: list[str]) -> int:
    """Print the results of each workload and policy.

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
            row = _measure(workload, policy, options.seeds, options.seconds)
            print(json.dumps(row), flush=True)
    print(json.dumps(_measure_choice(50)), flush=True)
    return 0
