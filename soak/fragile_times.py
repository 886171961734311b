"""Times of a soak test in which runners are fragile and say so.

Such a runner takes fewer calls at a time later on, and falls over if it has to
reject too many. These times are planned apart from the faults, so that a
seed's faults stay the same with and without them.
"""

import asyncio
import random
import time
import typing

from . import child_process
from . import fleet
from . import fragility
from . import loopback
from . import schedules

#: Chooses the runners of one service that are fragile together.
Choice = typing.Callable[
    [list[fleet.RunnerProcess], random.Random], list[fleet.RunnerProcess]
]

CHOICES: dict[str, Choice] = {}

#: How many calls a second fragile runners can reject.
REJECTIONS_PER_S = (1, 3, 8)
#: How many calls they take at a time later on.
LATER_ROOMS = (fragility.HALF, "1", "2")
#: What follows a fall: the runner is sound, or goes on being fragile.
AFTER_FALL = ("sound", "fragile", "fragile")
#: Shortest and longest time for which a runner is fragile, in seconds.
DURATION_S = (4.0, 8.0)
#: Shortest and longest time between two such beginnings, in seconds.
INTERVAL_S = (1.0, 4.0)
#: How long all runners of a service are fragile apart from other faults, in
#: seconds.
LAST_TIME_S = 8.0
#: Latest beginning of the first time, in seconds.
FIRST_S = 1.0


class FragileTime:
    """A time in which runners of one service were fragile.

    :param runners: the names of the fragile runners.
    :param runner_count: the service's runners as the time began.
    :param since: the beginning, on the machine's monotonic clock.
    :param until: the end.
    """

    __slots__ = ("service", "runners", "runner_count", "since", "until")

    def __init__(
        self,
        service: str,
        runners: typing.Iterable[str],
        runner_count: int,
        since: float,
        until: float,
    ) -> None:
        self.service = service
        self.runners = frozenset(runners)
        self.runner_count = runner_count
        self.since = since
        self.until = until


def register_choice(name: str) -> typing.Callable[[Choice], Choice]:
    """Register a function that chooses runners of a service, under a name."""

    def register(function: Choice) -> Choice:
        CHOICES[name] = function
        return function

    return register


@register_choice("runner_fragile")
def _choose_one(
    runners: list[fleet.RunnerProcess], rng: random.Random
) -> list[fleet.RunnerProcess]:
    return [rng.choice(runners)]


@register_choice("runners_fragile")
def _choose_all(
    runners: list[fleet.RunnerProcess], rng: random.Random
) -> list[fleet.RunnerProcess]:
    return list(runners)


def plan(rng: random.Random, seconds: float) -> list[tuple[float, str]]:
    """Draw when runners begin to be fragile, and which choice of them.

    :param seconds: length of the period in which they begin.
    :returns: start times, in seconds, with the names of the choices.
    """
    schedule = []
    at = rng.uniform(0.2, FIRST_S)
    while at < seconds:
        schedule.append((at, rng.choice(sorted(CHOICES))))
        at += rng.uniform(*INTERVAL_S)
    return schedule


class Injector:
    """Makes runners fragile as planned, and keeps a record of it.

    At most one such time of a service goes on at once.

    :param rng: source of all random choices.
    """

    __slots__ = ("_fleet", "_rng", "_busy", "times")

    def __init__(self, test_fleet: fleet.Fleet, rng: random.Random) -> None:
        self._fleet = test_fleet
        self._rng = rng
        #: The services of which runners are fragile.
        self._busy: set[str] = set()
        self.times: list[FragileTime] = []

    async def inject(self, schedule: schedules.Schedule) -> None:
        """Begin each time as scheduled and wait for all to end."""
        await schedules.follow(schedule, self._rng, self._begin)

    async def inject_last(self) -> str:
        """Make all runners of a service fragile, apart from other faults.

        :returns: what was done.
        """
        rng = random.Random(self._rng.random())
        await self._begin("runners_fragile", rng, LAST_TIME_S)
        return f"runners_fragile {self.times[-1].service}"

    async def _begin(
        self, name: str, rng: random.Random, duration_s: float | None = None
    ) -> None:
        """Make runners of a service fragile, unless some of it are.

        :param duration_s: None to draw it.
        """
        service = rng.choice(fleet.SERVICES)
        duration_s = duration_s or rng.uniform(*DURATION_S)
        headers = _headers(rng)
        present = [r for r in self._fleet.runners if r.service == service]
        if service in self._busy or not present:
            return
        runners = CHOICES[name](present, rng)
        self._busy.add(service)
        since = time.monotonic()
        until = since + duration_s
        await asyncio.gather(
            *(self.keep_fragile(r, headers, until) for r in runners)
        )
        self._busy.remove(service)
        names = [runner.name for runner in runners]
        self.times.append(
            FragileTime(service, names, len(present), since, until)
        )

    async def keep_fragile(
        self, runner: fleet.RunnerProcess, headers: str, until: float
    ) -> None:
        """Let a runner be fragile, also after it was restarted.

        Its proxies refuse connections while it has fallen over, as nothing
        listens at it then. A runner whose process has ended, and whose address
        another one may have, is left to the fault that ended it.
        """
        born, down = None, False
        while down or time.monotonic() < until + fragility.FALL_S:
            for_s = until - time.monotonic()
            if runner.born != born and for_s > 0.0:
                born = runner.born
                await self._fleet.say(runner, f"{headers}For-S: {for_s}\r\n")
            await asyncio.sleep(child_process.POLL_INTERVAL_S)
            was_down = down
            down = runner.process.is_running and not loopback.is_listening(
                runner.link.target
            )
            if down != was_down:
                runner.link.set_down(down)


def _headers(rng: random.Random) -> str:
    return (
        f"Rejections-Per-S: {rng.choice(REJECTIONS_PER_S)}\r\n"
        f"Later-Room: {rng.choice(LATER_ROOMS)}\r\n"
        f"After-Fall: {rng.choice(AFTER_FALL)}\r\n"
    )
