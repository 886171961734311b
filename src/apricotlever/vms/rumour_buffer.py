"""Rumours and member updates that are piggybacked on other messages.

A rumour is a message to all VMs of a data centre or of the fleet, such as one
that a runner has gone. VMs pass it on to each other by gossip. Each update is
sent a number of times that grows with the logarithm of the count of members.
That is enough for it to reach nearly all VMs; the exchange of full views
brings it to the rest. Messages are bounded in bytes, and new and urgent
updates go first: a flood of load digests delays load digests, not probes.
"""

import math
import typing

from google.protobuf import message as protobuf

from .. import clock as clocks
from ..links import peer_pb2 as pb

ROUTINE_SEND_FACTOR = 4
URGENT_SEND_FACTOR = 3
URGENT_SENDS_MAX = 12
URGENT_BODIES = frozenset(
    (
        "runner_leaving",
        "runner_gone",
        "quarantine",
        "catalogue",
        "ledger_moved",
    )
)
BUFFERED_RUMOURS_MAX = 8192
# How long after the end of a rumour's lifetime its identity is kept, as a copy
# may still be in transit then.
SEEN_GRACE_S = 60.0
# Bytes of the tag and length of an embedded message.
_FIELD_BYTES = 4
_MS = 1000.0

Identity = tuple[str, int, int]


def routine_send_limit(members: int) -> int:
    """How many times one VM sends a rumour that is not urgent.

    :param members: number of members known to the VM, itself included.
    """
    return ROUTINE_SEND_FACTOR * max(1, math.ceil(math.log10(members + 1)))


def urgent_send_limit(members: int) -> int:
    """How many times one VM sends an urgent rumour or a member update.

    The count is capped: the push alone reaches nearly all VMs of a large
    group.

    :param members: number of members known to the VM, itself included.
    """
    sends = URGENT_SEND_FACTOR * max(1, math.ceil(math.log2(members + 1)))
    return min(URGENT_SENDS_MAX, sends)


def is_urgent(rumour: pb.Rumour) -> bool:
    """Whether a rumour is pushed at once, not with the next probes."""
    return rumour.WhichOneof("body") in URGENT_BODIES


def embedded_size_bytes(message: protobuf.Message) -> int:
    """Size in bytes of a message when it is embedded in another one."""
    return message.ByteSize() + _FIELD_BYTES


class _BufferedRumour:
    """A buffered rumour, and how often this VM has sent it.

    Sends within this data centre and to other ones are counted separately.
    """

    __slots__ = (
        "rumour",
        "via",
        "learned_at",
        "local_sends",
        "remote_sends",
        "urgent",
        "size",
    )

    def __init__(self, rumour: pb.Rumour, via: str, learned_at: float) -> None:
        self.rumour = rumour
        self.via = via
        self.learned_at = learned_at
        self.local_sends = 0
        self.remote_sends = 0
        self.urgent = is_urgent(rumour)
        self.size = embedded_size_bytes(rumour)


class RumourBuffer:
    """Rumours that one VM has announced or received, and passes on.

    Each rumour is accepted once. It is passed on until it has been sent often
    enough, its lifetime has ended or a newer rumour replaces it.

    :param vm: name of this VM.
    :param incarnation: incarnation of this process.
    """

    __slots__ = (
        "_clock",
        "_vm",
        "_incarnation",
        "_sequence",
        "_buffered",
        "_seen_until",
        "_by_key",
    )

    def __init__(self, clock: clocks.Clock, vm: str, incarnation: int) -> None:
        self._clock = clock
        self._vm = vm
        self._incarnation = incarnation
        self._sequence = 0
        self._buffered: dict[Identity, _BufferedRumour] = {}
        self._seen_until: dict[Identity, float] = {}
        self._by_key: dict[tuple[str, str], Identity] = {}

    @property
    def buffered_count(self) -> int:
        """Number of rumours in the buffer."""
        return len(self._buffered)

    def add_own(self, rumour: pb.Rumour) -> pb.Rumour:
        """Add a rumour that this VM announces.

        :param rumour: body, scope, ``lifetime_ms`` and ``replaces_key``.
        :returns: a copy with origin, sequence number and age filled in.
        """
        self._sequence += 1
        own = pb.Rumour()
        own.CopyFrom(rumour)
        own.origin = self._vm
        own.origin_incarnation = self._incarnation
        own.sequence = self._sequence
        own.age_ms = 0
        self.receive(own, self._vm)
        return own

    def receive(self, rumour: pb.Rumour, via: str) -> bool:
        """Buffer a received rumour, unless it is expired or already known.

        :param via: the VM that sent it; the rumour is not sent back there.
        :returns: whether it is new; expired rumours and duplicates are not.
        """
        identity = _identity(rumour)
        left_s = (rumour.lifetime_ms - rumour.age_ms) / _MS
        if identity in self._seen_until or left_s <= 0:
            return False
        now = self._clock.now()
        until = now + left_s + SEEN_GRACE_S
        known_otherwise = (
            self._seen_until.get(_content_identity(rumour), 0.0) > now
        )
        self._seen_until[identity] = self._seen_until[
            _content_identity(rumour)
        ] = until
        if known_otherwise:
            return False
        if not self._replace_older(rumour, identity):
            return False
        self._buffered[identity] = _BufferedRumour(rumour, via, now)
        if len(self._buffered) > BUFFERED_RUMOURS_MAX:
            self._drop_one()
        return True

    def pick(
        self, room_bytes: int, members: int, to: str, remote: bool = False
    ) -> list[pb.Rumour]:
        """Select rumours for one message and count them as sent.

        :param room_bytes: upper bound of their total size.
        :param members: number of members known to this VM, itself included,
            which determines how often each rumour is sent.
        :param to: receiver of the message.
        :param remote: whether the receiver is in another data centre; only
            rumours of fleet scope are selected then.
        """
        limits = routine_send_limit(members), urgent_send_limit(members)
        candidates = sorted(
            (
                buffered
                for buffered in self._buffered.values()
                if buffered.via != to
                and _is_sendable(buffered, remote, limits[buffered.urgent])
            ),
            key=_remote_order if remote else _local_order,
        )
        return [
            self._send(buffered, remote)
            for buffered in _fit(candidates, room_bytes)
        ]

    def urgent_rumours(self, remote: bool = False) -> list[pb.Rumour]:
        """Urgent rumours within their lifetime, for a VM that has joined.

        :param remote: whether that VM is in another data centre; only rumours
            of fleet scope are selected then.
        """
        return [
            self._copy_with_age(buffered)
            for buffered in self._buffered.values()
            if buffered.urgent and (not remote or _has_fleet_scope(buffered))
        ]

    def drop_expired(self) -> None:
        """Drop expired rumours, and identities that detect late copies."""
        now = self._clock.now()
        for identity in [
            identity
            for identity, buffered in self._buffered.items()
            if self._left_s(buffered, now) <= 0
        ]:
            del self._buffered[identity]
        for identity in [i for i, at in self._seen_until.items() if at < now]:
            del self._seen_until[identity]
        self._by_key = {
            key: identity
            for key, identity in self._by_key.items()
            if identity in self._buffered
        }

    def _replace_older(self, rumour: pb.Rumour, identity: Identity) -> bool:
        if not rumour.replaces_key:
            return True
        key = (rumour.origin, rumour.replaces_key)
        known = self._by_key.get(key)
        if known is not None and known > identity:
            return False
        self._by_key[key] = identity
        if known is not None:
            self._buffered.pop(known, None)
        return True

    def _drop_one(self) -> None:
        not_urgent = (
            i for i, buffered in self._buffered.items() if not buffered.urgent
        )
        del self._buffered[next(not_urgent, next(iter(self._buffered)))]

    def _send(self, buffered: _BufferedRumour, remote: bool) -> pb.Rumour:
        if remote:
            buffered.remote_sends += 1
        else:
            buffered.local_sends += 1
        return self._copy_with_age(buffered)

    def _copy_with_age(self, buffered: _BufferedRumour) -> pb.Rumour:
        copy = pb.Rumour()
        copy.CopyFrom(buffered.rumour)
        held_ms = (self._clock.now() - buffered.learned_at) * _MS
        copy.age_ms = buffered.rumour.age_ms + int(held_ms)
        return copy

    def _left_s(self, buffered: _BufferedRumour, now: float) -> float:
        rumour = buffered.rumour
        whole_s = (rumour.lifetime_ms - rumour.age_ms) / _MS
        return buffered.learned_at + whole_s - now


class MemberUpdates:
    """VMs whose member record has changed and is still to be passed on.

    Each record is sent a bounded number of times.
    """

    __slots__ = ("_sent", "_via")

    def __init__(self) -> None:
        self._sent: dict[str, int] = {}
        self._via: dict[str, str] = {}

    def add(self, vm: str, via: str = "", sent: int = 0) -> None:
        """Start passing on the member record of a VM.

        :param via: the VM that sent it; the record is not sent back there.
        :param sent: sends to count as already made, for a record that most
            other VMs are likely to have.
        """
        self._sent[vm] = sent
        self._via[vm] = via

    def pick(
        self,
        room_bytes: int,
        members: int,
        to: str,
        record_of: typing.Callable[[str], pb.Member | None],
    ) -> list[pb.Member]:
        """Select member records for one message and count them as sent.

        :param room_bytes: upper bound of their total size.
        :param members: number of members known to this VM, itself included,
            which determines how often each record is sent.
        :param to: receiver of the message.
        :param record_of: returns the current record of a VM, None if it is
            unknown.
        """
        limit = urgent_send_limit(members)
        picked: list[pb.Member] = []
        for vm in sorted(self._sent, key=self._sent.__getitem__):
            if to in (vm, self._via[vm]):
                continue
            member = record_of(vm)
            if member is None:
                del self._sent[vm]
                continue
            room_bytes -= embedded_size_bytes(member)
            if room_bytes < 0:
                break
            picked.append(member)
            self._count(vm, limit)
        return picked

    def _count(self, vm: str, limit: int) -> None:
        self._sent[vm] += 1
        if self._sent[vm] >= limit:
            del self._sent[vm]


def _identity(rumour: pb.Rumour) -> Identity:
    return rumour.origin, rumour.origin_incarnation, rumour.sequence


def _content_identity(rumour: pb.Rumour) -> Identity:
    """Identify a rumour by its content if several VMs announce the same.

    Each watcher of a data centre announces a new catalogue. Passing on all of
    their rumours would multiply the bytes sent.
    """
    if rumour.HasField("catalogue"):
        catalogue = rumour.catalogue
        return "catalogue", catalogue.version, catalogue.digest
    return _identity(rumour)


def _has_fleet_scope(buffered: _BufferedRumour) -> bool:
    return buffered.rumour.scope == pb.SCOPE_FLEET


def _is_sendable(buffered: _BufferedRumour, remote: bool, limit: int) -> bool:
    if remote:
        return buffered.remote_sends < limit and _has_fleet_scope(buffered)
    return buffered.local_sends < limit


def _local_order(buffered: _BufferedRumour) -> tuple[bool, int, float]:
    return not buffered.urgent, buffered.local_sends, -buffered.learned_at


def _remote_order(buffered: _BufferedRumour) -> tuple[bool, int, float]:
    return not buffered.urgent, buffered.remote_sends, -buffered.learned_at


def _fit(
    candidates: typing.Sequence[_BufferedRumour], room_bytes: int
) -> typing.Iterator[_BufferedRumour]:
    if candidates and candidates[0].size > room_bytes:
        # A rumour larger than the room is sent on its own, as it could never
        # be sent otherwise.
        yield candidates[0]
        return
    for buffered in candidates:
        if buffered.size <= room_bytes:
            room_bytes -= buffered.size
            yield buffered
