"""Steps for tests/bench/own_days.feature."""

import contextlib
import io
import itertools
import json
import pathlib
import random
import tempfile
import tomllib

from behave import then
from behave import when

from bench import own_days

MIN_INTERVAL_S = 5.0


def _generate(make_days, seed):
    return make_days(own_days.read_variants(), random.Random(seed))


def _faults(days):
    return list(itertools.chain.from_iterable(d["faults"] for d in days))


def _variant(fault):
    return json.dumps({k: v for k, v in fault.items() if k != "at"})


@when("days of single faults are generated with seed {seed:d}")
def _single_days(context, seed):
    context.days = _generate(own_days.make_single_days, seed)


@when("days of pairs of faults are generated with seed {seed:d}")
def _pair_days(context, seed):
    context.days = _generate(own_days.make_pair_days, seed)


@then("each variant of every kind of fault occurs exactly once")
def _each_variant_once(context):
    expected = sorted(map(_variant, own_days.read_variants()))
    assert len(set(expected)) == len(expected)
    assert sorted(map(_variant, _faults(context.days))) == expected


@then("consecutive faults start at least 5 seconds apart")
def _far_apart(context):
    for day in context.days:
        times = [fault["at"] for fault in day["faults"]]
        intervals = [b - a for a, b in itertools.pairwise(times)]
        assert all(s >= MIN_INTERVAL_S for s in intervals), times


@then(
    "both faults of a pair are of different kinds and at most 2 seconds "
    "apart"
)
def _check_pairs(context):
    alone = 0
    for day in context.days:
        by_group = {}
        for fault in day["faults"]:
            position = (
                fault["at"] - own_days.FIRST_FAULT_AT_S
            ) // own_days.FAULT_INTERVAL_S
            by_group.setdefault(position, []).append(fault)
        for group in by_group.values():
            assert len({fault["kind"] for fault in group}) == len(group)
            times = [fault["at"] for fault in group]
            assert max(times) - min(times) <= own_days.PAIR_OFFSET_MAX_S
            alone += len(group) == 1
    # One variant has no partner if the number of variants is odd, and the
    # last two have none if they are of the same kind.
    assert alone <= 2, alone


@then("days generated twice with seed 3 are equal, and differ with seed 4")
def _same_seed(context):
    first = _generate(own_days.make_pair_days, 3)
    assert first == _generate(own_days.make_pair_days, 3)
    assert first != _generate(own_days.make_pair_days, 4)


@then("each day's text is TOML of the same day")
def _formatted(context):
    for day in context.days:
        assert tomllib.loads(own_days.format_day(day)) == day


@when("the tool writes days with one round of pairs")
def _write_days(context):
    folder = tempfile.TemporaryDirectory()
    context.closers.append(folder.cleanup)
    context.folder = pathlib.Path(folder.name)
    output = io.StringIO()
    with contextlib.redirect_stdout(output):
        code = own_days.run(["--out", folder.name, "--seed", "2"])
    assert code == 0
    context.reported = json.loads(output.getvalue())


@then("the folder has as many days as the tool reports")
def _count_days(context):
    found = sorted(context.folder.glob("*.toml"))
    assert len(found) == context.reported["days"], context.reported
    assert context.reported["variants"] == len(own_days.read_variants())
