"""The task that buys and releases runners while this VM has that duty.

It feeds the capacity planner of each pool with the demand that all entry
VMs report, the platform's lists and the cloud's answers, and carries out
its orders under the duty's lease.
"""

from concurrent import futures
import functools
import random
import typing

from returns import result

from .. import clock as clocks
from .. import logs
from .. import mailbox
from ..catalogue import model as catalogues
from ..contracts import demand_meter
from ..data_centres import capacity_planner
from ..data_centres import model
from ..data_centres import model_load_limiter
from ..data_centres import price_book
from ..data_centres import reclaim_risk
from ..links import peer_pb2 as pb
from ..links import platform

from . import dispatcher_messages

TICK_S = 1.0
THREADS = 4
DEMAND_HEARD_S = 10.0
DRAIN_S = 60.0
BUY_S = 2.0
DEFAULT_SERVICE_S = 1.0

MayOrder = typing.Callable[[str, float], int | None]


class PlatformSeen:
    """The platform's lists, as last read.

    :param per_hour: prices by data centre, machine class and market.
    """

    __slots__ = ("vms", "per_hour")

    def __init__(
        self,
        vms: tuple[platform.Vm, ...],
        per_hour: typing.Mapping[tuple[str, str, str], float],
    ) -> None:
        self.vms = vms
        self.per_hour = per_hour


class DemandSeen:
    """What callers ask of one entry VM, this one or another."""

    __slots__ = ("report",)

    def __init__(self, report: pb.DemandReport) -> None:
        self.report = report


class _Bought:
    """The cloud answered an order to buy."""

    __slots__ = ("pool", "token", "outcome")

    def __init__(self, pool: str, token: str, outcome: typing.Any) -> None:
        self.pool = pool
        self.token = token
        self.outcome = outcome


class _Heard:
    """The demand on a pool at one entry VM."""

    __slots__ = ("rate", "service_s", "at")

    def __init__(self, rate: float, service_s: float, at: float) -> None:
        self.rate = rate
        self.service_s = service_s
        self.at = at


class Drain(typing.Protocol):
    """Tells the fleet that a runner gets no new work."""

    def __call__(self, runner: str, left_s: float) -> None: ...


class Autoscaler(mailbox.Task):
    """Carries out the plans of capacity.

    :param cloud: buys and releases.
    :param may_order: the fencing number of a duty, or None.
    :param drain: told of a runner that will be released.
    """

    def __init__(
        self,
        clock: clocks.Clock,
        rng: random.Random,
        cloud: platform.CloudApi,
        may_order: MayOrder,
        drain: Drain,
    ) -> None:
        super().__init__("buyer", clock, TICK_S)
        self._rng = rng
        self._cloud = cloud
        self._may_order = may_order
        self._drain = drain
        self._threads = futures.ThreadPoolExecutor(THREADS, "buyer")
        self._prices = price_book.PriceBook()
        self._risk = reclaim_risk.ReclaimRisk(clock)
        self._loads = model_load_limiter.ModelLoadLimiter(clock)
        self._policies: dict[str, capacity_planner.CapacityPolicy] = {}
        self._planners: dict[str, capacity_planner.CapacityPlanner] = {}
        self._wait_s: dict[str, float] = {}
        self._demand: dict[str, dict[str, _Heard]] = {}
        self._vms: tuple[platform.Vm, ...] = ()
        self._leaving: set[str] = set()
        self._releases: dict[str, float] = {}

    @mailbox.handles(dispatcher_messages.CatalogueInForce)
    def _configure(
        self, message: dispatcher_messages.CatalogueInForce
    ) -> None:
        entries = message.catalogue.entries.values()
        self._policies = {entry.pool: policy_of(entry) for entry in entries}
        self._wait_s = {
            entry.pool: message.catalogue.class_of(entry).first_token_s / 2
            for entry in entries
        }
        for pool, planner in self._planners.items():
            if pool in self._policies:
                planner.configure(self._policies[pool])

    @mailbox.handles(PlatformSeen)
    def _platform_seen(self, message: PlatformSeen) -> None:
        self._vms = message.vms
        self._prices.update(
            {
                model.Place(where, machine, model.Market(market)): price
                for (where, machine, market), price in message.per_hour.items()
            }
        )
        listed = {vm.vm for vm in message.vms}
        self._leaving &= listed
        self._releases = {
            vm: at for vm, at in self._releases.items() if vm in listed
        }

    @mailbox.handles(dispatcher_messages.RunnerLeaving)
    def _runner_leaving(
        self, message: dispatcher_messages.RunnerLeaving
    ) -> None:
        known = {vm.vm: vm for vm in self._vms}
        vm = known.get(message.runner)
        if vm is None or vm.vm in self._leaving:
            return
        self._leaving.add(vm.vm)
        if vm.vm not in self._releases:
            self._risk.record_reclaims(_place(vm))

    @mailbox.handles(DemandSeen)
    def _demand_seen(self, message: DemandSeen) -> None:
        report = message.report
        found = {
            (demand.entry, demand.limit): demand.demand
            for demand in report.demands
        }
        if not any(
            limit == demand_meter.ARRIVAL_RATE_FIELD for _, limit in found
        ):
            # A report on the fleet's limits, which is none of its business.
            return
        now = self._clock.now()
        self._demand[report.vm] = {
            pool: _Heard(
                rate,
                found.get(
                    (pool, demand_meter.SERVICE_TIME_FIELD), DEFAULT_SERVICE_S
                ),
                now,
            )
            for (pool, limit), rate in found.items()
            if limit == demand_meter.ARRIVAL_RATE_FIELD
        }

    @mailbox.handles(_Bought)
    def _bought(self, message: _Bought) -> None:
        planner = self._planners.get(message.pool)
        if planner is None:
            return
        outcome = message.outcome
        if isinstance(outcome, result.Success):
            vm = outcome.unwrap().vm
            logs.event("vm_bought", member=vm, pool=message.pool)
            planner.record_grant(message.token, vm)
        elif isinstance(outcome.failure(), platform.NoCapacity):
            logs.event("vm_refused", pool=message.pool, order=message.token)
            planner.record_refusal(message.token)

    @mailbox.handles(dispatcher_messages.StatusWanted)
    def _status(
        self, message: dispatcher_messages.StatusWanted
    ) -> dict[str, object]:
        return {
            "demand": {
                pool: round(self._total(pool).requests_per_s, 3)
                for pool in self._policies
            },
            "releasing": sorted(self._releases),
        }

    def tick(self) -> None:
        """Plan for each pool whose duty this VM has."""
        for pool in self._policies:
            if self._may_order(capacity_duty(pool), BUY_S) is None:
                self._planners.pop(pool, None)
                continue
            self._plan(pool)
        self._release_drained()

    def stopped(self) -> None:
        """End the threads; calls under way end by their own timeouts."""
        self._threads.shutdown(wait=False, cancel_futures=True)

    def _plan(self, pool: str) -> None:
        planner = self._planners.get(pool)
        if planner is None:
            planner = capacity_planner.CapacityPlanner(
                self._clock,
                self._rng,
                pool,
                self._policies[pool],
                self._prices,
                self._risk,
                self._loads,
            )
            self._planners[pool] = planner
        holdings = self._holdings(pool)
        for holding in holdings:
            if holding.state is model.RunnerState.LIVE:
                self._risk.record_held(holding.place, 1, TICK_S)
        for order in planner.tick(self._total(pool), holdings):
            self._carry_out(order, pool)

    def _holdings(self, pool: str) -> list[model.HeldRunner]:
        return [
            model.HeldRunner(vm.vm, _place(vm), self._state(vm))
            for vm in self._vms
            if vm.pool == pool and vm.role == "runner"
        ]

    def _state(self, vm: platform.Vm) -> model.RunnerState:
        if vm.vm in self._leaving or vm.vm in self._releases:
            return model.RunnerState.LEAVING
        return model.RunnerState(vm.state)

    def _total(self, pool: str) -> model.Demand:
        """The demand on a pool at all entry VMs that were heard lately."""
        oldest = self._clock.now() - DEMAND_HEARD_S
        heard = [
            pools[pool]
            for pools in self._demand.values()
            if pool in pools and pools[pool].at >= oldest
        ]
        rate = sum(each.rate for each in heard)
        busy = sum(each.rate * each.service_s for each in heard)
        service_s = busy / rate if rate else DEFAULT_SERVICE_S
        return model.Demand(rate, service_s, self._wait_s.get(pool, 0.5))

    @functools.singledispatchmethod
    def _carry_out(self, order: typing.Any, pool: str) -> None:
        raise TypeError(type(order))

    @_carry_out.register
    def _buy(self, order: model.Buy, pool: str) -> None:
        def run() -> None:
            # Asked again here, on the thread that sends: a VM that was
            # paused in between would buy what its successor has bought.
            if self._may_order(capacity_duty(pool), BUY_S) is None:
                return
            place = order.place
            outcome = self._cloud.buy(
                place.data_centre,
                place.machine,
                place.market.value,
                pool,
                order.token,
            )
            self.tell(_Bought(pool, order.token, outcome))

        self._threads.submit(run)

    @_carry_out.register
    def _release(self, order: model.Release, pool: str) -> None:
        self._releases[order.vm] = self._clock.now() + DRAIN_S
        self._drain(order.vm, DRAIN_S)

    @_carry_out.register
    def _load(self, order: model.LoadModel, pool: str) -> None:
        # Loads are ordered by the duty of the pool's orders.
        self._loads.record_end(order.vm)

    def _release_drained(self) -> None:
        """Give back VMs whose streams have moved away or ended."""
        now = self._clock.now()
        due = [vm for vm, at in self._releases.items() if at <= now]
        for vm in due:
            self._releases[vm] = now + DRAIN_S
            self._threads.submit(self._give_back, vm)

    def _give_back(self, vm: str) -> None:
        outcome = self._cloud.release(vm)
        if isinstance(outcome, result.Success):
            logs.event("vm_released", member=vm)


def capacity_duty(pool: str) -> str:
    """The duty of planning a pool's runners."""
    return f"capacity/{pool}"


def policy_of(entry: catalogues.Entry) -> capacity_planner.CapacityPolicy:
    """What the catalogue allows for the pool of an entry."""
    allowed = entry.capacity
    return capacity_planner.CapacityPolicy(
        allowed.machine,
        allowed.min_runners,
        allowed.max_runners,
        allowed.slots_per_runner,
    )


def _place(vm: platform.Vm) -> model.Place:
    return model.Place(vm.data_centre, vm.machine, model.Market(vm.market))
