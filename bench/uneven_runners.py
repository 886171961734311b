"""Placement by many VMs on runners of uneven speed, on a manual clock.

``python -m bench uneven_runners [--vms N] [--load F] [--seconds S] [--seeds N]
[--speeds uneven|alike|one_slow]`` prints one JSON line for each policy with
the share of first events within their objectives, by size of the prompt, and
each speed's share of the work relative to its share of the speed. ``today``
stands for the policy ``home_or_faster`` with estimates that each VM learns
alone.
"""

import argparse
import collections
import functools
import json
import math
import random
import statistics
import typing

from apricotlever.runners import model as models
from apricotlever.runners import performance as performances
from apricotlever.runners import prefix
from apricotlever.runners import routing
from apricotlever.vms import shared_samples

from . import engine_model

RUNNERS = 45
SLOTS = 32
TOKENS_PER_S = 38_400.0
BASE_S = 0.053
EVENT_S = 0.008
#: Moments in which a runner is slower: by how much, for how long in seconds,
#: and for which share of the time.
MOMENT_FACTOR = 2.5
MOMENT_S = 0.3
MOMENT_SHARE = 0.15
WARM_UP_S = 8.0
#: Times between a VM's news, their greatest age, and times between exchanges
#: of samples, in seconds.
NEWS_INTERVAL_S = 0.2
MAX_NEWS_AGE_S = 1.0
SAMPLES_INTERVAL_S = 1.0
DATA_CENTRES = 3
PREFIXES = 24
SHARED_TOKENS = 6300
SPEEDS: dict[str, tuple[float, ...]] = {
    "uneven": (0.6, 1.0, 1.6) * (RUNNERS // 3),
    "alike": (1.0,) * RUNNERS,
    "one_slow": (0.2,) + (1.0,) * (RUNNERS - 1),
}
#: Policies that are compared, and whether they use the shared performance.
POLICIES = {
    "expected_time": ("expected_time", True),
    "today": ("home_or_faster", False),
    "least_in_flight": ("least_in_flight", False),
}


class Route(typing.NamedTuple):
    """Calls of one kind.

    :param own_tokens: mean tokens that a prompt shares with no other.
    :param shared_tokens: tokens that it shares with others.
    :param max_tokens: limit of its own tokens.
    """

    name: str
    per_s: float
    objective_s: float
    own_tokens: float
    shared_tokens: int
    max_tokens: int
    events: int


ROUTES = (
    Route("middle", 105.0, 0.62, 2368.0, 0, 8000, 20),
    Route("long", 86.0, 0.84, 2890.0, SHARED_TOKENS, 39_600, 20),
    Route("short", 65.0, 0.515, 715.0, 0, 1999, 70),
)


class _Engine:
    """A runner that prefills prompts one after the other.

    Times are computed when a call arrives, as nothing passes it later.
    """

    def __init__(self, rng: random.Random, speed: float, calm: bool) -> None:
        self._rng = rng
        self.speed = speed
        self._free_at = 0.0
        self._slots = [0.0] * SLOTS
        self._calm = calm
        self._moment_from = math.inf if calm else self._next_moment(0.0)
        self._prefixes: set[int] = set()
        self.work = 0.0

    def submit(
        self, now: float, tokens: int, prefix_id: int | None, events: int
    ) -> tuple[float, float]:
        """Take a call.

        :returns: the times of its first and its last event.
        """
        if prefix_id in self._prefixes:
            tokens -= SHARED_TOKENS
        elif prefix_id is not None:
            self._prefixes.add(prefix_id)
        self.work += tokens
        slot = min(range(SLOTS), key=self._slots.__getitem__)
        begin = max(now, self._slots[slot], self._free_at)
        seconds = tokens / TOKENS_PER_S / self.speed
        self._free_at = begin + seconds * self._factor(begin)
        first = self._free_at + BASE_S / self.speed * self._factor(now)
        last = first + events * EVENT_S / self.speed * self._factor(first)
        self._slots[slot] = last
        return first, last

    def _next_moment(self, after: float) -> float:
        mean_s = MOMENT_S * (1 - MOMENT_SHARE) / MOMENT_SHARE
        return after + self._rng.expovariate(1 / mean_s)

    def _factor(self, at: float) -> float:
        while at >= self._moment_from + MOMENT_S:
            self._moment_from = self._next_moment(self._moment_from + MOMENT_S)
        return MOMENT_FACTOR if at >= self._moment_from else 1.0


class Trial:
    """One fleet under one policy.

    :param load: multiple of the calls of :data:`ROUTES`.
    :param calm: whether the runners have no moments of slowness.
    """

    def __init__(
        self,
        policy: str,
        speeds: typing.Sequence[float],
        vms: int = 83,
        load: float = 1.0,
        seed: int = 1,
        calm: bool = False,
    ) -> None:
        self._events = engine_model.EventQueue()
        self._rng = random.Random(seed)
        name, shares = POLICIES[policy]
        clock = self._events.clock
        self._start = clock.now()
        runners = [
            models.Runner(
                f"runner{n}",
                f"127.0.0.1:{n}",
                f"dc{n // DATA_CENTRES % DATA_CENTRES}",
                "pool",
                "on_demand",
                "",
                1.0,
                SLOTS,
            )
            for n in range(len(speeds))
        ]
        self.engines = {
            runner.name: _Engine(random.Random(f"{seed} {n}"), speeds[n], calm)
            for n, runner in enumerate(runners)
        }
        self.performances = [
            performances.RunnerPerformance(clock) for _ in range(vms)
        ]
        self._routers = []
        for vm, learned in enumerate(self.performances):
            learned.keep_only({runner.name: "pool" for runner in runners})
            router = routing.Router(
                clock,
                random.Random(seed * 1000 + vm),
                f"vm{vm}",
                f"dc{vm % DATA_CENTRES}",
                name,
                learned if shares else None,
            )
            router.set_runners(runners)
            self._routers.append(router)
        #: First events within their objective, and all, by size of the prompt.
        self.within: collections.Counter[str] = collections.Counter()
        self.total: collections.Counter[str] = collections.Counter()
        self.calls: collections.Counter[str] = collections.Counter()
        self._load = load
        self._number = 0
        self._snapshots: collections.deque[
            list[tuple[dict[str, int], dict[str, int]]]
        ] = collections.deque(maxlen=round(MAX_NEWS_AGE_S / NEWS_INTERVAL_S))
        self._sums: collections.deque[tuple[collections.Counter[str], ...]] = (
            collections.deque(maxlen=self._snapshots.maxlen)
        )
        self._shares = shares

    def run(self, seconds: float) -> None:
        """Simulate calls, and count those after the warm-up."""
        for route in ROUTES:
            self._schedule(route, self._start + seconds)
        self._events.schedule_every(NEWS_INTERVAL_S, self._tell)
        if self._shares:
            self._events.schedule_every(SAMPLES_INTERVAL_S, self._exchange)
        self._events.run(seconds + 10.0)

    def results(self) -> dict[str, typing.Any]:
        """The share within the objectives, and the work by speed."""
        by_speed: dict[float, list[float]] = {}
        for engine in self.engines.values():
            by_speed.setdefault(engine.speed, []).append(engine.work)
        total = sum(map(sum, by_speed.values()))
        speeds = sum(engine.speed for engine in self.engines.values())
        return {
            "within": {
                size: round(self.within[size] / count, 4)
                for size, count in sorted(self.total.items())
            },
            "within_all": round(
                sum(self.within.values()) / sum(self.total.values()), 4
            ),
            "work_to_speed": {
                str(speed): round(
                    sum(work) / total / (speed * len(work) / speeds), 3
                )
                for speed, work in sorted(by_speed.items())
            },
            "busiest_to_mean": round(self.busiest_to_mean(), 3),
        }

    def busiest_to_mean(self) -> float:
        """The calls at the busiest runner, of those of the greatest speed."""
        fastest = max(engine.speed for engine in self.engines.values())
        counts = [
            self.calls[name]
            for name, engine in self.engines.items()
            if engine.speed == fastest
        ]
        return max(counts) / statistics.mean(counts)

    def _schedule(self, route: Route, until: float) -> None:
        gap_s = self._rng.expovariate(route.per_s * self._load)
        at = self._events.clock.now() + gap_s
        if at < until:
            self._events.schedule_at(
                at - self._start,
                functools.partial(self._arrive, route, until),
            )

    def _arrive(self, route: Route, until: float) -> None:
        self._schedule(route, until)
        rng, now = self._rng, self._events.clock.now()
        own = (
            min(
                route.max_tokens,
                int(rng.lognormvariate(0, 1) * route.own_tokens / 1.65),
            )
            + 16
        )
        prefix_id = rng.randrange(PREFIXES) if route.shared_tokens else None
        blocks = (
            ()
            if prefix_id is None
            else prefix.part_block_hashes([(str(prefix_id), SHARED_TOKENS)])
        )
        query = models.Query(
            route.name,
            "pool",
            "",
            blocks,
            own + route.shared_tokens,
            0,
            wanted_first_token_s=route.objective_s,
            shared_blocks=len(blocks),
        )
        vm = rng.randrange(len(self._routers))
        router, learned = self._routers[vm], self.performances[vm]
        found = router.choose(query)
        assert isinstance(found, models.Route)
        runner = found.runner.name
        self._number += 1
        call = str(self._number)
        waiting, fill = router.backlog(runner)
        tokens = router.request_started(call, runner, query)
        self.calls[runner] += 1
        first, last = self.engines[runner].submit(
            now, query.prompt_tokens, prefix_id, route.events
        )
        if now - self._start >= WARM_UP_S:
            size = "longest" if own > 8000 else route.name
            self.total[size] += 1
            self.within[size] += first - now <= route.objective_s

        def on_first() -> None:
            router.first_token(call)
            if self._shares and fill <= 1.0:
                learned.record_first_event(
                    "pool",
                    runner,
                    tokens,
                    first - now,
                    waiting * learned.latency("pool").token_s,
                    not waiting,
                )

        def on_end() -> None:
            router.request_finished(call, models.Outcome.DONE)

        self._events.schedule_at(first - self._start, on_first)
        self._events.schedule_at(last - self._start, on_end)

    def _tell(self) -> None:
        """Tell each VM what was true up to a second ago."""
        names = list(self.engines)
        self._snapshots.append(
            [
                (
                    router.pending_tokens(),
                    {
                        name: count
                        for name in names
                        if (count := router.own_in_flight(name))
                    },
                )
                for router in self._routers
            ]
        )
        self._sums.append(
            tuple(
                sum(
                    (
                        collections.Counter(each[i])
                        for each in self._snapshots[-1]
                    ),
                    collections.Counter(),
                )
                for i in range(2)
            )
        )
        sums = self._sums
        for vm, router in enumerate(self._routers):
            age = vm % len(sums)
            pending, in_flight = sums[-1 - age]
            own_pending, own_in_flight = self._snapshots[-1 - age][vm]
            router.observe_pending(
                {n: pending[n] - own_pending.get(n, 0) for n in names}
            )
            for name in names:
                others = in_flight[name] - own_in_flight.get(name, 0)
                total = others + router.own_in_flight(name)
                router.observe_load(
                    name, models.LoadReport(total, 0, SLOTS, 0, 10_000)
                )

    def _exchange(self) -> None:
        """Exchange samples; in large fleets, by an aggregator's sums."""
        summed = shared_samples.SampleBuffer()
        for learned in self.performances:
            summed.merge(learned.take_samples())
        samples = summed.take(shared_samples.MAX_KEYS_PER_AGGREGATE)
        for learned in self.performances:
            learned.merge(samples)


def run(arguments: list[str]) -> int:
    """Print the results of each policy.

    :param arguments: of the command line.
    :returns: the exit code.
    """
    parser = argparse.ArgumentParser(prog="bench uneven_runners")
    parser.add_argument("--vms", type=int, default=83)
    parser.add_argument("--load", type=float, default=1.0)
    parser.add_argument("--seconds", type=float, default=30.0)
    parser.add_argument("--seeds", type=int, default=1)
    parser.add_argument("--speeds", choices=list(SPEEDS), default="uneven")
    options = parser.parse_args(arguments)
    for seed in range(1, options.seeds + 1):
        for policy in POLICIES:
            trial = Trial(
                policy,
                SPEEDS[options.speeds],
                options.vms,
                options.load,
                seed,
            )
            trial.run(options.seconds)
            row = {
                "policy": policy,
                "seed": seed,
                "vms": options.vms,
                "load": options.load,
                "speeds": options.speeds,
                **trial.results(),
            }
            print(json.dumps(row), flush=True)
    return 0
