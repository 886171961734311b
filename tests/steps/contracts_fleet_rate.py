"""Steps for tests/contracts/fleet_rate.feature."""

import random

from behave import given
from behave import then
from behave import when
import hypothesis
from hypothesis import strategies

from apricotlever import clock as clocks
from apricotlever.contracts import fleet_rate
from apricotlever.contracts import rates
from tests.contracts import naive_fleet_rate

INTERVAL_S = 0.2
SETTINGS = hypothesis.settings(
    derandomize=True, deadline=None, database=None, max_examples=30
)


class Fleet:
    """VMs that share one limit and tell each other every interval."""

    def __init__(self, vms, rate, burst, spare=0.0, overshoot=0.0):
        self.clock = clocks.ManualClock()
        self.rate = rate
        self.burst = burst
        self.names = [f"vm-{n}" for n in range(vms)]
        self.rates = {
            name: fleet_rate.FleetRate(
                self.clock, rate, burst, spare, overshoot=overshoot
            )
            for name in self.names
        }
        self.sides = [self.names]

    def meet(self):
        """All come to know each other."""
        for name, limit in self.rates.items():
            limit.set_members(n for n in self.names if n != name)

    def tell(self):
        """Everybody tells those on its side."""
        for side in self.sides:
            for name in side:
                for other in side:
                    if other != name:
                        self.rates[other].heard(name, self.rates[name].used)
        for limit in self.rates.values():
            limit.tick()

    def step(self):
        """One interval passes."""
        self.clock.advance(INTERVAL_S)
        self.tell()

    def take_all(self, name, units=1.0):
        """Let in as much as the limit gives now."""
        while not self.rates[name].take(units):
            pass


@given(
    "{vms:d} VMs that share a limit of {rate:d} a second and a burst of "
    "{burst:d}"
)
def _fleet(context, vms, rate, burst):
    context.fleet = Fleet(vms, rate, burst)
    context.fleet.meet()
    context.fleet.tell()


@given("they have told each other for {seconds:d} seconds")
@when("they have told each other for {seconds:d} seconds more")
def _told(context, seconds):
    for _ in range(round(seconds / INTERVAL_S)):
        context.fleet.step()


@when("VM 1 has let in {units:d} units over {seconds:d} seconds and told it")
def _used(context, units, seconds):
    fleet = context.fleet
    steps = round(seconds / INTERVAL_S)
    for _ in range(steps):
        fleet.step()
        assert not fleet.rates["vm-0"].take(units / steps)
    fleet.tell()


@when("VM 1 asks for {seconds:d} seconds")
def _asks(context, seconds):
    for _ in range(round(seconds / INTERVAL_S)):
        context.fleet.step()
        context.fleet.take_all("vm-0")


@when("VM 1 lets in {units:d} units and gives {back:d} back")
def _back(context, units, back):
    assert not context.fleet.rates["vm-0"].take(units)
    context.fleet.rates["vm-0"].give_back(back)


@when(
    "the first {cut:d} of them lose the others and all ask for "
    "{seconds:d} seconds"
)
def _cut(context, cut, seconds):
    fleet = context.fleet
    fleet.sides = [fleet.names[:cut], fleet.names[cut:]]
    context.seconds = seconds
    for _ in range(round(seconds / INTERVAL_S)):
        for name in fleet.names:
            fleet.take_all(name)
        fleet.step()


@when("all of them {event} and are flooded for {seconds:d} seconds")
def _flood(context, event, seconds):
    assert event == "have just started"
    old = context.fleet
    fleet = Fleet(len(old.names), old.rate, old.burst)
    context.fleet, context.seconds = fleet, seconds
    for step in range(round(seconds / INTERVAL_S)):
        for name in fleet.names:
            fleet.take_all(name)
        fleet.clock.advance(INTERVAL_S)
        if not step:
            fleet.meet()
        fleet.tell()
    context.used = sum(limit.used for limit in fleet.rates.values())


@then("together they let in at most {times:f} times the limit of that time")
def _near(context, times):
    allowed = context.fleet.rate * context.seconds + context.fleet.burst
    assert context.used <= times * allowed, (context.used, allowed)


@then("together they let in at most what the limit and one interval allow")
def _within(context):
    fleet = context.fleet
    used = sum(limit.used for limit in fleet.rates.values())
    # Until the silence is noticed both sides count on all of the limit.
    unseen_s = fleet_rate.SILENCE_TIMEOUT_S + 2 * INTERVAL_S
    allowed = fleet.rate * (context.seconds + unseen_s) + fleet.burst
    allowed += (len(fleet.names) - 1) * fleet.rate * INTERVAL_S + fleet.burst
    assert used <= allowed, (used, allowed)


@then("VM {vm:d} lets in {units:d} units at once")
def _lets_in(context, vm, units):
    assert not context.fleet.rates[f"vm-{vm - 1}"].take(units)


@then("VM 1 has let in at least {units:d} units")
def _at_least(context, units):
    assert context.fleet.rates["vm-0"].used >= units


@then(
    "shared counting keeps within the limit and refuses less than equal parts"
)
def _against_naive(context):
    @SETTINGS
    @hypothesis.given(
        strategies.integers(2, 8),
        strategies.lists(strategies.floats(0.1, 10.0), min_size=8, max_size=8),
    )
    def check(vms, weights):
        fleet = Fleet(vms, 100.0, 100.0)
        naive = naive_fleet_rate.EqualParts(fleet.clock, 100.0, 100.0, vms)
        weights = weights[:vms]
        fleet.meet()
        for _ in range(20):
            fleet.step()
        shares = [w / sum(weights) for w in weights]
        served = naive_served = 0
        for _ in range(100):
            fleet.step()
            for n, share in enumerate(shares):
                # Nine tenths of the limit, as the demand lies.
                units = 0.9 * 100.0 * INTERVAL_S * share
                served += not fleet.rates[fleet.names[n]].take(units)
                naive_served += naive.take(n, units)
        assert served >= naive_served
        assert served == 100 * vms

    check()


@when(
    "a VM starts and learns that {first:d} are left, then that {second:d} "
    "are left"
)
def _starts(context, first, second):
    fleet = context.fleet
    context.new = fleet_rate.FleetRate(fleet.clock, fleet.rate, fleet.burst)
    for name in fleet.names:
        context.new.heard(name, 1000.0)
    context.new.set_members(fleet.names)
    context.new.learn(first)
    context.new.learn(second)


def _settled(context):
    """A VM that knows all others and has a whole limit left."""
    fleet = context.fleet
    new = fleet_rate.FleetRate(fleet.clock, fleet.rate, fleet.burst)
    for _ in range(50):
        for name in fleet.names[1:]:
            new.present(name)
        new.set_members(fleet.names[1:])
        fleet.clock.advance(0.1)
    for name in fleet.names[1:]:
        new.present(name)
    new.tick()
    return new


@when(
    "a VM that started 5 seconds ago hears of {units:d} units of another one"
)
def _met_late(context, units):
    context.new = _settled(context)
    context.new.heard(context.fleet.names[1], float(units))


@when(
    "totals of {first:d}, of {stale:d} and of {last:d} units are told on to "
    "a VM"
)
def _told_on(context, first, stale, last):
    context.new = _settled(context)
    for total in (first, stale, last):
        context.new.told_on(context.fleet.names[1], float(total))


@when("a VM starts alone, learns that {left:d} are left and hears all but one")
def _alone(context, left):
    fleet = context.fleet
    context.new = fleet_rate.FleetRate(fleet.clock, fleet.rate, fleet.burst)
    context.new.tick()
    context.new.learn(left)
    for name in fleet.names[1:]:
        context.new.present(name)
    context.new.set_members(fleet.names)


@then("it lets in {units:d} units")
def _lets_in_at_once(context, units):
    assert not context.new.take(units, for_all=True)


@then("it lets in {first:d} units and not {second:d} more")
def _new_lets_in(context, first, second):
    assert not context.new.take(first)
    assert context.new.take(second)


@when("all of them start anew, learn that {level:d} are left and are flooded")
def _anew(context, level):
    old = context.fleet
    fleet = Fleet(len(old.names), old.rate, old.burst)
    for limit in fleet.rates.values():
        limit.set_members([])
        limit.learn(level)
    for step in range(5):
        for name in fleet.names:
            fleet.take_all(name)
        fleet.clock.advance(INTERVAL_S)
        if not step:
            fleet.meet()
        fleet.tell()
    context.used = sum(limit.used for limit in fleet.rates.values())


@then(
    "they let in at least {least:d} units and at most {most:d} in the first "
    "second"
)
def _first_second(context, least, most):
    # One second's rate comes on top of what was left.
    assert least + 50 <= context.used <= most + 100, context.used


@given(
    "{vms:d} VMs that share a limit of {rate:d} a second and a burst of "
    "{burst:d}, and {spare:d} to spare"
)
def _fleet_with_spare(context, vms, rate, burst, spare):
    context.fleet = Fleet(vms, rate, burst, spare)
    context.fleet.meet()
    context.fleet.tell()
    # Each process begins with little; by now they have a whole burst.
    for _ in range(round(2.0 / INTERVAL_S)):
        context.fleet.step()


@when("both let in {units:d} units at the same moment and tell it")
def _both(context, units):
    for limit in context.fleet.rates.values():
        assert not limit.take(units)
    context.fleet.tell()


@then("VM {vm:d} does not let in {units:d} units")
def _not_in(context, vm, units):
    assert context.fleet.rates[f"vm-{vm - 1}"].take(units)


@when("all of them are flooded for {seconds:d} seconds")
def _flooded(context, seconds):
    fleet = context.fleet
    before = sum(limit.used for limit in fleet.rates.values())
    for _ in range(round(seconds / INTERVAL_S)):
        for name in fleet.names:
            fleet.take_all(name)
        fleet.step()
    used = sum(limit.used for limit in fleet.rates.values())
    context.used, context.seconds = used - before, seconds


@then(
    "together they let in at most the limit of that time and a quarter of "
    "{spare:d} more"
)
def _bounded(context, spare):
    fleet = context.fleet
    allowed = fleet.rate * context.seconds + fleet.burst
    # In one interval all may let in what each of them saw left.
    unheard = fleet_rate.TICK_SHARE_FACTOR * (fleet.burst + 0.25 * spare)
    assert context.used <= allowed + 0.25 * spare + unheard, (
        context.used,
        allowed,
    )


@then("of what one counter lets in, seven VMs refuse less with some to spare")
def _one_counter(context):
    strict = _refused_beside_one(0.0, 0.0)
    spared = _refused_beside_one(400.0, 0.1)
    assert spared < 0.9 * strict, (spared, strict)


def _refused_beside_one(spare, overshoot):
    """Calls that a single bucket lets in and the fleet refuses."""
    rng = random.Random(7)
    fleet = Fleet(7, 100.0, 200.0, spare, overshoot)
    one = rates.TokenBucket(fleet.clock, 100.0, 200.0)
    fleet.meet()
    for _ in range(25):
        fleet.step()
    refused = 0
    for _ in range(round(120.0 / INTERVAL_S)):
        # Twice the limit, in calls of a quarter of a second's worth.
        for _ in range(rng.choice((0, 1, 1, 2, 3))):
            units = rng.uniform(10.0, 50.0)
            taken = one.take(units)
            name = rng.choice(fleet.names)
            if fleet.rates[name].take(units) and taken:
                refused += 1
        fleet.step()
    return refused
