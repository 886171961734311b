"""Steps for tests/daemon/duties.feature."""

import re
import time

from behave import given
from behave import step
from behave import then
from behave import when

from tests.daemon import scene
from tests.support import fleet
from tests.support import http

DUTY = f"orders/{scene.MODEL_POOL}"
TAKE_OVER_S = 45.0


def _orders(context):
    running = context.scene
    return {
        name: http.call(
            running.fleet.address(name), "GET", "/v1/orders"
        ).payload
        for name in running.engines
    }


def _target(version):
    return [{"model": "m", "version": version, "adapters": []}]


@step("all runners have version {version} of the model in force")
def _in_force(context, version):
    def ordered():
        found = _orders(context).values()
        return all(
            row["target"]["models"] == _target(version) for row in found
        )

    fleet.wait_for(ordered, TAKE_OVER_S)


@given("runners ignore fencing numbers")
@when("runners ignore fencing numbers")
def _no_fencing(context):
    for name in context.scene.engines:
        context.scene.fleet.faults(name, fencing=False)


@when("the catalogue asks for version {version} of the model")
def _new_version(context, version):
    document = scene.catalogue()
    for entry in document["entries"].values():
        if entry["kind"] == "model":
            entry["version"] = version
    context.scene.fleet.put_catalogue(document)


@when("the holder of the duty is paused")
def _pause(context):
    running = context.scene
    context.holder = fleet.wait_for(lambda: running.holder_of(DUTY))
    context.fencing = running.status(context.holder)["duties"][DUTY]
    running.fleet.pause(context.holder)
    context.closers.append(lambda: running.fleet.resume(context.holder))


@when("the holder that was paused runs on")
def _resume(context):
    context.scene.fleet.resume(context.holder)


@when("{seconds:f} s pass")
def _pass(context, seconds):
    time.sleep(seconds)


@then("the runners saw a greater number than the first holder's")
def _greater(context):
    numbers = [row["fencing"] for row in _orders(context).values()]
    assert min(numbers) > context.fencing, (numbers, context.fencing)


@then("one entry VM alone gave orders under each number")
def _one_each(context):
    pattern = re.compile(r"event=order_sent .*fencing=(\d+)")
    by_vm = {
        vm: set(pattern.findall(context.scene.fleet.log(vm)))
        for vm in context.scene.vms
    }
    numbers = [number for found in by_vm.values() for number in found]
    assert numbers and len(numbers) == len(set(numbers)), by_vm


@when("an order for version {version} comes under the number {number:d}")
def _old_order(context, version, number):
    address = context.scene.fleet.address(context.scene.engines[0])
    order = {
        "order": f"late-{time.monotonic()}",
        "fencing": number,
        "target": {"models": _target(version), "role": "serve"},
    }
    context.reply = http.call(address, "POST", "/v1/orders", order)


@then("the runner refuses it")
def _refused(context):
    assert context.reply.status == 409, context.reply.payload


@then("the runner takes it")
def _taken(context):
    assert context.reply.status == 200, context.reply.payload
