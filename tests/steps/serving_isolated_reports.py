"""Steps for tests/serving/isolated_reports.feature."""

import asyncio

from behave import given
from behave import then
from behave import when

from apricotlever import clock as clocks
from apricotlever.serving import configuration_model
from apricotlever.serving import reach_probes
from apricotlever.serving import task_supervisor
from tests.serving import request_path

WAIT_S = 15.0
TICK_S = 0.1
#: Time in which a VM finds that it lost its runners, or is back.
FINDING_S = 4.0


def _start(context, behaviours):
    context.loop = asyncio.Runner()
    context.world = world = request_path.RequestPath()
    context.closers.append(context.loop.close)
    context.closers.append(lambda: _run(context, world.stop()))
    _run(context, _set_up(world, behaviours))


async def _set_up(world, behaviours):
    await world.start()
    for behaviour in behaviours:
        await world.add_runner([behaviour])
    world.configure(configuration_model.CallKind.IDEMPOTENT, max_attempts=1)
    world.upstreams.refresh()


def _run(context, work):
    return context.loop.run(asyncio.wait_for(work, WAIT_S))


async def _tick_until(world, is_reached):
    """Do what the tick of a VM does until a condition holds."""
    tasks = task_supervisor.TaskSupervisor()
    probes = reach_probes.ReachProbes(
        clocks.SystemClock(), world.upstreams, tasks
    )
    loop = asyncio.get_running_loop()
    until = loop.time() + FINDING_S
    while not is_reached():
        assert loop.time() < until, world.upstreams.outcome_counts
        probes.tick()
        world.upstreams.sweep(loop.time())
        await asyncio.sleep(TICK_S)
    world.upstreams.sweep(loop.time())


@given("a VM whose runners all reset its connections and refuse new ones")
def _all_crash(context):
    _start(context, ["crashes"] * 3)


@given("a VM all of whose runners but one reset each call")
def _all_reset_but_one(context):
    _start(context, ["resets", "resets", "resets", "answers"])


@when("{count:d} calls are made and the VM finds that it lost its runners")
def _call_and_find(context, count):
    async def work():
        await _call(context.world, count)
        for standin in context.world.standins:
            standin.stop()
        reach = context.world.upstreams.reach
        await _tick_until(context.world, lambda: reach.lacks_paths)

    _run(context, work())


@when("{count:d} calls are made until failures may be reported")
def _call_only(context, count):
    async def work():
        await _call(context.world, count)
        upstreams = context.world.upstreams
        await _tick_until(
            context.world,
            lambda: any(f for f, _ in upstreams.reports.failures.values()),
        )

    _run(context, work())


async def _call(world, count):
    for _ in range(count):
        await world.call_alone("call-1")


@when("its runners are back")
def _back(context):
    async def work():
        for standin in context.world.standins:
            standin.behaviour_names = ["answers"]
            await standin.listen_again()
        reach = context.world.upstreams.reach
        await _tick_until(context.world, lambda: reach.is_connected)

    _run(context, work())


@then("it reports no failure, silence, refusal or crash")
def _reports_nothing(context):
    reports = context.world.upstreams.reports
    assert not reports.silent and not reports.refused
    assert reports.crashes(True) is None
    assert not any(failed for failed, _ in reports.failures.values())
    assert reports.dropped_failures


@then("a call like those before is served")
def _served(context):
    reply = _run(context, context.world.call_alone("call-1"))
    assert reply.status == 200, reply.status


@then("it reports failures, and none of the runner that answers")
def _reports_failures(context):
    failures = context.world.upstreams.reports.failures
    assert not failures["runner-4"][0], failures
