"""Exchange of status records between the VMs of a fleet.

In a small fleet each record is sent to all other VMs. In a larger fleet a VM
sends each changed record at once to the aggregator that it uses, which reports
to the other VMs (:mod:`.aggregates`). It sends records less often to the
fallback aggregator, too, so that this one can take over. A VM without an
aggregator sends its records to the other VMs itself, to some at a time.
"""

import itertools
import random
import typing

from .. import clock as clocks

from . import aggregates
from . import aggregator_selection
from . import notices
from . import peer_loads
from . import peer_table
from . import record_aggregation
from . import shared_samples
from . import vm_records

#: Ticks of :data:`vm_records.RECORD_INTERVAL_S` between two records of a VM
#: that has no change to report to its aggregator.
IDLE_TICKS = 2
#: One message of an aggregator in this many has its own full record.
FULL_OWN_RECORD_EVERY = 10
#: Shortest time between two answers to the same VM, in seconds.
ANSWER_INTERVAL_S = 1.0

Message = vm_records.VmRecord | aggregates.Aggregate | aggregates.Tally


class OutgoingMessage:
    """A message of this VM and the peer addresses to send it to."""

    __slots__ = ("message", "receivers")

    def __init__(self, message: Message, receivers: list[str]) -> None:
        self.message = message
        self.receivers = receivers


class RecordSource(typing.Protocol):
    """Builds this VM's status records, for :class:`RecordExchange`."""

    def record(
        self, number: int, known: list[str], whole: bool, aggregator: str
    ) -> vm_records.VmRecord:
        """Build this VM's next record.

        :param number: sequence number of the record.
        :param known: peer addresses of other members.
        :param whole: whether to include the fields that only full records
            have, as these fields may be a second old.
        :param aggregator: VM that is to pass the record on; "" when it is sent
            to all peers.
        """


class RecordExchange:
    """Decides which messages one VM sends in the exchange, and to whom.

    It takes the peers' messages and the passage of time, and returns the
    messages to send. While this VM is an aggregator, they include aggregates.

    :param vm: name of this VM.
    :param data_centre: data centre of this VM.
    :param table: latest records and addresses of the other VMs.
    :param source: builds the records of this VM.
    """

    __slots__ = (
        "_aggregators",
        "_live_data_centres",
        "_answered_at",
        "_selector",
        "_clock",
        "_aggregation",
        "_data_centre",
        "_flushes",
        "_peer_count",
        "_is_large",
        "_loads",
        "_ticks",
        "_notices",
        "_number",
        "_rng",
        "_published",
        "_samples",
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
        source: RecordSource,
    ) -> None:
        self._clock = clock
        self._rng = rng
        self._vm = vm
        self._data_centre = data_centre
        self._table = table
        self._source = source
        self._selector = aggregator_selection.AggregatorSelector(clock, vm)
        self._aggregation = record_aggregation.RecordAggregator(clock, vm)
        self._loads = peer_loads.PeerLoadTracker(clock, vm)
        self._samples = shared_samples.SampleBuffer()
        self._notices = notices.NoticeBoard(clock)
        self._is_large = False
        self._number = 0
        self._ticks = 0
        self._flushes = 0
        #: Data centre of each peer that may be an aggregator, as of the last
        #: tick.
        self._live_data_centres: dict[str, str] = {}
        #: Aggregators of all data centres, without this VM.
        self._aggregators: list[str] = []
        #: Whether this VM reported on others with its last aggregate.
        self._published = False
        self._peer_count = 0
        self._answered_at: dict[str, float] = {}

    @property
    def aggregator(self) -> str:
        """VM that relays this VM's records; "" if it sends them to all."""
        return self._selector.current if self._is_large else ""

    @property
    def is_aggregator(self) -> bool:
        """Whether this VM is an aggregator in a large fleet."""
        return self._is_large and self._selector.is_aggregator

    @property
    def samples(self) -> shared_samples.SampleBuffer:
        """What this VM has counted and will send with its full records."""
        return self._samples

    @property
    def notices(self) -> notices.NoticeBoard:
        """The notices of leaving runners, which each message includes."""
        return self._notices

    @property
    def directory_sources(self) -> frozenset[str] | None:
        """VMs whose directory of runners this VM compares its own with.

        The value is None if it compares its directory with that of all VMs.
        If all VMs of a large fleet compared themselves with all others, some
        would always be slightly behind, and would fetch the whole directory
        repeatedly.
        """
        if not self.aggregator:
            return None
        if self.is_aggregator:
            followers = (p.vm for p in self._table.alive() if p.follows)
            return frozenset([*self._aggregators, *followers])
        return frozenset({self._selector.current, self._selector.fallback})

    def takes_loads_from(self, aggregate: aggregates.Aggregate) -> bool:
        """Whether this VM takes the loads of peers from an aggregate.

        It does so if its own aggregator sent it as a report on all VMs.
        """
        return aggregate.whole and aggregate.vm == self.aggregator

    @property
    def loads(self) -> peer_loads.PeerLoads:
        """Loads that the other VMs put on the runners.

        They come from the aggregator, or else from the records of the peers.
        """
        summed = self._loads.loads
        if self.aggregator and summed is not None:
            return summed
        return peer_loads.loads_of_records(self._table.alive())

    def tick(self) -> list[OutgoingMessage]:
        """Select the aggregator again, and build the messages that are due.

        The caller calls this once in :data:`vm_records.RECORD_INTERVAL_S`.
        """
        self._ticks += 1
        before = self.aggregator
        self._is_large = self._table.is_large
        self._update_aggregators()
        self._selector.tick()
        self._table.is_aggregated = bool(self.aggregator)
        if not self.aggregator:
            return [self._record_for_all()]
        if self.aggregator != before:
            # The record tells the former aggregator to stop counting this VM.
            return self._records_for_aggregators(before)
        return (
            self._records_for_aggregators()
            if self._ticks % IDLE_TICKS == 0
            else []
        )

    def publish_change(self) -> list[OutgoingMessage]:
        """Build the messages that report a change of this VM's status.

        There are none while this VM is an aggregator: its next aggregate
        includes the change.
        """
        if not self.aggregator:
            return [self._record_for_all()]
        if self._selector.current == self._vm:
            # This VM's next aggregate includes the change.
            return []
        receivers = self._addresses([self._selector.current])
        return [OutgoingMessage(self._next_record(False), receivers)]

    def publish_aggregates(
        self, runners: typing.Container[str]
    ) -> list[OutgoingMessage]:
        """Build the aggregates for other aggregators and for served VMs.

        The caller calls this once in
        :data:`record_aggregation.AGGREGATE_INTERVAL_S`.

        :param runners: identifiers of the live runners.
        """
        served = [r.vm for r in self._aggregation.served if r.vm != self._vm]
        serves = self._selector.is_aggregator or bool(served)
        # After the last served VM has left, one more aggregate is sent, which
        # reports on none.
        tells, self._published = serves or self._published, serves
        if not self._is_large or not tells:
            return []
        self._flushes += 1
        whole_own = self._flushes % FULL_OWN_RECORD_EVERY == 0
        own = self._next_record(whole_own)
        if whole_own and self._selector.current == self._vm:
            self._add_samples(own)
        for_aggregators, whole = self._aggregation.build_aggregates(
            own, own.number, runners
        )
        outgoing = []
        if for_aggregators is not None:
            others = sorted(
                {*self._aggregators, *self._aggregation.recent_aggregators}
            )
            outgoing.append(
                OutgoingMessage(for_aggregators, self._addresses(others))
            )
        if whole is not None:
            outgoing.append(OutgoingMessage(whole, self._addresses(served)))
            if self._selector.current == self._vm:
                self._loads.receive_aggregate(whole)
        return outgoing

    def publish_tally(
        self, wanted_by: typing.Iterable[str]
    ) -> list[OutgoingMessage]:
        """Build the message with usage and work counts of the served VMs.

        :param wanted_by: names of the VMs that need the tally.
        """
        counts = self._aggregation.counts
        if not self._is_large or not counts:
            return []
        tally = aggregates.Tally(self._vm, self._table.address, counts)
        others = [vm for vm in wanted_by if vm != self._vm]
        return [OutgoingMessage(tally, self._addresses(others))]

    def receive_record(
        self, record: vm_records.VmRecord
    ) -> list[OutgoingMessage]:
        """Handle a record that a peer sent to this VM itself.

        :param record: the record, which the table already has.
        :returns: messages that answer the peer, if it needs an answer.
        """
        if not self._is_large:
            return []
        is_new = self._aggregation.receive_record(record)
        if record.aggregator == self._vm:
            return self._answer_served(record, is_new)
        if record.aggregator or not self._may_answer_now(record.vm):
            return []
        # The VM does not know yet that the fleet is large, and no aggregator
        # would report to it.
        return [
            OutgoingMessage(self._next_record(True), [record.peer_address])
        ]

    def receive_aggregate(
        self, aggregate: aggregates.Aggregate
    ) -> list[OutgoingMessage]:
        """Handle an aggregate of another VM.

        :param aggregate: the aggregate, whose entries the table already has.
        :returns: messages that answer a VM which is no aggregator by what this
            VM knows, but considers itself one.
        """
        if not aggregate.whole:
            self._aggregation.receive_aggregate(aggregate)
            is_unexpected = aggregate.vm not in self._aggregators
            data_centre = self._table.data_centre(aggregate.vm)
            if (
                is_unexpected
                and data_centre
                and self._may_answer_now(aggregate.vm)
            ):
                # The sender knows so few VMs that it considers itself an
                # aggregator.
                return self._full_state_for(
                    aggregate.peer_address, data_centre
                )
        elif not aggregate.included:
            # An aggregator sends an aggregate without loads in answer to this
            # VM's first record.
            self._selector.record_message(aggregate.vm)
        elif self._vm in aggregate.included:
            self._selector.record_message(aggregate.vm)
            if aggregate.vm == self._selector.current:
                self._loads.receive_aggregate(aggregate)
        return []

    def _record_for_all(self) -> OutgoingMessage:
        whole = self._number % vm_records.FULL_RECORD_EVERY == 0
        record = self._next_record(whole)
        if whole:
            self._add_samples(record)
        return OutgoingMessage(record, self._table.receivers())

    def _records_for_aggregators(
        self, former: str = ""
    ) -> list[OutgoingMessage]:
        """Build records for the aggregators and for one silent address.

        :param former: aggregator that this VM has just left; "" for none.
        """
        whole = self._ticks % (2 * IDLE_TICKS) == 0
        receiving_vms = {
            self._selector.current,
            self._selector.fallback,
            former,
        } - {
            "",
            self._vm,
        }
        outgoing = []
        if receiving_vms:
            receivers = self._addresses(sorted(receiving_vms))
            record = self._next_record(whole)
            if whole and self._selector.current != self._vm:
                self._add_samples(record)
            outgoing.append(OutgoingMessage(record, receivers))
        silent = self._table.silent_addresses()
        if silent:
            # A record without an aggregator is answered. By this exchange the
            # parts of a partitioned fleet find each other again.
            request = self._next_record(True)
            request.aggregator = ""
            outgoing.append(
                OutgoingMessage(request, [self._rng.choice(silent)])
            )
        return outgoing

    def _next_record(self, whole: bool) -> vm_records.VmRecord:
        self._number += 1
        record = self._source.record(
            self._number,
            self._table.known() if whole else [],
            whole,
            self.aggregator,
        )
        record.hears = self._peer_count
        record.notices = self._notices.due()
        self._loads.record_sent(record)
        return record

    def _add_samples(self, record: vm_records.VmRecord) -> None:
        """Move the samples into a record; each is sent in one record only.

        The receiver that adds them up is the aggregator named in the record
        or, without an aggregator, every receiver.
        """
        record.samples = self._samples.take(shared_samples.MAX_KEYS_PER_RECORD)

    def _answer_served(
        self, record: vm_records.VmRecord, is_new: bool
    ) -> list[OutgoingMessage]:
        """Answer a VM that uses this one as aggregator, if necessary.

        :param is_new: whether the VM has just begun to do so.
        """
        if self._aggregation.needs_catch_up(record) and self._may_answer_now(
            record.vm
        ):
            return self._full_state_for(
                record.peer_address, record.data_centre
            )
        if not is_new:
            return []
        own = self._next_record(False)
        answer = self._aggregation.ages_message(own, own.number)
        return [OutgoingMessage(answer, [record.peer_address])]

    def _full_state_for(
        self, receiver: str, data_centre: str
    ) -> list[OutgoingMessage]:
        """Build the messages that tell a VM of all the others known here.

        :param receiver: peer address of that VM.
        :param data_centre: data centre of that VM.
        """
        own = self._next_record(False)
        parts = self._aggregation.full_state(own, own.number, data_centre)
        return [OutgoingMessage(part, [receiver]) for part in parts]

    def _addresses(self, vms: typing.Iterable[str]) -> list[str]:
        return self._table.addresses(vms)

    def _may_answer_now(self, vm: str) -> bool:
        now = self._clock.now()
        if now - self._answered_at.get(vm, float("-inf")) < ANSWER_INTERVAL_S:
            return False
        self._answered_at[vm] = now
        return True

    def _update_aggregators(self) -> None:
        """Select the aggregators again if the live peers have changed."""
        peers = self._table.alive()
        self._peer_count = len(peers)
        alive = {
            peer.vm: peer.data_centre for peer in peers if not peer.leaving
        }
        if alive == self._live_data_centres:
            return
        self._live_data_centres = alive
        by_data_centre = dict[str, list[str]]()
        for vm, data_centre in [*alive.items(), (self._vm, self._data_centre)]:
            by_data_centre.setdefault(data_centre, []).append(vm)
        self._selector.set_candidates(by_data_centre[self._data_centre])
        selected = set(
            itertools.chain.from_iterable(
                map(
                    aggregator_selection.select_aggregators,
                    by_data_centre.values(),
                )
            )
        )
        before = set(self._aggregators)
        self._aggregators = sorted(selected - {self._vm})
        self._aggregation.relay.directory_sources = frozenset(selected)
        if not before.issuperset(self._aggregators):
            self._aggregation.resend_records()
