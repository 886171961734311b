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
PEER_LEAD_S = 0.15
#: How long the directories of two VMs may differ, in seconds, before one
#: reads all of the other's: news of the same change comes to both meanwhile.
DIFFERENT_S = 0.3
#: How long a VM of a large fleet waits for news by its aggregator, in seconds,
#: before it asks whoever has them: all would else ask the few that are first.
AGGREGATOR_LEAD_S = 1.0
#: Between two records of which one is sent for news, in seconds.
LEAST_TELL_S = 0.03
#: News that comes within this time is told by one record, in seconds: calls
#: come in clumps.
GATHER_NEWS_S = 0.01
EVERYTHING = -1
#: How long a VM must have followed the store without interruption to count
#: as a stable follower, in seconds.
STABLE_FOLLOWER_S = 2.0
#: Between two tallies of an aggregator, in seconds.
TALLY_S = 1.0


class Local(typing.Protocol):
    """What the link asks of this VM, and tells it."""

    @property
    def version(self) -> int:
        """Of the configuration in force, 0 for none."""

    def record(
        self, number: int, known: list[str], whole: bool, aggregator: str
    ) -> vm_records.VmRecord:
        """This VM's next record, as :class:`fleet_news.Source` has it."""

    def take(self, digest: vm_records.VmRecord) -> None:
        """A peer's record came."""

    def take_used(self, process: str, used: dict[str, float]) -> None:
        """Units that a process has let in came, by an aggregator."""

    def take_counts(
        self, counts: dict[str, tuple[typing.Any, typing.Any]]
    ) -> None:
        """Usage and work of many processes came."""

    def present(self, processes: typing.Iterable[str]) -> None:
        """Processes were heard by an aggregator."""

    def duty_holders(self) -> typing.Iterable[str]:
        """Names of the VMs that do the fleet's duties, or may soon."""

    def observe(self, loads: peer_loads.PeerLoads) -> None:
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
        "_leads",
        "_local",
        "_news",
        "_news_due",
        "_table",
        "_tasks",
        "_told_at",
        "_vm",
    )

    def __init__(
        self,
        clock: clocks.Clock,
        rng: random.Random,
        config: settings.NodeSettings,
        local: Local,
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
        self._news = record_exchange.RecordExchange(
            clock, rng, config.vm, config.data_centre, self._table, local
        )
        self._datagrams = datagrams.Datagrams(self)
        self._client = peers.PeerClient()
        self._leads = catch_up.CatchUpTimers(clock)
        self._fetching: set[str] = set()
        self._alive: set[str] = set()
        self._followers = follower_selection.FollowerSelection(
            clock, config.vm
        )
        self._following_since: float | None = None
        self._told_at = float("-inf")
        #: Whether a record is about to be sent for news.
        self._news_due = False

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
    def between_s(self) -> float:
        """Mean seconds between two signs of life of one VM."""
        return self._table.mean_sign_of_life_interval_s

    @property
    def loads(self) -> peer_loads.PeerLoads:
        """What the other VMs do at the runners."""
        return self._news.loads

    @property
    def aggregator(self) -> str:
        """The VM that tells the others of this one; "" for itself alone."""
        return self._news.aggregator

    def listen(self, address: settings.Address) -> None:
        """Open the socket; from now on records are read and sent."""
        self._datagrams.listen(address.host, address.port)
        self._tasks.every(datagrams.READ_S, self._read)
        self._tasks.every(vm_records.RECORD_INTERVAL_S, self._look)
        self._tasks.every(record_aggregation.AGGREGATE_INTERVAL_S, self._flush)
        self._tasks.every(TALLY_S, self._tally)

    def close(self) -> None:
        """Close the socket."""
        self._datagrams.close()

    def set_seeds(self, seeds: typing.Iterable[str]) -> None:
        """Take over changed settings."""
        self._table.set_seeds(seeds)

    def is_peer(self, host: str) -> bool:
        """Whether an IP number is a member's."""
        return self._table.is_member(host)

    def stood_still(self) -> None:
        """Nobody was heard while the process stood still."""
        self._datagrams.drop()
        self._table.mark_all_silent()

    def tell(self) -> None:
        """Send this VM's record now."""
        self._told_at = self._clock.now()
        self._send(self._news.publish_change())
        if self._news.is_aggregator:
            self._send(self._flushed())

    def news(self) -> None:
        """Tell the others of news soon, but not too often."""
        if self._news_due:
            return
        self._news_due = True
        since_s = self._clock.now() - self._told_at
        asyncio.get_running_loop().call_later(
            max(GATHER_NEWS_S, LEAST_TELL_S - since_s), self._tell_news
        )

    def note_members(self) -> None:
        """Log who was lost and who came; find out who follows the store."""
        alive = self._table.alive()
        names = {digest.vm for digest in alive}
        for vm in sorted(names - self._alive):
            logs.event("member_joined", member=vm, alive=len(names) + 1)
        for vm in sorted(self._alive - names):
            logs.event("member_dead", member=vm, alive=len(names) + 1)
        self._alive = names
        if self._news.directory_sources is not None:
            # Records that change nothing come rarely in a large fleet.
            for digest in alive:
                self._note_behind(digest)
        self._followers.update(alive)
        if not self._followers.follows:
            self._following_since = None
        elif self._following_since is None:
            self._following_since = self._clock.now()

    def message(self, message: record_exchange.Message) -> None:
        """A message of another VM came."""
        if isinstance(message, vm_records.VmRecord):
            self._heard(message)
            self._send(self._news.receive_record(message))
        elif isinstance(message, aggregates.Aggregate):
            self._heard_aggregate(message)
        else:
            self._local.take_counts(message.counts)

    def _heard(self, digest: vm_records.VmRecord, age_s: float = 0.0) -> None:
        former = self._table.receive_record(digest, age_s)
        if former is not None:
            logs.event("member_restarted", member=digest.vm)
        self._local.take(digest)
        self._note_behind(digest)

    def _heard_aggregate(self, aggregate: aggregates.Aggregate) -> None:
        for entry in aggregate.entries:
            if entry.vm != self._vm:
                used, entry.used = entry.used, {}
                self._heard(entry, aggregate.ages.get(entry.vm, 0.0))
                self._local.take_used(entry.process, used)
        for vm, age_s in aggregate.ages.items():
            self._table.note_heard(vm, age_s)
        self._local.present(self._table.processes(aggregate.ages))
        for process, used in aggregate.used.items():
            self._local.take_used(process, used)
        self._send(self._news.receive_aggregate(aggregate))
        if self._news.takes_loads_from(aggregate):
            self._local.observe(self._news.loads)

    def _send(
        self, outgoing: typing.Iterable[record_exchange.OutgoingMessage]
    ) -> None:
        for each in outgoing:
            self._datagrams.send(each.message, each.receivers)

    def _flushed(self) -> list[record_exchange.OutgoingMessage]:
        runners = {r.runner_id for r in self._directory.runners}
        return self._news.publish_aggregates(runners)

    def _tell_news(self) -> None:
        self._news_due = False
        self._told_at = self._clock.now()
        self._send(self._news.publish_change())

    async def _look(self) -> None:
        self._told_at = self._clock.now()
        before = self._news.aggregator
        self._send(self._news.tick())
        if self._news.aggregator != before:
            logs.event(
                "aggregator_changed",
                aggregator=self._news.aggregator,
                before=before,
                members=len(self._table.alive()) + 1,
            )

    async def _flush(self) -> None:
        if self._news.is_aggregator:
            # What came since the last look belongs to what is told now.
            self._datagrams.read()
        self._send(self._flushed())
        if self._news.is_aggregator:
            self._local.observe(self._news.loads)

    async def _tally(self) -> None:
        self._send(self._news.publish_tally(self._local.duty_holders()))

    async def _read(self) -> None:
        self._datagrams.read()

    def _note_behind(self, digest: vm_records.VmRecord) -> None:
        """Fetch from a peer what the store does not bring in time."""
        lead_s = PEER_LEAD_S if self.follows else 0.0
        sources = self._news.directory_sources
        compared = sources is None or digest.vm in sources
        if not compared:
            lead_s = AGGREGATOR_LEAD_S
        directory = self._directory
        self._fetch_if(
            digest.configuration > self._local.version,
            "configuration",
            digest,
            lead_s,
        )
        self._fetch_if(
            digest.directory > directory.revision, "runners", digest, lead_s
        )
        self._fetch_if(
            compared and digest.runners != directory.checksum,
            "all_runners",
            digest,
            DIFFERENT_S,
        )

    def _fetch_if(
        self,
        behind: bool,
        what: str,
        digest: vm_records.VmRecord,
        lead_s: float,
    ) -> None:
        due = self._leads.should_ask(what, digest.vm, behind, lead_s)
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
                    address, EVERYTHING if whole else self._directory.revision
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
