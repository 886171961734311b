"""What a VM knows and passes on, and the messages that carry it."""

import random
import typing

from .. import clock as clocks
from ..links import peer_pb2 as pb
from . import roster as rosters
from . import rumours as rumour_books
from . import summaries as summary_books
from . import timing as timings
from . import view as views

# Back from large to small only well below the bound, so that a fleet
# about that size does not flap between the two.
SHRINK_PART = 0.75
SYNC_SUMMARIES_BYTES = 16_384


class Hint:
    """A name and an address from settings or the platform's list.

    The list lags: a hint is worth a question to that address, and only what
    answers there is a member.

    :param address: the peers' "host:port".
    :param data_centre: empty when unknown.
    """

    __slots__ = ("vm", "address", "data_centre")

    def __init__(self, vm: str, address: str, data_centre: str = "") -> None:
        self.vm = vm
        self.address = address
        self.data_centre = data_centre


class Knowledge:
    """Roster, rumours and summaries of one VM.

    :param me: this VM's own record.
    """

    __slots__ = (
        "me",
        "roster",
        "rumours",
        "news",
        "summaries",
        "catalogue",
        "_rng",
        "_timing",
        "_large",
        "_gateways",
        "_gateways_of",
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
        self.rumours = rumour_books.Rumours(clock, me.vm, me.incarnation)
        self.news = rumour_books.MemberNews()
        self.summaries = summary_books.Summaries(
            clock, rng, timing, me.data_centre, me.region
        )
        self.catalogue: pb.CatalogueVersion | None = None
        self._rng = rng
        self._timing = timing
        self._large = False
        self._gateways: list[str] = []
        self._gateways_of: frozenset[str] = frozenset()

    @property
    def large(self) -> bool:
        """Whether other data centres are seen by summary only."""
        return self._large

    @property
    def gateways(self) -> list[str]:
        """This data centre's gateways; none in a small fleet."""
        if not self._large:
            return []
        serving = [
            member
            for member in self.here()
            if member.state in (pb.VM_ALIVE, pb.VM_SUSPECT)
            and not member.leaving
        ]
        names = frozenset(member.vm for member in serving)
        if names != self._gateways_of:
            self._gateways_of = names
            self._gateways = self.summaries.gateway_names(serving)
        return self._gateways

    @property
    def is_gateway(self) -> bool:
        """Whether this VM speaks to other data centres."""
        return self.me.vm in self.gateways

    def here(self) -> list[pb.Member]:
        """Live members of this data centre, this VM included."""
        mine = self.me.data_centre
        return [self.me] + [
            member
            for member in self.roster.live.values()
            if member.data_centre == mine
        ]

    def view(self) -> views.View:
        """The view of this moment."""
        members = dict(self.roster.live)
        if self.me.state != pb.VM_DEAD:
            members[self.me.vm] = self.me
        summaries = self.summaries.fresh if self._large else {}
        return views.View(self.me, members, summaries)

    def is_far(self, member: pb.Member) -> bool:
        """Whether that VM is in another data centre."""
        return member.data_centre != self.me.data_centre

    def resize(self) -> None:
        """Go from a full view to summaries, or back, by the fleet's size."""
        beyond = self.summaries.elsewhere() if self._large else 0
        size = 1 + len(self.roster.live) + beyond
        most = self._timing.full_view_max
        if not self._large and size > most:
            self._large = True
            self._forget_far()
        elif self._large and size <= most * SHRINK_PART:
            self._large = False

    def learn_summaries(
        self, summaries: typing.Iterable[pb.DataCentreSummary]
    ) -> None:
        """Take in summaries; they may show that the fleet is large."""
        if not [s for s in summaries if self.summaries.merge(s)]:
            return
        if not self._large:
            size = sum(s.members for s in self.summaries.fresh.values())
            self._large = size > self._timing.full_view_max
            if self._large:
                self._forget_far()

    def compose(self, to: pb.Member) -> pb.GossipMessage:
        """A message with what is worth telling that VM."""
        message = self._blank()
        far = self.is_far(to)
        room = self._timing.packet_bytes
        if not (far and self._large):
            room -= self._add_members(message, to, room)
        limit = rumour_books.retransmissions(len(self.roster.live) + 1)
        message.rumours.extend(self.rumours.pick(room, limit, far))
        return message

    def add_summaries(self, message: pb.GossipMessage) -> None:
        """Turn a message into one between gateways."""
        message.summaries.extend(
            self.summaries.pick(self._timing.packet_bytes)
        )

    def ask_sync(self, to: pb.Member | None) -> pb.GossipMessage:
        """A question for the other's whole view.

        :param to: None when only an address is known; then our own view is
            left out, as nobody may listen there.
        """
        message = self._blank()
        message.sync.question = True
        if to is not None:
            self._fill_sync(message.sync, to)
        return message

    def answer_sync(self, to: pb.Member) -> pb.GossipMessage:
        """Our whole view."""
        message = self._blank()
        message.sync.question = False
        self._fill_sync(message.sync, to)
        return message

    def _blank(self) -> pb.GossipMessage:
        message = pb.GossipMessage(sender=self.me)
        if self.catalogue is not None:
            message.catalogue.CopyFrom(self.catalogue)
        return message

    def _fill_sync(self, sync: pb.Sync, to: pb.Member) -> None:
        far = self.is_far(to)
        if not (far and self._large):
            sync.members.extend(self.roster.all.values())
        if self._large:
            sync.summaries.extend(self.summaries.pick(SYNC_SUMMARIES_BYTES))
        sync.rumours.extend(self.rumours.everything(far))

    def _add_members(
        self, message: pb.GossipMessage, to: pb.Member, room: int
    ) -> int:
        # A suspect has to hear of it from whoever speaks to it, or it
        # cannot deny it in time and a live VM would be taken for dead.
        known = self.roster.get(to.vm)
        if known is not None and _concerns(known, to):
            message.members.append(known)
        limit = rumour_books.retransmissions(len(self.roster.live) + 1)
        message.members.extend(self.news.pick(room, limit, self._record_of))
        return sum(map(rumour_books.size_bytes, message.members))

    def _record_of(self, vm: str) -> pb.Member | None:
        return self.me if vm == self.me.vm else self.roster.get(vm)

    def _forget_far(self) -> None:
        for member in list(self.roster.all.values()):
            if self.is_far(member):
                self.summaries.met(member)
                self.roster.forget(member.vm)


def _concerns(known: pb.Member, to: pb.Member) -> bool:
    newer = rosters.standing(known) > rosters.standing(to)
    return newer or known.state >= pb.VM_SUSPECT
