"""Exchange of messages between this VM and the other VMs of the fleet.

Each VM sends its status record, which tells its state, loads and counts,
several times a second (:mod:`~apricotlever.vms.vm_records`). In a large fleet
it sends the record to its aggregator, a VM that relays the records of others
and reports on them in aggregates and tallies
(:mod:`~apricotlever.vms.aggregates`).

The link sends and receives these messages, and tracks which VMs are alive.
"""

import asyncio
import random
import typing

from .. import clock as clocks
from .. import logs
from ..vms import aggregates
from ..vms import fleet_size
from ..vms import follower_selection
from ..vms import notices
from ..vms import peer_loads
from ..vms import peer_table
from ..vms import record_aggregation
from ..vms import record_exchange
from ..vms import shared_samples
from ..vms import vm_records

from . import local_vm
from . import modes
from . import peer_datagrams
from . import runner_directory as directories
from . import settings
from . import stream_origins
from . import task_supervisor
from . import update_fetcher

#: Minimum time between a status record and the next one that is sent because
#: of a change, in seconds.
MIN_CHANGE_INTERVAL_S = 0.03
#: How long changes are collected into one status record, in seconds. Calls
#: arrive in bursts, and each call changes this VM's record.
CHANGE_BATCH_S = 0.01
#: How long a VM must have followed the store without interruption to count
#: as a stable follower, in seconds.
STABLE_FOLLOWER_S = 2.0
#: Time between two tallies of an aggregator, in seconds. A tally is a message
#: with usage and work counts, for the VMs that may perform the fleet's duties.
TALLY_INTERVAL_S = 1.0


class FleetLink:
    """Sends this VM's messages to the other VMs and receives theirs.

    :param config: this VM's settings.
    :param local: this VM.
    :param directory: this VM's runner directory.
    :param running: runs the periodic tasks of the link.
    """

    __slots__ = (
        "_alive",
        "_clock",
        "_datagrams",
        "_directory",
        "_fetcher",
        "_followers",
        "_following_since",
        "_local",
        "_marks_by_notices",
        "_record_exchange",
        "_size",
        "_publish_scheduled",
        "_table",
        "_tasks",
        "_published_at",
        "_vm",
    )

    def __init__(
        self,
        clock: clocks.Clock,
        rng: random.Random,
        config: settings.NodeSettings,
        local: local_vm.LocalVm,
        directory: directories.RunnerDirectory,
        running: task_supervisor.TaskSupervisor,
    ) -> None:
        self._clock = clock
        self._vm = config.vm
        self._local = local
        self._directory = directory
        self._tasks = running
        self._table = peer_table.PeerTable(
            clock, rng, config.vm, str(config.peers), config.seeds
        )
        self._record_exchange = record_exchange.RecordExchange(
            clock, rng, config.vm, config.data_centre, self._table, local
        )
        mode = config.modes.notices
        self._marks_by_notices = mode is modes.Mode.ON
        if mode is not modes.Mode.OFF:
            # A VM that only observes sends notices, too: without them there
            # would be nothing to observe.
            self._record_exchange.notices.connect(directory)
        self._size = fleet_size.FleetSize(clock)
        self._datagrams = peer_datagrams.PeerSocket(self)
        self._fetcher = update_fetcher.UpdateFetcher(
            clock, local, directory, running, config.peers.host
        )
        self._alive: set[str] = set()
        self._followers = follower_selection.FollowerSelection(
            clock, config.vm
        )
        self._following_since: float | None = None
        self._published_at = float("-inf")
        #: Whether a status record is scheduled because of a change.
        self._publish_scheduled = False

    @property
    def alive(self) -> list[vm_records.VmRecord]:
        """Status records of the VMs that were heard from recently."""
        return self._table.alive()

    @property
    def members(self) -> list[vm_records.VmRecord]:
        """Status records of the VMs that may be alive, even if silent."""
        return self._table.members()

    @property
    def size(self) -> fleet_size.FleetSize:
        """How many VMs fleet-wide amounts are divided among."""
        return self._size

    @property
    def limit_keepers(self) -> dict[str, tuple[str, int]]:
        """Addresses of the other VMs that may be keepers of limits, by name.

        The keeper of a limit admits the calls of a customer for all VMs.
        """
        return {
            peer.vm: address
            for peer in self.alive
            if (address := peer.limits_address) is not None
            and peer.ready
            and not peer.leaving
        }

    @property
    def record_keepers(self) -> dict[str, stream_origins.Peer]:
        """The other VMs that may keep records of streams, by name."""
        keepers = self.limit_keepers
        return {
            peer.vm: stream_origins.Peer(keepers[peer.vm], peer.data_centre)
            for peer in self.alive
            if peer.vm in keepers
        }

    @property
    def limit_addresses(self) -> dict[str, tuple[str, int]]:
        """Addresses for messages about limits of all live VMs, by name.

        They include VMs that are leaving, which still send calls.
        """
        return {
            peer.vm: address
            for peer in self.alive
            if (address := peer.limits_address) is not None
        }

    @property
    def must_follow_store(self) -> bool:
        """Whether this VM has to be a follower.

        A follower learns of changes by calls to the store. A few VMs are
        followers; the others learn of changes from their peers.
        """
        return self._followers.follows

    @property
    def is_stable_follower(self) -> bool:
        """Whether this VM has been a follower for STABLE_FOLLOWER_S."""
        since = self._following_since
        if since is None:
            return False
        return self._clock.now() - since >= STABLE_FOLLOWER_S

    @property
    def mean_message_interval_s(self) -> float:
        """Mean time between two signs of life of another VM, in seconds."""
        return self._table.mean_sign_of_life_interval_s

    @property
    def loads(self) -> peer_loads.PeerLoads:
        """Loads that the other VMs put on the runners."""
        return self._record_exchange.loads

    @property
    def samples(self) -> shared_samples.SampleBuffer:
        """What this VM has counted and will send to the other VMs."""
        return self._record_exchange.samples

    @property
    def aggregator(self) -> str:
        """Name of the VM that relays this VM's status records.

        It is "" while this VM sends its records to the other VMs itself.
        """
        return self._record_exchange.aggregator

    def listen(self, address: settings.Address) -> None:
        """Open the socket and start sending and receiving messages."""
        self._datagrams.listen(address.host, address.port)
        repeat = self._tasks.repeat
        repeat(
            "receive", peer_datagrams.READ_INTERVAL_S, self._receive_pending
        )
        repeat(
            "publish", vm_records.RECORD_INTERVAL_S, self._publish_periodically
        )
        repeat(
            "publish_aggregates",
            record_aggregation.AGGREGATE_INTERVAL_S,
            self._publish_aggregates,
        )
        repeat("publish_tally", TALLY_INTERVAL_S, self._publish_tally)

    def close(self) -> None:
        """Close the socket for messages of other VMs."""
        self._datagrams.close()

    def set_seeds(self, seeds: typing.Iterable[str]) -> None:
        """Replace the seeds, addresses at which there may be VMs of the fleet.

        :param seeds: peer addresses from the settings; may be stale.
        """
        self._table.set_seeds(seeds)

    def is_peer(self, host: str) -> bool:
        """Whether an IP address may belong to a VM of the fleet."""
        return self._table.is_member(host)

    def handle_stall(self) -> None:
        """Discard stale messages after the process was suspended.

        All other VMs count as silent until they are heard from again.
        """
        self._datagrams.discard_pending()
        self._table.mark_all_silent()

    def publish_now(self) -> None:
        """Send this VM's status record without waiting for the next period.

        This is for changes that the other VMs must learn of at once. The
        record goes to this VM's aggregator or, without one, to the other VMs.
        An aggregator also sends its aggregates, which include its own record.
        """
        self._published_at = self._clock.now()
        self._send(self._record_exchange.publish_change())
        if self._record_exchange.is_aggregator:
            self._send(self._pending_aggregates())

    def publish_soon(self) -> None:
        """Schedule a status record because this VM's state has changed.

        Changes in quick succession share one record.
        """
        if self._publish_scheduled:
            return
        self._publish_scheduled = True
        since_s = self._clock.now() - self._published_at
        asyncio.get_running_loop().call_later(
            max(CHANGE_BATCH_S, MIN_CHANGE_INTERVAL_S - since_s),
            self._publish_change,
        )

    def update_members(self) -> None:
        """Log joined and lost VMs, and decide whether this VM is a follower.

        The caller calls this several times a second.
        """
        alive = self._table.alive()
        names = {record.vm for record in alive}
        for vm in sorted(names - self._alive):
            logs.event("member_joined", member=vm, alive=len(names) + 1)
        for vm in sorted(self._alive - names):
            logs.event("member_dead", member=vm, alive=len(names) + 1)
        self._alive = names
        if self._directory.expire_marks():
            self._local.runners_changed([])
        if self._record_exchange.directory_sources is not None:
            # In a large fleet, records without changes arrive rarely, so
            # differences must also be detected between two records.
            for record in alive:
                self._check_for_updates(record)
        self._followers.update(alive)
        self._size.set_counted(
            self._table.count_heard(
                fleet_size.REMEMBER_S, fleet_size.REMEMBER_ENDED_S
            )
        )
        if not self._followers.follows:
            self._following_since = None
        elif self._following_since is None:
            self._following_since = self._clock.now()

    def receive_message(self, message: record_exchange.Message) -> None:
        """Process a status record, aggregate or tally of another VM."""
        if isinstance(message, vm_records.VmRecord):
            self._receive_notices(message.notices, message.vm)
            self._receive_record(message)
            if message.samples and not message.aggregator:
                self._local.merge_samples(message.samples)
            self._send(self._record_exchange.receive_record(message))
        elif isinstance(message, aggregates.Aggregate):
            self._receive_notices(message.notices, message.vm)
            self._receive_aggregate(message)
        else:
            self._local.merge_counts(message.counts)

    def _receive_notices(
        self, records: list[notices.Record], peer: str
    ) -> None:
        """Mark the runners that are leaving by the notices of a peer."""
        if not records:
            return
        ended = []
        for notice in self._record_exchange.notices.receive(records):
            if self._marks_by_notices:
                ended += self._directory.mark_leaving(notice)
            logs.event(
                "runner_notice",
                runner=notice.name,
                born=notice.born,
                revision=notice.revision,
                peer=peer,
                marked=self._marks_by_notices,
            )
        if ended:
            self._local.runners_changed(ended)

    def _receive_record(
        self, record: vm_records.VmRecord, age_s: float = 0.0
    ) -> None:
        former = self._table.receive_record(record, age_s)
        if former is not None:
            logs.event("member_restarted", member=record.vm)
        self._local.receive_record(record)
        self._check_for_updates(record)

    def _check_for_updates(self, record: vm_records.VmRecord) -> None:
        self._fetcher.check(
            record,
            self.must_follow_store,
            self._record_exchange.directory_sources,
        )

    def _receive_aggregate(self, aggregate: aggregates.Aggregate) -> None:
        for entry in aggregate.entries:
            if entry.vm != self._vm:
                used, entry.used = entry.used, {}
                self._receive_record(entry, aggregate.ages.get(entry.vm, 0.0))
                self._local.receive_relayed_totals(entry.process, used)
        for vm, age_s in aggregate.ages.items():
            self._table.note_heard(vm, age_s)
        self._local.record_contact(self._table.processes(aggregate.ages))
        for process, used in aggregate.used.items():
            self._local.receive_relayed_totals(process, used)
        self._send(self._record_exchange.receive_aggregate(aggregate))
        if self._record_exchange.takes_loads_from(aggregate):
            self._local.observe_loads(self._record_exchange.loads)
            if aggregate.samples:
                self._local.merge_samples(aggregate.samples)

    def _send(
        self, outgoing: typing.Iterable[record_exchange.OutgoingMessage]
    ) -> None:
        for each in outgoing:
            self._datagrams.send(each.message, each.receivers)

    def _pending_aggregates(self) -> list[record_exchange.OutgoingMessage]:
        runners = {r.runner_id for r in self._directory.runners}
        outgoing = self._record_exchange.publish_aggregates(runners)
        for each in outgoing:
            message = each.message
            if (
                isinstance(message, aggregates.Aggregate)
                and message.samples
                and self._record_exchange.takes_loads_from(message)
            ):
                # No message of this VM comes back to itself.
                self._local.merge_samples(message.samples)
        return outgoing

    def _publish_change(self) -> None:
        self._publish_scheduled = False
        self._published_at = self._clock.now()
        self._send(self._record_exchange.publish_change())

    async def _publish_periodically(self) -> None:
        self._published_at = self._clock.now()
        before = self._record_exchange.aggregator
        self._send(self._record_exchange.tick())
        if self._record_exchange.aggregator != before:
            logs.event(
                "aggregator_changed",
                aggregator=self._record_exchange.aggregator,
                before=before,
                members=len(self._table.alive()) + 1,
            )

    async def _publish_aggregates(self) -> None:
        if self._record_exchange.is_aggregator:
            # The aggregates should include status records that arrived since
            # the socket was last read.
            self._datagrams.receive_pending()
        self._send(self._pending_aggregates())
        if self._record_exchange.is_aggregator:
            self._local.observe_loads(self._record_exchange.loads)

    async def _publish_tally(self) -> None:
        self._send(
            self._record_exchange.publish_tally(self._local.duty_candidates())
        )

    async def _receive_pending(self) -> None:
        self._datagrams.receive_pending()
