"""Steps for tests/runners/expected_time.feature.

The fleets are those of ``python -m bench uneven_runners``.
"""

import collections
import functools
import random

from apricotlever import clock as clocks
from apricotlever.runners import model as models
from apricotlever.runners import performance as performances
from apricotlever.runners import routing
from behave import given
from behave import then
from behave import when
from bench import uneven_runners

SPEED_NAMES = {
    "at 0.6, 1.0 and 1.6": "uneven",
    "all alike": "alike",
    "of which one is at 0.2": "one_slow",
}
LOADS = {"calls": 1.0, "twice the calls": 2.0}
NEW, TODAY = "expected_time", "today"
#: Shares of one seed vary by one or two in a hundred with the calls that come,
#: which matters where the policies are nearly equal.
SEEDS = {"uneven": (1,), "alike": (1, 2), "one_slow": (1, 2)}
TOKENS_PER_S = 38_400.0


@functools.cache
def _results(policy, speeds, vms, load, seconds, seed):
    """Scenarios look at the same trials from several sides."""
    trial = uneven_runners.Trial(
        policy, uneven_runners.SPEEDS[speeds], vms, load, seed
    )
    trial.run(seconds)
    return trial.results()


@given("{vms:d} simulated VMs and 45 runners {speeds}")
def _fleet(context, vms, speeds):
    context.vms, context.speeds = vms, SPEED_NAMES[speeds]


@when("{calls} come for {seconds:d} s under each policy")
def _run(context, calls, seconds):
    context.load, context.seconds = LOADS[calls], seconds


def _results_of(context, policy):
    """One result for each seed; a trial runs when a step needs it."""
    return [
        _results(
            policy,
            context.speeds,
            context.vms,
            context.load,
            context.seconds,
            seed,
        )
        for seed in SEEDS[context.speeds]
    ]


def _within(context, policy, size=None):
    """The mean share of first events in time."""
    results = _results_of(context, policy)
    shares = [
        each["within"][size] if size else each["within_all"]
        for each in results
    ]
    return sum(shares) / len(shares)


def _work(context, policy):
    """The mean work by speed, relative to the speed's share."""
    results = [each["work_to_speed"] for each in _results_of(context, policy)]
    return {
        speed: sum(each[speed] for each in results) / len(results)
        for speed in results[0]
    }


@then(
    "expected_time has {count:d} in 100 more first events in time than "
    "{policy}"
)
def _more_in_time(context, count, policy):
    new, other = _within(context, NEW), _within(context, policy)
    assert new >= other + count / 100, (new, other)


@then("expected_time has more of the longest prompts in time than the others")
def _more_long(context):
    shares = {
        policy: _within(context, policy, "longest")
        for policy in uneven_runners.POLICIES
    }
    assert max(shares, key=shares.get) == NEW, shares


@then(
    "no size of prompt is served worse than today by more than {count:d} in "
    "100"
)
def _no_size_worse(context, count):
    for size in _results_of(context, NEW)[0]["within"]:
        new, today = _within(context, NEW, size), _within(context, TODAY, size)
        assert new >= today - count / 100, (size, new, today)


@then(
    "the work of each speed is within {percent:d}% of its share of the speed"
)
def _in_proportion(context, percent):
    work = _work(context, NEW)
    assert all(abs(x - 1) <= percent / 100 for x in work.values()), work


@then("it is closer to it than today")
def _closer(context):
    errors = {
        policy: sum(abs(x - 1) for x in _work(context, policy).values())
        for policy in (NEW, TODAY)
    }
    assert errors[NEW] < errors[TODAY], errors


@then("no fast runner gets more than {factor:g} times the calls of the others")
def _no_herd(context, factor):
    found = [each["busiest_to_mean"] for each in _results_of(context, NEW)]
    assert max(found) <= factor, found


@then("expected_time is at most {count:d} in 100 worse than today")
def _not_worse(context, count):
    new, today = _within(context, NEW), _within(context, TODAY)
    assert new >= today - count / 100, (new, today)


@then("the slow runner gets less work than today")
def _less_work(context):
    new, today = _work(context, NEW)["0.2"], _work(context, TODAY)["0.2"]
    assert new < today, (new, today)


@given("a router that knows runners at 0.6, 1.0 and 1.6")
def _router(context):
    clock = clocks.ManualClock()
    runners = [
        models.Runner(
            f"r{n}", "", f"dc{n // 4}", "pool", "on_demand", "", 1.0, 32
        )
        for n in range(12)
    ]
    context.speeds = {
        r.name: (0.6, 1.0, 1.6)[n % 3] for n, r in enumerate(runners)
    }
    learned = performances.RunnerPerformance(clock)
    learned.keep_only(dict.fromkeys(context.speeds, "pool"))
    rng = random.Random(1)
    for _ in range(60):
        for name, speed in context.speeds.items():
            tokens = rng.randrange(200, 20_000)
            seconds = (0.05 + tokens / TOKENS_PER_S) / speed
            learned.record_first_event(
                "pool", name, tokens, seconds, 0.0, True
            )
        clock.advance(0.1)
    context.router = routing.Router(
        clock, random.Random(2), "vm", "dc0", "expected_time", learned
    )
    context.router.set_runners(runners)


def _send(context, count, tokens, objective_s):
    """Choose runners for prompts, each of which ends before the next."""
    context.chosen = collections.Counter()
    context.data_centres = set()
    for _ in range(count):
        query = models.Query(
            "r", "pool", "", (), tokens, wanted_first_token_s=objective_s
        )
        runner = context.router.choose(query).runner
        context.chosen[runner.name] += 1
        context.data_centres.add(runner.data_centre)


@when(
    "{count:d} prompts come that take {share:g} of their objective at mean "
    "speed"
)
def _long_prompts(context, count, share):
    _send(context, count, int(share * TOKENS_PER_S), 1.0)


@when("{count:d} prompts of {tokens:d} tokens come while all runners are idle")
def _short_prompts(context, count, tokens):
    _send(context, count, tokens, 1.0)


@then("none of them goes to a runner at 0.6")
def _none_slow(context):
    slow = {
        n: c for n, c in context.chosen.items() if context.speeds[n] == 0.6
    }
    assert not slow, slow


@then("all of them go to the runner at 1.6 in the router's data centre")
def _local_fast(context):
    assert set(context.chosen) == {"r2"}, context.chosen


@when("{tokens:d} tokens wait there")
def _busy(context, tokens):
    context.router.observe_pending({"r2": tokens})


@then("each other runner at 1.6 gets some of them, and no slower one does")
def _all_fast(context):
    fast = {n for n, speed in context.speeds.items() if speed == 1.6}
    assert set(context.chosen) == fast - {"r2"}, context.chosen


@then("all of them stay in the router's data centre")
def _stay(context):
    assert context.data_centres == {"dc0"}, context.data_centres
