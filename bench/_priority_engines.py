"""A simple model of engines that order prompts by level, on a fake clock.

Each runner reads one prompt at a time, the one of the lowest level and, within
a level, the first that came. A prompt of a lower level interrupts the one that
is read, which is continued later. A call goes to the runner with the fewest
waiting tokens of two.
"""

import heapq
import itertools
import random
import typing

from apricotlever import clock as clocks

#: Prompt tokens that a runner reads in a second, and the time that passes
#: before its first event whatever the prompt, as the deployment states them.
TOKENS_PER_S = 91_800.0
BASE_S = 0.053
#: Age of the figures of waiting tokens that VMs decide by, in seconds.
REPORT_S = 0.1
#: Age of the reports of what customers sent, in seconds.
DEMAND_S = 1.0


class Route:
    """A route: its rank, objective, calls and prompts.

    :param share: part of all calls.
    :param tokens: mean uncached tokens of a prompt.
    :param whole: mean tokens of the whole prompt.
    """

    __slots__ = ("rank", "objective_s", "share", "tokens", "shared")

    def __init__(
        self,
        rank: int,
        objective_s: float,
        share: float,
        tokens: float,
        shared: int,
    ) -> None:
        self.rank = rank
        self.objective_s = objective_s
        self.share = share
        self.tokens = tokens
        self.shared = shared


class Call:
    """A call and, once it has one, the time of its first event."""

    __slots__ = ("at", "route", "customer", "tokens", "left", "first_at")

    def __init__(
        self, at: float, route: Route, customer: int, tokens: int
    ) -> None:
        self.at = at
        self.route = route
        self.customer = customer
        self.tokens = tokens
        self.left = float(tokens)
        self.first_at: float | None = None

    @property
    def in_time(self) -> bool:
        """Whether the first event came within the objective."""
        return (
            self.first_at is not None
            and self.first_at - self.at <= self.route.objective_s
        )


class Rule(typing.Protocol):
    """Decides the levels of calls."""

    def level(self, call: Call) -> int:
        """The level of a call that is sent now."""

    def observe(self, waiting: dict[str, int], sent: dict[int, int]) -> None:
        """Apply the tokens waiting by runner, and sent by customer."""


class _Runner:
    """The prompts that wait at one runner."""

    __slots__ = ("_queue", "_numbers", "_read_at")

    def __init__(self) -> None:
        self._queue: list[tuple[int, int, Call]] = []
        self._numbers = itertools.count()
        self._read_at = 0.0

    @property
    def waiting(self) -> int:
        """Tokens that have not been read yet."""
        return int(sum(call.left for _, _, call in self._queue))

    def add(self, level: int, call: Call) -> None:
        """Queue a call; it comes first if its level is the lowest."""
        heapq.heappush(self._queue, (level, next(self._numbers), call))

    def take_all(self) -> list[tuple[int, Call]]:
        """Remove all calls, as the runner has crashed."""
        found, self._queue = self._queue, []
        return [(level, call) for level, _, call in found]

    def read_until(self, now: float) -> None:
        """Read prompts up to a time."""
        while self._queue and self._read_at < now:
            call = self._queue[0][2]
            needed_s = call.left / TOKENS_PER_S
            if self._read_at + needed_s > now:
                call.left -= (now - self._read_at) * TOKENS_PER_S
                break
            self._read_at += needed_s
            call.first_at = self._read_at + BASE_S
            heapq.heappop(self._queue)
        self._read_at = now


def simulate(
    calls: list[Call],
    rule: Rule,
    clock: clocks.ManualClock,
    runners: int,
    crash: tuple[float, int] | None,
    rng: random.Random,
) -> None:
    """Serve calls, and set the time of the first event of each.

    :param calls: in the order of their times.
    :param crash: when runners crash, and how many; their calls go elsewhere.
    """
    engines = [_Runner() for _ in range(runners)]
    sent: dict[int, int] = {}
    reports: list[tuple[float, dict[int, int]]] = []
    report_at = 0.0
    for call in calls:
        clock.advance(call.at - clock.now())
        for engine in engines:
            engine.read_until(call.at)
        if crash is not None and call.at >= crash[0]:
            lost = [each for e in engines[: crash[1]] for each in e.take_all()]
            engines, crash = engines[crash[1] :], None
            for level, moved in lost:
                rng.choice(engines).add(level, moved)
        if call.at >= report_at:
            report_at = call.at + REPORT_S
            reports.append((call.at, sent))
            sent = {}
            due: dict[int, int] = {}
            while reports and reports[0][0] <= call.at - DEMAND_S:
                for customer, tokens in reports.pop(0)[1].items():
                    due[customer] = due.get(customer, 0) + tokens
            rule.observe(
                {f"r{n}": e.waiting for n, e in enumerate(engines)}, due
            )
        sent[call.customer] = sent.get(call.customer, 0) + call.tokens
        one, two = rng.sample(engines, 2)
        target = one if one.waiting <= two.waiting else two
        target.add(rule.level(call), call)
    end = clock.now() + 60.0
    for engine in engines:
        engine.read_until(end)
