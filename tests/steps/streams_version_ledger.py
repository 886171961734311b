"""Steps for tests/streams/version_ledger.feature."""

import random

from behave import given
from behave import then
from behave import when

from apricotlever import clock as clocks
from apricotlever.runners import model as models
from apricotlever.streams import version_ledger
from tests.streams import ledger_simulation

SERVICE = "s"
LIFETIME_S = 30.0
SEEDS = 300


def _origins(text):
    return {models.StreamOrigin(*each.split("@")) for each in text.split()}


def _record(text):
    pairs = (each.split(":") for each in text.split())
    return {name: version_ledger.VersionState(state) for name, state in pairs}


@given("a VM's ledger of versions")
def _create(context):
    context.clock = clocks.ManualClock()
    context.ledger = version_ledger.VersionLedger(context.clock)
    context.ledger.set_lifetimes({SERVICE: LIFETIME_S})
    context.ledger.set_watching(True)
    context.record = {}


@when('the VM sees runners "{origins}"')
def _see(context, origins):
    context.ledger.observe(_origins(origins))


@when("{seconds:d} seconds go by for the ledger")
def _wait(context, seconds):
    context.clock.advance(seconds)


@when("the VM wakes")
def _wake(context):
    context.clock.advance(1.0)
    context.ledger.set_watching(False)
    context.ledger.set_watching(True)


@when('the VM asks for the record "{record}"')
def _ask(context, record):
    context.record = _record(record)
    context.asked_at = context.clock.now()


@when("the answer comes")
def _answer(context):
    context.ledger.read(SERVICE, context.record, context.asked_at)


@when("the record is brought up to date")
def _update(context):
    ledger = context.ledger
    now = context.clock.now()
    context.record = ledger.next_record(SERVICE, context.record, True)
    ledger.read(SERVICE, context.record, now)


@then('the record becomes "{record}"')
@then('the record stays "{record}"')
def _check_record(context, record):
    _update(context)
    assert context.record == _record(record), context.record


@then('"{origins}" are held')
def _check_held(context, origins):
    assert context.ledger.held == _origins(origins), context.ledger.held


@then("nothing is held")
def _check_none_held(context):
    assert not context.ledger.held, context.ledger.held


@then('"{origin}" must be read again')
def _check_must_read(context, origin):
    assert context.ledger.must_read() == [SERVICE]
    assert context.ledger.held == _origins(origin)


@then('the versions of "{service}" are known as "{origins}"')
def _check_known(context, service, origins):
    assert context.ledger.is_complete(service)
    assert context.ledger.recorded([service]) == _origins(origins)


@then('the versions of "{service}" are not known')
def _check_not_known(context, service):
    assert not context.ledger.is_complete(service)


@then("random VMs never miss a version with a living stream")
def _check_random(context):
    begun = 0
    for seed in range(SEEDS):
        begun += ledger_simulation.play(random.Random(seed))
    assert begun > SEEDS, begun
