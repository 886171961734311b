"""The load of all services, and the runners that it requires."""

import typing

from .. import clock as clocks
from .. import logs
from ..data_centres import fleet_mix_planner
from ..data_centres import latency_sizing
from ..data_centres import prefill_load

from . import configuration_model
from . import runner_sizing

#: Time for which the load of a service is observed before it alone determines
#: the fleet size, in seconds. Until then the runners that the deployment
#: started with count as required.
MIN_OBSERVATION_S = 6.0


class FleetWorkload:
    """The load of each service and the planner of its runners.

    The loads combine the counters of all VMs. VMs that do not hold the lease
    keep them, too, so that a new holder knows them at once.

    :param sizing: estimates by the learned speeds of runners; None to use the
        observed peak speed alone.
    """

    __slots__ = (
        "_clock",
        "_initial_runners",
        "_loads",
        "_planners",
        "_sizing",
    )

    def __init__(
        self,
        clock: clocks.Clock,
        sizing: runner_sizing.RunnerSizing | None = None,
    ) -> None:
        self._clock = clock
        self._sizing = sizing
        self._loads: dict[str, prefill_load.PrefillLoad] = {}
        self._planners: dict[str, fleet_mix_planner.FleetMixPlanner] = {}
        self._initial_runners: dict[str, int] = {}

    def merge_counters(
        self, process: str, work: typing.Mapping[str, typing.Any]
    ) -> None:
        """Merge the load counters of one VM's process.

        :param process: the process, which is the VM and its incarnation.
        :param work: by service, the total of uncached prompt tokens sent to
            runners, the prefill speed in tokens per second and the latency
            ratio; see :mod:`~apricotlever.data_centres.prefill_load`.
        """
        for service, (total, speed, pressure) in work.items():
            known = self._loads.get(service)
            if known is None:
                known = prefill_load.PrefillLoad(self._clock)
                self._loads[service] = known
            known.receive_report(process, total, speed, pressure)

    def retain_processes(self, processes: typing.Container[str]) -> None:
        """Drop the counters of ended processes.

        :param processes: the processes that may still run.
        """
        for known in self._loads.values():
            known.retain_processes(processes)

    def planner_of(self, service: str) -> fleet_mix_planner.FleetMixPlanner:
        """The fleet mix planner of a service, created when needed."""
        return self._planners.setdefault(
            service, fleet_mix_planner.FleetMixPlanner(self._clock)
        )

    def has_no_load(self, service: str) -> bool:
        """Whether no VM has observed any load at a service's runners."""
        known = self._loads.get(service)
        return known is None or not known.observed_for_s

    def required_runners(
        self,
        service: configuration_model.Service,
        present: int,
        in_flight: int,
        limited_away: float,
        log_inputs: bool,
        serving: typing.Sequence[str] = (),
        objective_s: float = 0.0,
    ) -> float:
        """The number of runners that a service's load requires now.

        :param present: the number of runners that serve now.
        :param in_flight: the number of calls in flight at its runners.
        :param limited_away: how many runners' worth is not to be had of those
            that serve, as they name limits.
        :param log_inputs: whether to log the result and its inputs.
        :param serving: IDs of the runners that serve now.
        :param objective_s: smallest objective of the service's routes, in
            seconds; 0 if it has none.
        """
        self._initial_runners.setdefault(service.name, present)
        known = self._loads.get(service.name)
        slots_per_runner = service.engine.concurrency if service.engine else 1
        by_peak = measured = (
            known.required_runners(in_flight, slots_per_runner)
            if known
            else 1.0
        )
        inputs = estimate = None
        if self._sizing is not None and known is not None:
            inputs = self._sizing.inputs(service.name, objective_s, serving)
            if inputs is not None:
                estimate = latency_sizing.estimate(
                    known, in_flight, slots_per_runner, inputs
                )
            if estimate is not None and self._sizing.takes_effect:
                measured = estimate.runners
        if log_inputs:
            logs.event(
                "runners_needed",
                service=service.name,
                measured=measured,
                rate=known.tokens_per_s if known else None,
                speed=known.prefill_speed if known else None,
                pressure=known.latency_ratio if known else None,
                in_flight=in_flight,
                present=present,
                limited_away=limited_away or None,
                **runner_sizing.log_fields(inputs, estimate, by_peak),
            )
        return measured + limited_away

    def startup_runners(self, service: str) -> float:
        """The number of runners assumed to be required at the start.

        Until the load of the service is known, this is the number of runners
        that served when the service was first evaluated; it is 0 afterwards.
        """
        known = self._loads.get(service)
        if known is None or known.observed_for_s < MIN_OBSERVATION_S:
            return float(self._initial_runners.get(service, 0))
        return 0.0
