"""Plans the runners of one entry: how many, where, bought how.

The planner is pure. A duty holder feeds it demand, prices, the list of VMs
and the cloud's answers, and carries out its orders.
"""

import collections
import math
import random
import typing

from .. import clock as clocks
from . import backoff
from . import forecast
from . import loads
from . import model
from . import placement
from . import prices
from . import purchases
from . import risk
from . import sizing

START_S = 180.0
DEFAULT_SURVIVE = 0.6
DEFAULT_HEADROOM = 1.15
SHRINK_HOLD_S = 120.0
STICKINESS = 0.15
RECLAIM_HOURS = 0.2
RELEASE_SHARE = 0.1


class Policy:
    """What an entry's operators allow, and how careful to be.

    :param slots: requests that a runner runs side by side.
    :param survive: the share of the present need that must remain after
        the loss of any one data centre.
    :param headroom: multiplies the rate that is planned for; it covers
        swings that are faster than a start.
    """

    __slots__ = ("machine", "least", "most", "slots", "survive", "headroom")

    def __init__(
        self,
        machine: str,
        least: int,
        most: int,
        slots: int,
        survive: float = DEFAULT_SURVIVE,
        headroom: float = DEFAULT_HEADROOM,
    ) -> None:
        self.machine = machine
        self.least = least
        self.most = most
        self.slots = slots
        self.survive = survive
        self.headroom = headroom


class CapacityPlanner:
    """The runners of one entry.

    :param price_book: shared by the entries.
    :param reclaim_risk: shared by the entries.
    :param load_pacer: shared by the entries; whoever carries out LoadModel
        tells it how the load ended.
    :param start_s: from the order of a runner until it serves.
    """

    __slots__ = (
        "_clock",
        "_policy",
        "_prices",
        "_risk",
        "_loads",
        "_backoff",
        "_forecast",
        "_purchases",
        "_over_since",
    )

    def __init__(
        self,
        clock: clocks.Clock,
        rng: random.Random,
        entry: str,
        policy: Policy,
        price_book: prices.PriceBook,
        reclaim_risk: risk.ReclaimRisk,
        load_pacer: loads.LoadPacer,
        start_s: float = START_S,
    ) -> None:
        self._clock = clock
        self._policy = policy
        self._prices = price_book
        self._risk = reclaim_risk
        self._loads = load_pacer
        self._backoff = backoff.StartBackoff(clock, rng)
        self._forecast = forecast.DemandForecast(clock, start_s)
        self._purchases = purchases.Purchases(clock, entry)
        self._over_since: float | None = None

    def configure(self, policy: Policy) -> None:
        """Take over what the catalogue says now."""
        self._policy = policy

    def tick(
        self, demand: model.Demand, holdings: typing.Sequence[model.Holding]
    ) -> list[model.Order]:
        """Decide what to do now.

        :param holdings: the entry's runners, by the cloud's list and by
            what was heard of notices since.
        """
        self._forecast.observe(demand.requests_per_s)
        counted = [
            holding
            for holding in holdings
            if holding.state is not model.State.LEAVING
        ]
        held = self._held(holdings, counted)
        ahead = self._policy.headroom * self._forecast.ahead()
        needed = self._needed(demand, ahead)
        present = self._needed(demand, self._forecast.highest())
        surviving = math.ceil(self._policy.survive * present)
        plan = placement.choose(
            self._offers(held), needed, surviving, self._policy.most
        )
        return (
            self._purchases.repeats()
            + self._buys(plan, held)
            + self._load_orders(counted)
            + self._releases(plan, counted, max(needed, present), surviving)
        )

    def granted(self, token: str, vm: str) -> None:
        """The cloud starts a VM for an order."""
        place = self._purchases.granted(token, vm)
        if place is not None:
            self._backoff.started(place)

    def refused(self, token: str) -> None:
        """The cloud refuses an order; other places are tried meanwhile."""
        place = self._purchases.refused(token)
        if place is not None:
            self._backoff.refused(place)

    def cost(self, place: model.Place) -> float:
        """What a runner costs an hour there, its reclaims counted in."""
        price = self._prices.per_hour(place)
        if price is None:
            return math.inf
        return price * (1 + RECLAIM_HOURS * self._risk.per_hour(place))

    def _needed(self, demand: model.Demand, rate: float) -> int:
        expected = model.Demand(rate, demand.service_s, demand.wait_s)
        runners = sizing.runners_needed(expected, self._policy.slots)
        return min(max(runners, self._policy.least), self._policy.most)

    def _held(
        self,
        holdings: typing.Sequence[model.Holding],
        counted: list[model.Holding],
    ) -> collections.Counter[model.Place]:
        listed = frozenset(holding.vm for holding in holdings)
        held = collections.Counter(holding.place for holding in counted)
        held.update(self._purchases.unseen(listed))
        return held

    def _offers(
        self, held: collections.Counter[model.Place]
    ) -> list[placement.Offer]:
        # What is held counts as cheaper: to move for a small saving would
        # pay two runners and load the weights again.
        kept = [
            placement.Offer(place, (1 - STICKINESS) * self.cost(place), count)
            for place, count in held.items()
            if self.cost(place) < math.inf
        ]
        offered = [
            placement.Offer(place, self.cost(place))
            for place in self._prices.places(self._policy.machine)
            if self._backoff.may_start(place)
        ]
        return kept + offered

    def _buys(
        self,
        plan: placement.Plan,
        held: collections.Counter[model.Place],
    ) -> list[model.Order]:
        room = max(0, self._policy.most - held.total())
        missing = [
            place
            for place, count in sorted(plan.items())
            for _ in range(count - held[place])
        ]
        return [self._purchases.order(place) for place in missing[:room]]

    def _load_orders(self, counted: list[model.Holding]) -> list[model.Order]:
        return [
            model.LoadModel(holding.vm)
            for holding in counted
            if holding.state is model.State.LIVE
            and not holding.loaded
            and self._loads.start(holding.vm)
        ]

    def _releases(
        self,
        plan: placement.Plan,
        counted: list[model.Holding],
        needed: int,
        surviving: int,
    ) -> list[model.Order]:
        serving = [
            holding
            for holding in counted
            if holding.loaded and holding.state is model.State.LIVE
        ]
        left = collections.Counter(holding.place for holding in serving)
        spare = sorted(
            (
                holding
                for holding in serving
                if left[holding.place] > plan.get(holding.place, 0)
            ),
            key=lambda each: (-self.cost(each.place), each.busy, each.vm),
        )
        if not spare:
            self._over_since = None
        if not spare or not self._held_back():
            return []
        most = max(1, int(RELEASE_SHARE * len(serving)))
        released: list[model.Order] = []
        for holding in spare:
            place = holding.place
            after = left - collections.Counter([place])
            enough = after.total() >= max(needed, self._policy.least)
            wanted = min(surviving, placement.survivors(left))
            safe = placement.survivors(after) >= wanted
            over = left[place] > plan.get(place, 0)
            if enough and safe and over and len(released) < most:
                released.append(model.Release(holding.vm))
                left = after
        return released

    def _held_back(self) -> bool:
        now = self._clock.now()
        if self._over_since is None:
            self._over_since = now
        return now - self._over_since >= SHRINK_HOLD_S
