"""Steps for tests/bench/platform_day.feature."""

import contextlib
import io
import json
import statistics

from behave import given
from behave import then
from behave import when

from bench import _platform_day_model as model
from bench import platform_day

SECONDS = 60.0


def _worth(seed, seconds, load, name):
    day = model.Day(seed, seconds, load, platform_day.RULES[name])
    day.run()
    return day.worth


@given(
    'a modelled day of {seconds:d} seconds with seed {seed:d} under "{name}"'
)
def _day(context, seconds, seed, name):
    context.day = (seconds, seed, name)
    context.worth = _worth(seed, seconds, 1.0, name)


@then("the same day has the same worth, and seed {other:d} another one")
def _same(context, other):
    seconds, seed, name = context.day
    assert _worth(seed, seconds, 1.0, name) == context.worth
    assert _worth(other, seconds, 1.0, name) != context.worth


@when(
    "{days:d} days are modelled under each rule at load {one:f} and at load "
    "{other:f}"
)
def _compare(context, days, one, other):
    context.worths = {
        (name, load): [
            _worth(seed, SECONDS, load, name) for seed in range(1, days + 1)
        ]
        for name in platform_day.RULES
        for load in (one, other)
    }


@then('the mean worth of "{name}" is at most {margin:f} below the best')
def _best(context, name, margin):
    context.name = name
    means = {k: statistics.mean(v) for k, v in context.worths.items()}
    for (rival, load), mean in means.items():
        assert means[name, load] >= mean - margin, (rival, load, means)


@then(
    "at load {load:f} any rule that orders by need is at least {margin:f} "
    "below it"
)
def _behind(context, load, margin):
    own = statistics.mean(context.worths[context.name, load])
    fixed = "as_at_start"
    for (rival, at), worths in context.worths.items():
        if at == load and rival not in (context.name, fixed):
            assert statistics.mean(worths) <= own - margin, (rival, worths)


@when('the benchmark "{name}" runs with "{arguments}"')
def _runs(context, name, arguments):
    out = io.StringIO()
    with contextlib.redirect_stdout(out):
        context.code = platform_day.run(arguments.split())
    context.rows = [json.loads(line) for line in out.getvalue().splitlines()]


@then("it prints {count:d} rows, one for each rule and load")
def _rows(context, count):
    assert context.code == 0
    found = {(row["rule"], row["load"]) for row in context.rows}
    assert len(context.rows) == len(found) == count, context.rows
