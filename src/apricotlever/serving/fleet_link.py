"""This VM's link to the fleet: records, who is alive, news that is missing."""

import asyncio
import random
import typing

from .. import clock as clocks
from .. import logs
from ..vms import digests
from ..vms import leads
from ..vms import rendezvous

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
#: VMs that follow the store for the others: with one turned away and one
#: just ended there is still one.
FOLLOWERS = 3
FOLLOW_KEY = "follow"
#: Between two records of which one is sent for news, in seconds.
LEAST_TELL_S = 0.03
#: News that comes within this time is told by one record, in seconds: calls
#: come in clumps.
GATHER_NEWS_S = 0.01
EVERYTHING = -1


class Local(typing.Protocol):
    """What the link asks of this VM, and tells it."""

    @property
    def version(self) -> int:
        """Of the configuration in force, 0 for none."""

    def record(self, number: int, known: list[str]) -> digests.Digest:
        """This VM's next record."""

    def take(self, digest: digests.Digest) -> None:
        """A peer's record came."""

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
        "_follows",
        "_leads",
        "_local",
        "_news_due",
        "_number",
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
        self._table = digests.PeerTable(
            clock, rng, config.vm, str(config.peers), config.seeds
        )
        self._datagrams = datagrams.Datagrams(self)
        self._client = peers.PeerClient()
        self._leads = leads.Leads(clock)
        self._fetching: set[str] = set()
        self._alive: set[str] = set()
        #: The other VMs that follow the store; None before the first look.
        self._followers: frozenset[str] | None = None
        self._follows = True
        self._number = 0
        self._told_at = float("-inf")
        #: Whether a record is about to be sent for news.
        self._news_due = False

    @property
    def alive(self) -> list[digests.Digest]:
        """Records of the VMs that were heard just now."""
        return self._table.alive()

    @property
    def members(self) -> list[digests.Digest]:
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
        """Whether this VM has to follow the store itself.

        A few do it for all: each change ends a call of each follower. VMs
        whose calls fail don't count, so others take their place.
        """
        return self._follows

    @property
    def between_s(self) -> float:
        """Mean seconds between two records of one VM."""
        return self._table.between_s

    def listen(self, address: settings.Address) -> None:
        """Open the socket; from now on records are read and sent."""
        self._datagrams.listen(address.host, address.port)
        self._tasks.every(datagrams.READ_S, self._read)
        self._tasks.every(digests.INTERVAL_S, self._tell)

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
        self._table.silence()

    def tell(self) -> None:
        """Send this VM's record."""
        self._number += 1
        self._told_at = self._clock.now()
        record = self._local.record(self._number, self._table.known())
        self._datagrams.send(record, self._table.receivers())

    def news(self) -> None:
        """Tell the others of news soon, but not too often."""
        if self._news_due:
            return
        self._news_due = True
        since_s = self._clock.now() - self._told_at
        asyncio.get_running_loop().call_later(
            max(GATHER_NEWS_S, LEAST_TELL_S - since_s), self._tell_news
        )

    def news_of_load(self) -> None:
        """Tell the others of work that was given to a runner.

        VMs that send to the same runner within a fifth of a second don't see
        each other's prompts otherwise. In a fleet so large that a record goes
        to some of the others only, it would be told to few at a high price.
        """
        if self._table.hears_all:
            self.news()

    def note_members(self) -> None:
        """Log who was lost and who came; find out who follows the store."""
        alive = self._table.alive()
        names = {digest.vm for digest in alive}
        for vm in sorted(names - self._alive):
            logs.event("member_joined", member=vm, alive=len(names) + 1)
        for vm in sorted(self._alive - names):
            logs.event("member_dead", member=vm, alive=len(names) + 1)
        self._alive = names
        followers = frozenset(peer.vm for peer in alive if peer.follows)
        if followers != self._followers:
            # Not each tick: in a large fleet ranking would be most of one.
            self._followers = followers
            ranked = rendezvous.rank(FOLLOW_KEY, [*followers, self._vm])
            self._follows = ranked.index(self._vm) < FOLLOWERS

    def digest(self, digest: digests.Digest) -> None:
        """A record of another VM came."""
        former = self._table.heard(digest)
        if former is not None:
            logs.event("member_restarted", member=digest.vm)
        self._local.take(digest)
        self._note_behind(digest)

    def _tell_news(self) -> None:
        self._news_due = False
        self.tell()

    async def _tell(self) -> None:
        self.tell()

    async def _read(self) -> None:
        self._datagrams.read()

    def _note_behind(self, digest: digests.Digest) -> None:
        """Fetch from a peer what the store does not bring in time."""
        lead_s = PEER_LEAD_S if self.follows else 0.0
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
            digest.runners != directory.checksum,
            "all_runners",
            digest,
            DIFFERENT_S,
        )

    def _fetch_if(
        self, behind: bool, what: str, digest: digests.Digest, lead_s: float
    ) -> None:
        due = self._leads.due(what, digest.vm, behind, lead_s)
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
