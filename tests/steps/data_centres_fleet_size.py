"""Steps for tests/data_centres/fleet_size.feature."""

from behave import given
from behave import then
from behave import when
import hypothesis
from hypothesis import strategies

from apricotlever import clock as clocks
from apricotlever.data_centres import fleet_size

PLACES = ("a", "b", "c")
BOOT_S = 4.0
SETTINGS = hypothesis.settings(
    derandomize=True, deadline=None, database=None, max_examples=100
)


def _terms(least, most, count=3):
    prices = dict(zip(PLACES[:count], (0.85, 1.2, 1.0), strict=False))
    return fleet_size.Terms(least, most, BOOT_S, 0.22, prices)


class Platform:
    """Holds runners and meets or refuses orders."""

    def __init__(self, terms):
        self.clock = clocks.ManualClock()
        self.size = fleet_size.FleetSize(self.clock)
        self.terms = terms
        self.held = {place: fleet_size.Holding() for place in terms.prices}
        self.refuses = False
        self.boots = False
        self.booting = {}
        self.least_on_demand = None

    def step(self, needed, idle=False, trusted=0.0):
        """Half a second passes; what is ordered comes at once."""
        self.clock.advance(0.5)
        for place, (count, ready_at) in list(self.booting.items()):
            if self.clock.now() >= ready_at:
                self.held[place].reclaimable = count
                del self.booting[place]
        plan = self.size.plan(self.terms, self.held, needed, idle, trusted)
        for place, wanted in plan.items():
            have = self.held[place]
            have.on_demand = wanted.on_demand
            if wanted.reclaimable <= have.reclaimable:
                have.reclaimable = wanted.reclaimable
            elif self.refuses:
                self.size.refused(place)
            else:
                self._take(place, wanted.reclaimable)
        total = sum(holding.on_demand for holding in self.held.values())
        if self.least_on_demand is not None:
            self.least_on_demand = min(self.least_on_demand, total)
        return plan

    def _take(self, place, count):
        if not self.boots:
            self.held[place].reclaimable = count
            self.size.taken(place, True, count, BOOT_S)
        elif place not in self.booting:
            self.booting[place] = (count, self.clock.now() + BOOT_S)
            self.size.taken(place, True, count, BOOT_S)

    def run(self, needed, steps=40):
        """Many steps."""
        for _ in range(steps):
            plan = self.step(needed)
        return plan


@given("terms of {least:d} to {most:d} runners in 3 data centres")
def _given(context, least, most):
    context.platform = Platform(_terms(least, most))


@given("{count:d} on-demand runners are held and none reclaimable")
def _held_on_demand(context, count):
    for holding in context.platform.held.values():
        holding.on_demand = count // len(PLACES)


@then("{a:d}, {c:d} and {b:d} on-demand runners are held, the cheapest first")
def _by_price(context, a, c, b):
    held = context.platform.held
    found = [held[place].on_demand for place in ("a", "c", "b")]
    assert found == [a, c, b], found


@given("1 on-demand and 2 reclaimable runners are held in each")
def _three(context):
    for holding in context.platform.held.values():
        holding.on_demand, holding.reclaimable = 1, 2


@when(
    "all VMs start anew amid work and trust the {count:d} runners that "
    "are there"
)
def _anew(context, count):
    context.trusted = float(count)
    for _ in range(6):
        context.platform.step(1, trusted=context.trusted)


@when("a data centre's reclaimable ones go meanwhile")
def _go_meanwhile(context):
    context.platform.refuses = True
    context.platform.held["b"].reclaimable = 0
    for _ in range(6):
        context.platform.step(1, trusted=context.trusted)


@when("{needed:d} runners are needed and all orders are met at once")
def _met(context, needed):
    context.platform.refuses = False
    context.platform.run(needed)


@when("a data centre is reclaimed and another VM takes over in a lull")
def _takes_over(context):
    platform = context.platform
    platform.refuses = True
    platform.held["c"].reclaimable = 0
    other = fleet_size.FleetSize(platform.clock)
    for _ in range(4):
        other.observe(platform.held, 6)
        platform.held["c"].reclaimable = 0
        platform.step(6)
    context.before = {
        place: holding.reclaimable for place, holding in platform.held.items()
    }
    platform.size = other
    platform.size.observe(platform.held, 2)


@then("no reclaimable runner is given back for {seconds:d} seconds")
def _none_back(context, seconds):
    for _ in range(2 * seconds):
        context.platform.step(2)
    held = context.platform.held
    found = {place: held[place].reclaimable for place in held}
    assert found == context.before, (found, context.before)


@when("{needed:d} runners are needed and reclaimable ones are refused")
def _refused(context, needed):
    context.platform.refuses = True
    context.platform.least_on_demand = 9
    context.platform.run(needed)


@when("{needed:d} runners are needed")
def _needed(context, needed):
    context.plan = context.platform.step(needed)


@when("9 runners are needed, then 3 for 1 second")
def _falls(context):
    context.platform.refuses = True
    context.platform.run(9)
    context.platform.step(3)
    context.plan = context.platform.step(3)


@when("6 runners are needed, then 2 for 12 seconds")
def _lull(context):
    context.platform.run(6)
    context.plan = context.platform.run(2, steps=24)


@then("{on_demand:d} on demand and {reclaimable:d} reclaimable ones are held")
def _held(context, on_demand, reclaimable):
    held = context.platform.held.values()
    assert sum(h.on_demand for h in held) == on_demand, list(held)
    assert sum(h.reclaimable for h in held) == reclaimable, list(held)


@then("without any one data centre's reclaimable runners {needed:d} are left")
def _left(context, needed):
    held = context.platform.held.values()
    total = sum(h.on_demand + h.reclaimable for h in held)
    assert total - max(h.reclaimable for h in held) >= needed, list(held)


@when("9 runners are needed and reclaimable ones boot for 4 seconds")
def _boot(context):
    platform = context.platform
    platform.boots = True
    context.least_serving = 9
    for _ in range(40):
        platform.step(9)
        serving = sum(
            h.on_demand + h.reclaimable for h in platform.held.values()
        )
        context.least_serving = min(context.least_serving, serving)


@then("at least {count:d} runners serve all the while")
def _serve(context, count):
    assert context.least_serving >= count, context.least_serving


@then("{count:d} on demand are held in the end")
def _end(context, count):
    total = sum(h.on_demand for h in context.platform.held.values())
    assert total == count, total


@then("at least {count:d} on demand are held all the while")
def _least(context, count):
    assert context.platform.least_on_demand >= count


@then("the plan holds {count:d} reclaimable runners in each data centre")
def _each(context, count):
    assert all(h.reclaimable == count for h in context.plan.values())


@then("the plan holds {count:d} on-demand runners")
def _plan(context, count):
    total = sum(h.on_demand for h in context.plan.values())
    assert total == count, context.plan


@then("no plan is ever outside of the bounds")
def _bounds(context):
    @SETTINGS
    @hypothesis.given(
        strategies.integers(0, 3),
        strategies.integers(0, 9),
        strategies.integers(1, 3),
        strategies.lists(
            strategies.tuples(strategies.floats(0, 60), strategies.booleans()),
            max_size=40,
        ),
    )
    def check(least, more, count, sequence):
        platform = Platform(_terms(least, least + more, count))
        for needed, refuses in sequence:
            platform.refuses = refuses
            plan = platform.step(needed)
            for holding in plan.values():
                total = holding.on_demand + holding.reclaimable
                assert least <= total <= least + more, plan
                assert min(holding.on_demand, holding.reclaimable) >= 0

    check()


@when("a data centre is reclaimed while {needed:d} are needed")
def _reclaimed_now(context, needed):
    platform = context.platform
    platform.refuses = True
    platform.held["c"].reclaimable = 0
    for _ in range(4):
        platform.step(needed)


@when("a data centre is reclaimed and others are refused for 20 seconds")
def _reclaimed(context):
    platform = context.platform
    platform.run(2)
    platform.refuses = True
    platform.held["c"].reclaimable = 0
    context.on_demand = []
    for _ in range(40):
        platform.step(2)
        context.on_demand.append(platform.held["c"].on_demand)


@then("it holds an on-demand runner all the while")
def _all_the_while(context):
    # The first step only notices the reclaim.
    assert min(context.on_demand[1:]) >= 1, context.on_demand


@when("9 runners are needed without any work, and others boot")
def _idle(context):
    platform = context.platform
    platform.boots = True
    for _ in range(2):
        platform.step(9, idle=True)


@when("9 runners are needed without any work, and others are refused")
def _idle_refused(context):
    platform = context.platform
    platform.refuses = True
    platform.least_on_demand = 9
    for _ in range(40):
        platform.step(9, idle=True)


@then("{count:d} on demand are held after the second step")
def _second(context, count):
    total = sum(h.on_demand for h in context.platform.held.values())
    assert total == count, total


@given("{count:d} reclaimable runners are held in each data centre")
def _in_each(context, count):
    for holding in context.platform.held.values():
        holding.reclaimable = count


@when(
    "{before:d} runners are needed, the last data centre's are reclaimed, and "
    "then {after:d} are needed"
)
def _last_reclaimed(context, before, after):
    platform = context.platform
    platform.refuses = True
    platform.step(before)
    platform.held[PLACES[-1]].reclaimable = 0
    platform.step(before)
    platform.run(after, steps=20)


@when("{needed:d} runners are needed and reclaimable ones are to be had again")
def _had_again(context, needed):
    context.platform.refuses = False
    context.platform.run(needed)


@then("at most {count:d} on demand are held in the end")
def _at_most(context, count):
    held = context.platform.held
    found = sum(holding.on_demand for holding in held.values())
    assert found <= count, held
