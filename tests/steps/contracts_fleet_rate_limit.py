"""Steps for tests/contracts/fleet_rate_limit.feature."""

import random

from behave import given
from behave import then
from behave import when
import hypothesis
from hypothesis import strategies

from apricotlever import clock as clocks
from apricotlever.contracts import fleet_rate_limit
from apricotlever.contracts import token_bucket
from tests.contracts import naive_fleet_rate

INTERVAL_S = 0.2
SETTINGS = hypothesis.settings(
    derandomize=True, deadline=None, database=None, max_examples=30
)


class Fleet:
    """VMs that share one limit and exchange totals every interval."""

    def __init__(self, vms, rate, burst, overshoot_units=0.0, overshoot=0.0):
        self.clock = clocks.ManualClock()
        self.rate = rate
        self.burst = burst
        self.names = [f"vm-{n}" for n in range(vms)]
        self.rates = {
            name: fleet_rate_limit.FleetRateLimit(
                self.clock, rate, burst, overshoot_units, overshoot=overshoot
            )
            for name in self.names
        }
        self.sides = [self.names]

    def set_all_members(self):
        """Make all VMs members of the fleet."""
        for name, limit in self.rates.items():
            limit.set_members(n for n in self.names if n != name)

    def exchange_totals(self):
        """Send each VM's total to the VMs on its side of the network."""
        for side in self.sides:
            for name in side:
                for other in side:
                    if other != name:
                        self.rates[other].receive_total(
                            name, self.rates[name].admitted_units
                        )
        for limit in self.rates.values():
            limit.tick()

    def advance(self):
        """Let one interval pass and exchange totals."""
        self.clock.advance(INTERVAL_S)
        self.exchange_totals()

    def take_until_refused(self, name, units=1.0):
        """Take units until the limit refuses."""
        while not self.rates[name].take(units):
            pass


@given(
    "{vms:d} VMs that share a limit of {rate:d} a second and a burst of "
    "{burst:d}"
)
def _fleet(context, vms, rate, burst):
    context.fleet = Fleet(vms, rate, burst)
    context.fleet.set_all_members()
    context.fleet.exchange_totals()


@given("they have exchanged totals for {seconds:d} seconds")
@when("they have exchanged totals for {seconds:d} seconds more")
def _exchange(context, seconds):
    for _ in range(round(seconds / INTERVAL_S)):
        context.fleet.advance()


@when(
    "VM 1 has admitted {units:d} units over {seconds:d} seconds and sent its "
    "total"
)
def _admitted_before(context, units, seconds):
    fleet = context.fleet
    steps = round(seconds / INTERVAL_S)
    for _ in range(steps):
        fleet.advance()
        assert not fleet.rates["vm-0"].take(units / steps)
    fleet.exchange_totals()


@when("VM 1 is flooded for {seconds:d} seconds")
def _flood_one(context, seconds):
    for _ in range(round(seconds / INTERVAL_S)):
        context.fleet.advance()
        context.fleet.take_until_refused("vm-0")


@when("VM 1 admits {units:d} units and is refunded {back:d}")
def _refund(context, units, back):
    assert not context.fleet.rates["vm-0"].take(units)
    context.fleet.rates["vm-0"].refund(back)


@when(
    "the first {cut:d} lose the others and all are flooded for "
    "{seconds:d} seconds"
)
def _partition(context, cut, seconds):
    fleet = context.fleet
    fleet.sides = [fleet.names[:cut], fleet.names[cut:]]
    context.seconds = seconds
    for _ in range(round(seconds / INTERVAL_S)):
        for name in fleet.names:
            fleet.take_until_refused(name)
        fleet.advance()


@when("all of them {event} and are flooded for {seconds:d} seconds")
def _flood_after_event(context, event, seconds):
    assert event == "have just started"
    old = context.fleet
    fleet = Fleet(len(old.names), old.rate, old.burst)
    context.fleet, context.seconds = fleet, seconds
    for interval in range(round(seconds / INTERVAL_S)):
        for name in fleet.names:
            fleet.take_until_refused(name)
        fleet.clock.advance(INTERVAL_S)
        if not interval:
            fleet.set_all_members()
        fleet.exchange_totals()
    context.used = sum(limit.admitted_units for limit in fleet.rates.values())


@then("together they admit at most {times:f} times the limit of that time")
def _within_factor(context, times):
    allowed = context.fleet.rate * context.seconds + context.fleet.burst
    assert context.used <= times * allowed, (context.used, allowed)


@then("together they admit at most what the limit and one interval allow")
def _within_partition_bound(context):
    fleet = context.fleet
    used = sum(limit.admitted_units for limit in fleet.rates.values())
    # Until the silence is noticed, each side uses the whole limit.
    unseen_s = fleet_rate_limit.SILENCE_TIMEOUT_S + 2 * INTERVAL_S
    allowed = fleet.rate * (context.seconds + unseen_s) + fleet.burst
    allowed += (len(fleet.names) - 1) * fleet.rate * INTERVAL_S + fleet.burst
    assert used <= allowed, (used, allowed)


@then("VM {vm:d} admits {units:d} units at once")
def _admits(context, vm, units):
    assert not context.fleet.rates[f"vm-{vm - 1}"].take(units)


@then("VM 1 has admitted at least {units:d} units")
def _has_admitted(context, units):
    assert context.fleet.rates["vm-0"].admitted_units >= units


@then("shared counting keeps the limit and refuses less than equal shares")
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
        fleet.set_all_members()
        for _ in range(20):
            fleet.advance()
        shares = [w / sum(weights) for w in weights]
        served = naive_served = 0
        for _ in range(100):
            fleet.advance()
            for n, share in enumerate(shares):
                # The demand is nine tenths of the limit.
                units = 0.9 * 100.0 * INTERVAL_S * share
                served += not fleet.rates[fleet.names[n]].take(units)
                naive_served += naive.take(n, units)
        assert served >= naive_served
        assert served == 100 * vms

    check()


@when("a VM starts and is told a level of {first:d}, then one of {second:d}")
def _told_level_twice(context, first, second):
    fleet = context.fleet
    context.new = fleet_rate_limit.FleetRateLimit(
        fleet.clock, fleet.rate, fleet.burst
    )
    for name in fleet.names:
        context.new.receive_total(name, 1000.0)
    context.new.set_members(fleet.names)
    context.new.initialize_level(first)
    context.new.initialize_level(second)


def _settled_vm(context):
    """Return a VM that knows all others and has a full bucket."""
    fleet = context.fleet
    new = fleet_rate_limit.FleetRateLimit(fleet.clock, fleet.rate, fleet.burst)
    for _ in range(50):
        for name in fleet.names[1:]:
            new.record_contact(name)
        new.set_members(fleet.names[1:])
        fleet.clock.advance(0.1)
    for name in fleet.names[1:]:
        new.record_contact(name)
    new.tick()
    return new


@when("a VM started 5 seconds ago receives a first total of {units:d} units")
def _first_total(context, units):
    context.new = _settled_vm(context)
    context.new.receive_total(context.fleet.names[1], float(units))


@when(
    "totals of {first:d}, of {stale:d} and of {last:d} units are relayed to "
    "a VM"
)
def _relayed_totals(context, first, stale, last):
    context.new = _settled_vm(context)
    for total in (first, stale, last):
        context.new.receive_relayed_total(context.fleet.names[1], float(total))


@when(
    "a VM starts alone, is told a level of {left:d} and hears from all but "
    "one"
)
def _start_alone(context, left):
    fleet = context.fleet
    context.new = fleet_rate_limit.FleetRateLimit(
        fleet.clock, fleet.rate, fleet.burst
    )
    context.new.tick()
    context.new.initialize_level(left)
    for name in fleet.names[1:]:
        context.new.record_contact(name)
    context.new.set_members(fleet.names)


@then("it admits {units:d} units")
def _new_admits(context, units):
    assert not context.new.take(units, for_all=True)


@then("it admits {first:d} units and not {second:d} more")
def _new_admits_once(context, first, second):
    assert not context.new.take(first)
    assert context.new.take(second)


@when("all of them restart, are told a level of {level:d} and are flooded")
def _restart_all(context, level):
    old = context.fleet
    fleet = Fleet(len(old.names), old.rate, old.burst)
    for limit in fleet.rates.values():
        limit.set_members([])
        limit.initialize_level(level)
    for interval in range(5):
        for name in fleet.names:
            fleet.take_until_refused(name)
        fleet.clock.advance(INTERVAL_S)
        if not interval:
            fleet.set_all_members()
        fleet.exchange_totals()
    context.used = sum(limit.admitted_units for limit in fleet.rates.values())


@then(
    "they admit at least {least:d} units and at most {most:d} in the first "
    "second"
)
def _first_second(context, least, most):
    # One second's rate is added to the initial level.
    assert least + 50 <= context.used <= most + 100, context.used


@given(
    "{vms:d} VMs that share a limit of {rate:d} a second and a burst of "
    "{burst:d}, with an overshoot of {overshoot_units:d}"
)
def _fleet_with_overshoot(context, vms, rate, burst, overshoot_units):
    context.fleet = Fleet(vms, rate, burst, overshoot_units)
    context.fleet.set_all_members()
    context.fleet.exchange_totals()
    # Each process begins with few units; after this, each has a full burst.
    for _ in range(round(2.0 / INTERVAL_S)):
        context.fleet.advance()


@when("both admit {units:d} units at the same moment and send their totals")
def _admit_at_once(context, units):
    for limit in context.fleet.rates.values():
        assert not limit.take(units)
    context.fleet.exchange_totals()


@then("VM {vm:d} does not admit {units:d} units")
def _does_not_admit(context, vm, units):
    assert context.fleet.rates[f"vm-{vm - 1}"].take(units)


@when("all of them are flooded for {seconds:d} seconds")
def _flooded(context, seconds):
    fleet = context.fleet
    before = sum(limit.admitted_units for limit in fleet.rates.values())
    for _ in range(round(seconds / INTERVAL_S)):
        for name in fleet.names:
            fleet.take_until_refused(name)
        fleet.advance()
    used = sum(limit.admitted_units for limit in fleet.rates.values())
    context.used, context.seconds = used - before, seconds


@then(
    "together they admit at most the limit of that time and a quarter of "
    "{overshoot_units:d} more"
)
def _within_overshoot(context, overshoot_units):
    fleet = context.fleet
    allowed = fleet.rate * context.seconds + fleet.burst
    # Within one interval, each VM may use the level that it saw.
    unheard = fleet_rate_limit.TICK_SHARE_FACTOR * (
        fleet.burst + 0.25 * overshoot_units
    )
    assert context.used <= allowed + 0.25 * overshoot_units + unheard, (
        context.used,
        allowed,
    )


@then("with an overshoot seven VMs refuse less of what one counter admits")
def _one_counter(context):
    strict = _wrongly_refused(0.0, 0.0)
    with_overshoot = _wrongly_refused(400.0, 0.1)
    assert with_overshoot < 0.9 * strict, (with_overshoot, strict)


def _wrongly_refused(overshoot_units, overshoot):
    """Return the number of calls that one bucket admits and VMs refuse."""
    rng = random.Random(7)
    fleet = Fleet(7, 100.0, 200.0, overshoot_units, overshoot)
    one = token_bucket.TokenBucket(fleet.clock, 100.0, 200.0)
    fleet.set_all_members()
    for _ in range(25):
        fleet.advance()
    refused = 0
    for _ in range(round(120.0 / INTERVAL_S)):
        # Twice the limit, in calls of a quarter of a second's rate.
        for _ in range(rng.choice((0, 1, 1, 2, 3))):
            units = rng.uniform(10.0, 50.0)
            taken = one.take(units)
            name = rng.choice(fleet.names)
            if fleet.rates[name].take(units) and taken:
                refused += 1
        fleet.advance()
    return refused
