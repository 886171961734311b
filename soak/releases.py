"""Releases of a soak test: runners are replaced by others of another version.

Releases overlap, go to and fro, and nobody orders them from the VMs.
"""

import asyncio
import random

from . import faults
from . import fleet
from . import schedules

#: The service whose runners are released.
SERVICE = "streams"
#: Versions that a release may move to.
VERSIONS = ("v1", "v2", "v3")
#: Longest time until the first release, in seconds.
FIRST_S = 1.0
#: Shortest and longest time between two beginnings, in seconds.
INTERVAL_S = (1.5, 5.0)
#: Shortest and longest time between the replacements of two runners.
GAP_S = (0.1, 0.8)
#: Part of the runners that a release replaces at least.
MIN_SHARE = 0.4


def plan(rng: random.Random, seconds: float) -> list[tuple[float, str]]:
    """Draw when releases begin, and to which version each moves.

    :param seconds: length of the period in which they begin.
    :returns: start times, in seconds, with the versions.
    """
    schedule = []
    at = rng.uniform(0.2, FIRST_S)
    while at < seconds:
        schedule.append((at, f"release {rng.choice(VERSIONS)}"))
        at += rng.uniform(*INTERVAL_S)
    return schedule


class Injector:
    """Releases versions as planned.

    :param rng: source of all random choices.
    """

    def __init__(self, test_fleet: fleet.Fleet, rng: random.Random) -> None:
        self._fleet = test_fleet
        self._rng = rng

    async def inject(self, schedule: schedules.Schedule) -> None:
        """Begin each release as scheduled and wait for all to end."""
        await schedules.follow(schedule, self._rng, self._release)

    async def _release(self, name: str, rng: random.Random) -> None:
        """Replace a part of the runners, one after the other."""
        version = name.partition(" ")[2]
        old = [
            runner
            for runner in self._fleet.runners
            if runner.service == SERVICE and runner.version != version
        ]
        count = round(rng.uniform(MIN_SHARE, 1.0) * len(old))
        drains = []
        for runner in rng.sample(old, count):
            await self._fleet.add_runner(SERVICE, version=version)
            drains.append(asyncio.ensure_future(self._drain(runner)))
            await asyncio.sleep(rng.uniform(*GAP_S))
        await asyncio.gather(*drains)

    async def _drain(self, runner: fleet.RunnerProcess) -> None:
        """Let a runner leave, unless another fault has ended it."""
        if runner not in self._fleet.runners:
            return
        self._fleet.runners.remove(runner)
        await faults.drain(self._fleet, runner)
