"""Plans how many runners of each kind to hold in each data centre.

The kinds are reclaimable and on-demand runners, and the need is the number of
runners that the load of a service keeps busy. Reclaimable runners cost a
fraction of the on-demand price, but the cloud may reclaim all of one data
centre at once and offer no others for a while. The planner therefore holds
enough of them for the load even after the loss of one data centre's. It adds
on-demand runners when the reclaimable ones may not suffice: from the notice of
a reclaim until reclaimable runners are available again.
"""

import collections
import math
import typing

from .. import clock as clocks

#: A plan covers the greatest need of this window, in seconds, so that a runner
#: is not released at once. A released runner loses its cache, and a
#: replacement takes seconds to boot.
PEAK_WINDOW_S = 5.0
#: The window for reclaimable runners, in seconds. It is longer because they
#: cost a quarter of the on-demand price and are ready for the next burst.
RECLAIMABLE_PEAK_WINDOW_S = 15.0
#: Reclaimable runners that must remain after one reclaim, as a multiple of the
#: need. The reason is the same as for :data:`RECLAIMABLE_PEAK_WINDOW_S`.
RECLAIMABLE_HEADROOM = 1.6
#: Fraction of the on-demand runners that one data centre may hold; the
#: cheapest data centre is filled first. Reclaims don't affect on-demand
#: runners, so an even spread is not needed, but half of them should remain
#: after the failure of a data centre.
MAX_ON_DEMAND_FRACTION = 0.5
#: Runners to hold while reclaimable ones are scarce, as a multiple of the
#: need. Usually the fleet holds two or three times the need; with fewer
#: runners there is no room for bursts of calls.
SCARCITY_HEADROOM = 1.5
#: Reclaimable runners are scarce from a refusal or a reclaim until the cloud
#: accepts an order for more, but at most for this time after the last refusal,
#: in seconds.
SCARCITY_S = 15.0
#: Delay before reclaimable runners are ordered again after a refusal or a
#: reclaim, in seconds. An order costs less than a hundredth of the price of
#: an on-demand runner for that time.
REORDER_DELAY_S = 1.5
#: An ordered runner that is missing for this time after its boot time, in
#: seconds, no longer counts.
BOOT_GRACE_S = 3.0


class RunnerCounts:
    """Numbers of runners in one data centre, by kind.

    The numbers are of runners that are held, expected or planned.
    """

    __slots__ = ("on_demand", "reclaimable")

    def __init__(self, on_demand: int = 0, reclaimable: int = 0) -> None:
        self.on_demand = on_demand
        self.reclaimable = reclaimable

    def __eq__(self, other: object) -> bool:
        return (
            isinstance(other, RunnerCounts)
            and self.on_demand == other.on_demand
            and self.reclaimable == other.reclaimable
        )

    def __repr__(self) -> str:
        return f"Holding({self.on_demand}, {self.reclaimable})"


class ScalingTerms:
    """A service's limits on the number of runners, and their prices.

    :param min_runners: minimum per data centre, both kinds together.
    :param max_runners: maximum per data centre, both kinds together.
    :param boot_s: time from an order until the runner serves, in seconds.
    :param reclaimable_price_ratio: price relative to an on-demand runner;
        None if reclaimable runners are not available.
    :param on_demand_prices: price of an on-demand runner, by data centre.
    """

    __slots__ = (
        "min_runners",
        "max_runners",
        "boot_s",
        "reclaimable_price_ratio",
        "on_demand_prices",
    )

    def __init__(
        self,
        min_runners: int,
        max_runners: int,
        boot_s: float,
        reclaimable_price_ratio: float | None,
        on_demand_prices: typing.Mapping[str, float],
    ) -> None:
        self.min_runners = min_runners
        self.max_runners = max_runners
        self.boot_s = boot_s
        self.reclaimable_price_ratio = reclaimable_price_ratio
        self.on_demand_prices = on_demand_prices


class _NeedSample:
    """The number of runners needed at one time.

    :param at: time of the sample, in seconds.
    :param measured: runners that the load kept busy at the target utilization.
    :param assumed: runners assumed to be needed until the load is known; 0
        afterwards.
    """

    __slots__ = ("at", "measured", "assumed")

    def __init__(self, at: float, measured: float, assumed: float) -> None:
        self.at = at
        self.measured = measured
        self.assumed = assumed


class FleetMixPlanner:
    """Plans the runners of one service.

    The caller passes it the serving runners and the need, and tells it which
    orders the cloud accepted or refused.
    """

    __slots__ = (
        "_clock",
        "_accepted_orders",
        "_last_reclaimable",
        "_need_samples",
        "_refused_at",
    )

    def __init__(self, clock: clocks.Clock) -> None:
        self._clock = clock
        #: Time of the last refusal or reclaim; reset by an accepted order for
        #: more reclaimable runners.
        self._refused_at = float("-inf")
        #: Reclaimable runners that served at the last observation, by data
        #: centre.
        self._last_reclaimable: dict[str, int] = {}
        #: Number of runners in the last accepted order, and the time until
        #: which they count without being seen. The key is the data centre and
        #: whether the runners are reclaimable.
        self._accepted_orders: dict[tuple[str, bool], tuple[int, float]] = {}
        self._need_samples: collections.deque[_NeedSample] = (
            collections.deque()
        )

    @property
    def is_reorder_delayed(self) -> bool:
        """Whether orders for reclaimable runners are delayed at present."""
        return self._clock.now() < self._refused_at + REORDER_DELAY_S

    @property
    def _scarce(self) -> bool:
        """Whether reclaimable runners were refused or reclaimed recently."""
        return self._clock.now() < self._refused_at + SCARCITY_S

    def record_refusal(self, data_centre: str) -> None:
        """Record that the cloud refused or reclaimed reclaimable runners.

        They count as scarce in all data centres for :data:`SCARCITY_S`, and no
        more of them are ordered for :data:`REORDER_DELAY_S`.
        """
        self._refused_at = self._clock.now()
        self._accepted_orders.pop((data_centre, True), None)

    def record_accepted_order(
        self, data_centre: str, reclaimable: bool, count: int, boot_s: float
    ) -> None:
        """Record an order that the cloud accepted.

        For the boot time and :data:`BOOT_GRACE_S`, plans use its count instead
        of that of the observed runners. An order for more reclaimable runners
        ends their scarcity.

        :param count: runners of this kind that the data centre will hold.
        :param boot_s: time until the runners serve, in seconds.
        """
        if reclaimable and count > self._last_reclaimable.get(data_centre, 0):
            self._refused_at = float("-inf")
        until = self._clock.now() + boot_s + BOOT_GRACE_S
        self._accepted_orders[data_centre, reclaimable] = (count, until)

    def observe(
        self,
        held: typing.Mapping[str, RunnerCounts],
        needed: float,
        assumed: float = 0.0,
    ) -> None:
        """Record the need and the serving runners for later plans.

        Every VM records them, not only the lease holder. Otherwise a new
        lease holder would know only the current need and no refusals, and
        would release reclaimable runners while none are available, such as
        two of the last three.

        :param held: runners that serve, by data centre.
        :param needed: runners that the load keeps busy.
        :param assumed: runners assumed to be needed until the load is known.
        """
        now = self._clock.now()
        self._need_samples.append(_NeedSample(now, needed, assumed))
        while self._need_samples[0].at < now - RECLAIMABLE_PEAK_WINDOW_S:
            self._need_samples.popleft()
        self._detect_reclaims(held)

    def plan(
        self,
        terms: ScalingTerms,
        held: typing.Mapping[str, RunnerCounts],
        needed: float,
        idle: bool = False,
        assumed: float = 0.0,
    ) -> dict[str, RunnerCounts]:
        """Compute the runners to hold from now on.

        :param held: runners that serve and are not leaving, by data centre.
        :param needed: runners that the load keeps busy at the target
            utilization.
        :param idle: whether there has been no work at all so far.
        :param assumed: runners assumed to be needed until the load is known.
            The assumption does not enter the recent peak of on-demand
            runners, since the scarcity headroom would multiply it.
        :returns: the planned runners, by data centre.
        """
        by_price = sorted(
            terms.on_demand_prices,
            key=lambda name: terms.on_demand_prices[name],
        )
        self.observe(held, needed, assumed)
        needed = max(assumed, self._peak(PEAK_WINDOW_S))
        expected = {
            data_centre: RunnerCounts(
                self._expected_count(data_centre, False, held),
                self._expected_count(data_centre, True, held),
            )
            for data_centre in by_price
        }
        reclaimable = self._reclaimable_by_data_centre(terms, by_price, held)
        wanted = self._on_demand_total(held, expected, needed, idle)
        serving = expected if idle else held
        minimums = _min_on_demand(terms, reclaimable, serving)
        on_demand = _on_demand_by_data_centre(
            terms, expected, wanted, minimums
        )
        return _combine(terms, on_demand, reclaimable)

    def _on_demand_total(
        self,
        held: typing.Mapping[str, RunnerCounts],
        expected: typing.Mapping[str, RunnerCounts],
        needed: float,
        idle: bool,
    ) -> int:
        """The on-demand runners to hold in all data centres together.

        Booting reclaimable runners make further on-demand orders unnecessary,
        as those would not be ready sooner. Only reclaimable runners that
        serve allow the release of on-demand ones, and none does during
        scarcity: the cause of one reclaim tends to reclaim the next data
        centre's runners within seconds, when released runners would be
        missing. Before the first work, on-demand runners are released without
        waiting for reclaimable ones to serve.

        :param held: runners that serve.
        :param expected: the same, with runners of accepted orders instead
            where there are any.
        """
        if self._scarce:
            needed *= SCARCITY_HEADROOM
        minimum = max(
            0, math.ceil(needed - _surviving_reclaimable(expected) - 1e-9)
        )
        if idle:
            return minimum
        reliable = 0 if self._scarce else _surviving_reclaimable(held)
        keep = max(minimum, math.ceil(needed - reliable - 1e-9))
        current = sum(holding.on_demand for holding in expected.values())
        return max(minimum, min(keep, current))

    def _recent_needs(self, window_s: float) -> list[_NeedSample]:
        """The samples of the last ``window_s`` seconds."""
        since = self._clock.now() - window_s
        return [need for need in self._need_samples if need.at >= since]

    def _peak(self, window_s: float) -> float:
        """The greatest measured need of the last ``window_s`` seconds."""
        return max(need.measured for need in self._recent_needs(window_s))

    def _expected_count(
        self,
        data_centre: str,
        reclaimable: bool,
        held: typing.Mapping[str, RunnerCounts],
    ) -> int:
        """The expected runners of one kind in a data centre.

        A recently accepted order takes precedence over the observed count:
        replacements for booting runners would not be ready sooner, and
        runners that are still shutting down are of no use.
        """
        ordered = self._accepted_orders.get((data_centre, reclaimable))
        if ordered is not None and self._clock.now() < ordered[1]:
            return ordered[0]
        holding = held.get(data_centre, RunnerCounts())
        return holding.reclaimable if reclaimable else holding.on_demand

    def _detect_reclaims(
        self, held: typing.Mapping[str, RunnerCounts]
    ) -> None:
        """Record a reclaim where the last reclaimable runner has gone."""
        current = {
            data_centre: holding.reclaimable
            for data_centre, holding in held.items()
        }
        for data_centre, count in self._last_reclaimable.items():
            if count and not current.get(data_centre):
                self.record_refusal(data_centre)
        self._last_reclaimable = current

    def _reclaimable_by_data_centre(
        self,
        terms: ScalingTerms,
        data_centres: list[str],
        held: typing.Mapping[str, RunnerCounts],
    ) -> dict[str, int]:
        """The reclaimable runners to hold in each data centre.

        All data centres get the same number, so that the others have enough
        after the reclaim of one data centre's. While orders are delayed, the
        expected runners are kept.
        """
        if terms.reclaimable_price_ratio is None:
            return dict.fromkeys(data_centres, 0)
        expected = {
            data_centre: self._expected_count(data_centre, True, held)
            for data_centre in data_centres
        }
        if self.is_reorder_delayed:
            return expected
        wanted = max(
            max(RECLAIMABLE_HEADROOM * need.measured, need.assumed)
            for need in self._recent_needs(RECLAIMABLE_PEAK_WINDOW_S)
        )
        each = math.ceil(wanted / max(1, len(data_centres) - 1) - 1e-9)
        if self._scarce:
            # Runners released during scarcity could not be replaced.
            return {
                data_centre: max(each, expected[data_centre])
                for data_centre in data_centres
            }
        return dict.fromkeys(data_centres, each)


def _surviving_reclaimable(holdings: typing.Mapping[str, RunnerCounts]) -> int:
    """The reclaimable runners that remain after the largest reclaim.

    That is the loss of all of the data centre that has the most of them.
    """
    counts = [holding.reclaimable for holding in holdings.values()]
    return sum(counts) - max(counts, default=0)


def _min_on_demand(
    terms: ScalingTerms,
    reclaimable: typing.Mapping[str, int],
    serving: typing.Mapping[str, RunnerCounts],
) -> dict[str, int]:
    """The minimum number of on-demand runners in each data centre.

    They make up for reclaimable runners that a data centre lacks to reach
    ``min_runners``. A planned reclaimable runner does not count towards a data
    centre's minimum, because its order may be refused. Counting it would stop
    an on-demand runner before each refused order and start another one after
    it, 30 times a minute.

    :param reclaimable: planned reclaimable runners, by data centre.
    :param serving: runners that count as serving, by data centre.
    """
    minimums = {}
    for data_centre, wanted in reclaimable.items():
        current = serving.get(data_centre, RunnerCounts()).reclaimable
        missing = terms.min_runners - min(wanted, current)
        if missing + wanted > terms.max_runners:
            # The maximum has no room for both kinds, so the planned
            # reclaimable runners replace on-demand ones at once.
            missing = terms.min_runners - wanted
        minimums[data_centre] = max(0, missing)
    return minimums


def _on_demand_by_data_centre(
    terms: ScalingTerms,
    expected: typing.Mapping[str, RunnerCounts],
    wanted: int,
    minimums: typing.Mapping[str, int],
) -> dict[str, int]:
    """Distribute on-demand runners over the data centres within the limits.

    Existing runners are not moved for a lower price: a replacement is paid in
    addition while it boots, and its cache starts empty. New runners go to the
    cheapest data centre below its fraction, and the most expensive data
    centre releases first. Without the fraction, on-demand runners could fill
    a data centre, leaving no room for reclaimable ones when these become
    available; to make room for them before they serve would leave the load
    without either.

    :param expected: runners, including those of accepted orders. On-demand
        runners never displace the reclaimable ones among them.
    :param wanted: on-demand runners in all data centres together.
    :param minimums: on-demand runners that each data centre must hold.
    """
    limits = {
        data_centre: max(0, terms.max_runners - holding.reclaimable)
        for data_centre, holding in expected.items()
    }
    on_demand = {
        data_centre: min(
            limits[data_centre],
            max(minimums[data_centre], holding.on_demand),
        )
        for data_centre, holding in expected.items()
    }
    part = math.ceil(MAX_ON_DEMAND_FRACTION * wanted)
    price = terms.on_demand_prices
    while sum(on_demand.values()) < wanted:
        room = [name for name in on_demand if on_demand[name] < limits[name]]
        if not room:
            break
        data_centre = min(
            room, key=lambda name: (on_demand[name] >= part, price[name])
        )
        on_demand[data_centre] += 1
    while sum(on_demand.values()) > wanted:
        spare = [
            name for name in on_demand if on_demand[name] > minimums[name]
        ]
        if not spare:
            break
        data_centre = max(
            spare, key=lambda name: (on_demand[name] > part, price[name])
        )
        on_demand[data_centre] -= 1
    return on_demand


def _combine(
    terms: ScalingTerms,
    on_demand: typing.Mapping[str, int],
    reclaimable: typing.Mapping[str, int],
) -> dict[str, RunnerCounts]:
    """Combine the two kinds into a plan within the limits.

    The reclaimable runners are reduced to those for which the on-demand ones
    leave room below ``max_runners``. On-demand runners fill up a data centre
    that is below its minimum.
    """
    plan = {}
    for data_centre, count in on_demand.items():
        fitting = min(reclaimable[data_centre], terms.max_runners - count)
        plan[data_centre] = RunnerCounts(
            max(count, terms.min_runners - fitting), fitting
        )
    return plan
