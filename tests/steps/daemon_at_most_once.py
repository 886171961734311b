"""Steps for tests/daemon/at_most_once.feature."""

import collections
import time

from behave import given
from behave import then
from behave import when

from tests.daemon import fleet_fixture
from tests.daemon import registrations
from tests.support import fleet
from tests.support import http

IN_PROGRESS_S = 0.25


def _start(context, services, vms, runner_relays=False):
    context.scene = fleet_fixture.FleetFixture(
        1, services, vms, runner_relays=runner_relays
    )
    context.closers.append(context.scene.close)
    context.registrations = registrations.Registrations(context.scene)
    context.closers.append(context.registrations.close)
    context.submitted = []


def _service_faults(context, **faults):
    for name in context.scene.services:
        if context.scene.fleet.process(name).running:
            context.scene.fleet.set_faults(name, **faults)


def _send_again(context, vms):
    for registration in context.submitted:
        for vm in vms:
            context.registrations.start_sending(registration, vm)
    context.registrations.wait()


@given("a registry of {services:d} services and {vms:d} entry VMs")
def _direct(context, services, vms):
    _start(context, services, vms)


@given(
    "a registry of {services:d} services behind relays and {vms:d} entry "
    "VMs"
)
def _behind_relays(context, services, vms):
    _start(context, services, vms, runner_relays=True)


@given("each service takes {seconds:f} s for a call")
def _delayed(context, seconds):
    _service_faults(context, delay_s=seconds)


@given(
    "services lose a fifth of their answers and take {seconds:f} s for a "
    "call"
)
def _lossy(context, seconds):
    _service_faults(context, lose_answer_probability=0.2, delay_s=seconds)


@when("a caller without the system registers and loses the answers")
def _without_system(context):
    _service_faults(context, lose_answer=1)
    for name in context.scene.services:
        address = context.scene.fleet.address(name)
        body = {"operation": "naive"}
        try:
            http.call(address, "POST", registrations.PATH, body)
        except registrations.http_errors():
            continue


@then("the registration without the system ran twice")
def _ran_twice(context):
    assert context.registrations.executed_repeatedly() == {
        "naive": 2
    }, context.registrations.runs()


@when("a registration with a {key} key hits fault {fault} at the service")
def _with_fault(context, key, fault):
    _service_faults(context, **{fault: 1})
    context.submitted = [context.registrations.new(key, "vm-0")]
    context.registrations.send(context.submitted[0], "vm-0")
    _service_faults(context, **{fault: 0})


@when("the registration is sent again to each entry VM twice")
def _to_each_twice(context):
    for vm in (*context.scene.vms, *context.scene.vms):
        context.registrations.send(context.submitted[0], vm)


@then("no registration ran twice")
def _none_twice(context):
    assert (
        not context.registrations.executed_repeatedly()
    ), context.registrations.executed_repeatedly()


@then("no registration that ran was reported as not executed")
def _no_false_denials(context):
    assert context.registrations.sent_calls
    assert (
        not context.registrations.false_denials()
    ), context.registrations.false_denials()


@then("the registration ran {runs:d} times")
def _ran_times(context, runs):
    found = context.registrations.runs().get(context.submitted[0].operation, 0)
    assert found == runs, found


@then("each attempt at the registration was reported as unknown")
def _all_unknown(context):
    outcomes = context.registrations.reported_outcomes(
        context.submitted[0].operation
    )
    assert set(outcomes) == {"unknown"}, outcomes


@when("connections fall silent while registrations with each kind of key run")
def _silent_during_run(context):
    _service_faults(context, delay_s=0.6)
    _in_progress(context, 1)
    context.scene.silence(context.scene.services)
    context.registrations.wait()


@when("the registrations are sent again to each entry VM")
def _to_each(context):
    context.repeated_from = len(context.registrations.sent_calls)
    _send_again(context, context.scene.vms)


@then("each registration ran once")
def _all_once(context):
    runs = context.registrations.runs()
    found = {r.operation: runs.get(r.operation, 0) for r in context.submitted}
    assert found and set(found.values()) == {1}, (
        found,
        _outcome_counts(context),
    )


@when("{count:d} registrations with each kind of key are in progress at vm-0")
def _in_progress(context, count):
    context.submitted = [
        context.registrations.new(kind, "vm-0")
        for kind in registrations.KINDS
        for _ in range(count)
    ]
    for registration in context.submitted:
        context.registrations.start_sending(registration, "vm-0")
    time.sleep(IN_PROGRESS_S)


@when("the registrations are sent again to vm-1 and vm-2 until vm-0 has ended")
def _until_ended(context):
    process = context.scene.fleet.process("vm-0")
    fleet.wait_for(lambda: _send_until_ended(context, process))
    _send_again(context, ("vm-1", "vm-2"))


def _send_until_ended(context, process):
    _send_again(context, ("vm-1", "vm-2"))
    return not process.running


@then("the last two attempts at every registration were reported as done")
def _all_done(context):
    last_outcomes = {
        registration.operation: context.registrations.reported_outcomes(
            registration.operation
        )[-2:]
        for registration in context.submitted
    }
    wrong = {k: v for k, v in last_outcomes.items() if v != ["done", "done"]}
    assert not wrong, (wrong, _outcome_counts(context))


def _outcome_counts(context):
    return collections.Counter(
        (sent_call.operation.partition("-")[0], sent_call.reported_outcome)
        for sent_call in context.registrations.sent_calls
    )


@when("the object API is down")
def _store_down(context):
    context.scene.fleet.set_faults("objects", down=True)


@when("the object API works again")
def _store_works(context):
    context.scene.fleet.set_faults("objects", down=False)


@when("a registration with {article} {key} key is sent to {vm}")
def _sent_to(context, article, key, vm):
    registration = context.registrations.new(key, vm)
    context.last = context.registrations.send(registration, vm)


@when("a declared first attempt with an own key is sent to {vm}")
def _first_attempt(context, vm):
    context.first_attempt = context.registrations.new(registrations.OWN)
    context.last = context.registrations.send(
        context.first_attempt, vm, registrations.FIRST_ATTEMPT
    )


@then("the caller is told {outcome} at once")
def _caller_told(context, outcome):
    answer = context.last.answer
    assert context.last.reported_outcome == outcome, (
        answer.status,
        answer.payload,
    )


@then("the caller gets claims_unavailable, not executed, with a time to retry")
def _claims_unavailable(context):
    answer = context.last.answer
    assert context.last.reported_outcome == "no", (
        answer.status,
        answer.payload,
    )
    assert answer.payload["error"]["type"] == "claims_unavailable"
    assert answer.retry_after_s


@then("the declared first attempt runs once when it is sent to {vm}")
def _first_attempt_runs(context, vm):
    def ran():
        return (
            context.registrations.send(
                context.first_attempt, vm
            ).reported_outcome
            == "done"
        )

    fleet.wait_for(ran)
    assert context.registrations.runs()[context.first_attempt.operation] == 1


@when("the object API loses the answer of each write")
def _store_loses_answers(context):
    context.scene.fleet.set_faults("objects", lose_answer=True)


@when(
    "{count:d} registrations with own keys are sent to every entry VM at once"
)
def _own_everywhere(context, count):
    context.submitted = [
        context.registrations.new(registrations.OWN) for _ in range(count)
    ]
    _send_again(context, context.scene.vms)


@when(
    "vm-0 pauses for {seconds:f} s while the registrations go to vm-1 and "
    "vm-2"
)
def _paused(context, seconds):
    context.scene.fleet.pause("vm-0")
    until = time.monotonic() + seconds
    try:
        for registration in context.submitted:
            for vm in ("vm-1", "vm-2"):
                context.registrations.start_sending(registration, vm)
        time.sleep(max(0.0, until - time.monotonic()))
    finally:
        context.scene.fleet.resume("vm-0")
    context.registrations.wait()


@when("the registrations are sent again to vm-1 and vm-2")
def _to_others(context):
    context.registrations.wait()
    context.repeated_from = len(context.registrations.sent_calls)
    _send_again(context, ("vm-1", "vm-2"))


@then("every repeated call with a minted key was reported as unknown")
def _minted_unknown(context):
    repeated = context.registrations.sent_calls[context.repeated_from :]
    minted = [s for s in repeated if s.operation.startswith("minted")]
    wrong = [
        s.answer.payload for s in minted if s.reported_outcome != "unknown"
    ]
    assert minted and not wrong, (len(wrong), len(minted), wrong[:3])


@when("vm-0 is restarted under the same name")
def _restarted(context):
    context.scene.fleet.restart("vm-0")


@then("a registration with a new key of vm-0 runs once")
def _new_key(context):
    fleet.wait_for(lambda: context.scene.status("vm-0")["catalogue_version"])
    registration = context.registrations.new(registrations.MINTED, "vm-0")

    def ran():
        return (
            context.registrations.send(registration, "vm-1").reported_outcome
            == "done"
        )

    fleet.wait_for(ran)
    assert context.registrations.runs()[registration.operation] == 1


@when(
    "{count:d} registrations are sent to every entry VM twice at the same "
    "time"
)
def _sent_everywhere(context, count):
    context.count = count
    context.registrations.send_everywhere(count, context.scene.vms)


@when("service-0 is killed while the registrations run")
def _service_killed(context):
    time.sleep(0.3)
    context.scene.fleet.kill_without_notice(["service-0"])
    context.registrations.wait()


@then("most registrations ran")
def _most_ran(context):
    ran = len(context.registrations.runs())
    assert ran >= 0.8 * context.count, (ran, _outcome_counts(context))


@when("the registration is sent again to vm-1 while vm-1 stops")
def _while_stopping(context):
    process = context.scene.fleet.process("vm-1")
    context.scene.fleet.terminate("vm-1")
    while process.running:
        context.registrations.send(context.submitted[0], "vm-1")
