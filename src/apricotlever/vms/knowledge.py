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
SUMMARIES_IN_MESSAGE = 2


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
        "_clock",
        "_large",
        "_large_at",
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
        self.rumours = rumour_books.Rumours(clock, me.vm, me.incarnation)
        self.news = rumour_books.MemberNews()
        self.summaries = summary_books.Summaries(
            clock, rng, timing, me.data_centre, me.region
        )
        self.catalogue: pb.CatalogueVersion | None = None
        self._rng = rng
        self._timing = timing
        self._clock = clock
        self._large = False
        self._large_at = float("-inf")
        self._gateways: list[str] = []
        self._gateways_at: tuple[int, int, bool] = (-1, -1, False)

    @property
    def large(self) -> bool:
        """Whether other data centres are seen by summary only."""
        return self._large

    @property
    def gateways(self) -> list[str]:
        """This data centre's gateways; none in a small fleet."""
        if not self._large:
            return []
        # Ranking all names at every tick would cost more than the probes.
        at = (self.roster.changes, self.me.refutation, self.me.leaving)
        if at != self._gateways_at:
            self._gateways_at = at
            self._gateways = self.summaries.gateway_names(
                member
                for member in self.here()
                if member.state != pb.VM_DEAD and not member.leaving
            )
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
        """Go back to a full view when the fleet is small for good."""
        most = self._timing.full_view_max
        counted = self._counted()
        self.hear_size(counted)
        quiet_s = self._clock.now() - self._large_at
        if (
            self._large
            and counted <= most * SHRINK_PART
            and quiet_s > self._timing.summary_stale_s
        ):
            self._large = False

    def hear_size(self, members: int) -> None:
        """Somebody counts that many members; go to summaries if many.

        All have to make that change together: one that still sees all
        would probe those of other data centres, and be missed by them.
        """
        if members <= self._timing.full_view_max:
            return
        self._large_at = self._clock.now()
        if not self._large:
            self._large = True
            self._forget_far()

    def learn_summaries(
        self, summaries: typing.Iterable[pb.DataCentreSummary]
    ) -> None:
        """Take in summaries; they may show that the fleet is large."""
        for summary in summaries:
            self.summaries.merge(summary)
        fresh = self.summaries.fresh.values() if summaries else ()
        self.hear_size(sum(summary.members for summary in fresh))

    def compose(self, to: pb.Member) -> pb.GossipMessage:
        """A message with what is worth telling that VM."""
        message = self._blank()
        far = self.is_far(to)
        room = self._timing.packet_bytes
        if not (far and self._large):
            room -= self._add_members(message, to, room)
        if self._large and not far:
            message.summaries.extend(
                self.summaries.pick_few(SUMMARIES_IN_MESSAGE)
            )
        size = len(self.roster.live) + 1
        message.rumours.extend(self.rumours.pick(room, size, to.vm, far))
        return message

    def receipt(self, to: pb.Member) -> pb.GossipMessage:
        """A message with just what concerns that VM itself."""
        message = self._blank()
        if not (self._large and self.is_far(to)):
            message.members.extend(self._about(to))
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
        message = pb.GossipMessage(
            sender=self.me, fleet_members=self._counted()
        )
        if self.catalogue is not None:
            message.catalogue.CopyFrom(self.catalogue)
        return message

    def _counted(self) -> int:
        beyond = self.summaries.elsewhere() if self._large else 0
        return 1 + len(self.roster.live) + beyond

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
        message.members.extend(self._about(to))
        size = len(self.roster.live) + 1
        message.members.extend(
            self.news.pick(room, size, to.vm, self._record_of)
        )
        return sum(map(rumour_books.size_bytes, message.members))

    def _about(self, to: pb.Member) -> list[pb.Member]:
        # A suspect has to hear of it from whoever speaks to it, or it
        # cannot deny it in time and a live VM would be taken for dead.
        known = self.roster.get(to.vm)
        return [known] if known is not None and _concerns(known, to) else []

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
