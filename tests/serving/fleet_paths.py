"""Several entry VMs that share runner stand-ins, on one loop."""

import asyncio

from apricotlever.serving import configuration_model
from tests.serving import request_path


class FleetPaths:
    """The request paths of a fleet's VMs, and the runners that they share.

    :param count: number of VMs.
    """

    def __init__(self, count):
        self.vms = [request_path.RequestPath() for _ in range(count)]
        self.runners = []
        self.replies = []

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

    async def call_steadily(self, per_s, seconds):
        """Send calls at a steady rate; half of them reach the first VM.

        :param per_s: calls a second at all VMs together.
        """
        loop = asyncio.get_running_loop()
        start = loop.time()
        tasks = []
        for number in range(int(per_s * seconds)):
            await asyncio.sleep(start + number / per_s - loop.time())
            vm = self.vms[number // 2 % len(self.vms) if number % 2 else 0]
            tasks.append(asyncio.ensure_future(self._call(vm, number)))
        await asyncio.gather(*tasks)

    async def _call(self, vm, number):
        self.replies.append(await vm.call_alone(f"call-{number}"))

    async def stop(self):
        """Stop all VMs and runners."""
        for vm in self.vms:
            await vm.stop()


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
