"""Times of a soak test in which calls with a bad prompt part are sent."""

import asyncio
import random
import time
import typing

from . import child_process
from . import fleet
from . import loopback
from . import prompt_parts
from . import schedules
from . import statements

#: Routes of the calls with a bad part.
PREFIXES = ("/safe/", "/stream-on/")
#: Shortest and longest time until the first bad part is used, in seconds. The
#: sound calls before are compared with those after.
FIRST_S = (2.0, 3.0)
#: Shortest and longest time between two beginnings, in seconds.
INTERVAL_S = (3.0, 9.0)
#: Shortest and longest time for which calls with a bad part are sent.
DURATION_S = (8.0, 12.0)
#: How long a crashed runner may take to be back, in seconds.
RESTART_TIMEOUT_S = 5.0
#: How long after it a runner still counts as disturbed, in seconds.
SETTLE_S = 0.3


class BadTime:
    """A time in which calls with a bad part are sent.

    :param part: the name of the part.
    :param first: whether it is the first part of its calls.
    :param prefix: path prefix of the route of the calls.
    :param since: the beginning, on the machine's monotonic clock.
    :param until: the end.
    """

    __slots__ = ("part", "first", "prefix", "since", "until")

    def __init__(
        self, part: str, first: bool, prefix: str, since: float, until: float
    ) -> None:
        self.part = part
        self.first = first
        self.prefix = prefix
        self.since = since
        self.until = until

    @property
    def parts(self) -> str:
        """The shared parts of the calls, separated by commas."""
        parts = [prompt_parts.COMMON_PART, self.part]
        if self.first:
            parts.reverse()
        return ",".join(parts)


def plan(rng: random.Random, seconds: float) -> schedules.Schedule:
    """Draw when calls with a bad part begin to be sent, one part each.

    :param seconds: length of the period in which they begin.
    """
    schedule = []
    at = rng.uniform(*FIRST_S)
    while at < seconds:
        schedule.append((at, f"bad_part {rng.choice(PREFIXES)}"))
        at += rng.uniform(*INTERVAL_S)
    return schedule


class Injector:
    """Lets calls with bad parts be sent as planned.

    :param rng: source of all random choices.
    :param send: sends calls with a bad part until its time ends.
    """

    __slots__ = ("_fleet", "_rng", "_send", "times")

    def __init__(
        self,
        test_fleet: fleet.Fleet,
        rng: random.Random,
        send: typing.Callable[
            [BadTime, random.Random], typing.Awaitable[None]
        ],
    ) -> None:
        self._fleet = test_fleet
        self._rng = rng
        self._send = send
        self.times: list[BadTime] = []

    async def inject(self, schedule: schedules.Schedule) -> None:
        """Begin each time as scheduled and wait for all to end."""
        watch = asyncio.ensure_future(self.watch_crashes())
        try:
            await schedules.follow(schedule, self._rng, self._begin)
            await asyncio.sleep(prompt_parts.DOWN_S + SETTLE_S)
        finally:
            watch.cancel()

    async def _begin(self, name: str, rng: random.Random) -> None:
        since = time.monotonic()
        bad = BadTime(
            f"{prompt_parts.BAD_PREFIX}{len(self.times)}",
            rng.random() < 0.5,
            name.partition(" ")[2],
            since,
            since + rng.uniform(*DURATION_S),
        )
        self.times.append(bad)
        await self._send(bad, rng)

    async def watch_crashes(self) -> None:
        """Give each runner that has crashed a new incarnation, without end."""
        offset = 0
        while True:
            await asyncio.sleep(child_process.POLL_INTERVAL_S)
            events, offset = self._fleet.record.read_from(offset)
            for event in events:
                if event.kind is statements.Kind.CRASHED:
                    asyncio.ensure_future(self._restart(event))

    async def _restart(self, crash: statements.Event) -> None:
        runner = next(
            (r for r in self._fleet.runners if r.name == crash.runner), None
        )
        if runner is not None:
            runner.link.set_down(True)
            record = self._fleet.record.path
            record.with_name(runner.name + prompt_parts.DOWN_SUFFIX).touch()
            await child_process.wait_until(
                lambda: loopback.is_listening(runner.link.target)
                or not runner.process.is_running,
                RESTART_TIMEOUT_S,
            )
            runner.link.set_down(False)
            if runner in self._fleet.runners and runner.process.is_running:
                runner.reset_incarnation()
                await self._fleet.write_entry(runner, leaving=False)
        self._fleet.disturbances.append(
            statements.Disturbance(
                crash.runner, crash.at - SETTLE_S, time.monotonic() + SETTLE_S
            )
        )
