"""This VM's share of a limit that holds for the whole fleet.

Each VM announces its demand, and all split the limit by the same rule: a
part of it equally, the rest by demand. No call to the store is needed, and
the shares sum to the limit once all have heard the same.

The sum stays within the limit even while the announcements travel, as long
as they take no longer than :data:`SPREAD_S`: a VM that announces more goes
on with its old demand for that time, and one that announces less lives by
it at once, so the demand that a VM lives by is never above the demand that
any other VM counts for it.

Of VMs that have not been heard for long, each is left an equal share, and a
VM that hears nobody falls back to its own. So the parts of a fleet that lost
each other sum to the limit as well.
"""

import collections
import math
import typing

import xxhash

from .. import clock as clocks

#: The part of a limit that is split equally, whatever the demand.
EQUAL_PART = 0.2
#: The longest time that an announcement is trusted to take to every VM.
SPREAD_S = 3.0
#: A VM not heard for this long begins to count as cut off,
STALE_S = 10.0
#: and counts so in full after this time more.
BLEND_S = 20.0
#: How long the share of a VM that vanished without a word is left to it.
RESERVE_S = 300.0
#: Less counts as none: a sum of the smallest floats has no exact parts.
LEAST_DEMAND = 1e-9
_HASH_RANGE = 2.0**64


class _Peer:
    __slots__ = ("demand", "number", "heard_at")

    def __init__(self, demand: float, number: int, heard_at: float) -> None:
        self.demand = demand
        self.number = number
        self.heard_at = heard_at


class Share:
    """One VM's share of one limit.

    The members may be VMs or, one level up, data centres: a data centre's
    share is then the limit that its VMs split.

    :param me: this member's name.
    :param limit: of all members together.
    :param key: shifts which members get the odd unit, limit by limit.
    """

    __slots__ = (
        "_announced",
        "_clock",
        "_key",
        "_limit",
        "_me",
        "_members",
        "_peers",
        "_reserved_until",
    )

    def __init__(
        self, clock: clocks.Clock, me: str, limit: float, key: str = ""
    ) -> None:
        self._clock = clock
        self._me = me
        self._limit = limit
        self._key = key
        self._members: frozenset[str] = frozenset({me})
        self._reserved_until: dict[str, float] = {}
        self._peers: dict[str, _Peer] = {}
        #: Times and demands announced, the newest last.
        self._announced: collections.deque[tuple[float, float]] = (
            collections.deque()
        )

    @property
    def limit(self) -> float:
        """The limit of all members together."""
        return self._limit

    @property
    def amount(self) -> float:
        """What this member may use now."""
        return self.amounts().get(self._me, 0.0)

    @property
    def units(self) -> int:
        """What this member may use of a limit counted in whole units.

        The members' shares are laid end to end and the boundaries rounded,
        so the whole units sum to the limit when the shares do.
        """
        start = xxhash.xxh64_intdigest(self._key.encode()) / _HASH_RANGE
        for member, amount in sorted(self.amounts().items()):
            end = start + amount
            if member == self._me:
                return math.floor(end + 1e-9) - math.floor(start + 1e-9)
            start = end
        return 0

    def set_limit(self, limit: float) -> None:
        """Take over a changed limit."""
        self._limit = limit

    def set_members(self, members: typing.Iterable[str]) -> None:
        """Take over who is in the fleet now.

        A member that is missing without having left may be alive behind a
        broken link and go on using its share. If the others took that share
        over at once, each side of a broken link would use the whole limit.
        """
        now = self._clock.now()
        present = frozenset(members)
        for member in self._members - present - {self._me}:
            self._reserved_until.setdefault(member, now + RESERVE_S)
        self._members = present
        self._reserved_until = {
            member: until
            for member, until in self._reserved_until.items()
            if until > now and member not in present
        }

    def left(self, member: str) -> None:
        """A member has ended for certain; its share is free."""
        self._members -= {member}
        self._reserved_until.pop(member, None)
        self._peers.pop(member, None)

    def announce(self, demand: float) -> None:
        """Set this member's demand; the caller tells it to the others."""
        now = self._clock.now()
        self._announced.append((now, _countable(demand)))
        while (
            len(self._announced) > 1
            and self._announced[1][0] <= now - SPREAD_S
        ):
            self._announced.popleft()

    def receive(
        self, member: str, demand: float, number: int, age_s: float = 0.0
    ) -> None:
        """Take in another member's demand.

        :param number: rises with each announcement of that member; an older
            one that comes late is dropped.
        """
        known = self._peers.get(member)
        if member == self._me or (known and number <= known.number):
            return
        heard_at = self._clock.now() - age_s
        self._peers[member] = _Peer(_countable(demand), number, heard_at)

    def amounts(self) -> dict[str, float]:
        """The shares of all members as this one sees them."""
        now = self._clock.now()
        others = (self._members | self._still_reserved(now)) - {self._me}
        if self._me not in self._members:
            return {}
        heard = {member: self._heard(member, now) for member in others}
        heard[self._me] = 1.0
        demands = {
            member: part * self._demand_of(member, now)
            for member, part in heard.items()
        }
        equal = self._limit / len(heard)
        together = equal * sum(heard.values())
        total = sum(demands.values())
        by_demand = 0.0 if total <= 0.0 else 1.0 - EQUAL_PART
        return {
            member: equal * (1.0 - part)
            + (1.0 - by_demand) * equal * part
            + (by_demand * together * demands[member] / total if total else 0)
            for member, part in heard.items()
        }

    def _still_reserved(self, now: float) -> set[str]:
        return {m for m, until in self._reserved_until.items() if until > now}

    def _heard(self, member: str, now: float) -> float:
        """1 for a member heard lately, falling to 0 for a silent one."""
        peer = self._peers.get(member)
        if peer is None:
            return 0.0
        silent_s = now - peer.heard_at - STALE_S
        return min(1.0, max(0.0, 1.0 - silent_s / BLEND_S))

    def _demand_of(self, member: str, now: float) -> float:
        if member != self._me:
            return self._peers[member].demand if member in self._peers else 0.0
        in_force = [
            demand
            for (_, demand), until in zip(
                self._announced, self._ends(), strict=True
            )
            if until > now - SPREAD_S
        ]
        return min(in_force, default=0.0)

    def _ends(self) -> list[float]:
        """When each announced demand was replaced by the next one."""
        starts = [at for at, _ in self._announced]
        return [*starts[1:], float("inf")] if starts else []


def _countable(demand: float) -> float:
    return demand if demand >= LEAST_DEMAND else 0.0
