"""Steps for tests/daemon/silence.feature."""

import threading
import time

from behave import given
from behave import then
from behave import when

from tests.daemon import direct_streams
from tests.daemon import fleet_fixture
from tests.daemon import lookups
from tests.daemon import registrations
from tests.support import fleet

IN_PROGRESS_S = 0.25


@given(
    "relays in front of {engines:d} engines and {services:d} services, and "
    "{vms:d} entry VMs"
)
def _behind_relays(context, engines, services, vms):
    _start_fleet(context, engines, services, vms, runner_relays=True)


@given(
    "direct connections to {engines:d} engines and {services:d} services, "
    "and {vms:d} entry VMs"
)
def _without_relays(context, engines, services, vms):
    _start_fleet(context, engines, services, vms, runner_relays=False)


def _start_fleet(context, engines, services, vms, runner_relays):
    context.scene = fleet_fixture.FleetFixture(
        engines, services, vms, runner_relays=runner_relays
    )
    context.closers.append(context.scene.close)
    context.lookups = lookups.Lookups(context.scene)
    context.closers.append(context.lookups.close)


@given("a relay in front of the store of {vms:d} entry VMs")
def _store_behind_relay(context, vms):
    context.scene = fleet_fixture.FleetFixture(1, 0, vms, store_relay=True)
    context.closers.append(context.scene.close)


@given("each plain service takes {seconds:f} s")
def _set_service_delay(context, seconds):
    for name in context.scene.services:
        context.scene.fleet.set_faults(name, delay_s=seconds)


@given("service-0 takes {slow:f} s and the others {fast:f} s")
def _set_service_delays(context, slow, fast):
    _set_service_delay(context, fast)
    context.scene.fleet.set_faults("service-0", delay_s=slow)


@when(
    "a caller without the system streams from {data_centre}, which goes "
    "silent"
)
def _stream_directly(context, data_centre):
    [name] = context.scene.engines_in(data_centre)
    address = context.scene.relays[name].address
    context.direct_streams = direct_streams.DirectStreams(address, 2, 60)
    context.closers.append(context.direct_streams.close)
    time.sleep(IN_PROGRESS_S)
    context.scene.silence([name])


@when("the open connections to {data_centre} go silent")
def _silence_open(context, data_centre):
    names = context.scene.engines_in(data_centre)
    assert context.scene.silence(names)


@when("all open connections go silent")
def _silence_all(context):
    assert context.scene.silence(context.scene.relays)


@when("{seconds:f} s later all open connections go silent")
def _silence_all_later(context, seconds):
    time.sleep(seconds)
    _silence_all(context)


@when("all open connections are reset")
def _reset_all(context):
    for relay in context.scene.relays.values():
        relay.reset_connections()


@when("open and new connections to {data_centre} are silent for {seconds:f} s")
def _silence_for(context, data_centre, seconds):
    names = context.scene.engines_in(data_centre)
    context.scene.silence(names, new_too=True)
    relays = [context.scene.relays[name] for name in names]

    def restore():
        for relay in relays:
            relay.restore()

    timer = threading.Timer(seconds, restore)
    context.closers.append(timer.cancel)
    timer.start()


@when("{count:d} callers stream {tokens:d} tokens each during the silence")
def _stream_during_silence(context, count, tokens):
    context.scene.stream(count, tokens)


@then("each first token came within {seconds:f} s")
def _first_tokens(context, seconds):
    slowest = max(answer.first_token_s for answer in context.found)
    assert slowest <= seconds, slowest


@when("all open connections go silent while {count:d} lookups run")
def _silence_during_lookups(context, count):
    context.lookups.start(count)
    time.sleep(IN_PROGRESS_S)
    _silence_all(context)


@when("all open connections are reset while {count:d} lookups run")
def _reset_during_lookups(context, count):
    context.lookups.start(count)
    time.sleep(IN_PROGRESS_S)
    _reset_all(context)


@when("service-0 is killed while {count:d} lookups run")
def _kill_during_lookups(context, count):
    context.lookups.start(count)
    time.sleep(IN_PROGRESS_S)
    context.scene.fleet.kill("service-0")


@then("each lookup got its own answer within {seconds:f} s")
def _lookups_answered(context, seconds):
    problems = context.lookups.problems(seconds)
    assert not problems, problems


@then("the same lookups are answered when they are repeated")
def _lookups_answered_again(context):
    context.lookups.repeat_all()
    _lookups_answered(context, 6.0)


@when("{count:d} lookups have left idle connections")
def _idle_connections(context, count):
    context.lookups.start(count)
    _lookups_answered(context, 6.0)
    assert any(relay.open_count for relay in context.scene.relays.values())


@then("{count:d} new lookups get their own answers within {seconds:f} s")
def _new_lookups(context, count, seconds):
    context.lookups.start(count)
    _lookups_answered(context, seconds)


@when("{count:d} lookups are made by {callers:d} callers")
def _many_lookups(context, count, callers):
    for _ in range(count // callers + 1):
        context.lookups.start(callers)
        time.sleep(0.2)


@when("vm-0 pauses while a registration with its key is sent to vm-1 and vm-2")
def _pause_owner(context):
    registration_calls = registrations.Registrations(context.scene)
    context.closers.append(registration_calls.close)
    registration = registration_calls.new(registrations.MINTED, "vm-0")
    context.scene.fleet.pause("vm-0")
    started_at = time.monotonic()
    for vm in ("vm-1", "vm-2"):
        registration_calls.start_sending(registration, vm)
    registration_calls.wait()
    context.elapsed_s = time.monotonic() - started_at
    context.registrations = registration_calls


@then("both attempts were reported as unknown within {seconds:f} s")
def _both_unknown(context, seconds):
    outcomes = [
        sent_call.reported_outcome
        for sent_call in context.registrations.sent_calls
    ]
    assert outcomes == ["unknown"] * 2, outcomes
    assert context.elapsed_s <= seconds, context.elapsed_s


@then("the registration has not run")
def _registration_not_run(context):
    assert not context.registrations.runs()


@when("the store's open connections go silent")
def _silence_store(context):
    assert context.scene.silence(["objects"])


@when("a catalogue is written to the store")
def _write_catalogue(context):
    context.written_at = time.monotonic()
    context.version = context.scene.fleet.put_catalogue(
        fleet_fixture.catalogue()
    )


@then("the catalogue is in force at each entry VM within {seconds:f} s")
def _in_force(context, seconds):
    def in_force():
        pages = [context.scene.status(vm) for vm in context.scene.vms]
        return all(p["catalogue_version"] >= context.version for p in pages)

    fleet.wait_for(in_force)
    elapsed_s = time.monotonic() - context.written_at
    assert elapsed_s <= seconds, elapsed_s
