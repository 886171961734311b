"""Computes how many runners keep the waits within the latency target.

A runner has a number of slots, each of which is room for one of its concurrent
requests. A request that finds no free slot waits. It starts late if it waits
longer than ``wait_s`` of the demand, what the latency target allows.
"""

import functools
import math

from . import model

#: Default share of requests that may start late.
LATE_SHARE = 0.05
#: Maximum load, in busy slots, for which the exact formula is used.
MAX_EXACT_LOAD = 2000


def runners_needed(
    demand: model.Demand, slots_per_runner: int, late_share: float = LATE_SHARE
) -> int:
    """The minimum number of runners at which few enough requests start late.

    :param demand: rate and service time of the requests, and allowed wait.
    :param late_share: share of requests that may wait longer than ``wait_s``.
    """
    slots = slots_needed(demand, late_share)
    return math.ceil(slots / slots_per_runner)


def slots_needed(demand: model.Demand, late_share: float = LATE_SHARE) -> int:
    """The minimum number of slots at which few enough requests start late.

    Uses the Erlang C formula. For large loads, for which the formula is slow
    to compute, the square-root staffing rule differs by only a few slots.

    :param late_share: share of requests that may wait longer than ``wait_s``.
    """
    load = demand.requests_per_s * demand.service_s
    if load <= 0:
        return 0
    minimum = math.floor(load) + 1
    if load > MAX_EXACT_LOAD:
        return math.ceil(load + 2 * math.sqrt(load))
    maximum = minimum + math.ceil(4 * math.sqrt(load)) + 8
    low, high = minimum, maximum
    while low < high:
        middle = (low + high) // 2
        if late_start_share(demand, middle) <= late_share:
            high = middle
        else:
            low = middle + 1
    return low


def late_start_share(demand: model.Demand, slots: int) -> float:
    """The share of requests that wait longer than ``wait_s`` for a slot."""
    load = demand.requests_per_s * demand.service_s
    if load <= 0:
        return 0.0
    if slots <= load:
        return 1.0
    spare = (slots - load) / demand.service_s
    return _erlang_c(load, slots) * math.exp(-spare * demand.wait_s)


@functools.lru_cache(maxsize=4096)
def _erlang_c(load: float, slots: int) -> float:
    """The probability that a request finds no free slot.

    :param load: the mean number of busy slots, lower than ``slots``.
    """
    blocked = 1.0
    for number in range(1, slots + 1):
        blocked = load * blocked / (number + load * blocked)
    return blocked / (1 - load / slots * (1 - blocked))
