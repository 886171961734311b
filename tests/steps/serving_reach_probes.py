"""Steps for tests/serving/reach_probes.feature."""

import asyncio
import io

from apricotlever import clock as clocks
from apricotlever import log_parser
from apricotlever import logs
from apricotlever.serving import reach_probes
from apricotlever.serving import task_supervisor
from behave import given
from behave import then
from behave import when

TICK_S = 0.1
PAUSE_S = 0.05
#: Time in which a VM must see the end of a cut, in seconds.
ENDED_S = 1.5


def _run(context, work):
    return context.loop.run(asyncio.wait_for(work, 10.0))


@given("a VM that probes {count:d} runners")
def _vm(context, count):
    context.execute_steps("Given a route for idempotent calls")
    for _ in range(count):
        context.execute_steps("Given a runner that answers")
    context.log = io.StringIO()
    logs.setup("vm", "info", context.log)
    context.closers.append(logs.teardown)
    tasks = task_supervisor.TaskSupervisor()
    probes = reach_probes.ReachProbes(
        clocks.SystemClock(), context.world.upstreams, tasks
    )

    async def tick():
        probes.tick()

    async def start():
        tasks.repeat("probes", TICK_S, tick)

    _run(context, start())


@when("calls are made for {seconds:f} seconds")
def _calls(context, seconds):
    async def work():
        until = asyncio.get_running_loop().time() + seconds
        while asyncio.get_running_loop().time() < until:
            context.world.connection = None
            context.replies.append(await context.world.call())
            await asyncio.sleep(PAUSE_S)

    context.replies = []
    _run(context, work())


@when("its runners reset and refuse connections")
def _cut(context):
    async def work():
        for standin in context.world.standins:
            standin.cut()
        await asyncio.sleep(0.02)

    _run(context, work())


@when("its runners refuse new connections")
def _refuse_new(context):
    async def work():
        for standin in context.world.standins:
            standin.stop()

    _run(context, work())


@when("{count:d} calls at once are made for {seconds:f} seconds")
def _calls_at_once(context, count, seconds):
    async def work():
        until = asyncio.get_running_loop().time() + seconds
        while asyncio.get_running_loop().time() < until:
            calls = (context.world.call_alone(f"c-{n}") for n in range(count))
            await asyncio.gather(*calls)
            await asyncio.sleep(PAUSE_S)

    _run(context, work())


@when("one of its runners resets and refuses connections")
def _cut_one(context):
    async def work():
        context.world.standins[0].cut()
        await asyncio.sleep(0.02)

    _run(context, work())


@when("its runners accept connections and reset them")
def _accept_and_reset(context):
    async def serve(reader, writer):
        writer.transport.abort()

    async def work():
        for standin in context.world.standins:
            standin.cut()
            await asyncio.sleep(0.02)
            await asyncio.start_server(serve, "127.0.0.1", standin.port)

    _run(context, work())


@when("its runners accept connections again")
def _end_cut(context):
    async def work():
        for standin in context.world.standins:
            await standin.start()

    _run(context, work())


@when("the VM is no longer isolated")
@when("the VM has its paths again")
def _wait_for_end(context):
    async def work():
        while context.world.upstreams.reach.lacks_paths:
            await asyncio.sleep(0.005)

    context.loop.run(asyncio.wait_for(work(), ENDED_S))


@when("others are isolated and the VM has made a probe")
def _idle_probe(context):
    async def work():
        reach = context.world.upstreams.reach
        reach.set_peers(1, 1, 0.0)
        while not reach.probes or not reach.is_connected:
            await asyncio.sleep(0.005)

    _run(context, work())


@then("the VM has made no probe")
def _no_probe(context):
    assert context.world.upstreams.reach.probes == 0


@then("the VM has made {count:d} probe")
def _probes(context, count):
    assert context.world.upstreams.reach.probes == count


@then("the VM is isolated")
def _isolated(context):
    assert context.world.upstreams.reach.is_isolated


@then("the VM has no new connections")
def _no_new_connections(context):
    assert context.world.upstreams.reach.lacks_new_connections


@then("the VM is not isolated")
def _not_isolated(context):
    assert not context.world.upstreams.reach.is_isolated
    assert not context.world.told


@then("its peers were told of it")
def _told(context):
    lacks = context.world.upstreams.reach.lacks_paths
    assert context.world.told == [True, False][: 2 - lacks]


def _line(context, event):
    lines = [
        line
        for text in context.log.getvalue().splitlines()
        if (line := log_parser.parse(text)) and line.event == event
    ]
    assert len(lines) == 1, context.log.getvalue()
    return lines[0].fields


@then('it logs "{event}" with its evidence')
def _evidence(context, event):
    fields = _line(context, event)
    assert int(fields["failed"]) >= 3, fields
    assert fields["runners"].startswith("runner-"), fields
    assert int(fields["probes"]) >= 2, fields
    assert 0.0 < float(fields["bytes_age_s"]) < 1.0, fields


@then('it logs "{event}" with its duration')
def _duration(context, event):
    fields = _line(context, event)
    assert 1.0 < float(fields["for_s"]) < 4.0, fields
    assert int(fields["circuits_closed"]) >= 1, fields


@then("the runner has had {count:d} connection")
def _connections(context, count):
    assert context.world.standins[0].connections == count


@then("the last status is {status:d}")
def _last_status(context, status):
    assert context.replies[-1].status == status


@then("the gauge isolated is 1, and probes are counted")
def _gauges(context):
    found = context.world.upstreams.reach_monitor.metrics
    assert found["isolated"] == 1
    assert found["reach_probes_total"] >= 2
