"""Compares strategies for deciding whether to promote a new version.

Reports for each fault, load and fleet size: good versions rolled back, bad
versions completed, exposure of bad versions relative to the limit, and time
to decision.
"""

import argparse
from concurrent import futures
import itertools
import json
import random
import statistics
import typing

from apricotlever import clock as clocks
from apricotlever.roll_outs import canary_analysis
from apricotlever.roll_outs import controller as controllers
from apricotlever.roll_outs import model
from apricotlever.roll_outs import progress
from apricotlever.roll_outs import samples
from apricotlever.roll_outs import schedule

from bench import _roll_out_simulation as simulation

FAULTS = {
    "none": simulation.Fault(),
    "failures": simulation.Fault(failure_rate=0.25),
    "failures_late": simulation.Fault(failure_rate=0.25, starts_at=0.5),
    "failures_loaded": simulation.Fault(failure_rate=0.4, min_in_flight=3),
    "failures_one_route": simulation.Fault(failure_rate=0.5, one_route=True),
    "slow": simulation.Fault(factor=4.0),
    "slow_late": simulation.Fault(factor=4.0, starts_at=0.5),
    "slow_one_route": simulation.Fault(factor=4.0, one_route=True),
}
#: Routes, calls a second and number of runners of each version.
LOADS = {
    "light": (simulation.LOOKUPS, 18.0, 3),
    "plain": (simulation.LOOKUPS, 85.0, 3),
    "heavy": (simulation.STREAMS, 194.0, 45),
}
#: Fleet sizes in VMs.
FLEET_SIZES = (7, 70, 195)
#: Time limit of a roll-out, in seconds.
DURATION_S = 12.0
_STRATEGIES: dict[str, type[controllers.RollOutController]] = {}


def _strategy(
    name: str,
) -> typing.Callable[
    [type[controllers.RollOutController]], type[controllers.RollOutController]
]:
    """Register a strategy under the name used on the command line."""

    def decorate(
        strategy: type[controllers.RollOutController],
    ) -> type[controllers.RollOutController]:
        _STRATEGIES[name] = strategy
        return strategy

    return decorate


@_strategy("compared")
class _ProductionController(controllers.RollOutController):
    """The roll-out controller of the product."""

    __slots__ = ()


@_strategy("steps")
class _FixedStepsController(controllers.RollOutController):
    """Uses fixed traffic steps and fixed limits."""

    __slots__ = ()

    #: End of each step as a share of the duration, and its share of the calls.
    STEPS = ((0.6, 0.05), (0.75, 0.25), (0.85, 0.5), (1.0, 1.0))
    MAX_FAILURE_RATE = 0.05
    MAX_LATENCY_FACTOR = 2.0
    MIN_CALLS = 20

    def should_use_new_version(
        self, service: str, route: str, is_retry: bool = False
    ) -> bool:
        """Choose the new version with the probability of the current step."""
        roll_out = self._by_service[service]
        if roll_out.order.state is not model.RollOutState.RUNNING:
            return False
        if not roll_out.new_runners:
            return False
        elapsed_share = self._elapsed_s(roll_out) / roll_out.order.duration_s
        share = next(
            (s for until, s in self.STEPS if elapsed_share < until), 1.0
        )
        return self._rng.random() < share

    def tick(self) -> bool:
        """Compare failure rate and latency with the fixed limits."""
        for roll_out in self._running():
            self._update_phase(roll_out)
            new = samples.sum_samples(
                s for k, s in roll_out.fleet_counts.items() if k.runner
            )
            if new.ended < self.MIN_CALLS:
                continue
            rate = new.failed / new.ended
            factor = 2.72**new.first_byte.mean
            if (
                rate > self.MAX_FAILURE_RATE
                or factor > self.MAX_LATENCY_FACTOR
            ):
                self._fail(
                    roll_out,
                    canary_analysis.Finding(
                        "limits", "", rate, 0.0, new.ended
                    ),
                )
        return False

    def _update_phase(self, roll_out: progress.RollOut) -> None:
        """Complete when the old runners are idle, or at the time limit."""
        scheduled_phase = roll_out.schedule.phase(self._elapsed_s(roll_out))
        is_due = scheduled_phase is schedule.Phase.DUE
        phase = schedule.Phase.DUE if is_due else schedule.Phase.TAKE_OVER
        roll_out.phase = phase


@_strategy("time")
class _TimeOnlyController(_FixedStepsController):
    """Uses fixed traffic steps and never rolls back."""

    __slots__ = ()

    def tick(self) -> bool:
        """Advance without evaluating the new version."""
        for roll_out in self._running():
            self._update_phase(roll_out)
        return False


class Case(typing.NamedTuple):
    """Parameters of one simulation."""

    strategy: str
    fault: str
    load: str
    vms: int
    seed: int


def simulate(case: Case) -> simulation.Outcome:
    """Simulate one roll-out."""
    routes, calls_per_s, runners = LOADS[case.load]
    strategy = _STRATEGIES[case.strategy]

    def make_controller(
        clock: clocks.Clock, rng: random.Random, limits: model.RollOutLimits
    ) -> simulation.VmController:
        return strategy(clock, rng, limits)

    return simulation.Simulation(
        simulation.Load(case.vms, routes, calls_per_s, runners, DURATION_S),
        FAULTS[case.fault],
        model.RollOutLimits(),
        make_controller,
        case.seed,
    ).run()


def row(
    cases: typing.Sequence[Case], outcomes: typing.Sequence[simulation.Outcome]
) -> dict[str, typing.Any]:
    """Summarize the runs of one strategy, fault, load and fleet size."""
    first_case = cases[0]
    completed = [o.state is model.RollOutState.COMPLETED for o in outcomes]
    is_bad = FAULTS[first_case.fault].is_bad
    return {
        "way": first_case.strategy,
        "fault": first_case.fault,
        "load": first_case.load,
        "vms": first_case.vms,
        "plays": len(outcomes),
        "wrong": sum(completed) if is_bad else len(outcomes) - sum(completed),
        "over_exposure": (
            sum(o.exposed_calls > o.allowed_calls for o in outcomes)
            if is_bad
            else None
        ),
        "sent_too_late": (
            sum(o.late_calls > 0 for o in outcomes) if is_bad else None
        ),
        "most_exposed": round(
            max(o.exposed_calls / o.allowed_calls for o in outcomes), 2
        ),
        "decided_s": round(
            statistics.median(o.decided_after_s for o in outcomes), 1
        ),
        "cut": round(
            statistics.fmean(o.interrupted_calls for o in outcomes), 1
        ),
    }


def run(arguments: list[str]) -> int:
    """Run all cases and print a row for each combination."""
    parser = argparse.ArgumentParser(prog="bench roll_outs")
    parser.add_argument("--seeds", type=int, default=20)
    parser.add_argument("--jobs", type=int, default=2)
    parser.add_argument("--ways", default=",".join(_STRATEGIES))
    parser.add_argument("--faults", default=",".join(FAULTS))
    options = parser.parse_args(arguments)
    groups = [
        [Case(*group, seed) for seed in range(1, options.seeds + 1)]
        for group in itertools.product(
            options.ways.split(","),
            options.faults.split(","),
            LOADS,
            FLEET_SIZES,
        )
    ]
    with futures.ProcessPoolExecutor(options.jobs) as pool:
        for cases in groups:
            outcomes = list(pool.map(simulate, cases))
            print(json.dumps(row(cases, outcomes)), flush=True)
    return 0
