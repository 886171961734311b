"""Computes the traffic share of a new version and the time of its takeover.

At first only a few new runners, the canaries, take calls. Each gets as many as
an old runner, since some faults occur only under load; if that would exceed
the exposure limit, canaries take calls for only part of each second. The
takeover is as late as the time limit allows, so that a fault detected before
it stays within the limit. After it the old runners stop, and no rollback is
possible.
"""

import enum
import typing

from . import model

#: Part of the exposure share that the canary phase may use. The rest is
#: headroom for calls sent before a fault is detected.
CANARY_BUDGET_PART = 0.8
#: Part of the exposure slack that the canary phase may use.
CANARY_SLACK_PART = 0.5
#: Upper limit of the share of a route before the takeover.
MOST_SHARE = 0.75
#: Part of the canary calls that is spread evenly over the routes; the rest
#: follows their traffic. Keeps detection on rare routes fast enough.
EQUAL_ROUTES_PART = 0.5
#: Canaries per old runner, as a multiple of the exposure share; compensates
#: for the start-up time of the new runners.
CANARY_FACTOR = 1.5
#: With fewer old runners there is only one canary at a time.
ONE_CANARY_BELOW = 6
#: Length of a slot, in seconds. Canaries take calls for part of each slot; a
#: single canary is replaced by the next runner after it.
SLOT_S = 1.0
#: Minimum number of new runners per old runner for the takeover.
LEAST_RUNNER_RATIO = 0.7
#: Time between the result and the time limit: a part of the duration, but at
#: least the given number of seconds.
REPORT_PART = 0.05
LEAST_REPORT_S = 0.6
#: Upper limit of the drain time before the result: the greater of a part of
#: the duration and the given number of seconds.
MOST_DRAIN_PART = 0.08
MOST_DRAIN_S = 1.0
#: Lower limit of the drain time, in seconds.
LEAST_DRAIN_S = 0.3
#: Minimum number of calls at the new version for the takeover.
LEAST_CALLS = 20
#: Minimum time over which the call rate is computed, in seconds.
LEAST_RATE_WINDOW_S = 1.0


class Phase(enum.Enum):
    """Phase of a roll-out, by elapsed time."""

    CANARY = "canary"
    TAKE_OVER = "take_over"
    DUE = "due"


class Progress:
    """Numbers of calls and runners of a roll-out.

    :param new_calls: calls sent to the new version.
    :param by_route: calls sent to both versions, by route.
    :param old_runners: number of old runners.
    :param new_runners: number of new runners.
    """

    __slots__ = (
        "new_calls",
        "calls",
        "by_route",
        "old_runners",
        "new_runners",
    )

    def __init__(
        self,
        new_calls: int,
        by_route: typing.Mapping[str, int],
        old_runners: int,
        new_runners: int,
    ) -> None:
        self.new_calls = new_calls
        self.calls = sum(by_route.values())
        self.by_route = by_route
        self.old_runners = old_runners
        self.new_runners = new_runners

    @property
    def may_take_over(self) -> bool:
        """Whether the new version has enough calls and runners."""
        return (
            self.new_calls >= LEAST_CALLS
            and self.new_runners >= LEAST_RUNNER_RATIO * self.old_runners
        )


class Schedule:
    """The schedule of one roll-out.

    :param duration_s: time limit, counted from the start.
    """

    __slots__ = ("_bounds", "_duration_s", "_drain_s")

    def __init__(self, duration_s: float, bounds: model.Bounds) -> None:
        self._duration_s = duration_s
        self._bounds = bounds
        self._drain_s = self._most_drain_s

    @property
    def due_s(self) -> float:
        """When the result is due, in seconds from the start."""
        before = max(LEAST_REPORT_S, REPORT_PART * self._duration_s)
        return max(0.0, self._duration_s - before)

    @property
    def take_over_s(self) -> float:
        """When all calls move to the new version, from the start."""
        return max(0.0, self.due_s - self._drain_s)

    def expect_drain(self, drain_s: float) -> None:
        """Set the expected drain time of the old runners, within limits."""
        most = self._most_drain_s
        self._drain_s = min(most, max(LEAST_DRAIN_S, drain_s))

    def phase(self, elapsed_s: float) -> Phase:
        """The phase at a time.

        :param elapsed_s: seconds from the start of the roll-out.
        """
        if elapsed_s >= self.due_s:
            return Phase.DUE
        if elapsed_s >= self.take_over_s:
            return Phase.TAKE_OVER
        return Phase.CANARY

    def share(
        self, elapsed_s: float, progress: Progress, route: str = ""
    ) -> float:
        """The share of a route's calls that goes to the new version.

        :param route: "" for all routes together.
        """
        if not progress.new_runners:
            return 0.0
        if self.phase(elapsed_s) is not Phase.CANARY:
            return 1.0 if progress.may_take_over else 0.0
        budgeted = self._budgeted_share(elapsed_s, progress)
        count = self.canaries(progress.old_runners, progress.new_runners)
        loaded = count / max(1, progress.old_runners)
        on_part = min(1.0, budgeted / loaded)
        if elapsed_s % SLOT_S >= on_part * SLOT_S:
            return 0.0
        share = max(budgeted, loaded) * _route_weight(progress, route)
        return min(MOST_SHARE, share)

    def canaries(self, old_runners: int, new_runners: int) -> int:
        """The number of canaries."""
        part = CANARY_FACTOR * self._bounds.exposure_share
        least = 1 if old_runners < ONE_CANARY_BELOW else 2
        return min(new_runners, max(least, round(part * old_runners)))

    def slot(self, elapsed_s: float) -> int:
        """The number of the current slot."""
        return int(elapsed_s // SLOT_S)

    @property
    def _most_drain_s(self) -> float:
        return max(MOST_DRAIN_S, MOST_DRAIN_PART * self._duration_s)

    def _budgeted_share(self, elapsed_s: float, progress: Progress) -> float:
        """The remaining canary calls as a share of the expected calls."""
        calls, new_calls = progress.calls, progress.new_calls
        if not calls:
            return 0.0
        bounds = self._bounds
        per_s = calls / max(elapsed_s, LEAST_RATE_WINDOW_S)
        to_come = per_s * (self.take_over_s - elapsed_s)
        planned = (
            CANARY_BUDGET_PART * bounds.exposure_share * (calls + to_come)
        )
        planned += CANARY_SLACK_PART * bounds.exposure_slack
        # Limits the budget by actual calls, as the forecast may be too high.
        most = bounds.exposure_share * calls + bounds.exposure_slack
        if new_calls >= min(planned, most):
            return 0.0
        return (planned - new_calls) / max(1.0, to_come)


def _route_weight(progress: Progress, route: str) -> float:
    """The factor between a route's share and the mean share."""
    calls = progress.by_route.get(route, 0)
    if not calls:
        return 1.0
    equal = progress.calls / (calls * len(progress.by_route))
    return EQUAL_ROUTES_PART * equal + 1.0 - EQUAL_ROUTES_PART
