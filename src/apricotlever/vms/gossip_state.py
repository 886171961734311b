"""What one VM knows by gossip, and the messages composed from that."""

import random
import typing

from .. import clock as clocks
from . import data_centre_summaries as data_centre_summaries
from . import fleet_view as fleet_view
from ..links import peer_pb2 as pb
from . import roster as rosters
from . import rumour_buffer as rumour_buffer
from . import timing as timings

# A fleet counts as small again only well below the upper bound. This
# hysteresis keeps a fleet of about that size from switching back and forth.
SHRINK_FRACTION = 0.75
SYNC_SUMMARIES_BYTES = 16_384
SUMMARIES_PER_MESSAGE = 2


class PeerHint:
    """Name and address of a possible member, from settings or the platform.

    The platform's list lags behind the fleet. A hint only justifies sending a
    sync request to the address; the VM that answers there is a member.

    :param address: "host:port" at which it receives messages of peers.
    :param data_centre: empty when unknown.
    """

    __slots__ = ("vm", "address", "data_centre")

    def __init__(self, vm: str, address: str, data_centre: str = "") -> None:
        self.vm = vm
        self.address = address
        self.data_centre = data_centre


class GossipState:
    """Member records, rumours and data centre summaries held by one VM.

    It composes the gossip messages to peers from them.

    :param me: this VM's own member record.
    """

    __slots__ = (
        "me",
        "roster",
        "rumours",
        "member_updates",
        "summaries",
        "catalogue",
        "_rng",
        "_timing",
        "_clock",
        "_large",
        "_last_large_at",
        "_gateways",
        "_gateways_at",
    )

    def __init__(
        self,
        clock: clocks.Clock,
        rng: random.Random,
        me: pb.Member,
        timing: timings.MembershipTiming,
    ) -> None:
        self.me = me
        self.roster = rosters.Roster(clock, timing.tombstone_s)
        self.rumours = rumour_buffer.RumourBuffer(clock, me.vm, me.incarnation)
        self.member_updates = rumour_buffer.MemberUpdates()
        self.summaries = data_centre_summaries.DataCentreSummaries(
            clock, rng, timing, me.data_centre, me.region
        )
        self.catalogue: pb.CatalogueVersion | None = None
        self._rng = rng
        self._timing = timing
        self._clock = clock
        self._large = False
        self._last_large_at = float("-inf")
        self._gateways: list[str] = []
        self._gateways_at: tuple[int, int, bool] = (-1, -1, False)

    @property
    def large(self) -> bool:
        """Whether other data centres are known by summary only."""
        return self._large

    @property
    def gateways(self) -> list[str]:
        """Gateways of this data centre; empty in a small fleet."""
        if not self._large:
            return []
        # The ranking is cached: ranking all names at every tick would cost
        # more than the probes.
        at = (self.roster.changes, self.me.refutation, self.me.leaving)
        if at != self._gateways_at:
            self._gateways_at = at
            self._gateways = self.summaries.rank_gateways(
                member
                for member in self.local_members()
                if member.state != pb.VM_DEAD and not member.leaving
            )
        return self._gateways

    @property
    def is_gateway(self) -> bool:
        """Whether this VM exchanges summaries with other data centres."""
        return self.me.vm in self.gateways

    def local_members(self) -> list[pb.Member]:
        """Live members of this data centre, this VM included."""
        mine = self.me.data_centre
        return [self.me] + [
            member
            for member in self.roster.live.values()
            if member.data_centre == mine
        ]

    def view(self) -> fleet_view.FleetView:
        """Take a snapshot of the members and summaries known now."""
        members = dict(self.roster.live)
        if self.me.state != pb.VM_DEAD:
            members[self.me.vm] = self.me
        summaries = self.summaries.fresh if self._large else {}
        return fleet_view.FleetView(self.me, members, summaries)

    def is_remote(self, member: pb.Member) -> bool:
        """Whether a VM is in another data centre."""
        return member.data_centre != self.me.data_centre

    def update_fleet_size(self) -> None:
        """Count the fleet's members, and change the kind of view if needed.

        A large fleet gets summaries at once. A full view returns once the
        fleet has stayed small for a while.
        """
        most = self._timing.full_view_max
        counted = self._count_members()
        self.observe_fleet_size(counted)
        quiet_s = self._clock.now() - self._last_large_at
        if (
            self._large
            and counted <= most * SHRINK_FRACTION
            and quiet_s > self._timing.summary_stale_s
        ):
            self._large = False

    def observe_fleet_size(self, members: int) -> None:
        """Note a count of the fleet's members; if large, use summaries.

        All VMs have to switch together. A VM with a full view would probe
        members in other data centres, which no longer have a record of it.

        :param members: count of this VM, of a peer, or by summaries.
        """
        if members <= self._timing.full_view_max:
            return
        self._last_large_at = self._clock.now()
        if not self._large:
            self._large = True
            self._drop_remote_members()

    def merge_summaries(
        self, summaries: typing.Iterable[pb.DataCentreSummary]
    ) -> None:
        """Merge summaries of data centres received from a peer.

        Their counts of members may show that the fleet is large.
        """
        for summary in summaries:
            self.summaries.merge(summary)
        fresh = self.summaries.fresh.values() if summaries else ()
        self.observe_fleet_size(sum(summary.members for summary in fresh))

    def compose_message(self, to: pb.Member) -> pb.GossipMessage:
        """Compose a gossip message with the updates that are due to be sent.

        These are member records, rumours and, in a large fleet, summaries. In
        a large fleet a VM of another data centre gets no member records.

        :param to: receiver of the message.
        """
        message = self._new_message()
        remote = self.is_remote(to)
        room = self._timing.packet_bytes
        if not (remote and self._large):
            room -= self._add_members(message, to, room)
        if self._large and not remote:
            message.summaries.extend(
                self.summaries.pick_least_sent(SUMMARIES_PER_MESSAGE)
            )
        size = len(self.roster.live) + 1
        message.rumours.extend(self.rumours.pick(room, size, to.vm, remote))
        return message

    def minimal_reply(self, to: pb.Member) -> pb.GossipMessage:
        """Compose a gossip message without the updates that wait to be sent.

        It has at most the record of the receiver, if that is news to it, such
        as a suspicion that it has to refute.
        """
        message = self._new_message()
        if not (self._large and self.is_remote(to)):
            message.members.extend(self._records_about(to))
        return message

    def attach_summaries(self, message: pb.GossipMessage) -> None:
        """Add summaries to a message that goes to another data centre."""
        message.summaries.extend(
            self.summaries.pick(self._timing.packet_bytes)
        )

    def sync_request(self, to: pb.Member | None) -> pb.GossipMessage:
        """Compose a request for another VM's full view, with this VM's own.

        :param to: receiver; None when only an address is known. This VM's view
            is then left out, as there may be no VM at that address.
        """
        message = self._new_message()
        message.sync.question = True
        if to is not None:
            self._fill_sync(message.sync, to)
        return message

    def sync_reply(self, to: pb.Member) -> pb.GossipMessage:
        """Compose the reply to a sync request, with this VM's full view."""
        message = self._new_message()
        message.sync.question = False
        self._fill_sync(message.sync, to)
        return message

    def _new_message(self) -> pb.GossipMessage:
        message = pb.GossipMessage(
            sender=self.me, fleet_members=self._count_members()
        )
        if self.catalogue is not None:
            message.catalogue.CopyFrom(self.catalogue)
        return message

    def _count_members(self) -> int:
        remote = self.summaries.count_remote_members() if self._large else 0
        return 1 + len(self.roster.live) + remote

    def _fill_sync(self, sync: pb.Sync, to: pb.Member) -> None:
        remote = self.is_remote(to)
        if not (remote and self._large):
            sync.members.extend(self.roster.all.values())
        if self._large:
            sync.summaries.extend(self.summaries.pick(SYNC_SUMMARIES_BYTES))
        sync.rumours.extend(self.rumours.urgent_rumours(remote))

    def _add_members(
        self, message: pb.GossipMessage, to: pb.Member, room: int
    ) -> int:
        message.members.extend(self._records_about(to))
        size = len(self.roster.live) + 1
        message.members.extend(
            self.member_updates.pick(room, size, to.vm, self._record_of)
        )
        return sum(map(rumour_buffer.embedded_size_bytes, message.members))

    def _records_about(self, to: pb.Member) -> list[pb.Member]:
        # Every message to a suspected VM tells it of the suspicion. Otherwise
        # it could not refute the suspicion in time, and a live VM would be
        # declared dead.
        known = self.roster.get(to.vm)
        return [known] if known is not None and _is_news_to(known, to) else []

    def _record_of(self, vm: str) -> pb.Member | None:
        return self.me if vm == self.me.vm else self.roster.get(vm)

    def _drop_remote_members(self) -> None:
        for member in list(self.roster.all.values()):
            if self.is_remote(member):
                self.summaries.note_contact(member)
                self.roster.forget(member.vm)


def _is_news_to(known: pb.Member, to: pb.Member) -> bool:
    newer = rosters.precedence(known) > rosters.precedence(to)
    return newer or known.state >= pb.VM_SUSPECT
