"""What an aggregator knows of the fleet, and what it tells of it next.

It hears the records of the VMs that use it, and what the other aggregators
tell of theirs. Loads are summed. Of the rest only what has changed is told on,
and each VM's record in turn, so that a message that is lost is made up for.
"""

import itertools
import typing

from .. import clock as clocks
from ..runners import totals

from . import aggregates
from . import digests
from . import peer_loads

#: Between two messages, in seconds.
FLUSH_S = 0.1
#: A record that has changed is told so often.
TOLD_TIMES = 2
#: Each VM's record is told again within this time, in seconds.
ROUND_S = 5.0
#: Records of one message, so that it fits into a datagram.
MOST_ENTRIES = 40
#: Messages of which one is sent without any news, too. It tells how long ago
#: each VM was heard.
ALWAYS_EVERY = 3
#: Messages of which one tells the counts of failures.
FAILURES_EVERY = 6
#: A VM not heard for so long, in seconds, is not told of any more.
HEARD_S = 1.6
#: Loads of another aggregator's VMs count for so long, in seconds. It may have
#: ended, and its VMs then use another one by this time.
CELL_S = 1.0
#: All that are told of a VM know it after this time, in seconds.
SPREAD_S = 1.0
#: Crashes of runners that a VM noticed are told again after this time, in
#: seconds, by so many VMs at once: when many runners end, all VMs notice them.
CRASHES_S = 0.5
MOST_CRASHES = 4


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


class _Entry:
    """What is told of one VM.

    :param due: how many messages are still to tell it.
    """

    __slots__ = ("record", "first_at", "heard_at", "due", "told_at")

    def __init__(self, record: digests.Digest, heard_at: float) -> None:
        self.record = record
        self.first_at = heard_at
        self.heard_at = heard_at
        self.due = TOLD_TIMES
        self.told_at = float("-inf")


class _Cell:
    """What another aggregator tells of the VMs that use it."""

    __slots__ = ("number", "process", "loads", "silent", "heard_at")

    def __init__(
        self, aggregate: aggregates.Aggregate, heard_at: float
    ) -> None:
        self.number = aggregate.number
        self.process = aggregate.process
        self.loads = aggregate.loads
        self.silent = aggregate.silent
        self.heard_at = heard_at


class _Told:
    """The loads that were told last."""

    __slots__ = ("_loads", "_silent")

    def __init__(self) -> None:
        self._loads: aggregates.Loads = {}
        self._silent: dict[str, int] = {}

    def news(
        self, aggregate: aggregates.Aggregate, always: bool
    ) -> aggregates.Aggregate | None:
        """The message, if it tells anything new.

        :param always: whether it is to be sent in any case.
        """
        same = (aggregate.loads, aggregate.silent) == (
            self._loads,
            self._silent,
        )
        if same and not (always or aggregate.entries or aggregate.used):
            return None
        self._loads, self._silent = aggregate.loads, aggregate.silent
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
        "_turn",
        "_used",
        "_used_due",
        "_vm",
        "_whole",
        "sources",
    )

    def __init__(self, clock: clocks.Clock, vm: str) -> None:
        self._clock = clock
        self._vm = vm
        self._members: dict[str, _Member] = {}
        self._entries: dict[str, _Entry] = {}
        self._cells: dict[str, _Cell] = {}
        self._used: dict[str, dict[str, float]] = {}
        #: Units let in that were not told on, by process and customer.
        self._used_due: dict[str, dict[str, float]] = {}
        self._failures = totals.Totals()
        self._others_failures = totals.Totals()
        self._flushes = 0
        #: VMs that others compare their news of runners with.
        self.sources: frozenset[str] = frozenset()
        #: What the other aggregators, and the VMs served, were told last.
        self._cell = _Told()
        self._whole = _Told()
        #: Whose turn it was last to be told again.
        self._turn = ""

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
        for vm in self._members:
            self._entries[vm].due = TOLD_TIMES

    def record(self, record: digests.Digest) -> bool:
        """Take in a VM's own record.

        :returns: whether the VM was not among those that use this one.
        """
        now = self._clock.now()
        known = self._members.get(record.vm)
        if known is not None and not _newer(record, known.record):
            return False
        member = _Member(record, now)
        if known is not None and known.record.process == record.process:
            member.usage = record.usage or known.usage
            member.work = record.work or known.work
        self._members[record.vm] = member
        serves = self._serves(member)
        self._failures.heard(record.process, record.failures, serves)
        self._note(record, now)
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
            age_s = aggregate.ages.get(record.vm, HEARD_S)
            self._note(record, now - age_s)
        for vm, age_s in aggregate.ages.items():
            entry = self._entries.get(vm)
            if entry is not None:
                entry.heard_at = max(entry.heard_at, now - age_s)
        for process, used in aggregate.used.items():
            self._note_used(process, used)

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
        self._forget(runners)
        self.record(own)
        served = self.served
        entries = self._due_entries()
        ages = self._ages(entries)
        used, self._used_due = self._used_due, {}
        own_processes = {m.record.process for m in self._members.values()}
        failures = self._flushes % FAILURES_EVERY == 0
        loads, silent = _loads(served), _silent(served)
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
        )
        always = self._always
        told = (self._cell.news(cell, always), self._whole.news(whole, always))
        return told

    def knows_more(self, record: digests.Digest) -> bool:
        """Whether a VM that uses this one hears fewer VMs than it could.

        It has just started, or messages about some were lost.
        """
        until = self._clock.now() - SPREAD_S
        living = sum(
            self._lives(entry) and entry.first_at < until
            for entry in self._entries.values()
        )
        return record.hears + 1 < living

    def everybody(
        self, own: digests.Digest, number: int
    ) -> aggregates.Aggregate:
        """How long ago each VM was heard, for one that uses this one now."""
        records = [entry.record for entry in self._entries.values()]
        return aggregates.Aggregate(
            own.vm,
            own.incarnation,
            number,
            own.peer_address,
            True,
            ages=self._ages_of(records),
        )

    def everything(
        self, own: digests.Digest, number: int, data_centre: str
    ) -> list[aggregates.Aggregate]:
        """All that is known, for a VM that knows few others.

        :param data_centre: of that VM. In another one than this it is told
            of the VMs there only, to find an aggregator among them: all VMs
            of a fleet that starts ask the few whose addresses they know.
        """
        everybody = data_centre == own.data_centre
        living = [
            self._with_used(entry.record)
            for entry in self._entries.values()
            if self._lives(entry)
            and (everybody or entry.record.data_centre == data_centre)
        ]
        return [
            aggregates.Aggregate(
                own.vm,
                own.incarnation,
                number,
                own.peer_address,
                True,
                entries,
                self._ages_of(entries),
            )
            for entries in _parts(living, MOST_ENTRIES)
        ]

    def _serves(self, member: _Member) -> bool:
        return (
            member.record.aggregator == self._vm
            and self._clock.now() - member.heard_at <= HEARD_S
        )

    def _lives(self, entry: _Entry) -> bool:
        return self._clock.now() - entry.heard_at <= HEARD_S

    def _note(self, record: digests.Digest, heard_at: float) -> None:
        """Note what is told of a VM, if it is news."""
        known = self._entries.get(record.vm)
        self._note_used(record.process, record.used)
        if known is None or known.record.process != record.process:
            if known is None or record.incarnation > known.record.incarnation:
                self._entries[record.vm] = _Entry(record.rare(), heard_at)
            return
        known.heard_at = max(known.heard_at, heard_at)
        if not _newer(record, known.record):
            return
        before, known.record = known.record, record.rare()
        # Who fetches news asks one of the sources; a change of the others'
        # versions would make each change of a runner one of all VMs.
        is_source = record.follows or record.vm in self.sources
        if known.record.differs(before, is_source):
            known.due = TOLD_TIMES

    def _note_used(
        self, process: str, used: typing.Mapping[str, float]
    ) -> None:
        known = self._used.setdefault(process, {})
        new = {
            customer: units
            for customer, units in used.items()
            if known.get(customer) != units
        }
        if new:
            known.update(new)
            self._used_due.setdefault(process, {}).update(new)

    def _due_entries(self) -> list[digests.Digest]:
        """Records that have changed, and those whose turn it is."""
        now = self._clock.now()
        living = {
            vm: entry
            for vm, entry in sorted(self._entries.items())
            if self._lives(entry)
        }
        # Those that waited longest first: who changes often must not keep
        # the others from being told at all.
        waiting = sorted(living, key=lambda vm: living[vm].told_at)
        changed = [vm for vm in waiting if living[vm].due]
        crashes = [
            vm
            for vm in waiting
            if living[vm].record.crashes
            and now - living[vm].told_at > CRASHES_S
        ]
        turns = self._next_turns(list(living))
        vms = dict.fromkeys(
            [*changed[:MOST_ENTRIES], *crashes[:MOST_CRASHES], *turns]
        )
        for vm in vms:
            entry = living[vm]
            entry.due = max(0, entry.due - 1)
            entry.told_at = now
        return [
            (
                self._with_used(living[vm].record)
                if vm in turns
                else living[vm].record
            )
            for vm in vms
        ]

    def _with_used(self, record: digests.Digest) -> digests.Digest:
        """A record with all units let in, as some may not have been heard."""
        copy = record.rare()
        copy.used = self._used.get(record.process, {})
        return copy

    @property
    def _always(self) -> bool:
        """Whether this flush tells also when there is no news."""
        return self._flushes % ALWAYS_EVERY == 0

    def _next_turns(self, vms: list[str]) -> list[str]:
        """Names of the VMs whose turn it is to be told again."""
        if not self._always:
            return []
        count = -(-len(vms) * ALWAYS_EVERY * FLUSH_S // ROUND_S)
        after = [vm for vm in vms if vm > self._turn]
        turns = (after + vms)[: int(count)]
        self._turn = turns[-1] if turns else ""
        return turns

    def _ages(
        self, entries: typing.Iterable[digests.Digest]
    ) -> dict[str, float]:
        """Ages to tell: of all at times, else of what is told."""
        if self._always:
            entries = [entry.record for entry in self._entries.values()]
        return self._ages_of(entries)

    def _ages_of(
        self, records: typing.Iterable[digests.Digest]
    ) -> dict[str, float]:
        now = self._clock.now()
        return {
            record.vm: round(now - entry.heard_at, 1)
            for record in records
            if self._lives(entry := self._entries[record.vm])
        }

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

    def _forget(self, runners: typing.Container[str]) -> None:
        """Forget who is gone."""
        now = self._clock.now()
        self._cells = {
            vm: cell
            for vm, cell in self._cells.items()
            if now - cell.heard_at <= CELL_S
        }
        if not self._always:
            return
        for vm in [v for v, e in self._entries.items() if _gone(e, now)]:
            del self._entries[vm]
        known = {e.record.process for e in self._entries.values()}
        self._used = {p: u for p, u in self._used.items() if p in known}
        for vm in [v for v in self._members if v not in self._entries]:
            del self._members[vm]
        processes = {m.record.process for m in self._members.values()}
        self._failures.keep_only(processes)
        self._failures.keep_runners(runners)
        self._others_failures.keep_runners(runners)


def _parts(
    records: list[digests.Digest], size: int
) -> typing.Iterator[list[digests.Digest]]:
    rest = iter(records)
    return iter(lambda: list(itertools.islice(rest, size)), [])


def _gone(known: _Member | _Entry, now: float) -> bool:
    return now - known.heard_at > digests.MEMBER_S


def _newer(record: digests.Digest, known: digests.Digest) -> bool:
    return (record.incarnation, record.number) > (
        known.incarnation,
        known.number,
    )


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
