"""Steps for tests/daemon/membership.feature."""

import re
import time

from behave import given
from behave import then
from behave import when

from tests.daemon import neighbours
from tests.daemon import scene
from tests.support import fleet

DEFAULT_PROBES = {"probe_interval_s": 1.0, "probe_timeout_s": 0.4}
SOON_S = 10.0
UNKNOWN = "unknown"


@given("a fleet of {vms:d} entry VMs with the default probes")
def _default_probes(context, vms):
    context.scene = scene.Scene(1, 0, vms, timing=DEFAULT_PROBES)
    context.closers.append(context.scene.close)


@given("a fleet of {vms:d} entry VMs whose network can be cut")
def _can_be_cut(context, vms):
    context.scene = neighbours.DetouredScene(1, 0, vms)
    context.closers.append(context.scene.close)


@given("{vm} has minted {count:d} keys")
def _minted(context, vm, count):
    one = context.scene.caller()
    keys = one.mint_keys(count, context.scene.fleet.address(vm))
    context.minted = {f"op-{i}": key for i, key in enumerate(keys)}
    context.told = []


@when("{vm} stands still")
def _pause(context, vm):
    running = context.scene
    context.incarnation = running.status(vm)["incarnation"]
    context.paused_at = time.monotonic()
    running.fleet.pause(vm)
    context.closers.append(lambda: running.fleet.resume(vm))


@when("{vm} runs on {seconds:f} s after it stood still")
def _resume(context, vm, seconds):
    time.sleep(max(0.0, context.paused_at + seconds - time.monotonic()))
    context.scene.fleet.resume(vm)


@when("{vm} is started again under its name")
def _restart(context, vm):
    context.incarnation = context.scene.status(vm)["incarnation"]
    context.unknown = {
        operation
        for operation, answer in context.told
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
    one = context.scene.caller()
    for vm in vms:
        for operation in operations:
            answer = one.service(
                scene.SERVICE_ENTRY,
                "POST",
                "/entries",
                {"operation": operation},
                context.minted[operation],
                context.scene.fleet.address(vm),
            )
            context.told.append((operation, answer))


@then("what was told of each registration is true")
def _true(context):
    runs = context.scene.fleet.journals()
    assert all(runs.get(name, 0) <= 1 for name in context.minted), runs
    for operation, answer in context.told:
        ran = runs.get(operation, 0)
        told = (operation, answer.status, answer.executed, answer.error)
        assert answer.status, told
        assert not answer.done or ran == 1, told
        assert answer.done or answer.executed in ("no", UNKNOWN), told


@then("no registration whose outcome was unknown ran later")
def _not_later(context):
    """After the restart no key of the ended process may be run."""
    first = {operation for operation, _ in context.told[:2]}
    runs = context.scene.fleet.journals()
    late = set(runs) & set(context.minted) - first
    assert not late, (late, runs)
    told = [answer for name, answer in context.told if name not in first]
    assert told and all(a.executed == UNKNOWN for a in told), [
        (a.status, a.executed, a.error) for a in told
    ]


@then("{observers} name {vm} no longer within {seconds:f} s")
def _named_no_longer(context, observers, vm, seconds):
    vms = re.findall(r"vm-\d+", observers)
    running = context.scene
    fleet.wait_for(lambda: vm not in neighbours.names(running, vms), seconds)


@then("all entry VMs name {vm} again in the same incarnation")
def _same(context, vm):
    _wait_named(context, vm, lambda known: known == context.incarnation)
    assert context.scene.status(vm)["incarnation"] == context.incarnation


@then("all entry VMs name {vm} again in a later incarnation")
def _later(context, vm):
    _wait_named(context, vm, lambda known: known > context.incarnation)


def _wait_named(context, vm, right):
    running = context.scene

    def named():
        known = [
            neighbours.incarnation_at(running, each, vm)
            for each in running.vms
        ]
        everywhere = all(
            vm in neighbours.named_by(running, each) for each in running.vms
        )
        return everywhere and all(k is not None and right(k) for k in known)

    fleet.wait_for(named, SOON_S)


@then("{vm} knows that it was paused")
def _paused(context, vm):
    assert "event=paused" in context.scene.fleet.log(vm)


@when("the network between {one} and {other} is cut for {seconds:f} s")
def _cut(context, one, other, seconds):
    context.scene.cut(one, other)
    time.sleep(seconds)
    assert context.scene.attempts, "nobody tried to pass the cut"


@when("the network is whole again")
def _mended(context):
    context.scene.mend()


@then("no entry VM was held to be dead")
def _none_dead(context):
    logs = map(context.scene.fleet.log, context.scene.vms)
    assert not any("event=member_dead" in log for log in logs)


@then("an entry VM was held to be dead")
def _dead(context):
    logs = map(context.scene.fleet.log, context.scene.vms)
    assert any("event=member_dead" in log for log in logs)


@then("every entry VM names all of them")
def _all_named(context):
    _all_named_within(context, SOON_S)


@then("every entry VM names all of them within {seconds:f} s")
def _all_named_within(context, seconds):
    running = context.scene
    everybody = set(running.vms)
    fleet.wait_for(
        lambda: all(
            neighbours.named_by(running, vm) == everybody for vm in running.vms
        ),
        seconds,
    )


@then("{vm} still runs")
def _runs(context, vm):
    assert context.scene.fleet.process(vm).running
