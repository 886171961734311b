"""The duty to order runners, by kind and data centre."""

import typing

from .. import clock as clocks
from .. import logs
from ..data_centres import fleet_mix_planner
from ..data_centres import prefill_load
from ..vms import follower_selection

from . import dialects
from . import directory as directories
from . import duties
from . import routes
from . import runners

PAUSE_S = 0.5
#: How long work must have been counted before its figures alone decide; the
#: runners that a deployment started with are trusted until then.
LEARNED_AFTER_S = 6.0
#: An order that was not taken is sent again after this time.
RETRY_S = 1.0
#: A process orders nothing until so many heartbeats of the runners after its
#: start. Runners that start along with it are listed one by one; a VM that
#: took the first ones for all let eight of nine go.
SETTLE_HEARTBEATS = 2.5
#: An order that showed no effect is sent again after this time: its answer
#: may have been lost, and an old holder's order may have come after it.
REPEAT_S = 9.0


class _Order:
    __slots__ = ("count", "sent_at", "taken")

    def __init__(self, count: int, sent_at: float, taken: bool) -> None:
        self.count = count
        self.sent_at = sent_at
        self.taken = taken


class _Line:
    """What one data centre should have of one kind."""

    __slots__ = (
        "service",
        "place",
        "reclaimable",
        "count",
        "present",
        "boot_s",
    )

    def __init__(
        self,
        service: str,
        place: str,
        reclaimable: bool,
        count: int,
        present: int,
        boot_s: float,
    ) -> None:
        self.service = service
        self.place = place
        self.reclaimable = reclaimable
        self.count = count
        self.present = present
        self.boot_s = boot_s

    @property
    def key(self) -> tuple[str, str, bool]:
        """What the line is about."""
        return (self.service, self.place, self.reclaimable)


class _Load:
    """What a service has and needs.

    :param held: runners that serve, by data centre.
    :param needed: runners that its load needs.
    :param trusted: runners that count as needed until its load is known.
    :param idle: whether there has been no work so far.
    """

    __slots__ = ("held", "needed", "trusted", "idle")

    def __init__(
        self,
        held: dict[str, fleet_mix_planner.RunnerCounts],
        needed: float,
        trusted: float,
        idle: bool,
    ) -> None:
        self.held = held
        self.needed = needed
        self.trusted = trusted
        self.idle = idle


class Work:
    """The fleet's work and plans, by service."""

    __slots__ = ("_clock", "_demands", "_sizes", "_started_with")

    def __init__(self, clock: clocks.Clock) -> None:
        self._clock = clock
        self._demands: dict[str, prefill_load.PrefillLoad] = {}
        self._sizes: dict[str, fleet_mix_planner.FleetMixPlanner] = {}
        self._started_with: dict[str, int] = {}

    def heard(
        self, process: str, work: typing.Mapping[str, typing.Any]
    ) -> None:
        """Take in a VM's counters."""
        for service, (total, speed, pressure) in work.items():
            known = self._demands.get(service)
            if known is None:
                known = prefill_load.PrefillLoad(self._clock)
                self._demands[service] = known
            known.receive_report(process, total, speed, pressure)

    def keep_only(self, processes: typing.Container[str]) -> None:
        """Forget processes that have ended."""
        for known in self._demands.values():
            known.retain_processes(processes)

    def size_of(self, service: str) -> fleet_mix_planner.FleetMixPlanner:
        """The plan of a service."""
        return self._sizes.setdefault(
            service, fleet_mix_planner.FleetMixPlanner(self._clock)
        )

    def never_worked(self, service: str) -> bool:
        """Whether no VM has counted any work at a service's runners."""
        known = self._demands.get(service)
        return known is None or not known.observed_for_s

    def needed(
        self,
        service: routes.Service,
        present: int,
        in_flight: int,
        told: bool,
    ) -> float:
        """Runners that a service needs now.

        :param told: whether to log what it was worked out from.
        """
        self._started_with.setdefault(service.name, present)
        known = self._demands.get(service.name)
        places = service.engine.concurrency if service.engine else 1
        measured = known.required_runners(in_flight, places) if known else 1.0
        if told:
            logs.event(
                "runners_needed",
                service=service.name,
                measured=measured,
                rate=known.tokens_per_s if known else None,
                speed=known.prefill_speed if known else None,
                pressure=known.latency_ratio if known else None,
                in_flight=in_flight,
                present=present,
            )
        return measured

    def trusted(self, service: str) -> float:
        """Runners that count as needed until the work is known."""
        known = self._demands.get(service)
        if known is None or known.observed_for_s < LEARNED_AFTER_S:
            return float(self._started_with.get(service, 0))
        return 0.0


class RunnerDuty:
    """Orders runners while this VM holds the lease.

    :param in_flight: calls of all VMs at a service's runners.
    :param heartbeat_s: between two heartbeats of a runner.
    :param serves: whether a runner takes regular calls; only these count
        towards the fleet size.
    """

    __slots__ = (
        "_clock",
        "_cloud",
        "_dialect",
        "_directory",
        "_in_flight",
        "_keeper",
        "_orders",
        "_serves",
        "_settled_at",
        "_work",
        "configuration",
    )

    def __init__(
        self,
        clock: clocks.Clock,
        work: Work,
        directory: directories.Directory,
        in_flight: typing.Callable[[str], int],
        cloud: duties.Cloud,
        dialect: dialects.PlatformDialect,
        keeper: duties.LeaseKeeper,
        heartbeat_s: float,
        serves: typing.Callable[[runners.Runner], bool] = lambda runner: True,
    ) -> None:
        self._clock = clock
        self._serves = serves
        # Those that follow the store begin a moment after their start.
        settle_s = (
            follower_selection.START_UP_S + SETTLE_HEARTBEATS * heartbeat_s
        )
        self._settled_at = clock.now() + settle_s
        self._work = work
        self._directory = directory
        self._in_flight = in_flight
        self._cloud = cloud
        self._dialect = dialect
        self._keeper = keeper
        self._orders: dict[tuple[str, str, bool], _Order] = {}
        #: In force; None before the first one.
        self.configuration: routes.Configuration | None = None

    async def step(self) -> None:
        """Order what is missing, and give back what is too much."""
        configuration = self.configuration
        if configuration is None or self._clock.now() < self._settled_at:
            return
        holds = self._keeper.fencing is not None
        if not holds:
            self._orders.clear()
        for service in configuration.services.values():
            if service.scaling is None:
                continue
            load = self._load(service, service.scaling, told=holds)
            if not holds:
                size = self._work.size_of(service.name)
                size.observe(load.held, load.needed, load.trusted)
                continue
            for line in self._lines(service.name, service.scaling, load):
                if not await self._order(line):
                    return

    def _load(
        self,
        service: routes.Service,
        terms: fleet_mix_planner.ScalingTerms,
        told: bool,
    ) -> _Load:
        held = self._held(service.name, terms)
        present = sum(h.on_demand + h.reclaimable for h in held.values())
        in_flight = self._in_flight(service.name)
        return _Load(
            held,
            self._work.needed(service, present, in_flight, told),
            self._work.trusted(service.name),
            not in_flight and self._work.never_worked(service.name),
        )

    def _lines(
        self, service: str, terms: fleet_mix_planner.ScalingTerms, load: _Load
    ) -> list[_Line]:
        held = load.held
        size = self._work.size_of(service)
        plan = size.plan(terms, held, load.needed, load.idle, load.trusted)
        lines = []
        for place, wanted in plan.items():
            have = held[place]
            lines += [
                _Line(
                    service,
                    place,
                    False,
                    wanted.on_demand,
                    have.on_demand,
                    terms.boot_s,
                ),
                _Line(
                    service,
                    place,
                    True,
                    wanted.reclaimable,
                    have.reclaimable,
                    terms.boot_s,
                ),
            ]
        return lines

    def _held(
        self, service: str, terms: fleet_mix_planner.ScalingTerms
    ) -> dict[str, fleet_mix_planner.RunnerCounts]:
        held = {
            place: fleet_mix_planner.RunnerCounts()
            for place in terms.on_demand_prices
        }
        for runner in self._directory.of_service(service):
            holding = held.get(runner.data_centre)
            if holding is None or not self._serves(runner):
                continue
            if runner.reclaimable:
                holding.reclaimable += 1
            else:
                holding.on_demand += 1
        return held

    async def _order(self, line: _Line) -> bool:
        """Send an order if one is due.

        :returns: whether to go on with others.
        """
        now = self._clock.now()
        last = self._orders.get(line.key)
        if line.count == line.present and (last is None or not last.taken):
            return True
        if last is not None and last.count == line.count:
            since = now - last.sent_at
            if last.taken and (line.present == line.count or since < REPEAT_S):
                return True
            if not last.taken and since < RETRY_S:
                return True
        if (
            line.reclaimable
            and line.count > line.present
            and self._work.size_of(line.service).is_reorder_delayed
        ):
            # One data centre has just refused; the next try asks again.
            return True
        fencing = self._keeper.fencing
        if fencing is None:
            return False
        path, body = self._dialect.order_call(
            line.service, line.place, line.count, line.reclaimable
        )
        taken = False
        try:
            taken = await self._cloud.send(path, body, fencing)
        except duties.CloudBusy as error:
            logs.event("order_failed", order=str(line.key), error=str(error))
        else:
            self._note(line, taken)
        self._orders[line.key] = _Order(line.count, now, taken)
        logs.event(
            "runners_ordered",
            service=line.service,
            data_centre=line.place,
            reclaimable=line.reclaimable,
            count=line.count,
            present=line.present,
            fencing=fencing,
            taken=taken,
        )
        return True

    def _note(self, line: _Line, taken: bool) -> None:
        size = self._work.size_of(line.service)
        if taken:
            size.record_accepted_order(
                line.place, line.reclaimable, line.count, line.boot_s
            )
        elif line.reclaimable:
            size.record_refusal(line.place)
