"""Steps for tests/requests/claims.feature."""

import collections

from behave import given
from behave import then
from behave import when
import hypothesis
from hypothesis import strategies

from apricotlever import clock
from apricotlever.requests import claims
from apricotlever.requests import messages
from tests.requests import fleet

BUCKET = "claims/0000"
FAULTS = ("", "applied", "lost", "late")


class _Bench:
    """Claimers on one store; each result is kept."""

    def __init__(self, vms):
        self.clock = clock.ManualClock()
        self.store = fleet.Store()
        self.claimers = {vm: claims.Claims(self.clock, 1) for vm in vms}
        self.calls = []
        self.late = []
        self.results = {}
        self.tokens = {}

    def claim(self, vm, key, digest="d"):
        token = len(self.tokens) + 1
        self.tokens[token] = (vm, key)
        owner = messages.Owner(vm, 1)
        nonce = f"{token:016x}"
        claim = messages.Claim(token, "notary", key, digest, nonce, owner)
        self._do(vm, self.claimers[vm].claim(claim))

    def _do(self, vm, actions):
        told = [each for each in actions if isinstance(each, claims.Tell)]
        for each in told:
            assert each.result.token not in self.results
            self.results[each.result.token] = each.result
        self.calls += [(vm, each) for each in actions if each not in told]

    def answer(self, index, fault=""):
        vm, action = self.calls.pop(index)
        claimer = self.claimers[vm]
        if isinstance(action, claims.ReadBucket):
            stored = self.store.objects.get(action.name)
            if fault:
                self._do(vm, claimer.failed(action.name))
            elif stored is None:
                self._do(vm, claimer.missing(action.name))
            else:
                self._do(vm, claimer.read(action.name, *stored))
            return
        version = None
        if fault == "late":
            self.late.append(action)
        elif fault != "lost":
            version = self.store.write(action)
        if fault:
            self._do(vm, claimer.ambiguous(action.name))
        elif version is None:
            self._do(vm, claimer.conflict(action.name))
        else:
            self._do(vm, claimer.written(action.name, version))

    def result_of(self, key):
        return [
            self.results[token]
            for token, (_, name) in self.tokens.items()
            if name == key and token in self.results
        ][-1]


@given("claims on one bucket")
def _claims(context):
    context.claiming = _Bench(["a"])


@given("claims on one bucket that is full")
def _full(context):
    _claims(context)
    at = context.claiming.clock.wall()
    row = ["d" * 64, "vm" * 8, 1, "0" * 16, at]
    count = claims.VALUE_BYTES_MAX // (claims.ROW_BYTES + 32 + 96)
    rows = {f"{number:032x}": row for number in range(count)}
    context.claiming.store.objects[BUCKET] = (0, {"claims": rows})


@given("claims on one bucket that holds something else")
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
    context.claiming.answer(0)
    context.claiming.answer(0, "applied")


@when("the store answers all claim calls")
def _all(context):
    while context.claiming.calls:
        context.claiming.answer(0)


@when("the claims' store fails")
def _fails(context):
    context.claiming.answer(0, "lost")


@then("{count:d} claims are won with {writes:d} writes")
def _won(context, count, writes):
    results = context.claiming.results.values()
    won = [each for each in results if isinstance(each, messages.Won)]
    found = (len(won), context.claiming.store.writes)
    assert found == (count, writes), found


@then('the claim of "{key}" is not made, but maybe written')
def _maybe(context, key):
    result = context.claiming.result_of(key)
    assert isinstance(result, messages.NotClaimed) and result.maybe_written


@then('the claim of "{key}" is refused without a call of the store')
def _refused_at_once(context, key):
    result = context.claiming.result_of(key)
    assert isinstance(result, messages.NotClaimed)
    assert not result.maybe_written and not context.claiming.calls


@then('the claim of "{key}" fails with "{reason}"')
def _fails_with(context, key, reason):
    assert context.claiming.result_of(key).reason == reason


@then("in random sequences one claimer at most wins each key")
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
        bench = _Bench(["a", "b", "c"])
        for kind, number, fault in sequence:
            if kind == "claim":
                bench.claim("abc"[number % 3], f"k{number % 2}")
            elif kind == "answer" and bench.calls:
                bench.answer(number % len(bench.calls), fault)
            elif kind == "late" and bench.late:
                bench.store.write(bench.late.pop(0))
        while bench.calls:
            bench.answer(0)
        _check_winners(bench)

    check()


def _check_winners(bench):
    assert set(bench.results) == set(bench.tokens)
    won = collections.Counter(
        bench.tokens[token][1]
        for token, result in bench.results.items()
        if isinstance(result, messages.Won)
    )
    assert all(count == 1 for count in won.values()), won


def _homes(vms, count):
    return [
        claims.home("notary", f"k{number}", vms) for number in range(count)
    ]


@then(
    "{viewers:d} VMs agree on the home of each of {count:d} keys, in any order"
)
def _agree(context, viewers, count):
    vms = [f"vm-{number}" for number in range(7)]
    views = [vms[turn:] + vms[:turn] for turn in range(viewers)]
    first, *others = [_homes(view, count) for view in views]
    assert all(other == first for other in others)


@then("the homes of {count:d} keys are shared by {vms:d} VMs")
def _shared(context, count, vms):
    names = [f"vm-{number}" for number in range(vms)]
    assert set(_homes(names, count)) == set(names)
