"""From which size of the fleet on a budget or a bound does not hold."""

import functools
import typing

from . import _capacity_target as target

Bound = tuple[str, typing.Callable[[target.Fleet], float], float]


def breaks_at(
    cost: typing.Callable[[target.Fleet], float],
    budget: float,
    most: float = 1e6,
) -> float | None:
    """Nodes at which a cost that grows with the fleet passes its budget.

    :returns: 1.0 if it never fits, None if it always does.
    """
    if cost(target.Fleet(1.0)) > budget:
        return 1.0
    if cost(target.Fleet(most)) <= budget:
        return None
    low, high = 1.0, most
    for _ in range(60):
        middle = (low + high) / 2
        if cost(target.Fleet(middle)) > budget:
            high = middle
        else:
            low = middle
    return low


def bounds(m: target.Measured) -> list[Bound]:
    """What has to hold: a name, its cost by the fleet's size, its budget."""
    load = m.growth("load_bytes")
    room = target.MESSAGES_IN_PER_S * target.PACKET_BYTES
    parts = [
        (f"processor: {part.name}", part, target.CORE_PCT)
        for part in target.PROCESSOR
    ] + [
        (f"network: {part.name}", part, target.BYTES_PER_S)
        for part in target.NETWORK
    ]
    single: list[Bound] = [
        (name, functools.partial(part.cost, m), budget)
        for name, part, budget in parts
    ]
    return single + [
        (
            "fleet-wide limits, capacity and calls beyond the data centre",
            lambda f: f.nodes,
            target.FULL_VIEW_MAX,
        ),
        (
            "store: three renewals of one lease in a node's share",
            lambda f: target.lease_writes_per_s() / f.writes_share,
            1.0,
        ),
        (
            "store: one renewal in a lease's time, else it lapses",
            lambda f: m.at("lease_gap", f.nodes),
            target.LEASE_S,
        ),
        (
            "freshness: loads of the data centre's runners, 3 s",
            lambda f: f.runners_near * load / room,
            target.LOAD_LIFETIME_S,
        ),
        (
            "processor: all parts",
            lambda f: target.total(target.PROCESSOR, m, f),
            target.CORE_PCT,
        ),
        (
            "network: all parts",
            lambda f: target.total(target.NETWORK, m, f),
            target.BYTES_PER_S,
        ),
    ]
