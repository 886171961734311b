"""Steps for tests/serving/runner_limits.feature."""

import asyncio

from behave import given
from behave import then
from behave import when

from apricotlever.runners import statements
from tests.serving import fleet_paths

#: Longer than any scenario's calls, in seconds.
WAIT_S = 60.0
#: Time between two looks at what the VMs know, in seconds.
POLL_S = 0.05


def _run(context, work):
    return context.loop.run(asyncio.wait_for(work, WAIT_S))


@given("{vms:d} VMs that share {runners:d} runners")
def _start_fleet(context, vms, runners):
    context.loop = asyncio.Runner()
    context.closers.append(context.loop.close)

    async def start():
        context.fleet = fleet_paths.FleetPaths(vms)
        await context.fleet.start(runners)

    _run(context, start())
    context.closers.append(lambda: _run(context, context.fleet.stop()))


@given("runner {number:d} names a limit of {limit:g} calls a second")
def _name_limit(context, number, limit):
    runner = context.fleet.runners[number - 1]
    runner.statements = [f"Limit-Per-S: {limit:g}"]


@given(
    "runner {number:d} {fault} and names a limit of {limit:g} calls a second"
)
def _fail_and_name_limit(context, number, fault, limit):
    context.fleet.runners[number - 1].behaviour_names = [fault]
    _name_limit(context, number, limit)


@given("each runner takes 0.1 seconds for a call")
def _answer_late(context):
    # Otherwise no VM has a reason to prefer the runner with fewer calls.
    for runner in context.fleet.runners:
        runner.behaviour_names = ["answers late"]


@given("the keeper of runner {number:d} does not answer")
def _silence_keeper(context, number):
    context.fleet.silence_keeper(f"runner-{number}")


@when("the runner names no limit any more")
def _lift_limit(context):
    context.fleet.runners[0].statements = []


@when("a VM gets a call")
def _call_once(context):
    context.fleet.replies.clear()
    _run(context, context.fleet.call_at_once(1))


@when("{count:d} calls arrive at once")
def _call_at_once(context, count):
    context.fleet.replies.clear()
    _run(context, context.fleet.call_at_once(count))


@when("the VMs get {per_s:d} calls a second for {seconds:g} seconds")
def _call_steadily(context, per_s, seconds):
    _run(context, context.fleet.call_steadily(per_s, seconds))


@then(
    "from {start:g} seconds on runner {number:d} gets at most {most:d} calls "
    "in any {span:g} seconds"
)
def _check_most(context, start, number, most, span):
    context.runner = context.fleet.runners[number - 1]
    times = context.runner.arrived_at
    # The runner names its limit in its first response.
    context.counted_from = times[0] + start
    found = fleet_paths.most_within(times, span, context.counted_from)
    assert found <= most, f"{found} calls in {span} seconds"


@then(
    "from {start:g} seconds on it gets at least {share:g} of the {limit:g} "
    "calls a second"
)
def _check_least(context, start, share, limit):
    found = sum(at >= context.counted_from for at in context.runner.arrived_at)
    wanted_s = context.fleet.wanted_s(context.counted_from)
    least = share * limit * wanted_s
    assert found >= least, f"{found} calls, {least:g} wanted"


@then("all calls are answered")
def _check_answers(context):
    statuses = [reply.status for reply in context.fleet.replies]
    assert set(statuses) == {200}, statuses


def _known_limits(context):
    return [
        vm.upstreams.runner_limits.stated.in_force.get("runner-1")
        for vm in context.fleet.vms
    ]


@then("VM 1 knows a limit of {limit:g} calls a second")
def _check_known(context, limit):
    assert _known_limits(context)[0] == limit, _known_limits(context)


@then("VM 1 knows no limit")
def _check_unknown(context):
    assert _known_limits(context)[0] is None, _known_limits(context)


def _wait_until_all_know(context, seconds, limit):
    async def wait():
        for _ in range(int(seconds / POLL_S)):
            if set(_known_limits(context)) == {limit}:
                return
            await asyncio.sleep(POLL_S)

    _run(context, wait())
    assert set(_known_limits(context)) == {limit}, _known_limits(context)


@then(
    "within {seconds:g} seconds all VMs know a limit of {limit:g} calls a "
    "second"
)
def _check_all_know(context, seconds, limit):
    _wait_until_all_know(context, seconds, limit)


@then("within {seconds:g} seconds no VM knows a limit")
def _check_none_knows(context, seconds):
    _wait_until_all_know(context, seconds, None)


@then("the calls without room are refused within {seconds:g} seconds")
def _check_refused(context, seconds):
    context.refused = [r for r in context.fleet.replies if r.status == 503]
    assert len(context.refused) >= 3, len(context.refused)
    assert all(r.took_s <= seconds for r in context.refused)


@then(
    "the refused callers are told different times to come back, none sooner "
    "than room"
)
def _check_times(context):
    times = sorted(float(r.headers["retry-after"]) for r in context.refused)
    assert len(set(times)) == len(times), times
    # At 0.5 calls a second, there is room for each call 2 s after the last.
    assert times[0] > 0.5 and times[-1] - times[0] > 2.0, times


@then(
    "at least {count:d} of the calls are answered, and none waits longer than "
    "{seconds:g} seconds"
)
def _check_some_answered(context, count, seconds):
    # A quarter of the objective of 1 s has room for two calls besides one.
    statuses = [reply.status for reply in context.fleet.replies]
    assert statuses.count(200) >= count, statuses
    assert all(r.took_s <= seconds for r in context.fleet.replies)


@then(
    "runner {number:d} gets some calls, and at most {most:d} in any {span:g} "
    "seconds"
)
def _check_some(context, number, most, span):
    times = context.fleet.runners[number - 1].arrived_at
    found = fleet_paths.most_within(times, span, times[0] + 1.0)
    assert 2 <= found <= most, found


@when(
    "VM 1 takes a permit, and the runner names a limit of {limit:g} calls a "
    "second"
)
def _take_permit(context, limit):
    context.limits = context.fleet.vms[0].upstreams.runner_limits
    context.permit = _run(context, context.limits.admit("runner-1"))

    async def name_limit():
        statement = statements.Statement(limit)
        assert context.limits.local.record("runner-1", statement, 0.0)
        context.limits.pass_on_change("runner-1")

    _run(context, name_limit())
    # The bucket is made with the first call that is counted.
    assert _run(context, context.limits.admit("runner-1")) is not None


@when("the permit is given back {count:d} times")
def _give_back(context, count):
    for _ in range(count):
        context.limits.refund(context.permit)


@then("VM 1 admits at most {most:d} calls at once")
def _check_admitted(context, most):
    permits = [
        _run(context, context.limits.admit("runner-1")) for _ in range(10)
    ]
    found = sum(permit is not None for permit in permits)
    assert found <= most, found
