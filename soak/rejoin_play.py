"""Plays of streams that are taken up again after all VMs were killed.

Usage: ``python -m soak.rejoin_play [WAY...]``

Streams begin at the runners of one version. All VMs are killed beside a
release to another version, and callers take their streams up again. Counted is
what callers got.
"""

import asyncio
import itertools
import json
import pathlib
import random
import sys
import tempfile
import typing

from . import callers
from . import fleet
from . import runner

VM_COUNT = 7
SERVICE = "streams"
PREFIX = "/stream-on/"
OLD, NEW = "v1", "v2"
RUNNERS_PER_VERSION = 3
STREAMS = 60
#: Time between the beginnings of two streams, and from the last one to the
#: release, in seconds.
BEGIN_INTERVAL_S = 0.01
RELEASE_AFTER_S = 0.2
#: How long the VMs have to hear of a change of the runners, in seconds.
HEAR_S = 0.2
#: How long killed VMs are down, and the time between two kills, in seconds.
DOWN_S = 0.3
BETWEEN_KILLS_S = 1.2
KILLS_IN_SERIES = 3
#: How often a caller takes its stream up again, and its pauses, in seconds.
MAX_TRIES = 8
PAUSE_S = (0.3, 0.9)
#: So many streams may hold events of two versions.
ALLOWED_JOINED = 2

Way = typing.Callable[["Play", fleet.Fleet], typing.Awaitable[None]]
WAYS: dict[str, Way] = {}


def register(name: str) -> typing.Callable[[Way], Way]:
    """Make a function available as a way to kill VMs beside a release."""

    def add(way: Way) -> Way:
        WAYS[name] = way
        return way

    return add


class Play:
    """One play.

    :param way: kills VMs; one of :data:`WAYS`.
    :param seed: of the VMs that calls are sent to, and of the pauses.
    """

    def __init__(self, way: Way, seed: int = 7) -> None:
        self._way = way
        self._rng = random.Random(seed)
        #: The tries of each stream.
        self._streams: list[list[callers.Call]] = []

    @property
    def began(self) -> int:
        """The streams of which a first event came at the first try."""
        return sum(bool(s[0].body) for s in self._streams)

    @property
    def resumed(self) -> int:
        """The streams that callers took up again."""
        return sum(len(s) > 1 for s in self._streams)

    @property
    def whole(self) -> int:
        """The streams that callers have whole, over all tries."""
        return sum(
            [number for number, _ in callers.parse_events(_body(stream))]
            == list(range(1, runner.LONG_EVENT_COUNT + 1))
            for stream in self._streams
        )

    @property
    def refused(self) -> int:
        """The tries that were refused."""
        return sum(c.status == 503 for c in itertools.chain(*self._streams))

    @property
    def joined(self) -> int:
        """The streams that hold events of two versions."""
        return sum(
            len(set(callers.versions(_body(stream)))) > 1
            for stream in self._streams
        )

    @property
    def result(self) -> dict[str, int]:
        """All counts, by name."""
        return {
            "began": self.began,
            "resumed": self.resumed,
            "whole": self.whole,
            "refused": self.refused,
            "joined": self.joined,
        }

    async def run(self) -> None:
        """Play from the start of all processes to their end."""
        with tempfile.TemporaryDirectory() as folder:
            test_fleet = fleet.Fleet(pathlib.Path(folder))
            try:
                await self.start(test_fleet)
                await self._play(test_fleet)
            finally:
                test_fleet.close()

    async def start(self, test_fleet: fleet.Fleet) -> None:
        """Start all processes."""
        await test_fleet.start(VM_COUNT, 0)
        await add_runners(test_fleet, OLD)

    def choose_vm(self, test_fleet: fleet.Fleet, turn: int) -> fleet.VmProcess:
        """The VM that a try of a stream is sent to.

        :param turn: 0 for the first try.
        """
        return self._rng.choice(test_fleet.vms)

    def call_id(self, number: int, turn: int) -> str:
        """The id of a try of a stream."""
        first_id = f"{runner.LONG_CALL_PREFIX}{number}"
        return f"{first_id}.{turn}" if turn else first_id

    async def before_resuming(self, turn: int) -> None:
        """Wait until a caller may take its stream up again."""
        await asyncio.sleep(self._rng.uniform(*PAUSE_S))

    async def _play(self, test_fleet: fleet.Fleet) -> None:
        group = callers.CallerGroup(test_fleet, self._rng)
        await asyncio.sleep(1.0)
        streams = []
        for number in range(STREAMS):
            streams.append(
                asyncio.ensure_future(
                    self._read_stream(test_fleet, group, number)
                )
            )
            await asyncio.sleep(BEGIN_INTERVAL_S)
        await asyncio.sleep(RELEASE_AFTER_S)
        await self._way(self, test_fleet)
        await asyncio.gather(*streams)

    async def kill_all(
        self,
        test_fleet: fleet.Fleet,
        in_the_dark: typing.Awaitable[None] | None = None,
    ) -> None:
        """Kill all VMs at once, and start them again.

        :param in_the_dark: what happens while they are down.
        """
        for vm in test_fleet.vms:
            vm.process.kill()
        if in_the_dark is not None:
            await in_the_dark
        await asyncio.sleep(DOWN_S)
        for vm in test_fleet.vms:
            vm.process.start()

    async def _read_stream(
        self, test_fleet: fleet.Fleet, group: callers.CallerGroup, number: int
    ) -> None:
        """Read a stream, over several tries if it breaks off."""
        stream: list[callers.Call] = []
        self._streams.append(stream)
        for turn in range(MAX_TRIES + 1):
            events = callers.parse_events(_body(stream))
            if turn and not events:
                return
            vm = self.choose_vm(test_fleet, turn)
            call = callers.Call(
                self.call_id(number, turn),
                PREFIX,
                vm.name,
                group.elapsed_s,
                events[-1][0] if events else 0,
            )
            stream.append(call)
            await group.send_alone(call, vm.ports["callers"])
            if call.served:
                return
            await self.before_resuming(turn + 1)


async def add_runners(
    test_fleet: fleet.Fleet, version: str, are_entered: bool = True
) -> None:
    """Start the runners of a version.

    :param are_entered: whether their entries are written at once.
    """
    await asyncio.gather(
        *(
            test_fleet.add_runner(
                SERVICE, version=version, is_entered=are_entered
            )
            for _ in range(RUNNERS_PER_VERSION)
        )
    )


async def remove_entries(test_fleet: fleet.Fleet, version: str) -> None:
    """Remove the entries of a version's runners, which go on serving."""
    for each in test_fleet.runners:
        if each.version == version:
            await test_fleet.delete_entry(each)


@register("both serve")
async def _both_serve(play: Play, test_fleet: fleet.Fleet) -> None:
    await add_runners(test_fleet, NEW)
    await asyncio.sleep(HEAR_S)
    await play.kill_all(test_fleet)


@register("entries removed")
async def _entries_removed(play: Play, test_fleet: fleet.Fleet) -> None:
    await add_runners(test_fleet, NEW)
    await remove_entries(test_fleet, OLD)
    await asyncio.sleep(HEAR_S)
    await play.kill_all(test_fleet)


@register("entries removed in the dark")
async def _removed_in_the_dark(play: Play, test_fleet: fleet.Fleet) -> None:
    await add_runners(test_fleet, NEW)
    await asyncio.sleep(HEAR_S)
    await play.kill_all(test_fleet, remove_entries(test_fleet, OLD))


@register("new version never seen")
async def _never_seen(play: Play, test_fleet: fleet.Fleet) -> None:
    async def release() -> None:
        await add_runners(test_fleet, NEW)
        await remove_entries(test_fleet, OLD)

    await play.kill_all(test_fleet, release())


@register("kills in series")
async def _in_series(play: Play, test_fleet: fleet.Fleet) -> None:
    await add_runners(test_fleet, NEW)
    await remove_entries(test_fleet, OLD)
    for number in range(KILLS_IN_SERIES):
        await asyncio.sleep(BETWEEN_KILLS_S if number else HEAR_S)
        await play.kill_all(test_fleet)


@register("runners gone")
async def _runners_gone(play: Play, test_fleet: fleet.Fleet) -> None:
    async def end_old() -> None:
        await remove_entries(test_fleet, OLD)
        for each in test_fleet.runners:
            if each.version == OLD:
                each.process.kill()

    await add_runners(test_fleet, NEW)
    await asyncio.sleep(HEAR_S)
    await play.kill_all(test_fleet, end_old())


def _body(stream: typing.Iterable[callers.Call]) -> bytes:
    return b"".join(call.body for call in stream)


def main(arguments: list[str]) -> int:
    """Play the ways that the command line names, or all of them.

    :returns: 1 if too many streams hold events of two versions, else 0.
    """
    failed = False
    for way in arguments or WAYS:
        play = Play(WAYS[way])
        asyncio.run(play.run())
        failed |= play.joined > ALLOWED_JOINED
        print(json.dumps({"way": way, **play.result}), flush=True)
    return int(failed)


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
