"""Plays of streams that are taken up again at VMs that are out of step.

Usage: ``python -m soak.skew_play [WAY...]``

Some VMs lose the store, and never hear of the others, while runners of a new
version join. Streams that begin through the other VMs break, and callers take
them up again at the VMs that are out of step. Counted is what callers got.
"""

import asyncio
import contextlib
import json
import sys
import typing

from . import fleet
from . import proxy
from . import rejoin_play

OLD, NEW = rejoin_play.OLD, rejoin_play.NEW
#: How often runners of a version are added, so that the streams of both
#: versions find room at one.
TIMES = 2
#: How long VMs stay out of step once the streams broke, in seconds.
OUT_OF_STEP_S = 2.5
#: How long the store is away and back where it comes and goes, in seconds.
AWAY_S, BACK_S = 0.6, 0.15
#: How long VMs know of new runners before streams begin, in seconds.
HEAR_S = 1.0
#: How long the store stays away once the streams broke, where all VMs lose it
#: and where one does, in seconds.
STORE_AWAY_S = 24.0
ONE_AWAY_S = 8.0
#: How long it has been away when streams begin there, in seconds.
AWAY_BEFORE_S = 6.0

#: What links to the store suffer in a block.
Disturbance = typing.Callable[
    [list[proxy.FaultProxy]], typing.ContextManager[None]
]
Break = typing.Callable[
    [list[fleet.VmProcess], fleet.Fleet], typing.Awaitable[None]
]


def _disturb(
    begin: typing.Callable[[proxy.FaultProxy], None],
    end: typing.Callable[[proxy.FaultProxy], None] = proxy.FaultProxy.heal,
) -> Disturbance:
    """A disturbance that begins once and ends once."""

    @contextlib.contextmanager
    def disturb(links: list[proxy.FaultProxy]) -> typing.Iterator[None]:
        for link in links:
            begin(link)
        yield
        for link in links:
            end(link)

    return disturb


RESET = _disturb(lambda link: link.cut(proxy.Cut.RESET))
HANG = _disturb(lambda link: link.cut(proxy.Cut.HANG))
ANSWERS_LOST = _disturb(
    lambda link: link.set_mode(proxy.Mode.ONE_WAY),
    lambda link: link.set_mode(proxy.Mode.PASS),
)


@contextlib.contextmanager
def come_and_go(links: list[proxy.FaultProxy]) -> typing.Iterator[None]:
    """Cut links off again and again, longer than they are whole."""

    async def work() -> None:
        while True:
            for link in links:
                link.cut(proxy.Cut.RESET)
            await asyncio.sleep(AWAY_S)
            for link in links:
                link.heal()
            await asyncio.sleep(BACK_S)

    task = asyncio.ensure_future(work())
    yield
    task.cancel()
    for link in links:
        link.heal()


class Way:
    """One way to play.

    :param skewed: the number of VMs that lose the store.
    :param breaks: breaks all streams; it gets the other VMs.
    :param away_s: how long the store stays away once the streams broke.
    :param are_apart: whether these VMs know only each other, and callers take
        their streams up there.
    :param releases: whether a new version joins meanwhile.
    :param disturbance: what the store's links of these VMs suffer meanwhile.
    :param names_stream: whether callers tell which stream they take up.
    """

    __slots__ = (
        "skewed",
        "breaks",
        "away_s",
        "are_apart",
        "releases",
        "names_stream",
        "disturbance",
    )

    def __init__(
        self,
        skewed: int,
        breaks: Break,
        away_s: float = OUT_OF_STEP_S,
        are_apart: bool = True,
        releases: bool = True,
        names_stream: bool = True,
        disturbance: Disturbance = RESET,
    ) -> None:
        self.disturbance = disturbance
        self.skewed = skewed
        self.breaks = breaks
        self.away_s = away_s
        self.are_apart = are_apart
        self.releases = releases
        self.names_stream = names_stream


async def _add_runners(
    test_fleet: fleet.Fleet, version: str, are_entered: bool = True
) -> None:
    for _ in range(TIMES):
        await rejoin_play.add_runners(test_fleet, version, are_entered)


async def _enter_runners(test_fleet: fleet.Fleet, version: str) -> None:
    """Write the entries of runners that wait for it."""
    for runner in test_fleet.runners:
        if runner.version == version:
            await test_fleet.write_entry(runner, leaving=False)


async def _kill(others: list[fleet.VmProcess], _: fleet.Fleet) -> None:
    """Kill the other VMs and start them again."""
    for vm in others:
        vm.process.kill()
    await asyncio.sleep(rejoin_play.DOWN_S)
    for vm in others:
        vm.process.start()


async def _crash_runners(
    _: list[fleet.VmProcess], test_fleet: fleet.Fleet
) -> None:
    """Let the runners of the new version crash."""
    for runner in test_fleet.runners:
        if runner.version == NEW:
            runner.process.kill()


async def _kill_one(others: list[fleet.VmProcess], _: fleet.Fleet) -> None:
    """Kill one VM, which stays down."""
    others[0].process.kill()


WAYS = {
    "one VM, runners crash": Way(1, _crash_runners),
    "one VM, the others are killed": Way(1, _kill),
    "two VMs, the others are killed": Way(2, _kill),
    "one VM, store hangs": Way(1, _kill, disturbance=HANG),
    "one VM, answers of the store lost": Way(
        1, _kill, disturbance=ANSWERS_LOST
    ),
    "one VM, store comes and goes": Way(1, _kill, disturbance=come_and_go),
    "two VMs, store comes and goes": Way(2, _kill, disturbance=come_and_go),
    "store away": Way(
        7, _kill_one, STORE_AWAY_S, are_apart=False, releases=False
    ),
    "store away, streams unnamed": Way(
        7,
        _kill_one,
        STORE_AWAY_S,
        are_apart=False,
        releases=False,
        names_stream=False,
    ),
    "store away from one VM": Way(
        1,
        _kill,
        ONE_AWAY_S,
        are_apart=False,
        releases=False,
        names_stream=False,
    ),
}


class Play(rejoin_play.Play):
    """One play.

    :param way: a key of :data:`WAYS`.
    """

    def __init__(self, way: str, seed: int = 7) -> None:
        super().__init__(self._break, seed)
        self._skew = WAYS[way]
        self._broken = asyncio.Event()
        #: Ends what the links to the store suffer.
        self._skewed = contextlib.ExitStack()

    async def start(self, test_fleet: fleet.Fleet) -> None:
        """Start all processes, and put some VMs out of step."""
        skew = self._skew
        apart = skew.skewed if skew.are_apart else 0
        await test_fleet.start(rejoin_play.VM_COUNT, 0, apart)
        await _add_runners(test_fleet, OLD)
        if skew.releases:
            # What takes long on a busy machine is done before the cut.
            await _add_runners(test_fleet, NEW, are_entered=False)
        await asyncio.sleep(HEAR_S)
        links = [vm.link for vm in test_fleet.vms[: skew.skewed]]
        self._skewed.enter_context(skew.disturbance(links))
        if skew.releases:
            await _enter_runners(test_fleet, NEW)
            await asyncio.sleep(HEAR_S)
        elif not skew.are_apart:
            await asyncio.sleep(AWAY_BEFORE_S)

    def choose_vm(self, test_fleet: fleet.Fleet, turn: int) -> fleet.VmProcess:
        """Begin at the other VMs, and go on at those out of step."""
        skewed = test_fleet.vms[: self._skew.skewed]
        others = test_fleet.vms[self._skew.skewed :]
        if not self._skew.are_apart:
            begins, resumes = test_fleet.vms[:1], test_fleet.vms[1:]
            if others:
                begins, resumes = others, skewed
            return self._rng.choice(resumes if turn else begins)
        return self._rng.choice(skewed if turn else others)

    def call_id(self, number: int, turn: int) -> str:
        """An id by which nobody knows the stream, where it isn't named."""
        call_id = super().call_id(number, turn)
        if turn and not self._skew.names_stream:
            return call_id.replace(".", "-unnamed.")
        return call_id

    async def before_resuming(self, turn: int) -> None:
        """Wait until the streams broke."""
        await self._broken.wait()
        await super().before_resuming(turn)

    async def _break(
        self, _: rejoin_play.Play, test_fleet: fleet.Fleet
    ) -> None:
        skew = self._skew
        others = test_fleet.vms[skew.skewed :] or test_fleet.vms[:1]
        await skew.breaks(others, test_fleet)
        self._broken.set()
        await asyncio.sleep(skew.away_s)
        self._skewed.close()


def main(arguments: list[str]) -> int:
    """Play the ways that the command line names, or all of them.

    :returns: 1 if too many streams hold events of two versions, else 0.
    """
    failed = False
    for way in arguments or WAYS:
        play = Play(way)
        asyncio.run(play.run())
        failed |= play.joined > rejoin_play.ALLOWED_JOINED
        print(json.dumps({"way": way, **play.result}), flush=True)
    return int(failed)


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
