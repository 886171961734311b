"""Chooses the cheapest places for the runners of an entry.

A place (:class:`.model.Place`) lies in one data centre. The runners must be
spread so that enough remain after the loss of any one data centre.
"""

import typing

from . import model


class Offer:
    """A place and the cost of a runner there.

    :param cost: cost of one runner per hour, including that of expected
        reclaims.
    :param most: maximum number of runners at this cost; None for no limit. A
        place may have several offers.
    """

    __slots__ = ("place", "cost", "most")

    def __init__(
        self, place: model.Place, cost: float, most: int | None = None
    ) -> None:
        self.place = place
        self.cost = cost
        self.most = most


#: The number of runners to hold at each place.
Plan: typing.TypeAlias = dict[model.Place, int]


def choose(
    offers: typing.Sequence[Offer], needed: int, surviving: int, most: int
) -> Plan:
    """Choose how many runners to hold at each place.

    For a given total, no data centre may hold more runners than the excess of
    the total over ``surviving``, so that its loss leaves enough. The algorithm
    fills the cheapest places up to that limit, for each possible total in
    turn.

    :param needed: minimum number of runners.
    :param surviving: number of runners that must remain after the loss of any
        one data centre.
    :param most: maximum number of runners.
    :returns: the cheapest such plan. If there is none, a plan of ``needed``
        runners, limited by ``most`` and by the offers, that is spread as
        evenly as the offers allow.
    """
    if not offers or needed <= 0:
        return {}
    needed = min(needed, most)
    largest = min(most, max(needed, 2 * surviving))
    candidates = [
        candidate
        for total in range(needed, largest + 1)
        if (candidate := _fill_cheapest(offers, total, total - surviving))
        is not None
    ]
    if candidates:
        return min(candidates, key=lambda candidate: candidate.cost).plan
    return _most_even(offers, needed)


def survivors(plan: Plan) -> int:
    """The number of a plan's runners that remain after the worst loss.

    That is the loss of the data centre with the most runners.
    """
    total = sum(plan.values())
    return total - max(_by_data_centre(plan).values(), default=0)


def _by_data_centre(plan: Plan) -> dict[str, int]:
    """The number of a plan's runners in each data centre."""
    counts: dict[str, int] = {}
    for place, count in plan.items():
        counts[place.data_centre] = counts.get(place.data_centre, 0) + count
    return counts


class _CostedPlan:
    """A plan with its cost per hour."""

    __slots__ = ("plan", "cost")

    def __init__(self) -> None:
        self.plan: Plan = {}
        self.cost = 0.0

    def add(self, offer: Offer, count: int) -> None:
        self.plan[offer.place] = self.plan.get(offer.place, 0) + count
        self.cost += offer.cost * count


def _fill_cheapest(
    offers: typing.Sequence[Offer], total: int, per_data_centre: int
) -> _CostedPlan | None:
    """Fill the cheapest offers first.

    :param total: the number of runners.
    :param per_data_centre: the greatest number of runners in a data centre.
    :returns: the plan; None if the offers have no room for the total.
    """
    remaining = total
    room = {offer.place.data_centre: per_data_centre for offer in offers}
    candidate = _CostedPlan()
    for offer in sorted(offers, key=lambda each: (each.cost, each.place)):
        data_centre = offer.place.data_centre
        available = room[data_centre] if offer.most is None else offer.most
        count = min(remaining, room[data_centre], available)
        if count > 0:
            candidate.add(offer, count)
            room[data_centre] -= count
            remaining -= count
    return candidate if remaining == 0 else None


def _most_even(offers: typing.Sequence[Offer], needed: int) -> Plan:
    """A plan of the needed runners that is as even as the offers allow.

    It is used if they don't allow the required spread, for example after
    refused starts. If they have too little room, all of them are used.
    """
    for per_data_centre in range(1, needed + 1):
        candidate = _fill_cheapest(offers, needed, per_data_centre)
        if candidate is not None:
            return candidate.plan
    everything = _CostedPlan()
    for offer in offers:
        if offer.most:
            everything.add(offer, offer.most)
    return everything.plan
