"""Admission under overload, against a FIFO queue and a fixed limit.

``python -m bench overload [--seconds N]`` offers 1, 2 and 5 times what the
runners can do, and once a flood by one customer, and prints one JSON line
for each load and way: requests answered within their target each second,
each customer's part of them, shed by class, and how long a refusal took.
"""

import argparse
import collections
import functools
import json
import random
import statistics
import time
import typing

from apricotlever.catalogue import model as catalogue_model
from apricotlever import clock as clocks
from apricotlever.contracts import admission
from apricotlever.runners import model as models

from . import _overload_ways
from . import engine_model

CAPACITY_PER_S = 12.0
TICK_S = 0.1
WARM_UP_S = 15.0
DRAIN_S = 30.0
DEGRADED_SLOTS = 4
OFFERS = 20_000
WEIGHTS = {"alfa": 2.0, "beira": 1.0, "cinta": 1.0, "dogma": 1.0}
FLOOD = {"alfa": 0.2, "beira": 0.1, "cinta": 0.1, "dogma": 5.0}


def _catalogue() -> catalogue_model.Catalogue:
    classes = {
        "desk": catalogue_model.ServiceClass(
            "desk", 0.8, 0.067, 30.0, 1.0, 1, 8
        ),
        "draft": catalogue_model.ServiceClass(
            "draft", 1.2, 0.067, 60.0, 2.0, 5, 3
        ),
    }
    entries = {
        name: catalogue_model.Entry(
            name,
            "owner",
            "model",
            name,
            "model",
            "1",
            "pool",
            (),
            None,
            catalogue_model.Limits(),
            catalogue_model.Capacity(
                1, _overload_ways.RUNNERS, _overload_ways.SLOTS, "machine"
            ),
        )
        for name in classes
    }
    customers = {
        name: catalogue_model.Customer(name, "", weight)
        for name, weight in WEIGHTS.items()
    }
    return catalogue_model.Catalogue(1, entries, classes, customers)


CATALOGUE = _catalogue()


class Request:
    """One request and what became of it."""

    __slots__ = ("ticket", "job", "admitted", "refused", "first_s")

    def __init__(
        self, ticket: admission.Ticket, job: engine_model.Job
    ) -> None:
        self.ticket = ticket
        self.job = job
        self.admitted = False
        self.refused: float | None = None
        self.first_s: float | None = None

    @property
    def good(self) -> bool:
        """Whether the first token came within the target."""
        target = CATALOGUE.classes[self.ticket.service_class].first_token_s
        return self.first_s is not None and self.first_s <= target


class Trial:
    """One way under one load.

    :param demand: of each customer, as part of the capacity.
    :param degraded: whether a runner loses most of its slots on the way.
    """

    def __init__(
        self,
        way: str,
        demand: dict[str, float],
        seconds: float,
        seed: int = 1,
        degraded: bool = False,
    ) -> None:
        self._events = engine_model.Events()
        self._rng = random.Random(seed)
        self._seconds = seconds
        self._requests: dict[str, Request] = {}
        self._ways = [self._make(way, vm) for vm in range(_overload_ways.VMS)]
        totals = engine_model.Totals()
        self._engines = [
            engine_model.Engine(self._events, _runner(n), 4000, totals)
            for n in range(_overload_ways.RUNNERS)
        ]
        self._loads = [0] * _overload_ways.RUNNERS
        for customer, part in demand.items():
            self._plan(customer, part * CAPACITY_PER_S)
        self._events.every(TICK_S, self._tick)
        if degraded:
            self._events.at(WARM_UP_S, self._degrade)

    def run(self) -> dict[str, typing.Any]:
        """Run it and measure after the warm-up."""
        self._events.run(self._seconds + DRAIN_S)
        seen = [
            request
            for request in self._requests.values()
            if request.ticket.arrived >= WARM_UP_S
        ]
        span_s = self._seconds - WARM_UP_S
        good = [request for request in seen if request.good]
        tokens = collections.Counter({c: _tokens(good, c) for c in WEIGHTS})
        refused = sorted(r.refused for r in seen if r.refused is not None)
        admitted = [r for r in seen if r.first_s is not None]
        waits = sorted(r.first_s or 0.0 for r in admitted)
        return {
            "offered_per_s": round(len(seen) / span_s, 2),
            "good_per_s": round(len(good) / span_s, 2),
            "good_tokens_per_s": round(sum(tokens.values()) / span_s),
            "admitted_within_target": round(
                len(good) / max(1, len(admitted)), 3
            ),
            "first_token_p95_s": round(waits[int(0.95 * len(waits))], 3),
            "token_shares": {
                c: round(n / max(1, sum(tokens.values())), 3)
                for c, n in sorted(tokens.items())
            },
            "good_part": {c: _part(seen, c) for c in WEIGHTS},
            "good_part_by_class": {
                c: _class_part(seen, c) for c in CATALOGUE.classes
            },
            "refusal_p95_s": (
                round(refused[int(0.95 * len(refused))], 3)
                if refused
                else None
            ),
        }

    def _make(self, way: str, vm: int) -> _overload_ways.Way:
        if way == "fifo":
            return _overload_ways.Fifo()
        if way in _overload_ways.FIXED_LIMITS:
            return _overload_ways.Fixed(_overload_ways.FIXED_LIMITS[way])
        ours = admission.AdmissionController(
            self._events.clock, random.Random(vm), f"vm{vm}"
        )
        ours.configure(CATALOGUE)
        ours.set_members([f"vm{n}" for n in range(_overload_ways.VMS)])
        ours.set_pool(
            "pool", _overload_ways.RUNNERS * _overload_ways.SLOTS, 1.0
        )
        return ours

    def _plan(self, customer: str, per_s: float) -> None:
        at = 0.0
        while at < self._seconds:
            at += self._rng.expovariate(per_s)
            entry = "desk" if self._rng.random() < 0.5 else "draft"
            tokens = self._rng.randint(200, 2000)
            answer = self._rng.randint(50, 200)
            service_class = CATALOGUE.classes[entry]
            ticket = admission.Ticket(
                f"{customer}/{len(self._requests)}",
                customer,
                entry,
                entry,
                tokens + answer,
                at,
                at + service_class.deadline_s,
            )
            job = engine_model.Job((), (), tokens, answer)
            self._requests[ticket.request_id] = Request(ticket, job)
            vm = self._rng.randrange(_overload_ways.VMS)
            self._events.at(at, functools.partial(self._arrive, vm, ticket))

    def _arrive(self, vm: int, ticket: admission.Ticket) -> None:
        self._apply(vm, self._ways[vm].offer(ticket))

    def _tick(self) -> None:
        for vm, way in enumerate(self._ways):
            self._apply(vm, way.tick())

    def _apply(self, vm: int, verdicts: list[admission.Verdict]) -> None:
        for verdict in verdicts:
            request = self._requests[verdict.request_id]
            if isinstance(verdict, admission.Admitted):
                self._send(vm, request)
            else:
                now = self._events.clock.now()
                request.refused = now - request.ticket.arrived

    def _send(self, vm: int, request: Request) -> None:
        name = request.ticket.request_id
        place = min(range(_overload_ways.RUNNERS), key=self._fill)
        self._loads[place] += 1

        def on_first() -> None:
            now = self._events.clock.now()
            request.first_s = now - request.ticket.arrived
            self._ways[vm].first_token(name)

        def on_end() -> None:
            self._loads[place] -= 1
            done = models.Outcome.DONE
            self._apply(vm, self._ways[vm].finished(name, done))

        request.job.on_first = on_first
        request.job.on_end = on_end
        self._engines[place].submit(request.job)

    def _fill(self, place: int) -> float:
        return self._loads[place] / self._engines[place].runner.slots

    def _degrade(self) -> None:
        """One runner can do less from now on, and nobody is told."""
        self._engines[0].runner.slots = DEGRADED_SLOTS


def _tokens(requests: list[Request], customer: str) -> float:
    return sum(
        r.ticket.tokens for r in requests if r.ticket.customer == customer
    )


def _part(requests: list[Request], customer: str) -> float:
    own = [r for r in requests if r.ticket.customer == customer]
    return round(sum(r.good for r in own) / max(1, len(own)), 3)


def _class_part(requests: list[Request], name: str) -> float:
    own = [r for r in requests if r.ticket.service_class == name]
    return round(sum(r.good for r in own) / max(1, len(own)), 3)


def _runner(number: int) -> models.Runner:
    return models.Runner(
        f"runner{number}",
        f"127.0.0.1:{number}",
        "a",
        "pool",
        "reclaimable",
        "machine",
        1.0,
        _overload_ways.SLOTS,
    )


def loads() -> dict[str, dict[str, float]]:
    """Each customer's demand, as part of the capacity, by load."""
    even = {customer: 1 / len(WEIGHTS) for customer in WEIGHTS}
    scaled = {
        f"{factor}x": {c: part * factor for c, part in even.items()}
        for factor in (1, 2, 5)
    }
    return {**scaled, "2x_degraded": scaled["2x"], "flood": FLOOD}


def _offer_us(customers: int) -> dict[str, typing.Any]:
    """The processor time of one offer while the desk is flooded."""
    clock = clocks.ManualClock()
    desk = admission.AdmissionController(clock, random.Random(1), "vm0")
    desk.configure(CATALOGUE)
    desk.set_pool("pool", _overload_ways.RUNNERS * _overload_ways.SLOTS, 1.0)
    spent = []
    running: collections.deque[str] = collections.deque()
    for number in range(OFFERS):
        clock.advance(0.002)
        now = clock.now()
        ticket = admission.Ticket(
            str(number),
            f"customer{number % customers}",
            "desk",
            "desk",
            500.0,
            now,
            now + 30.0,
        )
        start = time.perf_counter()
        verdicts = desk.offer(ticket)
        spent.append(time.perf_counter() - start)
        if number % 50 == 0:
            verdicts += desk.tick()
        if number % 20 == 0 and running:
            verdicts += desk.finished(running.popleft(), models.Outcome.DONE)
        running.extend(
            verdict.request_id
            for verdict in verdicts
            if isinstance(verdict, admission.Admitted)
        )
    spent.sort()
    return {
        "trial": "offer",
        "customers": customers,
        "mean_us": round(1e6 * statistics.mean(spent), 1),
        "p99_us": round(1e6 * spent[int(0.99 * len(spent))], 1),
    }


def _mean(values: list[typing.Any]) -> typing.Any:
    """Averages, member by member."""
    if isinstance(values[0], dict):
        return {k: _mean([v[k] for v in values]) for k in values[0]}
    known = [value for value in values if value is not None]
    return round(statistics.mean(known), 3) if known else None


def run(arguments: list[str]) -> int:
    """Run the trials.

    :param arguments: of the command line.
    :returns: the exit code.
    """
    parser = argparse.ArgumentParser(prog="bench overload")
    parser.add_argument("--seconds", type=float, default=75.0)
    parser.add_argument("--seeds", type=int, default=3)
    options = parser.parse_args(arguments)
    for load, demand in loads().items():
        for way in ("ours", "fifo", *_overload_ways.FIXED_LIMITS):
            results = [
                Trial(
                    way, demand, options.seconds, seed, "degraded" in load
                ).run()
                for seed in range(1, options.seeds + 1)
            ]
            result = _mean(results)
            line = {"load": load, "way": way, **result}
            print(json.dumps(line), flush=True)
    for customers in (5, 200):
        print(json.dumps(_offer_us(customers)), flush=True)
    return 0
