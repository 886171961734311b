"""Simulates routing policies for a plain service with stale load reports.

Many VMs with few calls each share few runners, and calls are shorter than the
delay of load reports. The reference, ``one_queue``, sends each call to the
runner with the lowest current load, which no real fleet knows.
"""

import argparse
import collections
import heapq
import itertools
import json
import math
import random
import typing

from apricotlever import clock as clocks
from apricotlever.runners import model as models
from apricotlever.runners import routing

#: Mean call rate and the relative amplitude of its sine wave. At the peak,
#: two runners are close to saturation.
MEAN_CALLS_PER_S = 93.0
RATE_AMPLITUDE = 0.42
RATE_PERIOD_S = 40.0
#: Calls that arrive at the same time.
BURST_CALLS = 3
RUNNER_COUNT = 2
SLOTS_PER_RUNNER = 6
QUEUE_LIMIT = 24
#: Log-normal service time: mean and sigma, then the share of slow calls and
#: the factor by which they take longer.
MEAN_SERVICE_S = 0.09
SERVICE_SIGMA = 0.5
SLOW_SHARE = 0.01
SLOW_FACTOR = 5.0
LATENCY_OBJECTIVE_S = 0.414
REPORT_INTERVAL_S = 0.1
MAX_ATTEMPTS = 3
POOL = "service"


class _Runner:
    """A runner with a number of slots and a FIFO queue."""

    def __init__(self, name: str) -> None:
        self.name = name
        self.running = 0
        self.queue: collections.deque[typing.Callable[[], None]] = (
            collections.deque()
        )

    @property
    def load(self) -> int:
        """Calls running or queued."""
        return self.running + len(self.queue)


class Fleet:
    """Simulates VMs, runners and callers on a virtual clock.

    :param policy: name of a routing policy, or ``one_queue``.
    :param report_age_s: delay from the measurement of loads to their arrival.
    :param calls_per_s: mean call rate.
    """

    def __init__(
        self,
        policy: str,
        vms: int,
        report_age_s: float,
        seed: int,
        calls_per_s: float,
    ) -> None:
        self._policy = policy
        self._calls_per_s = calls_per_s
        self._rng = random.Random(seed)
        self._clock = clocks.ManualClock()
        self._report_age_s = report_age_s
        self._events: list[tuple[float, int, typing.Callable[[], None]]] = []
        self._sequence = itertools.count()
        self._runners = {
            f"r{n}": _Runner(f"r{n}") for n in range(RUNNER_COUNT)
        }
        self._reports: collections.deque[tuple[float, dict[str, int]]] = (
            collections.deque()
        )
        router_policy = "home_or_faster" if policy == "one_queue" else policy
        self._vms = [
            routing.Router(
                self._clock,
                random.Random(f"{seed} {n}"),
                f"vm-{n}",
                f"dc-{n % RUNNER_COUNT}",
                router_policy,
            )
            for n in range(vms)
        ]
        for vm in self._vms:
            vm.set_runners(
                models.Runner(
                    name,
                    "h:1",
                    f"dc-{n}",
                    POOL,
                    "m",
                    "",
                    1.0,
                    SLOTS_PER_RUNNER,
                )
                for n, name in enumerate(self._runners)
            )
        self.latencies_s: list[float] = []
        self.rejections = 0
        self.refused = 0

    def run(self, seconds: float) -> None:
        """Run the simulation for a period of virtual time."""
        end = self._clock.now() + seconds
        self._schedule(0.0, self._arrive_burst)
        self._schedule(0.0, self._report_loads)
        while self._events and self._events[0][0] <= end:
            at, _, action = heapq.heappop(self._events)
            self._clock.advance(at - self._clock.now())
            action()

    def _schedule(self, s: float, action: typing.Callable[[], None]) -> None:
        at = self._clock.now() + s
        heapq.heappush(self._events, (at, next(self._sequence), action))

    def _arrive_burst(self) -> None:
        now = self._clock.now()
        wave = 1.0 + RATE_AMPLITUDE * math.sin(
            2.0 * math.pi * now / RATE_PERIOD_S
        )
        self._schedule(
            self._rng.expovariate(self._calls_per_s * wave / BURST_CALLS),
            self._arrive_burst,
        )
        for _ in range(BURST_CALLS):
            self._send(self._rng.choice(self._vms), now, frozenset())

    def _report_loads(self) -> None:
        now = self._clock.now()
        loads = {name: r.load for name, r in self._runners.items()}
        self._reports.append((now, loads))
        latest = None
        while (
            self._reports and self._reports[0][0] <= now - self._report_age_s
        ):
            latest = self._reports.popleft()
        if latest is not None:
            for vm in self._vms:
                for name, load in latest[1].items():
                    vm.observe_peer_load(
                        name, load, self._report_age_s, SLOTS_PER_RUNNER, 0
                    )
        self._schedule(REPORT_INTERVAL_S, self._report_loads)

    def _send(
        self, vm: routing.Router, arrived_at: float, tried: frozenset[str]
    ) -> None:
        query = models.Query(
            "r",
            POOL,
            "",
            excluded=tried,
            wanted_first_token_s=LATENCY_OBJECTIVE_S,
        )
        choice = vm.choose(query)
        if isinstance(choice, models.NoRunner):
            self.refused += 1
            return
        name = choice.runner.name
        if self._policy == "one_queue":
            name = min(self._runners.values(), key=lambda r: r.load).name
        runner = self._runners[name]
        if runner.load >= SLOTS_PER_RUNNER + QUEUE_LIMIT:
            self.rejections += 1
            if len(tried) + 1 < min(MAX_ATTEMPTS, RUNNER_COUNT):
                self._send(vm, arrived_at, tried | {name})
            else:
                self.refused += 1
            return
        call = str(next(self._sequence))
        vm.started(call, name, query)
        service_s = self._rng.lognormvariate(
            math.log(MEAN_SERVICE_S) - SERVICE_SIGMA**2 / 2.0, SERVICE_SIGMA
        )
        if self._rng.random() < SLOW_SHARE:
            service_s *= SLOW_FACTOR

        def finish() -> None:
            vm.first_token(call)
            vm.finished(call, models.Outcome.DONE)
            self.latencies_s.append(self._clock.now() - arrived_at)
            runner.running -= 1
            if runner.queue:
                runner.queue.popleft()()

        def start() -> None:
            runner.running += 1
            self._schedule(service_s, finish)

        if runner.running < SLOTS_PER_RUNNER:
            start()
        else:
            runner.queue.append(start)


def simulate(
    policy: str,
    vms: int,
    report_age_s: float,
    seed: int,
    calls_per_s: float = MEAN_CALLS_PER_S,
) -> dict[str, typing.Any]:
    """Simulate one minute.

    :returns: the parameters, with call counts, latency percentiles, and late
        and refused calls as shares of all calls.
    """
    fleet = Fleet(policy, vms, report_age_s, seed, calls_per_s)
    fleet.run(60.0)
    latencies = sorted(fleet.latencies_s)
    late = sum(t > LATENCY_OBJECTIVE_S for t in latencies)
    calls = len(latencies) + fleet.refused
    return {
        "way": policy,
        "vms": vms,
        "news_age_s": report_age_s,
        "seed": seed,
        "calls": calls,
        "late": round(late / calls, 4),
        "refused": round(fleet.refused / calls, 4),
        "turned_away": fleet.rejections,
        "p50_s": round(latencies[len(latencies) // 2], 3),
        "p99_s": round(latencies[int(0.99 * len(latencies))], 3),
    }


def run(arguments: list[str]) -> int:
    """Print a result line for each policy, fleet size and seed."""
    parser = argparse.ArgumentParser(prog="bench plain_service")
    parser.add_argument("--seeds", type=int, default=3)
    parser.add_argument(
        "--ways", default="home_or_faster,random,least_in_flight,one_queue"
    )
    parser.add_argument("--vms", default="7,71")
    options = parser.parse_args(arguments)
    for policy, vms, seed in itertools.product(
        options.ways.split(","),
        map(int, options.vms.split(",")),
        range(1, options.seeds + 1),
    ):
        age_s = 0.15 if vms < 25 else 0.3
        print(json.dumps(simulate(policy, vms, age_s, seed)), flush=True)
    return 0
