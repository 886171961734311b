"""Steps for tests/data_centres/fleet_mix_planner.feature."""

from behave import given
from behave import then
from behave import when
import hypothesis
from hypothesis import strategies

from apricotlever import clock as clocks
from apricotlever.data_centres import fleet_mix_planner

DATA_CENTRES = ("a", "b", "c")
BOOT_S = 4.0
SETTINGS = hypothesis.settings(
    derandomize=True, deadline=None, database=None, max_examples=100
)


def _terms(least, most, count=3):
    prices = dict(zip(DATA_CENTRES[:count], (0.85, 1.2, 1.0), strict=False))
    return fleet_mix_planner.ScalingTerms(least, most, BOOT_S, 0.22, prices)


class Platform:
    """Simulates a platform that accepts or refuses orders for runners."""

    def __init__(self, terms):
        self.clock = clocks.ManualClock()
        self.size = fleet_mix_planner.FleetMixPlanner(self.clock)
        self.terms = terms
        self.held = {
            data_centre: fleet_mix_planner.RunnerCounts()
            for data_centre in terms.on_demand_prices
        }
        self.refuses = False
        self.boots = False
        self.booting = {}
        self.min_on_demand = None

    def step(self, needed, idle=False, assumed=0.0):
        """Advance the clock by half a second, and carry out the plan.

        Ordered runners serve immediately unless ``boots`` is set.
        """
        self.clock.advance(0.5)
        for data_centre, (count, ready_at) in list(self.booting.items()):
            if self.clock.now() >= ready_at:
                self.held[data_centre].reclaimable = count
                del self.booting[data_centre]
        plan = self.size.plan(self.terms, self.held, needed, idle, assumed)
        for data_centre, wanted in plan.items():
            have = self.held[data_centre]
            have.on_demand = wanted.on_demand
            if wanted.reclaimable <= have.reclaimable:
                have.reclaimable = wanted.reclaimable
            elif self.refuses:
                self.size.record_refusal(data_centre)
            else:
                self._accept(data_centre, wanted.reclaimable)
        total = sum(holding.on_demand for holding in self.held.values())
        if self.min_on_demand is not None:
            self.min_on_demand = min(self.min_on_demand, total)
        return plan

    def _accept(self, data_centre, count):
        if not self.boots:
            self.held[data_centre].reclaimable = count
            self.size.record_accepted_order(data_centre, True, count, BOOT_S)
        elif data_centre not in self.booting:
            self.booting[data_centre] = (count, self.clock.now() + BOOT_S)
            self.size.record_accepted_order(data_centre, True, count, BOOT_S)

    def run(self, needed, steps=40):
        """Repeat the same step."""
        for _ in range(steps):
            plan = self.step(needed)
        return plan


@given("limits of {least:d} to {most:d} runners in each of 3 data centres")
def _limits(context, least, most):
    context.platform = Platform(_terms(least, most))


@given("{count:d} on-demand runners and no reclaimable ones are held")
def _hold_on_demand(context, count):
    for holding in context.platform.held.values():
        holding.on_demand = count // len(DATA_CENTRES)


@then("{a:d}, {c:d} and {b:d} on-demand runners are held, the cheapest first")
def _held_by_price(context, a, c, b):
    held = context.platform.held
    found = [held[data_centre].on_demand for data_centre in ("a", "c", "b")]
    assert found == [a, c, b], found


@given("1 on-demand and 2 reclaimable runners are held in each data centre")
def _hold_both_kinds(context):
    for holding in context.platform.held.values():
        holding.on_demand, holding.reclaimable = 1, 2


@when(
    "all VMs restart under load and assume that the present {count:d} runners "
    "are required"
)
def _restart_under_load(context, count):
    context.assumed = float(count)
    for _ in range(6):
        context.platform.step(1, assumed=context.assumed)


@when("the reclaimable runners of a data centre are reclaimed meanwhile")
def _reclaimed_meanwhile(context):
    context.platform.refuses = True
    context.platform.held["b"].reclaimable = 0
    for _ in range(6):
        context.platform.step(1, assumed=context.assumed)


@when("{needed:d} runners are required and all orders succeed immediately")
def _orders_succeed(context, needed):
    context.platform.refuses = False
    context.platform.run(needed)


@when("a data centre is reclaimed and another VM takes over in a lull")
def _lease_taken_over(context):
    platform = context.platform
    platform.refuses = True
    platform.held["c"].reclaimable = 0
    new_planner = fleet_mix_planner.FleetMixPlanner(platform.clock)
    for _ in range(4):
        new_planner.observe(platform.held, 6)
        platform.held["c"].reclaimable = 0
        platform.step(6)
    context.reclaimable_before = {
        data_centre: holding.reclaimable
        for data_centre, holding in platform.held.items()
    }
    platform.size = new_planner
    platform.size.observe(platform.held, 2)


@then("no reclaimable runner is released for {seconds:d} seconds")
def _none_released(context, seconds):
    for _ in range(2 * seconds):
        context.platform.step(2)
    held = context.platform.held
    found = {
        data_centre: held[data_centre].reclaimable for data_centre in held
    }
    assert found == context.reclaimable_before, (
        found,
        context.reclaimable_before,
    )


@when(
    "{needed:d} runners are required and orders for reclaimable ones are "
    "refused"
)
def _orders_refused(context, needed):
    context.platform.refuses = True
    context.platform.min_on_demand = 9
    context.platform.run(needed)


@when("{needed:d} runners are required")
def _required(context, needed):
    context.plan = context.platform.step(needed)


@when("9 runners are required, then 3 for 1 second")
def _need_falls_briefly(context):
    context.platform.refuses = True
    context.platform.run(9)
    context.platform.step(3)
    context.plan = context.platform.step(3)


@when("6 runners are required, then 2 for 12 seconds")
def _need_falls_in_lull(context):
    context.platform.run(6)
    context.plan = context.platform.run(2, steps=24)


@then(
    "{on_demand:d} on-demand and {reclaimable:d} reclaimable runners are held"
)
def _held_by_kind(context, on_demand, reclaimable):
    held = context.platform.held.values()
    assert sum(h.on_demand for h in held) == on_demand, list(held)
    assert sum(h.reclaimable for h in held) == reclaimable, list(held)


@then(
    "at least {needed:d} runners remain without any one data centre's "
    "reclaimable runners"
)
def _remain_after_reclaim(context, needed):
    held = context.platform.held.values()
    total = sum(h.on_demand + h.reclaimable for h in held)
    assert total - max(h.reclaimable for h in held) >= needed, list(held)


@when("9 runners are required and reclaimable ones boot for 4 seconds")
def _reclaimable_boot(context):
    platform = context.platform
    platform.boots = True
    context.min_serving = 9
    for _ in range(40):
        platform.step(9)
        serving = sum(
            h.on_demand + h.reclaimable for h in platform.held.values()
        )
        context.min_serving = min(context.min_serving, serving)


@then("at least {count:d} runners serve at all times")
def _always_serving(context, count):
    assert context.min_serving >= count, context.min_serving


@then("{count:d} on-demand runners are held at the end")
def _on_demand_at_end(context, count):
    total = sum(h.on_demand for h in context.platform.held.values())
    assert total == count, total


@then("at least {count:d} on-demand runners are held at all times")
def _always_on_demand(context, count):
    assert context.platform.min_on_demand >= count


@then("the plan holds {count:d} reclaimable runners in each data centre")
def _plan_reclaimable(context, count):
    assert all(h.reclaimable == count for h in context.plan.values())


@then("the plan holds {count:d} on-demand runners")
def _plan_on_demand(context, count):
    total = sum(h.on_demand for h in context.plan.values())
    assert total == count, context.plan


@then("no plan violates the limits")
def _plans_within_limits(context):
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


@when("a data centre is reclaimed while {needed:d} runners are required")
def _reclaimed_under_load(context, needed):
    platform = context.platform
    platform.refuses = True
    platform.held["c"].reclaimable = 0
    for _ in range(4):
        platform.step(needed)


@when(
    "a data centre is reclaimed and further orders are refused for 20 seconds"
)
def _reclaimed_and_refused(context):
    platform = context.platform
    platform.run(2)
    platform.refuses = True
    platform.held["c"].reclaimable = 0
    context.on_demand = []
    for _ in range(40):
        platform.step(2)
        context.on_demand.append(platform.held["c"].on_demand)


@then("it holds an on-demand runner at all times")
def _always_one_on_demand(context):
    # The first step only detects the reclaim.
    assert min(context.on_demand[1:]) >= 1, context.on_demand


@when("9 runners are required before any work, and reclaimable ones boot")
def _boot_before_work(context):
    platform = context.platform
    platform.boots = True
    for _ in range(2):
        platform.step(9, idle=True)


@when(
    "9 runners are required before any work, and reclaimable ones are refused"
)
def _refused_before_work(context):
    platform = context.platform
    platform.refuses = True
    platform.min_on_demand = 9
    for _ in range(40):
        platform.step(9, idle=True)


@then("{count:d} on-demand runners are held after the second step")
def _on_demand_after_second_step(context, count):
    total = sum(h.on_demand for h in context.platform.held.values())
    assert total == count, total


@given("{count:d} reclaimable runners are held in each data centre")
def _hold_reclaimable(context, count):
    for holding in context.platform.held.values():
        holding.reclaimable = count


@when(
    "{before:d} runners are required, the last data centre is reclaimed, and "
    "then {after:d} are required"
)
def _last_data_centre_reclaimed(context, before, after):
    platform = context.platform
    platform.refuses = True
    platform.step(before)
    platform.held[DATA_CENTRES[-1]].reclaimable = 0
    platform.step(before)
    platform.run(after, steps=20)


@when(
    "{needed:d} runners are required and reclaimable ones are available again"
)
def _available_again(context, needed):
    context.platform.refuses = False
    context.platform.run(needed)


@then("at most {count:d} on-demand runners are held at the end")
def _at_most_on_demand_at_end(context, count):
    held = context.platform.held
    found = sum(holding.on_demand for holding in held.values())
    assert found <= count, held
