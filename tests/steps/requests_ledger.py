"""Steps for tests/requests/ledger.feature."""

from behave import given
from behave import then
from behave import when

from apricotlever.requests import ledger
from apricotlever.requests import ledger_state
from apricotlever.requests import messages
from tests.requests import at_most_once
from tests.requests import fleet
from tests.requests import naive_ledger

CUSTOMER = "notary"
EXAMPLES = 1500
STEPS = 60
NAIVE = {
    "retrying": naive_ledger.RetryingLedger,
    "local": naive_ledger.LocalLedger,
    "repeating": naive_ledger.RepeatingLedger,
}


def _last(context):
    return context.keyed.decisions[-1]


@then("no key runs twice in {examples:d} sequences on the ledger")
def _no_doubles(context, examples):
    at_most_once.look_for_doubles(ledger.Ledger, examples, STEPS)


@then("some sequence on the {kind} ledger runs a key twice or lies")
def _doubles(context, kind):
    try:
        at_most_once.look_for_doubles(NAIVE[kind], EXAMPLES, STEPS)
    except AssertionError:
        return
    raise AssertionError("the naive ledger was not caught")


@given('a keyed fleet with a key minted by VM "{vm}"')
def _minted(context, vm):
    context.keyed = fleet.Fleet(ledger.Ledger, at_most_once.SMALL)
    context.key = context.keyed.live[vm].ledger.mint(CUSTOMER)


@given("a keyed fleet whose caller made up a key")
def _made_up(context):
    context.keyed = fleet.Fleet(ledger.Ledger, at_most_once.SMALL)
    context.key = "order-1"


@given("the claims' store is down")
def _store_down(context):
    context.keyed.store.down = True


def _send(context, vm, digest="register", first=False):
    call = fleet.Call(CUSTOMER, context.key, digest, first)
    context.keyed.call(vm, call)


@when('the keyed call is sent to VM "{vm}"')
def _call(context, vm):
    _send(context, vm)


@when('the call "{digest}" is sent to VM "{vm}" and claimed')
def _call_and_claim(context, digest, vm):
    _send(context, vm, digest)
    _settle_claims(context)


@when('the first call "{digest}" is sent to VM "{vm}" and claimed')
def _first_call(context, digest, vm):
    _send(context, vm, digest, first=True)
    _settle_claims(context)


def _settle_claims(context):
    while context.keyed.store_calls:
        context.keyed.store_answers(0, "")


@when('the call "{digest}" is sent to VM "{vm}"')
def _call_only(context, digest, vm):
    _send(context, vm, digest)


@when('another customer sends the key to VM "{vm}"')
def _stranger(context, vm):
    context.keyed.call(vm, fleet.Call("lounge", context.key, "register"))


@when('VM "{vm}" hands its ledger to VM "{heir}" and the receipt is lost')
def _hand_over_in_silence(context, vm, heir):
    _hand_over(context, vm, heir)
    context.keyed.network.clear()


@when('VM "{vm}" hands its ledger to VM "{heir}"')
def _hand_over(context, vm, heir):
    context.keyed.hand_over(vm, heir)
    context.keyed.arrive(0, again=False)


@when('VM "{vm}" crashes and is back')
def _restart(context, vm):
    context.keyed.crash(vm)
    context.keyed.start(vm)
    for process in context.keyed.live.values():
        process.ledger.alive(vm, context.keyed.incarnations)


@when('a receipt of the new VM "{heir}" refuses the ledger of VM "{vm}"')
def _refusal(context, heir, vm):
    source = context.keyed.live[vm].ledger
    refuser = context.keyed.live[heir].ledger.me
    source.succession.receipt(
        ledger_state.Receipt(source.me, refuser, accepted=False)
    )


@when("its attempt is put on the wire")
def _on_the_wire(context):
    context.keyed.send(len(context.keyed.attempts) - 1)


@when("the upstream answers and the worker reports")
def _answered(context):
    context.keyed.execute(0)
    context.keyed.report(0)


@when('VM "{vm}" answers {count:d} other keyed calls')
def _others(context, vm, count):
    for _ in range(count):
        context.keyed.clock.advance(1)
        key = context.keyed.live[vm].ledger.mint(CUSTOMER)
        context.keyed.call(vm, fleet.Call(CUSTOMER, key, "register"))
        _on_the_wire(context)
        _answered(context)


@when("the messages between the VMs arrive")
def _arrive(context):
    while context.keyed.network:
        context.keyed.arrive(0, again=False)


@when("the keyed fleet waits {seconds:d} seconds")
def _wait(context, seconds):
    context.keyed.clock.advance(seconds)
    for process in context.keyed.live.values():
        process.ledger.tick()


@then('the ledger answers with a forward to VM "{vm}"')
def _forwarded(context, vm):
    assert isinstance(_last(context), messages.Forward)
    assert _last(context).vm == vm


@then("the ledger answers that it is pending")
def _pending(context):
    assert isinstance(_last(context), messages.Pending)


@then('{count:d} keyed attempt is reserved, on VM "{vm}"')
def _reserved(context, count, vm):
    found = [each.process.ledger.me.vm for each in context.keyed.attempts]
    assert found == [vm] * count, found


@then('the ledger refuses with "{reason}", executed "{executed}"')
def _refused(context, reason, executed):
    refusal = _last(context)
    assert isinstance(refusal, messages.Refuse), refusal
    found = (refusal.reason, refusal.executed)
    assert found == (reason, executed), found
