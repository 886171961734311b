"""Steps for the failures in tests/serving/task_supervisor.feature."""

import asyncio
import random
import socket
import time
from unittest import mock

from behave import given
from behave import then
from behave import when

from apricotlever import clock as clocks
from apricotlever import logs
from apricotlever.serving import configuration_model
from apricotlever.serving import dialects
from apricotlever.serving import drain
from apricotlever.serving import duty_roster
from apricotlever.serving import fleet_link
from apricotlever.serving import listening_sockets
from apricotlever.serving import node
from apricotlever.serving import settings
from apricotlever.serving import stream_origins
from apricotlever.serving import upstreams
from standins import plain_dialect

HOST = "127.0.0.1"
SHUTDOWN_S = 2.0
#: What fails in a VM, by name: the class or module, and its function.
FAILURES = {
    "the handover of streams": (stream_origins.StreamOrigins, "hand_over"),
    "the release of the lease": (duty_roster.DutyRoster, "release_lease"),
    "the last status record": (fleet_link.FleetLink, "publish_now"),
    "the check for open calls": (drain, "wait_until_idle"),
}


@given("a periodic task that fails each time")
def _failing_task(context):
    context.rounds = 0

    async def step():
        context.rounds += 1
        raise KeyError("an error of the test")

    async def work():
        context.running.repeat("failing", 0.1, step)
        await asyncio.sleep(1000)

    context.work = work


@then("it ran at least {count:d} times")
def _check_rounds(context, count):
    assert context.rounds >= count, context.rounds


@then(
    "its failures are counted, and at most {count:d} lines of the log tell "
    "them"
)
def _check_failures(context, count):
    assert context.running.failures == {"failing": context.rounds}
    lines = [each for each in context.logged if "task_failed" in each]
    assert 1 <= len(lines) <= count, lines
    assert "task=failing" in lines[0], lines


@given("steps of which the second fails")
def _failing_steps(context):
    context.taken = []

    def fail():
        context.taken.append(2)
        raise ValueError("an error of the test")

    async def work():
        context.all_worked = context.running.run_steps(
            "steps",
            (
                lambda: context.taken.append(1),
                fail,
                lambda: context.taken.append(3),
            ),
        )
        await asyncio.sleep(1000)

    context.work = work


@then("all steps were taken")
def _check_steps(context):
    assert context.taken == [1, 2, 3]
    assert not context.all_worked
    assert context.running.failures == {"steps": 1}


class _Platform:
    """A platform of which only the configuration matters."""

    configuration_kind = "config"
    configuration_name = "main"
    runners_kind = "servers"
    roll_outs_kind = "rollouts"

    def store_codec(self):
        """Return a codec for a store that doesn't answer."""
        return mock.Mock(durable=True)

    def parse_configuration(self, spec):
        """Return the configuration as it is."""
        return spec


def _free_port():
    with socket.socket() as probe:
        probe.bind((HOST, 0))
        return probe.getsockname()[1]


def _node():
    ports = [_free_port() for _ in range(6)]
    addresses = [settings.Address(HOST, port) for port in ports]
    config = settings.NodeSettings(
        "vm-1",
        "dc",
        ("dc",),
        addresses[0],
        None,
        None,
        addresses[1],
        None,
        (),
        addresses[2],
        None,
        False,
        False,
        settings.FleetBounds(shutdown_s=SHUTDOWN_S),
        addresses[3],
    )
    return node.Node(
        lambda: config,
        dialects.Dialect(
            plain_dialect.PlainCallerDialect(),
            plain_dialect.PlainRunnerDialect("vm-1"),
            _Platform(),
        ),
        clocks.SystemClock(),
        random.Random(1),
        listening_sockets.ListeningSockets(),
    )


@given("a VM of which {what} fails")
def _failing_vm(context, what):
    target, name = FAILURES[what]
    patch = mock.patch.object(
        target, name, side_effect=UnicodeError("an error of the test")
    )
    patch.start()
    context.closers.append(patch.stop)


@when("it gets the signal to stop")
def _stop(context):
    context.logged = []
    logs.setup_writer("vm", lambda name, line: context.logged.append(line))

    async def work():
        member = _node()
        running = asyncio.ensure_future(member.run())
        await asyncio.sleep(0.3)
        started_at = time.monotonic()
        member.begin_shutdown()
        try:
            await asyncio.wait_for(running, 3 * SHUTDOWN_S)
        finally:
            context.took_s = time.monotonic() - started_at

    try:
        asyncio.run(work())
    finally:
        logs.teardown()


@then("it ends within {seconds:d} seconds and tells of the failure")
def _check_end(context, seconds):
    assert context.took_s <= seconds, context.took_s
    assert any("task_failed" in each for each in context.logged)


@given("a VM of which the refresh of its runners fails once")
def _failing_refresh(context):
    refresh = upstreams.Upstreams.refresh
    context.failures = 0

    def fail_once(self):
        if not context.failures:
            context.failures += 1
            raise UnicodeError("an error of the test")
        refresh(self)

    patch = mock.patch.object(upstreams.Upstreams, "refresh", fail_once)
    patch.start()
    context.closers.append(patch.stop)


@when("it gets a configuration")
def _configure(context):
    context.configuration = configuration_model.Configuration(
        3, [], [], [], configuration_model.CallerLimits(header_bytes=4321)
    )
    context.applied = []
    relay = mock.patch.object(
        node.call_relay.CallRelay,
        "configure",
        lambda self, configuration: context.applied.append(configuration),
    )
    relay.start()
    context.closers.append(relay.stop)

    async def work():
        member = _node()
        running = asyncio.ensure_future(member.run())
        await asyncio.sleep(0.2)
        member.configure(context.configuration)
        context.at_once = list(context.applied)
        await asyncio.sleep(1.0)
        context.metrics = member.metrics()
        member.begin_shutdown()
        await asyncio.wait_for(running, 3 * SHUTDOWN_S)

    asyncio.run(work())


@then("all components have the configuration after {seconds:d} seconds")
def _check_configured(context, seconds):
    assert context.at_once == [context.configuration]
    assert len(context.applied) >= 2
    assert 'task_failures_total{task="configure"} 1' in context.metrics
