"""A customer's rate limit that all entry VMs enforce together.

The limit counts units, of which each call uses a number. Each VM counts the
units that it admitted and sends its total to the others several times a
second, in its records: the datagrams by which VMs tell each other their state.
Each VM keeps one token bucket of the whole limit and charges it with the
totals of all VMs. Its level is the number of units left. So a VM can use what
the others leave, wherever the demand is, and no call to the store is needed.

A member that falls silent may be alive and still admitting work. Its equal
share of the limit stays reserved until the member is known to be gone, and a
VM that hears from nobody uses only its own equal share. In a network
partition, the sides together therefore stay within the limit.

VMs that admit calls at the same moment learn of each other too late. The
excess that this causes is not charged to later calls, because calls that the
limit has room for would be refused. Instead, a second bucket bounds the
excess. This ceiling bucket is larger by a part of the permitted overshoot.
"""

import typing

from .. import clock as clocks
from . import token_bucket

#: Seconds without contact after which a member, another VM that may admit
#: work, counts as silent and its equal share of a limit is reserved. Records
#: arrive every 0.2 s, and five in a row are rarely lost by chance.
SILENCE_TIMEOUT_S = 1.2
#: The same timeout in record intervals, for fleets so large that records
#: are sent less often.
SILENCE_TIMEOUT_RECORDS = 2.5
#: Fleet size that a process assumes before its first contact, to use only
#: its share of each limit. If all processes start at once, each of them would
#: otherwise admit a whole burst.
ASSUMED_FLEET_SIZE = 8
#: Seconds after the start for which :data:`ASSUMED_FLEET_SIZE` applies. The
#: records of all members arrive within less.
DISCOVERY_S = 1.0
#: Retry delay in seconds for a call that exceeds the VM's share of one tick.
NEXT_TICK_RETRY_S = 0.1
#: Seconds after which a process has counted long enough for its level to
#: be right, even if no other process has told it the level.
WARM_UP_S = 8.0
#: Units that a VM may admit between two ticks, as a multiple of its equal
#: share of the remaining level. The VM learns only later what the others
#: admit in the meantime.
TICK_SHARE_FACTOR = 2.0
#: The longest time in seconds that a record takes to arrive.
MAX_RECORD_DELAY_S = 0.5
#: Fraction of the units by which a limit may be exceeded for a while
#: (``overshoot_units``) that calls admitted because of late totals may use.
#: The rest is left to processes that start without knowing the level.
LATE_TOTALS_FRACTION = 0.25
#: The same for the fraction of the limit by which it may be exceeded at all
#: times (``overshoot``).
LATE_TOTALS_OVERSHOOT_FRACTION = 0.5


class MemberLiveness:
    """The other VMs that may admit work, and the last contact with each.

    The limits of all customers share one instance. Separate instances would
    each scan all VMs ten times a second, a considerable part of the load of
    an idle VM.
    """

    __slots__ = (
        "_clock",
        "_started_at",
        "last_contact",
        "members",
        "_silence_timeout_s",
    )

    def __init__(self, clock: clocks.Clock) -> None:
        self._clock = clock
        self._started_at = clock.now()
        self.members: frozenset[str] = frozenset()
        #: The monotonic time in seconds of the last contact, by member.
        self.last_contact: dict[str, float] = {}
        self._silence_timeout_s = SILENCE_TIMEOUT_S

    @property
    def silent_count(self) -> int:
        """The number of members that have been silent for too long."""
        oldest = self._clock.now() - self._silence_timeout_s
        record_contact = map(self.last_contact.get, self.members)
        return sum(at is None or at < oldest for at in record_contact)

    def heard_share(self, silent: int) -> float:
        """The part of the fleet that is not silent, this VM included.

        Before its first contact, a VM assumes a fleet of
        :data:`ASSUMED_FLEET_SIZE` for :data:`DISCOVERY_S`.

        :param silent: the last :attr:`silent_count`.
        """
        fleet_size = len(self.members) + 1
        share = (fleet_size - silent) / fleet_size
        age_s = self._clock.now() - self._started_at
        if not self.last_contact and age_s < DISCOVERY_S:
            return min(share, 1.0 / ASSUMED_FLEET_SIZE)
        return share

    def set_members(
        self, members: typing.Iterable[str], record_interval_s: float = 0.0
    ) -> None:
        """Set which other VMs may admit work, silent ones included.

        :param members: the names of their processes.
        :param record_interval_s: seconds between two records of a member.
        """
        self.members = frozenset(members)
        self._silence_timeout_s = max(
            SILENCE_TIMEOUT_S, SILENCE_TIMEOUT_RECORDS * record_interval_s
        )

    def heard(self, member: str) -> None:
        """Note a contact with a member, such as the arrival of its record."""
        self.last_contact[member] = self._clock.now()


class FleetRateLimit:
    """One VM's instance of the rate limit of one customer.

    :param clock: the source of time.
    :param rate: units per second of the whole fleet; 0 for no limit.
    :param burst: units that the fleet may admit in addition to the rate.
    :param overshoot_units: units by which the fleet may exceed the limit
        for a while. A process that starts without knowing the level begins
        with a part of them, and calls admitted because of late totals may
        use another part.
    :param presence: contacts with the other VMs; a separate instance by
        default.
    :param overshoot: fraction of the limit by which it may be exceeded at
        all times.
    """

    __slots__ = (
        "_early_at",
        "_bucket",
        "_burst",
        "_ceiling",
        "_ceiling_factor",
        "_clock",
        "_initial_units",
        "_tick_admitted",
        "_is_initialized",
        "_usable_fraction",
        "_presence",
        "_rate",
        "_tick_level",
        "_started_at",
        "_late_allowance",
        "_totals",
        "_admitted_units",
        "_withheld",
    )

    def __init__(
        self,
        clock: clocks.Clock,
        rate: float,
        burst: float,
        overshoot_units: float = 0.0,
        presence: MemberLiveness | None = None,
        overshoot: float = 0.0,
    ) -> None:
        self._presence = presence or MemberLiveness(clock)
        self._clock = clock
        self._rate = rate
        self._burst = burst
        self._started_at = clock.now()
        self._is_initialized = False
        self._withheld = 0.0
        self._bucket = token_bucket.TokenBucket(clock, rate, burst)
        #: Units that this process may admit before it knows the level.
        self._initial_units = max(
            burst / ASSUMED_FLEET_SIZE / 2,
            overshoot_units / ASSUMED_FLEET_SIZE,
        )
        self._bucket.charge(max(0.0, burst - self._initial_units))
        #: Permitted excess of the ceiling bucket over the burst, in units.
        #: Unlike the main bucket, the ceiling bucket is charged with all
        #: admitted units, including the excess that late totals reveal.
        self._late_allowance = LATE_TOTALS_FRACTION * overshoot_units
        self._ceiling_factor = 1.0 + LATE_TOTALS_OVERSHOOT_FRACTION * overshoot
        self._ceiling = token_bucket.TokenBucket(
            clock, rate * self._ceiling_factor, burst + self._late_allowance
        )
        self._ceiling.charge(max(0.0, burst - self._initial_units))
        #: The level at the last tick, and the units admitted since then.
        self._tick_level = self._bucket.level
        self._tick_admitted = 0.0
        self._admitted_units = 0.0
        self._totals: dict[str, float] = {}
        #: When a member's total arrived ahead of its records.
        self._early_at: dict[str, float] = {}
        self._usable_fraction = 1.0

    @property
    def admitted_units(self) -> float:
        """Units that this VM has admitted since it started."""
        return self._admitted_units

    @property
    def usable_fraction(self) -> float:
        """The fraction of the limit that is not reserved for silent VMs."""
        return self._usable_fraction

    def set_limit(self, rate: float, burst: float) -> None:
        """Change the limit.

        :param rate: units per second of the whole fleet.
        :param burst: units that the fleet may admit in addition to the rate.
        """
        self._rate = rate
        self._burst = burst
        self._apply_limit()

    def set_members(
        self, members: typing.Iterable[str], record_interval_s: float = 0.0
    ) -> None:
        """Set which other VMs may admit work, silent ones included.

        :param members: the names of their processes.
        :param record_interval_s: seconds between two records of a member.
        """
        self._presence.set_members(members, record_interval_s)
        self.tick()

    def record_contact(self, member: str) -> None:
        """Note a record of another VM that has no total for this customer."""
        self._presence.heard(member)

    def receive_total(self, member: str, total: float) -> None:
        """Receive the units that another VM has admitted since it started.

        :param member: the name of the VM's process, which changes when the
            process restarts.
        :param total: units admitted for this customer.
        """
        self._presence.heard(member)
        now = self._clock.now()
        previous = self._totals.get(member, 0.0)
        early_at = self._early_at.get(member)
        if early_at is not None:
            if total < previous and now - early_at < MAX_RECORD_DELAY_S:
                return
            del self._early_at[member]
        if total == previous:
            # Most records bring no change for most customers.
            self._totals[member] = total
            return
        if member not in self._totals:
            # The process may have run for hours. Only the units that a newly
            # started process can have admitted by now are charged.
            previous = max(0.0, total - self._initial_units)
        self._totals[member] = total
        self._charge_remote(total - previous)

    def receive_relayed_total(self, member: str, total: float) -> None:
        """Receive another VM's total that a third VM relays.

        The relaying VM may have been suspended and may send an outdated
        total. Treated as a refund, an outdated total would credit units that
        the next total charges again. So a lower total is ignored.

        :param member: the name of the VM's process.
        :param total: units admitted for this customer.
        """
        if total > self._totals.get(member, 0.0):
            self.receive_total(member, total)

    def receive_early_total(self, member: str, total: float) -> None:
        """Receive a total that is newer than the member's records.

        Records that the total overtook bring lower totals when they arrive.
        Treated as refunds, they would credit units for a moment. So lower
        totals are ignored until those records must have arrived.

        :param member: the name of the VM's process.
        :param total: units admitted for this customer.
        """
        if total > self._totals.get(member, 0.0):
            self._early_at.pop(member, None)
            self.receive_total(member, total)
            self._early_at[member] = self._clock.now()

    @property
    def is_limited(self) -> bool:
        """Whether the customer has a limit."""
        return self._rate > 0.0

    @property
    def level(self) -> float | None:
        """The units left; None while this process does not know them."""
        return self._bucket.level if self._is_initialized else None

    def initialize_level(self, level: float) -> None:
        """Set the level from another process that knows it; only once.

        A process that starts does not know what was admitted before. If it
        began with few units, it would refuse calls that the limit allows. If
        it began with a whole burst, each process that starts would admit one.

        :param level: units left now, according to an older process or to the
            checkpoint in the store.
        """
        if self._is_initialized:
            return
        self._is_initialized = True
        usable_level = min(level, self._burst * self._usable_fraction)
        # Until the first contact, all other processes may have received the
        # same level. This process uses only its share, and the rest is
        # released once it exchanges totals with the others.
        self._withheld = level - usable_level
        self._bucket.charge(self._bucket.level - usable_level)
        max_ceiling_level = (
            usable_level + self._late_allowance * self._usable_fraction
        )
        self._ceiling.charge(self._ceiling.level - max_ceiling_level)
        self._tick_level = max(0.0, usable_level)

    def remove_member(self, member: str) -> None:
        """Forget the total of a VM's process that has ended.

        The units that it admitted stay charged.
        """
        self._totals.pop(member, None)
        self._early_at.pop(member, None)
        self._presence.last_contact.pop(member, None)

    @property
    def refill_rate(self) -> float:
        """Units per second that are not reserved for silent VMs."""
        return self._bucket.rate

    @property
    def usable_burst(self) -> float:
        """The part of the burst that is not reserved for silent VMs."""
        return self._burst * self._usable_fraction

    def backlog_s(self, units: float) -> float:
        """Return the seconds until units of several calls have been refilled.

        :param units: the units of all these calls.
        """
        return max(
            self._bucket.backlog_s(units), self._ceiling.backlog_s(units)
        )

    def take(
        self, units: float, for_all: bool = False, reserved: float = 0.0
    ) -> float:
        """Admit a call if the limit allows it.

        :param units: the units of the call.
        :param for_all: whether this VM decides for all VMs, as the keeper of
            the limit (see :mod:`.limit_keepers`). Then it need not leave the
            others a share of the level.
        :param reserved: units that this call must leave to others.
        :returns: 0 if the call was admitted, else the seconds until it may
            be.
        """
        if self._rate <= 0.0:
            self._admitted_units += units
            return 0.0
        wait_s = max(
            self._bucket.wait_s(units, reserved),
            self._ceiling.wait_s(units, reserved),
        )
        if wait_s > 0.0:
            return wait_s
        is_tick_limited = self._tick_admitted and not for_all
        if (
            is_tick_limited
            and self._tick_admitted + units > self._tick_share()
        ):
            return NEXT_TICK_RETRY_S
        self._credit(-units)
        self._tick_admitted += units
        self._admitted_units += units
        return 0.0

    def _tick_share(self) -> float:
        """Return the units that this VM may admit from one tick to the next.

        The rest of the level is left to the other VMs, whose totals arrive
        only later.
        """
        fleet_size = len(self._presence.members) + 1
        return self._tick_level * min(1.0, TICK_SHARE_FACTOR / fleet_size)

    def refund(self, units: float) -> None:
        """Give back the units that an admitted call took but did not use.

        :param units: the units of the call, which did not run.
        """
        self._credit(units)
        self._tick_admitted = max(0.0, self._tick_admitted - units)
        self._admitted_units -= units

    def tick(self, silent: int | None = None) -> None:
        """Recompute the fraction of the limit that this VM may use.

        The shares of silent members are reserved for them. The call also
        starts a new tick, in which :data:`TICK_SHARE_FACTOR` bounds what this
        VM admits. The caller calls this method several times a second.

        :param silent: the number of members that have been silent for too
            long; None to count them.
        """
        now = self._clock.now()
        self._tick_level = max(0.0, self._bucket.level)
        self._tick_admitted = 0.0
        if silent is None:
            silent = self._presence.silent_count
        has_contact = bool(self._presence.last_contact)
        fleet_size = len(self._presence.members) + 1
        if now - self._started_at > WARM_UP_S:
            self._is_initialized = True
        fraction = (fleet_size - silent) / fleet_size
        if not has_contact and now - self._started_at < DISCOVERY_S:
            fraction = min(fraction, 1.0 / ASSUMED_FLEET_SIZE)
        if fraction != self._usable_fraction:
            self._usable_fraction = fraction
            self._apply_limit()
        if self._withheld and has_contact:
            room = max(0.0, self._burst * fraction - self._bucket.level)
            released = min(self._withheld, room)
            self._credit(released)
            self._tick_level += released
            self._withheld -= released

    def _apply_limit(self) -> None:
        fraction = self._usable_fraction
        rate, burst = self._rate * fraction, self._burst * fraction
        self._bucket.set_rate(rate, burst)
        self._ceiling.set_rate(
            rate * self._ceiling_factor,
            burst + self._late_allowance * fraction,
        )

    def _credit(self, units: float) -> None:
        """Add units to both buckets; a negative number takes them."""
        self._bucket.charge(-units)
        self._ceiling.charge(-units)

    def _charge_remote(self, units: float) -> None:
        """Charge units that other VMs admitted.

        Units beyond the level are charged to the ceiling bucket only.
        """
        remaining = max(0.0, self._bucket.level + self._withheld)
        self._bucket.charge(min(units, remaining))
        self._ceiling.charge(units)
