"""Plays of fragile runners while VMs are killed or suspended.

Usage: ``python -m soak.fragile_play WAY REJECTIONS ROOM``

All runners of a service are fragile for one long time, and callers press.
Counted are the falls, by the checks of the soak test.
"""

import argparse
import asyncio
import json
import pathlib
import random
import signal
import sys
import tempfile
import time

from . import callers
from . import fleet
from . import fragile_checks
from . import fragile_times
from . import statements

VM_COUNT = 7
RUNNER_COUNT = 6
CALLER_COUNT = 24
SERVICE = "plain"
PREFIX = "/safe/"
#: A large number, so that the limit on retries stops no call.
RETRY_MIN = 500.0
#: How long callers press before runners are fragile, and how long these are,
#: in seconds; VMs are hit in all but the last part of it.
CALM_S = 2.0
FRAGILE_S = 24.0
QUIET_S = 3.0
#: Pauses of a caller after a call that was served, and another, in seconds.
PAUSE_S = 0.02
REFUSED_PAUSE_S = 0.1
#: Time between two hits, how long VMs are down, and suspended, in seconds.
BETWEEN_HITS_S = {"none": 3.0, "all": 3.0, "turn": 1.2, "pause": 3.0}
DOWN_S = 0.3
SUSPENDED_S = 1.5


class Play:
    """One play.

    :param way: a key of :data:`BETWEEN_HITS_S`.
    :param rejections: how many a runner bears in a second.
    :param room: the calls that it takes at a time later on, or "half".
    """

    def __init__(
        self, way: str, rejections: int, room: str, seed: int = 5
    ) -> None:
        self._way = way
        self._headers = (
            f"Rejections-Per-S: {rejections}\r\n"
            f"Later-Room: {room}\r\nAfter-Fall: fragile\r\n"
        )
        self._rng = random.Random(seed)
        self._calls: list[callers.Call] = []
        self._stopped = False
        #: The falls, and those that the fleet has to answer for.
        self.falls = 0
        self.violations: list[str] = []

    @property
    def served(self) -> float:
        """The share of the calls that were served."""
        return sum(c.served for c in self._calls) / len(self._calls)

    async def run(self) -> None:
        """Play from the start of all processes to their end."""
        with tempfile.TemporaryDirectory() as folder:
            test_fleet = fleet.Fleet(pathlib.Path(folder), RETRY_MIN)
            try:
                await test_fleet.start(VM_COUNT, 0)
                for _ in range(RUNNER_COUNT):
                    await test_fleet.add_runner(SERVICE)
                await self._play(test_fleet)
            finally:
                test_fleet.close()

    async def _play(self, test_fleet: fleet.Fleet) -> None:
        group = callers.CallerGroup(test_fleet, self._rng)
        pressing = [
            asyncio.ensure_future(self._press(test_fleet, group))
            for _ in range(CALLER_COUNT)
        ]
        await asyncio.sleep(CALM_S)
        injector = fragile_times.Injector(test_fleet, self._rng)
        since = time.monotonic()
        until = since + FRAGILE_S
        fragile = asyncio.gather(
            *(
                injector.keep_fragile(runner, self._headers, until)
                for runner in test_fleet.runners
            )
        )
        await self._hit_until(until - QUIET_S, test_fleet)
        await fragile
        self._stopped = True
        await asyncio.gather(*pressing)
        events = test_fleet.record.read()
        self.falls = sum(e.kind is statements.Kind.FELL for e in events)
        names = [runner.name for runner in test_fleet.runners]
        self.violations = fragile_checks.find_violations(
            events,
            test_fleet.disturbances,
            [
                fragile_times.FragileTime(
                    SERVICE, names, len(names), since, until
                )
            ],
            [],
        )

    async def _press(
        self, test_fleet: fleet.Fleet, group: callers.CallerGroup
    ) -> None:
        while not self._stopped:
            vm = self._rng.choice(test_fleet.vms)
            call = callers.Call(
                f"c-{len(self._calls)}", PREFIX, vm.name, group.elapsed_s
            )
            self._calls.append(call)
            await group.send_alone(call, vm.ports["callers"])
            await asyncio.sleep(PAUSE_S if call.served else REFUSED_PAUSE_S)

    async def _hit_until(self, until: float, test_fleet: fleet.Fleet) -> None:
        number = 0
        while time.monotonic() < until:
            await asyncio.sleep(BETWEEN_HITS_S[self._way])
            vms = test_fleet.vms
            if self._way == "turn":
                vms = [vms[number % len(vms)]]
            if self._way != "none":
                await self._hit(vms, test_fleet)
            number += 1

    async def _hit(
        self, vms: list[fleet.VmProcess], test_fleet: fleet.Fleet
    ) -> None:
        since = time.monotonic()
        if self._way == "pause":
            for vm in vms:
                vm.process.send_signal(signal.SIGSTOP)
            await asyncio.sleep(SUSPENDED_S)
            for vm in vms:
                vm.process.send_signal(signal.SIGCONT)
        else:
            for vm in vms:
                vm.process.kill()
            await asyncio.sleep(DOWN_S)
            for vm in vms:
                vm.process.start()
        test_fleet.disturbances.extend(
            statements.Disturbance(vm.name, since, time.monotonic())
            for vm in vms
        )


def main(arguments: list[str]) -> int:
    """Play once.

    :returns: 1 if more runners fell than may, else 0.
    """
    parser = argparse.ArgumentParser("fragile_play", description=__doc__)
    parser.add_argument("way", choices=BETWEEN_HITS_S)
    parser.add_argument("rejections", type=int)
    parser.add_argument("room", help="a number, or half")
    options = parser.parse_args(arguments)
    play = Play(options.way, options.rejections, options.room)
    asyncio.run(play.run())
    print(
        json.dumps(
            {
                **vars(options),
                "falls": play.falls,
                "served": round(play.served, 3),
                "violations": play.violations,
            }
        )
    )
    return int(bool(play.violations))


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
