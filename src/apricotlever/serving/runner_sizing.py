"""Collects the inputs for the estimate of a service's required runners.

They are the learned speeds of runners, the sizes of prompts and the objectives
of the routes; :mod:`~apricotlever.data_centres.latency_sizing` makes the
estimate.
"""

import typing

from ..data_centres import latency_sizing
from ..data_centres import prompt_sizes
from ..vms import shared_samples

from . import configuration_model
from . import modes

#: Maximum number of runners whose speeds are averaged. Their mean is within a
#: few percent of that of all; reading 10,000 speeds twice a second would use
#: several percent of a small VM's core.
MAX_SPEEDS = 256


class RunnerSizing:
    """The estimates of the required runners by the learned speeds.

    :param mode: whether estimates are made and take effect.
    :param sizes: sizes of the fleet's prompts.
    :param performance: the learned speeds of runners; None if they are not
        learned.
    """

    __slots__ = ("_mode", "_performance", "_sizes")

    def __init__(
        self,
        mode: modes.Mode,
        sizes: prompt_sizes.PromptSizes,
        performance: latency_sizing.RunnerPerformance | None = None,
    ) -> None:
        self._mode = mode
        self._sizes = sizes
        self._performance = performance

    @property
    def _is_active(self) -> bool:
        """Whether there is something to learn from and a use for it."""
        return (
            self._mode is not modes.Mode.OFF and self._performance is not None
        )

    @property
    def takes_effect(self) -> bool:
        """Whether the estimates determine the orders."""
        return self._mode is modes.Mode.ON

    def send_samples(
        self,
        buffer: shared_samples.SampleBuffer,
        configuration: configuration_model.Configuration | None,
    ) -> None:
        """Add the sizes of this VM's prompts to the samples to be sent."""
        if self._is_active:
            services = _scaled_services(configuration)
            buffer.merge(self._sizes.take_samples(services))
            self._sizes.retain_services(services)

    def merge_samples(
        self,
        samples: shared_samples.Samples,
        configuration: configuration_model.Configuration | None,
    ) -> None:
        """Add the sizes of the prompts of other VMs."""
        if self._is_active:
            self._sizes.merge(samples, _scaled_services(configuration))

    def inputs(
        self,
        service: str,
        objective_s: float,
        serving: typing.Sequence[str],
    ) -> latency_sizing.SizingInputs | None:
        """What is known of a service; None if this part is off.

        :param objective_s: smallest objective of its routes, in seconds.
        :param serving: IDs of the runners that serve.
        """
        if not self._is_active or self._performance is None:
            return None
        step = 1 + (len(serving) - 1) // MAX_SPEEDS if serving else 1
        speed = self._performance.speed
        return latency_sizing.SizingInputs(
            self._performance.latency(service),
            latency_sizing.mean_speed(speed(name) for name in serving[::step]),
            self._sizes.summary(service),
            objective_s,
        )


def _scaled_services(
    configuration: configuration_model.Configuration | None,
) -> frozenset[str]:
    """The services whose runners are ordered by their load."""
    if configuration is None:
        return frozenset()
    return frozenset(
        service.name
        for service in configuration.services.values()
        if service.scaling is not None
    )


def smallest_objective_s(
    configuration: configuration_model.Configuration, service: str
) -> float:
    """The smallest objective of the routes to a service, in seconds.

    It is 0 if no route has one.
    """
    return min(
        (
            route.objective_s
            for route in configuration.routes
            if route.objective_s > 0.0
            and any(
                name == service and weight > 0.0
                for name, weight in route.targets
            )
        ),
        default=0.0,
    )


def log_fields(
    inputs: latency_sizing.SizingInputs | None,
    estimate: latency_sizing.Estimate | None,
    by_peak: float,
) -> dict[str, float | None]:
    """The fields of an estimate in the log; empty if this part is off.

    :param by_peak: the number required by the observed peak speed.
    """
    if inputs is None:
        return {}
    return {
        "by_peak": by_peak,
        "by_latency": estimate.runners if estimate else None,
        "weight": estimate.weight if estimate else None,
        "prefill_target": estimate.prefill_target if estimate else None,
        "slot_target": estimate.slot_target if estimate else None,
        "base_s": inputs.base_s,
        "token_s": inputs.token_s,
        "samples": inputs.samples,
        "mean_speed": inputs.mean_speed,
        "mean_tokens": inputs.sizes.mean_tokens,
        "variation": inputs.sizes.variation,
        "objective_s": inputs.objective_s,
    }
