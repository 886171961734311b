"""Steps for tests/vms/notices.feature."""

import math

from behave import given
from behave import step
from behave import then
from behave import when

from apricotlever import clock as clocks
from apricotlever.serving import runner_directory
from apricotlever.serving import runners
from apricotlever.vms import notices
from bench import _record_exchange_simulation as simulation

BORN = 7


@given("{count:d} VMs in 3 data centres {has} notices that know each other")
def _fleet(context, count, has):
    context.world = simulation.FleetSimulation(
        count, 3, has_notices=has == "with"
    )
    context.world.run(3.0)


@given("{percent:d}% of the datagrams are lost")
def _lose(context, percent):
    context.world.loss_rate = percent / 100


@when(
    "a runner's leaving becomes known to {count:d} VMs and fetches fail for "
    "{seconds:d} seconds"
)
def _announce(context, count, seconds):
    world = context.world
    context.noticed_at = world.clock.now()
    world.fetches_fail_until = context.noticed_at + seconds
    followers = world.rng.sample(list(world.vms.values()), count)
    [context.runner] = world.announce_leaving(1, followers)


def _run_until(context, seconds):
    context.world.run(context.noticed_at + seconds - context.world.clock.now())


@when("60% of the VMs end 1.9 seconds after the notice")
def _end(context):
    _run_until(context, 1.9)
    world = context.world
    vms = list(world.vms.values())
    for vm in world.rng.sample(vms, math.floor(0.6 * len(vms))):
        world.kill(vm)


@step("3 seconds have passed since the notice")
def _wait(context):
    # One step less: fetches succeed again from 3 s on.
    _run_until(context, 3.0 - simulation.STEP_S)


def _informed(context):
    return sum(
        vm.knows_leaving(context.runner) for vm in context.world.vms.values()
    )


@then("{count:d} VMs of {total:d} know it")
def _know(context, count, total):
    known = _informed(context)
    assert (known, len(context.world.vms)) == (count, total), known


@then("at most {count:d} of the remaining VMs don't know it")
def _dont_know(context, count):
    missing = len(context.world.vms) - _informed(context)
    print(f"{missing} of {len(context.world.vms)} don't know it")
    assert missing <= count, missing
    # Without notices, the fetches that fail must matter.
    if not context.world.has_notices:
        assert missing >= len(context.world.vms) - 3, missing


@then("no VM sends notices")
def _no_notices(context):
    for vm in context.world.vms.values():
        assert vm.exchange.notices.due() == [], vm.name


def _runner(name, revision):
    return runners.Runner(
        name, "s", "10.0.0.1", 80, "dc", 4, revision=revision, born=BORN
    )


def _board(context, count):
    context.clock = clocks.ManualClock()
    context.directory = runner_directory.RunnerDirectory(context.clock)
    names = [f"r{number}" for number in range(count)]
    context.directory.apply_list([_runner(n, 5) for n in names], 5)
    context.board = notices.NoticeBoard(context.clock)
    context.board.connect(context.directory)


@given("a VM that repeats a notice of revision 8")
def _repeats(context):
    _board(context, 1)
    [notice] = context.board.receive([("r0", BORN, 8)])
    assert context.directory.mark_leaving(notice)
    assert context.board.due() == [("r0", BORN, 8)]


@when("the runner's entry of revision 9 arrives")
def _newer(context):
    context.directory.apply_entry(_runner("r0", 9))


@then("the VM sends no notices")
def _sends_none(context):
    assert context.board.due() == []


@given("a VM that has learned that {count:d} runners are leaving")
def _many(context, count):
    _board(context, count)
    for number in range(count):
        leaving = _runner(f"r{number}", 10 + number).as_leaving()
        context.directory.apply_entry(leaving)


@then("it sends notices of the last {count:d}, newest first")
def _newest(context, count):
    sent = [name for name, _, _ in context.board.due()]
    assert sent == [f"r{99 - number}" for number in range(count)], sent


@then("the notices {value} are rejected")
def _rejected(context, value):
    # The values are Python literals of the feature file.
    assert notices.is_notices([("r", 1, 2)])
    assert not notices.is_notices(eval(value))  # noqa: S307
