"""Steps for tests/soak/versions.feature."""

import asyncio
import pathlib
import random
import tempfile

from behave import given
from behave import then
from behave import when

from soak import __main__ as soak_main
from soak import callers
from soak import fleet
from soak import releases
from soak import runner
from soak import statements
from soak import version_checks

STARTED_AT = 1000.0
SENT_AT = 20.0


@when("a soak test with seed {seed:d} injects faults and releases for {s:f} s")
def _run_soak(context, seed, s):
    with tempfile.TemporaryDirectory() as folder:
        context.result = asyncio.run(
            soak_main.run_soak_test(
                seed, s, pathlib.Path(folder), with_releases=True
            )
        )


@then("the plans of releases of seed 7 are equal and that of seed 8 differs")
def _check_plans(context):
    def plan(seed):
        return releases.plan(random.Random(seed), 30.0)

    assert plan(7) == plan(7) != plan(8)


def _call(call_id, versions, after=0):
    call = callers.Call(call_id, "/stream-on/", "vm-0", SENT_AT, after)
    call.status = 200 if versions else 503
    call.duration_s = 0.1
    call.body = b"".join(
        runner.format_event(call_id, after + number, version)
        for number, version in enumerate(versions, 1)
    )
    return call


def _observe(context):
    context.calls, context.resumptions = [], []
    context.spans, context.disturbances = [], []


@given("a stream of a soak that began with events of {versions}")
def _begin(context, versions):
    _observe(context)
    context.calls.append(_call("c-1", versions.split()))


@given("its caller took it up again and got events of {versions}")
def _resume(context, versions):
    after = len(callers.versions(context.calls[0].body))
    context.resumptions.append(_call("c-1.1", versions.split(), after))


@given("a soak with {count:d} new streams of which {begun:d} began")
def _begin_many(context, count, begun):
    _observe(context)
    for number in range(count):
        versions = ["v1"] if number < begun else []
        context.calls.append(_call(f"c-{number}", versions))


@given(
    "{count:d} streams of v1 that were resumed, of which {went_on:d} went on"
)
def _resume_many(context, count, went_on):
    for number in range(count):
        versions = ["v1"] if number < went_on else []
        call = _call(f"c-{number}.1", versions, 1)
        call.version = "v1"
        context.resumptions.append(call)


@given("{count:d} runners of v1 that {state}")
def _add_spans(context, count, state):
    at = STARTED_AT + SENT_AT
    for number in range(count):
        span = fleet.RunnerSpan(f"r-{number}", "v1", STARTED_AT)
        if state == "left half a second before":
            span.until = at - 0.5
        elif state == "were suspended then":
            context.disturbances.append(
                statements.Disturbance(span.runner, at - 1.0, at + 1.0)
            )
        context.spans.append(span)


@then('the checks of versions report "{complaint}"')
def _check_versions(context, complaint):
    found = version_checks.find_violations(
        version_checks.Observations(
            context.calls,
            context.resumptions,
            STARTED_AT,
            context.spans,
            [],
            context.disturbances,
        )
    )
    if complaint == "nothing":
        assert not found, found
    else:
        assert len(found) == 1 and complaint in found[0], found
