"""A customer's rate limit that all entry VMs keep together.

Each VM counts what it let in and tells the others its total several times a
second; each keeps one token bucket of the whole limit and charges it with
everybody's counts. So a VM uses what the others leave, wherever the demand
is, and no call to the store is needed.

A member that falls silent may be alive and letting work in unseen. Its
equal part of the limit is left to it until it is known to be gone, and a VM
that hears nobody lives by its own part: the sides of a broken network
together stay inside the limit.

VMs that let calls in at the same moment hear of each other too late. What
that makes too much is not taken from the calls that come next, or some that
the limit has room for would be refused; a second bucket, larger by a part of
what a limit may be exceeded by, bounds it.
"""

import typing

from .. import clock as clocks
from . import rates

#: A member not heard for so long, in seconds, has its part set aside. News
#: comes every fifth of a second; five in a row are rarely lost by chance.
SILENT_S = 1.2
#: The same in records, for a fleet so large that they come more rarely.
SILENT_RECORDS = 2.5
#: VMs that a process takes the fleet to have while it has heard none: when
#: all start at once, each would else let in a whole burst.
ASSUMED_VMS = 8
#: For how long after its start, in seconds. News of all comes within less.
ALONE_S = 1.0
#: When a call that met no share should come back, in seconds.
NEXT_TICK_S = 0.1
#: A process that counted for so long knows what is left, in seconds.
INFORMED_S = 8.0
#: Times its equal part of what is left that a VM lets in between two ticks:
#: what others let in meanwhile it hears only later.
PART_OF_REST = 2.0
#: How long a record may be under way, in seconds.
OVERTAKEN_S = 0.5
#: Part of the units by which a limit may be exceeded that late news may use
#: up. The rest is for processes that start and know nothing yet.
LATE_NEWS_PART = 0.25
#: The same of the part by which it may be exceeded for as long as one likes.
LATE_NEWS_OVERSHOOT_PART = 0.5


class Presence:
    """Which other VMs may let work in, and when each was heard.

    The limits of all customers share one: else each of them would look at
    all VMs ten times a second, a good part of what an idle VM does.
    """

    __slots__ = ("_clock", "heard_at", "members", "_silent_s")

    def __init__(self, clock: clocks.Clock) -> None:
        self._clock = clock
        self.members: frozenset[str] = frozenset()
        #: When each member was heard last.
        self.heard_at: dict[str, float] = {}
        self._silent_s = SILENT_S

    @property
    def silent(self) -> int:
        """Members that are not heard, counted now."""
        since = self._clock.now() - self._silent_s
        heard = map(self.heard_at.get, self.members)
        return sum(at is None or at < since for at in heard)

    def set_members(
        self, members: typing.Iterable[str], between_s: float = 0.0
    ) -> None:
        """Take over which other VMs may let work in, heard or not."""
        self.members = frozenset(members)
        self._silent_s = max(SILENT_S, SILENT_RECORDS * between_s)

    def heard(self, member: str) -> None:
        """A record of a member came."""
        self.heard_at[member] = self._clock.now()


class FleetRate:
    """One customer's limit, as one VM keeps it.

    :param rate: units per second of the whole fleet.
    :param burst: units on top.
    :param spare: units by which the fleet may go over the limit for a
        while; a process that knows nothing yet begins with its part of it,
        and calls let in by late news may use another.
    :param presence: of the other VMs; its own by default.
    :param overshoot: part of the limit by which it may be exceeded.
    """

    __slots__ = (
        "_ahead",
        "_bucket",
        "_burst",
        "_ceiling",
        "_ceiling_times",
        "_clock",
        "_first",
        "_let_in",
        "_informed",
        "_part",
        "_presence",
        "_rate",
        "_rest",
        "_since",
        "_tolerance",
        "_totals",
        "_used",
        "_withheld",
    )

    def __init__(
        self,
        clock: clocks.Clock,
        rate: float,
        burst: float,
        spare: float = 0.0,
        presence: Presence | None = None,
        overshoot: float = 0.0,
    ) -> None:
        self._presence = presence or Presence(clock)
        self._clock = clock
        self._rate = rate
        self._burst = burst
        self._since = clock.now()
        self._informed = False
        self._withheld = 0.0
        self._bucket = rates.TokenBucket(clock, rate, burst)
        #: With what this process begins.
        self._first = max(burst / ASSUMED_VMS / 2, spare / ASSUMED_VMS)
        self._bucket.charge(max(0.0, burst - self._first))
        #: Counts all that was let in, what late news made too much as well.
        self._tolerance = LATE_NEWS_PART * spare
        self._ceiling_times = 1.0 + LATE_NEWS_OVERSHOOT_PART * overshoot
        self._ceiling = rates.TokenBucket(
            clock, rate * self._ceiling_times, burst + self._tolerance
        )
        self._ceiling.charge(max(0.0, burst - self._first))
        #: What was left at the last tick, and what was let in since.
        self._rest = self._bucket.level
        self._let_in = 0.0
        self._used = 0.0
        self._totals: dict[str, float] = {}
        #: When a member's total was told ahead of its records.
        self._ahead: dict[str, float] = {}
        self._part = 1.0

    @property
    def used(self) -> float:
        """Units that this VM let in since it started."""
        return self._used

    @property
    def part(self) -> float:
        """The part of the limit that this VM may count on."""
        return self._part

    def set_limit(self, rate: float, burst: float) -> None:
        """Take over a changed limit."""
        self._rate = rate
        self._burst = burst
        self._apply()

    def set_members(
        self, members: typing.Iterable[str], between_s: float = 0.0
    ) -> None:
        """Take over which other VMs may let work in, heard or not.

        :param between_s: between two records of one of them.
        """
        self._presence.set_members(members, between_s)
        self.tick()

    def present(self, member: str) -> None:
        """A record of another VM came that tells nothing of this customer."""
        self._presence.heard(member)

    def heard(self, member: str, total: float) -> None:
        """Take in another VM's total since it started.

        :param member: names the VM's process; a restarted one is another.
        """
        self._presence.heard(member)
        now = self._clock.now()
        before = self._totals.get(member, 0.0)
        ahead_at = self._ahead.get(member)
        if ahead_at is not None:
            if total < before and now - ahead_at < OVERTAKEN_S:
                return
            del self._ahead[member]
        if total == before:
            # Most records tell nothing new of most customers.
            self._totals[member] = total
            return
        if member not in self._totals:
            # It may have run for hours: only what a process that has just
            # started can have let in by now counts.
            before = max(0.0, total - self._first)
        self._totals[member] = total
        self._charge_others(total - before)

    def told_on(self, member: str, total: float) -> None:
        """Take in another VM's total as a third one tells it.

        That one may have stood still and tell what was true before. Taken for
        calls that did not run, it would give units back that are charged
        again by the next word.
        """
        if total > self._totals.get(member, 0.0):
            self.heard(member, total)

    def heard_ahead(self, member: str, total: float) -> None:
        """Take in a total that comes before the records that tell it.

        Records that it overtook tell less when they come. Taken for calls
        that did not run, they would give their units back for a moment.
        """
        if total > self._totals.get(member, 0.0):
            self._ahead.pop(member, None)
            self.heard(member, total)
            self._ahead[member] = self._clock.now()

    @property
    def limited(self) -> bool:
        """Whether there is a limit at all."""
        return self._rate > 0.0

    @property
    def level(self) -> float | None:
        """What is left of the limit; None while this process can't know."""
        return self._bucket.level if self._informed else None

    def learn(self, level: float) -> None:
        """Take over what is left from one who knows; only once.

        A process that starts knows nothing of what was let in before it. To
        begin with little refuses calls that the limit allows; to begin with
        a whole burst lets in one for each process that starts.

        :param level: units left now, as an older process or its notes in the
            store tell it.
        """
        if self._informed:
            return
        self._informed = True
        now_level = min(level, self._burst * self._part)
        # While this process hears nobody, all others may learn the same: it
        # lives by its part, and has the rest when it counts with them.
        self._withheld = level - now_level
        self._bucket.charge(self._bucket.level - now_level)
        most = now_level + self._tolerance * self._part
        self._ceiling.charge(self._ceiling.level - most)
        self._rest = max(0.0, now_level)

    def forget(self, member: str) -> None:
        """A VM's process has ended."""
        self._totals.pop(member, None)
        self._ahead.pop(member, None)
        self._presence.heard_at.pop(member, None)

    def take(self, units: float, for_all: bool = False) -> float:
        """Let a call in if the limit allows it.

        :param for_all: all VMs ask this one, so it need not leave the others
            their share of what is left.
        :returns: 0 if it was let in, else the seconds until it may be.
        """
        if self._rate <= 0.0:
            self._used += units
            return 0.0
        wait_s = max(self._bucket.wait_s(units), self._ceiling.wait_s(units))
        if wait_s > 0.0:
            return wait_s
        shares = self._let_in and not for_all
        if shares and self._let_in + units > self._share():
            return NEXT_TICK_S
        self._add(-units)
        self._let_in += units
        self._used += units
        return 0.0

    def _share(self) -> float:
        """What this VM may let in until the next tick."""
        count = len(self._presence.members) + 1
        return self._rest * min(1.0, PART_OF_REST / count)

    def give_back(self, units: float) -> None:
        """A call that was let in did not run."""
        self._add(units)
        self._let_in = max(0.0, self._let_in - units)
        self._used -= units

    def tick(self, silent: int | None = None) -> None:
        """Work out anew which part of the limit may be counted on.

        To be called several times a second.

        :param silent: members that are not heard; counted when None.
        """
        now = self._clock.now()
        self._rest = max(0.0, self._bucket.level)
        self._let_in = 0.0
        if silent is None:
            silent = self._presence.silent
        heard_any = bool(self._presence.heard_at)
        count = len(self._presence.members) + 1
        if now - self._since > INFORMED_S:
            self._informed = True
        part = (count - silent) / count
        if not heard_any and now - self._since < ALONE_S:
            part = min(part, 1.0 / ASSUMED_VMS)
        if part != self._part:
            self._part = part
            self._apply()
        if self._withheld and heard_any:
            room = max(0.0, self._burst * part - self._bucket.level)
            counted_on = min(self._withheld, room)
            self._add(counted_on)
            self._rest += counted_on
            self._withheld -= counted_on

    def _apply(self) -> None:
        part = self._part
        rate, burst = self._rate * part, self._burst * part
        self._bucket.set_rate(rate, burst)
        self._ceiling.set_rate(
            rate * self._ceiling_times, burst + self._tolerance * part
        )

    def _add(self, units: float) -> None:
        """Change what is left; negative to take."""
        self._bucket.charge(-units)
        self._ceiling.charge(-units)

    def _charge_others(self, units: float) -> None:
        """Others let in so much, in part while it was not left any more."""
        left = max(0.0, self._bucket.level + self._withheld)
        self._bucket.charge(min(units, left))
        self._ceiling.charge(units)
