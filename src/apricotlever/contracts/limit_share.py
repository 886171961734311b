"""This VM's share of a limit that holds for the whole fleet.

Each VM announces its demand, and all VMs split the limit by the same rule:
one part equally, the rest in proportion to demand. No call to the store is
needed, and the shares sum to the limit once all VMs know the same demands.

The sum also stays within the limit while announcements are under way, if
they take no longer than :data:`PROPAGATION_S`. A VM that announces a higher
demand uses its old demand for that time, and a VM that announces a lower one
uses the new demand at once. So a VM never uses a higher demand for itself
than any other VM assumes for it.

A VM that has been silent for long keeps an equal share, and a VM that hears
from nobody falls back to its own equal share. So the shares sum to the limit
in a network partition as well.
"""

import collections
import math
import typing

import xxhash

from .. import clock as clocks

#: The fraction of a limit that is split equally, whatever the demand.
EQUAL_FRACTION = 0.2
#: The longest time in seconds that an announcement may take to every VM.
PROPAGATION_S = 3.0
#: Seconds of silence after which a VM begins to count as disconnected.
STALE_S = 10.0
#: Further seconds of silence after which it counts so fully.
STALE_DECAY_S = 20.0
#: Seconds for which a VM that disappeared without notice keeps its share.
DEPARTURE_RESERVE_S = 300.0
#: Demand below this counts as none, because fractions of a sum of very small
#: floats are not exact.
MIN_DEMAND = 1e-9
_HASH_RANGE = 2.0**64


class _Peer:
    """The last announcement of another member, and when it was made."""

    __slots__ = ("demand", "number", "heard_at")

    def __init__(self, demand: float, number: int, heard_at: float) -> None:
        self.demand = demand
        self.number = number
        self.heard_at = heard_at


class LimitShare:
    """One VM's share of one limit.

    The members may be VMs or, one level up, data centres: a data centre's
    share is then the limit that its VMs split.

    :param clock: the source of time.
    :param own_name: this member's name.
    :param limit: the limit of all members together.
    :param rounding_seed: decides which members get the units that rounding
        leaves over; it differs from limit to limit.
    """

    __slots__ = (
        "_announced",
        "_clock",
        "_rounding_seed",
        "_limit",
        "_own_name",
        "_members",
        "_peers",
        "_reserved_until",
    )

    def __init__(
        self,
        clock: clocks.Clock,
        own_name: str,
        limit: float,
        rounding_seed: str = "",
    ) -> None:
        self._clock = clock
        self._own_name = own_name
        self._limit = limit
        self._rounding_seed = rounding_seed
        self._members: frozenset[str] = frozenset({own_name})
        self._reserved_until: dict[str, float] = {}
        self._peers: dict[str, _Peer] = {}
        #: Announced demands with their times, the newest last.
        self._announced: collections.deque[tuple[float, float]] = (
            collections.deque()
        )

    @property
    def limit(self) -> float:
        """The limit of all members together."""
        return self._limit

    @property
    def amount(self) -> float:
        """The part of the limit that this member may use now."""
        return self.amounts().get(self._own_name, 0.0)

    @property
    def whole_units(self) -> int:
        """This member's share of a limit that is counted in whole units.

        The members' shares are laid end to end and the boundaries rounded,
        so the whole units sum to the limit if the shares do.
        """
        start = (
            xxhash.xxh64_intdigest(self._rounding_seed.encode()) / _HASH_RANGE
        )
        for member, amount in sorted(self.amounts().items()):
            end = start + amount
            if member == self._own_name:
                return math.floor(end + 1e-9) - math.floor(start + 1e-9)
            start = end
        return 0

    def set_limit(self, limit: float) -> None:
        """Change the limit of all members together."""
        self._limit = limit

    def set_members(self, members: typing.Iterable[str]) -> None:
        """Set the members that are in the fleet now.

        A member that disappeared without leaving may still run behind a
        broken link and use its share. If the others took over that share at
        once, each side of the broken link would use the whole limit.
        """
        now = self._clock.now()
        present = frozenset(members)
        for member in self._members - present - {self._own_name}:
            self._reserved_until.setdefault(member, now + DEPARTURE_RESERVE_S)
        self._members = present
        self._reserved_until = {
            member: until
            for member, until in self._reserved_until.items()
            if until > now and member not in present
        }

    def remove_member(self, member: str) -> None:
        """Remove a member that has certainly ended and free its share."""
        self._members -= {member}
        self._reserved_until.pop(member, None)
        self._peers.pop(member, None)

    def announce(self, demand: float) -> None:
        """Set this member's demand; the caller sends it to the others.

        A higher demand takes effect on this member's share only after
        :data:`PROPAGATION_S`, when all others have received it.
        """
        now = self._clock.now()
        self._announced.append((now, _significant_demand(demand)))
        while (
            len(self._announced) > 1
            and self._announced[1][0] <= now - PROPAGATION_S
        ):
            self._announced.popleft()

    def receive(
        self, member: str, demand: float, number: int, age_s: float = 0.0
    ) -> None:
        """Receive another member's demand.

        :param member: the member's name.
        :param demand: its demand, in the units of the limit.
        :param number: rises with each announcement of that member; an older
            announcement that arrives late is dropped.
        :param age_s: seconds since the announcement was made.
        """
        peer = self._peers.get(member)
        if member == self._own_name or (peer and number <= peer.number):
            return
        heard_at = self._clock.now() - age_s
        self._peers[member] = _Peer(
            _significant_demand(demand), number, heard_at
        )

    def amounts(self) -> dict[str, float]:
        """Return the shares of all members, as far as this member knows.

        Each member gets a part of an equal share that does not depend on
        demand, and a part of the rest in proportion to its demand. The longer
        a member has been silent, the closer its share is to an equal one.

        :returns: the shares by member, reserved ones included; empty if this
            member is not in the fleet.
        """
        now = self._clock.now()
        others = (self._members | self._reserved_members(now)) - {
            self._own_name
        }
        if self._own_name not in self._members:
            return {}
        freshness = {member: self._freshness(member, now) for member in others}
        freshness[self._own_name] = 1.0
        demands = {
            member: fresh * self._effective_demand(member, now)
            for member, fresh in freshness.items()
        }
        equal = self._limit / len(freshness)
        fresh_total = equal * sum(freshness.values())
        total = sum(demands.values())
        demand_fraction = 0.0 if total <= 0.0 else 1.0 - EQUAL_FRACTION
        return {
            member: equal * (1.0 - fresh)
            + (1.0 - demand_fraction) * equal * fresh
            + (
                demand_fraction * fresh_total * demands[member] / total
                if total
                else 0
            )
            for member, fresh in freshness.items()
        }

    def _reserved_members(self, now: float) -> set[str]:
        return {m for m, until in self._reserved_until.items() if until > now}

    def _freshness(self, member: str, now: float) -> float:
        """Return how current the known demand of a member is.

        :returns: 1.0 up to :data:`STALE_S` after its last announcement, then
            falling linearly to 0.0, when only its equal share counts.
        """
        peer = self._peers.get(member)
        if peer is None:
            return 0.0
        silent_s = now - peer.heard_at - STALE_S
        return min(1.0, max(0.0, 1.0 - silent_s / STALE_DECAY_S))

    def _effective_demand(self, member: str, now: float) -> float:
        if member != self._own_name:
            return self._peers[member].demand if member in self._peers else 0.0
        effective = [
            demand
            for (_, demand), until in zip(
                self._announced, self._end_times(), strict=True
            )
            if until > now - PROPAGATION_S
        ]
        return min(effective, default=0.0)

    def _end_times(self) -> list[float]:
        """Return when each announced demand was replaced by the next one."""
        starts = [at for at, _ in self._announced]
        return [*starts[1:], float("inf")] if starts else []


def _significant_demand(demand: float) -> float:
    """Return the demand, or 0.0 if it is below :data:`MIN_DEMAND`."""
    return demand if demand >= MIN_DEMAND else 0.0
