"""Plays of crowds that don't behave, beside ordinary callers.

Usage: ``python -m soak.crowd_play [CROWD...]``

One VM of a small machine serves, while a crowd of :mod:`.crowds` connects.
Seen are the peak of the VM's memory, its open descriptors, and whether
ordinary calls are answered beside the crowd and after it.
"""

import asyncio
import contextlib
import json
import os
import pathlib
import random
import sys
import tempfile
import typing

from . import callers
from . import crowds
from . import fleet

#: The machine: memory in megabytes, and descriptors.
MEMORY_MB = 100
MAX_DESCRIPTORS = 600
RUNNERS = 2
#: How long a connection of the crowd has to send its bytes, and how long the
#: crowd stays after that, in seconds.
SEND_TIMEOUT_S = 15.0
STAY_S = 3.0
#: How often an ordinary call is tried before it counts as not answered, and
#: the pause before the next try, in seconds.
MAX_TRIES = 20
PAUSE_S = 0.5
SAMPLE_INTERVAL_S = 0.02
READ_BYTES = 65536


class Play:
    """One play.

    :param crowd: a key of :data:`.crowds.CROWDS`.
    """

    def __init__(self, crowd: str) -> None:
        self._crowd = crowds.CROWDS[crowd]
        self._numbers = iter(range(1_000_000))
        #: Peak of the resident memory, in megabytes, and of the descriptors.
        self.memory_mb = 0.0
        self.descriptors = 0
        #: Whether the process that was started still ran at the end.
        self.lived = False
        #: Whether an ordinary call was answered beside the crowd, after it.
        self.served_beside = False
        self.served_after = False
        #: What the first connection of the crowd was answered with.
        self.first_answer = b""

    @property
    def result(self) -> dict[str, typing.Any]:
        """All that was seen, by name."""
        return {
            "memory_mb": round(self.memory_mb, 1),
            "descriptors": self.descriptors,
            "lived": self.lived,
            "served_beside": self.served_beside,
            "served_after": self.served_after,
            "first_answer": self.first_answer[:12].decode(),
        }

    async def run(self) -> None:
        """Play from the start of all processes to their end."""
        with tempfile.TemporaryDirectory() as folder:
            test_fleet = fleet.Fleet(
                pathlib.Path(folder),
                memory_mb=MEMORY_MB,
                max_descriptors=MAX_DESCRIPTORS,
            )
            try:
                await test_fleet.start(1, RUNNERS)
                await self._play(test_fleet)
            finally:
                test_fleet.close()

    async def _play(self, test_fleet: fleet.Fleet) -> None:
        (vm,) = test_fleet.vms
        group = callers.CallerGroup(test_fleet, random.Random(1))
        assert await self._is_served(group, vm), "before the crowd"
        watching = asyncio.ensure_future(self._watch(vm))
        leave = asyncio.Event()
        port = vm.ports[self._crowd.role]
        crowd = [
            asyncio.ensure_future(self._connect(port, number, leave))
            for number in range(self._crowd.count)
        ]
        await asyncio.sleep(STAY_S)
        self.served_beside = await self._is_served(group, vm)
        leave.set()
        await asyncio.gather(*crowd)
        self.served_after = await self._is_served(group, vm)
        watching.cancel()
        self.memory_mb = max(self.memory_mb, _peak_memory_mb(vm))
        self.lived = vm.process.is_running

    async def _is_served(
        self, group: callers.CallerGroup, vm: fleet.VmProcess
    ) -> bool:
        """Whether an ordinary call is answered, at one of some tries."""
        for _ in range(MAX_TRIES):
            call_id = f"ordinary-{next(self._numbers)}"
            call = callers.Call(call_id, "/safe/", vm.name, group.elapsed_s)
            await group.send_alone(call, vm.ports["callers"])
            if call.status == 200 and call.complete:
                return True
            await asyncio.sleep(PAUSE_S)
        return False

    async def _connect(
        self, port: int, number: int, leave: asyncio.Event
    ) -> None:
        """Send what one connection sends, and stay until the crowd leaves."""
        with contextlib.suppress(OSError, TimeoutError):
            reader, writer = await asyncio.open_connection(fleet.HOST, port)
            try:
                with contextlib.suppress(OSError, TimeoutError):
                    async with asyncio.timeout(SEND_TIMEOUT_S):
                        await self._send(number, writer)
                if number == 0 and self._crowd.count == 1:
                    async with asyncio.timeout(SEND_TIMEOUT_S):
                        self.first_answer = await reader.read(READ_BYTES)
                await leave.wait()
            finally:
                writer.transport.abort()

    async def _send(self, number: int, writer: asyncio.StreamWriter) -> None:
        for piece in self._crowd.pieces(number):
            writer.write(piece)
            await writer.drain()

    async def _watch(self, vm: fleet.VmProcess) -> None:
        """Look at the process until cancelled."""
        while vm.process.is_running:
            self.memory_mb = max(self.memory_mb, _peak_memory_mb(vm))
            self.descriptors = max(self.descriptors, _open_descriptors(vm))
            await asyncio.sleep(SAMPLE_INTERVAL_S)


def _peak_memory_mb(vm: fleet.VmProcess) -> float:
    """The peak of a process's resident memory, in megabytes."""
    path = pathlib.Path(f"/proc/{vm.process.pid}/status")
    with contextlib.suppress(OSError):
        for line in path.read_text().splitlines():
            if line.startswith("VmHWM:"):
                return int(line.split()[1]) / 1024
    return 0.0


def _open_descriptors(vm: fleet.VmProcess) -> int:
    with contextlib.suppress(OSError):
        return len(os.listdir(f"/proc/{vm.process.pid}/fd"))
    return 0


def main(arguments: list[str]) -> int:
    """Play the crowds that the command line names, or all of them.

    :returns: 1 if a process ended or a bound was exceeded, else 0.
    """
    failed = False
    for name in arguments or crowds.CROWDS:
        play = Play(name)
        asyncio.run(play.run())
        failed |= not play.lived or play.memory_mb > MEMORY_MB
        failed |= play.descriptors > MAX_DESCRIPTORS or not play.served_after
        print(json.dumps({"crowd": name, **play.result}), flush=True)
    return int(failed)


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
