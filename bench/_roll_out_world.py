"""Simulates a roll-out on a virtual clock: callers, runners and VMs.

Only a few VMs are simulated; each stands for those that receive the same
updates at the same time. Fleet-wide counts arrive with the propagation delay
of a fleet of the given size.
"""

import collections
import heapq
import itertools
import math
import random
import typing

from apricotlever import clock as clocks
from apricotlever.roll_outs import controller as controllers
from apricotlever.roll_outs import model
from apricotlever.roll_outs import samples

SERVICE = "service"
NEW = "v2"
TICK_S = 0.1
#: Propagation delay of the fleet-wide counts, in seconds, by number of VMs.
PROPAGATION_S = {7: 0.25, 70: 0.7, 195: 1.0}
#: Upper limit on the number of simulated VMs.
SIMULATED_VMS = 5
#: Start-up time of the new runners after the order, in seconds.
BOOT_S = 4.0
#: Bad answers that start the time limit for the rollback.
BAD_ANSWERS = 50
#: Standard deviation of the logarithm of response times.
SPREAD = 0.6
#: Relative slowdown for each concurrent call at the same runner.
SLOWDOWN_PER_CALL = 0.08


class Route:
    """One kind of call.

    :param weight: share of all calls.
    :param first_s: mean time to the first byte.
    :param whole_s: mean time to the last byte.
    :param failure_rate: of a good version.
    """

    __slots__ = ("name", "weight", "first_s", "whole_s", "failure_rate")

    def __init__(
        self,
        name: str,
        weight: float,
        first_s: float,
        whole_s: float,
        failure_rate: float,
    ) -> None:
        self.name = name
        self.weight = weight
        self.first_s = first_s
        self.whole_s = whole_s
        self.failure_rate = failure_rate


#: Streaming calls to model runners.
STREAMS = (
    Route("long", 0.35, 0.25, 0.5, 0.003),
    Route("short", 0.43, 0.09, 0.2, 0.003),
    Route("chat", 0.22, 0.06, 1.6, 0.003),
)
#: Calls to a plain service.
LOOKUPS = (
    Route("record", 0.8, 0.065, 0.065, 0.004),
    Route("status", 0.2, 0.065, 0.065, 0.14),
)


class Fault:
    """A defect of a version.

    :param failure_rate: additional failure rate.
    :param factor: by which response times are multiplied.
    :param starts_at: share of the duration after which it takes effect.
    :param least_in_flight: concurrent calls at a runner that trigger it.
    :param one_route: whether it affects the last route only.
    """

    __slots__ = (
        "failure_rate",
        "factor",
        "starts_at",
        "least_in_flight",
        "one_route",
    )

    def __init__(
        self,
        failure_rate: float = 0.0,
        factor: float = 1.0,
        starts_at: float = 0.0,
        least_in_flight: int = 0,
        one_route: bool = False,
    ) -> None:
        self.failure_rate = failure_rate
        self.factor = factor
        self.starts_at = starts_at
        self.least_in_flight = least_in_flight
        self.one_route = one_route

    @property
    def bad(self) -> bool:
        """Whether the version is defective."""
        return self.failure_rate > 0.0 or self.factor > 1.0

    def shows(self, elapsed: float, in_flight: int, is_last: bool) -> bool:
        """Whether the defect affects a call.

        :param elapsed: share of the duration that has passed.
        :param in_flight: concurrent calls at the runner.
        :param is_last: whether the call is on the last route.
        """
        return (
            self.bad
            and elapsed >= self.starts_at
            and in_flight >= self.least_in_flight
            and (is_last or not self.one_route)
        )


class Load:
    """Size and load of a deployment.

    :param routes: kinds of calls; one-route faults affect the last.
    :param per_s: calls a second.
    :param runners: number of runners of each version.
    """

    __slots__ = ("vms", "routes", "per_s", "runners", "duration_s")

    def __init__(
        self,
        vms: int,
        routes: tuple[Route, ...],
        per_s: float,
        runners: int,
        duration_s: float,
    ) -> None:
        self.vms = vms
        self.routes = routes
        self.per_s = per_s
        self.runners = runners
        self.duration_s = duration_s


class Participant(typing.Protocol):
    """Interface of a roll-out controller on one VM."""

    @property
    def orders(self) -> list[model.RollOutOrder]:
        """Orders to send to the other VMs."""

    def merge_order(self, order: model.RollOutOrder) -> bool:
        """Merge an order."""

    def set_runners(self, runners: typing.Iterable[typing.Any]) -> None:
        """Replace the list of runners."""

    def role(self, runner: typing.Any) -> model.RunnerRole:
        """The role of a runner in the roll-out."""

    def should_use_new_version(
        self, service: str, route: str, is_retry: bool = False
    ) -> bool:
        """Whether the next call goes to the new version."""

    def record_sent(
        self, runner: typing.Any, route: str
    ) -> samples.Sample | None:
        """Register a call; returns the sample that counts it."""

    def update_fleet_counts(self, told: samples.Records, summed: bool) -> None:
        """Update the fleet-wide counts."""

    def tick(self) -> bool:
        """Evaluate the new version."""

    def due_results(
        self, in_flight: typing.Callable[[frozenset[str]], int]
    ) -> list[controllers.Result]:
        """Results that the lease holder has to write."""

    @property
    def own_samples(self) -> samples.Records:
        """Counts of this VM."""


class _Runner:
    __slots__ = ("runner_id", "service", "version", "leaving", "calls")

    def __init__(self, runner_id: str, version: str) -> None:
        self.runner_id = runner_id
        self.service = SERVICE
        self.version = version
        self.leaving = False
        self.calls = 0


class Outcome:
    """Outcome of a simulated roll-out.

    :param state: final state; None if none was written.
    :param took_s: from the order until the final state.
    :param exposed: calls sent to the new version.
    :param allowed: calls that a bad version may receive.
    :param late_calls: calls sent to it after the rollback time limit.
    :param cut_calls: calls in flight at old runners when these stopped.
    """

    __slots__ = (
        "state",
        "took_s",
        "exposed",
        "allowed",
        "late_calls",
        "cut_calls",
    )

    def __init__(self) -> None:
        self.state: model.RollOutState | None = None
        self.took_s = 0.0
        self.exposed = 0
        self.allowed = 0.0
        self.late_calls = 0
        self.cut_calls = 0


class Simulation:
    """Simulates one roll-out from the order to its time limit.

    :param make_participant: creates the controller of one VM.
    """

    def __init__(
        self,
        load: Load,
        fault: Fault,
        bounds: model.RollOutLimits,
        make_participant: typing.Callable[
            [clocks.Clock, random.Random, model.RollOutLimits], Participant
        ],
        seed: int,
    ) -> None:
        self._load = load
        self._fault = fault
        self._bounds = bounds
        self._rng = random.Random(seed)
        self._clock = clocks.ManualClock()
        self._began = self._clock.now()
        self._vms = [
            make_participant(self._clock, random.Random(f"{seed} {i}"), bounds)
            for i in range(min(SIMULATED_VMS, load.vms))
        ]
        self._old = [_Runner(f"a{i}", "v1") for i in range(load.runners)]
        self._new = [_Runner(f"b{i}", NEW) for i in range(load.runners)]
        self._events: list[tuple[float, int, typing.Callable[[], None]]] = []
        self._event_numbers = itertools.count()
        self._published: collections.deque[tuple[float, samples.Records]] = (
            collections.deque()
        )
        self._bad_answers = 0
        self._calls = 0
        self._rollback_due = math.inf
        self.outcome = Outcome()

    def run(self) -> Outcome:
        """Run the simulation."""
        order = model.RollOutOrder(
            SERVICE, NEW, 1, self._clock.wall(), self._load.duration_s
        )
        for vm in self._vms:
            vm.merge_order(order)
            vm.set_runners(self._old)
        self._schedule(BOOT_S, self._new_runners_ready)
        self._schedule(0.0, self._tick)
        self._schedule(0.0, self._call)
        end = self._began + self._load.duration_s
        while self._events and self._events[0][0] <= end:
            at, _, action = heapq.heappop(self._events)
            self._clock.advance(at - self._clock.now())
            action()
        bounds = self._bounds
        self.outcome.allowed = (
            bounds.exposure_share * self._calls + bounds.exposure_slack
        )
        return self.outcome

    @property
    def _elapsed_s(self) -> float:
        return self._clock.now() - self._began

    def _schedule(
        self, after_s: float, action: typing.Callable[[], None]
    ) -> None:
        at = self._clock.now() + after_s
        number = next(self._event_numbers)
        heapq.heappush(self._events, (at, number, action))

    def _new_runners_ready(self) -> None:
        for vm in self._vms:
            vm.set_runners([*self._old, *self._new])

    def _tick(self) -> None:
        now = self._clock.now()
        self._published.append(
            (now, samples.sum_records(vm.own_samples for vm in self._vms))
        )
        propagation_s = PROPAGATION_S[self._load.vms]
        while (
            len(self._published) > 1
            and self._published[1][0] <= now - propagation_s
        ):
            self._published.popleft()
        if self._published[0][0] <= now - propagation_s:
            for vm in self._vms:
                vm.update_fleet_counts(self._published[0][1], True)
        for vm in self._vms:
            vm.tick()
        for order in [o for vm in self._vms for o in vm.orders]:
            self._schedule(
                propagation_s / 2.0, lambda told=order: self._deliver(told)
            )
        self._write()
        self._schedule(TICK_S, self._tick)

    def _deliver(self, order: model.RollOutOrder) -> None:
        for vm in self._vms:
            vm.merge_order(order)

    def _write(self) -> None:
        for result in self._vms[0].due_results(self._in_flight):
            if result.state.is_final and self.outcome.state is None:
                self.outcome.state = result.state
                self.outcome.took_s = self._elapsed_s
                if result.state is model.RollOutState.COMPLETED:
                    self.outcome.cut_calls = sum(r.calls for r in self._old)
                order = result.order.with_state(result.state)
                self._schedule(0.02, lambda: self._deliver(order))

    def _in_flight(self, names: frozenset[str]) -> int:
        return sum(r.calls for r in self._old if r.runner_id in names)

    def _call(self) -> None:
        self._schedule(self._rng.expovariate(self._load.per_s), self._call)
        vm = self._rng.choice(self._vms)
        routes = self._load.routes
        (route,) = self._rng.choices(routes, [r.weight for r in routes])
        runner = self._choose(vm, route)
        sample = vm.record_sent(runner, route.name)
        self._calls += 1
        is_new = runner.version == NEW
        if is_new:
            self.outcome.exposed += 1
            self.outcome.late_calls += self._clock.now() > self._rollback_due
        runner.calls += 1
        elapsed = self._elapsed_s / self._load.duration_s
        shows = is_new and self._fault.shows(
            elapsed, runner.calls, route is routes[-1]
        )
        failure_rate = route.failure_rate + (
            self._fault.failure_rate if shows else 0.0
        )
        factor = self._fault.factor if shows else 1.0
        factor *= 1.0 + SLOWDOWN_PER_CALL * (runner.calls - 1)
        factor *= self._rng.lognormvariate(0.0, SPREAD)
        fails = self._rng.random() < failure_rate
        bad = fails or shows and self._fault.factor > 1.0
        first_s = route.first_s * factor
        if sample is not None and not fails:
            self._schedule(first_s, lambda: sample.first_byte.add(factor))
        self._schedule(
            first_s if fails else route.whole_s * factor,
            lambda: self._finish_call(
                runner, sample, fails, bad, route, factor
            ),
        )

    def _choose(self, vm: Participant, route: Route) -> _Runner:
        if vm.should_use_new_version(SERVICE, route.name):
            found = [
                r for r in self._new if vm.role(r) is model.RunnerRole.CANARY
            ]
            if found:
                return self._least_loaded(found)
        listed = [
            *self._old,
            *(self._new if self._elapsed_s >= BOOT_S else ()),
        ]
        found = [r for r in listed if vm.role(r) is model.RunnerRole.SERVING]
        return self._least_loaded(found or self._old)

    def _least_loaded(self, found: list[_Runner]) -> _Runner:
        two = [self._rng.choice(found) for _ in range(2)]
        return min(two, key=lambda runner: runner.calls)

    def _finish_call(
        self,
        runner: _Runner,
        sample: samples.Sample | None,
        fails: bool,
        bad: bool,
        route: Route,
        factor: float,
    ) -> None:
        runner.calls -= 1
        if runner.version == NEW and bad:
            self._bad_answers += 1
            if self._bad_answers == BAD_ANSWERS:
                self._rollback_due = (
                    self._clock.now() + self._bounds.rollback_s
                )
        if sample is None:
            return
        sample.ended += 1
        if fails:
            sample.failed += 1
        else:
            sample.last_byte.add(route.whole_s * factor)
