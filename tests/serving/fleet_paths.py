"""Several entry VMs that share runner stand-ins, on one loop."""

import asyncio
import itertools

from apricotlever import clock as clocks
from apricotlever.contracts import limit_keepers
from apricotlever import log_rate_limiter
from apricotlever.serving import configuration_model
from apricotlever.serving import limit_protocol
from apricotlever.serving import runner_limits
from tests.serving import request_path

HOST = "127.0.0.1"
#: The longest time after a call, in seconds, for which calls count as wanted.
#: No runner's limit can be used while no VM gets any call.
LONGEST_GAP_S = 0.5


class FleetPaths:
    """The request paths of a fleet's VMs, and the runners that they share.

    :param count: number of VMs.
    """

    def __init__(self, count):
        self.vms = [
            request_path.RequestPath(f"vm-{n}") for n in range(1, count + 1)
        ]
        self.sockets = []
        self.exchange_tasks = []
        self.runners = []
        self.replies = []
        #: When calls were sent, on the event loop's clock.
        self.sent_at = []

    async def start(self, runner_count):
        """Start the VMs, and runners that each of them knows."""
        first = self.vms[0]
        for _ in range(runner_count):
            self.runners.append(await first.add_runner(["answers"]))
        for vm in self.vms:
            await vm.start()
            vm.configure(configuration_model.CallKind.IDEMPOTENT)
            for runner in first.directory.runners:
                vm.directory.apply_entry(runner)
            vm.upstreams.refresh()
            await self._open_socket(vm)
        self._connect()

    async def _open_socket(self, vm):
        """Open the socket for messages about limits."""
        socket = limit_protocol.LimitProtocol(
            vm.limits,
            lambda host: True,
            log_rate_limiter.LogRateLimiter(clocks.SystemClock()),
        )
        await socket.listen(HOST, 0)
        self.sockets.append(socket)
        vm.upstreams.runner_limits.enable_protocol(socket)
        self.exchange_tasks.append(asyncio.ensure_future(_exchange(vm)))

    def grant_slots(self):
        """Let the VMs ask each other for the slots of the runners."""
        for vm, socket in zip(self.vms, self.sockets):
            vm.upstreams.slots.enable_protocol(socket)
            others = {
                other.name: (HOST, peer.port)
                for other, peer in zip(self.vms, self.sockets)
                if other is not vm
            }
            vm.upstreams.slots.set_fleet(
                others, others, others, True, len(self.vms)
            )

    def _connect(self):
        """Tell each VM of all others."""
        addresses = {
            vm.name: (HOST, socket.port)
            for vm, socket in zip(self.vms, self.sockets)
        }
        for vm in self.vms:
            others = {n: a for n, a in addresses.items() if n != vm.name}
            vm.upstreams.runner_limits.set_fleet(
                others, others, True, 1.0, len(self.vms)
            )

    async def call_steadily(self, per_s, seconds):
        """Send calls at a steady rate; half of them reach the first VM.

        If this process is held up, it sends the calls that are due at once,
        and goes on until calls were wanted for the whole time.

        :param per_s: calls a second at all VMs together.
        """
        loop = asyncio.get_running_loop()
        start = loop.time()
        tasks = []
        for number in itertools.count():
            if number >= per_s * seconds and self.wanted_s(start) >= seconds:
                break
            await asyncio.sleep(start + number / per_s - loop.time())
            vm = self.vms[number // 2 % len(self.vms) if number % 2 else 0]
            tasks.append(asyncio.ensure_future(self._call(vm, number)))
        await asyncio.gather(*tasks)

    def wanted_s(self, since):
        """For how long calls were wanted since a time, in seconds."""
        times = [at for at in self.sent_at if at >= since]
        return sum(
            min(after - before, LONGEST_GAP_S)
            for before, after in itertools.pairwise([since, *times])
        )

    async def call_at_once(self, count):
        """Send calls to the first VM, all at the same time."""
        first = len(self.replies)
        await asyncio.gather(
            *(self._call(self.vms[0], f"{first}-{n}") for n in range(count))
        )

    async def call_at(self, index):
        """Send a call to one VM, which is given by its index."""
        await self._call(self.vms[index], len(self.replies))

    def silence_keeper(self, runner):
        """Let the keeper of a runner's limit drop all messages."""
        keepers = limit_keepers.LimitKeepers(clocks.SystemClock(), "")
        keepers.set_other_vms([vm.name for vm in self.vms], eligible=False)
        names = [vm.name for vm in self.vms]
        self.sockets[names.index(keepers.keeper(runner))].close()

    async def _call(self, vm, number):
        loop = asyncio.get_running_loop()
        sent_at = loop.time()
        self.sent_at.append(sent_at)
        reply = await vm.call_alone(f"call-{number}")
        reply.took_s = loop.time() - sent_at
        self.replies.append(reply)

    async def stop(self):
        """Stop all VMs and runners."""
        for task in self.exchange_tasks:
            task.cancel()
        for socket in self.sockets:
            socket.close()
        for vm in self.vms:
            await vm.stop()


async def _exchange(vm):
    while True:
        await asyncio.sleep(runner_limits.EXCHANGE_INTERVAL_S)
        await vm.upstreams.runner_limits.exchange()


def most_within(times, seconds, since):
    """The greatest number of times within a sliding span.

    :param since: times before this one don't count.
    """
    counted = sorted(at for at in times if at >= since)
    return max(
        (
            sum(first <= at < first + seconds for at in counted)
            for first in counted
        ),
        default=0,
    )
