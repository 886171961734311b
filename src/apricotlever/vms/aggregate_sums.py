"""The sums of aggregates that an aggregator has received and sent."""

import typing

from ..roll_outs import samples as trial_samples

from . import aggregates
from . import count_sums
from . import notices
from . import vm_records


class AggregatorReport:
    """Sums in another aggregator's last report on the VMs that it serves.

    :param heard_at: when the report was received, in monotonic seconds.
    """

    __slots__ = (
        "number",
        "process",
        "loads",
        "silent",
        "refused",
        "trials",
        "heard_at",
    )

    def __init__(
        self, aggregate: aggregates.Aggregate, heard_at: float
    ) -> None:
        self.number = aggregate.number
        self.process = aggregate.process
        self.loads = aggregate.loads
        self.silent = aggregate.silent
        self.refused = aggregate.refused
        self.trials = aggregate.trials
        self.heard_at = heard_at


class LastSent:
    """The sums in the aggregate that was sent last to a group of receivers.

    An aggregate that has nothing new compared with it need not be sent.
    """

    __slots__ = ("_loads", "_notices", "_refused", "_silent", "_trials")

    def __init__(self) -> None:
        self._loads: aggregates.Loads = {}
        self._silent: dict[str, int] = {}
        self._refused: dict[str, int] = {}
        self._trials: trial_samples.Records = {}
        self._notices: list[notices.Record] = []

    def if_changed(
        self, aggregate: aggregates.Aggregate, keepalive: bool
    ) -> aggregates.Aggregate | None:
        """Return an aggregate if it has to be sent, else None.

        The sums of an aggregate that is returned are remembered.

        :param keepalive: whether to send it even without changes.
        """
        same = (
            aggregate.loads,
            aggregate.silent,
            aggregate.refused,
            aggregate.trials,
        ) == (self._loads, self._silent, self._refused, self._trials)
        # Notices that are no longer repeated are nothing new.
        has_notices = aggregate.notices and aggregate.notices != self._notices
        if same and not (
            keepalive or aggregate.entries or aggregate.used or has_notices
        ):
            return None
        self._loads, self._silent = aggregate.loads, aggregate.silent
        self._refused = aggregate.refused
        self._trials = aggregate.trials
        self._notices = aggregate.notices
        return aggregate


def sum_loads(
    records: typing.Sequence[vm_records.VmRecord],
) -> aggregates.Loads:
    """Add up the calls in flight and waiting tokens of VMs, by runner."""
    in_flight = count_sums.sum_counts(record.in_flight for record in records)
    pending = count_sums.sum_counts(record.pending for record in records)
    return {
        runner: (in_flight.get(runner, 0), pending.get(runner, 0))
        for runner in {**in_flight, **pending}
    }
