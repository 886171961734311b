"""Steps for tests/bench/platform_day.feature."""

import contextlib
import io
import json
import statistics

from behave import given
from behave import then
from behave import when

from bench import _day_simulation as model
from bench import platform_day

DURATION_S = 60.0


def _simulated_worth(seed, seconds, load, name):
    day = model.DaySimulation(seed, seconds, load, platform_day.RULES[name])
    day.run()
    return day.worth


@given(
    'a simulated day of {seconds:d} seconds with seed {seed:d} under "{name}"'
)
def _simulate_day(context, seconds, seed, name):
    context.day = (seconds, seed, name)
    context.worth = _simulated_worth(seed, seconds, 1.0, name)


@then("a repeated day has the same worth, and seed {other:d} a different one")
def _day_is_reproducible(context, other):
    seconds, seed, name = context.day
    assert _simulated_worth(seed, seconds, 1.0, name) == context.worth
    assert _simulated_worth(other, seconds, 1.0, name) != context.worth


@when(
    "{days:d} days are simulated under each rule at load {one:f} and at load "
    "{other:f}"
)
def _simulate_all_rules(context, days, one, other):
    context.worths = {
        (name, load): [
            _simulated_worth(seed, DURATION_S, load, name)
            for seed in range(1, days + 1)
        ]
        for name in platform_day.RULES
        for load in (one, other)
    }


@then(
    'the mean worth of "{name}" is at most {margin:f} below the highest mean'
)
def _near_highest_mean(context, name, margin):
    context.name = name
    means = {k: statistics.mean(v) for k, v in context.worths.items()}
    for (other_rule, load), mean in means.items():
        assert means[name, load] >= mean - margin, (other_rule, load, means)


@then(
    "at load {load:f} the mean worth of any other rule that orders by need is "
    "at least {margin:f} lower"
)
def _others_are_lower(context, load, margin):
    own_mean = statistics.mean(context.worths[context.name, load])
    fixed_rule = "as_at_start"
    for (other_rule, at), worths in context.worths.items():
        if at == load and other_rule not in (context.name, fixed_rule):
            assert statistics.mean(worths) <= own_mean - margin, (
                other_rule,
                worths,
            )


@when('the benchmark "{name}" runs with "{arguments}"')
def _run_benchmark(context, name, arguments):
    output = io.StringIO()
    with contextlib.redirect_stdout(output):
        context.code = platform_day.run(arguments.split())
    context.rows = [
        json.loads(line) for line in output.getvalue().splitlines()
    ]


@then("it prints {count:d} rows, one for each rule and load")
def _prints_rows(context, count):
    assert context.code == 0
    found = {(row["rule"], row["load"]) for row in context.rows}
    assert len(context.rows) == len(found) == count, context.rows
