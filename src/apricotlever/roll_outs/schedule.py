"""Computes the traffic share of a new version and the time of its takeover.

The new version of a service is introduced by a roll-out with a time limit and
a limit on the calls that a bad version may receive, the exposure limit.

At first only a few new runners, the canaries, take calls. Each canary gets as
many calls as an old runner, since some faults occur only under load. If that
would exceed the exposure limit, canaries take calls for only part of each
second. The takeover is as late as the time limit allows, so that a fault
detected before the takeover stays within the exposure limit. After the
takeover the old runners stop, and no rollback is possible.
"""

import enum
import typing

from . import model

#: Fraction of the exposure share that the canary phase may use. The rest is
#: headroom for calls sent before a fault is detected.
CANARY_BUDGET_FRACTION = 0.8
#: Fraction of the exposure slack that the canary phase may use.
CANARY_SLACK_FRACTION = 0.5
#: Upper limit of a route's share for the new version before the takeover.
MAX_SHARE = 0.75
#: Fraction of the canary calls that is spread evenly over the routes; the rest
#: follows their traffic. The even part detects faults on rare routes in time.
EQUAL_ROUTES_FRACTION = 0.5
#: Canaries per old runner, as a multiple of the exposure share. The excess
#: compensates for the start-up time of the new runners.
CANARY_FACTOR = 1.5
#: Minimum number of old runners for two or more canaries at a time.
MIN_OLD_RUNNERS_FOR_TWO = 6
#: Length of a slot, in seconds. Canaries take calls for part of each slot; a
#: single canary is replaced by the next runner after it.
SLOT_S = 1.0
#: Minimum number of new runners per old runner for the takeover.
MIN_RUNNER_RATIO = 0.7
#: Time between the result and the time limit: a fraction of the duration, but
#: at least MIN_REPORT_S seconds.
REPORT_FRACTION = 0.05
MIN_REPORT_S = 0.6
#: Upper limit of the drain time before the result: the greater of a fraction
#: of the duration and MAX_DRAIN_S seconds.
MAX_DRAIN_FRACTION = 0.08
MAX_DRAIN_S = 1.0
#: Lower limit of the drain time, in seconds.
MIN_DRAIN_S = 0.3
#: Minimum number of calls at the new version for the takeover.
MIN_CALLS = 20
#: Minimum part of the time since the start that the counts must cover for the
#: takeover. VMs that have ended took theirs with them.
MIN_COVERED_FRACTION = 0.25
#: Minimum time over which the call rate is computed, in seconds.
MIN_RATE_WINDOW_S = 1.0


class Phase(enum.Enum):
    """Phase of a roll-out, by the time elapsed since its start.

    In the first phase, canaries take a share of the calls. In the second, the
    new version takes all calls, if it has had enough calls and has enough
    runners, and the old runners finish theirs. In the last one, the result
    has to be written.
    """

    CANARY = "canary"
    TAKE_OVER = "take_over"
    DUE = "due"


class Progress:
    """Fleet-wide numbers of calls and runners of a roll-out.

    :param new_calls: number of calls sent to the new version.
    :param calls_by_route: number of calls sent to both versions, by route.
    :param old_runners: number of old runners.
    :param new_runners: number of new runners.
    :param uncovered_s: length of the time whose calls the numbers don't
        include, in seconds.
    """

    __slots__ = (
        "new_calls",
        "calls",
        "calls_by_route",
        "old_runners",
        "new_runners",
        "uncovered_s",
    )

    def __init__(
        self,
        new_calls: int,
        calls_by_route: typing.Mapping[str, int],
        old_runners: int,
        new_runners: int,
        uncovered_s: float = 0.0,
    ) -> None:
        self.uncovered_s = uncovered_s
        self.new_calls = new_calls
        self.calls = sum(calls_by_route.values())
        self.calls_by_route = calls_by_route
        self.old_runners = old_runners
        self.new_runners = new_runners

    def may_take_over(self, elapsed_s: float) -> bool:
        """Whether the new version has enough calls and runners to take over.

        Without enough calls, a fault could have gone undetected, or those that
        had shown it could have been forgotten.

        :param elapsed_s: time since the start of the roll-out, in seconds.
        """
        covered_s = elapsed_s - self.uncovered_s
        return (
            self.new_calls >= MIN_CALLS
            and self.new_runners >= MIN_RUNNER_RATIO * self.old_runners
            and covered_s >= MIN_COVERED_FRACTION * elapsed_s
        )


class Schedule:
    """The phases and traffic shares of one roll-out over its duration.

    :param duration_s: time limit in seconds, counted from the start.
    :param limits: limits on the exposure to a bad version.
    """

    __slots__ = ("_limits", "_duration_s", "_drain_s")

    def __init__(self, duration_s: float, limits: model.RollOutLimits) -> None:
        self._duration_s = duration_s
        self._limits = limits
        self._drain_s = self._max_drain_s

    @property
    def due_s(self) -> float:
        """Time at which the result has to be written, in seconds from start.

        It precedes the time limit, so that the result is in the store by then.
        """
        report_s = max(MIN_REPORT_S, REPORT_FRACTION * self._duration_s)
        return max(0.0, self._duration_s - report_s)

    @property
    def take_over_s(self) -> float:
        """Time at which the new version takes over, in seconds from start."""
        return max(0.0, self.due_s - self._drain_s)

    def set_drain_time(self, drain_s: float) -> None:
        """Set how long the old runners need to finish their calls, in seconds.

        The takeover is that much earlier than the result is due. The value
        is clamped to the limits of the drain time.
        """
        limit = self._max_drain_s
        self._drain_s = min(limit, max(MIN_DRAIN_S, drain_s))

    def phase(self, elapsed_s: float) -> Phase:
        """The phase of the roll-out at a time.

        :param elapsed_s: time since the start of the roll-out, in seconds.
        """
        if elapsed_s >= self.due_s:
            return Phase.DUE
        if elapsed_s >= self.take_over_s:
            return Phase.TAKE_OVER
        return Phase.CANARY

    def share(
        self, elapsed_s: float, progress: Progress, route: str = ""
    ) -> float:
        """The share of a route's calls that goes to the new version now.

        :param elapsed_s: time since the start of the roll-out, in seconds.
        :param progress: present numbers of calls and runners.
        :param route: "" for all routes together.
        """
        if not progress.new_runners:
            return 0.0
        if self.phase(elapsed_s) is not Phase.CANARY:
            return 1.0 if progress.may_take_over(elapsed_s) else 0.0
        budget_share = self._budgeted_share(elapsed_s, progress)
        count = self.canaries(progress.old_runners, progress.new_runners)
        regular_share = count / max(1, progress.old_runners)
        active_fraction = min(1.0, budget_share / regular_share)
        if elapsed_s % SLOT_S >= active_fraction * SLOT_S:
            return 0.0
        share = max(budget_share, regular_share) * _route_weight(
            progress, route
        )
        return min(MAX_SHARE, share)

    def canaries(self, old_runners: int, new_runners: int) -> int:
        """The number of canaries: new runners that take calls at a time."""
        canary_ratio = CANARY_FACTOR * self._limits.exposure_share
        minimum = 1 if old_runners < MIN_OLD_RUNNERS_FOR_TWO else 2
        return min(
            new_runners, max(minimum, round(canary_ratio * old_runners))
        )

    def slot(self, elapsed_s: float) -> int:
        """The number of the slot of :data:`SLOT_S` seconds at a time.

        :param elapsed_s: time since the start of the roll-out, in seconds.
        """
        return int(elapsed_s // SLOT_S)

    @property
    def _max_drain_s(self) -> float:
        return max(MAX_DRAIN_S, MAX_DRAIN_FRACTION * self._duration_s)

    def _budgeted_share(self, elapsed_s: float, progress: Progress) -> float:
        """The calls that canaries may still get, as a share of those expected.

        Of the time that the counts don't cover, it is assumed that its part of
        the calls was used.

        :param elapsed_s: time since the start of the roll-out, in seconds.
        :param progress: present numbers of calls and runners.
        """
        calls, new_calls = progress.calls, progress.new_calls
        if not calls:
            return 0.0
        limits = self._limits
        uncovered_s = min(progress.uncovered_s, elapsed_s)
        calls_per_s = calls / max(elapsed_s - uncovered_s, MIN_RATE_WINDOW_S)
        calls += round(calls_per_s * uncovered_s)
        expected_calls = calls_per_s * (self.take_over_s - elapsed_s)
        planned = (
            CANARY_BUDGET_FRACTION
            * limits.exposure_share
            * (calls + expected_calls)
        )
        planned += CANARY_SLACK_FRACTION * limits.exposure_slack
        new_calls += round(planned * uncovered_s / self.take_over_s)
        # The calls so far limit the budget as well, since the number of
        # expected calls may be an overestimate.
        limit = limits.exposure_share * calls + limits.exposure_slack
        if new_calls >= min(planned, limit):
            return 0.0
        return (planned - new_calls) / max(1.0, expected_calls)


def _route_weight(progress: Progress, route: str) -> float:
    """The factor between the new version's share of a route and of all calls.

    Rare routes get a higher share, so that faults on them are detected too.
    """
    calls = progress.calls_by_route.get(route, 0)
    if not calls:
        return 1.0
    equal = progress.calls / (calls * len(progress.calls_by_route))
    return EQUAL_ROUTES_FRACTION * equal + 1.0 - EQUAL_ROUTES_FRACTION
