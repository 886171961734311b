"""Computes the required runners from the learned prefill time per token.

:class:`.prefill_load.PrefillLoad` takes the highest observed tokens per second
as a runner's prefill speed. That is wrong where a part of the time to the
first event does not depend on the prompt, or where runners differ in speed.
The learned line through tokens and seconds separates the two parts.
"""

import math
import typing

from . import prefill_load
from . import prompt_sizes
from . import utilization_targets

#: Weight of the samples of the line from which it counts as known.
MIN_LATENCY_SAMPLES = 20.0
#: Ratio between the two estimates of the speed up to which the observed peak
#: counts as right. Learned speeds are within 10% of the true ones, so that
#: two estimates of one speed may differ by this ratio.
RIGHT_SPEED_RATIO = 1.2
#: Ratio from which the learned line alone counts. Between the two ratios the
#: results are blended, so that the required number has no steps.
WRONG_SPEED_RATIO = 1.5
#: Upper limit of a usable time for a token, in seconds. No prompt meets an
#: objective with a slower one, so that it is a fault of the samples.
MAX_TOKEN_S = 0.1
#: Upper limit of the learned speed, as a multiple of the observed peak. At
#: this ratio the prefill is only an eighth of a long prompt's first event; a
#: learned time per token that is near 0 by chance would leave no runners for
#: the prompts.
MAX_SPEED_RATIO = 8.0
#: Bounds of a runner's relative speed, which exclude invalid values.
MIN_SPEED = 0.25
MAX_SPEED = 4.0


class ServiceLatency(typing.Protocol):
    """The line through tokens and seconds to the first event.

    ``base_s`` is the time without any prefill and ``token_s`` the time for
    each uncached token, in seconds; ``samples`` is the weight of the samples.
    """

    @property
    def base_s(self) -> float:
        """Time to a first event that needs no prefill, in seconds."""

    @property
    def token_s(self) -> float:
        """Time for an uncached token at a runner of speed 1, in seconds."""

    @property
    def samples(self) -> float:
        """Weight of the samples."""


class RunnerPerformance(typing.Protocol):
    """What is known of the speed of runners."""

    def latency(self, service: str) -> ServiceLatency:
        """The line of a service."""

    def speed(self, runner: str) -> float:
        """A runner's prefill speed relative to the others of its service."""


class SizingInputs:
    """What the required number is computed from, besides the load.

    ``base_s``, ``token_s`` and ``samples`` are the values of ``latency`` at
    the time of construction.

    :param latency: the service's learned line.
    :param mean_speed: mean relative speed of the runners that serve.
    :param sizes: sizes of the prompts.
    :param objective_s: smallest objective of the service's routes, in
        seconds; 0 if it has none.
    """

    __slots__ = (
        "base_s",
        "token_s",
        "samples",
        "mean_speed",
        "sizes",
        "objective_s",
    )

    def __init__(
        self,
        latency: ServiceLatency,
        mean_speed: float,
        sizes: prompt_sizes.SizeSummary,
        objective_s: float,
    ) -> None:
        self.base_s = latency.base_s
        self.token_s = latency.token_s
        self.samples = latency.samples
        self.mean_speed = mean_speed
        self.sizes = sizes
        self.objective_s = objective_s

    @property
    def are_known(self) -> bool:
        """Whether there are enough samples, with usable values."""
        return (
            self.samples >= MIN_LATENCY_SAMPLES
            and self.sizes.is_known
            and 0.0 < self.token_s <= MAX_TOKEN_S
            and 0.0 <= self.base_s < math.inf
        )


class Estimate:
    """A required number of runners and the targets behind it.

    :param runners: the required number of runners.
    :param weight: share of the learned line in it, from 0 to 1; the rest is
        that of the observed peak speed.
    :param prefill_target: target utilization of the prefill.
    :param slot_target: target number of calls in flight at a runner.
    """

    __slots__ = ("runners", "weight", "prefill_target", "slot_target")

    def __init__(
        self,
        runners: float,
        weight: float,
        prefill_target: float,
        slot_target: float,
    ) -> None:
        self.runners = runners
        self.weight = weight
        self.prefill_target = prefill_target
        self.slot_target = slot_target


def mean_speed(speeds: typing.Iterable[float]) -> float:
    """The mean of relative speeds; 1 without any.

    Values that are no number are left out, and others limited.
    """
    usable = [
        min(MAX_SPEED, max(MIN_SPEED, speed))
        for speed in speeds
        if not math.isnan(speed)
    ]
    return sum(usable) / len(usable) if usable else 1.0


def estimate(
    load: prefill_load.PrefillLoad,
    in_flight: int,
    slots: int,
    inputs: SizingInputs,
) -> Estimate | None:
    """The number of runners that a load requires.

    :param load: the load of all VMs.
    :param in_flight: calls at all runners together.
    :param slots: calls that one runner processes at the same time.
    :returns: None if too little is known.
    """
    if not inputs.are_known:
        return None
    peak_speed = load.prefill_speed
    line_speed = inputs.mean_speed / inputs.token_s
    if peak_speed > 0.0:
        line_speed = min(line_speed, MAX_SPEED_RATIO * peak_speed)
    prefill_target = utilization_targets.prefill_utilization(
        inputs.objective_s,
        inputs.base_s,
        inputs.sizes.mean_tokens / line_speed,
        inputs.sizes.variation,
    )
    slot_target = utilization_targets.calls_per_runner(slots)
    by_prefill = load.latency_factor * (
        load.tokens_per_s / (prefill_target * line_speed)
    )
    by_line = max(1.0, in_flight / slot_target, by_prefill)
    weight = _weight(peak_speed, line_speed)
    by_peak = load.required_runners(in_flight, slots)
    blended = by_peak + weight * (by_line - by_peak)
    return Estimate(
        math.ceil(blended - 1e-9), weight, prefill_target, slot_target
    )


def _weight(peak_speed: float, line_speed: float) -> float:
    """How much the learned line counts, by how far the peak is from it.

    :param peak_speed: the observed peak in tokens per second; 0 if unknown.
    :param line_speed: the speed by the learned line.
    """
    if peak_speed <= 0.0:
        return 1.0
    right, wrong = math.log(RIGHT_SPEED_RATIO), math.log(WRONG_SPEED_RATIO)
    error = abs(math.log(peak_speed / line_speed))
    return min(1.0, max(0.0, (error - right) / (wrong - right)))
