"""Steps for tests/runners/limit_keeper.feature."""

import heapq

from behave import given
from behave import then
from behave import when

from apricotlever import clock as clocks
from apricotlever.runners import limit_keeper
from bench import runner_limits
from tests.serving import fleet_paths

RUNNER = "runner-1"
#: Part of the messages that the model loses.
LOSS = 0.03
SEEDS = range(2)


@given("a keeper of a limit of {limit:g} calls a second")
def _make_keeper(context, limit):
    context.clock = clocks.ManualClock()
    context.keeper = limit_keeper.LimitKeeper(context.clock)
    context.limit = limit


@given("its burst is used up")
def _use_burst(context):
    while _ask(context).admitted:
        pass


@given("a fleet of which half is silent")
def _silence_half(context):
    context.keeper.set_share(0.5)


def _ask(context, patience_s=0.0, is_deputy=False):
    return context.keeper.admit(RUNNER, context.limit, patience_s, is_deputy)


@when("it is asked {per_s:d} times a second for {seconds:d} seconds")
def _ask_steadily(context, per_s, seconds, is_deputy=False):
    context.seconds = seconds
    context.admitted_at = []
    for _ in range(per_s * seconds):
        context.clock.advance(1.0 / per_s)
        if _ask(context, is_deputy=is_deputy).admitted:
            context.admitted_at.append(context.clock.now())


@when(
    "it is asked {per_s:d} times a second for {seconds:d} seconds in place of "
    "another"
)
def _ask_deputy(context, per_s, seconds):
    _ask_steadily(context, per_s, seconds, is_deputy=True)


@when("the limit falls to {limit:g} calls a second")
def _lower(context, limit):
    context.limit = limit


@when("{count:d} calls are asked about that can wait {patience_s:g} seconds")
def _ask_waiting(context, count, patience_s):
    context.admissions = [_ask(context, patience_s) for _ in range(count)]


@when("the first of them is not sent")
def _refund(context):
    context.keeper.refund(RUNNER)


@when("{count:d} VMs ask again as soon as they may for {seconds:d} seconds")
def _ask_many(context, count, seconds):
    start = context.clock.now()
    queue = [start + number / count for number in range(count)]
    context.asks = 0
    context.seconds = seconds
    while queue[0] < start + seconds:
        at = heapq.heappop(queue)
        context.clock.advance(max(0.0, at - context.clock.now()))
        context.asks += 1
        again_s = max(0.001, _ask(context).ask_again_s)
        heapq.heappush(queue, context.clock.now() + again_s)


@then(
    "in any 4 seconds at most one and a half times the limit and 5 are "
    "admitted"
)
def _check_spans(context):
    found = fleet_paths.most_within(context.admitted_at, 4.0, 0.0)
    assert found <= 1.5 * 4.0 * context.limit + 5.0, found


@then("at least {share:g} of the limit is admitted")
def _check_least(context, share):
    found = len(context.admitted_at)
    assert found >= share * context.limit * context.seconds, found


@then("at most {share:g} of the limit is admitted")
def _check_most(context, share):
    found = len(context.admitted_at)
    assert found <= share * context.limit * context.seconds, found


@then("{count:d} calls are admitted")
def _check_count(context, count):
    assert len(context.admitted_at) == count, context.admitted_at


@then("at most {count:d} calls were admitted since it fell")
def _check_since(context, count):
    assert len(context.admitted_at) <= count, context.admitted_at


@then("their waits are {first:g}, {second:g} and none")
def _check_waits(context, first, second):
    waits = [round(a.wait_s, 6) for a in context.admissions if a.admitted]
    assert waits == [first, second], waits


@then("a call that can wait {patience_s:g} seconds is admitted")
def _check_admitted(context, patience_s):
    assert _ask(context, patience_s).admitted


@then("it is asked at most {most:d} times a second")
def _check_asks(context, most):
    per_s = context.asks / context.seconds
    assert per_s <= most, per_s


@when("{vms:d} VMs keep a limit of {limit:g} calls a second in the model")
def _simulate(context, vms, limit):
    context.results = [
        runner_limits.simulate("keeper", vms, limit, seed, LOSS)
        for seed in SEEDS
    ]


@then("no more calls are sent than the runner allows, told or not")
def _check_excess(context):
    found = [result.excess_of_all for result in context.results]
    assert max(found) <= 0.0, found


@then("at least {share:g} of the limit is used while the load is steady")
def _check_used(context, share):
    found = [result.used for result in context.results]
    assert sum(found) / len(found) >= share, found
