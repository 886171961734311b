"""Merges member records and rumours from peers, and expires suspicions."""

import typing

from .. import clock as clocks
from . import actions
from . import gossip_state
from ..links import peer_pb2 as pb
from . import roster as rosters
from . import rumour_buffer as rumour_buffer
from . import suspicion
from . import timing as timings

Actions = list[actions.Action]

# How often a member record that came with a full view is passed on. Most VMs
# already have it. After many VMs join, sending each such record the usual
# number of times would fill the messages for a minute.
FULL_VIEW_SENDS = 2


class UpdateMerger:
    """Merges updates from peers and declares members suspect or dead.

    Its methods return the events that the caller has to handle, as actions.

    :param state: gossip state that the updates are merged into.
    :param health: worsened when other VMs suspect this one.
    """

    __slots__ = (
        "push_due",
        "_clock",
        "_state",
        "_health",
        "_timing",
        "_suspicions",
    )

    def __init__(
        self,
        clock: clocks.Clock,
        state: gossip_state.GossipState,
        health: suspicion.LocalHealth,
        timing: timings.MembershipTiming,
    ) -> None:
        #: Whether an update was merged that peers should receive at once.
        self.push_due = False
        self._clock = clock
        self._state = state
        self._health = health
        self._timing = timing
        self._suspicions: dict[str, suspicion.Suspicion] = {}

    def merge_message(self, message: pb.GossipMessage) -> Actions:
        """Merge all that a gossip message carries beside its ``kind`` field.

        This is the sender's own record, other member records, summaries of
        data centres, rumours, and the catalogue version of the sender.
        """
        sender = message.sender
        result = self._merge_sender(sender)
        result += self.merge_members(message.members, sender.vm)
        self._state.merge_summaries(message.summaries)
        result += self.merge_rumours(message.rumours, sender.vm)
        return result + self._compare_catalogue(message.catalogue, sender.vm)

    def merge_members(
        self, members: typing.Iterable[pb.Member], via: str, sent: int = 0
    ) -> Actions:
        """Merge member records, which may include this VM's own.

        This VM refutes a record by which it is suspect or dead.

        :param via: the VM that sent them.
        :param sent: sends to count as already made when they are passed on.
        """
        state = self._state
        seen = (
            member
            for member in members
            if not (state.large and state.is_remote(member))
        )
        return [
            action
            for member in seen
            for action in self._merge_member(member, via, sent)
        ]

    def merge_full_view(
        self, members: typing.Iterable[pb.Member], sender: str
    ) -> Actions:
        """Merge the full view of another VM.

        Members that it lists as dead may be alive: after a network partition
        between data centres each side declares the other one dead. A death
        learned from a full view is therefore merged as a suspicion, which a
        live VM refutes.
        """
        members_known = len(self._state.roster.live) + 1
        limit = rumour_buffer.urgent_send_limit(members_known)
        downgraded = (
            self._downgrade_death(member, sender) for member in members
        )
        return self.merge_members(downgraded, sender, limit - FULL_VIEW_SENDS)

    def merge_rumours(
        self, rumours: typing.Iterable[pb.Rumour], via: str
    ) -> Actions:
        """Merge rumours; each new one is delivered here and passed on.

        :param via: the VM that sent them.
        """
        added = [r for r in rumours if self._state.rumours.receive(r, via)]
        self.push_due |= any(map(rumour_buffer.is_urgent, added))
        return [actions.RumourDelivered(rumour, via) for rumour in added]

    def suspect(self, vm: str) -> Actions:
        """Declare a VM suspect, as it has not answered this VM's probe."""
        member = self._state.roster.live.get(vm)
        return [] if member is None else self._declare(member, pb.VM_SUSPECT)

    def expire_suspicions(self) -> Actions:
        """Declare suspects dead that did not refute the suspicion in time."""
        now = self._clock.now()
        live = self._state.roster.live
        expired = [
            live[vm]
            for vm, timer in self._suspicions.items()
            if timer.ends_at <= now and vm in live
        ]
        return [
            action
            for member in expired
            for action in self._declare(member, pb.VM_DEAD)
        ]

    def raise_refutation(self, **fields: typing.Any) -> None:
        """Raise the refutation number in this VM's own member record.

        The record then takes precedence over those that other VMs have of
        this VM.

        :param fields: fields of the own record to replace.
        """
        me = self._state.me
        refutation = fields.pop("refutation", me.refutation) + 1
        self._state.me = rosters.with_fields(
            me, refutation=refutation, **fields
        )
        self._state.member_updates.add(me.vm)
        self.push_due = True

    def extend_suspicions(self, seconds: float) -> None:
        """Extend all suspicions by a time in which this VM received nothing.

        :param seconds: the length of that time.
        """
        for timer in self._suspicions.values():
            timer.postpone(seconds)

    def clear_suspicions(self) -> None:
        """Drop all suspicions."""
        self._suspicions.clear()

    def _merge_sender(self, sender: pb.Member) -> Actions:
        if self._state.large and self._state.is_remote(sender):
            self._state.summaries.note_contact(sender)
            return []
        return self._merge_member(sender)

    def _merge_member(
        self, member: pb.Member, via: str = "", sent: int = 0
    ) -> Actions:
        if member.vm == self._state.me.vm:
            return self._merge_own_record(member)
        merged = self._state.roster.merge(member)
        if merged is None:
            self._add_accuser(member)
            return []
        if merged.before is None and member.state == pb.VM_DEAD:
            return []
        self._state.member_updates.add(member.vm, via, sent)
        return self._apply_change(merged)

    def _apply_change(self, merged: rosters.MergeResult) -> Actions:
        member = merged.after
        self._suspicions.pop(member.vm, None)
        if member.state == pb.VM_SUSPECT:
            self._start_suspicion(member)
        self.push_due |= merged.is_new_process or member.state in (
            pb.VM_LEAVING,
            pb.VM_DEAD,
        )
        result: Actions = [actions.MemberChanged(merged.before, member)]
        return result + [
            actions.IncarnationEnded(member.vm, incarnation)
            for incarnation in _ended_incarnations(merged)
        ]

    def _merge_own_record(self, member: pb.Member) -> Actions:
        me = self._state.me
        if member.incarnation > me.incarnation:
            return [actions.Superseded(member.incarnation)]
        if member.incarnation < me.incarnation:
            self._state.member_updates.add(me.vm)
            return []
        accused = member.state >= pb.VM_SUSPECT
        if not accused or member.refutation < me.refutation:
            return []
        self.raise_refutation(refutation=member.refutation)
        self._health.degrade()
        return [actions.SuspicionRefuted(member.suspected_by)]

    def _compare_catalogue(
        self, received: pb.CatalogueVersion, via: str
    ) -> Actions:
        current = self._state.catalogue or pb.CatalogueVersion()
        is_newer = received.version > current.version
        is_clash = (
            received.version == current.version
            and received.digest != current.digest
        )
        if not received.version or not (is_newer or is_clash):
            return []
        return [
            actions.CatalogueAdvertised(received.version, received.digest, via)
        ]

    def _declare(self, member: pb.Member, state: pb.VmState) -> Actions:
        accuser = self._state.me.vm
        return self._merge_member(
            rosters.with_fields(member, state=state, suspected_by=accuser)
        )

    def _downgrade_death(self, member: pb.Member, sender: str) -> pb.Member:
        known = self._state.roster.live.get(member.vm)
        if member.state != pb.VM_DEAD or _departed_voluntarily(member):
            return member
        if known is None or known.incarnation != member.incarnation:
            return member
        return rosters.with_fields(
            member, state=pb.VM_SUSPECT, suspected_by=sender
        )

    def _start_suspicion(self, member: pb.Member) -> None:
        live = len(self._state.roster.live)
        shortest, longest = suspicion.timeout_bounds_s(
            live + 1,
            self._timing.probe_interval_s,
            self._timing.suspicion_factor,
            self._timing.suspicion_max_factor,
        )
        timer = suspicion.Suspicion(
            self._clock.now(), shortest, longest, live - 2
        )
        timer.add_accuser(member.suspected_by)
        self._suspicions[member.vm] = timer

    def _add_accuser(self, member: pb.Member) -> None:
        """Add an accuser to the suspicion of a VM already suspected."""
        timer = self._suspicions.get(member.vm)
        known = self._state.roster.get(member.vm)
        if timer is None or known is None:
            return
        if rosters.precedence(known) != rosters.precedence(member):
            return
        if timer.add_accuser(member.suspected_by):
            self._state.roster.update_accuser(member)
            self._state.member_updates.add(member.vm)


def _departed_voluntarily(member: pb.Member) -> bool:
    return member.state == pb.VM_DEAD and member.suspected_by == member.vm


def _ended_incarnations(merged: rosters.MergeResult) -> list[int]:
    """Incarnations of a VM's processes that a change shows to have ended."""
    ended = []
    if merged.before is not None and merged.is_new_process:
        ended.append(merged.before.incarnation)
    if _departed_voluntarily(merged.after):
        ended.append(merged.after.incarnation)
    return ended
