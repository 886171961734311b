"""Steps for tests/daemon/store_outages.feature."""

import functools
import re
import time

from behave import given
from behave import then
from behave import when

from tests.daemon import edits
from tests.daemon import fleet_fixture
from tests.daemon import followers
from tests.daemon import outages
from tests.support import answers
from tests.support import caller
from tests.support import fleet

DEFAULT_TIMEOUT_S = 10.0
DEFAULT_WATCH_S = 20.0
PEERS_PAUSE_S = 0.2
OWN_KEY = "made-up"
FIRST_HEADER = "Apricotlever-First-Attempt"


@given(
    "a fleet of {engines:d} engines and {vms:d} entry VMs with a relay at "
    "the store"
)
def _relayed(context, engines, vms):
    context.scene = outages.StoreRelayFixture(
        engines, 0, vms, timing={"watch_s": DEFAULT_WATCH_S}
    )
    context.closers.append(context.scene.close)


@given("an operator has put edits {first:d} to {last:d} in force")
def _puts_many(context, first, last):
    for edit in range(first, last + 1):
        edits.store_edit(context, edit)
    outages.wait_in_force(context.scene, context.version, DEFAULT_TIMEOUT_S)


@when('the store has the fault "{fault}"')
def _fault(context, fault):
    fixture = context.scene
    context.before = outages.versions(fixture)
    fixture.fleet.set_faults(outages.STORE, **outages.FAULTS[fault])


@when("the store works again")
def _works_again(context):
    context.scene.fleet.control(outages.STORE, "reset", {})


@when("the store has compacted its history")
def _compacted(context):
    context.scene.fleet.put_object("other", {})
    context.scene.fleet.control(outages.STORE, "compact", {})


@when("the store loses the next {count:d} answers")
def _loses(context, count):
    context.scene.fleet.set_faults(outages.STORE, lose_answer=count)


@when("all open connections to the store go silent")
def _connections_silenced(context):
    fixture = context.scene
    fleet.wait_for(
        lambda: fixture.fleet.counts(outages.STORE)["watches_waiting"]
        >= len(fixture.vms)
    )
    assert fixture.relay.blackhole() >= len(fixture.vms)
    fixture.fleet.node(outages.STORE).address = fixture.store_address


@when("the store is restored with edit {edit:d}")
def _restored(context, edit):
    context.before = outages.versions(context.scene)
    context.scene.fleet.restart(outages.STORE)
    version = context.scene.fleet.put_catalogue(
        followers.edited_catalogue(edit)
    )
    assert version < min(context.before.values())


@when("an invalid document is stored")
def _invalid(context):
    context.before = outages.versions(context.scene)
    document = followers.edited_catalogue(1)
    document["entries"][fleet_fixture.MODEL_ENTRY]["class"] = "no such class"
    context.scene.fleet.put_catalogue(document)


@when("an operator puts edit {edit:d} in force")
def _puts(context, edit):
    edits.store_edit(context, edit)


@then("the edit is in force at every entry VM within {seconds:d} s")
def _in_force(context, seconds):
    edits.check_in_force(context, seconds)


@then("the catalogue in force has not changed")
def _unchanged(context):
    found = outages.versions(context.scene)
    assert found == context.before, (found, context.before)


@then('an entry VM reports "{fault}"')
def _reports(context, fault):
    wanted = f"fault={fault}"

    def is_logged():
        logs = map(context.scene.fleet.log, context.scene.vms)
        return any(
            wanted in line
            for log in logs
            for line in log.splitlines()
            if "event=catalogue_refused" in line
        )

    fleet.wait_for(is_logged, DEFAULT_TIMEOUT_S)


@when("each entry VM gets an idempotent call")
def _lookups(context):
    client = context.scene.caller()
    context.lookups = [
        client.call_service(
            fleet_fixture.SERVICE_ENTRY, "GET", "/status", address=address
        )
        for address in outages.addresses(context.scene).values()
    ]


@then("every idempotent call was answered")
def _looked_up(context):
    assert all(answer.done for answer in context.lookups), [
        (answer.status, answer.error) for answer in context.lookups
    ]


@when("each entry VM mints keys for {count:d} registrations, each sent twice")
def _register(context, count):
    client = context.scene.caller()
    context.registrations = {}
    for vm, address in outages.addresses(context.scene).items():
        for number, key in enumerate(client.mint_keys(count, address)):
            operation = f"{vm}-{number}"
            context.registrations[operation] = [
                _registered(client, operation, key, address) for _ in range(2)
            ]


def _registered(client, operation, key, address):
    body = {"operation": operation}
    return client.call_service(
        fleet_fixture.SERVICE_ENTRY, "POST", "/entries", body, key, address
    )


@then("each registration was answered and ran once")
def _ran_once(context):
    runs = context.scene.fleet.total_execution_counts()
    for operation, sent in context.registrations.items():
        assert all(answer.done for answer in sent), [
            (operation, answer.status, answer.error) for answer in sent
        ]
        assert runs[operation] == 1, runs


@when("a caller registers with a key of its own")
def _own_key(context):
    context.own_key_reply = _register_with_own_key(context, {})


def _register_with_own_key(context, headers):
    fixture = context.scene
    headers = {
        "Authorization": (
            f"Bearer {fleet_fixture.key_of(fleet_fixture.CUSTOMERS[0])}"
        ),
        caller.KEY_HEADER: OWN_KEY,
        **headers,
    }
    return outages.http.call(
        fixture.fleet.entry_addresses[0],
        "POST",
        f"/v1/services/{fleet_fixture.SERVICE_ENTRY}/entries",
        {"operation": OWN_KEY},
        headers,
    )


@then("the caller is told that the outcome of that key is unknown")
def _told_unknown(context):
    """Check the refusal: an earlier call with the key may have run."""
    _check_refused(context, "unknown")


@when("the caller declares that it has not sent that key before")
def _first(context):
    context.own_key_reply = _register_with_own_key(
        context, {FIRST_HEADER: "true"}
    )


@then("the registration is refused and was not run")
def _refused(context):
    _check_refused(context, "no")
    assert OWN_KEY not in context.scene.fleet.total_execution_counts()


def _check_refused(context, executed):
    reply = context.own_key_reply
    assert reply.status == 503, reply.payload
    assert reply.headers[answers.EXECUTED_HEADER] == executed, reply.payload
    assert reply.headers["Retry-After"], reply.payload


@then("the caller's registration succeeds soon and ran once")
def _succeeds(context):
    client = context.scene.caller()
    body = {"operation": OWN_KEY}

    def answered():
        return all(
            client.call_service(
                fleet_fixture.SERVICE_ENTRY,
                "POST",
                "/entries",
                body,
                OWN_KEY,
                address,
            ).done
            for address in context.scene.fleet.entry_addresses
        )

    fleet.wait_for(answered, DEFAULT_TIMEOUT_S)
    assert context.scene.fleet.total_execution_counts()[OWN_KEY] == 1


@when("{vm} is killed and started again")
def _restarted(context, vm):
    context.scene.fleet.restart(vm)


@when("{vm} is started again while its peers are paused at first")
def _restarted_alone(context, vm):
    fixture = context.scene
    others = [other for other in fixture.vms if other != vm]
    fixture.fleet.kill(vm)
    for other in others:
        fixture.fleet.pause(other)
        context.closers.append(functools.partial(fixture.fleet.resume, other))
    fixture.fleet.restart(vm)
    time.sleep(PEERS_PAUSE_S)
    for other in others:
        fixture.fleet.resume(other)


@then("{vm} has the same version in force as before")
def _same(context, vm):
    wanted = max(context.before.values())
    fleet.wait_for(
        lambda: outages.versions(context.scene)[vm] == wanted,
        DEFAULT_TIMEOUT_S,
    )


@then("{vm} had no older version in force since its start")
def _no_older(context, vm):
    log = context.scene.fleet.log(vm)
    versions = re.findall(r"event=catalogue_in_force .*?version=(\d+)", log)
    assert versions, log
    assert min(map(int, versions)) >= max(context.before.values()), versions


@then("the operator sees edit {edit:d} in force")
def _sees(context, edit):
    edits.check_contents(context, edit)


@when("the store's version has reached the one in force")
def _version_reached(context):
    wanted = max(context.before.values())
    while context.scene.fleet.put_object("other", {}) < wanted:
        pass


@then("{vm} streams an answer within {seconds:f} s")
def _streams(context, vm, seconds):
    """Retry, as a VM that has just started may not know the runners yet."""

    def streamed():
        context.scene.stream(1, 10, vm=vm)
        [answer] = context.scene.answers()
        assert answer.done or answer.refused, answer.problem
        return answer.done and not answer.problem

    fleet.wait_for(streamed, seconds)
