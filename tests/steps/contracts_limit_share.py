"""Steps for tests/contracts/limit_share.feature."""

from behave import given
from behave import then
from behave import when
import hypothesis
from hypothesis import strategies

from apricotlever import clock as clocks
from apricotlever.contracts import limit_share
from tests.contracts import naive

SETTINGS = hypothesis.settings(
    derandomize=True, deadline=None, database=None, max_examples=120
)
STEP_S = 0.5
DEMANDS = strategies.lists(
    strategies.floats(0.0, 100.0), min_size=2, max_size=7
)


def _fleet(count, limit, clock=None):
    clock = clock or clocks.ManualClock()
    names = [f"vm{n}" for n in range(count)]
    fleet = [
        limit_share.LimitShare(clock, name, limit, "entry") for name in names
    ]
    for share in fleet:
        share.set_members(names)
    return clock, names, fleet


def _exchange(names, fleet, demands, number, groups=None):
    """Announce the demands and deliver them within each group."""
    groups = groups or [0] * len(fleet)
    for share, demand in zip(fleet, demands):
        share.announce(demand)
    for to, share in enumerate(fleet):
        for sender, demand in enumerate(demands):
            if groups[sender] == groups[to]:
                share.receive(names[sender], demand, number)


def _settle(clock, names, fleet, demands, seconds, groups=None, start=0):
    for step in range(int(seconds)):
        _exchange(names, fleet, demands, start + step + 1, groups)
        clock.advance(1.0)


@then("shares whose members have heard each other sum to the limit")
def _sum_to_limit(context):
    @SETTINGS
    @hypothesis.given(DEMANDS, strategies.floats(0.1, 1000.0))
    def check(demands, limit):
        clock, names, fleet = _fleet(len(demands), limit)
        _settle(clock, names, fleet, demands, 6)
        assert abs(sum(s.amount for s in fleet) - limit) < 1e-6 * limit

    check()


@then("whole units sum to the limit too")
def _whole_units_sum(context):
    @SETTINGS
    @hypothesis.given(DEMANDS, strategies.integers(0, 40))
    def check(demands, limit):
        clock, names, fleet = _fleet(len(demands), limit)
        _settle(clock, names, fleet, demands, 6)
        assert sum(s.whole_units for s in fleet) == limit
        for share in fleet:
            assert abs(share.whole_units - share.amount) < 1.0 + 1e-6

    check()


@given(
    "a limit of {limit:d} shared by {count:d} members that heard each other"
)
def _shared(context, limit, count):
    context.clock, context.names, context.fleet = _fleet(count, limit)
    context.demands = [10.0] * count
    _settle(context.clock, context.names, context.fleet, context.demands, 6)


@when("one member's demand is nine times that of the others")
def _raise_demand(context):
    context.demands[0] = 90.0
    _settle(
        context.clock,
        context.names,
        context.fleet,
        context.demands,
        6,
        None,
        6,
    )


@then("its share is more than {most:d} and each other has at least {least:d}")
def _follows_demand(context, most, least):
    assert context.fleet[0].amount > most
    assert all(s.amount >= least for s in context.fleet[1:])


def _largest_sum(make, demands, delays):
    """Return the largest sum of shares while announcements are under way."""
    clock = clocks.ManualClock(0.0)
    names = [f"vm{n}" for n in range(len(demands[0]))]
    fleet = [make(clock, name) for name in names]
    messages = []
    largest = 0.0
    rounds = [demands[0]] * 12 + demands
    for number, row in enumerate(rounds):
        for sender, demand in enumerate(row):
            fleet[sender].announce(demand)
            delay_s = 0.0 if number < 12 else delays[sender]
            messages.append((clock.now() + delay_s, sender, demand, number))
        for due, sender, demand, sent in list(messages):
            if due <= clock.now():
                messages.remove((due, sender, demand, sent))
                for share in fleet:
                    if share is not fleet[sender]:
                        share.receive(names[sender], demand, sent)
        if number >= 12:
            largest = max(largest, sum(share.amount for share in fleet))
        clock.advance(STEP_S)
    return largest


ROWS = strategies.lists(
    strategies.lists(strategies.floats(0, 100), min_size=4, max_size=4),
    min_size=2,
    max_size=25,
)
DELAYS = strategies.lists(
    strategies.floats(0.0, limit_share.PROPAGATION_S - STEP_S),
    min_size=4,
    max_size=4,
)


def _limit_share(clock, name):
    share = limit_share.LimitShare(clock, name, 100.0)
    share.set_members([f"vm{n}" for n in range(4)])
    return share


@then("shares never sum above the limit while announcements take 3 seconds")
def _never_above(context):
    @SETTINGS
    @hypothesis.given(ROWS, DELAYS)
    def check(rows, delays):
        assert _largest_sum(_limit_share, rows, delays) <= 100.0 + 1e-6

    check()


@then("greedy shares sum above it")
def _greedy_above(context):
    rows = [[10.0] * 4, [100.0] * 4, [100.0] * 4]
    rows = [[10.0, 10.0, 10.0, 10.0], [90.0, 10.0, 10.0, 10.0]] * 3
    largest = _largest_sum(
        lambda clock, name: naive.GreedyShare(name, 100.0), rows, [2.0] * 4
    )
    assert largest > 110.0, largest


@then("after any split the shares of all sum to at most the limit")
def _any_partition(context):
    @SETTINGS
    @hypothesis.given(
        strategies.lists(strategies.floats(0, 100), min_size=6, max_size=6),
        strategies.lists(strategies.integers(0, 2), min_size=6, max_size=6),
    )
    def check(demands, groups):
        clock, names, fleet = _fleet(6, 100.0)
        _settle(clock, names, fleet, [10.0] * 6, 6)
        _settle(clock, names, fleet, demands, 40, groups, 6)
        for share, group in zip(fleet, groups):
            share.set_members(
                [n for n, other in zip(names, groups) if other == group]
            )
        total = sum(share.amount for share in fleet)
        assert total <= 100.0 + 1e-6
        assert total >= 99.0

    check()


@then("greedy shares without silent members sum to twice the limit")
def _greedy_partition(context):
    sides = [
        naive.GreedyShare(name, 100.0).amount for name in ("left", "right")
    ]
    assert sum(sides) == 200.0


@when("the member with all the demand is disconnected")
def _disconnect(context):
    demands = [100.0, 0.0, 0.0, 0.0]
    _settle(context.clock, context.names, context.fleet, demands, 6, None, 6)
    assert context.fleet[0].amount > 80.0
    context.groups = [0, 1, 1, 1]


@then("its share decays to {amount:d} within {seconds:d} seconds")
def _decays(context, amount, seconds):
    demands = [100.0, 1.0, 1.0, 1.0]
    seen = []
    for second in range(seconds + 1):
        _settle(
            context.clock,
            context.names,
            context.fleet,
            demands,
            1,
            context.groups,
            20 + second,
        )
        seen.append(context.fleet[0].amount)
    assert all(later <= sooner for sooner, later in zip(seen, seen[1:]))
    assert abs(seen[-1] - amount) < 1e-6


@when("one member disappears without notice")
def _disappear(context):
    context.remaining = context.fleet[1:]
    for share in context.remaining:
        share.set_members(context.names[1:])


def _settled_total(context, seconds, start):
    for second in range(seconds):
        for number, share in enumerate(context.remaining):
            share.announce(10.0)
            for other in context.remaining:
                if other is not share:
                    name = context.names[1:][number]
                    other.receive(name, 10.0, start + second)
        context.clock.advance(1.0)
    return sum(share.amount for share in context.remaining)


@then(
    "the others share {part:d} until {seconds:d} seconds have passed,"
    " and then {whole:d}"
)
def _reserved(context, part, seconds, whole):
    assert abs(_settled_total(context, seconds - 5, 100) - part) < 1e-6
    assert abs(_settled_total(context, 10, 1000) - whole) < 1e-6


@when("one of the others has certainly ended")
def _remove_one(context):
    ended = context.names[3]
    context.remaining = context.remaining[:2]
    for share in context.remaining:
        share.remove_member(ended)


@then("the remaining two share {amount:d} at once")
def _remaining_total(context, amount):
    assert abs(sum(s.amount for s in context.remaining) - amount) < 1e-6


@given("{dcs:d} data centres of {count:d} members that share a limit of {n:d}")
def _nested(context, dcs, count, n):
    clock, places, outer = _fleet(dcs, float(n))
    _settle(clock, places, outer, [30.0, 10.0], 6)
    context.inner = []
    for place in outer:
        _, names, fleet = _fleet(count, place.amount, clock)
        _settle(clock, names, fleet, [5.0, 1.0, 1.0], 6)
        context.inner += fleet


@then("the members' shares sum to {amount:d}")
def _nested_sum(context, amount):
    assert abs(sum(s.amount for s in context.inner) - amount) < 1e-6
