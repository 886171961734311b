"""How many runners of each kind to hold in each data centre.

Reclaimable runners cost a part of on-demand ones, and all of a data centre
may be taken at once, with none to be had for a while. So the fleet holds so
many of them that the loss of one data centre's still leaves more than the load
needs. On-demand ones come in when that may not be enough: from the notice of
a reclaim on, until reclaimable ones are to be had again.
"""

import collections
import math
import typing

from .. import clock as clocks

#: The need counts as its highest in this time, in seconds. A runner given
#: back takes its cache along, and the one that is missed a moment later
#: boots for seconds.
PEAK_S = 5.0
#: The same for reclaimable ones. They cost a quarter, and the next burst is
#: served by what is there.
RECLAIMABLE_PEAK_S = 15.0
#: Times what the load needs that one reclaim must leave of reclaimable ones,
#: for the same reason.
RECLAIMABLE_PART = 1.6
#: Part of the on-demand runners that one data centre may hold, the cheapest
#: first. No reclaim takes them, so they need no even spread; but a data centre
#: that fails should leave half.
ON_DEMAND_PLACE_PART = 0.5
#: Times what the load needs that is held while reclaimable runners are scarce.
#: Else there are two or three times as many as the load needs, and the few
#: that are left then have no room for calls that come in clumps.
SCARCE_PART = 1.5
#: Reclaimable runners count as scarce from a refusal or a reclaim until an
#: order of more is taken, but no longer than this after the last refusal.
SCARCE_S = 15.0
#: After reclaimable runners were refused or reclaimed, none are asked for
#: again for so long. An order costs less than a hundredth of what an on-demand
#: runner costs in that time.
DRY_S = 1.5
#: A runner that was ordered and has not come this long after its boot time
#: is not counted on any more.
LATE_S = 3.0


class Holding:
    """Runners of one data centre, by kind."""

    __slots__ = ("on_demand", "reclaimable")

    def __init__(self, on_demand: int = 0, reclaimable: int = 0) -> None:
        self.on_demand = on_demand
        self.reclaimable = reclaimable

    def __eq__(self, other: object) -> bool:
        return (
            isinstance(other, Holding)
            and self.on_demand == other.on_demand
            and self.reclaimable == other.reclaimable
        )

    def __repr__(self) -> str:
        return f"Holding({self.on_demand}, {self.reclaimable})"


class Terms:
    """What may be ordered, and what it costs.

    :param least: runners of a data centre, both kinds together.
    :param most: likewise.
    :param boot_s: from the order until a runner serves.
    :param reclaimable_price: part of the on-demand price; None when there
        are no reclaimable ones.
    :param prices: of an on-demand runner, by data centre.
    """

    __slots__ = ("least", "most", "boot_s", "reclaimable_price", "prices")

    def __init__(
        self,
        least: int,
        most: int,
        boot_s: float,
        reclaimable_price: float | None,
        prices: typing.Mapping[str, float],
    ) -> None:
        self.least = least
        self.most = most
        self.boot_s = boot_s
        self.reclaimable_price = reclaimable_price
        self.prices = prices


class _Need:
    """What counted as needed at one time.

    :param measured: runners that the work kept busy.
    :param trusted: runners that count as needed until the work is known; 0
        once it is.
    """

    __slots__ = ("at", "measured", "trusted")

    def __init__(self, at: float, measured: float, trusted: float) -> None:
        self.at = at
        self.measured = measured
        self.trusted = trusted


class FleetSize:
    """Plans the holdings of one service."""

    __slots__ = ("_clock", "_coming", "_had", "_needs", "_refused_at")

    def __init__(self, clock: clocks.Clock) -> None:
        self._clock = clock
        #: The last refusal or reclaim, until an order of more was taken.
        self._refused_at = float("-inf")
        self._had: dict[str, int] = {}
        #: Orders that were taken, by data centre and whether reclaimable:
        #: how many, and until when they are counted on unseen.
        self._coming: dict[tuple[str, bool], tuple[int, float]] = {}
        self._needs: collections.deque[_Need] = collections.deque()

    @property
    def dry(self) -> bool:
        """Whether reclaimable runners need not be asked for just now."""
        return self._clock.now() < self._refused_at + DRY_S

    @property
    def _scarce(self) -> bool:
        return self._clock.now() < self._refused_at + SCARCE_S

    def refused(self, place: str) -> None:
        """Reclaimable runners were not to be had in a data centre."""
        self._refused_at = self._clock.now()
        self._coming.pop((place, True), None)

    def taken(
        self, place: str, reclaimable: bool, count: int, boot_s: float
    ) -> None:
        """An order for a number of runners was taken."""
        if reclaimable and count > self._had.get(place, 0):
            self._refused_at = float("-inf")
        until = self._clock.now() + boot_s + LATE_S
        self._coming[place, reclaimable] = (count, until)

    def observe(
        self,
        held: typing.Mapping[str, Holding],
        needed: float,
        trusted: float = 0.0,
    ) -> None:
        """Note what the load needs and what serves, to plan by it later.

        Every VM does, not only the one that orders: one that took the duty
        over knew no need but the current one and of no refusal, and gave two
        of the last three reclaimable runners back while none were to be had.

        :param needed: runners that the load keeps busy.
        :param trusted: runners that count as needed until the load is known.
        """
        now = self._clock.now()
        self._needs.append(_Need(now, needed, trusted))
        while self._needs[0].at < now - RECLAIMABLE_PEAK_S:
            self._needs.popleft()
        self._notice_reclaims(held)

    def plan(
        self,
        terms: Terms,
        held: typing.Mapping[str, Holding],
        needed: float,
        idle: bool = False,
        trusted: float = 0.0,
    ) -> dict[str, Holding]:
        """The runners to hold from now on.

        :param held: runners that serve and are not leaving.
        :param needed: runners that the load keeps busy to the wanted part.
        :param idle: whether there has been no work at all so far.
        :param trusted: runners that count as needed until the load is known.
            They don't outlast that among the on-demand ones: while
            reclaimable ones are scarce, they would be multiplied by that.
        """
        places = sorted(terms.prices, key=lambda name: terms.prices[name])
        self.observe(held, needed, trusted)
        needed = max(trusted, self._peak(PEAK_S))
        have = {
            place: Holding(
                self._count(place, False, held),
                self._count(place, True, held),
            )
            for place in places
        }
        reclaimable = self._reclaimable(terms, places, held)
        wanted = self._on_demand(held, have, needed, idle)
        serving = have if idle else held
        floors = _floors(terms, reclaimable, serving)
        on_demand = _on_demand_by_place(terms, have, wanted, floors)
        return _beside(terms, on_demand, reclaimable)

    def _on_demand(
        self,
        held: typing.Mapping[str, Holding],
        have: typing.Mapping[str, Holding],
        needed: float,
        idle: bool,
    ) -> int:
        """On-demand runners to hold in all data centres together.

        Reclaimable ones on their way spare the order of others, which would
        come no sooner; but only those that serve let others go, and none does
        while they are scarce: what took one data centre's takes the next
        one's, and when all go within seconds those that were let go are
        missed. Before the first work nobody waits for them.

        :param held: runners that serve.
        :param have: those on their way instead, where some are.
        """
        if self._scarce:
            needed *= SCARCE_PART
        more = max(0, math.ceil(needed - _safe(have) - 1e-9))
        if idle:
            return more
        sure = 0 if self._scarce else _safe(held)
        keep = max(more, math.ceil(needed - sure - 1e-9))
        now = sum(holding.on_demand for holding in have.values())
        return max(more, min(keep, now))

    def _recent(self, within_s: float) -> list[_Need]:
        since = self._clock.now() - within_s
        return [need for need in self._needs if need.at >= since]

    def _peak(self, within_s: float) -> float:
        return max(need.measured for need in self._recent(within_s))

    def _count(
        self,
        place: str,
        reclaimable: bool,
        held: typing.Mapping[str, Holding],
    ) -> int:
        """Runners of one kind in a data centre.

        Those ordered just now count instead of those that are seen: others
        ordered in the place of some that boot would come no sooner, and
        those that are still going are of no use.
        """
        ordered = self._coming.get((place, reclaimable))
        if ordered is not None and self._clock.now() < ordered[1]:
            return ordered[0]
        holding = held.get(place, Holding())
        return holding.reclaimable if reclaimable else holding.on_demand

    def _notice_reclaims(self, held: typing.Mapping[str, Holding]) -> None:
        now = {place: holding.reclaimable for place, holding in held.items()}
        for place, count in self._had.items():
            if count and not now.get(place):
                self.refused(place)
        self._had = now

    def _reclaimable(
        self,
        terms: Terms,
        places: list[str],
        held: typing.Mapping[str, Holding],
    ) -> dict[str, int]:
        """Reclaimable runners to hold in each data centre."""
        if terms.reclaimable_price is None:
            return dict.fromkeys(places, 0)
        there = {place: self._count(place, True, held) for place in places}
        if self.dry:
            return there
        wanted = max(
            max(RECLAIMABLE_PART * need.measured, need.trusted)
            for need in self._recent(RECLAIMABLE_PEAK_S)
        )
        each = math.ceil(wanted / max(1, len(places) - 1) - 1e-9)
        if self._scarce:
            # What is given back now is not to be had again.
            return {place: max(each, there[place]) for place in places}
        return dict.fromkeys(places, each)


def _safe(holdings: typing.Mapping[str, Holding]) -> int:
    """Reclaimable runners that one reclaim leaves at work."""
    counts = [holding.reclaimable for holding in holdings.values()]
    return sum(counts) - max(counts, default=0)


def _floors(
    terms: Terms,
    reclaimable: typing.Mapping[str, int],
    serving: typing.Mapping[str, Holding],
) -> dict[str, int]:
    """On-demand runners that each data centre holds at least.

    A reclaimable runner that is only wanted doesn't make up the least: it may
    be refused. Where it did, an on-demand runner was let go with each try and
    started anew after it, 30 times in a minute.
    """
    floors = {}
    for place, wanted in reclaimable.items():
        there = serving.get(place, Holding()).reclaimable
        missing = terms.least - min(wanted, there)
        if missing + wanted > terms.most:
            # No room for both: the wanted ones take the place at once.
            missing = terms.least - wanted
        floors[place] = max(0, missing)
    return floors


def _on_demand_by_place(
    terms: Terms,
    have: typing.Mapping[str, Holding],
    wanted: int,
    floors: typing.Mapping[str, int],
) -> dict[str, int]:
    """Place on-demand runners within the bounds.

    Those that are there stay: a runner started elsewhere for a lower price
    is paid twice while it boots, and begins with an empty cache. New ones
    come to the cheapest data centre that has not its part of them, and the
    dearest lets them go first. Were one data centre full of them, no
    reclaimable ones would fit in when they are to be had again; and to make
    room for some before they serve would leave the load without either.

    :param have: runners, those on their way included. On-demand ones never
        take the place of reclaimable ones that are there.
    """
    most = {
        place: max(0, terms.most - holding.reclaimable)
        for place, holding in have.items()
    }
    on_demand = {
        place: min(most[place], max(floors[place], holding.on_demand))
        for place, holding in have.items()
    }
    part = math.ceil(ON_DEMAND_PLACE_PART * wanted)
    price = terms.prices
    while sum(on_demand.values()) < wanted:
        room = [p for p in on_demand if on_demand[p] < most[p]]
        if not room:
            break
        place = min(room, key=lambda p: (on_demand[p] >= part, price[p]))
        on_demand[place] += 1
    while sum(on_demand.values()) > wanted:
        spare = [p for p in on_demand if on_demand[p] > floors[p]]
        if not spare:
            break
        place = max(spare, key=lambda p: (on_demand[p] > part, price[p]))
        on_demand[place] -= 1
    return on_demand


def _beside(
    terms: Terms,
    on_demand: typing.Mapping[str, int],
    reclaimable: typing.Mapping[str, int],
) -> dict[str, Holding]:
    """What fits beside the on-demand runners."""
    plan = {}
    for place, count in on_demand.items():
        beside = min(reclaimable[place], terms.most - count)
        plan[place] = Holding(max(count, terms.least - beside), beside)
    return plan
