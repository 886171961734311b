"""Steps for tests/contracts/call_budget.feature."""

import itertools

from apricotlever import clock
from apricotlever.contracts import call_budget
from behave import given
from behave import then
from behave import when
import hypothesis
from hypothesis import strategies

from tests.contracts import naive_call_budget

# Times and rates are multiples of powers of two, so sums are exact.
TICK_S = 0.125
READS_PER_S = 2000.0
ENOUGH_CALLS = 10_000

STEPS = strategies.lists(
    strategies.tuples(
        strategies.integers(0, 30),
        strategies.sampled_from(call_budget.CallPriority),
    ),
    max_size=60,
)
RATES = strategies.sampled_from([0.5, 1.0, 4.0, 8.0])

SETTINGS = hypothesis.settings(
    derandomize=True, deadline=None, database=None, max_examples=200
)


def _budget(manual_clock, writes_per_s, fleet_size=1):
    budget = call_budget.CallBudget(manual_clock, READS_PER_S, writes_per_s)
    budget.set_fleet_size(fleet_size)
    return budget


def _depth(rate):
    return max(len(call_budget.CallPriority), rate * call_budget.BURST_S)


@then("the call budget's claims equal those of the naive bucket")
def _equals_naive(context):
    @SETTINGS
    @hypothesis.given(STEPS, RATES)
    def check(steps, rate):
        manual_clock = clock.ManualClock()
        budget = _budget(manual_clock, rate)
        naive = naive_call_budget.NaiveCallBudget(
            manual_clock, rate, _depth(rate)
        )
        for ticks, _ in steps:
            manual_clock.advance(ticks * TICK_S)
            expected = naive.try_acquire()
            assert (
                budget.try_acquire(call_budget.CallPriority.CLAIM) == expected
            )

    check()


@then("the call budget never exceeds its share over any span of time")
def _within_share(context):
    @SETTINGS
    @hypothesis.given(STEPS, RATES)
    def check(steps, rate):
        manual_clock = clock.ManualClock()
        budget = _budget(manual_clock, rate)
        spent = []
        for ticks, rank in steps:
            now = manual_clock.advance(ticks * TICK_S)
            if budget.try_acquire(rank):
                spent.append(now)
        for i, j in itertools.combinations(range(len(spent)), 2):
            span_s = spent[j] - spent[i]
            assert j - i + 1 <= _depth(rate) + span_s * rate

    check()


@then("the call budget never makes a higher priority wait for longer")
def _ordered_waits(context):
    @SETTINGS
    @hypothesis.given(STEPS, RATES)
    def check(steps, rate):
        manual_clock = clock.ManualClock()
        budget = _budget(manual_clock, rate)
        for ticks, rank in steps:
            manual_clock.advance(ticks * TICK_S)
            waits = [budget.wait_s(each) for each in call_budget.CallPriority]
            assert waits == sorted(waits)
            assert budget.try_acquire(rank) == (waits[rank] == 0)

    check()


@given("a {kind} call budget used up by status reports")
def _used_up(context, kind):
    manual_clock = clock.ManualClock()
    context.call_budget = (
        _budget(manual_clock, 4.0)
        if kind == "ranked"
        else naive_call_budget.NaiveCallBudget(manual_clock, 4.0, _depth(4.0))
    )
    while context.call_budget.try_acquire(call_budget.CallPriority.STATUS):
        pass


@then("a claim on the call budget is {verdict}")
def _claim(context, verdict):
    allowed = context.call_budget.try_acquire(call_budget.CallPriority.CLAIM)
    assert allowed == (verdict == "allowed")


@given("a call budget of {writes:d} writes per second in a fleet of {size:d}")
def _budget_of_fleet(context, writes, size):
    context.budget_clock = clock.ManualClock()
    context.call_budget = _budget(context.budget_clock, float(writes), size)


@when("the call budget's fleet grows to {size:d}")
def _grows(context, size):
    context.call_budget.set_fleet_size(size)


@when("the call budget's fleet shrinks to {size:d} for {seconds:d} seconds")
def _shrinks(context, size, seconds):
    context.call_budget.set_fleet_size(size)
    context.budget_clock.advance(seconds)
    context.call_budget.set_fleet_size(size)


@when("the object API throttles a write for {seconds:d} seconds")
def _throttled(context, seconds):
    kind = call_budget.CallKind.WRITE
    context.call_budget.record_throttling(kind, float(seconds))


@then("the call budget allows {count:d} claims per second")
def _rate(context, count):
    _claims_within(context, 0)
    assert _claims_within(context, 1) in (count, count + 1)


@then("the call budget allows {count:d} claims within {seconds:d} seconds")
def _none_within(context, count, seconds):
    assert _claims_within(context, seconds) == count


@then(
    "the call budget allows {count:d} claims per second "
    "after {seconds:d} seconds"
)
def _rate_after(context, count, seconds):
    context.budget_clock.advance(seconds)
    _rate(context, count)


def _claims_within(context, seconds):
    context.budget_clock.advance(seconds)
    allowed = (
        context.call_budget.try_acquire(call_budget.CallPriority.CLAIM)
        for _ in range(ENOUGH_CALLS)
    )
    return len(list(itertools.takewhile(bool, allowed)))
