"""Computes the fleet size from which a budget or bound is exceeded."""

import functools
import typing

from . import _capacity_target as target

Bound = tuple[str, typing.Callable[[target.TargetFleet], float], float]


def exceeded_from(
    cost: typing.Callable[[target.TargetFleet], float],
    budget: float,
    max_nodes: float = 1e6,
) -> float | None:
    """The number of nodes from which a growing cost exceeds its budget.

    :param cost: the cost for a fleet; it grows with the fleet's size.
    :param max_nodes: the largest size that is searched.
    :returns: 1.0 if the cost exceeds the budget at any size; None if it stays
        within the budget up to ``max_nodes``.
    """
    if cost(target.TargetFleet(1.0)) > budget:
        return 1.0
    if cost(target.TargetFleet(max_nodes)) <= budget:
        return None
    low, high = 1.0, max_nodes
    for _ in range(60):
        middle = (low + high) / 2
        if cost(target.TargetFleet(middle)) > budget:
            high = middle
        else:
            low = middle
    return low


def all_bounds(measurements: target.Measurements) -> list[Bound]:
    """The budgets and bounds that have to hold.

    :returns: the name, the cost for a fleet and the budget of each.
    """
    load_bytes = measurements.growth_per_unit("load_bytes")
    receivable_bytes_per_s = (
        target.MESSAGES_RECEIVED_PER_S * target.MESSAGE_BYTES
    )
    budgeted_parts = [
        (f"processor: {part.name}", part, target.CORE_BUDGET_PCT)
        for part in target.PROCESSOR
    ] + [
        (f"network: {part.name}", part, target.NETWORK_BUDGET_BYTES_PER_S)
        for part in target.NETWORK
    ]
    part_bounds: list[Bound] = [
        (name, functools.partial(part.cost, measurements), budget)
        for name, part, budget in budgeted_parts
    ]
    return part_bounds + [
        (
            "fleet-wide limits, capacity and calls beyond the data centre",
            lambda f: f.nodes,
            target.FULL_VIEW_MAX_NODES,
        ),
        (
            "store: three renewals of one lease in a node's share",
            lambda f: target.renewals_per_lease_per_s()
            / f.node_store_writes_per_s,
            1.0,
        ),
        (
            "store: one renewal in a lease's time, else it lapses",
            lambda f: measurements.value_at("lease_gap", f.nodes),
            target.LEASE_DURATION_S,
        ),
        (
            "freshness: loads of the data centre's runners, 3 s",
            lambda f: f.runners_per_data_centre
            * load_bytes
            / receivable_bytes_per_s,
            target.LOAD_LIFETIME_S,
        ),
        (
            "processor: all parts",
            lambda f: target.total_cost(target.PROCESSOR, measurements, f),
            target.CORE_BUDGET_PCT,
        ),
        (
            "network: all parts",
            lambda f: target.total_cost(target.NETWORK, measurements, f),
            target.NETWORK_BUDGET_BYTES_PER_S,
        ),
    ]
