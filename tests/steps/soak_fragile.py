"""Steps for tests/soak/fragile.feature."""

import asyncio
import functools
import pathlib
import random
import tempfile
import time

from behave import given
from behave import then
from behave import when

from soak import __main__ as soak_main
from soak import fragile_checks
from soak import fragile_times
from soak import fragility
from soak import runner
from soak import statements
from tests.support import ports

Kind = statements.Kind
RUNNER, VM, OTHER_VM = "r-1", "vm-1", "vm-2"
#: When the fragile time begins, and falls do, in seconds.
BEGAN_AT, FELL_AT, FALL_INTERVAL_S = 10.0, 20.0, 4.0
#: The shares of the VM among the rejected calls, of four.
SHARES = {"all": 4, "most": 3, "half": 2}


def _event(at, kind, vm="-"):
    return statements.Event(at, RUNNER, kind, vm, "-")


def _disturbance(name, since, until):
    return statements.Disturbance(name, since, until)


@when(
    "a soak test with seed {seed:d} makes runners fragile and injects no "
    "faults"
)
def _run_soak(context, seed):
    with tempfile.TemporaryDirectory() as folder:
        context.result = asyncio.run(
            soak_main.run_soak_test(
                seed, 0.0, pathlib.Path(folder), with_fragility=True
            )
        )


@given("a service of {count:d} runners, one of which was fragile")
def _be_fragile(context, count):
    context.times = [
        fragile_times.FragileTime("plain", [RUNNER], count, BEGAN_AT, 60.0)
    ]
    context.events = [_event(0.0, Kind.STARTED)]
    context.disturbances, context.crashes = [], []


#: When the VM was told, what else happened, and who was disturbed when.
VM_STATES = {
    "was told": ([11.0], [], []),
    "was not told": ([], [], []),
    "was told just now": ([FELL_AT + 4.0 * n - 0.4 for n in range(3)], [], []),
    "was cut off": ([11.0], [], [_disturbance(VM, 15.0, 16.0)]),
    "was cut off and told again": (
        [11.0, 17.0],
        [],
        [_disturbance(VM, 15.0, 16.0)],
    ),
    "was told before a restart": ([11.0], [15.0], []),
    "was told, and the runner hung": (
        [11.0],
        [],
        [_disturbance(RUNNER, 18.0, 50.0)],
    ),
}


@given("a VM, who {was}")
def _set_vm(context, was):
    told, started, context.disturbances = VM_STATES[was]
    context.told_just_now = len(told) == 3
    context.events += [_event(at, Kind.TOLD_FRAGILE, VM) for at in told]
    context.events += [_event(at, Kind.STARTED) for at in started]
    if context.told_just_now:
        # Each fall follows a restart, so that the VM is told anew.
        context.events += [_event(at - 0.1, Kind.STARTED) for at in told]


@when(
    "the runner falls {count:d} times, {share} of what it rejects being hers"
)
def _fall(context, count, share):
    for number in range(count):
        at = FELL_AT + FALL_INTERVAL_S * number
        context.events += [
            _event(at - 0.04 + 0.01 * n, Kind.REJECTED, vm)
            for n, vm in enumerate(
                [VM] * SHARES[share] + [OTHER_VM] * (4 - SHARES[share])
            )
        ]
        context.events += [
            _event(at, Kind.FELL),
            _event(at + fragility.FALL_S, Kind.GOT_UP),
        ]
    context.events.sort(key=lambda event: event.at)


@when("she counts a crash of it {later:g} s later")
def _count_crash(context, later):
    context.crashes.append(
        fragile_checks.CountedCrash(FELL_AT + later, VM, RUNNER)
    )


@then('the checks of fragile runners report "{complaint}"')
def _check_complaint(context, complaint):
    found = fragile_checks.find_violations(
        context.events, context.disturbances, context.times, context.crashes
    )
    if complaint == "nothing":
        assert not found, found
    else:
        assert len(found) == 1 and complaint in found[0], found


@given("a VM's log with the crash of a runner")
def _write_log(context):
    folder = tempfile.TemporaryDirectory()
    context.closers.append(folder.cleanup)
    context.log = pathlib.Path(folder.name) / "vm-0.log"
    context.log.write_text(
        "time=2020-01-01T00:00:00.500000Z level=INFO event=started vm=vm-0\n"
        "time=2020-01-01T00:00:01.500000Z level=WARNING event=runner_crashed "
        "vm=vm-0 runner=r-3@77 data_centre=dc-b leaving=False charged=1\n"
    )


@then("that crash is read")
def _check_read(context):
    (crash,) = fragile_checks.read_crashes([context.log])
    at = 1577836801.5 - time.time() + time.monotonic()
    assert (crash.vm, crash.runner) == ("vm-0", "r-3")
    assert abs(crash.at - at) < 0.1, (crash.at, at)


@given(
    "a fragile runner that stands {count:d} rejections a second, "
    "told at {at:g} s"
)
def _make_fragility(context, count, at):
    context.fragility = fragility.Fragility(count, None, False, 60.0)
    context.fragility.tell(at)
    context.fragility.tell(at + 1.0)


@then(
    "its room is {first:d} at {at:g} s and {then:d} at {later:g} s, "
    "with {running:d} running calls"
)
def _check_room(context, first, at, then, later, running):
    room = context.fragility.room
    assert room(at, running, first) == first
    assert room(later, running, first) == then
    assert room(later + 1.0, 0, first) == then


@then("it stands rejections at 5.0, 5.1, 5.2 and 6.05 s")
def _check_stood(context):
    fell = [context.fragility.reject(at) for at in (5.0, 5.1, 5.2, 6.05)]
    assert not any(fell), fell


@then("it doesn't stand one at {at:g} s")
def _check_fall(context, at):
    assert context.fragility.reject(at)


@then("the plans of fragile times of seed 7 are equal and that of 8 differs")
def _check_plans(context):
    def plan(seed):
        return fragile_times.plan(random.Random(seed), 30.0)

    assert plan(7) == plan(7) != plan(8)


class _World:
    """A runner in this process, and its connections."""

    def __init__(self, folder):
        self.loop = asyncio.new_event_loop()
        self.reservations = ports.PortReservations()
        self.port = self.reservations.reserve()
        self.journal = (folder / "journal").open("w")
        self.record = statements.Record(folder / "statements")
        served = runner.Runner(RUNNER, self.journal, self.record)
        self.run(served.listen(self.port))

    def run(self, awaitable):
        return self.loop.run_until_complete(
            asyncio.wait_for(awaitable, fragility.FALL_S + 1.0)
        )

    async def send(self, path, *headers):
        streams = await asyncio.open_connection(runner.HOST, self.port)
        lines = [f"POST {path} HTTP/1.1", *headers, "Content-Length: 0"]
        streams[1].write("\r\n".join([*lines, "", ""]).encode())
        return streams

    async def call(self, call_id):
        return await self.send(
            "/stream/x",
            f"Call-Id: {call_id}",
            f"For-Runner: {RUNNER}",
            f"Sent-By: {VM}",
        )

    def close(self):
        async def close():
            tasks = asyncio.all_tasks() - {asyncio.current_task()}
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)

        self.loop.run_until_complete(close())
        self.loop.close()
        self.journal.close()
        self.reservations.close()


@given("a soak runner that is fragile and stands 0 rejections a second")
def _start_runner(context):
    folder = tempfile.TemporaryDirectory()
    context.closers.append(folder.cleanup)
    context.world = _World(pathlib.Path(folder.name))
    context.closers.append(context.world.close)
    context.closers.append(
        functools.partial(setattr, fragility, "ROOM_KEPT_S", 3.0)
    )
    fragility.ROOM_KEPT_S = 0.0


async def _send_two(world):
    reader, writer = await world.send(
        "/say",
        "Rejections-Per-S: 0",
        "Later-Room: 1",
        "After-Fall: fragile",
        "For-S: 60",
    )
    await reader.readuntil(b"\r\n\r\n")
    writer.close()
    first = await world.call("long-1")
    head = await first[0].readuntil(b"\r\n\r\n")
    assert b"Rejections-Per-S: 0" in head, head
    return [first, await world.call("c-2")]


@when("a call is sent to it and another one beside it")
def _send(context):
    context.open = context.world.run(_send_two(context.world))


async def _read_to_end(reader):
    try:
        return await reader.read()
    except ConnectionError:
        return b""


async def _connects(world):
    try:
        _, writer = await asyncio.open_connection(runner.HOST, world.port)
    except ConnectionError:
        return False
    writer.close()
    return True


@then("both connections end and new ones are refused")
def _check_fallen(context):
    for reader, _ in context.open:
        rest = context.world.run(_read_to_end(reader))
        assert b"\r\n0\r\n" not in rest and b"HTTP" not in rest, rest
    assert not context.world.run(_connects(context.world))


@then("{seconds:g} s later it takes connections again")
def _check_up(context, seconds):
    context.world.run(asyncio.sleep(seconds + 0.1))
    assert context.world.run(_connects(context.world))
    kinds = [event.kind for event in context.world.record.read()]
    assert kinds == [
        Kind.STARTED,
        Kind.SAYS_FRAGILE,
        Kind.ARRIVED,
        Kind.BEGAN,
        Kind.TOLD_FRAGILE,
        Kind.ARRIVED,
        Kind.REJECTED,
        Kind.FELL,
        Kind.ENDED,
        Kind.GOT_UP,
    ], kinds
