"""Steps for tests/serving/roll_outs.feature."""

import asyncio
import random

from behave import given
from behave import then
from behave import when

from adapter import documents
from apricotlever import clock as clocks
from apricotlever.roll_outs import controller as controllers
from apricotlever.roll_outs import model
from apricotlever.roll_outs import samples
from apricotlever.runners import model as models
from apricotlever.serving import configuration_model
from apricotlever.serving import roll_out_duty
from apricotlever.serving import roll_out_orders
from apricotlever.serving import runner_directory as directories
from apricotlever.serving import runners
from apricotlever.serving import store
from apricotlever.serving import upstreams
from tests.serving import memory_store

SERVICE = "service"
SPEC = {"service": SERVICE, "to": "v2", "duration_s": 20}
#: The error of a write, and whether the write takes effect nevertheless.
FAULTS = {
    "refuses": (store.NotDone, False),
    "loses the answers of": (store.Unanswered, True),
    "does not do and answers": (store.Unanswered, False),
}
FORMS = {
    "without a version": {"service": SERVICE, "duration_s": 20},
    "without a time limit": {"service": SERVICE, "to": "v2"},
    "that is a list": [SERVICE, "v2", 20],
    "with a negative time limit": {**SPEC, "duration_s": -1},
    "under another service's name": {**SPEC, "service": "other"},
}


class Store(memory_store.MemoryStore):
    """An in-memory store whose objects have a status."""

    def __init__(self):
        super().__init__()
        self.calls = 0

    def put(self, spec, status=None):
        """Store an order with a status."""
        self.revision += 1
        self.objects["rollouts", SERVICE] = store.StoredObject(
            SERVICE, self.revision, spec, status
        )

    async def get(self, kind, name):
        """Get an object."""
        self.calls += 1
        return await super().get(kind, name)

    async def create(self, kind, name, spec):
        """Create an object."""
        self.calls += 1
        return await super().create(kind, name, spec)

    async def replace_status(self, kind, name, status, revision):
        """Replace a status at a revision."""
        self.calls += 1
        error = self._check()
        known = self.objects[kind, name]
        if known.revision != revision:
            raise store.Conflict(name)
        self.revision += 1
        stored = store.StoredObject(name, self.revision, known.spec, status)
        self.objects[kind, name] = stored
        if error is not None:
            raise error("answer lost")
        return stored


class FixedLease:
    """A lease with a fixed fencing token; None if another VM holds it."""

    def __init__(self, fencing):
        self.fencing = fencing


class Holder:
    """A VM with a controller and the roll-out duty."""

    def __init__(self, store_, clock, fencing=1):
        self.store = store_
        self.clock = clock
        self.controller = controllers.RollOutController(
            clock, random.Random(1), model.RollOutLimits()
        )
        self.documents = documents.AdapterPlatformDialect()
        self.orders = roll_out_orders.RollOutOrders(
            clock, self.controller, self.documents, lambda: None
        )
        self.duty = roll_out_duty.RollOutDuty(
            clock,
            self.controller,
            store_,
            self.documents,
            FixedLease(fencing),
            lambda names: 0,
            lambda: None,
        )
        self.list()

    def list(self):
        """List all orders in the store."""
        found = self.store.objects.get(("rollouts", SERVICE))
        page = store.Page([found] if found else [], False, 100)
        self.orders.listed(page)

    def step(self, count=12):
        """Run the duty several times."""
        for _ in range(count):
            self.clock.advance(roll_out_duty.STEP_INTERVAL_S)
            asyncio.run(self.duty.step())

    @property
    def order(self):
        """The controller's version of the order."""
        return self.controller.order(SERVICE)


@given("the holder of the duties knows an order of {seconds:d} seconds")
def step_holder(context, seconds):
    """Start a holder of the lease with an order in the store."""
    context.store = Store()
    context.store.put({**SPEC, "duration_s": seconds})
    context.holder = Holder(context.store, clocks.ManualClock())


@given("a VM without the duties knows an order of {seconds:d} seconds")
def step_no_holder(context, seconds):
    """Start a VM without the lease and with an order in the store."""
    context.store = Store()
    context.store.put({**SPEC, "duration_s": seconds})
    context.holder = Holder(context.store, clocks.ManualClock(), None)


@given("the store {fails} the next {count:d} calls")
def step_fails(context, fails, count):
    """Make the calls after the next two fail."""
    error, applies_unanswered = FAULTS[fails]
    context.store.errors = [None, None, *[error] * count]
    context.store.applies_unanswered = applies_unanswered


@given("another holder has written the status completed")
def step_completed(context):
    """Store the status that another holder has written."""
    context.store.put(SPEC, {"state": "completed", "to": "v2"})


@given("the store has an order for another version")
def step_other(context):
    """Replace the order in the store."""
    context.store.put({**SPEC, "to": "v3"})


@given("the order is deleted from the store")
def step_deleted(context):
    """Delete the order from the store."""
    context.store.objects.clear()


@when("the holder has written what is due")
def step_written(context):
    """Run the duty."""
    context.holder.step()


@when("the new version is found bad")
def step_found_bad(context):
    """Receive the failed state from another VM, and run the duty."""
    holder = context.holder
    holder.controller.merge_order(
        holder.order.with_state(model.RollOutState.FAILED)
    )
    holder.step()


@when("the new version takes over")
def step_takes_over(context):
    """Report successful calls, and advance to the takeover."""
    holder = context.holder
    listed = [
        runners.Runner(f"{v}{n}", SERVICE, "h", 1, "dc", 4, version=v)
        for v in ("v1", "v2")
        for n in range(3)
    ]
    holder.controller.set_runners(listed)
    records = {
        samples.SampleKey(SERVICE, "v2", runner.runner_id, "r").text: (
            samples.Sample(20, 20, 0).to_record()
        )
        for runner in listed
        if runner.version == "v2"
    }
    holder.clock.advance(17.0)
    holder.controller.update_fleet_counts(records, True)
    for _ in range(20):
        holder.controller.tick()
        holder.step(1)


@then("the order's status is {state}")
def step_status(context, state):
    """Compare the status in the store."""
    stored = context.store.objects["rollouts", SERVICE]
    expected = None if state == "nothing" else {"state": state, "to": "v2"}
    assert stored.status == expected, stored.status


@then("the other version has status {state}")
def step_other_status(context, state):
    """Compare the status in the store."""
    stored = context.store.objects["rollouts", SERVICE]
    assert stored.status == {"state": state, "to": "v3"}, stored.status


@then("the store was called at most {most:d} times")
def step_calls(context, most):
    """Compare the number of calls with the limit."""
    assert context.store.calls <= most, context.store.calls


@then("the holder knows that it is {state}")
def step_knows(context, state):
    """Check the state of the holder's order."""
    assert context.holder.order.state is model.RollOutState[state.upper()]


@then("the holder knows the other version")
def step_knows_other(context):
    """Check the version and the state of the holder's order."""
    assert context.holder.order.version == "v3"
    assert context.holder.order.state is model.RollOutState.RUNNING


@when("{seconds:d} seconds later all processes have ended and started again")
def step_restarted(context, seconds):
    """Start a new holder with the same store."""
    clock = context.holder.clock
    context.started_at = context.holder.order.started_at
    clock.advance(context.started_at + seconds - clock.now())
    context.holder = Holder(context.store, clock)
    context.holder.step(2)


@then("{seconds:d} seconds of the roll-out have passed for the new holder")
def step_elapsed(context, seconds):
    """Check the start time of the holder's order."""
    assert context.holder.order.started_at == context.started_at


@when("an order {form} is read from the store")
def step_read(context, form):
    """List an invalid order."""
    context.store = Store()
    context.store.put(FORMS[form])
    context.holder = Holder(context.store, clocks.ManualClock())


@then("no roll-out is known")
def step_none_known(context):
    """Check that the controller has no orders."""
    assert not context.holder.controller.orders


@given("runners of versions v1 and v2 and an order to move to v2")
def step_runners(context):
    """Set up two runners of each version."""
    clock = context.clock = clocks.ManualClock()
    context.directory = directories.RunnerDirectory(clock)
    context.controller = controllers.RollOutController(
        clock, random.Random(1), model.RollOutLimits()
    )
    context.order = model.RollOutOrder(SERVICE, "v2", 5, clock.wall(), 20.0)
    context.controller.merge_order(context.order)
    context.upstreams = upstreams.Upstreams(
        clock,
        random.Random(1),
        "vm",
        "dc",
        context.directory,
        roll_outs=context.controller,
    )
    for version in ("v1", "v2"):
        for number in range(2):
            context.directory.apply_entry(
                runners.Runner(
                    f"{version}-{number}",
                    SERVICE,
                    "127.0.0.1",
                    1,
                    "dc",
                    4,
                    revision=5,
                    version=version,
                )
            )
    context.upstreams.configure(
        configuration_model.Configuration(
            1,
            [],
            [configuration_model.Service(SERVICE, 100)],
            [],
            configuration_model.CallerLimits(),
        )
    )


@when("{count:d} calls choose a runner")
def step_choose(context, count):
    """Choose a runner for each call and finish the call."""
    context.chosen = []
    for number in range(count):
        context.clock.advance(0.01)
        query = models.Query("r", SERVICE, "")
        runner = context.upstreams.selection.choose(query)
        if runner is None:
            continue
        context.chosen.append(runner.version)
        context.upstreams.call_started(f"call-{number}", runner, query)
        context.upstreams.response_started(f"call-{number}")
        context.upstreams.call_finished(
            f"call-{number}", runner, models.Outcome.DONE
        )
        context.controller.update_fleet_counts({}, False)


@then("{least:d} to {most:d} of them are at v2")
def step_at_new(context, least, most):
    """Compare the number with the limits."""
    count = context.chosen.count("v2")
    assert least <= count <= most, count


@when("v2 is found bad")
def step_bad(context):
    """Receive the failed state from another VM."""
    context.controller.merge_order(
        context.order.with_state(model.RollOutState.FAILED)
    )
    context.upstreams.refresh()


@when("all runners of v1 are gone")
def step_old_gone(context):
    """Remove the old runners."""
    for number in range(2):
        context.directory.mark_ended(f"v1-{number}")
    context.upstreams.refresh()


@then("no runner is found")
def step_no_runner(context):
    """Check that no runner was chosen."""
    assert not context.chosen, context.chosen


@then("{count:d} runners count for the size of the fleet")
def step_count(context, count):
    """Count the runners that serve regular calls."""
    listed = context.directory.available_runners(SERVICE)
    serving = [r for r in listed if context.upstreams.takes_regular_calls(r)]
    assert len(serving) == count
