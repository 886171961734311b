"""To whom a VM tells its records, and what it tells of others.

While a record can go to all others, it does. In a larger fleet a VM gives its
records to the aggregator that it uses, as soon as they are news, and to the
next one more rarely, so that this one can take over. A VM that no aggregator
serves tells the others itself, to some at a time.
"""

import itertools
import random
import typing

from .. import clock as clocks

from . import aggregates
from . import aggregators
from . import collector
from . import digests
from . import peer_loads
from . import peer_table

#: Between two records of a VM that has no news for its aggregator, in looks
#: of :data:`digests.INTERVAL_S`.
IDLE_LOOKS = 2
#: Messages of an aggregator of which one has its own whole record.
WHOLE_EVERY = 10
#: A VM that uses no aggregator is answered once in so long, in seconds.
ANSWER_S = 1.0

Message = digests.Digest | aggregates.Aggregate | aggregates.Tally


class Outgoing:
    """A message and the peer addresses that it goes to."""

    __slots__ = ("message", "receivers")

    def __init__(self, message: Message, receivers: list[str]) -> None:
        self.message = message
        self.receivers = receivers


class Source(typing.Protocol):
    """Makes this VM's records."""

    def record(
        self, number: int, known: list[str], whole: bool, aggregator: str
    ) -> digests.Digest:
        """This VM's next record.

        :param known: peer addresses of other members.
        :param whole: whether it also tells what may be a second old.
        :param aggregator: the VM that it goes to; "" when it goes to all.
        """


class FleetNews:
    """This VM's part in telling the fleet.

    :param source: makes its records.
    :param table: the other VMs.
    """

    __slots__ = (
        "_aggregators",
        "_alive",
        "_answered_at",
        "_choice",
        "_clock",
        "_collector",
        "_data_centre",
        "_flushes",
        "_hears",
        "_is_large",
        "_loads",
        "_looks",
        "_number",
        "_rng",
        "_served",
        "_source",
        "_table",
        "_vm",
    )

    def __init__(
        self,
        clock: clocks.Clock,
        rng: random.Random,
        vm: str,
        data_centre: str,
        table: peer_table.PeerTable,
        source: Source,
    ) -> None:
        self._clock = clock
        self._rng = rng
        self._vm = vm
        self._data_centre = data_centre
        self._table = table
        self._source = source
        self._choice = aggregators.Choice(clock, vm)
        self._collector = collector.Collector(clock, vm)
        self._loads = peer_loads.LoadView(clock, vm)
        self._is_large = False
        self._number = 0
        self._looks = 0
        self._flushes = 0
        #: Data centres of the VMs that may aggregate, as last looked at.
        self._alive: dict[str, str] = {}
        #: The aggregators of all data centres but this VM.
        self._aggregators: list[str] = []
        #: Whether the last message was told for others.
        self._served = False
        self._hears = 0
        self._answered_at: dict[str, float] = {}

    @property
    def aggregator(self) -> str:
        """The VM that tells the others of this one; "" for itself alone."""
        return self._choice.used if self._is_large else ""

    @property
    def is_aggregator(self) -> bool:
        """Whether this VM tells the others of many."""
        return self._is_large and self._choice.is_aggregator

    @property
    def sources(self) -> frozenset[str] | None:
        """The VMs to compare one's news of runners with; None for all.

        Were all compared with all, some would always be a little behind in a
        large fleet, and each would ask for everything again and again.
        """
        if not self.aggregator:
            return None
        if self.is_aggregator:
            followers = (p.vm for p in self._table.alive() if p.follows)
            return frozenset([*self._aggregators, *followers])
        return frozenset({self._choice.used, self._choice.next})

    def uses(self, aggregate: aggregates.Aggregate) -> bool:
        """Whether loads are taken from an aggregate."""
        return aggregate.whole and aggregate.vm == self.aggregator

    @property
    def loads(self) -> peer_loads.PeerLoads:
        """What the other VMs do at the runners."""
        summed = self._loads.loads
        if self.aggregator and summed is not None:
            return summed
        return peer_loads.of_records(self._table.alive())

    def look(self) -> list[Outgoing]:
        """Tell what is due.

        To be called each :data:`digests.INTERVAL_S`.
        """
        self._looks += 1
        before = self.aggregator
        self._is_large = self._table.is_large
        self._note_alive()
        self._choice.tick()
        self._table.summed = bool(self.aggregator)
        if not self.aggregator:
            return [self._to_all()]
        if self.aggregator != before:
            # The one before must not count this VM any more.
            return self._to_aggregators(before)
        return self._to_aggregators() if self._looks % IDLE_LOOKS == 0 else []

    def news(self) -> list[Outgoing]:
        """Tell what has just changed."""
        if not self.aggregator:
            return [self._to_all()]
        if self._choice.used == self._vm:
            # The next message to the others has it.
            return []
        receivers = self._addresses([self._choice.used])
        return [Outgoing(self._record(False), receivers)]

    def flush(self, runners: typing.Container[str]) -> list[Outgoing]:
        """Tell the fleet of the VMs that use this one, and these of the fleet.

        To be called each :data:`collector.FLUSH_S`.

        :param runners: those that live.
        """
        served = [r.vm for r in self._collector.served if r.vm != self._vm]
        serves = self._choice.is_aggregator or bool(served)
        # After the last one has left, others are told once more: of nobody.
        tells, self._served = serves or self._served, serves
        if not self._is_large or not tells:
            return []
        self._flushes += 1
        own = self._record(self._flushes % WHOLE_EVERY == 0)
        cell, whole = self._collector.flush(own, own.number, runners)
        told = []
        if cell is not None:
            others = sorted({*self._aggregators, *self._collector.tellers})
            told.append(Outgoing(cell, self._addresses(others)))
        if whole is not None:
            told.append(Outgoing(whole, self._addresses(served)))
            if self._choice.used == self._vm:
                self._loads.heard(whole)
        return told

    def tally(self, wanted_by: typing.Iterable[str]) -> list[Outgoing]:
        """Tell duty holders what the VMs that use this one have counted.

        :param wanted_by: names of the VMs that need it.
        """
        counts = self._collector.counts
        if not self._is_large or not counts:
            return []
        tally = aggregates.Tally(self._vm, self._table.address, counts)
        others = [vm for vm in wanted_by if vm != self._vm]
        return [Outgoing(tally, self._addresses(others))]

    def record(self, record: digests.Digest) -> list[Outgoing]:
        """Take in the record of another VM; the table has it already."""
        if not self._is_large:
            return []
        is_new = self._collector.record(record)
        if record.aggregator == self._vm:
            return self._serve(record, is_new)
        if record.aggregator or not self._may_answer(record.vm):
            return []
        # It does not know how many there are, and would hear of nobody.
        return [Outgoing(self._record(True), [record.peer_address])]

    def aggregate(self, aggregate: aggregates.Aggregate) -> list[Outgoing]:
        """Take in what an aggregator tells; the table has it already."""
        if not aggregate.whole:
            self._collector.aggregate(aggregate)
            stranger = aggregate.vm not in self._aggregators
            place = self._table.data_centre(aggregate.vm)
            if stranger and place and self._may_answer(aggregate.vm):
                # It knows so few that it takes itself for an aggregator.
                return self._everything(aggregate.peer_address, place)
        elif not aggregate.included:
            # The answer to this VM's first record there.
            self._choice.heard(aggregate.vm)
        elif self._vm in aggregate.included:
            self._choice.heard(aggregate.vm)
            if aggregate.vm == self._choice.used:
                self._loads.heard(aggregate)
        return []

    def _to_all(self) -> Outgoing:
        whole = self._number % digests.WHOLE_EVERY == 0
        return Outgoing(self._record(whole), self._table.receivers())

    def _to_aggregators(self, left: str = "") -> list[Outgoing]:
        """Tell the aggregator and the next, and ask one that is not heard.

        :param left: the aggregator that this VM has just left.
        """
        whole = self._looks % (2 * IDLE_LOOKS) == 0
        named = {self._choice.used, self._choice.next, left} - {"", self._vm}
        told = []
        if named:
            receivers = self._addresses(sorted(named))
            told.append(Outgoing(self._record(whole), receivers))
        unheard = self._table.unheard()
        if unheard:
            # Who uses no aggregator is answered. Parts of a fleet that lost
            # each other find together again by it.
            asking = self._record(True)
            asking.aggregator = ""
            told.append(Outgoing(asking, [self._rng.choice(unheard)]))
        return told

    def _record(self, whole: bool) -> digests.Digest:
        self._number += 1
        record = self._source.record(
            self._number,
            self._table.known() if whole else [],
            whole,
            self.aggregator,
        )
        record.hears = self._hears
        self._loads.sent(record)
        return record

    def _serve(self, record: digests.Digest, is_new: bool) -> list[Outgoing]:
        """Answer a VM that uses this one, if it needs an answer."""
        if self._collector.knows_more(record) and self._may_answer(record.vm):
            return self._everything(record.peer_address, record.data_centre)
        if not is_new:
            return []
        own = self._record(False)
        answer = self._collector.everybody(own, own.number)
        return [Outgoing(answer, [record.peer_address])]

    def _everything(self, receiver: str, data_centre: str) -> list[Outgoing]:
        """Tell one VM all that is known of the fleet."""
        own = self._record(False)
        parts = self._collector.everything(own, own.number, data_centre)
        return [Outgoing(part, [receiver]) for part in parts]

    def _addresses(self, vms: typing.Iterable[str]) -> list[str]:
        return self._table.addresses(vms)

    def _may_answer(self, vm: str) -> bool:
        now = self._clock.now()
        if now - self._answered_at.get(vm, float("-inf")) < ANSWER_S:
            return False
        self._answered_at[vm] = now
        return True

    def _note_alive(self) -> None:
        """Find out who aggregates, if other VMs may."""
        peers = self._table.alive()
        self._hears = len(peers)
        alive = {
            peer.vm: peer.data_centre for peer in peers if not peer.leaving
        }
        if alive == self._alive:
            return
        self._alive = alive
        by_place = dict[str, list[str]]()
        for vm, place in [*alive.items(), (self._vm, self._data_centre)]:
            by_place.setdefault(place, []).append(vm)
        self._choice.set_vms(by_place[self._data_centre])
        found = set(
            itertools.chain.from_iterable(
                map(aggregators.of_data_centre, by_place.values())
            )
        )
        before = set(self._aggregators)
        self._aggregators = sorted(found - {self._vm})
        self._collector.entries.sources = frozenset(found)
        if not before.issuperset(self._aggregators):
            self._collector.tell_again()
