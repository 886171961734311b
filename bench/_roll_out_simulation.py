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
NEW_VERSION = "v2"
TICK_INTERVAL_S = 0.1
#: Propagation delay of the fleet-wide counts, in seconds, by number of VMs.
PROPAGATION_S = {7: 0.25, 70: 0.7, 195: 1.0}
#: Upper limit on the number of simulated VMs.
SIMULATED_VMS = 5
#: Start-up time of the new runners after the order, in seconds.
BOOT_S = 4.0
#: Number of bad responses after which the time limit for the rollback starts.
BAD_RESPONSE_LIMIT = 50
#: Standard deviation of the logarithm of response times.
RESPONSE_TIME_SIGMA = 0.6
#: Relative slowdown for each concurrent call at the same runner.
SLOWDOWN_PER_CALL = 0.08


class Route:
    """A kind of call.

    :param weight: share of all calls.
    :param first_byte_s: mean time to the first byte.
    :param last_byte_s: mean time to the last byte.
    :param failure_rate: share of calls that fail on a good version.
    """

    __slots__ = (
        "name",
        "weight",
        "first_byte_s",
        "last_byte_s",
        "failure_rate",
    )

    def __init__(
        self,
        name: str,
        weight: float,
        first_byte_s: float,
        last_byte_s: float,
        failure_rate: float,
    ) -> None:
        self.name = name
        self.weight = weight
        self.first_byte_s = first_byte_s
        self.last_byte_s = last_byte_s
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
    :param factor: factor by which response times are multiplied.
    :param starts_at: share of the roll-out's duration after which the defect
        takes effect.
    :param min_in_flight: concurrent calls at a runner that trigger the
        defect.
    :param one_route: whether the defect affects the last route only.
    """

    __slots__ = (
        "failure_rate",
        "factor",
        "starts_at",
        "min_in_flight",
        "one_route",
    )

    def __init__(
        self,
        failure_rate: float = 0.0,
        factor: float = 1.0,
        starts_at: float = 0.0,
        min_in_flight: int = 0,
        one_route: bool = False,
    ) -> None:
        self.failure_rate = failure_rate
        self.factor = factor
        self.starts_at = starts_at
        self.min_in_flight = min_in_flight
        self.one_route = one_route

    @property
    def is_bad(self) -> bool:
        """Whether the version is defective."""
        return self.failure_rate > 0.0 or self.factor > 1.0

    def affects(
        self, elapsed_share: float, in_flight: int, is_last: bool
    ) -> bool:
        """Whether the defect affects a call.

        :param elapsed_share: share of the roll-out's duration that has passed.
        :param in_flight: concurrent calls at the runner.
        :param is_last: whether the call is on the last route.
        """
        return (
            self.is_bad
            and elapsed_share >= self.starts_at
            and in_flight >= self.min_in_flight
            and (is_last or not self.one_route)
        )


class Load:
    """Size and load of a deployment.

    :param routes: kinds of calls; a fault of one route affects the last.
    :param calls_per_s: calls a second.
    :param runners: number of runners of each version.
    """

    __slots__ = ("vms", "routes", "calls_per_s", "runners", "duration_s")

    def __init__(
        self,
        vms: int,
        routes: tuple[Route, ...],
        calls_per_s: float,
        runners: int,
        duration_s: float,
    ) -> None:
        self.vms = vms
        self.routes = routes
        self.calls_per_s = calls_per_s
        self.runners = runners
        self.duration_s = duration_s


class VmController(typing.Protocol):
    """Interface of a roll-out controller on one VM."""

    @property
    def orders(self) -> list[model.RollOutOrder]:
        """Orders to send to the other VMs."""

    def merge_order(self, order: model.RollOutOrder) -> bool:
        """Merge an order."""

    def set_runners(self, runners: typing.Iterable[typing.Any]) -> None:
        """Replace the list of runners."""

    def role(self, runner: typing.Any) -> model.RunnerRole:
        """Return the role of a runner in the roll-out."""

    def should_use_new_version(
        self, service: str, route: str, is_retry: bool = False
    ) -> bool:
        """Decide whether the next call goes to the new version."""

    def record_sent(
        self, runner: typing.Any, route: str
    ) -> samples.Sample | None:
        """Count a call and return the sample that records its outcome."""

    def update_fleet_counts(
        self, records: samples.Records, includes_own: bool
    ) -> None:
        """Update the fleet-wide counts."""

    def tick(self) -> bool:
        """Evaluate the new version."""

    def due_results(
        self, in_flight: typing.Callable[[frozenset[str]], int]
    ) -> list[controllers.Result]:
        """Results that the lease holder has to write to the store."""

    @property
    def own_samples(self) -> samples.Records:
        """Counts of the calls sent by this VM."""


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
    :param decided_after_s: time from the order to the final state, in seconds.
    :param exposed_calls: number of calls sent to the new version.
    :param allowed_calls: number of calls that a bad version may receive.
    :param late_calls: number of calls sent to the new version after the time
        limit for the rollback.
    :param interrupted_calls: number of calls in flight at the old runners when
        these were stopped.
    """

    __slots__ = (
        "state",
        "decided_after_s",
        "exposed_calls",
        "allowed_calls",
        "late_calls",
        "interrupted_calls",
    )

    def __init__(self) -> None:
        self.state: model.RollOutState | None = None
        self.decided_after_s = 0.0
        self.exposed_calls = 0
        self.allowed_calls = 0.0
        self.late_calls = 0
        self.interrupted_calls = 0


class Simulation:
    """Simulates one roll-out from the order to its time limit.

    :param make_controller: creates the roll-out controller of one VM.
    """

    def __init__(
        self,
        load: Load,
        fault: Fault,
        limits: model.RollOutLimits,
        make_controller: typing.Callable[
            [clocks.Clock, random.Random, model.RollOutLimits], VmController
        ],
        seed: int,
    ) -> None:
        self._load = load
        self._fault = fault
        self._limits = limits
        self._rng = random.Random(seed)
        self._clock = clocks.ManualClock()
        self._started_at = self._clock.now()
        self._vms = [
            make_controller(self._clock, random.Random(f"{seed} {i}"), limits)
            for i in range(min(SIMULATED_VMS, load.vms))
        ]
        self._old = [_Runner(f"a{i}", "v1") for i in range(load.runners)]
        self._new = [
            _Runner(f"b{i}", NEW_VERSION) for i in range(load.runners)
        ]
        self._events: list[tuple[float, int, typing.Callable[[], None]]] = []
        self._event_numbers = itertools.count()
        self._published: collections.deque[tuple[float, samples.Records]] = (
            collections.deque()
        )
        self._bad_responses = 0
        self._calls = 0
        self._rollback_due = math.inf
        self.outcome = Outcome()

    def run(self) -> Outcome:
        """Run the simulation."""
        order = model.RollOutOrder(
            SERVICE, NEW_VERSION, 1, self._clock.wall(), self._load.duration_s
        )
        for vm in self._vms:
            vm.merge_order(order)
            vm.set_runners(self._old)
        self._schedule(BOOT_S, self._new_runners_ready)
        self._schedule(0.0, self._tick)
        self._schedule(0.0, self._start_call)
        end = self._started_at + self._load.duration_s
        while self._events and self._events[0][0] <= end:
            at, _, action = heapq.heappop(self._events)
            self._clock.advance(at - self._clock.now())
            action()
        limits = self._limits
        self.outcome.allowed_calls = (
            limits.exposure_share * self._calls + limits.exposure_slack
        )
        return self.outcome

    @property
    def _elapsed_s(self) -> float:
        return self._clock.now() - self._started_at

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
                propagation_s / 2.0,
                lambda sent_order=order: self._deliver(sent_order),
            )
        self._write_results()
        self._schedule(TICK_INTERVAL_S, self._tick)

    def _deliver(self, order: model.RollOutOrder) -> None:
        for vm in self._vms:
            vm.merge_order(order)

    def _write_results(self) -> None:
        for result in self._vms[0].due_results(self._in_flight):
            if result.state.is_final and self.outcome.state is None:
                self.outcome.state = result.state
                self.outcome.decided_after_s = self._elapsed_s
                if result.state is model.RollOutState.COMPLETED:
                    self.outcome.interrupted_calls = sum(
                        r.calls for r in self._old
                    )
                order = result.order.with_state(result.state)
                self._schedule(0.02, lambda: self._deliver(order))

    def _in_flight(self, runner_ids: frozenset[str]) -> int:
        return sum(r.calls for r in self._old if r.runner_id in runner_ids)

    def _start_call(self) -> None:
        self._schedule(
            self._rng.expovariate(self._load.calls_per_s), self._start_call
        )
        vm = self._rng.choice(self._vms)
        routes = self._load.routes
        (route,) = self._rng.choices(routes, [r.weight for r in routes])
        runner = self._choose_runner(vm, route)
        sample = vm.record_sent(runner, route.name)
        self._calls += 1
        is_new = runner.version == NEW_VERSION
        if is_new:
            self.outcome.exposed_calls += 1
            self.outcome.late_calls += self._clock.now() > self._rollback_due
        runner.calls += 1
        elapsed_share = self._elapsed_s / self._load.duration_s
        is_affected = is_new and self._fault.affects(
            elapsed_share, runner.calls, route is routes[-1]
        )
        failure_rate = route.failure_rate + (
            self._fault.failure_rate if is_affected else 0.0
        )
        factor = self._fault.factor if is_affected else 1.0
        factor *= 1.0 + SLOWDOWN_PER_CALL * (runner.calls - 1)
        factor *= self._rng.lognormvariate(0.0, RESPONSE_TIME_SIGMA)
        is_failure = self._rng.random() < failure_rate
        is_bad_response = (
            is_failure or is_affected and self._fault.factor > 1.0
        )
        first_byte_s = route.first_byte_s * factor
        if sample is not None and not is_failure:
            self._schedule(first_byte_s, lambda: sample.first_byte.add(factor))
        self._schedule(
            first_byte_s if is_failure else route.last_byte_s * factor,
            lambda: self._finish_call(
                runner, sample, is_failure, is_bad_response, route, factor
            ),
        )

    def _choose_runner(self, vm: VmController, route: Route) -> _Runner:
        if vm.should_use_new_version(SERVICE, route.name):
            candidates = [
                r for r in self._new if vm.role(r) is model.RunnerRole.CANARY
            ]
            if candidates:
                return self._least_loaded(candidates)
        known_runners = [
            *self._old,
            *(self._new if self._elapsed_s >= BOOT_S else ()),
        ]
        candidates = [
            r for r in known_runners if vm.role(r) is model.RunnerRole.SERVING
        ]
        return self._least_loaded(candidates or self._old)

    def _least_loaded(self, candidates: list[_Runner]) -> _Runner:
        pair = [self._rng.choice(candidates) for _ in range(2)]
        return min(pair, key=lambda runner: runner.calls)

    def _finish_call(
        self,
        runner: _Runner,
        sample: samples.Sample | None,
        is_failure: bool,
        is_bad_response: bool,
        route: Route,
        factor: float,
    ) -> None:
        runner.calls -= 1
        if runner.version == NEW_VERSION and is_bad_response:
            self._bad_responses += 1
            if self._bad_responses == BAD_RESPONSE_LIMIT:
                self._rollback_due = (
                    self._clock.now() + self._limits.rollback_s
                )
        if sample is None:
            return
        sample.ended += 1
        if is_failure:
            sample.failed += 1
        else:
            sample.last_byte.add(route.last_byte_s * factor)
