"""What an aggregator knows of the fleet, and what it tells of it next.

It hears the records of the VMs that use it, and what the other aggregators
tell of theirs. Loads are summed. Of the rest only what has changed is told on,
and each VM's record in turn, so that a message that is lost is made up for.
"""

import itertools
import typing

from .. import clock as clocks
from ..roll_outs import samples
from ..runners import totals

from . import aggregates
from . import digests
from . import fleet_entries
from . import peer_loads

#: Between two messages, in seconds.
FLUSH_S = 0.1
#: Messages of which one is sent without any news, too. It tells how long ago
#: each VM was heard.
ALWAYS_EVERY = 3
#: Messages of which one tells the counts of failures.
FAILURES_EVERY = 6
#: Loads of another aggregator's VMs count for so long, in seconds. It may have
#: ended, and its VMs then use another one by this time.
CELL_S = 1.0


class _Member:
    """A VM whose records come here.

    :param usage: its counts, by the last record that had them.
    """

    __slots__ = ("record", "heard_at", "usage", "work")

    def __init__(self, record: digests.Digest, heard_at: float) -> None:
        self.record = record
        self.heard_at = heard_at
        self.usage = record.usage
        self.work = record.work


class _Cell:
    """What another aggregator tells of the VMs that use it."""

    __slots__ = (
        "number",
        "process",
        "loads",
        "silent",
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
        self.trials = aggregate.trials
        self.heard_at = heard_at


class _Told:
    """The loads that were told last."""

    __slots__ = ("_loads", "_silent", "_trials")

    def __init__(self) -> None:
        self._loads: aggregates.Loads = {}
        self._silent: dict[str, int] = {}
        self._trials: samples.Records = {}

    def news(
        self, aggregate: aggregates.Aggregate, always: bool
    ) -> aggregates.Aggregate | None:
        """The message, if it tells anything new.

        :param always: whether it is to be sent in any case.
        """
        same = (aggregate.loads, aggregate.silent, aggregate.trials) == (
            self._loads,
            self._silent,
            self._trials,
        )
        if same and not (always or aggregate.entries or aggregate.used):
            return None
        self._loads, self._silent = aggregate.loads, aggregate.silent
        self._trials = aggregate.trials
        return aggregate


class Collector:
    """The fleet as one aggregator knows it.

    :param vm: its name.
    """

    __slots__ = (
        "_cell",
        "_cells",
        "_clock",
        "_entries",
        "_failures",
        "_flushes",
        "_members",
        "_others_failures",
        "_trials",
        "_vm",
        "_whole",
    )

    def __init__(self, clock: clocks.Clock, vm: str) -> None:
        self._clock = clock
        self._vm = vm
        self._members: dict[str, _Member] = {}
        self._entries = fleet_entries.FleetEntries(clock)
        self._cells: dict[str, _Cell] = {}
        self._failures = totals.Totals()
        self._others_failures = totals.Totals()
        #: Last counts of the processes that use this VM as aggregator.
        self._trials: dict[str, samples.Records] = {}
        self._flushes = 0
        #: What the other aggregators, and the VMs served, were told last.
        self._cell = _Told()
        self._whole = _Told()

    @property
    def entries(self) -> fleet_entries.FleetEntries:
        """What is known of each VM."""
        return self._entries

    @property
    def served(self) -> list[digests.Digest]:
        """The last records of the VMs that use this one."""
        return [
            member.record
            for member in self._members.values()
            if self._serves(member)
        ]

    @property
    def counts(self) -> dict[str, tuple[typing.Any, typing.Any]]:
        """Usage and work of the VMs that use this one, by process."""
        return {
            member.record.process: (member.usage, member.work)
            for member in self._members.values()
            if self._serves(member)
        }

    @property
    def tellers(self) -> list[str]:
        """The other aggregators that were heard just now."""
        since = self._clock.now() - CELL_S
        return [
            vm for vm, cell in self._cells.items() if cell.heard_at > since
        ]

    def tell_again(self) -> None:
        """Tell all of the VMs whose records come here: somebody is new."""
        self._entries.tell_again(self._members)

    def record(self, record: digests.Digest) -> bool:
        """Take in a VM's own record.

        :returns: whether the VM was not among those that use this one.
        """
        now = self._clock.now()
        known = self._members.get(record.vm)
        if known is not None and not record.supersedes(known.record):
            return False
        member = _Member(record, now)
        if known is not None and known.record.process == record.process:
            member.usage = record.usage or known.usage
            member.work = record.work or known.work
        self._members[record.vm] = member
        serves = self._serves(member)
        self._failures.heard(record.process, record.failures, serves)
        self._note_trials(record)
        self._entries.note(record, now)
        return serves and not (known is not None and self._serves(known))

    def aggregate(self, aggregate: aggregates.Aggregate) -> None:
        """Take in what another aggregator tells of the VMs that use it."""
        now = self._clock.now()
        known = self._cells.get(aggregate.vm)
        if (
            known is not None
            and known.process == aggregate.process
            and known.number >= aggregate.number
        ):
            return
        self._cells[aggregate.vm] = _Cell(aggregate, now)
        self._others_failures.heard(aggregate.process, aggregate.failures)
        for record in aggregate.entries:
            age_s = aggregate.ages.get(record.vm, fleet_entries.HEARD_S)
            self._entries.note(record, now - age_s)
        for vm, age_s in aggregate.ages.items():
            self._entries.heard(vm, now - age_s)
        for process, used in aggregate.used.items():
            self._entries.note_used(process, used)

    def flush(
        self, own: digests.Digest, number: int, runners: typing.Container[str]
    ) -> tuple[aggregates.Aggregate | None, aggregates.Aggregate | None]:
        """What to tell now; None for nothing.

        :param own: the aggregator's own next record.
        :param number: of the messages.
        :param runners: those that live.
        :returns: what other aggregators are told, and what the VMs are that
            use this one.
        """
        self._flushes += 1
        if self._flushes % ALWAYS_EVERY == 0:
            self._forget(runners)
        self._forget_cells()
        self.record(own)
        served = self.served
        always = self._flushes % ALWAYS_EVERY == 0
        entries = self._entries.due(ALWAYS_EVERY * FLUSH_S if always else 0.0)
        ages = self._entries.ages(None if always else entries)
        used = self._entries.take_used()
        own_processes = {m.record.process for m in self._members.values()}
        failures = self._flushes % FAILURES_EVERY == 0
        loads, silent = _loads(served), _silent(served)
        trials = samples.sum_records(self._trials.values())
        cell = aggregates.Aggregate(
            own.vm,
            own.incarnation,
            number,
            own.peer_address,
            False,
            [entry for entry in entries if entry.vm in self._members],
            self._ages_here(ages),
            {name: used[name] for name in used if name in own_processes},
            loads,
            silent,
            dict(self._failures.sums) if failures else None,
            trials=trials,
        )
        cells = list(self._cells.values())
        whole = aggregates.Aggregate(
            own.vm,
            own.incarnation,
            number,
            own.peer_address,
            True,
            entries,
            ages,
            used,
            _added([loads, *(each.loads for each in cells)]),
            peer_loads.summed([silent, *(each.silent for each in cells)]),
            self._all_failures() if failures else None,
            {record.vm: record.number for record in served},
            samples.sum_records([trials, *(each.trials for each in cells)]),
        )
        return (
            self._cell.news(cell, always),
            self._whole.news(whole, always),
        )

    def knows_more(self, record: digests.Digest) -> bool:
        """Whether a VM that uses this one hears fewer VMs than it could.

        It has just started, or messages about some were lost.
        """
        return record.hears + 1 < self._entries.spread()

    def everybody(
        self, own: digests.Digest, number: int
    ) -> aggregates.Aggregate:
        """How long ago each VM was heard, for one that uses this one now."""
        return aggregates.Aggregate(
            own.vm,
            own.incarnation,
            number,
            own.peer_address,
            True,
            ages=self._entries.ages(),
        )

    def everything(
        self, own: digests.Digest, number: int, data_centre: str
    ) -> list[aggregates.Aggregate]:
        """All that is known, for a VM that knows few others.

        :param data_centre: of that VM. In another one than this it is told
            of the VMs there only, to find an aggregator among them: all VMs
            of a fleet that starts ask the few whose addresses they know.
        """
        here = data_centre == own.data_centre
        living = self._entries.living("" if here else data_centre)
        return [
            aggregates.Aggregate(
                own.vm,
                own.incarnation,
                number,
                own.peer_address,
                True,
                entries,
                self._entries.ages(entries),
            )
            for entries in _parts(living, fleet_entries.MOST_ENTRIES)
        ]

    def _serves(self, member: _Member) -> bool:
        return (
            member.record.aggregator == self._vm
            and self._clock.now() - member.heard_at <= fleet_entries.HEARD_S
        )

    def _note_trials(self, record: digests.Digest) -> None:
        """Keep the counts of a process that uses this VM as aggregator.

        The last counts of a terminated process are kept; those of a process
        that uses another aggregator are counted there.
        """
        if record.aggregator == self._vm and record.trials:
            self._trials[record.process] = record.trials
        else:
            self._trials.pop(record.process, None)

    def _ages_here(self, vms: typing.Iterable[str]) -> dict[str, float]:
        """How long ago VMs' own records came here, in seconds.

        Not what other aggregators tell of them: two that took it from each
        other, some moments late each time, would keep the dead alive.
        """
        now = self._clock.now()
        heard_at = {
            vm: self._members[vm].heard_at for vm in vms if vm in self._members
        }
        return {vm: round(now - at, 1) for vm, at in heard_at.items()}

    def _all_failures(self) -> aggregates.Failures:
        return _added([self._failures.sums, self._others_failures.sums])

    def _forget_cells(self) -> None:
        """Forget what aggregators told that are not heard any more."""
        since = self._clock.now() - CELL_S
        self._cells = {
            vm: cell
            for vm, cell in self._cells.items()
            if cell.heard_at >= since
        }

    def _forget(self, runners: typing.Container[str]) -> None:
        """Forget VMs and runners that are gone."""
        self._entries.forget()
        self._members = {
            vm: member
            for vm, member in self._members.items()
            if vm in self._entries
        }
        processes = {m.record.process for m in self._members.values()}
        self._trials = {
            process: told
            for process, told in self._trials.items()
            if process in processes
        }
        self._failures.keep_only(processes)
        self._failures.keep_runners(runners)
        self._others_failures.keep_runners(runners)


def _parts(
    records: list[digests.Digest], size: int
) -> typing.Iterator[list[digests.Digest]]:
    rest = iter(records)
    return iter(lambda: list(itertools.islice(rest, size)), [])


def _loads(records: typing.Sequence[digests.Digest]) -> aggregates.Loads:
    in_flight = peer_loads.summed(record.in_flight for record in records)
    pending = peer_loads.summed(record.pending for record in records)
    return {
        runner: (in_flight.get(runner, 0), pending.get(runner, 0))
        for runner in {**in_flight, **pending}
    }


def _silent(records: typing.Sequence[digests.Digest]) -> dict[str, int]:
    return peer_loads.summed(
        dict.fromkeys(record.silent, 1) for record in records
    )


def _added(
    parts: typing.Iterable[typing.Mapping[str, tuple[int, int]]],
) -> dict[str, tuple[int, int]]:
    """The sums of pairs of counts by name."""
    sums: dict[str, tuple[int, int]] = {}
    for part in parts:
        for name, (one, two) in part.items():
            before = sums.get(name, (0, 0))
            sums[name] = (before[0] + one, before[1] + two)
    return sums
