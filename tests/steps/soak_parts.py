"""Steps for tests/soak/parts.feature."""

import asyncio
import pathlib
import random
import tempfile

from behave import given
from behave import then
from behave import when

from soak import __main__ as soak_main
from soak import bad_parts
from soak import callers
from soak import cuts
from soak import part_checks
from soak import proxy
from soak import statements

STARTED_AT = 1000.0
FIRST_CRASH_AT = 1010.0
PART = "bad0"
PREFIX = "/safe/"
VM = "vm-0"


@when(
    "a soak test with seed {seed:d} injects faults and bad prompt parts for "
    "{s:f} s"
)
def _run_soak(context, seed, s):
    with tempfile.TemporaryDirectory() as folder:
        context.result = asyncio.run(
            soak_main.run_soak_test(
                seed, s, pathlib.Path(folder), with_bad_parts=True
            )
        )


@then("the plans of bad parts of seed 7 are equal and that of seed 8 differs")
def _check_plans(context):
    def plan(seed):
        return bad_parts.plan(random.Random(seed), 30.0)

    assert plan(7) == plan(7) != plan(8)


@given(
    "a soak in which {count:d} runners crashed under a bad part, one a second"
)
def _crashed(context, count):
    context.events = [
        statements.Event(
            FIRST_CRASH_AT + n, "r", statements.Kind.CRASHED, "-", PART
        )
        for n in range(count)
    ]
    context.sound, context.cuts, context.disturbances = [], [], []


def _crash_at(nth):
    return FIRST_CRASH_AT + int(nth[0]) - 1


@given(
    "{count:d} calls with the part reached runners {after:g} s after the "
    "{nth} crash"
)
def _reached(context, count, after, nth):
    context.at = _crash_at(nth) + after
    context.events += [
        statements.Event(
            context.at, "r", statements.Kind.GOT_BAD_PART, VM, PART
        )
        for _ in range(count)
    ]


@given("their VM {state}")
def _state(context, state):
    if state == "was cut off before":
        context.cuts.append(
            cuts.CutPeriod(
                [VM], proxy.Cut.RESET, context.at - 2.5, context.at - 2
            )
        )
    elif state == "was restarted before":
        context.disturbances.append(
            statements.Disturbance(VM, context.at - 2.5, context.at - 2.0)
        )


def _sound_calls(at, begun, count):
    for number in range(count):
        call = callers.Call(f"s-{number}", PREFIX, VM, at - STARTED_AT)
        call.status, call.complete = 200 if number < begun else 503, True
        yield call


@given(
    "{begun:d} of {count:d} sound calls began from {after:g} s after the "
    "{nth} crash on"
)
def _began(context, begun, count, after, nth):
    at = _crash_at(nth) + after
    context.sound += _sound_calls(at, begun, count)


@given("{begun:d} of 20 sound calls had begun before")
def _began_before(context, begun):
    at = FIRST_CRASH_AT - 5.0
    context.sound += _sound_calls(at, begun, 20)


@then('the checks of parts report "{complaint}"')
def _report(context, complaint):
    times = [
        bad_parts.BadTime(
            PART, True, PREFIX, FIRST_CRASH_AT - 1.0, FIRST_CRASH_AT + 30.0
        )
    ]
    found = part_checks.find_violations(
        part_checks.Observations(
            times,
            context.events,
            context.sound,
            STARTED_AT,
            context.cuts,
            context.disturbances,
        )
    )
    if complaint == "nothing":
        assert not found, found
    else:
        assert complaint in " ".join(found), found
