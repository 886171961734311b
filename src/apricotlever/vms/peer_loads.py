"""What the other VMs do at the runners, whichever way it was told."""

import collections
import typing

from .. import clock as clocks
from ..roll_outs import samples

from . import aggregates
from . import digests

#: This VM's records that an aggregate may be about, kept for so long, in
#: seconds: from a record to the aggregate that includes it.
KEPT_S = 3.0

Counts = dict[str, int]


class PeerLoads:
    """What the other VMs do at each runner.

    :param in_flight: their calls.
    :param pending: prompt tokens that wait for them.
    :param silent: how many of them hear nothing from it.
    :param failures: failed and all calls, by who counted them.
    :param summed: whether the failures are those of all VMs, this one
        included.
    :param trials: counts of calls at old and new versions; includes those of
        this VM if the loads are summed.
    """

    __slots__ = (
        "in_flight",
        "pending",
        "silent",
        "failures",
        "summed",
        "trials",
    )

    def __init__(
        self,
        in_flight: Counts,
        pending: Counts,
        silent: Counts,
        failures: dict[str, aggregates.Failures],
        summed: bool = False,
        trials: samples.Records | None = None,
    ) -> None:
        self.in_flight = in_flight
        self.pending = pending
        self.silent = silent
        self.failures = failures
        self.summed = summed
        self.trials = trials or {}


def of_records(records: typing.Sequence[digests.Digest]) -> PeerLoads:
    """What the others do, by a record of each."""
    return PeerLoads(
        summed(record.in_flight for record in records),
        summed(record.pending for record in records),
        summed(dict.fromkeys(record.silent, 1) for record in records),
        {record.process: record.failures for record in records},
        trials=samples.sum_records(record.trials for record in records),
    )


def summed(parts: typing.Iterable[typing.Mapping[str, int]]) -> Counts:
    """The sums of counts by name."""
    sums: Counts = {}
    for part in parts:
        for name, count in part.items():
            sums[name] = sums.get(name, 0) + count
    return sums


class _Sent:
    """This VM's part of the loads, as one of its records told it."""

    __slots__ = ("at", "in_flight", "pending")

    def __init__(self, at: float, in_flight: Counts, pending: Counts) -> None:
        self.at = at
        self.in_flight = in_flight
        self.pending = pending


class LoadView:
    """The other VMs' loads, out of aggregates that include this VM's own.

    Loads that come are some moments old, and so is this VM's part of them: it
    is taken out as the record told it that they include. With the part of
    this moment instead, a prompt just sent would be counted by nobody.
    """

    __slots__ = ("_clock", "_last", "_loads", "_sent", "_vm")

    def __init__(self, clock: clocks.Clock, vm: str) -> None:
        self._clock = clock
        self._vm = vm
        #: This VM's records by number, the oldest first.
        self._sent: collections.OrderedDict[int, _Sent] = (
            collections.OrderedDict()
        )
        self._loads: PeerLoads | None = None
        #: Process and number of the aggregate that the loads are from.
        self._last = ("", 0)

    @property
    def loads(self) -> PeerLoads | None:
        """What the others do; None before an aggregate came."""
        return self._loads

    def sent(self, record: digests.Digest) -> None:
        """This VM has told a record of its own."""
        now = self._clock.now()
        self._sent[record.number] = _Sent(
            now, record.in_flight, record.pending
        )
        while now - next(iter(self._sent.values())).at > KEPT_S:
            self._sent.popitem(last=False)

    def heard(self, aggregate: aggregates.Aggregate) -> None:
        """Take over loads of the whole fleet, unless they are late."""
        last = (aggregate.process, aggregate.number)
        if last[0] == self._last[0] and last[1] <= self._last[1]:
            return
        self._last = last
        own = self._sent.get(aggregate.included.get(self._vm, -1))
        in_flight = {r: load[0] for r, load in aggregate.loads.items()}
        pending = {r: load[1] for r, load in aggregate.loads.items()}
        if own is not None:
            _take_out(in_flight, own.in_flight)
            _take_out(pending, own.pending)
        self._loads = PeerLoads(
            in_flight,
            pending,
            aggregate.silent,
            {aggregate.process: aggregate.failures},
            summed=True,
            trials=aggregate.trials,
        )


def _take_out(counts: Counts, own: Counts) -> None:
    for name, count in own.items():
        counts[name] = max(0, counts.get(name, 0) - count)
