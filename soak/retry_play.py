"""Plays of a fleet whose runners lose answers while VMs end and start.

Usage: ``python -m soak.retry_play SEED...``

Calls that may be repeated are sent at a steady rate to VMs at random, one
attempt each. Counted is what reaches the runners.
"""

import argparse
import asyncio
import itertools
import json
import pathlib
import random
import signal
import sys
import tempfile
import typing

from . import callers
from . import fleet
from . import retry_checks

VM_COUNT = 7
RUNNER_COUNT = 6
#: Retries that the fleet may make in a window beside a share of the calls.
RETRY_MIN = 52.0
CALLS_PER_S = 60.0
#: Of five answers that so many are lost, from then on, in seconds.
LOST_OF_FIVE = 4
LOST_FROM_S = 2.0
#: When VMs are first hit, and the length of the whole play, in seconds.
HIT_AT_S = 8.0
DURATION_S = 19.0
#: Time between two hits of a series, in seconds.
BETWEEN_HITS_S = 2.0
PREFIX = "/safe/"
SERVICE = "plain"


class Hits:
    """A series of kills or suspensions of the same VMs, all at once.

    :param number: how often they are hit.
    :param count: how many VMs.
    :param down_s: after how many seconds they start again; None for never.
    :param pause_s: for how many seconds they are suspended instead; 0 to kill
        them.
    :param between_s: seconds from one hit to the next.
    """

    __slots__ = ("number", "count", "down_s", "pause_s", "between_s")

    def __init__(
        self,
        number: int,
        count: int = VM_COUNT,
        down_s: float | None = 0.4,
        pause_s: float = 0.0,
        between_s: float = BETWEEN_HITS_S,
    ) -> None:
        self.number = number
        self.count = count
        self.down_s = down_s
        self.pause_s = pause_s
        self.between_s = between_s

    @classmethod
    def draw(cls, seed: int) -> "Hits":
        """Draw a series."""
        rng = random.Random(f"hits {seed}")
        return cls(
            rng.randint(1, 6),
            rng.choice((1, 3, VM_COUNT, VM_COUNT)),
            rng.uniform(0.1, 1.0),
            rng.choice((0.0, 0.0, 0.0, rng.uniform(0.5, 2.0))),
            rng.uniform(1.6, 3.0),
        )


class Play:
    """One play.

    :param seed: of the VMs that calls are sent to.
    """

    def __init__(self, hits: Hits, seed: int = 7) -> None:
        self._hits = hits
        self._rng = random.Random(seed)
        self._calls: list[callers.Call] = []
        #: The window that came closest to the limit.
        self.worst = retry_checks.Excess(0.0, 0, RETRY_MIN)
        #: The share of the calls that were served.
        self.served = 0.0

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
        loop = asyncio.get_running_loop()
        started_at = loop.time()
        sending = asyncio.ensure_future(self._send_calls(test_fleet))
        await asyncio.sleep(LOST_FROM_S)
        lost_s = DURATION_S - LOST_FROM_S
        for runner in test_fleet.runners:
            await test_fleet.say(
                runner,
                f"Lost-Of-Five: {LOST_OF_FIVE}\r\nFor-S: {lost_s}\r\n",
            )
        for number in range(self._hits.number):
            at = started_at + HIT_AT_S + number * self._hits.between_s
            await asyncio.sleep(at - loop.time())
            await self._hit(test_fleet.vms[: self._hits.count])
        await sending
        worst = retry_checks.worst_windows(
            self._calls, started_at, test_fleet.record.read(), RETRY_MIN
        )
        self.worst = worst[SERVICE]
        self.served = sum(c.served for c in self._calls) / len(self._calls)

    async def _hit(self, vms: list[fleet.VmProcess]) -> None:
        if self._hits.pause_s:
            for vm in vms:
                vm.process.send_signal(signal.SIGSTOP)
            await asyncio.sleep(self._hits.pause_s)
            for vm in vms:
                vm.process.send_signal(signal.SIGCONT)
            return
        for vm in vms:
            vm.process.kill()
        if self._hits.down_s is None:
            return
        await asyncio.sleep(self._hits.down_s)
        for vm in vms:
            vm.process.start()

    async def _send_calls(self, test_fleet: fleet.Fleet) -> None:
        loop = asyncio.get_running_loop()
        started_at = loop.time()
        tasks = []
        for number in itertools.count():
            at = number / CALLS_PER_S
            if at >= DURATION_S:
                break
            await asyncio.sleep(started_at + at - loop.time())
            vm = self._rng.choice(test_fleet.vms)
            call = callers.Call(
                f"c-{number}", PREFIX, vm.name, loop.time() - started_at
            )
            self._calls.append(call)
            tasks.append(
                asyncio.ensure_future(_send(call, vm.ports["callers"]))
            )
        await asyncio.gather(*tasks)


async def _send(call: callers.Call, port: int) -> None:
    """Send a call on a connection of its own."""
    connection: callers.Connection | None = None
    try:
        async with asyncio.timeout(callers.CALL_TIMEOUT_S):
            streams = await asyncio.open_connection(fleet.HOST, port)
            connection = callers.Connection(port, *streams)
            await connection.send(call)
    except (OSError, EOFError, ValueError, TimeoutError):
        # An unanswered call counts all the same.
        pass
    finally:
        if connection is not None:
            connection.close()


def main(arguments: list[str]) -> int:
    """Play the seeds that the command line names.

    :returns: 1 if the limit was exceeded, else 0.
    """
    parser = argparse.ArgumentParser("retry_play", description=__doc__)
    parser.add_argument("seeds", type=int, nargs="+")
    failed = False
    for seed in parser.parse_args(arguments).seeds:
        hits = Hits.draw(seed)
        play = Play(hits, seed)
        asyncio.run(play.run())
        failed |= play.worst.is_violation
        result: dict[str, typing.Any] = {
            name: getattr(hits, name) for name in hits.__slots__
        }
        print(
            json.dumps(
                {
                    "seed": seed,
                    **result,
                    "retries": play.worst.repeats,
                    "allowed": round(play.worst.allowed, 1),
                    "served": round(play.served, 3),
                }
            ),
            flush=True,
        )
    return int(failed)


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
