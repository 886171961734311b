"""Steps for tests/runners/performance.feature."""

import math
import random
import statistics

from apricotlever import clock as clocks
from apricotlever.runners import latency_sums
from apricotlever.runners import model as models
from apricotlever.runners import performance as performances
from apricotlever.runners import performance_samples
from apricotlever.runners import routing
from apricotlever.runners import slowness_changes
from apricotlever.serving import modes
from apricotlever.serving import performance_meters
from apricotlever.serving import runner_directory as directories
from apricotlever.serving import runners as serving_runners
from apricotlever.serving import upstreams
from behave import given
from behave import then
from behave import when
import hypothesis
from hypothesis import strategies

PREFILL = performance_samples.Phase.PREFILL
BASE_S = 0.053
TOKENS_PER_S = 91_800.0
#: A moment of slowness, and the length of the cycle with one moment.
MOMENT_S, CYCLE_S = 0.3, 2.0


class _Fleet:
    """VMs that exchange samples each second, and runners with moments."""

    def __init__(self, vms, speeds):
        self.clock = clocks.ManualClock()
        self.speeds = {f"r{n}#1": speed for n, speed in enumerate(speeds)}
        self.vms = [
            performances.RunnerPerformance(self.clock) for _ in range(vms)
        ]
        for vm in self.vms:
            vm.keep_only(dict.fromkeys(self.speeds, "s"))
        self.rng = random.Random(5)
        self._offsets = {
            name: self.rng.uniform(0, CYCLE_S) for name in self.speeds
        }
        self._exchanged_at = self.clock.now()

    def seconds(self, runner, unhurried_s):
        """What a runner takes for work that takes the median one so long."""
        at = (self.clock.now() + self._offsets[runner]) % CYCLE_S
        factor = 2.5 if at < MOMENT_S else 1.0
        return unhurried_s * factor / self.speeds[runner]

    def answer(self, calls, phase, per_s=7.0):
        """Let each runner answer some calls, in random order."""
        order = list(self.speeds) * calls
        self.rng.shuffle(order)
        for runner in order:
            self.clock.advance(1 / per_s / len(self.speeds))
            vm = self.rng.choice(self.vms)
            if phase == "prefill":
                tokens = self.rng.randrange(200, 20_000)
                median_s = BASE_S + tokens / TOKENS_PER_S
                seconds = self.seconds(runner, median_s)
                vm.record_first_event("s", runner, tokens, seconds, 0.0, True)
            elif phase == "decode":
                seconds = self.seconds(runner, 0.4)
                vm.record_pace("s", "route", runner, seconds, 50)
            else:
                seconds = self.seconds(runner, 0.072)
                vm.record_plain("s", "route", runner, seconds)
            if self.clock.now() - self._exchanged_at >= 1.0:
                self.exchange()

    def exchange(self):
        """Give what each VM has observed to all others."""
        self._exchanged_at = self.clock.now()
        taken = [vm.take_samples() for vm in self.vms]
        for sender, samples in enumerate(taken):
            for receiver, vm in enumerate(self.vms):
                if receiver != sender:
                    vm.merge(samples)

    def errors(self, phase):
        """Ratios of the estimated to the true slownesses at all VMs."""
        # The clock moves past the time for which slownesses are reused.
        self.clock.advance(0.5)
        return [
            vm.slowness(runner, phase) * speed
            for vm in self.vms
            for runner, speed in self.speeds.items()
        ]


@given("{vms:d} VM and {count:d} runners of speed 1.0")
def _alike(context, vms, count):
    context.world = _Fleet(vms, [1.0] * count)


@given("{vms:d} VMs and {count:d} runners of speeds 0.6, 1.0 and 1.6")
def _uneven(context, vms, count):
    context.world = _Fleet(vms, [0.6, 1.0, 1.6] * (count // 3))


@when("{count:d} idle calls have a base of 53 ms and 91800 tokens a second")
def _idle_calls(context, count):
    world = context.world
    for _ in range(count):
        world.clock.advance(0.05)
        tokens = world.rng.randrange(200, 20_000)
        world.vms[0].record_first_event(
            "s", "r0#1", tokens, BASE_S + tokens / TOKENS_PER_S, 0.0, True
        )


@when("{count:d} idle calls are all alike")
def _calls_alike(context, count):
    world = context.world
    world.vms[0] = performances.RunnerPerformance(world.clock)
    world.vms[0].keep_only(dict.fromkeys(world.speeds, "s"))
    for _ in range(count):
        world.vms[0].record_first_event("s", "r0#1", 715, 0.06, 0.0, True)


@when("{seconds:d} s pass without calls")
def _pass(context, seconds):
    context.world.clock.advance(seconds + 1)


@then("the base is 53 ms and the speed 91800 tokens a second within 2%")
def _line(context):
    found = context.world.vms[0].latency("s")
    assert abs(found.base_s / BASE_S - 1) < 0.02, found
    assert abs(found.token_s * TOKENS_PER_S - 1) < 0.02, found
    assert found.samples >= 20


@then("the service has the default latency")
def _default(context):
    found = context.world.vms[0].latency("s")
    assert found == latency_sums.DEFAULT_LATENCY, found


@when("each runner answers {count:d} calls with moments of slowness")
def _answer(context, count):
    context.world.answer(count, "prefill")
    context.world.exchange()


@when("each runner answers {count:d} {phase} calls with moments of slowness")
def _answer_phase(context, count, phase):
    context.world.answer(count, phase)
    context.world.exchange()


@then("{share:d} in 100 slownesses at each VM are within 10% of the true ones")
def _within(context, share):
    _check_errors(context, share, PREFILL)


@then("{share:d} in 100 {phase} slownesses are within 10% of the true ones")
def _within_phase(context, share, phase):
    _check_errors(context, share, performance_samples.Phase(phase))


def _check_errors(context, share, phase):
    errors = context.world.errors(phase)
    good = sum(0.9 <= error <= 1.1 for error in errors)
    assert good >= share / 100 * len(errors), (
        good / len(errors),
        sorted(errors)[:: len(errors) // 20],
    )


@then("the median slowness is 1.0")
def _median(context):
    world = context.world
    for vm in world.vms:
        found = [vm.slowness(runner, PREFILL) for runner in world.speeds]
        assert abs(statistics.median(found) - 1.0) < 0.01, found


@when("the first runner restarts")
def _restart(context):
    world = context.world
    world.speeds["r0#2"] = world.speeds.pop("r0#1")
    for vm in world.vms:
        vm.keep_only(dict.fromkeys(world.speeds, "s"))


@then("its slowness is 1.0 without samples")
def _begins_anew(context):
    for vm in context.world.vms:
        assert vm.slowness("r0#2", PREFILL) == 1.0
        assert vm.confidence("r0#2", PREFILL) == 0.0


@then("samples of its former process are ignored")
def _former_ignored(context):
    vm = context.world.vms[0]
    vm.merge({"performance": {"r0#1": [5, 500, 0, 0, 0, 0]}})
    assert vm.confidence("r0#1", PREFILL) == 0.0
    # A VM learns of a new process later than others: that is no fault.
    assert vm.ignored == 0


@then("no invalid sample of a peer changes anything, and each is counted")
def _invalid(context):
    vm = context.world.vms[0]
    context.world.clock.advance(1.0)
    before = vm.latency("s"), vm.slowness("r0#1", PREFILL)
    huge = 10**30
    bad = [
        {"performance": {"r0#1": counts}}
        for counts in (
            [],
            [1, 0],
            [-1, 0, 0, 0, 0, 0],
            [1, math.nan, 0, 0, 0, 0],
            [1, math.inf, 0, 0, 0, 0],
            [huge, 0, 0, 0, 0, 0],
            [1, 1500, 0, 0, 0, 0],
            [0, -1, 0, 0, 0, 0],
            [1, 0, 0, 0, 0, 0, 0],
            [1, True, 0, 0, 0, 0],
        )
    ] + [
        {"service_latency": {"s": counts}}
        for counts in (
            [1, 2, 3],
            [0, 0, 0, 0, 0],
            [-1, 100, 100, 10_000, 10_000],
            [1, 100, math.nan, 10_000, 10_000],
            [1, 100, math.inf, 10_000, 10_000],
            [1, 100, huge, 10_000, 10_000],
            [1, 100, 100, 1, 10_000],
            [1, 100, 100, huge, 10_000],
            [1, 100, 100, 10_000, -1],
            [1, 100, 100, 10_000, huge],
            [huge, 100, 100, 10_000, 10_000],
        )
    ]
    for count, samples in enumerate(bad, 1):
        vm.merge(samples)
        assert vm.ignored == count, samples
    assert (vm.latency("s"), vm.slowness("r0#1", PREFILL)) == before


@then("the sums agree with a plain calculation for any calls")
def _sums_agree(context):
    call = strategies.tuples(
        strategies.integers(0, 3),
        strategies.integers(0, 50_000),
        strategies.floats(0.001, 5.0),
    )

    @hypothesis.given(strategies.lists(call, min_size=25, max_size=60))
    @hypothesis.settings(derandomize=True, deadline=None, max_examples=50)
    def check(calls):
        clock = clocks.ManualClock()
        vms = [performances.RunnerPerformance(clock) for _ in range(4)]
        alone = latency_sums.LatencyLine()
        for vm in vms:
            vm.keep_only({"r": "s"})
        for vm, tokens, seconds in calls:
            counts = latency_sums.LatencyLine().counts(0.0, tokens, seconds)
            alone.add(clock.now(), counts)
            for other, each in enumerate(vms):
                if other != vm:
                    each.merge({"service_latency": {"s": counts}})
        # Each VM lacks what it is itself to have observed.
        lacking = [c for c in calls if c[0] == 0]
        for _, tokens, seconds in lacking:
            counts = latency_sums.LatencyLine().counts(0.0, tokens, seconds)
            vms[0].merge({"service_latency": {"s": counts}})
        found, expected = vms[0].latency("s"), alone.latency(clock.now())
        assert math.isclose(found.base_s, expected.base_s, abs_tol=1e-6)
        assert math.isclose(found.token_s, expected.token_s, abs_tol=1e-9)
        assert found.base_s >= 0 and found.token_s >= 0

    check()


@then("all slownesses are within 1% of 1.0")
def _prior(context):
    world = context.world
    for vm in world.vms:
        for runner in world.speeds:
            assert abs(vm.slowness(runner, PREFILL) - 1.0) < 0.01


@given("meters of a VM in the mode on")
def _meters(context):
    clock = context.clock = clocks.ManualClock()
    context.meters = performance_meters.PerformanceMeters(clock, modes.Mode.ON)
    context.runner = serving_runners.Runner(
        "r", "s", "127.0.0.1", 1, "dc", 4, revision=1
    )
    context.meters.keep_only([context.runner])
    for number in range(30):
        _call(context, tokens=100 * number, seconds=0.05 + 0.001 * number)
        _call(context, tokens=0, seconds=0.05, streams=False)


def _call(
    context, tokens, seconds, streams=True, ends=True, waiting=0, fill=0.5
):
    meters = context.meters
    backlog = performance_meters.Backlog(waiting, fill)
    meters.record_sent("a", context.runner, "r", tokens, streams, backlog)
    context.clock.advance(seconds)
    if streams:
        meters.record_first_event("a")
        context.clock.advance(seconds)
    meters.record_end("a", ends, 10 if streams else 0)
    topic = performance_samples.RUNNER_TOPIC
    taken = meters.performance.take_samples().get(topic, {})
    return taken.get(context.runner.runner_id)


@then("a call to a full runner leaves no samples")
def _full(context):
    assert _call(context, 900, 1.0, fill=1.1) is None


@then("a stream that was cut off leaves no pace")
def _cut_off(context):
    assert _call(context, 900, 0.06, ends=False)[2:] == [0, 0, 0, 0]


@then("a failed plain call leaves no samples")
def _failed(context):
    assert _call(context, 0, 1.0, streams=False, ends=False) is None


@then("a call behind a long queue leaves no samples")
def _queued(context):
    found = _call(context, 900, 3.0, waiting=500_000)
    assert found[:2] == [0, 0], found


@then("an answered plain call leaves a sample")
def _answered(context):
    assert _call(context, 0, 0.05, streams=False)[4] == 1


@then("the {count:d} uneven runners are reported once, and no others")
def _reported(context, count):
    world = context.world
    world.clock.advance(0.5)
    changes = slowness_changes.SlownessChanges(world.vms[0])
    found = {change.runner for change in changes.take()}
    uneven = {runner for runner, speed in world.speeds.items() if speed != 1.0}
    assert found == uneven and len(found) == count, found ^ uneven
    assert not changes.take()


class _Vm:
    """A VM's choices of runners, on a clock of its own."""

    def __init__(self, mode):
        self.clock = clocks.ManualClock()
        self.rng = random.Random(3)
        self.directory = directories.RunnerDirectory(self.clock)
        self.upstreams = upstreams.Upstreams(
            self.clock,
            self.rng,
            "vm",
            "dc",
            self.directory,
            part_modes=modes.PartModes(performance=mode),
        )
        for number in range(6):
            self.directory.apply_entry(
                serving_runners.Runner(
                    f"r{number}", "s", "127.0.0.1", 1, "dc", 8, revision=1
                )
            )
        self.upstreams.refresh()
        self.choices = []

    def call(self, number):
        """Send one call; one runner is slow."""
        query = _query_of(number)
        runner = self.upstreams.selection.choose(query)
        self.choices.append(runner.name)
        attempt = str(number)
        self.upstreams.call_started(attempt, runner, query)
        seconds = 0.05 + query.prompt_tokens / 50_000
        self.clock.advance(seconds * (4.0 if runner.name == "r0" else 1.0))
        self.upstreams.first_event_received(attempt)
        self.clock.advance(0.1)
        self.upstreams.call_finished(
            attempt, runner, models.Outcome.DONE, events=5, shows_speed=True
        )


def _query_of(number):
    tokens = 500 + number % 7 * 1500
    return models.Query("r", "s", "", (), tokens, wanted_first_token_s=0.6)


@given("VMs in the modes off, observe and on")
def _modes(context):
    context.vms_by_mode = {mode: _Vm(mode) for mode in modes.Mode}


@when("{count:d} calls are sent to runners of which one is slow")
def _send(context, count):
    for vm in context.vms_by_mode.values():
        for number in range(count):
            vm.call(number)


@then("the VMs in the modes off and observe choose as a router without it")
def _same_choices(context):
    vm = context.vms_by_mode[modes.Mode.OFF]
    clock = clocks.ManualClock()
    router = routing.Router(
        clock, random.Random(3), "vm", "dc", "home_or_faster"
    )
    router.set_runners(
        models.Runner(
            runner.runner_id,
            runner.address,
            "dc",
            "s",
            "on_demand",
            "",
            1.0,
            8,
        )
        for runner in vm.directory.runners
    )
    expected = []
    for number in range(len(vm.choices)):
        query = _query_of(number)
        name = router.choose(query).runner.name
        expected.append(vm.directory.get(name).name)
        router.request_started(str(number), name, query)
        seconds = 0.05 + query.prompt_tokens / 50_000
        clock.advance(seconds * (4.0 if expected[-1] == "r0" else 1.0))
        router.first_token(str(number))
        clock.advance(0.1)
        router.request_finished(str(number), models.Outcome.DONE)
    for mode in (modes.Mode.OFF, modes.Mode.OBSERVE):
        assert context.vms_by_mode[mode].choices == expected, mode


@then("only the VMs in the modes observe and on have samples and metrics")
def _samples_by_mode(context):
    for mode, vm in context.vms_by_mode.items():
        meters = vm.upstreams.performance
        learns = mode is not modes.Mode.OFF
        assert bool(meters.labelled_metrics) == learns
        assert bool(meters.performance.take_samples()) == learns


@then("the VM in the mode on sends less to the slow runner")
def _avoids_slow(context):
    counts = {
        mode: vm.choices.count("r0")
        for mode, vm in context.vms_by_mode.items()
    }
    assert counts[modes.Mode.ON] < 25, counts
