"""Steps for tests/runners/refused_connections.feature."""

import random

from behave import given
from behave import then
from behave import when

from apricotlever import clock as clocks
from apricotlever.runners import model as models
from apricotlever.runners import refused_connections
from apricotlever.runners import routing
from tests.runners import refused_fleet

RUNNER = "r-0"
#: Time for the circuits of a new fleet to leave their initial state, in
#: seconds.
SETTLE_S = 3.0


@when("its runner refuses a connection")
def _refuse_circuit(context):
    context.health.refused()


@given("a VM that knows one runner of a service")
def _vm(context):
    context.clock = clocks.ManualClock(100.0)
    context.router = routing.Router(
        context.clock, random.Random(1), "vm", "dc", "home_or_faster"
    )
    context.router.set_runners(
        [models.Runner(RUNNER, RUNNER, "dc", "s", "", "", 1.0, 4)]
    )
    context.refused = refused_connections.RefusedConnections(context.clock)


@when("{count:d} VM reports the runner")
@when("{count:d} VMs report the runner")
def _report(context, count):
    context.refused.set_reports({RUNNER: count})
    context.router.set_reported(
        context.refused.reported, context.refused.confirmed
    )


@when("no VM reports the runner")
def _no_report(context):
    _report(context, 0)


@when("a request to the runner fails")
def _fail(context):
    context.router.record_failure(RUNNER)


@when("the runner answers this VM")
def _answer(context):
    context.refused.answered(RUNNER)
    context.router.record_success(RUNNER)


@when("the runner refuses this VM a connection")
def _refuse(context):
    context.refused.refused(RUNNER)
    context.router.record_refused(RUNNER)


@when("{seconds:f} seconds pass without calls")
def _pass(context, seconds):
    context.clock.advance(seconds)


def _uses(context):
    found = context.router.choose(models.Query("r", "s", ""))
    return isinstance(found, models.Route)


@then("the VM uses the runner")
def _used(context):
    assert _uses(context)


@then("the VM avoids the runner")
def _avoided(context):
    assert not _uses(context)


@then("the VM reports the runner")
def _reported(context):
    assert context.refused.refused_here == [RUNNER]


@then("the VM reports no runner")
def _not_reported(context):
    assert not context.refused.refused_here


@given("{vms:d} VMs that send {rate:d} calls per second to 45 runners")
def _fleet(context, vms, rate):
    context.fleet = refused_fleet.Fleet(vms, rate, reports=True)
    context.today = refused_fleet.Fleet(vms, rate, reports=False)
    context.fleet.run(SETTLE_S)
    context.today.run(SETTLE_S)


@when("{count:d} runners crash and leave the list {seconds:d} seconds later")
def _crash(context, count, seconds):
    for fleet in (context.fleet, context.today):
        fleet.down = frozenset(refused_fleet.NAMES[:count])
        fleet.run(seconds)
        fleet.list_runners(refused_fleet.NAMES[count:])
        fleet.run(2.0)


@when("{count:d} runners refuse connections for {seconds:f} seconds")
def _restart(context, count, seconds):
    fleet = context.fleet
    context.restarted = refused_fleet.NAMES[:count]
    fleet.down = frozenset(context.restarted)
    fleet.run(seconds)
    fleet.down = frozenset()
    fleet.run(4.0 - seconds)


@when("another runner answers this VM")
def _answer_other(context):
    context.refused.answered("r-9")


@when("{count:d} VMs are refused by all runners for {seconds:d} seconds")
def _cut_off(context, count, seconds):
    context.avoided = 0
    fleet = context.fleet
    for vm in fleet.vms[:count]:
        vm.reaches = False

    def check():
        context.avoided += sum(
            not vm.allows(name)
            for vm in fleet.vms[count:]
            for name in refused_fleet.NAMES[:5]
        )

    fleet.run(seconds, check)


@then("at most {part:f} of the failed connections of today remain")
def _fewer(context, part):
    found = (context.fleet.failed, context.today.failed)
    assert found[0] <= part * found[1], found


@then("no call is refused, and today {least:d} are")
def _refused(context, least):
    assert context.fleet.refused_calls == 0, context.fleet.refused_calls
    assert context.today.refused_calls >= least, context.today.refused_calls


@then(
    "{seconds:d} seconds after the crash, {part:f} of the VMs may use each "
    "of them"
)
def _usable(context, seconds, part):
    vms = context.fleet.vms
    for name in context.restarted:
        usable = sum(vm.allows(name) for vm in vms)
        assert usable >= part * len(vms), (name, usable)


@then("no other VM ever avoids a runner")
def _never_avoided(context):
    assert context.fleet.failed > 0
    assert context.avoided == 0, context.avoided
