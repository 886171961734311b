"""Steps for tests/contracts/restarted_limits.feature."""

import bisect

from behave import given
from behave import then
from behave import when

from apricotlever.contracts import token_bucket
from tests.contracts import restarted_fleet

WINDOW_S = 10.0


@given("{count:d} VMs that admit {rate:d} requests a second together")
def _fleet(context, count, rate):
    context.fleet = restarted_fleet.RestartedFleet(count, rate)
    context.fleet.run(5.0)


@when(
    "{which} are killed at random times, {times:d} times in {seconds:d} s, "
    "and start again"
)
def _killed(context, which, times, seconds):
    fleet = context.fleet
    for number in range(times):
        fleet.run(fleet.rng.uniform(0.2, 2.0) * seconds / times)
        for vm in fleet.choose(which, number):
            vm.kill()


@when("all VMs are killed once and start again")
def _killed_once(context):
    fleet = context.fleet
    fleet.run(WINDOW_S)
    for vm in fleet.vms:
        vm.kill()
    context.began_at = fleet.clock.now() + restarted_fleet.DOWN_S
    fleet.run(WINDOW_S)


@then("no 10 seconds admit more than the limit and its burst")
def _within_limit(context):
    times = context.fleet.admitted_at
    allowed = context.fleet.rate * (WINDOW_S + token_bucket.DEFAULT_BURST_S)
    most = max(
        index + 1 - bisect.bisect_left(times, at - WINDOW_S)
        for index, at in enumerate(times)
    )
    assert most <= allowed, (most, allowed)


def _admitted_share(context, since, until):
    times = context.fleet.admitted_at
    count = sum(since <= at - context.began_at < until for at in times)
    return count / ((until - since) * context.fleet.rate)


@then("eight tenths of the limit are admitted in the first second")
def _first_second(context):
    assert _admitted_share(context, 0.0, 1.0) >= 0.8


@then("as much from the fifth second on")
def _later(context):
    assert _admitted_share(context, 5.0, 9.0) >= 0.8
