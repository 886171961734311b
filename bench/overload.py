"""Compares admission control with a FIFO queue and fixed limits.

``python -m bench overload [--seconds N]`` offers 1, 2 and 5 times the capacity
of the runners, twice the capacity while one runner is degraded, and a flood of
requests by one customer. It prints one JSON line for each load and admission
policy ("way"): requests a second whose first token came within the target,
the share of such requests for each customer and service class, and the time
until a refusal.
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

from . import _admission_policies
from . import engine_model

#: Requests a second that the runners can serve.
CAPACITY_PER_S = 12.0
TICK_INTERVAL_S = 0.1
#: Requests that arrive before this time are not measured.
WARM_UP_S = 15.0
#: Simulated time after the last arrival, in seconds.
DRAIN_S = 30.0
#: Slots of the degraded runner.
DEGRADED_SLOTS = 4
#: Number of offers whose duration is measured.
MEASURED_OFFERS = 20_000
#: Weight of each customer.
WEIGHTS = {"alfa": 2.0, "beira": 1.0, "cinta": 1.0, "dogma": 1.0}
#: Demand of each customer, as a share of the capacity, when "dogma" floods.
FLOOD_DEMAND = {"alfa": 0.2, "beira": 0.1, "cinta": 0.1, "dogma": 5.0}


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
                1,
                _admission_policies.RUNNERS,
                _admission_policies.SLOTS,
                "machine",
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
    """A request and its outcome."""

    __slots__ = ("ticket", "job", "admitted", "refusal_s", "first_token_s")

    def __init__(
        self, ticket: admission.Ticket, job: engine_model.Job
    ) -> None:
        self.ticket = ticket
        self.job = job
        self.admitted = False
        #: Time from arrival to the refusal.
        self.refusal_s: float | None = None
        #: Time from arrival to the first token.
        self.first_token_s: float | None = None

    @property
    def is_good(self) -> bool:
        """Whether the first token arrived within the target."""
        target = CATALOGUE.classes[self.ticket.service_class].first_token_s
        return self.first_token_s is not None and self.first_token_s <= target


class AdmissionSimulation:
    """Simulates one admission policy under one load.

    :param way: name of the admission policy.
    :param demand: demand of each customer as a share of the capacity.
    :param seconds: time during which requests arrive.
    :param degraded: whether a runner loses most of its slots after the
        warm-up.
    """

    def __init__(
        self,
        way: str,
        demand: dict[str, float],
        seconds: float,
        seed: int = 1,
        degraded: bool = False,
    ) -> None:
        self._events = engine_model.EventQueue()
        self._rng = random.Random(seed)
        self._seconds = seconds
        self._requests: dict[str, Request] = {}
        self._policies = [
            self._make_policy(way, vm) for vm in range(_admission_policies.VMS)
        ]
        totals = engine_model.Totals()
        self._engines = [
            engine_model.Engine(self._events, _runner(n), 4000, totals)
            for n in range(_admission_policies.RUNNERS)
        ]
        self._in_flight_by_engine = [0] * _admission_policies.RUNNERS
        for customer, share in demand.items():
            self._schedule_arrivals(customer, share * CAPACITY_PER_S)
        self._events.schedule_every(TICK_INTERVAL_S, self._tick)
        if degraded:
            self._events.schedule_at(WARM_UP_S, self._degrade_runner)

    def run(self) -> dict[str, typing.Any]:
        """Run the simulation and measure requests after the warm-up."""
        self._events.run(self._seconds + DRAIN_S)
        measured = [
            request
            for request in self._requests.values()
            if request.ticket.arrived >= WARM_UP_S
        ]
        span_s = self._seconds - WARM_UP_S
        good_requests = [request for request in measured if request.is_good]
        tokens = collections.Counter(
            {c: _sum_tokens(good_requests, c) for c in WEIGHTS}
        )
        refusals_s = sorted(
            r.refusal_s for r in measured if r.refusal_s is not None
        )
        answered = [r for r in measured if r.first_token_s is not None]
        first_tokens_s = sorted(r.first_token_s or 0.0 for r in answered)
        return {
            "offered_per_s": round(len(measured) / span_s, 2),
            "good_per_s": round(len(good_requests) / span_s, 2),
            "good_tokens_per_s": round(sum(tokens.values()) / span_s),
            "admitted_within_target": round(
                len(good_requests) / max(1, len(answered)), 3
            ),
            "first_token_p95_s": round(
                first_tokens_s[int(0.95 * len(first_tokens_s))], 3
            ),
            "token_shares": {
                c: round(n / max(1, sum(tokens.values())), 3)
                for c, n in sorted(tokens.items())
            },
            "good_part": {c: _good_share(measured, c) for c in WEIGHTS},
            "good_part_by_class": {
                c: _good_share_of_class(measured, c) for c in CATALOGUE.classes
            },
            "refusal_p95_s": (
                round(refusals_s[int(0.95 * len(refusals_s))], 3)
                if refusals_s
                else None
            ),
        }

    def _make_policy(
        self, way: str, vm: int
    ) -> _admission_policies.AdmissionPolicy:
        if way == "fifo":
            return _admission_policies.FifoQueue()
        if way in _admission_policies.FIXED_LIMITS:
            return _admission_policies.FixedLimit(
                _admission_policies.FIXED_LIMITS[way]
            )
        controller = admission.AdmissionController(
            self._events.clock, random.Random(vm), f"vm{vm}"
        )
        controller.configure(CATALOGUE)
        controller.set_members(
            [f"vm{n}" for n in range(_admission_policies.VMS)]
        )
        controller.set_pool(
            "pool",
            _admission_policies.RUNNERS * _admission_policies.SLOTS,
            1.0,
        )
        return controller

    def _schedule_arrivals(self, customer: str, per_s: float) -> None:
        at = 0.0
        while at < self._seconds:
            at += self._rng.expovariate(per_s)
            entry = "desk" if self._rng.random() < 0.5 else "draft"
            prompt_tokens = self._rng.randint(200, 2000)
            answer_tokens = self._rng.randint(50, 200)
            service_class = CATALOGUE.classes[entry]
            ticket = admission.Ticket(
                f"{customer}/{len(self._requests)}",
                customer,
                entry,
                entry,
                prompt_tokens + answer_tokens,
                at,
                at + service_class.deadline_s,
            )
            job = engine_model.Job((), (), prompt_tokens, answer_tokens)
            self._requests[ticket.request_id] = Request(ticket, job)
            vm = self._rng.randrange(_admission_policies.VMS)
            self._events.schedule_at(
                at, functools.partial(self._arrive, vm, ticket)
            )

    def _arrive(self, vm: int, ticket: admission.Ticket) -> None:
        self._apply_verdicts(vm, self._policies[vm].offer(ticket))

    def _tick(self) -> None:
        for vm, policy in enumerate(self._policies):
            self._apply_verdicts(vm, policy.tick())

    def _apply_verdicts(
        self, vm: int, verdicts: list[admission.Verdict]
    ) -> None:
        for verdict in verdicts:
            request = self._requests[verdict.request_id]
            if isinstance(verdict, admission.Admitted):
                self._send(vm, request)
            else:
                now = self._events.clock.now()
                request.refusal_s = now - request.ticket.arrived

    def _send(self, vm: int, request: Request) -> None:
        request_id = request.ticket.request_id
        engine_index = min(
            range(_admission_policies.RUNNERS), key=self._occupancy
        )
        self._in_flight_by_engine[engine_index] += 1

        def on_first() -> None:
            now = self._events.clock.now()
            request.first_token_s = now - request.ticket.arrived
            self._policies[vm].first_token(request_id)

        def on_end() -> None:
            self._in_flight_by_engine[engine_index] -= 1
            done = models.Outcome.DONE
            self._apply_verdicts(
                vm, self._policies[vm].finished(request_id, done)
            )

        request.job.on_first_token = on_first
        request.job.on_end = on_end
        self._engines[engine_index].submit(request.job)

    def _occupancy(self, engine_index: int) -> float:
        return (
            self._in_flight_by_engine[engine_index]
            / self._engines[engine_index].runner.slots
        )

    def _degrade_runner(self) -> None:
        """Reduce the slots of one runner without telling the VMs."""
        self._engines[0].runner.slots = DEGRADED_SLOTS


def _sum_tokens(requests: list[Request], customer: str) -> float:
    return sum(
        r.ticket.tokens for r in requests if r.ticket.customer == customer
    )


def _good_share(requests: list[Request], customer: str) -> float:
    selected = [r for r in requests if r.ticket.customer == customer]
    return round(sum(r.is_good for r in selected) / max(1, len(selected)), 3)


def _good_share_of_class(requests: list[Request], name: str) -> float:
    selected = [r for r in requests if r.ticket.service_class == name]
    return round(sum(r.is_good for r in selected) / max(1, len(selected)), 3)


def _runner(number: int) -> models.Runner:
    return models.Runner(
        f"runner{number}",
        f"127.0.0.1:{number}",
        "a",
        "pool",
        "reclaimable",
        "machine",
        1.0,
        _admission_policies.SLOTS,
    )


def loads() -> dict[str, dict[str, float]]:
    """Demand of each customer as a share of the capacity, by load."""
    even = {customer: 1 / len(WEIGHTS) for customer in WEIGHTS}
    scaled = {
        f"{factor}x": {c: share * factor for c, share in even.items()}
        for factor in (1, 2, 5)
    }
    return {**scaled, "2x_degraded": scaled["2x"], "flood": FLOOD_DEMAND}


def _measure_offers(customers: int) -> dict[str, typing.Any]:
    """Measure the time of one offer to an overloaded controller."""
    clock = clocks.ManualClock()
    controller = admission.AdmissionController(clock, random.Random(1), "vm0")
    controller.configure(CATALOGUE)
    controller.set_pool(
        "pool", _admission_policies.RUNNERS * _admission_policies.SLOTS, 1.0
    )
    durations_s = []
    running: collections.deque[str] = collections.deque()
    for number in range(MEASURED_OFFERS):
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
        verdicts = controller.offer(ticket)
        durations_s.append(time.perf_counter() - start)
        if number % 50 == 0:
            verdicts += controller.tick()
        if number % 20 == 0 and running:
            verdicts += controller.finished(
                running.popleft(), models.Outcome.DONE
            )
        running.extend(
            verdict.request_id
            for verdict in verdicts
            if isinstance(verdict, admission.Admitted)
        )
    durations_s.sort()
    return {
        "trial": "offer",
        "customers": customers,
        "mean_us": round(1e6 * statistics.mean(durations_s), 1),
        "p99_us": round(1e6 * durations_s[int(0.99 * len(durations_s))], 1),
    }


def _mean_by_key(values: list[typing.Any]) -> typing.Any:
    """Average results, each key on its own, and ignore missing values."""
    if isinstance(values[0], dict):
        return {k: _mean_by_key([v[k] for v in values]) for k in values[0]}
    present = [value for value in values if value is not None]
    return round(statistics.mean(present), 3) if present else None


def run(arguments: list[str]) -> int:
    """Run the trials and print their results.

    :param arguments: command-line arguments.
    :returns: the exit code.
    """
    parser = argparse.ArgumentParser(prog="bench overload")
    parser.add_argument("--seconds", type=float, default=75.0)
    parser.add_argument("--seeds", type=int, default=3)
    options = parser.parse_args(arguments)
    for load, demand in loads().items():
        for way in ("ours", "fifo", *_admission_policies.FIXED_LIMITS):
            results = [
                AdmissionSimulation(
                    way, demand, options.seconds, seed, "degraded" in load
                ).run()
                for seed in range(1, options.seeds + 1)
            ]
            result = _mean_by_key(results)
            row = {"load": load, "way": way, **result}
            print(json.dumps(row), flush=True)
    for customers in (5, 200):
        print(json.dumps(_measure_offers(customers)), flush=True)
    return 0
