"""Rumours and changes of members that ride on other messages.

Each is sent a number of times that grows with the logarithm of the count of
members, which is enough for it to reach nearly all; the exchange of whole
views brings it to the rest. Messages are bounded in bytes: what is new and
urgent goes first, and a flood of digests makes digests late, not probes.
"""

import math
import typing

from google.protobuf import message as protobuf

from .. import clock as clocks
from ..links import peer_pb2 as pb

DIGEST_FACTOR = 4
URGENT_FACTOR = 3
URGENT_SENDS_MAX = 12
URGENT = frozenset(
    (
        "runner_leaving",
        "runner_gone",
        "quarantine",
        "catalogue",
        "ledger_moved",
    )
)
RUMOURS_MAX = 8192
# A copy may still be on its way when the rumour's lifetime is over.
SEEN_SLACK_S = 60.0
# Tag and length of an embedded message.
_FIELD_BYTES = 4
_MS = 1000.0

Identity = tuple[str, int, int]


def digest_sends(members: int) -> int:
    """How often one VM sends a digest in a group of that size."""
    return DIGEST_FACTOR * max(1, math.ceil(math.log10(members + 1)))


def urgent_sends(members: int) -> int:
    """How often it sends what nobody should miss.

    A push reaches nearly all of a large group, which needs no more sends
    than a small one.
    """
    wanted = URGENT_FACTOR * max(1, math.ceil(math.log2(members + 1)))
    return min(URGENT_SENDS_MAX, wanted)


def is_urgent(rumour: pb.Rumour) -> bool:
    """Whether it is pushed at once rather than with the next probes."""
    return rumour.WhichOneof("body") in URGENT


def size_bytes(message: protobuf.Message) -> int:
    """What the message takes inside another one."""
    return message.ByteSize() + _FIELD_BYTES


class _Held:
    """One rumour and how often it was sent, near and far."""

    __slots__ = (
        "rumour",
        "via",
        "learned_at",
        "near",
        "far",
        "urgent",
        "size",
    )

    def __init__(self, rumour: pb.Rumour, via: str, learned_at: float) -> None:
        self.rumour = rumour
        self.via = via
        self.learned_at = learned_at
        self.near = 0
        self.far = 0
        self.urgent = is_urgent(rumour)
        self.size = size_bytes(rumour)


class Rumours:
    """The rumours one VM has heard, to be passed on.

    :param vm: this VM.
    :param incarnation: of this process.
    """

    __slots__ = (
        "_clock",
        "_vm",
        "_incarnation",
        "_sequence",
        "_held",
        "_seen_until",
        "_by_key",
    )

    def __init__(self, clock: clocks.Clock, vm: str, incarnation: int) -> None:
        self._clock = clock
        self._vm = vm
        self._incarnation = incarnation
        self._sequence = 0
        self._held: dict[Identity, _Held] = {}
        self._seen_until: dict[Identity, float] = {}
        self._by_key: dict[tuple[str, str], Identity] = {}

    @property
    def held_count(self) -> int:
        """Rumours that may still be passed on."""
        return len(self._held)

    def stamp(self, rumour: pb.Rumour) -> pb.Rumour:
        """Make a rumour of this VM's own and hold it.

        :param rumour: body, scope, ``lifetime_ms`` and ``replaces_key``.
        """
        self._sequence += 1
        own = pb.Rumour()
        own.CopyFrom(rumour)
        own.origin = self._vm
        own.origin_incarnation = self._incarnation
        own.sequence = self._sequence
        own.age_ms = 0
        self.take(own, self._vm)
        return own

    def take(self, rumour: pb.Rumour, via: str) -> bool:
        """Hold a rumour that was heard.

        :param via: who passed it on; it is not sent back there.
        :returns: whether it is news; expired ones and doubles are not.
        """
        identity = _identity(rumour)
        left_s = (rumour.lifetime_ms - rumour.age_ms) / _MS
        if identity in self._seen_until or left_s <= 0:
            return False
        now = self._clock.now()
        until = now + left_s + SEEN_SLACK_S
        known_otherwise = self._seen_until.get(_topic(rumour), 0.0) > now
        self._seen_until[identity] = self._seen_until[_topic(rumour)] = until
        if known_otherwise:
            return False
        if not self._replace_older(rumour, identity):
            return False
        self._held[identity] = _Held(rumour, via, now)
        if len(self._held) > RUMOURS_MAX:
            self._drop_one()
        return True

    def pick(
        self, room_bytes: int, members: int, to: str, far: bool = False
    ) -> list[pb.Rumour]:
        """The rumours to put into one message; counts them as sent.

        :param room_bytes: what they may take together.
        :param members: the size of the group, which bounds the sends.
        :param to: the VM that the message is for.
        :param far: for another data centre: those for the fleet only.
        """
        limits = digest_sends(members), urgent_sends(members)
        wanted = sorted(
            (
                held
                for held in self._held.values()
                if held.via != to and _goes(held, far, limits[held.urgent])
            ),
            key=_far_order if far else _near_order,
        )
        return [self._send(held, far) for held in _fitting(wanted, room_bytes)]

    def everything(self, far: bool = False) -> list[pb.Rumour]:
        """All that a newcomer has to hear: what is urgent and still holds."""
        return [
            self._aged(held)
            for held in self._held.values()
            if held.urgent and (not far or _for_fleet(held))
        ]

    def purge(self) -> None:
        """Forget what is over."""
        now = self._clock.now()
        for identity in [
            identity
            for identity, held in self._held.items()
            if self._left_s(held, now) <= 0
        ]:
            del self._held[identity]
        for identity in [i for i, at in self._seen_until.items() if at < now]:
            del self._seen_until[identity]
        self._by_key = {
            key: identity
            for key, identity in self._by_key.items()
            if identity in self._held
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
            self._held.pop(known, None)
        return True

    def _drop_one(self) -> None:
        calm = (i for i, held in self._held.items() if not held.urgent)
        del self._held[next(calm, next(iter(self._held)))]

    def _send(self, held: _Held, far: bool) -> pb.Rumour:
        if far:
            held.far += 1
        else:
            held.near += 1
        return self._aged(held)

    def _aged(self, held: _Held) -> pb.Rumour:
        copy = pb.Rumour()
        copy.CopyFrom(held.rumour)
        held_ms = (self._clock.now() - held.learned_at) * _MS
        copy.age_ms = held.rumour.age_ms + int(held_ms)
        return copy

    def _left_s(self, held: _Held, now: float) -> float:
        rumour = held.rumour
        whole_s = (rumour.lifetime_ms - rumour.age_ms) / _MS
        return held.learned_at + whole_s - now


class MemberNews:
    """Changed records of members, each sent a bounded number of times."""

    __slots__ = ("_sent", "_via")

    def __init__(self) -> None:
        self._sent: dict[str, int] = {}
        self._via: dict[str, str] = {}

    def add(self, vm: str, via: str = "", sent: int = 0) -> None:
        """Start passing on the record of a VM.

        :param via: who told of it; it is not sent back there.
        :param sent: sends that are saved, as others most likely know it.
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
        """The records to put into one message; counts them as sent.

        :param to: the VM that the message is for.
        """
        limit = urgent_sends(members)
        picked: list[pb.Member] = []
        for vm in sorted(self._sent, key=self._sent.__getitem__):
            if to in (vm, self._via[vm]):
                continue
            member = record_of(vm)
            if member is None:
                del self._sent[vm]
                continue
            room_bytes -= size_bytes(member)
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


def _topic(rumour: pb.Rumour) -> Identity:
    """What the rumour tells, when several VMs tell the same.

    Each watcher of a data centre announces a new catalogue; passing on all
    of their rumours would multiply its bytes.
    """
    if rumour.HasField("catalogue"):
        catalogue = rumour.catalogue
        return "catalogue", catalogue.version, catalogue.digest
    return _identity(rumour)


def _for_fleet(held: _Held) -> bool:
    return held.rumour.scope == pb.SCOPE_FLEET


def _goes(held: _Held, far: bool, limit: int) -> bool:
    if far:
        return held.far < limit and _for_fleet(held)
    return held.near < limit


def _near_order(held: _Held) -> tuple[bool, int, float]:
    return not held.urgent, held.near, -held.learned_at


def _far_order(held: _Held) -> tuple[bool, int, float]:
    return not held.urgent, held.far, -held.learned_at


def _fitting(
    wanted: typing.Sequence[_Held], room_bytes: int
) -> typing.Iterator[_Held]:
    if wanted and wanted[0].size > room_bytes:
        # Alone, or one that is larger than a message could never be sent.
        yield wanted[0]
        return
    for held in wanted:
        if held.size <= room_bytes:
            room_bytes -= held.size
            yield held
