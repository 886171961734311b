"""Steps for tests/daemon/silence.feature."""

import threading
import time

from behave import given
from behave import then
from behave import when

from tests.daemon import lookups
from tests.daemon import naive
from tests.daemon import registrations
from tests.daemon import scene
from tests.support import fleet

UNDER_WAY_S = 0.25


@given(
    "silent links before {engines:d} engines, {services:d} services and "
    "{vms:d} entry VMs"
)
def _linked(context, engines, services, vms):
    _start(context, engines, services, vms, linked=True)


@given(
    "direct links to {engines:d} engines, {services:d} services and {vms:d} "
    "entry VMs"
)
def _direct(context, engines, services, vms):
    _start(context, engines, services, vms, linked=False)


def _start(context, engines, services, vms, linked):
    context.scene = scene.Scene(engines, services, vms, linked=linked)
    context.closers.append(context.scene.close)
    context.lookups = lookups.Lookups(context.scene)
    context.closers.append(context.lookups.close)


@given("a silent link before the store of {vms:d} entry VMs")
def _linked_store(context, vms):
    context.scene = scene.Scene(1, 0, vms, linked_store=True)
    context.closers.append(context.scene.close)


@given("each plain service takes {seconds:f} s")
def _delayed(context, seconds):
    for name in context.scene.services:
        context.scene.fleet.faults(name, delay_s=seconds)


@given("service-0 takes {slow:f} s and the others {fast:f} s")
def _one_slow(context, slow, fast):
    _delayed(context, fast)
    context.scene.fleet.faults("service-0", delay_s=slow)


@when("a naive caller streams straight from {data_centre}, which goes silent")
def _naive(context, data_centre):
    [name] = context.scene.engines_in(data_centre)
    address = context.scene.relays[name].address
    context.naive = naive.DirectStreams(address, 2, 60)
    context.closers.append(context.naive.close)
    time.sleep(UNDER_WAY_S)
    context.scene.silence([name])


@when("the open connections to {data_centre} go silent")
def _silent(context, data_centre):
    names = context.scene.engines_in(data_centre)
    assert context.scene.silence(names)


@when("all open connections go silent")
def _all_silent(context):
    assert context.scene.silence(context.scene.relays)


@when("{seconds:f} s later all open connections go silent")
def _later(context, seconds):
    time.sleep(seconds)
    _all_silent(context)


@when("all open connections are reset")
def _all_reset(context):
    for relay in context.scene.relays.values():
        relay.cut()


@when("new connections to {data_centre} are swallowed for {seconds:f} s")
def _swallowed(context, data_centre, seconds):
    names = context.scene.engines_in(data_centre)
    context.scene.silence(names, new_too=True)
    relays = [context.scene.relays[name] for name in names]

    def restore():
        for relay in relays:
            relay.restore()

    timer = threading.Timer(seconds, restore)
    context.closers.append(timer.cancel)
    timer.start()


@when("{count:d} callers stream {tokens:d} tokens each in the silence")
def _in_silence(context, count, tokens):
    context.scene.stream(count, tokens)


@then("each first token came within {seconds:f} s")
def _first_tokens(context, seconds):
    slowest = max(answer.first_token_s for answer in context.found)
    assert slowest <= seconds, slowest


@when("{count:d} lookups are under way and all open connections go silent")
def _lookups_silent(context, count):
    context.lookups.begin(count)
    time.sleep(UNDER_WAY_S)
    _all_silent(context)


@when("{count:d} lookups are under way and all open connections are reset")
def _lookups_reset(context, count):
    context.lookups.begin(count)
    time.sleep(UNDER_WAY_S)
    _all_reset(context)


@when("{count:d} lookups run at the services when service-0 dies")
def _lookups_killed(context, count):
    context.lookups.begin(count)
    time.sleep(UNDER_WAY_S)
    context.scene.fleet.kill("service-0")


@then("each lookup was answered within {seconds:f} s, with its own answer")
def _answered(context, seconds):
    wrong = context.lookups.problems(seconds)
    assert not wrong, wrong


@then("the same lookups are answered when they are asked for again")
def _answered_again(context):
    context.lookups.again()
    _answered(context, 6.0)


@when("{count:d} lookups have left their connections for later")
def _left(context, count):
    context.lookups.begin(count)
    _answered(context, 6.0)
    assert any(relay.open for relay in context.scene.relays.values())


@then(
    "{count:d} new lookups are answered within {seconds:f} s, with their own "
    "answers"
)
def _new_lookups(context, count, seconds):
    context.lookups.begin(count)
    _answered(context, seconds)


@when("{count:d} lookups are made by {callers:d} callers")
def _many(context, count, callers):
    for _ in range(count // callers + 1):
        context.lookups.begin(callers)
        time.sleep(0.2)


@when("vm-0 stands still and its key is sent to vm-1 and vm-2")
def _still(context):
    book = registrations.Registrations(context.scene)
    context.closers.append(book.close)
    registration = book.new(registrations.MINTED, "vm-0")
    context.scene.fleet.pause("vm-0")
    began = time.monotonic()
    for vm in ("vm-1", "vm-2"):
        book.begin(registration, vm)
    book.wait()
    context.took_s = time.monotonic() - began
    context.book = book


@then("both were told unknown within {seconds:f} s")
def _told_unknown(context, seconds):
    told = [sending.told for sending in context.book.sendings]
    assert told == ["unknown"] * 2, told
    assert context.took_s <= seconds, context.took_s


@then("the key has not run")
def _not_run(context):
    assert not context.book.runs()


@when("the store's open connections go silent")
def _store_silent(context):
    assert context.scene.silence(["objects"])


@when("a catalogue is put in force")
def _put(context):
    context.put_at = time.monotonic()
    context.version = context.scene.fleet.put_catalogue(scene.catalogue())


@then("it is in force at each entry VM within {seconds:f} s")
def _in_force(context, seconds):
    def everywhere():
        pages = [context.scene.status(vm) for vm in context.scene.vms]
        return all(p["catalogue_version"] >= context.version for p in pages)

    fleet.wait_for(everywhere)
    took_s = time.monotonic() - context.put_at
    assert took_s <= seconds, took_s
