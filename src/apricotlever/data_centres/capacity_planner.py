"""Plans the runners of one catalogue entry: their number and places.

A place (:class:`.model.Place`) includes the market. A runner counts as held
from its order until it is drained or announced for reclaim. The planner
performs no input or output. The holder of the capacity duty passes it the
demand, prices, the list of VMs and the cloud's answers, and carries out its
orders.
"""

import collections
import math
import random
import typing

from .. import clock as clocks
from . import demand_forecast
from . import model
from . import model_load_limiter
from . import pending_purchases
from . import placement
from . import price_table
from . import reclaim_risk
from . import sizing
from . import start_backoff

#: Time from the order of a runner until it serves, in seconds.
RUNNER_START_S = 180.0
#: Defaults of the safety margins of :class:`CapacityPolicy`.
DEFAULT_SURVIVING_SHARE = 0.6
DEFAULT_HEADROOM = 1.15
#: Time for which a surplus must last before runners are released, in seconds.
SCALE_DOWN_DELAY_S = 120.0
#: Discount on the cost of runners that are held already, so that the plan does
#: not move them for a small saving.
HELD_DISCOUNT = 0.15
#: Cost of one reclaim of a runner, in hours of the runner's price.
RECLAIM_COST_HOURS = 0.2
#: Maximum share of the serving runners that is released at a time.
MAX_RELEASE_SHARE = 0.1


class CapacityPolicy:
    """The limits set by an entry's operators, and the safety margins.

    :param machine: machine class of the runners.
    :param min_runners: minimum number of runners.
    :param max_runners: maximum number of runners.
    :param slots_per_runner: requests that a runner processes concurrently.
    :param surviving_share: share of the present need that must remain after
        the loss of any one data centre.
    :param headroom: factor on the planned rate; covers changes of the rate
        that are faster than the start of a runner.
    """

    __slots__ = (
        "machine",
        "min_runners",
        "max_runners",
        "slots_per_runner",
        "surviving_share",
        "headroom",
    )

    def __init__(
        self,
        machine: str,
        min_runners: int,
        max_runners: int,
        slots_per_runner: int,
        surviving_share: float = DEFAULT_SURVIVING_SHARE,
        headroom: float = DEFAULT_HEADROOM,
    ) -> None:
        self.machine = machine
        self.min_runners = min_runners
        self.max_runners = max_runners
        self.slots_per_runner = slots_per_runner
        self.surviving_share = surviving_share
        self.headroom = headroom


class CapacityPlanner:
    """Plans the runners of one entry.

    Each tick compares the runners that the demand needs with those that are
    held, and returns the orders that bring the two together.

    :param policy: the limits and safety margins of the entry.
    :param entry: name of the entry; becomes part of the order tokens.
    :param prices: shared by all entries.
    :param reclaim_risk: shared by all entries.
    :param load_limiter: shared by all entries. The code that carries out a
        :class:`model.LoadModel` order reports the end of the load to it.
    :param start_s: time from the order of a runner until it serves, in
        seconds.
    """

    __slots__ = (
        "_clock",
        "_policy",
        "_prices",
        "_risk",
        "_load_limiter",
        "_backoff",
        "_forecast",
        "_purchases",
        "_surplus_since",
    )

    def __init__(
        self,
        clock: clocks.Clock,
        rng: random.Random,
        entry: str,
        policy: CapacityPolicy,
        prices: price_table.PriceTable,
        reclaim_risk: reclaim_risk.ReclaimRisk,
        load_limiter: model_load_limiter.ModelLoadLimiter,
        start_s: float = RUNNER_START_S,
    ) -> None:
        self._clock = clock
        self._policy = policy
        self._prices = prices
        self._risk = reclaim_risk
        self._load_limiter = load_limiter
        self._backoff = start_backoff.StartBackoff(clock, rng)
        self._forecast = demand_forecast.DemandForecast(clock, start_s)
        self._purchases = pending_purchases.PendingPurchases(clock, entry)
        self._surplus_since: float | None = None

    def configure(self, policy: CapacityPolicy) -> None:
        """Replace the policy after a change of the catalogue."""
        self._policy = policy

    def tick(
        self, demand: model.Demand, holdings: typing.Sequence[model.HeldRunner]
    ) -> list[model.PlannerAction]:
        """Compute the orders that are due now.

        :param demand: the present demand on the entry.
        :param holdings: the entry's runners, from the cloud's list and the
            termination notices received since.
        :returns: orders to buy VMs, including those whose answers are overdue,
            to load models and to release runners.
        """
        self._forecast.observe(demand.requests_per_s)
        staying = [
            holding
            for holding in holdings
            if holding.state is not model.RunnerState.LEAVING
        ]
        held = self._count_by_place(holdings, staying)
        predicted = self._policy.headroom * self._forecast.predicted_rate()
        needed = self._runners_needed(demand, predicted)
        present = self._runners_needed(demand, self._forecast.peak_rate())
        surviving = math.ceil(self._policy.surviving_share * present)
        plan = placement.choose(
            self._offers(held), needed, surviving, self._policy.max_runners
        )
        return (
            self._purchases.take_overdue()
            + self._buy_orders(plan, held)
            + self._load_orders(staying)
            + self._release_orders(
                plan, staying, max(needed, present), surviving
            )
        )

    def record_grant(self, token: str, vm: str) -> None:
        """Record that the cloud starts a VM for an order.

        :param token: the idempotency token of the order.
        :param vm: the name of the VM.
        """
        place = self._purchases.record_grant(token, vm)
        if place is not None:
            self._backoff.record_grant(place)

    def record_refusal(self, token: str) -> None:
        """Record that the cloud refused an order.

        The place of the order is not tried again until a delay has passed.
        """
        place = self._purchases.record_refusal(token)
        if place is not None:
            self._backoff.record_refusal(place)

    def cost_per_hour(self, place: model.Place) -> float:
        """The cost of a runner per hour, including its expected reclaims."""
        price = self._prices.price_per_hour(place)
        if price is None:
            return math.inf
        return price * (
            1 + RECLAIM_COST_HOURS * self._risk.reclaims_per_hour(place)
        )

    def _runners_needed(self, demand: model.Demand, rate: float) -> int:
        """The runners needed at a request rate, within the policy's limits.

        :param demand: gives the service time and the allowed wait.
        :param rate: requests per second.
        """
        expected = model.Demand(rate, demand.service_s, demand.wait_s)
        runners = sizing.runners_needed(
            expected, self._policy.slots_per_runner
        )
        return min(
            max(runners, self._policy.min_runners), self._policy.max_runners
        )

    def _count_by_place(
        self,
        holdings: typing.Sequence[model.HeldRunner],
        staying: list[model.HeldRunner],
    ) -> collections.Counter[model.Place]:
        """The number of runners that are held or ordered, by place.

        :param holdings: all runners that the cloud lists.
        :param staying: those of them that are not leaving.
        """
        listed = frozenset(holding.vm for holding in holdings)
        held = collections.Counter(holding.place for holding in staying)
        held.update(self._purchases.unlisted_places(listed))
        return held

    def _offers(
        self, held: collections.Counter[model.Place]
    ) -> list[placement.Offer]:
        """The places at which runners may be kept or bought, with costs."""
        # Runners that are held get a discount: a move for a small saving
        # would pay for two runners at a time and load the weights again.
        kept = [
            placement.Offer(
                place, (1 - HELD_DISCOUNT) * self.cost_per_hour(place), count
            )
            for place, count in held.items()
            if self.cost_per_hour(place) < math.inf
        ]
        offered = [
            placement.Offer(place, self.cost_per_hour(place))
            for place in self._prices.places(self._policy.machine)
            if self._backoff.may_start(place)
        ]
        return kept + offered

    def _buy_orders(
        self,
        plan: placement.Plan,
        held: collections.Counter[model.Place],
    ) -> list[model.PlannerAction]:
        """Orders for planned runners that are not held, up to the limit."""
        room = max(0, self._policy.max_runners - held.total())
        missing = [
            place
            for place, count in sorted(plan.items())
            for _ in range(count - held[place])
        ]
        return [self._purchases.create(place) for place in missing[:room]]

    def _load_orders(
        self, staying: list[model.HeldRunner]
    ) -> list[model.PlannerAction]:
        """Orders to load the model on live runners, as many as may start."""
        return [
            model.LoadModel(holding.vm)
            for holding in staying
            if holding.state is model.RunnerState.LIVE
            and not holding.loaded
            and self._load_limiter.try_start(holding.vm)
        ]

    def _release_orders(
        self,
        plan: placement.Plan,
        staying: list[model.HeldRunner],
        needed: int,
        surviving: int,
    ) -> list[model.PlannerAction]:
        """Orders to release runners that the plan no longer holds.

        The most expensive and least busy ones go first. A runner stays if too
        few others serve without it, now or after the loss of a data centre,
        and until the surplus has lasted for :data:`SCALE_DOWN_DELAY_S`.

        :param needed: the number of serving runners that must remain.
        :param surviving: the number of them that must remain after the loss
            of any one data centre.
        """
        serving = [
            holding
            for holding in staying
            if holding.loaded and holding.state is model.RunnerState.LIVE
        ]
        remaining = collections.Counter(holding.place for holding in serving)
        spare = sorted(
            (
                holding
                for holding in serving
                if remaining[holding.place] > plan.get(holding.place, 0)
            ),
            key=lambda runner: (
                -self.cost_per_hour(runner.place),
                runner.busy,
                runner.vm,
            ),
        )
        if not spare:
            self._surplus_since = None
        if not spare or not self._may_scale_down():
            return []
        limit = max(1, int(MAX_RELEASE_SHARE * len(serving)))
        released: list[model.PlannerAction] = []
        for holding in spare:
            place = holding.place
            after = remaining - collections.Counter([place])
            enough = after.total() >= max(needed, self._policy.min_runners)
            wanted = min(surviving, placement.survivors(remaining))
            survives = placement.survivors(after) >= wanted
            surplus = remaining[place] > plan.get(place, 0)
            if enough and survives and surplus and len(released) < limit:
                released.append(model.Release(holding.vm))
                remaining = after
        return released

    def _may_scale_down(self) -> bool:
        """Whether the surplus has lasted; a new surplus starts its time."""
        now = self._clock.now()
        if self._surplus_since is None:
            self._surplus_since = now
        return now - self._surplus_since >= SCALE_DOWN_DELAY_S
