"""Plays of a fleet that is killed while a prompt part crashes its runners.

Usage: ``python -m soak.crash_play SEED...``

Sound calls and calls with one bad part are sent to VMs at random. VMs are hit
each time that a runner has crashed, until a number of hits. Counted is what
reaches the runners.
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
import typing

from . import bad_parts
from . import callers
from . import child_process
from . import fleet
from . import part_callers
from . import part_checks
from . import prompt_parts
from . import statements

VM_COUNT = 7
RUNNER_COUNT = 8
SERVICE = "plain"
PREFIX = "/safe/"
SOUND_CALLERS = 3
#: A large number, so that the limit on retries stops no call.
RETRY_MIN = 500.0
#: How long only sound calls are sent at first, in seconds.
CALM_S = 2.0
#: Time between two calls with the bad part, in seconds: VMs that are hit just
#: after one are in touch at the next.
BAD_INTERVAL_S = part_checks.CONTACT_S + 2.0
#: Time from one hit to the next at least, in seconds.
BETWEEN_HITS_S = 1.0


class Hits:
    """Kills or suspensions of VMs, each after a crash.

    :param number: how often VMs are hit at most.
    :param count: how many VMs, all at once.
    :param in_turn: whether each hit meets other VMs than the last.
    :param delay_s: time from a crash to the hit, in seconds.
    :param down_s: after how many seconds they start again.
    :param pause_s: for how many seconds they are suspended instead; 0 to kill
        them.
    """

    __slots__ = ("number", "count", "in_turn", "delay_s", "down_s", "pause_s")

    def __init__(
        self,
        number: int,
        count: int = VM_COUNT,
        in_turn: bool = False,
        delay_s: float = 0.5,
        down_s: float = 0.4,
        pause_s: float = 0.0,
    ) -> None:
        self.number = number
        self.count = count
        self.in_turn = in_turn
        self.delay_s = delay_s
        self.down_s = down_s
        self.pause_s = pause_s

    @classmethod
    def draw(cls, seed: int) -> "Hits":
        """Draw a series."""
        rng = random.Random(f"hits {seed}")
        return cls(
            rng.randint(2, 6),
            rng.choice((3, VM_COUNT, VM_COUNT)),
            rng.random() < 0.5,
            rng.uniform(0.2, 1.0),
            rng.uniform(0.1, 1.0),
            rng.choice((0.0, 0.0, rng.uniform(1.0, 3.5))),
        )


class Play:
    """One play.

    :param seconds: its length; calls with the bad part are sent to the end.
    :param seed: of the VMs that calls are sent to.
    """

    def __init__(self, hits: Hits, seconds: float, seed: int = 7) -> None:
        self._hits = hits
        self._seconds = seconds
        self._rng = random.Random(seed)
        self._bad_until = 0.0
        #: What went wrong.
        self.violations: list[str] = []
        #: How many runners crashed, and calls with the part reached runners.
        self.crashes = 0
        self.arrivals = 0
        #: The number of hits.
        self.hit_count = 0
        #: The share of the sound calls that were served.
        self.sound_served = 0.0

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
        parts = part_callers.PartCallers(test_fleet, group, self._rng)
        sound = [
            asyncio.ensure_future(parts.run(PREFIX))
            for _ in range(SOUND_CALLERS)
        ]
        await asyncio.sleep(CALM_S)
        injector = bad_parts.Injector(test_fleet, self._rng, parts.send_bad)
        watching = asyncio.ensure_future(injector.watch_crashes())
        since = time.monotonic()
        bad = bad_parts.BadTime(
            f"{prompt_parts.BAD_PREFIX}0",
            False,
            PREFIX,
            since,
            since + self._seconds,
        )
        hitting = asyncio.ensure_future(self._hit_after_crashes(test_fleet))
        await parts.send_bad(bad, self._rng, (BAD_INTERVAL_S, BAD_INTERVAL_S))
        for task in (hitting, watching):
            task.cancel()
        parts.stop()
        await asyncio.gather(*sound)
        await asyncio.gather(hitting, watching, return_exceptions=True)
        events = test_fleet.record.read()
        seen = part_checks.Observations(
            [bad],
            events,
            parts.sound,
            group.started_at,
            (),
            test_fleet.disturbances,
        )
        self.violations = part_checks.find_violations(seen)
        self.crashes = len(part_checks.crash_times(seen, bad))
        self.arrivals = sum(
            event.kind is statements.Kind.GOT_BAD_PART for event in events
        )
        served = sum(call.served for call in parts.sound)
        self.sound_served = served / len(parts.sound)

    async def _hit_after_crashes(self, test_fleet: fleet.Fleet) -> None:
        """Hit VMs after a crash."""
        offset = 0
        while self.hit_count < self._hits.number:
            await asyncio.sleep(child_process.POLL_INTERVAL_S)
            events, offset = test_fleet.record.read_from(offset)
            if any(e.kind is statements.Kind.CRASHED for e in events):
                await asyncio.sleep(self._hits.delay_s)
                await self._hit(self._choose(test_fleet.vms), test_fleet)
                self.hit_count += 1
                await asyncio.sleep(BETWEEN_HITS_S)
                _, offset = test_fleet.record.read_from(offset)

    def _choose(self, vms: list[fleet.VmProcess]) -> list[fleet.VmProcess]:
        first = self.hit_count * self._hits.count if self._hits.in_turn else 0
        return [
            vms[(first + number) % len(vms)]
            for number in range(self._hits.count)
        ]

    async def _hit(
        self, vms: list[fleet.VmProcess], test_fleet: fleet.Fleet
    ) -> None:
        since = time.monotonic()
        if self._hits.pause_s:
            for vm in vms:
                vm.process.send_signal(signal.SIGSTOP)
            await asyncio.sleep(self._hits.pause_s)
            for vm in vms:
                vm.process.send_signal(signal.SIGCONT)
        else:
            for vm in vms:
                vm.process.kill()
            await asyncio.sleep(self._hits.down_s)
            for vm in vms:
                vm.process.start()
        test_fleet.disturbances.extend(
            statements.Disturbance(vm.name, since, time.monotonic())
            for vm in vms
        )


def main(arguments: list[str]) -> int:
    """Play the seeds that the command line names.

    :returns: 1 if a promise was broken, else 0.
    """
    parser = argparse.ArgumentParser("crash_play", description=__doc__)
    parser.add_argument("--seconds", type=float, default=40.0)
    parser.add_argument("seeds", type=int, nargs="+")
    options = parser.parse_args(arguments)
    failed = False
    for seed in options.seeds:
        hits = Hits.draw(seed)
        play = Play(hits, options.seconds, seed)
        asyncio.run(play.run())
        failed |= bool(play.violations)
        result: dict[str, typing.Any] = {
            name: getattr(hits, name) for name in hits.__slots__
        }
        print(
            json.dumps(
                {
                    "seed": seed,
                    **result,
                    "hits": play.hit_count,
                    "crashes": play.crashes,
                    "arrivals": play.arrivals,
                    "sound_served": round(play.sound_served, 3),
                    "violations": play.violations,
                }
            ),
            flush=True,
        )
    return int(failed)


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
