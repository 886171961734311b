"""Steps for tests/serving/aligned_timer.feature."""

import asyncio

from behave import then
from behave import when

from apricotlever import logs
from apricotlever.serving import aligned_timer
from apricotlever.serving import task_supervisor

PHASE_S = 0.0371
START_S = 5000.0123
#: Times closer than this are one wake-up of an event loop, in seconds.
TOLERANCE_S = 1e-6
PERIOD_S = 0.002
TIMEOUT_S = 10.0


def _steps(pause_s, for_s, takes_s=0.0):
    """Return when the steps of one task begin."""
    now = START_S
    begun = []
    while now < START_S + for_s:
        now += aligned_timer.seconds_until_tick(now, pause_s, PHASE_S)
        begun.append(now)
        now += takes_s
    return begun


@when("tasks run every {periods} s for {for_s:g} seconds")
def _repeated(context, periods, for_s):
    context.for_s = for_s
    context.steps = {
        float(each): _steps(float(each), for_s)
        for each in periods.replace(" and", ",").split(",")
        if each.strip()
    }


@when(
    "a task with a period of {pause_s:g} s takes {takes_s:g} s a step for "
    "{for_s:g} seconds"
)
def _long(context, pause_s, takes_s, for_s):
    context.takes_s = takes_s
    context.begun = _steps(pause_s, for_s, takes_s)


@then("each task runs as often as its period says")
def _often(context):
    for pause_s, begun in context.steps.items():
        wanted = context.for_s / pause_s
        assert abs(len(begun) - wanted) <= 1, (pause_s, len(begun))


@then("the process is woken at most {count:d} times")
def _woken(context, count):
    moments = sorted(at for begun in context.steps.values() for at in begun)
    woken = 1 + sum(
        later - sooner > TOLERANCE_S
        for sooner, later in zip(moments, moments[1:])
    )
    assert woken <= count, woken


@then("there are at least {seconds:g} s between two steps")
def _between(context, seconds):
    pauses = [
        later - sooner - context.takes_s
        for sooner, later in zip(context.begun, context.begun[1:])
    ]
    assert min(pauses) >= seconds - TOLERANCE_S, min(pauses)


@when("a periodic task fails at its first two steps")
def _fails(context):
    context.done = 0
    context.logged = []
    logs.setup_writer("vm-0", lambda name, text: context.logged.append(name))
    context.closers.append(logs.teardown)

    async def work():
        over = asyncio.Event()

        async def step():
            context.done += 1
            if context.done == 3:
                over.set()
            if context.done < 3:
                raise TypeError("field has an unexpected type")

        running = task_supervisor.TaskSupervisor()
        running.repeat("timer", PERIOD_S, step)
        await asyncio.wait_for(over.wait(), TIMEOUT_S)

    asyncio.run(work())


@then("it runs a third time, and {count:d} failures are logged")
def _third(context, count):
    assert context.done >= 3
    assert context.logged.count("task_failed") == count, context.logged
