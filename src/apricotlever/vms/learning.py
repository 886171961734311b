"""What heard records and rumours change, and suspicions that run out."""

import typing

from .. import clock as clocks
from . import actions
from . import knowledge
from ..links import peer_pb2 as pb
from . import roster as rosters
from . import rumours as rumour_books
from . import suspicion
from . import timing as timings

Actions = list[actions.Action]

# A record learned from a whole view is no news to most: after a join of
# many, passing all on in full would fill the messages for a minute.
VIEW_SENDS = 2


class Learner:
    """Takes in what others say, and judges the silent.

    :param known: where it is kept.
    :param health: suffers when others suspect this VM.
    """

    __slots__ = (
        "push_due",
        "_clock",
        "_known",
        "_health",
        "_timing",
        "_suspicions",
    )

    def __init__(
        self,
        clock: clocks.Clock,
        known: knowledge.Knowledge,
        health: suspicion.LocalHealth,
        timing: timings.MembershipTiming,
    ) -> None:
        #: Something was learned that others should hear at once.
        self.push_due = False
        self._clock = clock
        self._known = known
        self._health = health
        self._timing = timing
        self._suspicions: dict[str, suspicion.Suspicion] = {}

    def hear(self, message: pb.GossipMessage) -> Actions:
        """Take in all that a message carries beside its kind."""
        sender = message.sender
        found = self._learn_sender(sender)
        found += self.learn_members(message.members, sender.vm)
        self._known.learn_summaries(message.summaries)
        found += self.learn_rumours(message.rumours, sender.vm)
        return found + self._hear_catalogue(message.catalogue, sender.vm)

    def learn_members(
        self, members: typing.Iterable[pb.Member], via: str, sent: int = 0
    ) -> Actions:
        """Take in records, those of this VM itself included.

        :param via: who passed them on.
        :param sent: sends that are saved in passing them on.
        """
        known = self._known
        seen = (
            member
            for member in members
            if not (known.large and known.is_far(member))
        )
        return [
            action
            for member in seen
            for action in self._learn(member, via, sent)
        ]

    def learn_view(
        self, members: typing.Iterable[pb.Member], sender: str
    ) -> Actions:
        """Take in another VM's whole view.

        Its dead may be alive: after a cut between data centres each side
        holds the other for dead. A death that we did not hear of as news
        is therefore a suspicion only, which a live VM denies.
        """
        members_known = len(self._known.roster.live) + 1
        limit = rumour_books.urgent_sends(members_known)
        doubted = (self._doubt(member, sender) for member in members)
        return self.learn_members(doubted, sender, limit - VIEW_SENDS)

    def learn_rumours(
        self, rumours: typing.Iterable[pb.Rumour], via: str
    ) -> Actions:
        """Take in rumours; each is delivered once."""
        fresh = [r for r in rumours if self._known.rumours.take(r, via)]
        self.push_due |= any(map(rumour_books.is_urgent, fresh))
        return [actions.Delivered(rumour, via) for rumour in fresh]

    def suspect(self, vm: str) -> Actions:
        """This VM got no answer from that one."""
        member = self._known.roster.live.get(vm)
        return [] if member is None else self._judge(member, pb.VM_SUSPECT)

    def bury(self) -> Actions:
        """Suspects that did not deny in time count as dead."""
        now = self._clock.now()
        live = self._known.roster.live
        late = [
            live[vm]
            for vm, timer in self._suspicions.items()
            if timer.ends_at <= now and vm in live
        ]
        return [
            action
            for member in late
            for action in self._judge(member, pb.VM_DEAD)
        ]

    def restate(self, **fields: typing.Any) -> None:
        """Raise our refutation, so that our own record beats all others.

        :param fields: fields of our record to be replaced.
        """
        me = self._known.me
        refutation = fields.pop("refutation", me.refutation) + 1
        self._known.me = rosters.changed(me, refutation=refutation, **fields)
        self._known.news.add(me.vm)
        self.push_due = True

    def postpone(self, seconds: float) -> None:
        """Leave out a time in which nothing could be heard."""
        for timer in self._suspicions.values():
            timer.postpone(seconds)

    def drop_suspicions(self) -> None:
        """Forget all suspicions."""
        self._suspicions.clear()

    def _learn_sender(self, sender: pb.Member) -> Actions:
        if self._known.large and self._known.is_far(sender):
            self._known.summaries.met(sender)
            return []
        return self._learn(sender)

    def _learn(
        self, member: pb.Member, via: str = "", sent: int = 0
    ) -> Actions:
        if member.vm == self._known.me.vm:
            return self._hear_of_myself(member)
        merged = self._known.roster.merge(member)
        if merged is None:
            self._confirm(member)
            return []
        if merged.before is None and member.state == pb.VM_DEAD:
            return []
        self._known.news.add(member.vm, via, sent)
        return self._changed(merged)

    def _changed(self, merged: rosters.Merged) -> Actions:
        member = merged.after
        self._suspicions.pop(member.vm, None)
        if member.state == pb.VM_SUSPECT:
            self._start_suspicion(member)
        self.push_due |= merged.replaced or member.state in (
            pb.VM_LEAVING,
            pb.VM_DEAD,
        )
        found: Actions = [actions.Changed(merged.before, member)]
        return found + [
            actions.IncarnationEnded(member.vm, incarnation)
            for incarnation in _ended(merged)
        ]

    def _hear_of_myself(self, member: pb.Member) -> Actions:
        me = self._known.me
        if member.incarnation > me.incarnation:
            return [actions.Superseded(member.incarnation)]
        if member.incarnation < me.incarnation:
            self._known.news.add(me.vm)
            return []
        accused = member.state >= pb.VM_SUSPECT
        if not accused or member.refutation < me.refutation:
            return []
        self.restate(refutation=member.refutation)
        self._health.worse()
        return [actions.Refuted(member.suspected_by)]

    def _hear_catalogue(self, heard: pb.CatalogueVersion, via: str) -> Actions:
        ours = self._known.catalogue or pb.CatalogueVersion()
        news = heard.version > ours.version
        clash = heard.version == ours.version and heard.digest != ours.digest
        if not heard.version or not (news or clash):
            return []
        return [actions.CatalogueHeard(heard.version, heard.digest, via)]

    def _judge(self, member: pb.Member, state: pb.VmState) -> Actions:
        accuser = self._known.me.vm
        return self._learn(
            rosters.changed(member, state=state, suspected_by=accuser)
        )

    def _doubt(self, member: pb.Member, sender: str) -> pb.Member:
        known = self._known.roster.live.get(member.vm)
        if member.state != pb.VM_DEAD or _left_by_itself(member):
            return member
        if known is None or known.incarnation != member.incarnation:
            return member
        return rosters.changed(
            member, state=pb.VM_SUSPECT, suspected_by=sender
        )

    def _start_suspicion(self, member: pb.Member) -> None:
        live = len(self._known.roster.live)
        shortest, longest = suspicion.bounds_s(
            live + 1,
            self._timing.probe_interval_s,
            self._timing.suspicion_factor,
            self._timing.suspicion_max_factor,
        )
        timer = suspicion.Suspicion(
            self._clock.now(), shortest, longest, live - 2
        )
        timer.accuse(member.suspected_by)
        self._suspicions[member.vm] = timer

    def _confirm(self, member: pb.Member) -> None:
        """Count one more accuser of a VM that is suspected already."""
        timer = self._suspicions.get(member.vm)
        known = self._known.roster.get(member.vm)
        if timer is None or known is None:
            return
        if rosters.standing(known) != rosters.standing(member):
            return
        if timer.accuse(member.suspected_by):
            self._known.roster.keep_accuser(member)
            self._known.news.add(member.vm)


def _left_by_itself(member: pb.Member) -> bool:
    return member.state == pb.VM_DEAD and member.suspected_by == member.vm


def _ended(merged: rosters.Merged) -> list[int]:
    """Incarnations that surely ended by this change."""
    ended = []
    if merged.before is not None and merged.replaced:
        ended.append(merged.before.incarnation)
    if _left_by_itself(merged.after):
        ended.append(merged.after.incarnation)
    return ended
