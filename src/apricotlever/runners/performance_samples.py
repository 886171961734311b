"""Samples of the performance of runners, as VMs exchange them."""

import enum
import math
import typing

from . import latency_sums

#: Topics of the shared samples; the keys are runner IDs and service names.
RUNNER_TOPIC = "performance"
SERVICE_TOPIC = "service_latency"
#: Limit of the logarithm of a sample's observed to expected seconds.
MAX_LOG_RATIO = math.log(4.0)
#: Units of the shared logarithms.
LOG_UNIT = 1e-3
#: Most samples of one runner and phase in a message, which stands for one
#: second. A runner ends fewer calls.
MAX_RUNNER_SAMPLES = 5_000


class Phase(enum.StrEnum):
    """The kind of work whose speed is compared."""

    PREFILL = "prefill"
    DECODE = "decode"
    PLAIN = "plain"


PHASES = tuple(Phase)


def runner_counts(phase: Phase, log_ratio: float) -> list[int]:
    """One sample of a runner: a number and a sum of logarithms by phase."""
    counts = [0] * (2 * len(PHASES))
    index = 2 * PHASES.index(phase)
    counts[index : index + 2] = 1, round(log_ratio / LOG_UNIT)
    return counts


def sums_by_phase(
    counts: typing.Sequence[int],
) -> list[tuple[Phase, int, float]] | None:
    """The number of samples and the sum of their logarithms, by phase.

    :returns: None if the counts can't be those of samples.
    """
    if len(counts) != 2 * len(PHASES) or not latency_sums.are_ints(counts):
        return None
    numbers, sums = counts[::2], counts[1::2]
    # Rounding may add half a unit for each sample.
    largest = MAX_LOG_RATIO / LOG_UNIT + 1
    for number, log_sum in zip(numbers, sums):
        if not 0 <= number <= MAX_RUNNER_SAMPLES:
            return None
        if abs(log_sum) > number * largest:
            return None
    return [
        (phase, number, log_sum * LOG_UNIT)
        for phase, number, log_sum in zip(PHASES, numbers, sums)
        if number
    ]
