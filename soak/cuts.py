"""Cuts of a soak test: VMs lose their paths to all runners.

Callers, the store and the other VMs still reach them. Cuts are planned apart
from the faults, so that a seed's faults stay the same with and without them.
"""

import asyncio
import contextlib
import random
import time
import typing

from . import fleet
from . import proxy
from . import schedules

#: Chooses the VMs that are cut off together.
Choice = typing.Callable[
    [list[fleet.VmProcess], random.Random], list[fleet.VmProcess]
]

CHOICES: dict[str, Choice] = {}

#: Shortest and longest cut among faults, in seconds.
DURATION_S = (0.5, 8.0)
#: Shortest and longest time between the beginnings of two cuts, in seconds.
INTERVAL_S = (1.5, 4.0)
#: Latest beginning of the first cut, in seconds.
FIRST_S = 1.5
#: How long the cut that is apart from the other faults goes on after the fault
#: beside it, in seconds.
LAST_CUT_S = 7.0
#: From the beginning of that cut to the fault beside it, in seconds.
COMPANION_AFTER_S = 0.3
#: The faults of which one may happen beside that cut.
COMPANIONS = ("", "vm_kill", "vm_reload", "vm_stop")


class CutPeriod:
    """A time in which VMs were cut off from all runners.

    :param vms: the names of the VMs.
    :param since: the beginning, on the machine's monotonic clock.
    :param until: the end.
    """

    __slots__ = ("vms", "cut", "since", "until")

    def __init__(
        self,
        vms: typing.Iterable[str],
        cut: proxy.Cut,
        since: float,
        until: float,
    ) -> None:
        self.vms = frozenset(vms)
        self.cut = cut
        self.since = since
        self.until = until


def register_choice(name: str) -> typing.Callable[[Choice], Choice]:
    """Register a function that chooses VMs, under the name of a cut."""

    def register(function: Choice) -> Choice:
        CHOICES[name] = function
        return function

    return register


@register_choice("vm_cut_one")
def _choose_one(
    vms: list[fleet.VmProcess], rng: random.Random
) -> list[fleet.VmProcess]:
    return [rng.choice(vms)]


@register_choice("vm_cut_half")
def _choose_half(
    vms: list[fleet.VmProcess], rng: random.Random
) -> list[fleet.VmProcess]:
    """Choose half of the VMs, rounded up."""
    return rng.sample(vms, (len(vms) + 1) // 2)


@register_choice("vm_cut_data_centre")
def _choose_data_centre(
    vms: list[fleet.VmProcess], rng: random.Random
) -> list[fleet.VmProcess]:
    data_centre = rng.choice(vms).data_centre
    return [vm for vm in vms if vm.data_centre == data_centre]


@register_choice("vm_cut_all")
def _choose_all(
    vms: list[fleet.VmProcess], rng: random.Random
) -> list[fleet.VmProcess]:
    return list(vms)


def plan(rng: random.Random, seconds: float) -> list[tuple[float, str]]:
    """Draw start times and names of the cuts.

    :param seconds: length of the period in which cuts begin.
    :returns: start times, in seconds, with the names of the cuts.
    """
    schedule = []
    at = rng.uniform(0.2, FIRST_S)
    while at < seconds:
        schedule.append((at, rng.choice(sorted(CHOICES))))
        at += rng.uniform(*INTERVAL_S)
    return schedule


async def cut_vms(
    test_fleet: fleet.Fleet,
    name: str,
    rng: random.Random,
    wait: typing.Callable[[], typing.Awaitable[None]] | None = None,
) -> CutPeriod:
    """Cut VMs off, unless another cut holds them, and reconnect them.

    :param name: the name of the cut.
    :param wait: ends when the cut does; None to draw its duration.
    """
    chosen = [vm.name for vm in CHOICES[name](test_fleet.vms, rng)]
    cut = rng.choice(list(proxy.Cut))
    duration_s = rng.uniform(*DURATION_S)
    vms = [vm for vm in chosen if not test_fleet.is_cut_off(vm)]
    since = time.monotonic()
    with contextlib.ExitStack() as stack:
        for vm in vms:
            stack.enter_context(test_fleet.disturbance(vm))
        test_fleet.cut_off(vms, cut)
        await (wait() if wait else asyncio.sleep(duration_s))
        until = time.monotonic()
        test_fleet.reconnect(vms)
    return CutPeriod(vms, cut, since, until)


class Injector:
    """Injects the planned cuts and keeps a record of them.

    :param rng: source of all random choices of the cuts.
    """

    __slots__ = ("_fleet", "_rng", "periods")

    def __init__(self, test_fleet: fleet.Fleet, rng: random.Random) -> None:
        self._fleet = test_fleet
        self._rng = rng
        self.periods: list[CutPeriod] = []

    async def inject(self, schedule: schedules.Schedule) -> None:
        """Begin each cut at its scheduled time and wait for all to end."""
        periods = await schedules.follow(
            schedule,
            self._rng,
            lambda name, rng: cut_vms(self._fleet, name, rng),
        )
        self.periods += [period for period in periods if period.vms]

    async def inject_last(
        self,
        inject_fault: typing.Callable[
            [str, random.Random], typing.Awaitable[None]
        ],
    ) -> str:
        """Inject a cut with one fault at most beside it.

        :param inject_fault: injects the fault of a name.
        :returns: the names of the cut and the fault.
        """
        name = self._rng.choice(sorted(CHOICES))
        companion = self._rng.choice(COMPANIONS)
        rng = random.Random(self._rng.random())

        async def wait() -> None:
            await asyncio.sleep(COMPANION_AFTER_S)
            if companion:
                await inject_fault(companion, rng)
            await asyncio.sleep(LAST_CUT_S)

        period = await cut_vms(self._fleet, name, rng, wait)
        self.periods.append(period)
        return f"{name} {period.cut.value} {companion}".strip()
