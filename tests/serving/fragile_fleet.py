"""VMs that share fragile runners over a network with chosen faults."""

import asyncio
import collections
import random

from apricotlever.runners import statements
from apricotlever.serving import fragile_runner_protocol as protocols
from apricotlever.serving import runner_limits
from apricotlever.vms import rendezvous
from tests.serving import slot_fleet

#: How long a runner is away after a fall, in seconds.
FALL_S = 3.0
#: Time that a call takes at a runner, in seconds.
CALL_S = 0.2
#: Age of what the VMs report of their calls in flight, in seconds.
REPORT_S = 0.15


class Runner:
    """A runner that falls over if it has to reject too many calls.

    :param room: the calls that it takes at a time.
    :param bears: the rejections in a second that it bears; None if sound.
    """

    def __init__(self, name, room, bears):
        self.name = name
        self.room = room
        self.bears = bears
        self.running = 0
        self.taken = 0
        self.rejected_at = collections.deque()
        self.rejections = 0
        self.falls = 0
        self.back_at = 0.0

    async def call(self):
        """Run a call; return whether it was taken, None while away."""
        loop = asyncio.get_running_loop()
        if loop.time() < self.back_at:
            return None
        if self.running >= self.room:
            self._reject(loop.time())
            return False
        falls = self.falls
        self.running += 1
        await asyncio.sleep(CALL_S)
        if self.falls > falls:
            return None
        self.running -= 1
        self.taken += 1
        return True

    def _reject(self, now):
        self.rejections += 1
        self.rejected_at.append(now)
        while self.rejected_at[0] <= now - 1.0:
            self.rejected_at.popleft()
        if self.bears is not None and len(self.rejected_at) > self.bears:
            self.falls += 1
            self.running = 0
            self.rejected_at.clear()
            self.back_at = now + FALL_S


class Fleet:
    """VMs that send calls to the same runners, and ask their keepers."""

    def __init__(self, clock, count, runners):
        self.network = slot_fleet.Network()
        self.runners = runners
        self.names = [f"vm-{number}" for number in range(1, count + 1)]
        self.vms = {}
        self.refused = 0
        self.in_flight = collections.Counter()
        for name in self.names:
            vm = runner_limits.RunnerLimits(
                clock,
                random.Random(name),
                name,
                f"{name}#1",
                self._reported,
            )
            vm.enable_protocol(slot_fleet.Socket(self.network, (name, 1)))
            self.vms[name] = vm
        self.list_runners()
        self.set_parts([self.names])

    def list_runners(self):
        """Tell all VMs which runners there are."""
        for vm in self.vms.values():
            vm.fragile.local.set_slots({r.name: 8 for r in self.runners})
            vm.fragile.local.keep_only([r.name for r in self.runners])

    def set_parts(self, parts):
        """Set which VMs are alive for each other."""
        for part in parts:
            for name in part:
                others = {n: (n, 1) for n in part if n != name}
                self.vms[name].set_fleet(
                    others,
                    others,
                    True,
                    len(part) / len(self.names),
                    len(self.names),
                )

    def keeper(self, runner):
        """The name of the VM that is a runner's keeper."""
        return rendezvous.pick(runner.name, self.names)

    def knowing(self, runner):
        """The VMs that know that a runner is fragile."""
        return [
            name
            for name, vm in self.vms.items()
            if vm.fragile.local.stated.reading(runner.name)
        ]

    async def call(self, name, runner):
        """Have a VM send a call if its keeper admits it."""
        vm = self.vms[name]
        if runner.name in vm.fragile.local.full_runners:
            self.refused += 1
            return
        permit = await vm.fragile.admit(runner.name, 1.0)
        if permit is None:
            self.refused += 1
            return
        sent_at = asyncio.get_running_loop().time()
        self._count(runner, 1)
        await asyncio.sleep(slot_fleet.DELAY_S)
        taken = await runner.call()
        await asyncio.sleep(slot_fleet.DELAY_S)
        self._count(runner, -1)
        if taken is not None:
            self.read(name, runner, sent_at)
        vm.fragile.end(permit, rejected=taken is False)

    def _count(self, runner, change):
        """Count a call in flight; the VMs learn of it with their records."""
        asyncio.get_running_loop().call_later(
            REPORT_S, self.in_flight.update, {runner.name: change}
        )

    def _reported(self, runner):
        return self.in_flight[runner]

    def read(self, name, runner, sent_at):
        """Have a VM read what an answer of a runner says."""
        fragile = self.vms[name].fragile
        statement = statements.Statement(rejections_per_s=runner.bears)
        if fragile.local.record(runner.name, statement, sent_at):
            fragile.pass_on_change(runner.name)

    async def call_steadily(self, per_s, seconds, names=None):
        """Send calls at a steady rate to the runners in turn."""
        rng = random.Random(1)
        tasks = []
        exchange = asyncio.ensure_future(self._exchange())
        for number in range(int(per_s * seconds)):
            name = rng.choice(names or self.names)
            runner = self.runners[number % len(self.runners)]
            tasks.append(asyncio.ensure_future(self.call(name, runner)))
            await asyncio.sleep(1.0 / per_s)
        await asyncio.gather(*tasks)
        exchange.cancel()

    async def _exchange(self):
        while True:
            await asyncio.sleep(runner_limits.EXCHANGE_INTERVAL_S)
            for vm in self.vms.values():
                await vm.exchange()

    def delay(self, kind, seconds):
        """Let all messages of one kind arrive late."""
        self.network.delays = lambda message, source, target: [
            seconds if message[0] == kind else slot_fleet.DELAY_S
        ]

    def cut(self, name):
        """Lose all messages from and to a VM."""
        self.network.delays = lambda message, source, target: (
            [] if name in (source[0], target[0]) else [slot_fleet.DELAY_S]
        )


KINDS = {
    "news": protocols.READINGS,
    "answers": protocols.ANSWER,
    "ends": protocols.END,
}
