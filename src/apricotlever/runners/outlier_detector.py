"""Outlier detection: ejects runners that fail part of their calls.

A runner may fail four calls in ten although its health check passes and it
answers the other calls fast. Consecutive failures are rare then, so a
circuit breaker that counts them stays closed. Such a runner is detected by
its failure share over the calls of all VMs, compared with the other runners
of its service. If all runners fail alike, the fault is in the service, and
ejecting runners would only reduce its capacity.

An ejected runner gets no calls for some seconds, as long as other runners can
take them.
"""

import collections
import itertools
import math
import typing

from .. import clock as clocks

from . import call_totals

#: The time over which calls are counted, in seconds.
WINDOW_S = 4.0
#: A runner with fewer failures in the window is not ejected; a single one may
#: be chance.
MIN_FAILURES = 2
#: A runner is ejected if the probability of at least as many failures, at the
#: median failure share of the service's other runners, is at most this. The
#: level is low because each runner is tested ten times a second, on calls
#: that are mostly the same ones.
SIGNIFICANCE_LEVEL = 0.003
#: Lower limit of the median failure share used in that test, because a few
#: calls without a failure prove little.
MIN_MEDIAN_SHARE = 0.02
#: A runner with a lower failure share is not ejected, as such shares occur in
#: normal operation.
MIN_FAILURE_SHARE = 0.15
#: Duration of the first ejection, in seconds. It doubles, up to a maximum,
#: each time that the runner is ejected again soon after. An ejected runner is
#: not observed.
INITIAL_EJECTION_S = 3.0
MAX_EJECTION_S = 24.0
#: A runner that is not ejected for this many seconds after its return starts
#: again with the first duration.
EJECTION_RESET_S = 10.0
#: The largest share of a service's runners that is ejected at once.
MAX_EJECTED_SHARE = 0.34

#: How long counts from an aggregator are taken to cover all VMs, in seconds
#: after they were received.
AGGREGATE_TTL_S = 2.0

#: Failed and total calls by runner.
Counts = call_totals.Counts


class _CallWindow:
    """Counts of failed and total calls at one runner in the last seconds.

    Each VM's process reports its counts since its start, and the window keeps
    those of the last :data:`WINDOW_S` to compute the increments.
    """

    __slots__ = ("samples",)

    def __init__(self) -> None:
        #: Samples of time, failed and total calls so far, by process.
        self.samples: dict[str, collections.deque[tuple[float, int, int]]] = {}

    def add(self, process: str, now: float, failed: int, calls: int) -> None:
        """Add a report of a process.

        :param now: monotonic time in seconds.
        :param failed: failed calls at the runner since the process started.
        :param calls: all calls at the runner since then.
        """
        samples = self.samples.setdefault(process, collections.deque())
        if not samples:
            samples.append((now, *call_totals.baseline_counts(failed, calls)))
        if calls < samples[-1][2]:
            # The process has restarted and counts from 0.
            samples.clear()
        if not samples or (failed, calls) != samples[-1][1:]:
            samples.append((now, failed, calls))

    def restart(self, now: float) -> None:
        """Discard the calls so far, so that only later ones are counted."""
        for samples in self.samples.values():
            last = samples[-1]
            samples.clear()
            samples.append((now, *last[1:]))

    def restart_process(self, process: str, now: float) -> None:
        """Discard the calls of one process so far."""
        samples = self.samples.get(process)
        if samples:
            last = samples[-1]
            samples.clear()
            samples.append((now, *last[1:]))

    def recent(self, now: float, excluded: str = "") -> tuple[int, int]:
        """Failed and total calls of all processes within the window.

        :param excluded: the process whose calls are not counted.
        """
        failed = calls = 0
        for process, samples in self.samples.items():
            if process == excluded:
                continue
            while len(samples) > 1 and samples[1][0] <= now - WINDOW_S:
                samples.popleft()
            failed += samples[-1][1] - samples[0][1]
            calls += samples[-1][2] - samples[0][2]
        return failed, calls


class _EjectionState:
    """The last ejection of a runner.

    :param until: its end, in monotonic seconds.
    """

    __slots__ = ("until", "duration_s")

    def __init__(self, until: float, duration_s: float) -> None:
        self.until = until
        self.duration_s = duration_s


class Ejection:
    """A new ejection of a runner, with its reason.

    :param failed: failed calls in the last :data:`WINDOW_S`.
    :param calls: total calls in that time.
    :param others_share: median failure share of the service's other runners.
    :param out_s: duration of the ejection, in seconds.
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
        """The values behind the decision, for the log."""
        return {name: getattr(self, name) for name in self.__slots__}


class OutlierDetector:
    """Ejects outliers according to the call counts of all VMs.

    Each VM counts its own calls, receives the counts of the others, and
    decides for itself.

    :param process: the name of this VM's process.
    """

    __slots__ = (
        "_clock",
        "_ejections",
        "_own",
        "_process",
        "_aggregate_until",
        "_windows",
    )

    def __init__(self, clock: clocks.Clock, process: str) -> None:
        self._clock = clock
        self._process = process
        self._own: Counts = {}
        self._windows: dict[str, _CallWindow] = {}
        self._ejections: dict[str, _EjectionState] = {}
        #: Until this time, reported counts include this VM's own calls.
        self._aggregate_until = float("-inf")

    @property
    def own_counts(self) -> Counts:
        """This VM's failed and total calls since its start, by runner."""
        return self._own

    @property
    def ejected(self) -> frozenset[str]:
        """Ejected runners, which get no calls while others can take them."""
        now = self._clock.now()
        return frozenset(
            r for r, ejected in self._ejections.items() if now < ejected.until
        )

    def call_ended(self, runner: str, failed: bool) -> None:
        """Count a call of this VM that has ended.

        :param failed: whether the runner failed to answer it.
        """
        before = self._own.get(runner, (0, 0))
        self._own[runner] = (before[0] + failed, before[1] + 1)
        self._record(self._process, runner, self._own[runner])

    def forget_own_calls(self) -> None:
        """Leave this VM's calls so far out of all later decisions.

        To be called when it had lost its paths to the runners, so that its
        failures were none of the runners.
        """
        now = self._clock.now()
        for window in self._windows.values():
            window.restart_process(self._process, now)

    def add_peer_counts(
        self,
        process: str,
        counts: typing.Mapping[str, typing.Any],
        summed: bool = False,
    ) -> None:
        """Apply the counts that another process reported.

        :param process: the other VM's process, or the aggregator's.
        :param counts: failed and total calls by runner.
        :param summed: whether the counts are sums over all VMs, including
            this one.
        """
        if summed and counts:
            self._aggregate_until = self._clock.now() + AGGREGATE_TTL_S
        for runner, reported in counts.items():
            self._record(process, runner, tuple(reported))

    def detect(
        self, services: typing.Iterable[typing.Sequence[str]]
    ) -> list[Ejection]:
        """Eject runners that fail more than the others of their service.

        :param services: the runners of each service.
        :returns: the new ejections.
        """
        return list(
            itertools.chain.from_iterable(
                map(self._detect_in_service, services)
            )
        )

    def keep_only(self, runners: typing.Container[str]) -> None:
        """Discard the counts and ejections of all other runners."""
        for state in (self._own, self._windows, self._ejections):
            for runner in [r for r in state if r not in runners]:
                del state[runner]

    def _detect_in_service(
        self, runners: typing.Sequence[str]
    ) -> list[Ejection]:
        now = self._clock.now()
        own_process = self._process if now < self._aggregate_until else ""
        recent = {
            runner: self._windows[runner].recent(now, own_process)
            for runner in runners
            if runner in self._windows
        }
        ejections = []
        for runner, (failed, calls) in recent.items():
            if failed < MIN_FAILURES:
                continue
            others = [c for name, c in recent.items() if name != runner]
            share = _median_share(others)
            if share is None or not _is_outlier(failed, calls, share):
                continue
            out_s = self._eject(runner, runners, now)
            if out_s:
                ejections.append(Ejection(runner, failed, calls, share, out_s))
        return ejections

    def _eject(
        self, runner: str, runners: typing.Sequence[str], now: float
    ) -> float:
        """Eject a runner, unless it or too many others are ejected.

        :param runners: the runners of its service.
        :returns: the duration in seconds; 0 if the runner is not ejected.
        """
        previous = self._ejections.get(runner)
        if previous is not None and now < previous.until:
            return 0.0
        ejected = sum(r in self.ejected for r in runners)
        if ejected + 1 > max(1.0, MAX_EJECTED_SHARE * len(runners)):
            return 0.0
        duration_s = INITIAL_EJECTION_S
        if previous is not None and now < previous.until + EJECTION_RESET_S:
            duration_s = min(MAX_EJECTION_S, 2.0 * previous.duration_s)
        self._ejections[runner] = _EjectionState(now + duration_s, duration_s)
        # Failures that led to this ejection must not lead to another one.
        self._windows[runner].restart(now)
        return duration_s

    def _record(
        self, process: str, runner: str, totals: tuple[int, int]
    ) -> None:
        window = self._windows.setdefault(runner, _CallWindow())
        window.add(process, self._clock.now(), *totals)


def _median_share(others: list[tuple[int, int]]) -> float | None:
    """The median failure share of a service's other runners.

    :returns: the upper median for an even number of runners; None if none of
        them had a call.
    """
    shares = sorted(failed / calls for failed, calls in others if calls)
    return shares[len(shares) // 2] if shares else None


def _is_outlier(failed: int, calls: int, others_share: float) -> bool:
    """Whether a runner's failures are too many to be chance.

    A fixed number of failures would not work: it takes seconds to reach at
    low call rates, and is reached by chance in a service where some calls
    fail at every runner.
    """
    if failed < MIN_FAILURE_SHARE * calls:
        return False
    share = max(MIN_MEDIAN_SHARE, others_share)
    return _tail_probability(failed, calls, share) <= SIGNIFICANCE_LEVEL


def _tail_probability(failed: int, calls: int, share: float) -> float:
    """The binomial probability of at least so many failures by chance.

    :param share: the probability that a single call fails.
    """
    if share >= 1.0:
        return 1.0
    log_share, log_rest = math.log(share), math.log1p(-share)
    # Log space: the binomial coefficients overflow a float for large counts.
    fewer_probability = sum(
        math.exp(
            math.lgamma(calls + 1)
            - math.lgamma(n + 1)
            - math.lgamma(calls - n + 1)
            + n * log_share
            + (calls - n) * log_rest
        )
        for n in range(failed)
    )
    return 1.0 - fewer_probability
