"""Plays of a fleet whose runners lose answers while VMs end and start.

Calls that may be repeated are sent at a steady rate to VMs at random, one
attempt each. Counted is what reaches the runners.
"""

import asyncio
import itertools
import pathlib
import random
import signal
import tempfile

from soak import callers
from soak import fleet
from soak import retry_checks

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


class Play:
    """One play.

    :param hits: how often VMs are hit.
    :param count: how many of them.
    :param down_s: after how many seconds they start again; None for never.
    """

    def __init__(self, hits, count=VM_COUNT, down_s=0.4, pause_s=0.0):
        self._hits = hits
        self._count = count
        self._down_s = down_s
        self._pause_s = pause_s
        self._rng = random.Random(7)
        self._calls = []
        #: The worst window, and the share of the calls that were served.
        self.worst = None
        self.served = 0.0

    async def run(self):
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

    async def _play(self, test_fleet):
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
        for number in range(self._hits):
            at = started_at + HIT_AT_S + number * BETWEEN_HITS_S
            await asyncio.sleep(at - loop.time())
            await self._hit(test_fleet.vms[: self._count])
        await sending
        worst = retry_checks.worst_windows(
            self._calls, started_at, test_fleet.record.read(), RETRY_MIN
        )
        self.worst = worst[SERVICE]
        self.served = sum(c.served for c in self._calls) / len(self._calls)

    async def _hit(self, vms):
        if self._pause_s:
            for vm in vms:
                vm.process.send_signal(signal.SIGSTOP)
            await asyncio.sleep(self._pause_s)
            for vm in vms:
                vm.process.send_signal(signal.SIGCONT)
            return
        for vm in vms:
            vm.process.kill()
        if self._down_s is None:
            return
        await asyncio.sleep(self._down_s)
        for vm in vms:
            vm.process.start()

    async def _send_calls(self, test_fleet):
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


async def _send(call, port):
    """Send a call on a connection of its own."""
    connection = None
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
