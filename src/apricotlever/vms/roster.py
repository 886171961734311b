"""What one VM knows of the others, merged by a strict order of records."""

import typing

from .. import clock as clocks
from ..links import peer_pb2 as pb

Standing = tuple[int, int, int]


def standing(member: pb.Member) -> Standing:
    """The order of two records of one VM; the greater one counts."""
    return member.incarnation, member.refutation, member.state


def accepts_work(member: pb.Member) -> bool:
    """Whether new work may go there."""
    return member.state == pb.VM_ALIVE and not member.leaving


def changed(member: pb.Member, **fields: typing.Any) -> pb.Member:
    """A copy with some fields replaced; records are never changed."""
    copy = pb.Member()
    copy.CopyFrom(member)
    for name, value in fields.items():
        setattr(copy, name, value)
    return copy


class Merged:
    """The outcome of a merge that changed something.

    :param before: None when the VM was not known.
    """

    __slots__ = ("before", "after")

    def __init__(self, before: pb.Member | None, after: pb.Member) -> None:
        self.before = before
        self.after = after

    @property
    def replaced(self) -> bool:
        """Whether a newer process runs under the same name."""
        return (
            self.before is not None
            and self.before.incarnation < self.after.incarnation
        )


class Roster:
    """Records of the other VMs, the dead remembered for a while.

    Why the dead are remembered: an old list that still names one would
    resurrect it; it would show as work sent to nobody. Its record loses
    against the remembered one.

    :param tombstone_s: how long a dead VM is remembered.
    """

    __slots__ = (
        "_clock",
        "_tombstone_s",
        "_records",
        "_died_at",
        "_live",
        "_changes",
    )

    def __init__(self, clock: clocks.Clock, tombstone_s: float) -> None:
        self._clock = clock
        self._tombstone_s = tombstone_s
        self._records: dict[str, pb.Member] = {}
        self._died_at: dict[str, float] = {}
        self._live: dict[str, pb.Member] = {}
        self._changes = 0

    @property
    def changes(self) -> int:
        """Rises with every change of a record."""
        return self._changes

    @property
    def live(self) -> typing.Mapping[str, pb.Member]:
        """Members that are not dead, by name."""
        return self._live

    @property
    def all(self) -> typing.Mapping[str, pb.Member]:
        """Every record, the remembered dead included."""
        return self._records

    @property
    def dead(self) -> list[pb.Member]:
        """The remembered dead."""
        return [self._records[vm] for vm in self._died_at]

    def get(self, vm: str) -> pb.Member | None:
        """The record of a VM, dead ones included."""
        return self._records.get(vm)

    def merge(self, member: pb.Member) -> Merged | None:
        """Take in a record.

        :returns: what changed; None when the record is not newer.
        """
        before = self._records.get(member.vm)
        if before is None:
            return self._store(None, member)
        if standing(member) > standing(before):
            return self._store(before, _keep_leaving(before, member))
        if _learns_leaving(before, member):
            return self._store(before, _leaving(before))
        return None

    def keep_accuser(self, member: pb.Member) -> None:
        """Hold a record that differs from ours in who suspects only."""
        self._records[member.vm] = member
        if member.vm in self._live:
            self._live[member.vm] = member

    def forget(self, vm: str) -> None:
        """Drop all that is known of a VM."""
        self._changes += 1
        self._records.pop(vm, None)
        self._live.pop(vm, None)
        self._died_at.pop(vm, None)

    def purge(self) -> None:
        """Drop the dead of long ago."""
        oldest = self._clock.now() - self._tombstone_s
        for vm in [v for v, at in self._died_at.items() if at < oldest]:
            self.forget(vm)

    def _store(self, before: pb.Member | None, after: pb.Member) -> Merged:
        self._changes += 1
        self._records[after.vm] = after
        if after.state == pb.VM_DEAD:
            self._live.pop(after.vm, None)
            self._died_at[after.vm] = self._clock.now()
        else:
            self._live[after.vm] = after
            self._died_at.pop(after.vm, None)
        return Merged(before, after)


def _keep_leaving(before: pb.Member, member: pb.Member) -> pb.Member:
    # A suspicion raised by a VM that had not heard of the leaving must not
    # undo it, or new work would go to a VM that is about to stop.
    if not _same_process(before, member) or not before.leaving:
        return member
    return _leaving(member)


def _leaving(member: pb.Member) -> pb.Member:
    alive = member.state == pb.VM_ALIVE
    state = pb.VM_LEAVING if alive else member.state
    return changed(member, leaving=True, state=state)


def _learns_leaving(before: pb.Member, member: pb.Member) -> bool:
    return (
        _same_process(before, member)
        and member.leaving
        and not before.leaving
        and before.state != pb.VM_DEAD
    )


def _same_process(one: pb.Member, other: pb.Member) -> bool:
    return one.incarnation == other.incarnation
