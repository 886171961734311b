"""Plays the duty to order runners on a manual clock.

The cloud takes its real orders, and ordered runners serve after their boot
time. The runners share the load in proportion to their speed; first events
take as long as in a queue with random arrivals.
"""

import asyncio
import math

from apricotlever import clock as clocks
from apricotlever.data_centres import fleet_mix_planner
from apricotlever.data_centres import prompt_sizes
from apricotlever.serving import configuration_model
from apricotlever.serving import fleet_workload
from apricotlever.serving import runner_directory as directories
from apricotlever.serving import runner_duty
from apricotlever.serving import runner_sizing
from apricotlever.serving import runners
from apricotlever.vms import shared_samples

SERVICE = "llm"
DATA_CENTRES = ("a", "b", "c")
BOOT_S = 4.0
RECLAIMABLE_PRICE = 0.22
HEARTBEAT_S = 1.2


class Line:
    """A learned line through tokens and seconds to the first event."""

    def __init__(self, base_s, token_s, samples=1000.0):
        self.base_s = base_s
        self.token_s = token_s
        self.samples = samples


class Performance:
    """The learned speeds of runners; 1 for those that are not named."""

    def __init__(self, line, speeds=()):
        self.line = line
        self.speeds = dict(speeds)

    def latency(self, service):
        """The line, of any service."""
        return self.line

    def speed(self, runner):
        """The speed of a runner."""
        return self.speeds.get(runner, 1.0)


class Load:
    """What callers send, and how runners appear by their peak speed.

    :param sizes: uncached tokens of prompts that occur equally often.
    :param peak_speed: observed peak of tokens per second of a runner.
    """

    def __init__(self, tokens_per_s, in_flight, slots, sizes, peak_speed):
        self.tokens_per_s = tokens_per_s
        self.in_flight = in_flight
        self.slots = slots
        self.sizes = sizes
        self.peak_speed = peak_speed


class Play:
    """A fleet whose holder of the duty orders runners.

    It starts with three on-demand runners in each data centre.
    """

    fencing = 1

    def __init__(
        self, mode, load, performance, objective_s, most, with_sizing=True
    ):
        self.clock = clocks.ManualClock(1000.0)
        self.load, self.performance = load, performance
        self.objective_s = objective_s
        self.burst = 1.0
        self.unavailable_until = -math.inf
        #: Whether the sizes of prompts are shared.
        self.reported = True
        #: The orders that the cloud accepted, with their times.
        self.orders = []
        #: Speeds of the runners that start in a data centre, in turn.
        self.speeds_of = dict.fromkeys(DATA_CENTRES, (1.0,))
        self.utilizations = []
        #: In seconds of an on-demand runner.
        self.cost = 0.0
        self._directory = directories.RunnerDirectory(self.clock)
        self._booting = {}
        self._serial = 0
        self._total = 0.0
        sizes = prompt_sizes.PromptSizes(self.clock)
        self.sizing = runner_sizing.RunnerSizing(mode, sizes, performance)
        self.work = fleet_workload.FleetWorkload(
            self.clock, self.sizing if with_sizing else None
        )
        self._duty = runner_duty.RunnerDuty(
            self.clock,
            self.work,
            self._directory,
            lambda service: round(self.load.in_flight * self.burst),
            self,
            self,
            self,
            HEARTBEAT_S,
        )
        terms = fleet_mix_planner.ScalingTerms(
            1,
            most,
            BOOT_S,
            RECLAIMABLE_PRICE,
            dict.fromkeys(DATA_CENTRES, 1.0),
        )
        engine = configuration_model.Engine(load.slots, 500_000)
        service = configuration_model.Service(SERVICE, 100, engine, terms)
        route = configuration_model.Route(
            "chat",
            "host",
            "/",
            ((SERVICE, 1.0),),
            configuration_model.CallKind.STREAM,
            objective_s=objective_s,
        )
        self.configuration = configuration_model.Configuration(
            1, [route], [service], [], configuration_model.CallerLimits()
        )
        self._duty.configuration = self.configuration
        for data_centre in DATA_CENTRES:
            for _ in range(3):
                self._start(data_centre, False)

    @property
    def serving(self):
        """The runners that serve."""
        return self._directory.available_runners(SERVICE)

    @property
    def speed(self):
        """The relative speeds of the runners that serve, added up."""
        return sum(
            self.performance.speed(runner.runner_id) for runner in self.serving
        )

    def required(self):
        """The number of runners that the load requires now."""
        return self.work.required_runners(
            self.configuration.services[SERVICE],
            len(self.serving),
            round(self.load.in_flight * self.burst),
            0.0,
            False,
            [runner.runner_id for runner in self.serving],
            self.objective_s,
        )

    def runner_order_request(self, service, data_centre, count, reclaimable):
        """The order itself as path and body."""
        return (data_centre, reclaimable), count

    async def send(self, path, body, fencing):
        """Start or end runners, or refuse reclaimable ones."""
        held = [
            runner
            for runner in self.serving
            if (runner.data_centre, runner.reclaimable) == path
        ]
        booting = self._booting.get(path, [])
        missing = body - len(held) - len(booting)
        if missing > 0 and path[1]:
            if self.clock.now() < self.unavailable_until:
                return False
        self.orders.append((self.clock.now(), path, body))
        ready_at = self.clock.now() + BOOT_S
        self._booting[path] = (booting + [ready_at] * missing)[
            : max(0, body - len(held))
        ]
        for runner in held[body:]:
            self._end(runner)
        return True

    def reclaim(self, data_centre):
        """End the reclaimable runners of a data centre, also booting ones."""
        self._booting.pop((data_centre, True), None)
        for runner in self.serving:
            if runner.reclaimable and runner.data_centre == data_centre:
                self._end(runner)

    def end(self, is_ended):
        """End the runners whose IDs a function selects."""
        for runner in self.serving:
            if is_ended(runner.runner_id):
                self._end(runner)

    def run(self, seconds):
        """Advance the time, and run the duty at each step."""
        step_s = runner_duty.STEP_INTERVAL_S
        for _ in range(round(seconds / step_s)):
            self.clock.advance(step_s)
            for path, ready in list(self._booting.items()):
                due = [at for at in ready if at <= self.clock.now()]
                self._booting[path] = ready[len(due) :]
                for _ in due:
                    self._start(*path)
            self._report(step_s)
            asyncio.run(self._duty.step())
            self.cost += step_s * sum(
                RECLAIMABLE_PRICE if runner.reclaimable else 1.0
                for runner in self.serving
            )

    def _report(self, step_s):
        load = self.load
        rate = load.tokens_per_s * self.burst
        line = self.performance.line
        utilization = rate * line.token_s / max(0.1, self.speed)
        self.utilizations.append(utilization)
        self._total += rate * step_s
        counts = [
            len(load.sizes),
            sum(load.sizes),
            sum(size * size for size in load.sizes),
        ]
        if self.reported:
            samples: shared_samples.Samples = {
                prompt_sizes.TOPIC: {SERVICE: counts}
            }
            self.sizing.merge_samples(samples, self.configuration)
        idle = max(0.01, 1.0 - utilization)
        mean_s = counts[1] / counts[0] * line.token_s
        remaining_s = counts[2] / counts[1] * line.token_s / 2.0
        took_s = line.base_s + mean_s + utilization / idle * remaining_s
        work = (
            int(self._total),
            load.peak_speed,
            min(3.0, took_s / self.objective_s),
        )
        self.work.merge_counters("vm#1", {SERVICE: work})

    def _start(self, data_centre, reclaimable):
        self._serial += 1
        name = f"r-{self._serial}"
        speeds = self.speeds_of[data_centre]
        self.performance.speeds[name] = speeds[self._serial % len(speeds)]
        self._apply(name, data_centre, reclaimable, False)

    def _end(self, runner):
        self._apply(runner.name, runner.data_centre, runner.reclaimable, True)

    def _apply(self, name, data_centre, reclaimable, leaving):
        self._directory.apply_entry(
            runners.Runner(
                name,
                SERVICE,
                "10.0.0.1",
                1,
                data_centre,
                self.load.slots,
                leaving=leaving,
                reclaimable=reclaimable,
                revision=self._directory.revision + 1,
            )
        )
