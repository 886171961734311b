"""Estimates the current load of a runner from old reports.

The load is the number of requests of all VMs in flight at the runner, which
the runner reports from time to time. A load report is out of date: it misses
requests that were sent since and still counts those that have ended. A router
that used it unchanged would send every request of the next seconds to the
runner that was idle when the report was made. Reports are therefore corrected
by the VM's own requests.
"""

import bisect
import collections

from .. import clock as clocks
from . import model as models

#: How long, and how many, past counts of this VM's requests at a runner are
#: kept. A report is corrected by the count at the time at which it was made.
HISTORY_S = 30.0
HISTORY_ENTRIES = 512
#: Age from which a report says nothing about other VMs' requests.
REPORT_TTL_S = 15.0
#: The share of the estimated change of the other VMs' requests since a report
#: that is added to the report.
PEER_CHANGE_SHARE = 0.5
#: Weight of a new report in the averages behind the ratio of the other VMs'
#: requests to this VM's.
RATIO_SMOOTHING = 0.02
#: Upper limit of that ratio.
MAX_RATIO = 50.0


class PeerRatio:
    """The ratio of other VMs' requests to this VM's requests at a pool.

    The other VMs use the same reports and the same policy: when this VM has
    sent more to a runner since its last report, so have they. Without this
    correction, all VMs send to the runner that a report shows as idle, until
    the next report shows it as overloaded.
    """

    __slots__ = ("_others", "_own")

    def __init__(self) -> None:
        self._others = 0.0
        self._own = 0.0

    @property
    def ratio(self) -> float:
        """Requests of other VMs for each request of this VM.

        It is 0 while this VM has had too few requests to tell.
        """
        if self._own < RATIO_SMOOTHING:
            return 0.0
        return min(MAX_RATIO, self._others / self._own)

    def observe(self, others: float, own: int) -> None:
        """Learn from one report.

        :param others: requests of other VMs at the runner.
        :param own: requests of this VM at the runner.
        """
        self._others += RATIO_SMOOTHING * (others - self._others)
        self._own += RATIO_SMOOTHING * (own - self._own)


class RunnerLoad:
    """The requests in flight at one runner: this VM's and, estimated, others'.

    This VM knows its own requests exactly. It computes the others' from the
    last load report, by subtracting its own requests at that time.

    :param slots: requests that the runner runs concurrently, until a report
        gives their number.
    :param peers: the ratio of other VMs' requests to this VM's, which the
        runners of a pool share.
    """

    __slots__ = (
        "_clock",
        "_history",
        "_others",
        "_own",
        "_own_at_report",
        "_peers",
        "_reported_at",
        "_slots",
    )

    def __init__(
        self, clock: clocks.Clock, slots: int, peers: PeerRatio | None = None
    ) -> None:
        self._peers = peers or PeerRatio()
        self._clock = clock
        self._slots = max(1, slots)
        self._own = 0
        self._others = 0.0
        self._own_at_report = 0
        self._reported_at: float | None = None
        self._history: collections.deque[tuple[float, int]] = (
            collections.deque(maxlen=HISTORY_ENTRIES)
        )

    @property
    def slots(self) -> int:
        """Requests that the runner runs concurrently."""
        return self._slots

    @property
    def own(self) -> int:
        """Requests of this VM that are in flight at the runner."""
        return self._own

    def started(self) -> None:
        """Count a request that this VM has sent to the runner."""
        self._change_own(1)

    def finished(self) -> None:
        """Take a request of this VM that has ended off the runner's load."""
        self._change_own(-1)

    def observe(self, report: models.LoadReport) -> None:
        """Apply a load report, unless a newer one was applied before."""
        taken_at = self._clock.now() - report.age_s
        if self._reported_at is not None and taken_at < self._reported_at:
            return
        self._reported_at = taken_at
        self._slots = max(1, report.slots or self._slots)
        total = report.running + report.waiting
        self._own_at_report = self._own_at(taken_at)
        self._others = max(0.0, float(total - self._own_at_report))
        self._peers.observe(self._others, self._own_at_report)

    def in_flight(self, now: float) -> float:
        """The estimated requests of all VMs at the runner now.

        Without a report of the last :data:`REPORT_TTL_S`, only this VM's own
        requests count.
        """
        if self._reported_at is None or now - self._reported_at > REPORT_TTL_S:
            return self._own
        own_change = self._own - self._own_at_report
        others_change = PEER_CHANGE_SHARE * self._peers.ratio * own_change
        return self._own + max(0.0, self._others + others_change)

    def _change_own(self, step: int) -> None:
        now = self._clock.now()
        self._own = max(0, self._own + step)
        self._history.append((now, self._own))
        while self._history[0][0] < now - HISTORY_S:
            self._history.popleft()

    def _own_at(self, when: float) -> int:
        """The number of this VM's requests in flight at a past time."""
        index = bisect.bisect_right(
            self._history, when, key=lambda item: item[0]
        )
        if index:
            return self._history[index - 1][1]
        return 0 if len(self._history) < HISTORY_ENTRIES else self._own
