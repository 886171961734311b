"""Steps for tests/requests/claims.feature."""

import collections

from behave import given
from behave import then
from behave import when
import hypothesis
from hypothesis import strategies

from apricotlever import clock
from apricotlever.requests import claims
from apricotlever.requests import ledger_messages
from tests.requests import simulated_fleet

BUCKET = "claims/0000"
FAULTS = ("", "applied", "lost", "late")


class _ClaimSimulation:
    """VMs that claim keys in one store.

    Each claim must get exactly one result.
    """

    def __init__(self, vms):
        self.clock = clock.ManualClock()
        self.store = simulated_fleet.Store()
        self.batchers = {vm: claims.ClaimBatcher(self.clock, 1) for vm in vms}
        self.calls = []
        self.late = []
        self.results = {}
        self.tokens = {}

    def claim(self, vm, key, digest="d"):
        token = len(self.tokens) + 1
        self.tokens[token] = (vm, key)
        owner = ledger_messages.VmIncarnation(vm, 1)
        nonce = f"{token:016x}"
        claim = ledger_messages.ClaimKey(
            token, "notary", key, digest, nonce, owner
        )
        self._do(vm, self.batchers[vm].claim(claim))

    def _do(self, vm, actions):
        results = [
            each for each in actions if isinstance(each, claims.DeliverResult)
        ]
        for each in results:
            assert each.result.token not in self.results
            self.results[each.result.token] = each.result
        self.calls += [(vm, each) for each in actions if each not in results]

    def complete_call(self, index, fault=""):
        vm, action = self.calls.pop(index)
        batcher = self.batchers[vm]
        if isinstance(action, claims.ReadBucket):
            stored = self.store.objects.get(action.name)
            if fault:
                self._do(vm, batcher.on_failure(action.name))
            elif stored is None:
                self._do(vm, batcher.on_missing(action.name))
            else:
                self._do(vm, batcher.on_read(action.name, *stored))
            return
        version = None
        if fault == "late":
            self.late.append(action)
        elif fault != "lost":
            version = self.store.write(action)
        if fault:
            self._do(vm, batcher.on_ambiguous_write(action.name))
        elif version is None:
            self._do(vm, batcher.on_conflict(action.name))
        else:
            self._do(vm, batcher.on_written(action.name, version))

    def result_of(self, key):
        return [
            self.results[token]
            for token, (_, name) in self.tokens.items()
            if name == key and token in self.results
        ][-1]


@given("claims with one bucket")
def _claims(context):
    context.claiming = _ClaimSimulation(["a"])


@given("claims with one bucket that is full")
def _full(context):
    _claims(context)
    at = context.claiming.clock.wall()
    row = ["d" * 64, "vm" * 8, 1, "0" * 16, at]
    count = claims.VALUE_BYTES_MAX // (claims.CLAIM_OVERHEAD_BYTES + 32 + 96)
    rows = {f"{number:032x}": row for number in range(count)}
    context.claiming.store.objects[BUCKET] = (0, {"claims": rows})


@given("claims with one bucket that has unexpected content")
def _something_else(context):
    _claims(context)
    value = {"claims": {"x": "y"}}
    context.claiming.store.objects[BUCKET] = (3, value)


@when("{count:d} keys are claimed before the store answers")
def _many(context, count):
    for number in range(count):
        context.claiming.claim("a", f"k{number}")


@when('key "{key}" is claimed')
def _claim(context, key):
    context.claiming.claim("a", key)


@when("the claims are {seconds:d} seconds old")
def _old(context, seconds):
    context.claiming.clock.advance(seconds)


@when('key "{key}" is claimed and the answer to its write is lost')
def _lost(context, key):
    context.claiming.claim("a", key)
    context.claiming.complete_call(0)
    context.claiming.complete_call(0, "applied")


@when("the store answers all calls for claims")
def _all(context):
    while context.claiming.calls:
        context.claiming.complete_call(0)


@when("the store of the claims fails")
def _fails(context):
    context.claiming.complete_call(0, "lost")


@then("{count:d} claims succeed with {writes:d} writes")
def _succeeded(context, count, writes):
    results = context.claiming.results.values()
    won = [
        each for each in results if isinstance(each, ledger_messages.ClaimWon)
    ]
    found = (len(won), context.claiming.store.writes)
    assert found == (count, writes), found


@then('the claim of "{key}" fails, but may have been written')
def _maybe_written(context, key):
    result = context.claiming.result_of(key)
    assert (
        isinstance(result, ledger_messages.ClaimFailed)
        and result.maybe_written
    )


@then('the claim of "{key}" is refused without a call to the store')
def _refused_at_once(context, key):
    result = context.claiming.result_of(key)
    assert isinstance(result, ledger_messages.ClaimFailed)
    assert not result.maybe_written and not context.claiming.calls


@then('the claim of "{key}" fails with "{reason}"')
def _fails_with(context, key, reason):
    assert context.claiming.result_of(key).reason == reason


@then("in random sequences at most one VM claims each key")
def _one_winner(context):
    steps = strategies.lists(
        strategies.tuples(
            strategies.sampled_from(("claim", "answer", "answer", "late")),
            strategies.integers(0, 7),
            strategies.sampled_from(FAULTS),
        ),
        max_size=60,
    )

    @hypothesis.settings(
        derandomize=True, deadline=None, database=None, max_examples=300
    )
    @hypothesis.given(steps)
    def check(sequence):
        simulation = _ClaimSimulation(["a", "b", "c"])
        for kind, number, fault in sequence:
            if kind == "claim":
                simulation.claim("abc"[number % 3], f"k{number % 2}")
            elif kind == "answer" and simulation.calls:
                simulation.complete_call(number % len(simulation.calls), fault)
            elif kind == "late" and simulation.late:
                simulation.store.write(simulation.late.pop(0))
        while simulation.calls:
            simulation.complete_call(0)
        _check_winners(simulation)

    check()


def _check_winners(simulation):
    assert set(simulation.results) == set(simulation.tokens)
    won = collections.Counter(
        simulation.tokens[token][1]
        for token, result in simulation.results.items()
        if isinstance(result, ledger_messages.ClaimWon)
    )
    assert all(count == 1 for count in won.values()), won


def _home_vms(vms, count):
    return [
        claims.home_vm("notary", f"k{number}", vms) for number in range(count)
    ]


@then(
    "{viewers:d} VMs agree on the home VM of each of {count:d} keys, in any "
    "order of VMs"
)
def _agree(context, viewers, count):
    vms = [f"vm-{number}" for number in range(7)]
    views = [vms[turn:] + vms[:turn] for turn in range(viewers)]
    first, *others = [_home_vms(view, count) for view in views]
    assert all(other == first for other in others)


@then("{count:d} keys have their home VMs spread over {vms:d} VMs")
def _shared(context, count, vms):
    names = [f"vm-{number}" for number in range(vms)]
    assert set(_home_vms(names, count)) == set(names)
