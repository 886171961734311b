"""Loads that the other VMs put on the runners.

They are summed from the status records of the VMs. A VM that uses an
aggregator takes them from its aggregates, which have sums over all VMs.
"""

import collections
import typing

from .. import clock as clocks
from ..roll_outs import samples

from . import aggregates
from . import count_sums
from . import vm_records

#: Seconds for which the loads of each own record are kept, until an aggregate
#: that includes the record has been received.
SENT_KEPT_S = 3.0


class PeerLoads:
    """Loads that the other VMs put on the runners.

    :param in_flight: number of their calls in flight, by runner.
    :param pending: waiting prompt tokens of their calls, by runner.
    :param silent: number of VMs that find a runner silent, by runner; counts
        this VM, too, if ``from_aggregate`` is set.
    :param failures: counts of failed calls and of all calls, by the process
        that reported them and by runner.
    :param from_aggregate: whether the values come from an aggregate. The
        failures are then those of all VMs, this one included.
    :param trials: counts of calls at old and new versions; includes those of
        this VM if ``from_aggregate`` is set.
    :param refused: number of VMs whose connections a runner has just refused,
        by runner; counts this VM, too, if ``from_aggregate`` is set.
    """

    __slots__ = (
        "in_flight",
        "pending",
        "silent",
        "failures",
        "from_aggregate",
        "trials",
        "refused",
    )

    def __init__(
        self,
        in_flight: count_sums.Counts,
        pending: count_sums.Counts,
        silent: count_sums.Counts,
        failures: dict[str, aggregates.Failures],
        from_aggregate: bool = False,
        trials: samples.Records | None = None,
        refused: count_sums.Counts | None = None,
    ) -> None:
        self.in_flight = in_flight
        self.pending = pending
        self.silent = silent
        self.failures = failures
        self.from_aggregate = from_aggregate
        self.trials = trials or {}
        self.refused = refused or {}


def loads_of_records(
    records: typing.Sequence[vm_records.VmRecord],
) -> PeerLoads:
    """Sum the loads in the status records of the other VMs."""
    return PeerLoads(
        count_sums.sum_counts(record.in_flight for record in records),
        count_sums.sum_counts(record.pending for record in records),
        count_sums.count_lists(record.silent for record in records),
        {record.process: record.failures for record in records},
        trials=samples.sum_records(record.trials for record in records),
        refused=count_sums.count_lists(record.refused for record in records),
    )


class _SentLoads:
    """This VM's own loads as sent with one of its status records."""

    __slots__ = ("at", "in_flight", "pending")

    def __init__(
        self,
        at: float,
        in_flight: count_sums.Counts,
        pending: count_sums.Counts,
    ) -> None:
        self.at = at
        self.in_flight = in_flight
        self.pending = pending


class PeerLoadTracker:
    """Derives the other VMs' loads from aggregates that include this VM.

    The loads in an aggregate are slightly old, and so is this VM's part of
    them. The part subtracted is that of the own record which the aggregate
    includes. If the current loads were subtracted instead, a prompt that has
    just been sent would be missing from the result.
    """

    __slots__ = ("_clock", "_last_aggregate", "_loads", "_sent", "_vm")

    def __init__(self, clock: clocks.Clock, vm: str) -> None:
        self._clock = clock
        self._vm = vm
        #: Loads sent with own records, by sequence number, oldest first.
        self._sent: collections.OrderedDict[int, _SentLoads] = (
            collections.OrderedDict()
        )
        self._loads: PeerLoads | None = None
        #: Process and sequence number of the latest aggregate.
        self._last_aggregate = ("", 0)

    @property
    def loads(self) -> PeerLoads | None:
        """Loads of the other VMs; None before the first aggregate."""
        return self._loads

    def record_sent(self, record: vm_records.VmRecord) -> None:
        """Note the loads that a status record of this VM reports.

        They are subtracted from an aggregate that includes the record.
        """
        now = self._clock.now()
        self._sent[record.number] = _SentLoads(
            now, record.in_flight, record.pending
        )
        while now - next(iter(self._sent.values())).at > SENT_KEPT_S:
            self._sent.popitem(last=False)

    def receive_aggregate(self, aggregate: aggregates.Aggregate) -> None:
        """Set the others' loads from an aggregate that includes this VM's.

        An aggregate is ignored if a later one has been received before it.
        """
        latest = (aggregate.process, aggregate.number)
        if (
            latest[0] == self._last_aggregate[0]
            and latest[1] <= self._last_aggregate[1]
        ):
            return
        self._last_aggregate = latest
        own = self._sent.get(aggregate.included.get(self._vm, -1))
        in_flight = {r: load[0] for r, load in aggregate.loads.items()}
        pending = {r: load[1] for r, load in aggregate.loads.items()}
        if own is not None:
            _subtract(in_flight, own.in_flight)
            _subtract(pending, own.pending)
        self._loads = PeerLoads(
            in_flight,
            pending,
            aggregate.silent,
            {aggregate.process: aggregate.failures},
            from_aggregate=True,
            trials=aggregate.trials,
            refused=aggregate.refused,
        )


def _subtract(counts: count_sums.Counts, own: count_sums.Counts) -> None:
    for name, count in own.items():
        counts[name] = max(0, counts.get(name, 0) - count)
