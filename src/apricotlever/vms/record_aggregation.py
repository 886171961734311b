"""State of the fleet at an aggregator, and the aggregates built from it.

An aggregator receives the status records of the VMs that use it, which it is
said to serve, and the aggregates of the other aggregators. It sums the loads.
Of the other fields it passes on only changes, and repeats each VM's record in
turn to make up for lost messages.
"""

import itertools
import typing

from .. import clock as clocks
from ..roll_outs import samples as trial_samples
from ..runners import call_totals

from . import aggregate_sums
from . import aggregates
from . import count_sums
from . import record_relay
from . import shared_samples
from . import vm_records

#: Seconds between two aggregates.
AGGREGATE_INTERVAL_S = 0.1
#: One aggregate in this many is sent even without changes. It has the age of
#: the last sign of life of each VM, so that the receivers know who is alive.
KEEPALIVE_EVERY = 3
#: One aggregate in this many includes the counts of failed calls and the
#: samples. It is a multiple of :data:`KEEPALIVE_EVERY`, so that an aggregate
#: with them is always sent.
FAILURES_EVERY = 6
#: Seconds for which the loads reported by another aggregator count. If that
#: aggregator has ended, its VMs use another one by this time.
REPORT_VALID_S = 1.0


class _ReportingVm:
    """A VM that sends its status records to this VM itself.

    ``usage`` and ``work`` are those of the last record that had them.
    """

    __slots__ = ("record", "heard_at", "usage", "work")

    def __init__(self, record: vm_records.VmRecord, heard_at: float) -> None:
        self.record = record
        self.heard_at = heard_at
        self.usage = record.usage
        self.work = record.work


class RecordAggregator:
    """Builds aggregates from VMs' records and other aggregators' reports.

    :param vm: name of the aggregator.
    """

    __slots__ = (
        "_sent_to_aggregators",
        "_reports",
        "_clock",
        "_relay",
        "_failures",
        "_flushes",
        "_members",
        "_remote_failures",
        "_samples_for_aggregators",
        "_samples_for_served",
        "_trials",
        "_vm",
        "_sent_to_served",
    )

    def __init__(self, clock: clocks.Clock, vm: str) -> None:
        self._clock = clock
        self._vm = vm
        self._members: dict[str, _ReportingVm] = {}
        self._relay = record_relay.RecordRelay(clock)
        self._reports: dict[str, aggregate_sums.AggregatorReport] = {}
        self._failures = call_totals.CallTotals()
        self._remote_failures = call_totals.CallTotals()
        #: Last trial counts of each process that uses this VM as aggregator.
        self._trials: dict[str, trial_samples.Records] = {}
        #: Samples of the served VMs, and those of all VMs, that were not
        #: passed on yet.
        self._samples_for_aggregators = shared_samples.SampleBuffer()
        self._samples_for_served = shared_samples.SampleBuffer()
        self._flushes = 0
        #: Sums last sent to the other aggregators and to the served VMs.
        self._sent_to_aggregators = aggregate_sums.LastSent()
        self._sent_to_served = aggregate_sums.LastSent()

    @property
    def relay(self) -> record_relay.RecordRelay:
        """The latest record of each VM of the fleet, to be passed on."""
        return self._relay

    @property
    def served(self) -> list[vm_records.VmRecord]:
        """Last records of the live VMs that use this one as aggregator."""
        return [
            member.record
            for member in self._members.values()
            if self._serves(member)
        ]

    @property
    def counts(self) -> dict[str, tuple[typing.Any, typing.Any]]:
        """Usage and work counts of the served VMs, by process."""
        return {
            member.record.process: (member.usage, member.work)
            for member in self._members.values()
            if self._serves(member)
        }

    @property
    def recent_aggregators(self) -> list[str]:
        """Names of the other aggregators that have reported recently."""
        since = self._clock.now() - REPORT_VALID_S
        return [
            vm
            for vm, report in self._reports.items()
            if report.heard_at > since
        ]

    def resend_records(self) -> None:
        """Include all directly received records in the next aggregates again.

        A newly selected aggregator does not have them yet.
        """
        self._relay.resend(self._members)

    def receive_record(self, record: vm_records.VmRecord) -> bool:
        """Merge a status record that its VM sent to this one itself.

        :returns: whether the VM has just begun to use this aggregator.
        """
        now = self._clock.now()
        known = self._members.get(record.vm)
        if known is not None and not record.supersedes(known.record):
            return False
        member = _ReportingVm(record, now)
        if known is not None and known.record.process == record.process:
            member.usage = record.usage or known.usage
            member.work = record.work or known.work
        self._members[record.vm] = member
        serves = self._serves(member)
        self._failures.add_process_counts(
            record.process, record.failures, serves
        )
        if serves and record.samples:
            self._samples_for_aggregators.merge(record.samples)
            self._samples_for_served.merge(record.samples)
        self._update_trials(record)
        self._relay.merge_record(record, now)
        return serves and not (known is not None and self._serves(known))

    def receive_aggregate(self, aggregate: aggregates.Aggregate) -> None:
        """Merge another aggregator's report on the VMs that it serves."""
        now = self._clock.now()
        known = self._reports.get(aggregate.vm)
        if (
            known is not None
            and known.process == aggregate.process
            and known.number >= aggregate.number
        ):
            return
        self._reports[aggregate.vm] = aggregate_sums.AggregatorReport(
            aggregate, now
        )
        self._remote_failures.add_process_counts(
            aggregate.process, aggregate.failures
        )
        self._samples_for_served.merge(aggregate.samples)
        for record in aggregate.entries:
            age_s = aggregate.ages.get(
                record.vm, record_relay.LIVENESS_TIMEOUT_S
            )
            self._relay.merge_record(record, now - age_s)
        for vm, age_s in aggregate.ages.items():
            self._relay.note_heard(vm, now - age_s)
        for process, used in aggregate.used.items():
            self._relay.merge_used(process, used)

    def build_aggregates(
        self,
        own: vm_records.VmRecord,
        number: int,
        runners: typing.Container[str],
    ) -> tuple[aggregates.Aggregate | None, aggregates.Aggregate | None]:
        """Build the next aggregates from what has been received.

        :param own: the aggregator's own next record.
        :param number: sequence number of the aggregates.
        :param runners: identifiers of the live runners.
        :returns: the aggregate for other aggregators and the one for the
            served VMs; None for one that need not be sent.
        """
        self._flushes += 1
        if self._flushes % KEEPALIVE_EVERY == 0:
            self._drop_ended(runners)
        self._drop_old_reports()
        self.receive_record(own)
        served = self.served
        keepalive = self._flushes % KEEPALIVE_EVERY == 0
        entries = self._relay.select_due(
            KEEPALIVE_EVERY * AGGREGATE_INTERVAL_S if keepalive else 0.0
        )
        ages = self._relay.ages(None if keepalive else entries)
        used = self._relay.take_changed_used()
        own_processes = {m.record.process for m in self._members.values()}
        failures = self._flushes % FAILURES_EVERY == 0
        loads = aggregate_sums.sum_loads(served)
        silent = count_sums.count_lists(record.silent for record in served)
        refused = count_sums.count_lists(record.refused for record in served)
        trials = trial_samples.sum_records(self._trials.values())
        report = aggregates.Aggregate(
            own.vm,
            own.incarnation,
            number,
            own.peer_address,
            False,
            [entry for entry in entries if entry.vm in self._members],
            self._own_ages(ages),
            {name: used[name] for name in used if name in own_processes},
            loads,
            silent,
            dict(self._failures.sums) if failures else None,
            trials=trials,
            samples=(
                self._samples_for_aggregators.take(
                    shared_samples.MAX_KEYS_PER_AGGREGATE
                )
                if failures
                else None
            ),
            notices=own.notices,
            refused=refused,
        )
        reports = list(self._reports.values())
        whole = aggregates.Aggregate(
            own.vm,
            own.incarnation,
            number,
            own.peer_address,
            True,
            entries,
            ages,
            used,
            count_sums.sum_pairs([loads, *(each.loads for each in reports)]),
            count_sums.sum_counts(
                [silent, *(each.silent for each in reports)]
            ),
            self._all_failures() if failures else None,
            {record.vm: record.number for record in served},
            trial_samples.sum_records(
                [trials, *(each.trials for each in reports)]
            ),
            (
                self._samples_for_served.take(
                    shared_samples.MAX_KEYS_PER_AGGREGATE
                )
                if failures
                else None
            ),
            own.notices,
            count_sums.sum_counts(
                [refused, *(each.refused for each in reports)]
            ),
        )
        return (
            self._sent_to_aggregators.if_changed(report, keepalive),
            self._sent_to_served.if_changed(whole, keepalive),
        )

    def needs_catch_up(self, record: vm_records.VmRecord) -> bool:
        """Whether a served VM hears from fewer VMs than are known here.

        That VM has just started, or messages about some VMs were lost. It can
        then be sent the :meth:`full_state`.

        :param record: the last record of the served VM.
        """
        return record.hears + 1 < self._relay.count_propagated()

    def ages_message(
        self, own: vm_records.VmRecord, number: int
    ) -> aggregates.Aggregate:
        """Build the answer to the first record of a newly served VM.

        It has only the seconds since the last sign of life of each live VM.

        :param own: a record of this VM.
        :param number: sequence number of the aggregate.
        """
        return aggregates.Aggregate(
            own.vm,
            own.incarnation,
            number,
            own.peer_address,
            True,
            ages=self._relay.ages(),
            notices=own.notices,
        )

    def full_state(
        self, own: vm_records.VmRecord, number: int, data_centre: str
    ) -> list[aggregates.Aggregate]:
        """Build the aggregates that tell a VM of all the others.

        A VM of a remote data centre is sent only the records of that data
        centre, to find an aggregator there: all VMs of a starting fleet ask
        the few VMs whose addresses they know.

        :param own: a record of this VM.
        :param number: sequence number of the aggregates.
        :param data_centre: data centre of the VM to be told.
        """
        is_local = data_centre == own.data_centre
        records = self._relay.live_records("" if is_local else data_centre)
        return [
            aggregates.Aggregate(
                own.vm,
                own.incarnation,
                number,
                own.peer_address,
                True,
                entries,
                self._relay.ages(entries),
                notices=own.notices,
            )
            for entries in _batches(
                records, record_relay.MAX_RECORDS_PER_MESSAGE
            )
        ]

    def _serves(self, member: _ReportingVm) -> bool:
        return (
            member.record.aggregator == self._vm
            and self._clock.now() - member.heard_at
            <= record_relay.LIVENESS_TIMEOUT_S
        )

    def _update_trials(self, record: vm_records.VmRecord) -> None:
        """Keep the trial counts of a process that this VM serves.

        The last counts of a terminated process are kept; those of a process
        that uses another aggregator are counted there.
        """
        if record.aggregator == self._vm and record.trials:
            self._trials[record.process] = record.trials
        else:
            self._trials.pop(record.process, None)

    def _own_ages(self, vms: typing.Iterable[str]) -> dict[str, float]:
        """Seconds since each VM's own record was received here.

        Ages reported by other aggregators are left out: two aggregators that
        took ages from each other, each time with some delay, would keep VMs
        that have ended alive.
        """
        now = self._clock.now()
        heard_at = {
            vm: self._members[vm].heard_at for vm in vms if vm in self._members
        }
        return {vm: round(now - at, 1) for vm, at in heard_at.items()}

    def _all_failures(self) -> aggregates.Failures:
        return count_sums.sum_pairs(
            [self._failures.sums, self._remote_failures.sums]
        )

    def _drop_old_reports(self) -> None:
        """Drop the reports of aggregators that have fallen silent."""
        since = self._clock.now() - REPORT_VALID_S
        self._reports = {
            vm: report
            for vm, report in self._reports.items()
            if report.heard_at >= since
        }

    def _drop_ended(self, runners: typing.Container[str]) -> None:
        """Drop the state of VMs and runners that have ended."""
        self._relay.drop_expired()
        self._members = {
            vm: member
            for vm, member in self._members.items()
            if vm in self._relay
        }
        processes = {m.record.process for m in self._members.values()}
        self._trials = {
            process: counts
            for process, counts in self._trials.items()
            if process in processes
        }
        self._failures.keep_only(processes)
        self._failures.keep_runners(runners)
        self._remote_failures.keep_runners(runners)


def _batches(
    records: list[vm_records.VmRecord], size: int
) -> typing.Iterator[list[vm_records.VmRecord]]:
    rest = iter(records)
    return iter(lambda: list(itertools.islice(rest, size)), [])
