"""Steps for tests/serving/restarts.feature."""

import asyncio

from behave import then
from behave import when

from apricotlever.serving import configuration_model
from apricotlever.serving import crash_watch
from apricotlever.serving import messages
from apricotlever.serving import runners

BORN = 1767225600000


def _run(context, work):
    return context.loop.run(asyncio.wait_for(work, 10.0))


def _started(standin, name, revision, born, slots=4):
    return runners.Runner(
        name,
        "service",
        "127.0.0.1",
        standin.port,
        "dc",
        slots,
        revision=revision,
        born=born,
    )


@when("a call to runner 1 waits")
def _waits(context):
    world = context.world
    first, second = world.standins
    # The second runner leaves for a moment, so that the first gets the call.
    world.directory.apply_entry(_started(first, "runner-1", 2, BORN))
    world.directory.apply_entry(
        runners.Runner(
            "runner-2", "service", "127.0.0.1", 1, "dc", 4, True, revision=3
        )
    )
    world.upstreams.refresh()

    async def begin():
        call = asyncio.ensure_future(world.call())
        while not first.executed_call_ids:
            await asyncio.sleep(0.01)
        return call

    context.call = _run(context, begin())
    # With more free slots it is preferred to the first one after its restart;
    # the choice among equal runners would depend on the random source.
    world.directory.apply_entry(_started(second, "runner-2", 4, 0, slots=16))
    world.upstreams.refresh()


@when("runner 1 restarts at {place}")
def _restarts(context, place):
    world = context.world
    first = world.standins[0]
    standin = first

    async def move():
        return await world.add_runner(["answers"])

    if place == "another address":
        standin = _run(context, move())
        world.directory.apply_removal(standin.name, 9)
        world.directory.mark_ended(standin.name)
    context.ended = world.directory.apply_entry(
        _started(standin, "runner-1", 10, BORN + 700)
    )
    world.upstreams.refresh()


@then("the call ends with status {status:d} within {seconds:d} seconds")
def _ends(context, status, seconds):
    async def end():
        return await asyncio.wait_for(context.call, seconds)

    reply = _run(context, end())
    assert reply.status == status, (reply.status, reply.body)


@then("the call has run at {count:d} runners")
def _ran(context, count):
    ran = sum(
        len(standin.executed_call_ids) for standin in context.world.standins
    )
    assert ran == count, [s.ran for s in context.world.standins]


@then("runner 1 has no recorded failures and no open connection")
def _no_failures(context):
    upstreams = context.world.upstreams
    (runner,) = context.world.directory.runners
    assert context.ended == ["runner-1"], context.ended
    assert runner.runner_id not in upstreams.outcome_counts
    assert not upstreams.outcome_counts and not upstreams.in_flight
    assert upstreams.pool(runner).open_count == 0


@then("the next call is addressed to runner 1 by its name")
def _names(context):
    world = context.world
    _run(context, world.call(call_id="call-2"))
    seen = world.standins[0].received_calls[-1]
    assert seen["for-runner"] == "runner-1", seen


def _call(body):
    return messages.CallerCall(
        "POST", "/s/x", "h", (), body, "id", None, "k", None, None, 0.0
    )


@when("a call breaks off at a runner that then restarts, twice")
def _twice(context):
    watch: crash_watch.CrashWatch = context.watch
    context.customer = configuration_model.Customer("c", frozenset({"k"}))
    context.poison = _call(b"poison")
    for start in range(2):
        runner = runners.Runner(
            "r-1", "llm", "10.0.0.1", 1, "dc-a", 4, born=BORN + start
        )
        watch.update_runners([runner])
        watch.connection_broken(runner, context.poison, context.customer)
    again = runners.Runner(
        "r-1", "llm", "10.0.0.1", 1, "dc-a", 4, born=BORN + 2
    )
    watch.update_runners([again])


@then("the call is blocked")
def _blocked(context):
    kept_s = context.watch.retry_after_s(context.poison, context.customer)
    assert kept_s, kept_s
