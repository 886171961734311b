"""Tells runners that fail part of their calls from services that do.

A runner may fail four calls in ten while its health check is good and its
answers to the rest are fast. Failures in a row hardly happen then, so a
circuit breaker that counts them stays closed. What shows it is the share of
failures of all VMs' calls, beside that of the service's other runners: when
all fail alike, the service does, and taking runners out would only leave
fewer of them.
"""

import collections
import itertools
import math
import typing

from .. import clock as clocks

from . import totals

#: Over which calls are counted, in seconds.
WINDOW_S = 4.0
#: A single failure may be chance.
LEAST_FAILURES = 2
#: So rarely may chance alone bring as many failures as a runner shows, at the
#: share of the service's middle runner. Each runner is looked at ten times a
#: second, on calls that are mostly the same ones.
CHANCE = 0.003
#: The share of failures that a service's middle runner counts with at least:
#: of few calls none failing proves little.
LEAST_MIDDLE_SHARE = 0.02
#: Fewer failed calls of all are part of an ordinary day.
LEAST_SHARE = 0.15
#: How long a runner is left out for the first time; doubled each time that it
#: is found again soon after. Nothing is learned of it meanwhile.
FIRST_OUT_S = 3.0
LONGEST_OUT_S = 24.0
#: A runner that did well for so long after its return begins anew.
FORGIVEN_S = 10.0
#: At most this part of a service's runners is left out at once.
MOST_OUT_PART = 0.34

#: For how long the counts of an aggregator stand for those of all VMs, in
#: seconds after they came.
SUMMED_S = 2.0

Counts = totals.Counts


class _Window:
    """Failed and all calls at one runner, by process, as they were told."""

    __slots__ = ("points",)

    def __init__(self) -> None:
        #: Process to points of time, failed and all calls so far.
        self.points: dict[str, collections.deque[tuple[float, int, int]]] = {}

    def add(self, process: str, now: float, failed: int, calls: int) -> None:
        """Take over a process's totals."""
        points = self.points.setdefault(process, collections.deque())
        if not points:
            points.append((now, *totals.first_seen(failed, calls)))
        if calls < points[-1][2]:
            # Who told it counts anew.
            points.clear()
        if not points or (failed, calls) != points[-1][1:]:
            points.append((now, failed, calls))

    def restart(self, now: float) -> None:
        """Count from here on."""
        for points in self.points.values():
            last = points[-1]
            points.clear()
            points.append((now, *last[1:]))

    def recent(self, now: float, but: str = "") -> tuple[int, int]:
        """Failed and all calls within the window.

        :param but: a process that is not counted.
        """
        failed = calls = 0
        for process, points in self.points.items():
            if process == but:
                continue
            while len(points) > 1 and points[1][0] <= now - WINDOW_S:
                points.popleft()
            failed += points[-1][1] - points[0][1]
            calls += points[-1][2] - points[0][2]
        return failed, calls


class _Out:
    __slots__ = ("until", "for_s")

    def __init__(self, until: float, for_s: float) -> None:
        self.until = until
        self.for_s = for_s


class Found:
    """A runner that is left out from now on, and why.

    :param failed: of its calls in the last :data:`WINDOW_S`.
    :param calls: all of them.
    :param others_share: of failures, at the service's middle other runner.
    :param out_s: how long it is left out, in seconds.
    """

    __slots__ = ("runner", "failed", "calls", "others_share", "out_s")

    def __init__(
        self,
        runner: str,
        failed: int,
        calls: int,
        others_share: float,
        out_s: float,
    ) -> None:
        self.runner = runner
        self.failed = failed
        self.calls = calls
        self.others_share = others_share
        self.out_s = out_s

    @property
    def inputs(self) -> dict[str, str | int | float]:
        """What decided it, for the log."""
        return {name: getattr(self, name) for name in self.__slots__}


class Outliers:
    """Failures at the runners of all services, as all VMs tell them.

    :param process: names this VM's process.
    """

    __slots__ = (
        "_clock",
        "_out",
        "_own",
        "_process",
        "_summed_until",
        "_windows",
    )

    def __init__(self, clock: clocks.Clock, process: str) -> None:
        self._clock = clock
        self._process = process
        self._own: Counts = {}
        self._windows: dict[str, _Window] = {}
        self._out: dict[str, _Out] = {}
        #: Until when this VM's own counts are in what others tell.
        self._summed_until = float("-inf")

    @property
    def own(self) -> Counts:
        """This VM's failed and all calls by runner, since its start."""
        return self._own

    @property
    def left_out(self) -> frozenset[str]:
        """Runners that get no calls while others can take them."""
        now = self._clock.now()
        return frozenset(r for r, out in self._out.items() if now < out.until)

    def ended(self, runner: str, failed: bool) -> None:
        """A call of this VM at a runner is over."""
        before = self._own.get(runner, (0, 0))
        self._own[runner] = (before[0] + failed, before[1] + 1)
        self._note(self._process, runner, self._own[runner])

    def heard(
        self,
        process: str,
        counts: typing.Mapping[str, typing.Any],
        summed: bool = False,
    ) -> None:
        """Take in another VM's counts.

        :param summed: whether they are of all VMs, this one included.
        """
        if summed and counts:
            self._summed_until = self._clock.now() + SUMMED_S
        for runner, told in counts.items():
            self._note(process, runner, tuple(told))

    def judge(
        self, services: typing.Iterable[typing.Sequence[str]]
    ) -> list[Found]:
        """Find runners that fail more than the others of their service.

        :param services: the runners of each service.
        :returns: those that are left out from now on.
        """
        return list(
            itertools.chain.from_iterable(map(self._judge_service, services))
        )

    def keep_only(self, runners: typing.Container[str]) -> None:
        """Forget runners that are gone."""
        for known in (self._own, self._windows, self._out):
            for runner in [r for r in known if r not in runners]:
                del known[runner]

    def _judge_service(self, runners: typing.Sequence[str]) -> list[Found]:
        now = self._clock.now()
        own = self._process if now < self._summed_until else ""
        recent = {
            runner: self._windows[runner].recent(now, own)
            for runner in runners
            if runner in self._windows
        }
        found = []
        for runner, (failed, calls) in recent.items():
            if failed < LEAST_FAILURES:
                continue
            others = [c for name, c in recent.items() if name != runner]
            share = _middle_share(others)
            if share is None or not _stands_out(failed, calls, share):
                continue
            out_s = self._leave_out(runner, runners, now)
            if out_s:
                found.append(Found(runner, failed, calls, share, out_s))
        return found

    def _leave_out(
        self, runner: str, runners: typing.Sequence[str], now: float
    ) -> float:
        """Leave a runner out, unless it is or too many are.

        :returns: for how many seconds; 0 if it is not left out anew.
        """
        known = self._out.get(runner)
        if known is not None and now < known.until:
            return 0.0
        out = sum(r in self.left_out for r in runners)
        if out + 1 > max(1.0, MOST_OUT_PART * len(runners)):
            return 0.0
        for_s = FIRST_OUT_S
        if known is not None and now < known.until + FORGIVEN_S:
            for_s = min(LONGEST_OUT_S, 2.0 * known.for_s)
        self._out[runner] = _Out(now + for_s, for_s)
        # What was seen so far has been answered for.
        self._windows[runner].restart(now)
        return for_s

    def _note(
        self, process: str, runner: str, totals: tuple[int, int]
    ) -> None:
        window = self._windows.setdefault(runner, _Window())
        window.add(process, self._clock.now(), *totals)


def _middle_share(others: list[tuple[int, int]]) -> float | None:
    """The share of failures at the middle one of a service's other runners.

    :returns: None when none of them had a call.
    """
    shares = sorted(failed / calls for failed, calls in others if calls)
    return shares[len(shares) // 2] if shares else None


def _stands_out(failed: int, calls: int, others_share: float) -> bool:
    """Whether a runner fails more than chance lets one of its service.

    A fixed number of failures takes seconds to come together where calls are
    few, and comes together by chance where some calls fail anywhere.
    """
    if failed < LEAST_SHARE * calls:
        return False
    share = max(LEAST_MIDDLE_SHARE, others_share)
    return _chance(failed, calls, share) <= CHANCE


def _chance(failed: int, calls: int, share: float) -> float:
    """How likely so many or more of the calls fail, at a share of failures."""
    if share >= 1.0:
        return 1.0
    log_share, log_rest = math.log(share), math.log1p(-share)
    # Log space: the binomial coefficients overflow a float for large counts.
    fewer = sum(
        math.exp(
            math.lgamma(calls + 1)
            - math.lgamma(n + 1)
            - math.lgamma(calls - n + 1)
            + n * log_share
            + (calls - n) * log_rest
        )
        for n in range(failed)
    )
    return 1.0 - fewer
