"""This VM's link to the fleet: records, who is alive, news that is missing."""

import asyncio
import random
import typing

from .. import clock as clocks
from .. import logs
from ..vms import aggregates
from ..vms import catch_up
from ..vms import follower_selection
from ..vms import peer_loads
from ..vms import peer_table
from ..vms import record_aggregation
from ..vms import record_exchange
from ..vms import vm_records

from . import datagrams
from . import directory as directories
from . import peers
from . import settings
from . import store
from . import tasks

#: How long the store may take to bring what a peer has, in seconds, before
#: it is fetched from the peer.
STORE_GRACE_S = 0.15
#: How long the directories of two VMs may differ, in seconds, before one
#: reads all of the other's: news of the same change comes to both meanwhile.
DIRECTORY_MISMATCH_S = 0.3
#: How long a VM of a large fleet waits for news by its aggregator, in seconds,
#: before it asks whoever has them: all would else ask the few that are first.
AGGREGATOR_GRACE_S = 1.0
#: Between two records of which one is sent for news, in seconds.
MIN_NEWS_INTERVAL_S = 0.03
#: News that comes within this time is told by one record, in seconds: calls
#: come in clumps.
NEWS_BATCH_S = 0.01
ALL_REVISIONS = -1
#: How long a VM must have followed the store without interruption to count
#: as a stable follower, in seconds.
STABLE_FOLLOWER_S = 2.0
#: Between two tallies of an aggregator, in seconds.
TALLY_INTERVAL_S = 1.0


class LocalVm(typing.Protocol):
    """What the link asks of this VM, and tells it."""

    @property
    def version(self) -> int:
        """Of the configuration in force, 0 for none."""

    def record(
        self, number: int, known: list[str], whole: bool, aggregator: str
    ) -> vm_records.VmRecord:
        """This VM's next record, as :class:`fleet_news.Source` has it."""

    def receive_record(self, digest: vm_records.VmRecord) -> None:
        """A peer's record came."""

    def receive_relayed_totals(
        self, process: str, used: dict[str, float]
    ) -> None:
        """Units that a process has let in came, by an aggregator."""

    def merge_counts(
        self, counts: dict[str, tuple[typing.Any, typing.Any]]
    ) -> None:
        """Usage and work of many processes came."""

    def record_contact(self, processes: typing.Iterable[str]) -> None:
        """Processes were heard by an aggregator."""

    def duty_candidates(self) -> typing.Iterable[str]:
        """Names of the VMs that do the fleet's duties, or may soon."""

    def observe_loads(self, loads: peer_loads.PeerLoads) -> None:
        """Loads of the other VMs came."""

    def configure(self, spec: store.Json) -> bool:
        """Take over a configuration, if it is newer."""

    def runners_changed(self, ended: list[str]) -> None:
        """Runners came, changed or went."""


class FleetLink:
    """Tells the other VMs and hears them.

    :param local: this VM.
    :param directory: its runners.
    """

    __slots__ = (
        "_alive",
        "_clock",
        "_client",
        "_datagrams",
        "_directory",
        "_fetching",
        "_followers",
        "_following_since",
        "_catch_up_timers",
        "_local",
        "_record_exchange",
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
        local: LocalVm,
        directory: directories.Directory,
        running: tasks.Tasks,
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
        self._datagrams = datagrams.PeerSocket(self)
        self._client = peers.PeerClient()
        self._catch_up_timers = catch_up.CatchUpTimers(clock)
        self._fetching: set[str] = set()
        self._alive: set[str] = set()
        self._followers = follower_selection.FollowerSelection(
            clock, config.vm
        )
        self._following_since: float | None = None
        self._published_at = float("-inf")
        #: Whether a record is about to be sent for news.
        self._publish_scheduled = False

    @property
    def alive(self) -> list[vm_records.VmRecord]:
        """Records of the VMs that were heard just now."""
        return self._table.alive()

    @property
    def members(self) -> list[vm_records.VmRecord]:
        """Records of the VMs that may be alive, heard or not."""
        return self._table.members()

    @property
    def limit_keepers(self) -> dict[str, tuple[str, int]]:
        """The other VMs that may be asked of limits, and where."""
        return {
            peer.vm: address
            for peer in self.alive
            if (address := peer.limits_address) is not None
            and peer.ready
            and not peer.leaving
        }

    @property
    def follows(self) -> bool:
        """Whether this VM has to follow the store itself."""
        return self._followers.follows

    @property
    def is_stable_follower(self) -> bool:
        """Whether `follows` has held for at least STABLE_FOLLOWER_S."""
        since = self._following_since
        if since is None:
            return False
        return self._clock.now() - since >= STABLE_FOLLOWER_S

    @property
    def mean_sign_of_life_interval_s(self) -> float:
        """Mean seconds between two signs of life of one VM."""
        return self._table.mean_sign_of_life_interval_s

    @property
    def loads(self) -> peer_loads.PeerLoads:
        """What the other VMs do at the runners."""
        return self._record_exchange.loads

    @property
    def aggregator(self) -> str:
        """The VM that tells the others of this one; "" for itself alone."""
        return self._record_exchange.aggregator

    def listen(self, address: settings.Address) -> None:
        """Open the socket; from now on records are read and sent."""
        self._datagrams.listen(address.host, address.port)
        self._tasks.every(datagrams.READ_S, self._receive_pending)
        self._tasks.every(
            vm_records.RECORD_INTERVAL_S, self._publish_periodically
        )
        self._tasks.every(
            record_aggregation.AGGREGATE_INTERVAL_S, self._publish_aggregates
        )
        self._tasks.every(TALLY_INTERVAL_S, self._publish_tally)

    def close(self) -> None:
        """Close the socket."""
        self._datagrams.close()

    def set_seeds(self, seeds: typing.Iterable[str]) -> None:
        """Take over changed settings."""
        self._table.set_seeds(seeds)

    def is_peer(self, host: str) -> bool:
        """Whether an IP number is a member's."""
        return self._table.is_member(host)

    def handle_stall(self) -> None:
        """Nobody was heard while the process stood still."""
        self._datagrams.discard_pending()
        self._table.mark_all_silent()

    def tell(self) -> None:
        """Send this VM's record now."""
        self._published_at = self._clock.now()
        self._send(self._record_exchange.publish_change())
        if self._record_exchange.is_aggregator:
            self._send(self._pending_aggregates())

    def publish_soon(self) -> None:
        """Tell the others of news soon, but not too often."""
        if self._publish_scheduled:
            return
        self._publish_scheduled = True
        since_s = self._clock.now() - self._published_at
        asyncio.get_running_loop().call_later(
            max(NEWS_BATCH_S, MIN_NEWS_INTERVAL_S - since_s),
            self._publish_news,
        )

    def update_members(self) -> None:
        """Log who was lost and who came; find out who follows the store."""
        alive = self._table.alive()
        names = {digest.vm for digest in alive}
        for vm in sorted(names - self._alive):
            logs.event("member_joined", member=vm, alive=len(names) + 1)
        for vm in sorted(self._alive - names):
            logs.event("member_dead", member=vm, alive=len(names) + 1)
        self._alive = names
        if self._record_exchange.directory_sources is not None:
            # Records that change nothing come rarely in a large fleet.
            for digest in alive:
                self._check_for_missing_news(digest)
        self._followers.update(alive)
        if not self._followers.follows:
            self._following_since = None
        elif self._following_since is None:
            self._following_since = self._clock.now()

    def receive_message(self, message: record_exchange.Message) -> None:
        """A message of another VM came."""
        if isinstance(message, vm_records.VmRecord):
            self._receive_record(message)
            self._send(self._record_exchange.receive_record(message))
        elif isinstance(message, aggregates.Aggregate):
            self._receive_aggregate(message)
        else:
            self._local.merge_counts(message.counts)

    def _receive_record(
        self, digest: vm_records.VmRecord, age_s: float = 0.0
    ) -> None:
        former = self._table.receive_record(digest, age_s)
        if former is not None:
            logs.event("member_restarted", member=digest.vm)
        self._local.receive_record(digest)
        self._check_for_missing_news(digest)

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

    def _send(
        self, outgoing: typing.Iterable[record_exchange.OutgoingMessage]
    ) -> None:
        for each in outgoing:
            self._datagrams.send(each.message, each.receivers)

    def _pending_aggregates(self) -> list[record_exchange.OutgoingMessage]:
        runners = {r.runner_id for r in self._directory.runners}
        return self._record_exchange.publish_aggregates(runners)

    def _publish_news(self) -> None:
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
            # What came since the last look belongs to what is told now.
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

    def _check_for_missing_news(self, digest: vm_records.VmRecord) -> None:
        """Fetch from a peer what the store does not bring in time."""
        lead_s = STORE_GRACE_S if self.follows else 0.0
        sources = self._record_exchange.directory_sources
        compared = sources is None or digest.vm in sources
        if not compared:
            lead_s = AGGREGATOR_GRACE_S
        directory = self._directory
        self._fetch_when_due(
            digest.configuration > self._local.version,
            "configuration",
            digest,
            lead_s,
        )
        self._fetch_when_due(
            digest.directory > directory.revision, "runners", digest, lead_s
        )
        self._fetch_when_due(
            compared and digest.runners != directory.checksum,
            "all_runners",
            digest,
            DIRECTORY_MISMATCH_S,
        )

    def _fetch_when_due(
        self,
        behind: bool,
        what: str,
        digest: vm_records.VmRecord,
        lead_s: float,
    ) -> None:
        due = self._catch_up_timers.should_ask(what, digest.vm, behind, lead_s)
        if due and what not in self._fetching:
            self._fetching.add(what)
            self._tasks.spawn(self._fetch(what, digest.peer_address))

    async def _fetch(self, what: str, address: str) -> None:
        try:
            if what == "configuration":
                await self._fetch_configuration(address)
            else:
                whole = what == "all_runners"
                await self._fetch_runners(
                    address,
                    ALL_REVISIONS if whole else self._directory.revision,
                )
        finally:
            self._fetching.discard(what)

    async def _fetch_configuration(self, address: str) -> None:
        version = self._local.version
        spec = await self._client.configuration(address, version)
        if spec is not None and self._local.configure(spec):
            logs.event("fetched_from_peer", what="configuration", peer=address)

    async def _fetch_runners(self, address: str, above: int) -> None:
        news = await self._client.runners(address, above)
        if news is not None:
            self._local.runners_changed(self._directory.heard(*news))
