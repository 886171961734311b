"""Steps for tests/serving/runner_duty.feature."""

import asyncio

from behave import given
from behave import step
from behave import then
from behave import when

from apricotlever import clock as clocks
from apricotlever.data_centres import fleet_mix_planner
from apricotlever.data_centres import prefill_load
from apricotlever.serving import configuration_model
from apricotlever.serving import fleet_workload
from apricotlever.serving import runner_directory as directories
from apricotlever.serving import runner_duty
from apricotlever.serving import runners

SERVICE = "llm"
DATA_CENTRES = ("a", "b", "c")
HEARTBEAT_S = 1.2
SPEED = 10_000.0
TERMS = fleet_mix_planner.ScalingTerms(
    1, 6, 4.0, 0.22, dict(zip(DATA_CENTRES, (0.85, 1.2, 1.0), strict=True))
)


class Keeper:
    """A keeper of a lease that is always held."""

    fencing = 1


class Orders:
    """A cloud and its dialect, which record the orders."""

    def __init__(self, clock):
        self.clock = clock
        self.unavailable_until = float("-inf")
        self.taken = {}
        self.log = []

    def runner_order_request(self, service, data_centre, count, reclaimable):
        """The order itself as path and body."""
        return (data_centre, reclaimable), count

    async def send(self, path, body, fencing):
        """Accept an order, or reject one for unavailable runners."""
        data_centre, reclaimable = path
        before = self.taken.get(path, 0)
        if (
            reclaimable
            and body > before
            and self.clock.now() < self.unavailable_until
        ):
            return False
        self.taken[path] = body
        self.log.append((self.clock.now(), data_centre, reclaimable, body))
        return True

    def total(self, reclaimable):
        """The ordered runners of one capacity type in all data centres."""
        return sum(
            count
            for (_, is_reclaimable), count in self.taken.items()
            if is_reclaimable is reclaimable
        )


class Holder:
    """A VM that holds the lease, and the runners that it knows."""

    def __init__(self):
        self.clock = clocks.ManualClock(1000.0)
        self.directory = directories.RunnerDirectory(self.clock)
        self.work = fleet_workload.FleetWorkload(self.clock)
        self.orders = Orders(self.clock)
        self.in_flight = 0
        self.tokens_per_s = 0.0
        self.tokens = 0.0
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
        service = configuration_model.Service(SERVICE, 100, None, TERMS)
        self.duty.configuration = _Configuration(service)

    def list_runners(self):
        """List three on-demand runners in each data centre."""
        for number in range(9):
            self.directory.apply_entry(
                runners.Runner(
                    f"r-{number}",
                    SERVICE,
                    "10.0.0.1",
                    number,
                    DATA_CENTRES[number % 3],
                    16,
                    revision=number + 1,
                )
            )

    def run(self, seconds):
        """Advance the time, and run the duty at each step."""
        for _ in range(round(seconds / runner_duty.STEP_INTERVAL_S)):
            self.clock.advance(runner_duty.STEP_INTERVAL_S)
            self.tokens += self.tokens_per_s * runner_duty.STEP_INTERVAL_S
            if self.tokens_per_s:
                work = {SERVICE: (int(self.tokens), SPEED, 0.3)}
                self.work.merge_counters("vm#1", work)
            asyncio.run(self.duty.step())


class _Configuration:
    def __init__(self, service):
        self.services = {service.name: service}
        self.routes = ()


@given("a holder that orders runners, in a fleet without any")
def _holder_of_orders(context):
    context.holder = Holder()


@given("reclaimable runners are unavailable for {seconds:d} seconds")
def _unavailable(context, seconds):
    holder = context.holder
    holder.orders.unavailable_until = holder.clock.now() + seconds


@when("{seconds:g} seconds pass and 9 on-demand runners are listed")
def _runners_listed(context, seconds):
    context.holder.run(seconds)
    context.holder.list_runners()


@step("the fleet has a load for {count:d} runners")
def _load(context, count):
    context.holder.tokens_per_s = count * SPEED
    context.holder.in_flight = count


@step("{seconds:d} seconds pass at the holder of the orders")
def _time_passes(context, seconds):
    context.holder.run(seconds)


@then("nothing has been ordered")
def _nothing_ordered(context):
    assert not context.holder.orders.log, context.holder.orders.log


@then(
    "{on_demand:d} on-demand and {reclaimable:d} reclaimable runners are "
    "ordered at the end"
)
def _ordered_at_end(context, on_demand, reclaimable):
    orders = context.holder.orders
    found = orders.total(False), orders.total(True)
    assert found == (on_demand, reclaimable), orders.log


@then("at least {count:d} on-demand runners are held while no others serve")
def _not_released(context, count):
    taken = context.holder.orders.taken
    held = sum(
        taken.get((data_centre, False), 3) for data_centre in DATA_CENTRES
    )
    assert held >= count, taken


@then("at most {seconds:d} seconds later reclaimable runners are ordered")
def _ordered_within(context, seconds):
    holder = context.holder
    assert not holder.orders.total(True), holder.orders.log
    holder.run(seconds)
    assert holder.orders.total(True), holder.orders.log


@then("at most {count:d} on-demand runners are held while no others serve")
def _released(context, count):
    taken = context.holder.orders.taken
    held = sum(
        taken.get((data_centre, False), 3) for data_centre in DATA_CENTRES
    )
    assert held <= count, taken


@then("the load requires {count:g} runners more if limits keep {away:g} away")
def _check_required(context, count, away):
    holder = context.holder
    service = holder.duty.configuration.services[SERVICE]
    required = [
        holder.work.required_runners(service, 9, 4, each, False)
        for each in (0.0, away)
    ]
    assert round(required[1] - required[0], 6) == count, required


@then(
    "a runner of {most:d} calls a second that takes {taken:d} counts as a "
    "quarter"
)
def _check_share(context, most, taken):
    meter = prefill_load.PrefillMeter()
    assert meter.runner_share(taken) == 1.0
    for _ in range(10):
        meter.record_sent(1000)
        meter.record_first_answer(1000, 1.0 / most)
    assert round(meter.runner_share(taken), 6) == taken / most
    assert meter.runner_share(2 * most) == 1.0
