"""Steps for tests/contracts/call_priorities.feature."""

from behave import given
from behave import then
from behave import when
import hypothesis
from hypothesis import strategies

from apricotlever import clock as clocks
from apricotlever.contracts import call_priorities
from apricotlever.contracts import demand_shares


@given(
    "a service with calls of rank 0, objective {first:f} s, and rank 1, "
    "objective {second:f} s"
)
def _contention(context, first, second):
    context.clock = clocks.ManualClock(50.0)
    context.service = call_priorities.ServiceContention(context.clock)
    context.second = second
    context.service.record_call(0, first)
    context.service.record_call(1, second)


@when("{seconds:d} s pass with calls of rank 1 alone")
def _pass(context, seconds):
    context.clock.advance(seconds)
    context.service.record_call(1, context.second)


@when("a wait of {wait:f} s is observed and {seconds:d} s pass")
def _observe(context, wait, seconds):
    assert context.service.observe_wait(wait)
    assert context.service.contended
    context.clock.advance(seconds)


@then("the service is not contended")
def _not_contended(context):
    assert not context.service.contended


@then(
    "waits of {one:f}, {two:f}, {three:f} and {four:f} s are not, are, are "
    "and are not contended"
)
def _waits(context, one, two, three, four):
    found = []
    for wait in (one, two, three, four):
        context.service.observe_wait(wait)
        found.append(context.service.contended)
    assert found == [False, True, True, False], found


@then(
    "{one:d} and {two:d} tokens at speeds {fast:f} and {slow:f} wait {mean:f} "
    "s on average at {token_s:f} s"
)
def _mean(context, one, two, fast, slow, mean, token_s):
    found = call_priorities.mean_wait_s(
        {"a": one, "b": two}, token_s, {"a": fast, "b": slow}
    )
    assert abs(found - mean) < 1e-9, found


@given("customers with {numbers} tokens")
def _customers(context, numbers):
    context.clock = clocks.ManualClock(50.0)
    context.shares = demand_shares.DemandShares(context.clock)
    for number, tokens in enumerate(numbers.replace(" and", ",").split(",")):
        context.shares.add(f"c{number + 1}", 1, int(tokens))


@when("{waiting:d} tokens wait at the runners")
def _update(context, waiting):
    context.shares.update(waiting, {})


@when(
    "{waiting:d} tokens wait at the runners, and customer 4 has {rate:d} "
    "times the rate"
)
def _update_weighted(context, waiting, rate):
    context.shares.update(waiting, {"c4": float(rate)})


@then("only customer 4 is over its share of {share:d} tokens")
def _over(context, share):
    assert context.shares.over == {"c4"}
    assert context.shares.shares["c4"] == share, context.shares.shares


@then("no customer is over its share")
def _none_over(context):
    assert not context.shares.over


@when("reports of -1, 2000000 calls and 3 counts arrive")
def _reports(context):
    context.valid = [
        context.shares.merge("c9", counts)
        for counts in ([-1, 5], [2_000_000, 5], [1, 2, 3], [1, 10**12])
    ]


@then("they are not added")
def _not_added(context):
    assert context.valid == [False] * 4
    assert "c9" not in context.shares.demands()


@when("{seconds:d} s pass")
def _wait(context, seconds):
    context.clock.advance(seconds)


@then("no customer has any demand")
def _no_demand(context):
    assert not context.shares.demands()


@then("max-min shares agree with raising the level step by step")
def _agree(context):
    @hypothesis.settings(derandomize=True, deadline=None, database=None)
    @hypothesis.given(
        strategies.lists(
            strategies.tuples(
                strategies.integers(0, 50), strategies.integers(1, 4)
            ),
            min_size=1,
            max_size=6,
        ),
        strategies.integers(0, 100),
    )
    def check(customers, capacity):
        demands = {f"c{n}": float(d) for n, (d, _) in enumerate(customers)}
        weights = {f"c{n}": float(w) for n, (_, w) in enumerate(customers)}
        shares = demand_shares.max_min_shares(demands, weights, capacity)
        used = {n: min(demands[n], shares[n]) for n in demands}
        if sum(demands.values()) <= capacity:
            assert used == demands
            return
        low, high = 0.0, 1000.0
        for _ in range(100):
            level = (low + high) / 2
            taken = sum(min(demands[n], level * weights[n]) for n in demands)
            low, high = (level, high) if taken < capacity else (low, level)
        naive = {n: min(demands[n], high * weights[n]) for n in demands}
        assert all(abs(used[n] - naive[n]) < 1e-6 for n in demands)

    check()
