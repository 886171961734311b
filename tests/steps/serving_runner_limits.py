"""Steps for tests/serving/runner_limits.feature."""

import asyncio

from behave import given
from behave import then
from behave import when

from tests.serving import fleet_paths

#: Longer than any scenario's calls, in seconds.
WAIT_S = 60.0


def _run(context, work):
    return context.loop.run(asyncio.wait_for(work, WAIT_S))


@given("{vms:d} VMs that share {runners:d} runners")
def _start_fleet(context, vms, runners):
    context.loop = asyncio.Runner()
    context.closers.append(context.loop.close)

    async def start():
        context.fleet = fleet_paths.FleetPaths(vms)
        await context.fleet.start(runners)

    _run(context, start())
    context.closers.append(lambda: _run(context, context.fleet.stop()))


@given("runner {number:d} names a limit of {limit:g} calls a second")
def _name_limit(context, number, limit):
    runner = context.fleet.runners[number - 1]
    runner.statements = [f"Limit-Per-S: {limit:g}"]


@when("the VMs get {per_s:d} calls a second for {seconds:g} seconds")
def _call_steadily(context, per_s, seconds):
    context.seconds = seconds
    _run(context, context.fleet.call_steadily(per_s, seconds))


@then(
    "from {start:g} seconds on runner {number:d} gets at most {most:d} calls "
    "in any {span:g} seconds"
)
def _check_most(context, start, number, most, span):
    context.runner = context.fleet.runners[number - 1]
    times = context.runner.arrived_at
    # The runner names its limit in its first response.
    context.counted_from = times[0] + start
    context.counted_for = context.seconds - start
    found = fleet_paths.most_within(times, span, context.counted_from)
    assert found <= most, f"{found} calls in {span} seconds"


@then(
    "from {start:g} seconds on it gets at least {share:g} of the {limit:g} "
    "calls a second"
)
def _check_least(context, start, share, limit):
    found = sum(at >= context.counted_from for at in context.runner.arrived_at)
    least = share * limit * context.counted_for
    assert found >= least, f"{found} calls, {least:g} wanted"


@then("all calls are answered")
def _check_answers(context):
    statuses = [reply.status for reply in context.fleet.replies]
    assert set(statuses) == {200}, statuses
