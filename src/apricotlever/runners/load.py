"""What a runner's load is now, from old reports and own requests.

A report tells the past: requests sent since are missing from it, and those
that ended since are still in it. A router that believes it as it stands
sends every request of the next seconds to the runner that was idle then.
"""

import bisect
import collections

from .. import clock as clocks
from . import model as models

#: Own counts older than this are not needed to read a report.
HISTORY_S = 30.0
HISTORY_ENTRIES = 512
#: A report this old says nothing about other VMs' requests any more.
STALE_S = 15.0
#: The part of the others' likely change that is believed.
HERD_PART = 0.5
RATIO_RATE = 0.02
MOST_RATIO = 50.0


class PeerRatio:
    """How many requests other VMs have at a pool for one of this VM's.

    The other VMs see the same reports and reckon alike: when this one has
    sent more to a runner since its last report, so have they. Without this,
    all send to the runner that a report shows idle until the next report
    shows it overfilled.
    """

    __slots__ = ("_others", "_own")

    def __init__(self) -> None:
        self._others = 0.0
        self._own = 0.0

    @property
    def ratio(self) -> float:
        """Requests of the others for each own one."""
        if self._own < RATIO_RATE:
            return 0.0
        return min(MOST_RATIO, self._others / self._own)

    def observe(self, others: float, own: int) -> None:
        """Learn from one report."""
        self._others += RATIO_RATE * (others - self._others)
        self._own += RATIO_RATE * (own - self._own)


class RunnerLoad:
    """The requests in flight at one runner.

    :param slots: requests that the runner runs side by side.
    :param peers: shared by the runners of a pool.
    """

    __slots__ = (
        "_clock",
        "_history",
        "_others",
        "_own",
        "_own_then",
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
        self._own_then = 0
        self._reported_at: float | None = None
        self._history: collections.deque[tuple[float, int]] = (
            collections.deque(maxlen=HISTORY_ENTRIES)
        )

    @property
    def slots(self) -> int:
        """Requests that the runner runs side by side."""
        return self._slots

    @property
    def own(self) -> int:
        """Requests that this VM has in flight there."""
        return self._own

    def started(self) -> None:
        """Count one more request of this VM."""
        self._change(1)

    def finished(self) -> None:
        """Count one request less of this VM."""
        self._change(-1)

    def observe(self, report: models.LoadReport) -> None:
        """Take in a report; one older than the last is dropped."""
        taken_at = self._clock.now() - report.age_s
        if self._reported_at is not None and taken_at < self._reported_at:
            return
        self._reported_at = taken_at
        self._slots = max(1, report.slots or self._slots)
        total = report.running + report.waiting
        self._own_then = self._own_at(taken_at)
        self._others = max(0.0, float(total - self._own_then))
        self._peers.observe(self._others, self._own_then)

    def in_flight(self, now: float) -> float:
        """Requests expected at the runner now, from all VMs."""
        if self._reported_at is None or now - self._reported_at > STALE_S:
            return self._own
        sent = self._own - self._own_then
        grown = HERD_PART * self._peers.ratio * sent
        return self._own + max(0.0, self._others + grown)

    def _change(self, step: int) -> None:
        now = self._clock.now()
        self._own = max(0, self._own + step)
        self._history.append((now, self._own))
        while self._history[0][0] < now - HISTORY_S:
            self._history.popleft()

    def _own_at(self, when: float) -> int:
        """The own count at a moment of the past."""
        index = bisect.bisect_right(
            self._history, when, key=lambda item: item[0]
        )
        if index:
            return self._history[index - 1][1]
        return 0 if len(self._history) < HISTORY_ENTRIES else self._own
