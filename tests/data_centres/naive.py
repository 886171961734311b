"""Slow reference implementations for the tests of data centres."""

import itertools
import math

from apricotlever.data_centres import model
from apricotlever.data_centres import placement


def cheapest(
    offers: list[placement.Offer], needed: int, surviving: int, most: int
) -> float | None:
    """The cost of the best plan, by exhaustive search; None without any."""
    ranges = [
        range((most if offer.most is None else offer.most) + 1)
        for offer in offers
    ]
    plans = (
        dict(zip((offer.place for offer in offers), counts))
        for counts in itertools.product(*ranges)
    )
    costs = [
        cost_of(offers, plan)
        for plan in plans
        if needed <= sum(plan.values()) <= most
        and placement.survivors(plan) >= surviving
    ]
    return min(costs, default=None)


def cost_of(offers: list[placement.Offer], plan: placement.Plan) -> float:
    """The cost of a plan."""
    return sum(offer.cost * plan.get(offer.place, 0) for offer in offers)


def late_share(demand: model.Demand, slots: int) -> float:
    """The share of late requests by the textbook Erlang C formula."""
    load = demand.requests_per_s * demand.service_s
    if slots <= load:
        return 1.0
    terms = [load**n / math.factorial(n) for n in range(slots)]
    last = load**slots / math.factorial(slots) * slots / (slots - load)
    waits = last / (sum(terms) + last)
    return waits * math.exp(-(slots - load) / demand.service_s * demand.wait_s)
