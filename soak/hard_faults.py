"""Faults of a soak test that come as a series of their own.

All VMs are lost at once, also beside a release; runners spoil streams or send
bytes without end; another program writes entries whose text can't be read.
They are planned apart from the other faults, so that a seed's other faults
stay the same.
"""

import asyncio
import contextlib
import random
import typing

from . import dialect
from . import fleet
from . import releases
from . import schedules

Fault = typing.Callable[[fleet.Fleet, random.Random], typing.Awaitable[None]]

FAULTS: dict[str, Fault] = {}
#: Longest time until the first such fault, in seconds, and shortest and
#: longest time between two beginnings.
FIRST_S = 1.5
INTERVAL_S = (1.0, 3.0)
#: How long all VMs are down, in seconds.
DOWN_S = (0.3, 0.8)
#: How long a runner spoils streams or sends without end, in seconds.
RUNNER_FAULT_S = (2.5, 5.0)
#: One in so many streams is spoiled.
SPOIL_EVERY = (1, 2, 3)
#: What may come without end.
ENDLESS = ("head", "interim", "trailers", "extension", "event")
#: How long another program's entry stands, and how often it is written, in
#: seconds.
ENTRY_S = (1.0, 4.0)
ENTRY_INTERVAL_S = 0.3
#: Half of a UTF-16 pair, as in a text that was cut within a character.
HALF_PAIR = "v\ud83d"
#: Fields of a sound entry that another program spoils.
SPOILED_FIELDS: tuple[dict[str, typing.Any], ...] = (
    {"version": HALF_PAIR},
    {"service": HALF_PAIR},
    {"data_centre": HALF_PAIR},
    {"version": "v1\r\nX: 1"},
    {"data_centre": "a\0b"},
    {"host": "127.0.0.1\n"},
    {"version": "v" * 5000},
)


def _register(name: str) -> typing.Callable[[Fault], Fault]:
    def register(function: Fault) -> Fault:
        FAULTS[name] = function
        return function

    return register


@_register("all_vms_kill")
async def _kill_all(test_fleet: fleet.Fleet, rng: random.Random) -> None:
    """All VMs are killed at once, and are started again."""
    await restart(test_fleet, test_fleet.vms, rng.uniform(*DOWN_S))


async def restart(
    test_fleet: fleet.Fleet,
    vms: typing.Sequence[fleet.VmProcess],
    down_s: float,
) -> None:
    """Kill VMs at once, and start them after so many seconds."""
    with contextlib.ExitStack() as stack:
        for vm in vms:
            stack.enter_context(test_fleet.disturbance(vm.name))
            vm.process.kill()
        await asyncio.sleep(down_s)
        for vm in vms:
            if not vm.process.is_running:
                vm.process.start()


@_register("streams_spoiled")
async def _spoil(test_fleet: fleet.Fleet, rng: random.Random) -> None:
    await _let_say(
        test_fleet,
        rng,
        f"Spoil-Every: {rng.choice(SPOIL_EVERY)}\r\n",
        [r for r in test_fleet.runners if r.service == releases.SERVICE],
    )


@_register("endless_bytes")
async def _send_endless(test_fleet: fleet.Fleet, rng: random.Random) -> None:
    await _let_say(
        test_fleet,
        rng,
        f"Endless: {rng.choice(ENDLESS)}\r\n",
        test_fleet.runners,
    )


async def _let_say(
    test_fleet: fleet.Fleet,
    rng: random.Random,
    header: str,
    runners: list[fleet.RunnerProcess],
) -> None:
    """Let one of some runners do something for a while."""
    if runners:
        runner, for_s = rng.choice(runners), rng.uniform(*RUNNER_FAULT_S)
        await let_say(test_fleet, runner, header, for_s)


async def let_say(
    test_fleet: fleet.Fleet,
    runner: fleet.RunnerProcess,
    header: str,
    for_s: float,
) -> None:
    """Let a runner do something for so many seconds."""
    with test_fleet.disturbance(runner.name):
        await test_fleet.say(runner, f"{header}For-S: {for_s:.2f}\r\n")
        await asyncio.sleep(for_s)


@_register("foreign_entry")
async def _write_entry(test_fleet: fleet.Fleet, rng: random.Random) -> None:
    """Another program writes an entry whose text can't be used."""
    name = f"foreign-{rng.randrange(1000)}"
    entry = {
        "service": "streams",
        "host": "127.0.0.1",
        "port": 1,
        "data_centre": "dc-a",
        "concurrency": 4,
        "leaving": False,
        "born": 1,
        "sequence": 1,
        "version": "v1",
        **rng.choice(SPOILED_FIELDS),
    }
    until = asyncio.get_running_loop().time() + rng.uniform(*ENTRY_S)
    while asyncio.get_running_loop().time() < until:
        entry["sequence"] += 1
        await test_fleet.put_object(dialect.RUNNERS_KIND, name, entry)
        await asyncio.sleep(ENTRY_INTERVAL_S)
    await test_fleet.delete_object(dialect.RUNNERS_KIND, name)


def plan(rng: random.Random, seconds: float) -> list[tuple[float, str]]:
    """Draw when which of these faults begin.

    :param seconds: length of the period in which they begin.
    :returns: start times, in seconds, with the names.
    """
    schedule = []
    at = rng.uniform(0.2, FIRST_S)
    while at < seconds:
        schedule.append((at, rng.choice(sorted(FAULTS))))
        at += rng.uniform(*INTERVAL_S)
    return schedule


class Injector:
    """Injects these faults as planned.

    :param rng: source of all random choices.
    """

    def __init__(self, test_fleet: fleet.Fleet, rng: random.Random) -> None:
        self._fleet = test_fleet
        self._rng = rng

    async def inject(self, schedule: schedules.Schedule) -> None:
        """Begin each fault as scheduled and wait for all to end."""
        await schedules.follow(schedule, self._rng, self._inject)

    async def _inject(self, name: str, rng: random.Random) -> None:
        await FAULTS[name](self._fleet, rng)
