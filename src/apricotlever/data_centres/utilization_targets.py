"""How far runners may be used so that callers get first events in time.

The targets follow from what callers need: a route's objective, the sizes of
the prompts, and free slots during a burst of calls.
"""

import math

#: Share of the smallest objective within which the mean first event should
#: come. Most waits are below twice their mean, so that most first events then
#: come within the objective.
OBJECTIVE_SHARE = 0.5
#: Upper limit of the target utilization of the prefill. A burst of 1.6 times
#: the usual calls must not exceed what the runners can prefill.
MAX_PREFILL_UTILIZATION = 0.6
#: Lower limit of the target utilization of the prefill. At this utilization a
#: prompt already waits for a quarter of the mean remaining prefill; an
#: objective that is missed nevertheless can't be met by more runners.
MIN_PREFILL_UTILIZATION = 0.2
#: The burst of calls, as a multiple of the usual number, during which a call
#: should still find a free slot.
CALL_BURST = 1.6
#: Standard deviations of the number of calls in flight that are kept free on
#: top of the burst. The number is taken as Poisson distributed, so that about
#: one call in 1,000 finds no free slot.
FREE_SLOT_DEVIATIONS = 3.0
#: Minimum fraction of a runner's slots that the load may use on average.
MIN_SLOT_UTILIZATION = 0.2


def prefill_utilization(
    objective_s: float, base_s: float, prompt_s: float, variation: float
) -> float:
    """The highest utilization at which the mean first event comes in time.

    The mean wait is that of a queue with random arrivals and one server
    (M/G/1).

    :param objective_s: smallest objective of the service's routes, in
        seconds; 0 if it has none.
    :param base_s: time to a first event that needs no prefill, in seconds.
    :param prompt_s: mean time of a prompt's prefill, in seconds.
    :param variation: squared coefficient of variation of that time.
    """
    if objective_s <= 0.0 or prompt_s <= 0.0:
        return MAX_PREFILL_UTILIZATION
    allowed_s = OBJECTIVE_SHARE * objective_s - base_s - prompt_s
    if allowed_s <= 0.0:
        return MIN_PREFILL_UTILIZATION
    remaining_s = prompt_s * (1.0 + variation) / 2.0
    highest = allowed_s / (allowed_s + remaining_s)
    return min(MAX_PREFILL_UTILIZATION, max(MIN_PREFILL_UTILIZATION, highest))


def calls_per_runner(slots: int) -> float:
    """The highest mean number of calls in flight at a runner.

    It leaves free slots in a burst of :data:`CALL_BURST`, and is at least
    :data:`MIN_SLOT_UTILIZATION` of the slots and at least one call.

    :param slots: calls that the runner processes at the same time.
    """
    deviations = FREE_SLOT_DEVIATIONS
    # The positive root of x * x + deviations * x = slots, in which x * x is
    # the mean number of calls during the burst.
    root = (math.sqrt(deviations**2 + 4.0 * slots) - deviations) / 2.0
    return max(1.0, MIN_SLOT_UTILIZATION * slots, root**2 / CALL_BURST)
