"""Steps for tests/requests/ledger.feature."""

from behave import given
from behave import then
from behave import when

from apricotlever.requests import ledger
from apricotlever.requests import ledger_messages
from apricotlever.requests import ledger_state
from tests.requests import at_most_once
from tests.requests import naive_ledger
from tests.requests import simulated_fleet

CUSTOMER = "notary"
EXAMPLES = 1500
STEPS = 60
NAIVE = {
    "retrying": naive_ledger.RetryingLedger,
    "local": naive_ledger.LocalLedger,
    "repeating": naive_ledger.RepeatingLedger,
}


def _last(context):
    return context.fleet.decisions[-1]


@then("no key runs twice in {examples:d} sequences on the ledger")
def _at_most_once(context, examples):
    at_most_once.check_at_most_once(ledger.Ledger, examples, STEPS)


@then("some sequence on the {kind} ledger runs a key twice or reports falsely")
def _finds_fault(context, kind):
    try:
        at_most_once.check_at_most_once(NAIVE[kind], EXAMPLES, STEPS)
    except AssertionError:
        return
    raise AssertionError("the search found no fault of the naive ledger")


@given('a simulated fleet with a key minted by VM "{vm}"')
def _minted(context, vm):
    context.fleet = simulated_fleet.SimulatedFleet(
        ledger.Ledger, at_most_once.SMALL_LIMITS
    )
    context.key = context.fleet.live[vm].ledger.mint(CUSTOMER)


@given("a simulated fleet with a key chosen by the caller")
def _made_up(context):
    context.fleet = simulated_fleet.SimulatedFleet(
        ledger.Ledger, at_most_once.SMALL_LIMITS
    )
    context.key = "order-1"


@given("the store of the claims is down")
def _store_down(context):
    context.fleet.store.down = True


def _send(context, vm, digest="register", first=False):
    call = simulated_fleet.Call(CUSTOMER, context.key, digest, first)
    context.fleet.call(vm, call)


@when('the call with the key is sent to VM "{vm}"')
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
    while context.fleet.store_calls:
        context.fleet.store_answers(0, "")


@when('the call "{digest}" is sent to VM "{vm}"')
def _call_only(context, digest, vm):
    _send(context, vm, digest)


@when('another customer sends the key to VM "{vm}"')
def _stranger(context, vm):
    context.fleet.call(
        vm, simulated_fleet.Call("lounge", context.key, "register")
    )


@when('VM "{vm}" hands its ledger to VM "{successor}" and the receipt is lost')
def _hand_over_without_receipt(context, vm, successor):
    _hand_over(context, vm, successor)
    context.fleet.network.clear()


@when('VM "{vm}" hands its ledger to VM "{successor}"')
def _hand_over(context, vm, successor):
    context.fleet.hand_over(vm, successor)
    context.fleet.arrive(0, again=False)


@when('VM "{vm}" crashes and restarts')
def _restart(context, vm):
    context.fleet.crash(vm)
    context.fleet.start(vm)
    for process in context.fleet.live.values():
        process.ledger.on_incarnation_alive(vm, context.fleet.incarnations)


@when(
    'the new incarnation of VM "{successor}" refuses the ledger of VM "{vm}"'
)
def _refusal(context, successor, vm):
    source = context.fleet.live[vm].ledger
    refuser = context.fleet.live[successor].ledger.me
    source.transfer.apply_receipt(
        ledger_state.LedgerReceipt(source.me, refuser, accepted=False)
    )


@when("its call is sent to the upstream")
def _sent_upstream(context):
    context.fleet.send(len(context.fleet.attempts) - 1)


@when("the upstream answers and the worker reports")
def _answered(context):
    context.fleet.execute(0)
    context.fleet.report(0)


@when('VM "{vm}" answers {count:d} other calls with keys')
def _others(context, vm, count):
    for _ in range(count):
        context.fleet.clock.advance(1)
        key = context.fleet.live[vm].ledger.mint(CUSTOMER)
        context.fleet.call(vm, simulated_fleet.Call(CUSTOMER, key, "register"))
        _sent_upstream(context)
        _answered(context)


@when("the messages between the VMs arrive")
def _arrive(context):
    while context.fleet.network:
        context.fleet.arrive(0, again=False)


@when("the simulated fleet waits {seconds:d} seconds")
def _wait(context, seconds):
    context.fleet.clock.advance(seconds)
    for process in context.fleet.live.values():
        process.ledger.tick()


@then('the ledger forwards the call to VM "{vm}"')
def _forwarded(context, vm):
    assert isinstance(_last(context), ledger_messages.ForwardCall)
    assert _last(context).vm == vm


@then("the ledger answers that a run is in progress")
def _pending(context):
    assert isinstance(_last(context), ledger_messages.WaitForRun)


@then('{count:d} run is reserved, on VM "{vm}"')
def _reserved(context, count, vm):
    found = [each.process.ledger.me.vm for each in context.fleet.attempts]
    assert found == [vm] * count, found


@then('the ledger refuses with "{reason}", executed "{executed}"')
def _refused(context, reason, executed):
    refusal = _last(context)
    assert isinstance(refusal, ledger_messages.RefuseCall), refusal
    found = (refusal.reason, refusal.executed)
    assert found == (reason, executed), found
