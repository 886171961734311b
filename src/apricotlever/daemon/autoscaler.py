"""The task that buys and releases runners for the pools that this VM plans.

Planning a pool is a duty, which one entry VM at a time performs under a lease
(see :mod:`.duties`). The task passes the demand reported by all entry VMs,
the platform's list of VMs, the prices and the cloud's answers to the capacity
planner of each pool, and carries out the planner's orders.
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
from ..data_centres import price_table
from ..data_centres import reclaim_risk
from ..links import peer_pb2 as pb
from ..links import platform

from . import dispatcher_messages
from . import runner_messages

TICK_S = 1.0
THREADS = 4
DEMAND_MAX_AGE_S = 10.0
DRAIN_S = 60.0
BUY_ORDER_S = 2.0
DEFAULT_SERVICE_S = 1.0

MayOrder = typing.Callable[[str, float], int | None]


class UpdatePlatform:
    """Message: the platform's current list of VMs and its prices.

    :param prices: price per hour by data centre, machine class and market.
    """

    __slots__ = ("vms", "prices")

    def __init__(
        self,
        vms: tuple[platform.Vm, ...],
        prices: typing.Mapping[tuple[str, str, str], float],
    ) -> None:
        self.vms = vms
        self.prices = prices


class UpdateDemand:
    """Message: the demand report of one entry VM, this one or another."""

    __slots__ = ("report",)

    def __init__(self, report: pb.DemandReport) -> None:
        self.report = report


class _PurchaseEnded:
    """Message: the cloud has answered a purchase order, or the call failed.

    :param token: the idempotency token of the order.
    :param outcome: a :class:`returns.result.Result` with the cloud's answer
        or error.
    """

    __slots__ = ("pool", "token", "outcome")

    def __init__(self, pool: str, token: str, outcome: typing.Any) -> None:
        self.pool = pool
        self.token = token
        self.outcome = outcome


class _PoolDemand:
    """The demand for a pool in the latest report of one entry VM.

    :param rate: requests per second.
    :param service_s: time for which a request occupies a slot, in seconds.
    :param at: when the report arrived, on this VM's clock.
    """

    __slots__ = ("rate", "service_s", "at")

    def __init__(self, rate: float, service_s: float, at: float) -> None:
        self.rate = rate
        self.service_s = service_s
        self.at = at


class Drain(typing.Protocol):
    """Announces to the fleet that a runner gets no new work.

    :param left_s: seconds until the runner is released.
    """

    def __call__(self, runner: str, left_s: float) -> None: ...


class Autoscaler(mailbox.Task):
    """Carries out the orders of the pools' capacity planners.

    :param cloud: buys and releases VMs.
    :param may_order: returns the fencing number of a duty, or None if this
        VM does not hold the duty's lease for the given number of seconds.
    :param drain: called with each runner that will be released.
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
        self._prices = price_table.PriceTable()
        self._reclaim_risk = reclaim_risk.ReclaimRisk(clock)
        self._load_limiter = model_load_limiter.ModelLoadLimiter(clock)
        self._policies: dict[str, capacity_planner.CapacityPolicy] = {}
        self._planners: dict[str, capacity_planner.CapacityPlanner] = {}
        self._max_wait_s: dict[str, float] = {}
        self._demand: dict[str, dict[str, _PoolDemand]] = {}
        self._vms: tuple[platform.Vm, ...] = ()
        self._leaving: set[str] = set()
        self._release_due_at: dict[str, float] = {}

    @mailbox.handles(dispatcher_messages.CatalogueInForce)
    def _configure(
        self, message: dispatcher_messages.CatalogueInForce
    ) -> None:
        entries = message.catalogue.entries.values()
        self._policies = {
            entry.pool: capacity_policy(entry) for entry in entries
        }
        self._max_wait_s = {
            entry.pool: message.catalogue.class_of(entry).first_token_s / 2
            for entry in entries
        }
        for pool, planner in self._planners.items():
            if pool in self._policies:
                planner.configure(self._policies[pool])

    @mailbox.handles(UpdatePlatform)
    def _update_platform(self, message: UpdatePlatform) -> None:
        self._vms = message.vms
        self._prices.update(
            {
                model.Place(dc, machine, model.Market(market)): price
                for (dc, machine, market), price in message.prices.items()
            }
        )
        listed = {vm.vm for vm in message.vms}
        self._leaving &= listed
        self._release_due_at = {
            vm: at for vm, at in self._release_due_at.items() if vm in listed
        }

    @mailbox.handles(runner_messages.RunnerLeaving)
    def _runner_leaving(self, message: runner_messages.RunnerLeaving) -> None:
        listed = {vm.vm: vm for vm in self._vms}
        vm = listed.get(message.runner)
        if vm is None or vm.vm in self._leaving:
            return
        self._leaving.add(vm.vm)
        if vm.vm not in self._release_due_at:
            self._reclaim_risk.record_reclaims(_place_of(vm))

    @mailbox.handles(UpdateDemand)
    def _update_demand(self, message: UpdateDemand) -> None:
        report = message.report
        values = {
            (demand.entry, demand.limit): demand.demand
            for demand in report.demands
        }
        if not any(
            limit == demand_meter.ARRIVAL_RATE_FIELD for _, limit in values
        ):
            # A report on the fleet's limits, which capacity planning does
            # not use.
            return
        now = self._clock.now()
        self._demand[report.vm] = {
            pool: _PoolDemand(
                rate,
                values.get(
                    (pool, demand_meter.SERVICE_TIME_FIELD), DEFAULT_SERVICE_S
                ),
                now,
            )
            for (pool, limit), rate in values.items()
            if limit == demand_meter.ARRIVAL_RATE_FIELD
        }

    @mailbox.handles(_PurchaseEnded)
    def _purchase_ended(self, message: _PurchaseEnded) -> None:
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

    @mailbox.handles(dispatcher_messages.GetStatus)
    def _status(
        self, message: dispatcher_messages.GetStatus
    ) -> dict[str, object]:
        return {
            "demand": {
                pool: round(self._total_demand(pool).requests_per_s, 3)
                for pool in self._policies
            },
            "releasing": sorted(self._release_due_at),
        }

    def tick(self) -> None:
        """Plan each pool whose duty this VM holds; release drained runners."""
        for pool in self._policies:
            if self._may_order(capacity_duty_name(pool), BUY_ORDER_S) is None:
                self._planners.pop(pool, None)
                continue
            self._plan(pool)
        self._release_drained()

    def stopped(self) -> None:
        """Stop the threads; calls in progress end by their timeouts."""
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
                self._reclaim_risk,
                self._load_limiter,
            )
            self._planners[pool] = planner
        holdings = self._holdings(pool)
        for holding in holdings:
            if holding.state is model.RunnerState.LIVE:
                self._reclaim_risk.record_held(holding.place, 1, TICK_S)
        for order in planner.tick(self._total_demand(pool), holdings):
            self._execute_order(order, pool)

    def _holdings(self, pool: str) -> list[model.HeldRunner]:
        return [
            model.HeldRunner(vm.vm, _place_of(vm), self._runner_state(vm))
            for vm in self._vms
            if vm.pool == pool and vm.role == "runner"
        ]

    def _runner_state(self, vm: platform.Vm) -> model.RunnerState:
        if vm.vm in self._leaving or vm.vm in self._release_due_at:
            return model.RunnerState.LEAVING
        return model.RunnerState(vm.state)

    def _total_demand(self, pool: str) -> model.Demand:
        """The demand on a pool, summed over the entry VMs' recent reports."""
        oldest = self._clock.now() - DEMAND_MAX_AGE_S
        recent = [
            pools[pool]
            for pools in self._demand.values()
            if pool in pools and pools[pool].at >= oldest
        ]
        rate = sum(each.rate for each in recent)
        busy = sum(each.rate * each.service_s for each in recent)
        service_s = busy / rate if rate else DEFAULT_SERVICE_S
        return model.Demand(rate, service_s, self._max_wait_s.get(pool, 0.5))

    @functools.singledispatchmethod
    def _execute_order(self, order: typing.Any, pool: str) -> None:
        raise TypeError(type(order))

    @_execute_order.register
    def _buy(self, order: model.Buy, pool: str) -> None:
        def run() -> None:
            # The lease is checked again on the sending thread. A VM that was
            # paused in between would buy what the next holder has bought.
            if self._may_order(capacity_duty_name(pool), BUY_ORDER_S) is None:
                return
            place = order.place
            outcome = self._cloud.buy(
                place.data_centre,
                place.machine,
                place.market.value,
                pool,
                order.token,
            )
            self.tell(_PurchaseEnded(pool, order.token, outcome))

        self._threads.submit(run)

    @_execute_order.register
    def _drain_runner(self, order: model.Release, pool: str) -> None:
        self._release_due_at[order.vm] = self._clock.now() + DRAIN_S
        self._drain(order.vm, DRAIN_S)

    @_execute_order.register
    def _end_load(self, order: model.LoadModel, pool: str) -> None:
        # DutyHolder orders model loads, under the duty of the pool's
        # orders. Here the load only has to be marked as ended.
        self._load_limiter.record_end(order.vm)

    def _release_drained(self) -> None:
        """Release the VMs whose drain time of ``DRAIN_S`` is over.

        A VM that the platform still lists ``DRAIN_S`` after its release is
        released again.
        """
        now = self._clock.now()
        due = [vm for vm, at in self._release_due_at.items() if at <= now]
        for vm in due:
            self._release_due_at[vm] = now + DRAIN_S
            self._threads.submit(self._release_vm, vm)

    def _release_vm(self, vm: str) -> None:
        outcome = self._cloud.release(vm)
        if isinstance(outcome, result.Success):
            logs.event("vm_released", member=vm)


def capacity_duty_name(pool: str) -> str:
    """The name of the duty to buy and release the runners of a pool."""
    return f"capacity/{pool}"


def capacity_policy(
    entry: catalogues.Entry,
) -> capacity_planner.CapacityPolicy:
    """The capacity policy of an entry's pool, from the catalogue."""
    capacity = entry.capacity
    return capacity_planner.CapacityPolicy(
        capacity.machine,
        capacity.min_runners,
        capacity.max_runners,
        capacity.slots_per_runner,
    )


def _place_of(vm: platform.Vm) -> model.Place:
    return model.Place(vm.data_centre, vm.machine, model.Market(vm.market))
