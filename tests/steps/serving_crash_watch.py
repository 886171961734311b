"""Steps for tests/serving/crash_watch.feature."""

import asyncio
from unittest import mock

from behave import given
from behave import then
from behave import when

from apricotlever import clock as clocks
from apricotlever.serving import client_channel
from apricotlever.serving import connection_pool as pools
from apricotlever.serving import crash_logs
from apricotlever.serving import crash_watch
from apricotlever.serving import messages
from apricotlever.serving import runners

#: Time between two ticks of a process that runs, in seconds.
TICK_S = 0.1
#: The error when connecting to a port, by what the port does.
CONNECT_ERRORS = {
    "refuses": client_channel.NotConnected(
        "ConnectionRefusedError", refused=True
    ),
    "accepts a connection": None,
    "opens no connection in time": client_channel.NotConnected("TimeoutError"),
    "has no free connection in the pool": pools.PoolFull(
        "too many connections are open"
    ),
}


class _Pool:
    """A connection pool whose connections all end the same way.

    :param error: the error raised for each connection; None opens it.
    """

    __slots__ = ("_error", "released")

    def __init__(self, error):
        self._error = error
        self.released = 0

    async def acquire(self, timeout_s, fresh):
        assert fresh
        if self._error is not None:
            raise self._error
        return object()

    def release(self, channel, closing, keep_alive_s):
        self.released += 1


@given("a watch on crashes")
def _crash_watch(context):
    context.clock = clocks.ManualClock()
    context.watch = crash_watch.CrashWatch(context.clock, "vm-1")


def _let_run(context, seconds):
    for _ in range(round(seconds / TICK_S)):
        context.clock.advance(TICK_S)
        context.watch.tick()


@when("the process runs for {seconds:g} s")
def _run_on(context, seconds):
    _let_run(context, seconds)


@when("the process is suspended for {seconds:g} s")
def _suspend(context, seconds):
    _let_run(context, 1.0)
    context.clock.advance(seconds)


@when("the process is suspended for {gap:g} s, and runs for {seconds:g} s")
def _suspend_and_run(context, gap, seconds):
    _suspend(context, gap)
    context.watch.tick()
    _let_run(context, seconds)


@when("a runner breaks off an answer and its port {does}")
def _breaks_off(context, does):
    runner = runners.Runner("r-1", "llm", "127.0.0.1", 1, "dc-a", 4)
    context.pool = _Pool(CONNECT_ERRORS[does])
    context.ended = asyncio.run(context.watch.refuses(runner, context.pool))


@then("the runner counts as {ended}")
def _counts_as(context, ended):
    assert context.ended == (ended == "ended"), context.ended


@when("a runner ends a response by closing, and its port {does}")
def _ends_by_closing(context, does):
    runner = runners.Runner("r-1", "llm", "127.0.0.1", 1, "dc-a", 4)
    context.pool = _Pool(CONNECT_ERRORS[does])
    context.ended = asyncio.run(
        context.watch.may_have_ended(runner, context.pool)
    )


@then("the runner may have ended")
def _may_have_ended(context):
    assert context.ended


@then("the runner goes on")
def _goes_on(context):
    assert not context.ended
    assert context.pool.released == 1


@when("a new connection to runner 1 {fails}")
def _connection_fails(context, fails):
    upstreams = context.world.upstreams
    (runner,) = context.world.directory.runners
    with mock.patch.object(crash_logs.logs, "event") as event:
        upstreams.connect_failed(runner, refused=fails == "is refused")
    context.charged = sum(
        call.kwargs["charged"]
        for call in event.call_args_list
        if call.args[0] == "runner_crashed"
    )


@then("{count:d} calls are charged with a crash")
def _check_charged(context, count):
    assert context.charged == count, context.charged


def _runner(number):
    return runners.Runner(f"r-{number}", "llm", "127.0.0.1", 1, "dc-a", 4)


@given("a watch on crashes and a call that crashed two runners")
def _crashing_call(context):
    context.clock = clocks.ManualClock(100.0)
    context.watch = crash_watch.CrashWatch(context.clock, "vm-1")
    context.watch.update_runners(map(_runner, range(9)))
    context.call = messages.CallerCall(
        "POST", "/s/x", "h", (), b"b", "id", None, "k", None, None, 0.0
    )
    for number in (1, 2):
        context.clock.advance(1.0)
        runner = _runner(number)
        context.watch.connection_broken(runner, context.call, None)
        context.watch.runner_lost(runner)
    assert context.watch.retry_after_s(context.call, None) is not None


@when("the call's answer {ends} and {then}")
def _call_answered(context, ends, then):
    runner = _runner(3)
    closed = ends == "ends with its connection"
    context.clock.advance(0.1)
    context.watch.call_answered(
        context.call, None, runner.runner_id if closed else None
    )
    context.clock.advance(0.1)
    if then == "its runner ends":
        context.watch.runner_lost(runner)
    elif then == "its runner is unlisted":
        left = [_runner(n) for n in range(9) if n != 3]
        context.watch.update_runners(left)


@then("after {seconds:g} seconds the call is {state}")
def _is_blocked(context, seconds, state):
    context.clock.advance(seconds)
    context.watch.tick()
    wait_s = context.watch.retry_after_s(context.call, None)
    assert (wait_s is not None) == (state == "blocked"), wait_s
