"""The duty to order runners, by data centre and capacity type.

The holder of the fleet's lease computes from the load of each service how many
runners it needs, and sends the target numbers to the cloud API as orders. An
order for more runners than there are starts some; one for fewer releases some.
The capacity types are on-demand and reclaimable. The cloud may reclaim
reclaimable runners, which cost less.
"""

import typing

from .. import clock as clocks
from .. import logs
from ..data_centres import fleet_mix_planner
from ..vms import follower_selection

from . import configuration_model
from . import dialects
from . import duty_lease
from . import fleet_workload
from . import runner_directory as directories
from . import runner_sizing
from . import runners

#: Interval between two steps, in seconds.
STEP_INTERVAL_S = 0.5
#: Delay before a rejected order is sent again, in seconds.
RETRY_ORDER_S = 1.0
#: Delay from the start of the process to its first order, as a multiple of
#: the runners' heartbeat interval. Runners that start together with the VM
#: are listed one by one; a VM that takes the first of nine for the whole
#: fleet would release the other eight.
STARTUP_HEARTBEATS = 2.5
#: Delay before an order that showed no effect is sent again, in seconds. Its
#: answer may have been lost, or an order of the previous holder of the lease
#: may have arrived after it.
REPEAT_ORDER_S = 9.0


class _Order:
    """The last order sent for a target.

    :param count: the ordered number of runners.
    :param sent_at: when it was sent, on the monotonic clock.
    :param taken: whether the cloud accepted it.
    """

    __slots__ = ("count", "sent_at", "taken")

    def __init__(self, count: int, sent_at: float, taken: bool) -> None:
        self.count = count
        self.sent_at = sent_at
        self.taken = taken


class _Target:
    """The target number of runners of one capacity type in a data centre.

    The capacity types are on-demand and reclaimable.

    :param count: the target number of runners.
    :param present: the number of runners that serve now.
    :param boot_s: the time until an ordered runner serves, in seconds.
    """

    __slots__ = (
        "service",
        "data_centre",
        "reclaimable",
        "count",
        "present",
        "boot_s",
    )

    def __init__(
        self,
        service: str,
        data_centre: str,
        reclaimable: bool,
        count: int,
        present: int,
        boot_s: float,
    ) -> None:
        self.service = service
        self.data_centre = data_centre
        self.reclaimable = reclaimable
        self.count = count
        self.present = present
        self.boot_s = boot_s

    @property
    def key(self) -> tuple[str, str, bool]:
        """The service, the data centre and whether it is reclaimable.

        Orders are tracked, and named in the log, by this key.
        """
        return (self.service, self.data_centre, self.reclaimable)


class _ServiceLoad:
    """The serving and the required runners of a service.

    :param held: the runners that serve, by data centre.
    :param required_runners: the number of runners that the load requires.
    :param startup_runners: the number of runners that count as required
        until the load is known; 0 afterwards.
    :param idle: whether there has been no work so far.
    """

    __slots__ = ("held", "required_runners", "startup_runners", "idle")

    def __init__(
        self,
        held: dict[str, fleet_mix_planner.RunnerCounts],
        required_runners: float,
        startup_runners: float,
        idle: bool,
    ) -> None:
        self.held = held
        self.required_runners = required_runners
        self.startup_runners = startup_runners
        self.idle = idle


class RunnerDuty:
    """Orders runners while this VM holds the lease.

    While another VM holds it, this VM only records the load, so that it could
    take over the duty.

    :param work: the load of all services.
    :param directory: lists the runners.
    :param in_flight: counts the calls of all VMs at a service's runners.
    :param lease_manager: manages the lease.
    :param heartbeat_s: the interval between two heartbeats of a runner, in
        seconds.
    :param serves: tells whether a runner serves regular calls; only these
        runners count towards the fleet size.
    :param limited_away: how many runners' worth of a service is not to be had
        because runners name limits.
    """

    __slots__ = (
        "_clock",
        "_cloud",
        "_dialect",
        "_directory",
        "_in_flight",
        "_lease_manager",
        "_limited_away",
        "_orders",
        "_serves",
        "_ready_at",
        "_work",
        "configuration",
    )

    def __init__(
        self,
        clock: clocks.Clock,
        work: fleet_workload.FleetWorkload,
        directory: directories.RunnerDirectory,
        in_flight: typing.Callable[[str], int],
        cloud: duty_lease.CloudClient,
        dialect: dialects.PlatformDialect,
        lease_manager: duty_lease.LeaseManager,
        heartbeat_s: float,
        serves: typing.Callable[[runners.Runner], bool] = lambda runner: True,
        limited_away: typing.Callable[[str], float] = lambda service: 0.0,
    ) -> None:
        self._clock = clock
        self._serves = serves
        self._limited_away = limited_away
        # The VMs that follow the store begin only some time after their
        # start, so their delay is added.
        startup_s = (
            follower_selection.START_UP_S + STARTUP_HEARTBEATS * heartbeat_s
        )
        self._ready_at = clock.now() + startup_s
        self._work = work
        self._directory = directory
        self._in_flight = in_flight
        self._cloud = cloud
        self._dialect = dialect
        self._lease_manager = lease_manager
        self._orders: dict[tuple[str, str, bool], _Order] = {}
        #: The configuration in force; None before the first one.
        self.configuration: configuration_model.Configuration | None = None

    async def step(self) -> None:
        """Order missing runners and release surplus ones, of all services.

        Without the lease, record the loads for later plans.
        """
        configuration = self.configuration
        if configuration is None or self._clock.now() < self._ready_at:
            return
        holds = self._lease_manager.fencing is not None
        if not holds:
            self._orders.clear()
        for service in configuration.services.values():
            if service.scaling is None:
                continue
            load = self._load(
                service,
                service.scaling,
                runner_sizing.smallest_objective_s(
                    configuration, service.name
                ),
                log_inputs=holds,
            )
            if not holds:
                planner = self._work.planner_of(service.name)
                planner.observe(
                    load.held, load.required_runners, load.startup_runners
                )
                continue
            for target in self._targets(service.name, service.scaling, load):
                if not await self._order_if_due(target):
                    return

    def _load(
        self,
        service: configuration_model.Service,
        terms: fleet_mix_planner.ScalingTerms,
        objective_s: float,
        log_inputs: bool,
    ) -> _ServiceLoad:
        serving = [
            runner
            for runner in self._directory.available_runners(service.name)
            if self._serves(runner)
        ]
        held = _count_runners(serving, terms)
        present = sum(h.on_demand + h.reclaimable for h in held.values())
        in_flight = self._in_flight(service.name)
        return _ServiceLoad(
            held,
            self._work.required_runners(
                service,
                present,
                in_flight,
                self._limited_away(service.name),
                log_inputs,
                [runner.runner_id for runner in serving],
                objective_s,
            ),
            self._work.startup_runners(service.name),
            not in_flight and self._work.has_no_load(service.name),
        )

    def _targets(
        self,
        service: str,
        terms: fleet_mix_planner.ScalingTerms,
        load: _ServiceLoad,
    ) -> list[_Target]:
        held = load.held
        planner = self._work.planner_of(service)
        plan = planner.plan(
            terms, held, load.required_runners, load.idle, load.startup_runners
        )
        targets = []
        for data_centre, wanted in plan.items():
            have = held[data_centre]
            targets += [
                _Target(
                    service,
                    data_centre,
                    False,
                    wanted.on_demand,
                    have.on_demand,
                    terms.boot_s,
                ),
                _Target(
                    service,
                    data_centre,
                    True,
                    wanted.reclaimable,
                    have.reclaimable,
                    terms.boot_s,
                ),
            ]
        return targets

    async def _order_if_due(self, target: _Target) -> bool:
        """Send the order for a target number of runners if it is due.

        An order is due if the number differs from that of the serving runners
        or from the last accepted order. The same order is repeated only after
        a delay.

        :returns: whether to continue with the other targets; false if this VM
            has lost the lease.
        """
        now = self._clock.now()
        last = self._orders.get(target.key)
        if target.count == target.present and (last is None or not last.taken):
            return True
        if last is not None and last.count == target.count:
            since = now - last.sent_at
            if last.taken and (
                target.present == target.count or since < REPEAT_ORDER_S
            ):
                return True
            if not last.taken and since < RETRY_ORDER_S:
                return True
        if (
            target.reclaimable
            and target.count > target.present
            and self._work.planner_of(target.service).is_reorder_delayed
        ):
            # A data centre has just rejected an order for reclaimable
            # runners; the planner decides when to order them again.
            return True
        fencing = self._lease_manager.fencing
        if fencing is None:
            return False
        path, body = self._dialect.runner_order_request(
            target.service,
            target.data_centre,
            target.count,
            target.reclaimable,
        )
        taken = False
        try:
            taken = await self._cloud.send(path, body, fencing)
        except duty_lease.CloudBusy as error:
            logs.event("order_failed", order=str(target.key), error=str(error))
        else:
            self._record_answer(target, taken)
        self._orders[target.key] = _Order(target.count, now, taken)
        logs.event(
            "runners_ordered",
            service=target.service,
            data_centre=target.data_centre,
            reclaimable=target.reclaimable,
            count=target.count,
            present=target.present,
            fencing=fencing,
            taken=taken,
        )
        return True

    def _record_answer(self, target: _Target, taken: bool) -> None:
        planner = self._work.planner_of(target.service)
        if taken:
            planner.record_accepted_order(
                target.data_centre,
                target.reclaimable,
                target.count,
                target.boot_s,
            )
        elif target.reclaimable:
            planner.record_refusal(target.data_centre)


def _count_runners(
    serving: typing.Iterable[runners.Runner],
    terms: fleet_mix_planner.ScalingTerms,
) -> dict[str, fleet_mix_planner.RunnerCounts]:
    """The runners that serve, by data centre of the terms."""
    held = {
        data_centre: fleet_mix_planner.RunnerCounts()
        for data_centre in terms.on_demand_prices
    }
    for runner in serving:
        counts = held.get(runner.data_centre)
        if counts is None:
            continue
        if runner.reclaimable:
            counts.reclaimable += 1
        else:
            counts.on_demand += 1
    return held
