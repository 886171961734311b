"""Steps for tests/daemon/duties.feature."""

import re
import time

from behave import given
from behave import step
from behave import then
from behave import when

from tests.daemon import fleet_fixture
from tests.support import fleet
from tests.support import http

DUTY = f"orders/{fleet_fixture.MODEL_POOL}"
TAKEOVER_TIMEOUT_S = 45.0


def _orders_in_force(context):
    fixture = context.scene
    return {
        name: http.call(
            fixture.fleet.address(name), "GET", "/v1/orders"
        ).payload
        for name in fixture.engines
    }


def _target(version):
    return [{"model": "m", "version": version, "adapters": []}]


@step("all runners have version {version} of the model in force")
def _in_force(context, version):
    def in_force():
        orders = _orders_in_force(context).values()
        return all(
            row["target"]["models"] == _target(version) for row in orders
        )

    fleet.wait_for(in_force, TAKEOVER_TIMEOUT_S)


@given("runners ignore fencing numbers")
@when("runners ignore fencing numbers")
def _no_fencing(context):
    for name in context.scene.engines:
        context.scene.fleet.set_faults(name, fencing=False)


@when("the catalogue asks for version {version} of the model")
def _new_version(context, version):
    document = fleet_fixture.catalogue()
    for entry in document["entries"].values():
        if entry["kind"] == "model":
            entry["version"] = version
    context.scene.fleet.put_catalogue(document)


@when("the holder of the duty is paused")
def _pause(context):
    fixture = context.scene
    context.holder = fleet.wait_for(lambda: fixture.holder_of(DUTY))
    context.fencing = fixture.status(context.holder)["duties"][DUTY]
    fixture.fleet.pause(context.holder)
    context.closers.append(lambda: fixture.fleet.resume(context.holder))


@when("the paused holder is resumed")
def _resume(context):
    context.scene.fleet.resume(context.holder)


@when("{seconds:f} s pass")
def _wait(context, seconds):
    time.sleep(seconds)


@then("the runners have seen a higher fencing number than the first holder's")
def _higher_fencing(context):
    numbers = [row["fencing"] for row in _orders_in_force(context).values()]
    assert min(numbers) > context.fencing, (numbers, context.fencing)


@then("only one entry VM sent orders under each fencing number")
def _one_vm_each(context):
    pattern = re.compile(r"event=order_sent .*fencing=(\d+)")
    by_vm = {
        vm: set(pattern.findall(context.scene.fleet.log(vm)))
        for vm in context.scene.vms
    }
    numbers = [number for sent in by_vm.values() for number in sent]
    assert numbers and len(numbers) == len(set(numbers)), by_vm


@when("an order for version {version} arrives with fencing number {number:d}")
def _send_order(context, version, number):
    address = context.scene.fleet.address(context.scene.engines[0])
    order = {
        "order": f"late-{time.monotonic()}",
        "fencing": number,
        "target": {"models": _target(version), "role": "serve"},
    }
    context.reply = http.call(address, "POST", "/v1/orders", order)


@then("the runner refuses the order")
def _refused(context):
    assert context.reply.status == 409, context.reply.payload


@then("the runner accepts the order")
def _accepted(context):
    assert context.reply.status == 200, context.reply.payload
