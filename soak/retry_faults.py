"""Faults of a soak test that make VMs retry, and forget that they did.

All runners of a service lose most answers for a while, and VMs are killed in
series meanwhile, all at once or one after the other, or are suspended. They
are planned apart from the other faults, so that a seed's other faults stay the
same.
"""

import asyncio
import random
import signal
import typing

from . import callers
from . import fleet
from . import hard_faults
from . import schedules

Fault = typing.Callable[[fleet.Fleet, random.Random], typing.Awaitable[None]]

FAULTS: dict[str, Fault] = {}
#: Longest time until the first such fault, in seconds, and shortest and
#: longest time between two beginnings.
FIRST_S = 2.0
INTERVAL_S = (1.5, 4.0)
#: Retries that the VMs may make in a window beside a share of the calls.
RETRY_MIN = 52.0
#: Calls a second that may be tried again, beside those of the other callers.
CALLS_PER_S = 80.0
CALL_PREFIXES = ("/safe/", "/stream-on/")
#: From the first such fault, which loses answers, until VMs are first killed
#: in series, in seconds.
FIRST_KILL_S = (2.0, 5.0)
#: Of five answers that so many are lost, and for how long, in seconds.
LOST_OF_FIVE = (3, 4)
LOST_S = (6.0, 10.0)
#: How often VMs are killed in a series, the time between two such kills, and
#: for how long they are down, in seconds.
KILLS = (3, 6)
BETWEEN_KILLS_S = (1.6, 2.4)
DOWN_S = (0.1, 0.6)
#: How long VMs are suspended, in seconds.
PAUSE_S = (0.5, 3.0)


def _register(name: str) -> typing.Callable[[Fault], Fault]:
    def register(function: Fault) -> Fault:
        FAULTS[name] = function
        return function

    return register


@_register("answers_lost")
async def _lose_answers(test_fleet: fleet.Fleet, rng: random.Random) -> None:
    services = rng.sample(fleet.SERVICES, rng.randint(1, 2))
    lost = rng.choice(LOST_OF_FIVE)
    await _lose(test_fleet, services, lost, rng.uniform(*LOST_S))


@_register("answers_lost_everywhere")
async def _lose_everywhere(
    test_fleet: fleet.Fleet, rng: random.Random
) -> None:
    await _lose(test_fleet, fleet.SERVICES, max(LOST_OF_FIVE), max(LOST_S))


async def _lose(
    test_fleet: fleet.Fleet,
    services: typing.Sequence[str],
    lost_of_five: int,
    for_s: float,
) -> None:
    """Let all runners of some services lose answers."""
    header = f"Lost-Of-Five: {lost_of_five}\r\n"
    await asyncio.gather(
        *(
            hard_faults.let_say(test_fleet, runner, header, for_s)
            for runner in test_fleet.runners
            if runner.service in services
        )
    )


@_register("vms_killed_in_series")
async def _kill_in_series(test_fleet: fleet.Fleet, rng: random.Random) -> None:
    """All VMs, or the same part of them, are killed again and again."""
    count = rng.randint(1, len(test_fleet.vms))
    await _kill_again(test_fleet, rng, rng.sample(test_fleet.vms, count))


@_register("all_vms_killed_in_series")
async def _kill_all_in_series(
    test_fleet: fleet.Fleet, rng: random.Random
) -> None:
    await _kill_again(test_fleet, rng, test_fleet.vms)


async def _kill_again(
    test_fleet: fleet.Fleet,
    rng: random.Random,
    vms: typing.Sequence[fleet.VmProcess],
) -> None:
    for _ in range(rng.randint(*KILLS)):
        await hard_faults.restart(test_fleet, vms, rng.uniform(*DOWN_S))
        await asyncio.sleep(rng.uniform(*BETWEEN_KILLS_S))


@_register("vms_killed_in_turn")
async def _kill_in_turn(test_fleet: fleet.Fleet, rng: random.Random) -> None:
    for vm in list(test_fleet.vms):
        await hard_faults.restart(test_fleet, [vm], rng.uniform(*DOWN_S))


@_register("vms_paused")
async def _pause(test_fleet: fleet.Fleet, rng: random.Random) -> None:
    """Some VMs are suspended at once."""
    vms = rng.sample(test_fleet.vms, rng.randint(1, len(test_fleet.vms)))
    pause_s = rng.uniform(*PAUSE_S)
    await asyncio.gather(*(_pause_one(test_fleet, vm, pause_s) for vm in vms))


async def _pause_one(
    test_fleet: fleet.Fleet, vm: fleet.VmProcess, pause_s: float
) -> None:
    with test_fleet.disturbance(vm.name):
        vm.process.send_signal(signal.SIGSTOP)
        await asyncio.sleep(pause_s)
        vm.process.send_signal(signal.SIGCONT)


def plan(rng: random.Random, seconds: float) -> list[tuple[float, str]]:
    """Draw when which of these faults begin.

    The first loses most answers, and the second kills all VMs in series.

    :param seconds: length of the period in which they begin.
    :returns: start times, in seconds, with the names.
    """
    schedule = [(rng.uniform(0.2, FIRST_S), "answers_lost_everywhere")]
    at = schedule[0][0] + rng.uniform(*FIRST_KILL_S)
    schedule.append((at, "all_vms_killed_in_series"))
    while (at := at + rng.uniform(*INTERVAL_S)) < seconds:
        schedule.append((at, rng.choice(sorted(FAULTS))))
    return schedule


class RepeatableCalls:
    """Calls of one route that VMs may try again, each sent once.

    :param group: sends the calls.
    """

    def __init__(
        self,
        test_fleet: fleet.Fleet,
        group: callers.CallerGroup,
        rng: random.Random,
    ) -> None:
        self._fleet = test_fleet
        self._group = group
        self._rng = rng
        self._stopped = False
        self.calls: list[callers.Call] = []

    def stop(self) -> None:
        """Send no more calls."""
        self._stopped = True

    async def run(self) -> None:
        """Send calls until they are stopped, and wait for their answers."""
        tasks = []
        prefix = self._rng.choice(CALL_PREFIXES)
        while not self._stopped:
            vm = self._rng.choice(self._fleet.vms)
            call = callers.Call(
                f"r-{len(self.calls)}",
                prefix,
                vm.name,
                self._group.elapsed_s,
            )
            self.calls.append(call)
            tasks.append(
                asyncio.ensure_future(
                    self._group.send_alone(call, vm.ports["callers"])
                )
            )
            await asyncio.sleep(1.0 / CALLS_PER_S)
        await asyncio.gather(*tasks)


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
