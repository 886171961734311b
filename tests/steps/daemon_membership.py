"""Steps for tests/daemon/membership.feature."""

import re
import time

from behave import given
from behave import then
from behave import when

from tests.daemon import fleet_fixture
from tests.daemon import fleet_views
from tests.support import fleet

DEFAULT_PROBES = {"probe_interval_s": 1.0, "probe_timeout_s": 0.4}
LISTED_TIMEOUT_S = 10.0
UNKNOWN = "unknown"


@given("a fleet of {vms:d} entry VMs with the default probes")
def _default_probes(context, vms):
    context.scene = fleet_fixture.FleetFixture(
        1, 0, vms, timing=DEFAULT_PROBES
    )
    context.closers.append(context.scene.close)


@given("a fleet of {vms:d} entry VMs whose network can be cut")
def _partitionable(context, vms):
    context.scene = fleet_views.PartitionableFleet(1, 0, vms)
    context.closers.append(context.scene.close)


@given("{vm} has minted {count:d} keys")
def _minted(context, vm, count):
    caller = context.scene.caller()
    keys = caller.mint_keys(count, context.scene.fleet.address(vm))
    context.minted = {f"op-{i}": key for i, key in enumerate(keys)}
    context.registration_answers = []


@when("{vm} is sent SIGSTOP")
def _pause(context, vm):
    fixture = context.scene
    context.incarnation = fixture.status(vm)["incarnation"]
    context.paused_at = time.monotonic()
    fixture.fleet.pause(vm)
    context.closers.append(lambda: fixture.fleet.resume(vm))


@when("{vm} is sent SIGCONT {seconds:f} s after SIGSTOP")
def _resume(context, vm, seconds):
    time.sleep(max(0.0, context.paused_at + seconds - time.monotonic()))
    context.scene.fleet.resume(vm)


@when("{vm} is restarted under its name")
def _restart(context, vm):
    context.incarnation = context.scene.status(vm)["incarnation"]
    context.unknown = {
        operation
        for operation, answer in context.registration_answers
        if answer.executed == UNKNOWN
    }
    context.scene.fleet.restart(vm)


@when("registrations with {count:d} of the keys are sent to {vm}")
def _register_some(context, count, vm):
    _register(context, list(context.minted)[:count], [vm])


@when("registrations with all the keys are sent to every entry VM")
def _register_all(context):
    _register(context, list(context.minted), context.scene.vms)


def _register(context, operations, vms):
    caller = context.scene.caller()
    for vm in vms:
        for operation in operations:
            answer = caller.call_service(
                fleet_fixture.SERVICE_ENTRY,
                "POST",
                "/entries",
                {"operation": operation},
                context.minted[operation],
                context.scene.fleet.address(vm),
            )
            context.registration_answers.append((operation, answer))


@then("the reported outcome of each registration is correct")
def _reported_outcomes_correct(context):
    runs = context.scene.fleet.total_execution_counts()
    assert all(runs.get(name, 0) <= 1 for name in context.minted), runs
    for operation, answer in context.registration_answers:
        run_count = runs.get(operation, 0)
        details = (operation, answer.status, answer.executed, answer.error)
        assert answer.status, details
        assert not answer.done or run_count == 1, details
        assert answer.done or answer.executed in ("no", UNKNOWN), details


@then(
    "the registrations sent only after the restart are unknown and did not run"
)
def _unknown_and_not_run(context):
    """Check that no key of the previous process ran after the restart.

    The first two registrations were sent before the restart.
    """
    sent_before = {
        operation for operation, _ in context.registration_answers[:2]
    }
    runs = context.scene.fleet.total_execution_counts()
    late = set(runs) & set(context.minted) - sent_before
    assert not late, (late, runs)
    answers = [
        answer
        for name, answer in context.registration_answers
        if name not in sent_before
    ]
    assert answers and all(a.executed == UNKNOWN for a in answers), [
        (a.status, a.executed, a.error) for a in answers
    ]


@then("{observers} no longer list {vm} within {seconds:f} s")
def _no_longer_listed(context, observers, vm, seconds):
    vms = re.findall(r"vm-\d+", observers)
    fixture = context.scene
    fleet.wait_for(
        lambda: vm not in fleet_views.listed_by_any(fixture, vms), seconds
    )


@then("all entry VMs list {vm} again in the same incarnation")
def _same_incarnation(context, vm):
    _wait_listed(
        context, vm, lambda incarnation: incarnation == context.incarnation
    )
    assert context.scene.status(vm)["incarnation"] == context.incarnation


@then("all entry VMs list {vm} again in a later incarnation")
def _later_incarnation(context, vm):
    _wait_listed(
        context, vm, lambda incarnation: incarnation > context.incarnation
    )


def _wait_listed(context, vm, is_expected):
    fixture = context.scene

    def listed():
        incarnations = [
            fleet_views.incarnation_at(fixture, each, vm)
            for each in fixture.vms
        ]
        listed_everywhere = all(
            vm in fleet_views.listed_by(fixture, each) for each in fixture.vms
        )
        return listed_everywhere and all(
            incarnation is not None and is_expected(incarnation)
            for incarnation in incarnations
        )

    fleet.wait_for(listed, LISTED_TIMEOUT_S)


@then("{vm} has logged that it was paused")
def _paused(context, vm):
    assert "event=paused" in context.scene.fleet.log(vm)


@when("the network between {first} and {second} is cut for {seconds:f} s")
def _partition(context, first, second, seconds):
    context.scene.partition(first, second)
    time.sleep(seconds)
    assert (
        context.scene.connection_attempts
    ), "no connection was attempted across the cut"


@when("the network is restored")
def _restored(context):
    context.scene.restore()


@then("no entry VM was declared dead")
def _none_dead(context):
    logs = map(context.scene.fleet.log, context.scene.vms)
    assert not any("event=member_dead" in log for log in logs)


@then("an entry VM was declared dead")
def _dead(context):
    logs = map(context.scene.fleet.log, context.scene.vms)
    assert any("event=member_dead" in log for log in logs)


@then("every entry VM lists all entry VMs")
def _all_listed(context):
    _all_listed_within(context, LISTED_TIMEOUT_S)


@then("every entry VM lists all entry VMs within {seconds:f} s")
def _all_listed_within(context, seconds):
    fixture = context.scene
    all_vms = set(fixture.vms)
    fleet.wait_for(
        lambda: all(
            fleet_views.listed_by(fixture, vm) == all_vms for vm in fixture.vms
        ),
        seconds,
    )


@then("{vm} is still running")
def _still_running(context, vm):
    assert context.scene.fleet.process(vm).running
