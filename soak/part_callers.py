"""Callers of a soak test whose calls have prompts with parts."""

import asyncio
import itertools
import random

from . import bad_parts
from . import callers
from . import fleet
from . import prompt_parts

#: Shortest and longest pause between two sound calls of a caller, and between
#: two calls with a bad part, in seconds.
SOUND_PAUSE_S = (0.02, 0.1)
BAD_PAUSE_S = (0.15, 0.45)
#: Probability that a call with a bad part is the repeat of an earlier one.
REPEAT_PROBABILITY = 0.3


class PartCallers:
    """Callers of sound calls with parts, and of calls with a bad one.

    :param group: knows the time, and sends the calls.
    :param rng: source of all random choices.
    """

    def __init__(
        self,
        test_fleet: fleet.Fleet,
        group: callers.CallerGroup,
        rng: random.Random,
    ) -> None:
        self._fleet = test_fleet
        self._group = group
        self._rng = rng
        self._numbers = itertools.count(1)
        self._stopped = False
        self.sound: list[callers.Call] = []
        self.bad: list[callers.Call] = []

    def stop(self) -> None:
        """Let each caller of sound calls end after its current call."""
        self._stopped = True

    async def run(self, prefix: str) -> None:
        """Send sound calls to a route until :meth:`stop` is called."""
        while not self._stopped:
            call = self._make_call("sound", prefix)
            call.parts = f"{prompt_parts.COMMON_PART},{call.call_id}"
            self.sound.append(call)
            await self._send(call)
            await asyncio.sleep(self._rng.uniform(*SOUND_PAUSE_S))

    async def send_bad(
        self,
        bad: bad_parts.BadTime,
        rng: random.Random,
        pause_s: tuple[float, float] = BAD_PAUSE_S,
    ) -> None:
        """Send calls with a bad part, as long as its time lasts.

        :param pause_s: shortest and longest time between two, in seconds.
        """
        tasks = []
        loop = asyncio.get_running_loop()
        bodies: list[str] = []
        while loop.time() < bad.until:
            call = self._make_call("bad", bad.prefix)
            if bodies and rng.random() < REPEAT_PROBABILITY:
                call.request_body = rng.choice(bodies)
            bodies.append(call.request_body)
            call.parts = f"{bad.parts},{call.request_body}"
            self.bad.append(call)
            tasks.append(asyncio.ensure_future(self._send(call)))
            await asyncio.sleep(rng.uniform(*pause_s))
        await asyncio.gather(*tasks)

    def _make_call(self, kind: str, prefix: str) -> callers.Call:
        vm = self._rng.choice(self._fleet.vms)
        name = f"{kind}-{next(self._numbers)}"
        call = callers.Call(name, prefix, vm.name, self._group.elapsed_s)
        call.request_body = name
        return call

    async def _send(self, call: callers.Call) -> None:
        vms = {vm.name: vm for vm in self._fleet.vms}
        await self._group.send_alone(call, vms[call.vm].ports["callers"])
