"""The state of one roll-out on a VM: its order, runners and counts of calls.

The counts are compared here to find out whether the new version of the
service is worse than the old one.
"""

import collections
import math

from ..vms import rendezvous

from . import canary_analysis
from . import model
from . import samples
from . import schedule

#: Lengths of the recent time windows whose calls are evaluated in addition to
#: all calls of the roll-out, in seconds. All calls alone would delay the
#: detection of a fault that starts late.
WINDOWS_S = (1.5, 4.0)
#: Minimum time between two snapshots of the call counts, in seconds. The calls
#: of a recent window are the difference from a snapshot.
SNAPSHOT_INTERVAL_S = 0.4
#: Time allowed for the old runners to finish their calls, as a multiple of the
#: mean duration of the slowest route.
DRAIN_FACTOR = 3.0

Counts = dict[samples.SampleKey, samples.Sample]


class RollOut:
    """A roll-out order and its progress, as one VM knows them.

    ``old_runners`` and ``new_runners`` are the runners of the old and the new
    version; ``canaries`` are the new ones that take calls in the present time
    ``slot``. ``own_counts`` are the calls sent by this VM, ``fleet_counts``
    those of all VMs. ``phase`` is the phase of the last evaluation.

    ``uncovered_s`` is the time, in seconds, whose calls the counts don't
    include, on the mean of all VMs.

    The attribute ``stopped_runners`` holds the runners that were old when the
    roll-out was completed; they have stopped.

    :param limits: limits on the exposure to a bad version.
    """

    __slots__ = (
        "order",
        "schedule",
        "old_runners",
        "new_runners",
        "canaries",
        "stopped_runners",
        "own_counts",
        "fleet_counts",
        "phase",
        "slot",
        "uncovered_s",
        "_history",
    )

    def __init__(
        self, order: model.RollOutOrder, limits: model.RollOutLimits
    ) -> None:
        self.order = order
        self.uncovered_s = 0.0
        self.schedule = schedule.Schedule(order.duration_s, limits)
        self.old_runners: frozenset[str] = frozenset()
        self.new_runners: frozenset[str] = frozenset()
        self.canaries: frozenset[str] = frozenset()
        self.stopped_runners: frozenset[str] = frozenset()
        self.own_counts: Counts = {}
        self.fleet_counts: Counts = {}
        self.phase = schedule.Phase.CANARY
        self.slot = 0
        #: Snapshots of the fleet-wide counts, oldest first.
        self._history: collections.deque[tuple[float, Counts]] = (
            collections.deque()
        )

    @property
    def progress(self) -> schedule.Progress:
        """The fleet-wide numbers of calls and runners of the roll-out."""
        calls_by_route: dict[str, int] = {}
        for key, sample in self.fleet_counts.items():
            calls_by_route[key.route] = (
                calls_by_route.get(key.route, 0) + sample.calls
            )
        return schedule.Progress(
            sum(s.calls for key, s in self.fleet_counts.items() if key.runner),
            calls_by_route,
            len(self.old_runners),
            len(self.new_runners),
            self.uncovered_s,
        )

    def select_canaries(self) -> None:
        """Select the new runners that take calls in the current time slot."""
        count = self.schedule.canaries(
            len(self.old_runners), len(self.new_runners)
        )
        ranked = rendezvous.rank(self.order.version, self.new_runners)
        if count == 1:
            ranked = [ranked[self.slot % len(ranked)]]
        self.canaries = frozenset(ranked[:count])

    def update_drain_time(self) -> None:
        """Set how long the old runners need to finish their calls.

        The time is estimated from the durations of calls at the old version.
        """
        longest = max(
            (
                sample.last_byte.mean
                for key, sample in self.fleet_counts.items()
                if not key.runner and sample.last_byte.count
            ),
            default=None,
        )
        if longest is not None:
            self.schedule.set_drain_time(DRAIN_FACTOR * math.exp(longest))

    def evaluate(self, now: float) -> canary_analysis.Finding | None:
        """Check whether the service's new version is worse than the old one.

        The fleet-wide calls since the start of the roll-out are compared, and
        then those of each window in :data:`WINDOWS_S`.

        :param now: time of a monotonic clock, in seconds.
        :returns: the first finding; None if there is no evidence.
        """
        all_counts = [
            self.fleet_counts,
            *(self._recent_counts(now, s) for s in WINDOWS_S),
        ]
        self._take_snapshot(now)
        return next(filter(None, map(_evaluate_counts, all_counts)), None)

    def evaluate_final(self) -> canary_analysis.Finding | None:
        """Check the service's new version a last time before its takeover.

        All fleet-wide calls are compared, with lower thresholds than in
        :meth:`evaluate`.

        :returns: the first finding; None if there is no evidence.
        """
        return _evaluate_counts(self.fleet_counts, canary_analysis.FINAL_CHECK)

    def _recent_counts(self, now: float, window_s: float) -> Counts:
        """The fleet-wide counts of the calls in a recent time window.

        :param now: time of a monotonic clock, in seconds.
        :param window_s: minimum length of the window, in seconds.
        :returns: the counts; empty if no snapshot is that old.
        """
        before: Counts = {}
        for taken_at, counts in self._history:
            if now - taken_at < window_s:
                break
            before = counts
        if not before:
            return {}
        empty = samples.Sample()
        return {
            key: sample.since(before.get(key, empty))
            for key, sample in self.fleet_counts.items()
        }

    def _take_snapshot(self, now: float) -> None:
        history = self._history
        if not history or now - history[-1][0] >= SNAPSHOT_INTERVAL_S:
            history.append((now, self.fleet_counts))
        while now - history[0][0] > max(WINDOWS_S) + 2 * SNAPSHOT_INTERVAL_S:
            history.popleft()


def _evaluate_counts(
    counts: Counts,
    thresholds: canary_analysis.Thresholds = canary_analysis.REPEATED_CHECK,
) -> canary_analysis.Finding | None:
    old = {key.route: s for key, s in counts.items() if not key.runner}
    new = {(k.runner, k.route): s for k, s in counts.items() if k.runner}
    return canary_analysis.compare_versions(old, new, thresholds)
