"""Steps for tests/serving/runner_sizing.feature."""

import math

from behave import given
from behave import step
from behave import then
from behave import when

from apricotlever.data_centres import prompt_sizes
from apricotlever import logs
from apricotlever.runners import model as models
from apricotlever.serving import modes
from apricotlever.serving import prompt_meters
from apricotlever.serving import runner_sizing
from apricotlever.vms import shared_samples
from tests.serving import planner_play

#: Own prompt tokens: most calls share nearly all of their prompt.
SIZES = [1178] * 37 + [18300] * 4 + [100] * 60
FAST, USUAL, SLOW = 1.6, 1.0, 0.6


class _Service:
    def __init__(self, load, line, objective_s, speeds=(USUAL,)):
        self.load, self.line = load, line
        self.objective_s = objective_s
        self.speeds = speeds
        self.most = 60
        self.reported = True

    def play(self, mode):
        """A fleet in a mode; None leaves the part out."""
        performance = planner_play.Performance(self.line)
        play = planner_play.Play(
            mode or modes.Mode.OFF,
            self.load,
            performance,
            self.objective_s,
            self.most,
            with_sizing=mode is not None,
        )
        play.reported = self.reported
        for data_centre in planner_play.DATA_CENTRES:
            play.speeds_of[data_centre] = self.speeds
        return play


@given("a service with 53 ms before each first event")
def _with_base(context):
    context.service = _Service(
        planner_play.Load(396_000, 250, 24, SIZES, 20_000),
        planner_play.Line(0.053, 1 / 91_800),
        0.535,
    )


@given("a service whose observed peak is its prefill speed")
def _right_peak(context):
    context.service = _Service(
        planner_play.Load(396_000, 250, 24, SIZES, 91_800),
        planner_play.Line(0.0, 1 / 91_800),
        0.535,
    )


@given(
    "a service with runners at 0.6, 1.0 and 1.6 of the speed in equal parts"
)
def _uneven(context):
    # The peak is that of the fast runners.
    context.service = _Service(
        planner_play.Load(396_000, 150, 32, SIZES, 61_000),
        planner_play.Line(0.03, 1 / 38_400),
        0.515,
        (FAST, USUAL, SLOW),
    )


@given("a service without calls in flight whose tokens seem to take no time")
def _no_time(context):
    context.service = _Service(
        planner_play.Load(1_600_000, 0, 24, SIZES, 20_000),
        planner_play.Line(0.053, 1e-12),
        0.535,
    )


@then("at least an eighth of what the observed peak asks for is required")
def _at_least_eighth(context):
    (play,) = context.plays
    load = play.load
    least = load.tokens_per_s / load.peak_speed / 8
    assert play.required() >= least, (play.required(), least)


@given("at most {most:d} runners in each data centre")
def _most(context, most):
    context.service.most = most


@given("a holder of the duty without samples of {what}")
def _without_samples(context, what):
    service = context.service
    if what == "the speeds":
        service.line.samples = 19.0
    elif what == "the sizes":
        service.reported = False
    else:
        service.line.token_s = math.nan


@when("its fleet is played for {seconds:d} seconds in mode {mode}")
def _play(context, seconds, mode):
    context.plays = []
    context.logged = []
    logs.setup_writer("vm", lambda name, line: context.logged.append(line))
    context.closers.append(logs.teardown)
    names = mode.replace("without the part", "mode none").split(" and ")
    for name in names:
        name = name.removeprefix("in ").removeprefix("mode ")
        play = context.service.play(
            None if name == "none" else modes.Mode(name)
        )
        play.run(seconds)
        context.plays.append(play)


@then("{required:d} runners are required instead of {today:d}")
def _required(context, required, today):
    found = [play.required() for play in context.plays]
    assert found == [required, today], found


@then("the cost in mode on is at most four fifths of that in mode off")
def _cost(context):
    for play in context.plays:
        play.cost = 0.0
        play.run(20)
    on, off = (play.cost for play in context.plays)
    assert on <= 0.8 * off, (on, off)


@then("all runners together are used below {bound:g}")
def _used_below(context, bound):
    for play in context.plays:
        assert max(play.utilizations) < bound, max(play.utilizations)


@then("the orders are the same")
def _same_orders(context):
    first, second = (play.orders for play in context.plays)
    assert first and first == second, (first, second)


@then("the log has {fields}")
def _logged(context, fields):
    lines = [line for line in context.logged if "runners_needed" in line]
    wanted = [f" {field} " for field in fields.split(" and ")]
    assert any(all(w in f"{line} " for w in wanted) for line in lines), lines


@then("the required numbers differ by at most {most:d}")
def _differ(context, most):
    first, second = (play.required() for play in context.plays)
    assert abs(first - second) <= most, (first, second)


@then(
    "a change of the observed peak by 1 in 100 changes no required number by "
    "more than 1 in 10"
)
def _no_steps(context):
    load, before = context.service.load, None
    for exponent in range(-100, 101):
        load.peak_speed = 91_800 * 1.01**exponent
        play = context.service.play(modes.Mode.ON)
        play.run(12)
        required = play.required()
        if before is not None:
            assert abs(required - before) <= 0.1 * before, (exponent, required)
        before = required


@when("the fast runners are gone")
def _fast_gone(context):
    (play,) = context.plays
    context.before = play.required()
    play.end(lambda name: play.performance.speed(name) == FAST)


@then("the required number rises by a third")
def _rises(context):
    (play,) = context.plays
    found = play.required() / context.before
    assert abs(found - 4 / 3) < 0.15, (found, context.before)


@when("callers send {burst:g} times as much for {seconds:d} seconds")
def _burst(context, burst, seconds):
    (play,) = context.plays
    context.before = play.required()
    play.utilizations.clear()
    play.burst = burst
    play.run(seconds)


@then(
    "the calls leave three standard deviations of slots free at the runners "
    "that were required before"
)
def _free_slots(context):
    (play,) = context.plays
    calls = play.load.in_flight * play.burst / context.before
    assert calls + 3.0 * math.sqrt(calls) <= play.load.slots, calls


@step(
    "reclaimable runners are reclaimed in two data centres within {gap:d} "
    "seconds and are unavailable for {seconds:d} seconds"
)
def _reclaims(context, gap, seconds):
    (play,) = context.plays
    play.utilizations.clear()
    play.unavailable_until = play.clock.now() + seconds
    play.reclaim("a")
    play.run(gap)
    play.reclaim("b")
    play.run(30)


@when("a VM in mode {mode} sends a prompt to a service {kind}")
def _sends(context, mode, kind):
    play = context.service.play(modes.Mode(mode))
    fixed = "fixed" in kind
    service = "fixed" if fixed else planner_play.SERVICE
    meters = prompt_meters.PromptMeters(play.clock)
    query = models.Query(service, service, "", prompt_tokens=500)
    meters.record_sent("attempt", service, query, 400)
    sizing = runner_sizing.RunnerSizing(
        modes.Mode(mode), meters.sizes, play.performance
    )
    context.buffer = shared_samples.SampleBuffer()
    sizing.send_samples(context.buffer, play.configuration)


@then("it sends the sizes of {count:d} prompts to the other VMs")
def _sent(context, count):
    sent = context.buffer.take(64).get(prompt_sizes.TOPIC, {})
    expected = {planner_play.SERVICE: [1, 400, 160_000]} if count else {}
    assert sent == expected, sent
