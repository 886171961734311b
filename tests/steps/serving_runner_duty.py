"""Steps for tests/serving/runner_duty.feature."""

import asyncio

from behave import given
from behave import step
from behave import then
from behave import when

from apricotlever import clock as clocks
from apricotlever.data_centres import fleet_mix_planner
from apricotlever.serving import directory as directories
from apricotlever.serving import routes
from apricotlever.serving import runner_duty
from apricotlever.serving import runners

SERVICE = "llm"
PLACES = ("a", "b", "c")
HEARTBEAT_S = 1.2
SPEED = 10_000.0
TERMS = fleet_mix_planner.ScalingTerms(
    1, 6, 4.0, 0.22, dict(zip(PLACES, (0.85, 1.2, 1.0), strict=True))
)


class Keeper:
    """A lease that is always held."""

    fencing = 1


class Orders:
    """The cloud and its dialect: notes what is ordered."""

    def __init__(self, clock):
        self.clock = clock
        self.dry_until = float("-inf")
        self.taken = {}
        self.log = []

    def order_call(self, service, data_centre, count, reclaimable):
        """Path and body are the order itself here."""
        return (data_centre, reclaimable), count

    async def send(self, path, body, fencing):
        """Take an order, or refuse it."""
        place, reclaimable = path
        had = self.taken.get(path, 0)
        if reclaimable and body > had and self.clock.now() < self.dry_until:
            return False
        self.taken[path] = body
        self.log.append((self.clock.now(), place, reclaimable, body))
        return True

    def total(self, reclaimable):
        """Runners ordered of one kind, in all data centres."""
        return sum(
            n for (_, kind), n in self.taken.items() if kind is reclaimable
        )


class Holder:
    """A VM that holds the duty, and the runners that it sees."""

    def __init__(self):
        self.clock = clocks.ManualClock(1000.0)
        self.directory = directories.Directory(self.clock)
        self.work = runner_duty.Work(self.clock)
        self.orders = Orders(self.clock)
        self.in_flight = 0
        self.per_s = 0.0
        self.done = 0.0
        self.least = None
        self.duty = runner_duty.RunnerDuty(
            self.clock,
            self.work,
            self.directory,
            lambda service: self.in_flight,
            self.orders,
            self.orders,
            Keeper(),
            HEARTBEAT_S,
        )
        service = routes.Service(SERVICE, 100, None, TERMS)
        self.duty.configuration = _Configuration(service)

    def list_runners(self):
        """Three on-demand runners in each data centre."""
        for number in range(9):
            self.directory.changed(
                runners.Runner(
                    f"r-{number}",
                    SERVICE,
                    "10.0.0.1",
                    number,
                    PLACES[number % 3],
                    16,
                    revision=number + 1,
                )
            )

    def run(self, seconds):
        """Let time pass."""
        for _ in range(round(seconds / runner_duty.STEP_INTERVAL_S)):
            self.clock.advance(runner_duty.STEP_INTERVAL_S)
            self.done += self.per_s * runner_duty.STEP_INTERVAL_S
            if self.per_s:
                work = {SERVICE: (int(self.done), SPEED, 0.3)}
                self.work.heard("vm#1", work)
            asyncio.run(self.duty.step())


class _Configuration:
    def __init__(self, service):
        self.services = {service.name: service}


@given("a holder that orders runners, in a fleet without any")
def _holder(context):
    context.holder = Holder()


@given("reclaimable runners are not to be had for {seconds:d} seconds")
def _dry(context, seconds):
    holder = context.holder
    holder.orders.dry_until = holder.clock.now() + seconds


@when("{seconds:g} seconds pass and 9 on-demand runners are listed")
def _listed(context, seconds):
    context.holder.run(seconds)
    context.holder.list_runners()


@step("the fleet has as much work as {count:d} runners do")
def _work(context, count):
    context.holder.per_s = count * SPEED
    context.holder.in_flight = count


@step("{seconds:d} seconds pass at the holder of the orders")
def _pass(context, seconds):
    context.holder.run(seconds)


@then("nothing was ordered so far")
def _nothing(context):
    assert not context.holder.orders.log, context.holder.orders.log


@then(
    "{on_demand:d} on-demand and {reclaimable:d} reclaimable runners are "
    "ordered in the end"
)
def _ordered(context, on_demand, reclaimable):
    orders = context.holder.orders
    found = orders.total(False), orders.total(True)
    assert found == (on_demand, reclaimable), orders.log


@then("at least {count:d} on-demand runners are held while no others serve")
def _kept(context, count):
    taken = context.holder.orders.taken
    held = sum(taken.get((place, False), 3) for place in PLACES)
    assert held >= count, taken


@then("at most {seconds:d} seconds later reclaimable ones are ordered")
def _soon(context, seconds):
    holder = context.holder
    assert not holder.orders.total(True), holder.orders.log
    holder.run(seconds)
    assert holder.orders.total(True), holder.orders.log


@then("at most {count:d} on-demand runners are held while no others serve")
def _given_back(context, count):
    taken = context.holder.orders.taken
    held = sum(taken.get((place, False), 3) for place in PLACES)
    assert held <= count, taken
