"""Member records of the other VMs, merged by an order of precedence.

A member record is what a VM knows of one VM: its addresses, its process and
its state. VMs pass these records on to each other.
"""

import typing

from .. import clock as clocks
from ..links import peer_pb2 as pb

Precedence = tuple[int, int, int]


def precedence(member: pb.Member) -> Precedence:
    """The precedence of a member record among those of the same VM.

    The record with the greatest precedence prevails: that of the newest
    process, of its latest refutation and of the worst state.
    """
    return member.incarnation, member.refutation, member.state


def accepts_work(member: pb.Member) -> bool:
    """Whether new work may be sent to the VM."""
    return member.state == pb.VM_ALIVE and not member.leaving


def with_fields(member: pb.Member, **fields: typing.Any) -> pb.Member:
    """Copy a member record with some fields replaced.

    The records themselves never change.
    """
    copy = pb.Member()
    copy.CopyFrom(member)
    for name, value in fields.items():
        setattr(copy, name, value)
    return copy


class MergeResult:
    """The change of a VM's member record by a merge.

    :param before: the previous record; None when the VM was not known.
    :param after: the new record.
    """

    __slots__ = ("before", "after")

    def __init__(self, before: pb.Member | None, after: pb.Member) -> None:
        self.before = before
        self.after = after

    @property
    def is_new_process(self) -> bool:
        """Whether the new record is of a newer process of the same VM."""
        return (
            self.before is not None
            and self.before.incarnation < self.after.incarnation
        )


class Roster:
    """Member records of the other VMs, with tombstones for the dead ones.

    Without tombstones, a stale record from another VM would make a dead VM
    live again, and work would be sent to it. The stale record loses against
    the tombstone.

    :param tombstone_s: how long the record of a dead VM is kept, in seconds.
    """

    __slots__ = (
        "_clock",
        "_tombstone_s",
        "_records",
        "_died_at",
        "_live",
        "_change_count",
    )

    def __init__(self, clock: clocks.Clock, tombstone_s: float) -> None:
        self._clock = clock
        self._tombstone_s = tombstone_s
        self._records: dict[str, pb.Member] = {}
        self._died_at: dict[str, float] = {}
        self._live: dict[str, pb.Member] = {}
        self._change_count = 0

    @property
    def changes(self) -> int:
        """A counter that rises whenever a member record changes.

        It does not count a record that differs in its accuser only.
        """
        return self._change_count

    @property
    def live(self) -> typing.Mapping[str, pb.Member]:
        """Members that are not dead, by name."""
        return self._live

    @property
    def all(self) -> typing.Mapping[str, pb.Member]:
        """All member records by name, those of dead VMs included."""
        return self._records

    @property
    def dead(self) -> list[pb.Member]:
        """The member records of dead VMs that have not expired."""
        return [self._records[vm] for vm in self._died_at]

    def get(self, vm: str) -> pb.Member | None:
        """The record of a VM, alive or dead; None when the VM is unknown."""
        return self._records.get(vm)

    def merge(self, member: pb.Member) -> MergeResult | None:
        """Merge a received member record by its precedence.

        A record that does not prevail still shows that its VM is leaving, if
        it is of the same process.

        :returns: the change; None when the record adds nothing new.
        """
        before = self._records.get(member.vm)
        if before is None:
            return self._store(None, member)
        if precedence(member) > precedence(before):
            return self._store(before, _preserve_leaving(before, member))
        if _learns_leaving(before, member):
            return self._store(before, _as_leaving(before))
        return None

    def update_accuser(self, member: pb.Member) -> None:
        """Store a record that differs from the known one in its accuser only.

        The accuser is the VM that suspects the record's VM.

        :param member: a record of the same precedence.
        """
        self._records[member.vm] = member
        if member.vm in self._live:
            self._live[member.vm] = member

    def forget(self, vm: str) -> None:
        """Remove the record of a VM."""
        self._change_count += 1
        self._records.pop(vm, None)
        self._live.pop(vm, None)
        self._died_at.pop(vm, None)

    def purge(self) -> None:
        """Remove the records of dead VMs that have expired."""
        oldest = self._clock.now() - self._tombstone_s
        for vm in [v for v, at in self._died_at.items() if at < oldest]:
            self.forget(vm)

    def _store(
        self, before: pb.Member | None, after: pb.Member
    ) -> MergeResult:
        self._change_count += 1
        self._records[after.vm] = after
        if after.state == pb.VM_DEAD:
            self._live.pop(after.vm, None)
            self._died_at[after.vm] = self._clock.now()
        else:
            self._live[after.vm] = after
            self._died_at.pop(after.vm, None)
        return MergeResult(before, after)


def _preserve_leaving(before: pb.Member, member: pb.Member) -> pb.Member:
    # The accuser may not know yet that the suspect is leaving. Its record
    # must not clear that flag, or new work would go to a VM that is about
    # to stop.
    if not _same_process(before, member) or not before.leaving:
        return member
    return _as_leaving(member)


def _as_leaving(member: pb.Member) -> pb.Member:
    alive = member.state == pb.VM_ALIVE
    state = pb.VM_LEAVING if alive else member.state
    return with_fields(member, leaving=True, state=state)


def _learns_leaving(before: pb.Member, member: pb.Member) -> bool:
    return (
        _same_process(before, member)
        and member.leaving
        and not before.leaving
        and before.state != pb.VM_DEAD
    )


def _same_process(first: pb.Member, second: pb.Member) -> bool:
    return first.incarnation == second.incarnation
