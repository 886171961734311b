"""Plays in which VMs of a soak fleet are cut off from all runners.

Calls are sent to each VM at a rate that doubles during the cut, so that open
connections to runners are too few. Every second call is sent on a new
connection, and none twice, whatever the answers are.
"""

import asyncio
import itertools
import pathlib
import tempfile
import urllib.request

from soak import callers
from soak import fleet
from soak import proxy

VM_COUNT = 3
RUNNER_COUNT = 4
#: Time between two calls to one VM, in seconds, and later in the cut.
CALL_INTERVAL_S = 0.05
LATER_CALL_INTERVAL_S = 0.025
#: From the beginning of the cut until calls come more often, in seconds.
LATER_S = 2.0
#: How long a caller waits for the end of an answer, in seconds.
PATIENCE_S = 1.5
#: Time without a cut at first, in seconds.
WARM_UP_S = 0.5
LOOKUP_INTERVAL_S = 0.2
LOOKUP_TIMEOUT_S = 1.0


class Play:
    """A fleet whose VMs are cut off, and what its callers got.

    :param cut_count: the number of VMs that are cut off.
    :param duration_s: the length of the cut, in seconds.
    """

    def __init__(self, cut_count, cut, duration_s):
        self._cut = cut
        self._duration_s = duration_s
        self._cut_vms = [f"vm-{n}" for n in range(cut_count)]
        self._numbers = itertools.count(1)
        self._idle = {}
        self._tasks = []
        self._cut_at = float("inf")
        self._calls = []
        #: For each lookup during the cut, the number of VMs in its answer.
        self.lookups = []

    def was_cut_off(self, call):
        """Whether a call was sent to a VM that was cut off."""
        return call.vm in self._cut_vms

    def calls_at(self, after_s):
        """The calls that were sent late in the cut, in that order.

        :param after_s: time from the beginning of the cut, in seconds.
        """
        return [
            call
            for call in self._calls
            if after_s <= call.sent_at - self._cut_at < self._duration_s
        ]

    async def run(self):
        """Play from the start of all processes to their end."""
        with tempfile.TemporaryDirectory() as folder:
            test_fleet = fleet.Fleet(pathlib.Path(folder))
            try:
                await test_fleet.start(VM_COUNT, RUNNER_COUNT)
                await self._play(test_fleet)
            finally:
                test_fleet.close()

    async def _play(self, test_fleet):
        senders = [
            asyncio.ensure_future(self._send_calls(vm))
            for vm in test_fleet.vms
        ]
        await asyncio.sleep(WARM_UP_S)
        self._cut_at = asyncio.get_running_loop().time()
        test_fleet.cut_off(self._cut_vms, self._cut)
        senders += [
            asyncio.ensure_future(self._look_up(vm)) for vm in test_fleet.vms
        ]
        await asyncio.sleep(self._duration_s)
        for sender in senders:
            sender.cancel()
        await asyncio.gather(*senders, return_exceptions=True)
        await asyncio.gather(*self._tasks)
        for connection in itertools.chain.from_iterable(self._idle.values()):
            connection.close()

    async def _send_calls(self, vm):
        idle = self._idle[vm.name] = []
        loop = asyncio.get_running_loop()
        next_at = loop.time()
        for number in itertools.count():
            prefix = fleet.ROUTES[number // 2 % len(fleet.ROUTES)][0]
            call = callers.Call(
                f"c-{next(self._numbers)}", prefix, vm.name, loop.time()
            )
            self._calls.append(call)
            kept = idle.pop() if number % 2 and idle else None
            send = self._send(call, vm.ports["callers"], kept, idle)
            self._tasks.append(asyncio.ensure_future(send))
            next_at += self._call_interval_s(loop.time())
            await asyncio.sleep(next_at - loop.time())

    def _call_interval_s(self, now):
        is_later = now - self._cut_at >= LATER_S
        return LATER_CALL_INTERVAL_S if is_later else CALL_INTERVAL_S

    async def _send(self, call, port, connection, idle):
        try:
            async with asyncio.timeout(PATIENCE_S):
                if connection is None:
                    streams = await asyncio.open_connection(fleet.HOST, port)
                    connection = callers.Connection(port, *streams)
                await connection.send(call, PATIENCE_S)
        except (OSError, EOFError, ValueError, TimeoutError):
            if connection is not None:
                connection.close()
            return
        finally:
            now = asyncio.get_running_loop().time()
            call.duration_s = now - call.sent_at
        if connection.closing:
            connection.close()
        else:
            idle.append(connection)

    async def _look_up(self, vm):
        while True:
            found = await asyncio.to_thread(_listed_vms, vm)
            self.lookups.append(found)
            await asyncio.sleep(LOOKUP_INTERVAL_S)


def _listed_vms(vm):
    """The number of VMs in the answer to a lookup; 0 without an answer."""
    url = f"http://{fleet.HOST}:{vm.ports['lookups']}/vms"
    try:
        with urllib.request.urlopen(url, timeout=LOOKUP_TIMEOUT_S) as answer:
            return len(answer.read().split())
    except OSError:
        return 0


def run_plays(cut_counts, cut, duration_s):
    """Run plays side by side.

    :param cut_counts: the number of VMs that are cut off in each play.
    :param cut: the name of the kind of cut.
    """
    plays = [Play(n, proxy.Cut(cut), duration_s) for n in cut_counts]

    async def run_all():
        await asyncio.gather(*(play.run() for play in plays))

    asyncio.run(run_all())
    return plays
