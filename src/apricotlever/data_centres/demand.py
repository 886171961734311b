"""How many runners the prompts of a service keep busy.

Reading prompts is what makes model runners slow for everybody on them, and
it depends on what their caches hold, so the measure is tokens that had to be
read, against the speed at which single long prompts were seen to be read.
"""

import collections
import math
import typing

from .. import clock as clocks

#: Over which the rate is taken, in seconds. Shorter, a burst of a second
#: orders runners that come when it is over; longer, a rising wave is met
#: late.
RATE_S = 4.0
#: Part of a runner's reading speed that may be used. Calls come in clumps:
#: fuller runners answer late although they are idle at times.
BUSY_PART = 1.0
#: Prompts with fewer tokens to read tell more of the way than of reading.
LEAST_SAMPLE_TOKENS = 800
SAMPLES = 64
#: About two seconds of one VM's calls on a busy day.
PRESSURE_SAMPLES = 24
#: What is left of a kept speed with each prompt that tells of less: half of
#: it after 700, some minutes of one VM's.
KEPT_PART = 0.999
#: Which of the speeds seen counts: waiting only makes them smaller.
SPEED_QUANTILE = 0.9
#: Part of a runner's places that may be taken on average.
PLACES_PART = 0.2
#: A VM that was not heard for so long does not count, in seconds. Until then
#: it counts as before: when news is late, the work is still there.
FORGET_S = 5.0
#: How much of their objective first answers take, on average, when runners
#: are as busy as they should be. Above it more runners are needed than the
#: tokens tell: caches were lost, or a runner is slower than the others.
EASY_PRESSURE = 0.6
MOST_PRESSURE_FACTOR = 2.5
#: A single answer counts at most so many times its objective.
MOST_LATE = 3.0
#: Less time of counting than this tells no rate.
LEAST_SPAN_S = 1.0


class WorkCounter:
    """One VM's own work at the runners of one service."""

    __slots__ = ("_kept", "_pressures", "_speeds", "_total")

    def __init__(self) -> None:
        self._total = 0
        #: Of the highest speed seen, less a little for each prompt since.
        self._kept = 0.0
        self._pressures: collections.deque[float] = collections.deque(
            maxlen=PRESSURE_SAMPLES
        )
        self._speeds: collections.deque[float] = collections.deque(
            maxlen=SAMPLES
        )

    @property
    def total(self) -> int:
        """Tokens that runners had to read since the start."""
        return self._total

    @property
    def speed(self) -> float:
        """Tokens per second that a runner reads; 0 while unknown.

        Prompts that waited show less than it. What was seen before counts
        on for a while, or the need would run away when runners are full:
        they seem slower, more are ordered, and all are paid.
        """
        if not self._speeds:
            return 0.0
        ranked = sorted(self._speeds)
        seen = ranked[int(SPEED_QUANTILE * (len(ranked) - 1))]
        return max(seen, self._kept)

    @property
    def pressure(self) -> float:
        """The part of their objective that first answers took."""
        if not self._pressures:
            return 0.0
        return sum(self._pressures) / len(self._pressures)

    def sent(self, tokens: int) -> None:
        """A prompt was sent of which so many tokens are not cached."""
        self._total += tokens

    def read(
        self, tokens: int, took_s: float, objective_s: float = 0.0
    ) -> None:
        """A prompt was read, after a time that includes its waiting."""
        if objective_s > 0.0:
            self._pressures.append(min(MOST_LATE, took_s / objective_s))
        if tokens >= LEAST_SAMPLE_TOKENS and took_s > 0.0:
            self._speeds.append(tokens / took_s)
            if len(self._speeds) == SAMPLES:
                # Of fewer, some that were cached unseen would set it.
                self._kept = KEPT_PART * self.speed


class _Process:
    __slots__ = ("points", "speed", "pressure")

    def __init__(self) -> None:
        self.pressure = 0.0
        self.points: collections.deque[tuple[float, int]] = collections.deque()
        self.speed = 0.0


class Demand:
    """The whole fleet's work at the runners of one service."""

    __slots__ = ("_clock", "_processes", "_since")

    def __init__(self, clock: clocks.Clock) -> None:
        self._clock = clock
        self._processes: dict[str, _Process] = {}
        self._since: float | None = None

    @property
    def known_for_s(self) -> float:
        """How long there has been work."""
        if self._since is None:
            return 0.0
        return self._clock.now() - self._since

    @property
    def rate(self) -> float:
        """Tokens per second that runners have to read."""
        now = self._clock.now()
        return sum(
            _rate_of(process.points)
            for process in self._processes.values()
            if now - process.points[-1][0] < FORGET_S
        )

    @property
    def speed(self) -> float:
        """Tokens per second that one runner reads; 0 while unknown."""
        speeds = sorted(p.speed for p in self._processes.values() if p.speed)
        return speeds[len(speeds) // 2] if speeds else 0.0

    @property
    def pressure(self) -> float:
        """The part of their objective that first answers take."""
        now = self._clock.now()
        told = [
            process.pressure
            for process in self._processes.values()
            if process.pressure and now - process.points[-1][0] < FORGET_S
        ]
        return sum(told) / len(told) if told else 0.0

    def heard(
        self,
        process: str,
        total: int,
        speed: float,
        pressure: float = 0.0,
    ) -> None:
        """Take in a VM's counter, this one's own too."""
        now = self._clock.now()
        known = self._processes.setdefault(process, _Process())
        known.points.append((now, total))
        known.speed = speed
        known.pressure = pressure
        if total and self._since is None:
            self._since = now

    def keep_only(self, processes: typing.Container[str]) -> None:
        """Forget processes that have ended."""
        for process in [p for p in self._processes if p not in processes]:
            del self._processes[process]

    def runners(self, in_flight: int, places: int) -> float:
        """Runners that the work needs.

        :param in_flight: calls at all runners together.
        :param places: calls that one runner takes at once.
        """
        by_places = in_flight / max(1.0, PLACES_PART * places)
        speed = self.speed
        by_reading = self.rate / (BUSY_PART * speed) if speed else 0.0
        factor = self.pressure / EASY_PRESSURE
        by_reading *= min(MOST_PRESSURE_FACTOR, max(1.0, factor))
        return math.ceil(max(1.0, by_places, by_reading) - 1e-9)


def _rate_of(points: collections.deque[tuple[float, int]]) -> float:
    """Tokens per second up to the last point."""
    until, total = points[-1]
    while len(points) > 2 and points[1][0] <= until - RATE_S:
        points.popleft()
    since, before = points[0]
    return (total - before) / max(LEAST_SPAN_S, until - since)
