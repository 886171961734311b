"""Steps for tests/contracts/return_slots.feature."""

import collections
import random

from behave import given
from behave import then
from behave import when
import hypothesis
from hypothesis import strategies

from apricotlever import clock as clocks
from apricotlever.contracts import fleet_rate_limit
from apricotlever.contracts import return_slots
from bench import _limit_calls
from bench import _limit_returns

RATE = 100.0
SEEDS = range(3)
SETTINGS = hypothesis.settings(
    derandomize=True, deadline=None, database=None, max_examples=150
)
MIXES = {
    "all are punctual": ["punctual"],
    "none returns": ["never"],
    "three of five are punctual, one returns early and one often": [
        *["punctual"] * 3,
        "early",
        "often",
    ],
}


class _Limit:
    """A limit without units, and the retry times of its keeper."""

    def __init__(self):
        self.clock = clocks.ManualClock()
        self.rate = fleet_rate_limit.FleetRateLimit(self.clock, RATE, RATE)
        self.clock.advance(20.0)
        self.rate.tick()
        self.rate.take(RATE, for_all=True)
        # Of an unknown process's first total, only a part would be charged.
        self.rate.receive_total("vm-2#1", 0.0)
        self.counts = return_slots.ReturnCounts()
        self.slots = return_slots.ReturnSlots(self.clock, self.counts)

    def admit(self, units, key=1, patience_s=10.0):
        """Decide on a call."""
        call = return_slots.ReturningCall(key, patience_s)
        return self.slots.admit(self.rate, units, call)


@given("callers of {load:d} times the limit for {seconds:d} seconds")
def _callers(context, load, seconds):
    context.load = load
    context.seconds = float(seconds)


@when("all are punctual and the keeper ends after {seconds:d} seconds")
def _keeper_ends(context, seconds):
    _simulate(context, ["punctual"], keeper_ends_at=float(seconds))


def _simulate(context, mix, **options):
    context.outcomes, context.today = (
        [
            _limit_returns.simulate_returns(
                way, context.load, seed, mix, context.seconds, **options
            )
            for seed in SEEDS
        ]
        for way in ("reserved", "today")
    )


for _text, _mix in MIXES.items():
    when(_text)(lambda context, mix=_mix: _simulate(context, mix))


@then("under 5 of 100 that return are refused again, and today over 50")
def _refused_again(context):
    _few_refused_again(context)
    assert min(each.refused_again for each in context.today) > 0.5


@then("under 5 of 100 that return are refused again")
def _few_refused_again(context):
    for outcome in context.outcomes:
        assert len(outcome.retry_times) > 20
        assert outcome.refused_again < 0.05, outcome.refused_again


@then("no window has more units than the token bucket admits")
def _windows(context):
    # The tolerance of a bucket for rounding errors is 1e-9 of its burst.
    assert max(each.excess for each in context.outcomes) < 1.000001


@then("new calls have at least {share:f} of the limit")
def _new_calls(context, share):
    allowed = _limit_calls.RATE_TOKENS_PER_S * context.seconds
    for outcome in context.outcomes:
        new = sum(
            each.units
            for each in outcome.callers
            if each.served_at is not None and each.tries == 1
        )
        assert new >= share * allowed, new / allowed


@then("early and frequent callers are served as often as punctual ones")
def _nothing_gained(context):
    # Callers still waiting when the load ends find room then; those that
    # return often would be there.
    last_at = context.seconds - _limit_returns.RETURN_TIMEOUT_S
    every, served = collections.Counter(), collections.Counter()
    for outcome in context.outcomes:
        for each in outcome.callers:
            if each.at < last_at:
                every[each.behaviour] += 1
                served[each.behaviour] += each.served_at is not None
    share = {name: served[name] / every[name] for name in every}
    # Three standard deviations of a share among the fewest callers.
    margin = 3.0 * (0.25 / min(every.values())) ** 0.5
    for name in ("early", "often"):
        assert share[name] <= share["punctual"] + margin, share


@then("after the first 2 seconds of the new keeper nobody is refused again")
def _new_keeper(context):
    for outcome in context.outcomes:
        late = [
            each
            for each in outcome.callers
            if each.at > 7.0 and each.told_at is not None
        ]
        assert late and all(each.served_at is not None for each in late)


@when(
    "{count:d} callers come back within {seconds:f} seconds to a limit "
    "without units"
)
def _herd(context, count, seconds):
    context.outcomes = []
    for seed in SEEDS:
        rng = random.Random(seed)
        callers = [
            _limit_returns.Caller(seconds * rng.random(), 5.0, "punctual")
            for _ in range(count)
        ]
        callers.sort(key=lambda each: each.at)
        context.outcomes.append(
            _limit_returns.simulate(
                "reserved", callers, 10.0 * RATE, 10.0 * RATE, 15.0, rng, 0.0
            )
        )


@then("no second has more than twice the mean number of retries")
def _spread(context):
    for outcome in context.outcomes:
        times = outcome.retry_times
        # Half seconds are stricter, as the times span few whole ones.
        halves = collections.Counter(int(at / 0.5) for at in times)
        mean = len(times) / (times[-1] - times[0]) * 0.5
        assert max(halves.values()) <= 2.0 * mean, halves


@given("a limit of 100 units a second without units")
def _limit(context):
    context.limit = _Limit()


@when(
    "a call of {units:d} units whose caller honours {seconds:d} second is "
    "refused"
)
@when(
    "a call of {units:d} units whose caller honours {seconds:d} seconds is "
    "refused"
)
def _refuse(context, units, seconds):
    context.told_s = context.limit.admit(float(units), 1, float(seconds))


@then("it is told at least {least:f} seconds and nothing is reserved")
def _told(context, least):
    assert context.told_s >= least, context.told_s
    assert context.limit.slots.reservation_count == 0


@then(
    "nothing is reserved and the next call of {units:d} units is told "
    "{seconds:f} seconds"
)
def _next_told(context, units, seconds):
    assert context.limit.slots.reservation_count == 0
    assert abs(context.limit.admit(float(units), 2) - seconds) < 1e-6


@when("a call of 20 units is refused twice and then returns")
def _twice(context):
    first_s = context.limit.admit(20.0)
    context.limit.clock.advance(0.1)
    assert abs(context.limit.admit(20.0) - (first_s - 0.1)) < 1e-6
    context.limit.clock.advance(first_s - 0.1)


@then("there is one reservation, and a call of 30 units does not use it")
def _one(context):
    limit = context.limit
    assert limit.slots.reservation_count == 1
    assert limit.slots.admit(limit.rate, 25.0, None) > 0.0
    assert limit.admit(30.0) > 0.0
    assert limit.admit(20.0) == 0.0
    assert (limit.counts.given, limit.counts.kept) == (1, 1)


@when("a call of 20 units is refused and does not return")
def _missing(context):
    context.limit.clock.advance(context.limit.admit(20.0))


@then("its units are reserved for {seconds:f} s after its time and no longer")
def _held(context, seconds):
    limit = context.limit
    for pause_s, expected in ((seconds - 0.01, 20.0), (0.02, 0.0)):
        limit.clock.advance(pause_s)
        assert abs(limit.slots.reserved_units(RATE) - expected) < 1e-6
    assert limit.counts.missed == 1


@when(
    "equal calls of {units:d} units arrive at {load:d} times the limit for "
    "{seconds:d} seconds"
)
def _equal_calls(context, units, load, seconds):
    context.allowed = RATE * seconds
    context.admitted = 0.0
    for _ in range(round(load * context.allowed / units)):
        context.limit.clock.advance(units / (load * RATE))
        if context.limit.admit(float(units), patience_s=1.6) == 0.0:
            context.admitted += units


@then("at least {share:f} of what the limit allows is admitted")
def _share_admitted(context, share):
    assert context.admitted >= share * context.allowed, context.admitted


@when("a call of 20 units returns after another VM has used 40 units")
def _used_elsewhere(context):
    limit = context.limit
    limit.clock.advance(limit.admit(20.0))
    limit.rate.receive_total("vm-2#1", 40.0)
    context.told_s = limit.admit(20.0)


@then("it is told a new time, at which it is admitted")
def _new_time(context):
    limit = context.limit
    assert context.told_s > 0.0 and limit.counts.refused_again == 1
    limit.clock.advance(0.5 * context.told_s)
    again_s = limit.admit(20.0)
    assert abs(again_s - 0.5 * context.told_s) < 1e-6, again_s
    limit.clock.advance(again_s)
    assert limit.admit(20.0) == 0.0 and limit.counts.kept == 1


@when("{count:d} small calls are refused")
def _many(context, count):
    for key in range(count):
        assert context.limit.admit(0.1, key) > 0.0


@then("{count:d} reservations remain, and none after their time")
def _bounded(context, count):
    slots = context.limit.slots
    assert slots.reservation_count == count
    context.limit.clock.advance(10.0 + return_slots.GRACE_S)
    _assert_empty(context.limit)
    assert context.limit.counts.missed == count


def _assert_empty(limit):
    assert limit.slots.reservation_count == 0
    assert limit.slots.reserved_units(RATE) == 0.0
    sizes = [
        len(getattr(limit.slots, name))
        for name in ("_reservations", "_upcoming", "_ripe", "_large")
    ]
    assert sizes == [0, 0, 0, 0], sizes


@then("any calls, retries and refunds keep to the rate and leave nothing")
def _invariants(context):
    step = strategies.tuples(
        strategies.floats(0.0, 0.8),
        strategies.integers(0, 12),
        strategies.floats(0.1, 160.0),
        strategies.sampled_from([0.2, 1.5, 10.0]),
        strategies.sampled_from(["call", "call", "call", "refund", "remote"]),
    )

    @SETTINGS
    @hypothesis.given(strategies.lists(step, max_size=60))
    def check(steps):
        limit = _Limit()
        remote = excess = 0.0
        for pause_s, key, units, patience_s, kind in steps:
            before = limit.slots.reserved_units(RATE)
            limit.clock.advance(pause_s)
            gained = limit.slots.reserved_units(RATE) - before
            assert gained <= 0.5 * RATE * pause_s + 1e-6, gained
            held = limit.slots._reservations.values()
            assert before + gained <= sum(r.units for r in held) + 1e-6
            excess = max(0.0, excess - RATE * pause_s)
            if kind == "refund":
                limit.rate.refund(units)
                excess -= units
            elif kind == "remote":
                remote += units
                limit.rate.receive_total("vm-2#1", remote)
            elif limit.admit(units, key, patience_s) == 0.0:
                # The bucket was empty at the start. A call above the burst
                # takes the whole bucket.
                excess += min(units, RATE)
                assert excess <= RATE + 1e-6, excess
        limit.clock.advance(10.0 + 60.0)
        _assert_empty(limit)
        assert limit.admit(RATE, 99) == 0.0

    check()
