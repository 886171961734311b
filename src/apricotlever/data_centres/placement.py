"""Where to hold the runners that an entry needs, at the least cost."""

import typing

from . import model


class Offer:
    """A place and what a runner there costs, its risk counted in.

    :param most: no more than this many at this cost, or None. A place may
        have several offers.
    """

    __slots__ = ("place", "cost", "most")

    def __init__(
        self, place: model.Place, cost: float, most: int | None = None
    ) -> None:
        self.place = place
        self.cost = cost
        self.most = most


Plan: typing.TypeAlias = dict[model.Place, int]


def choose(
    offers: typing.Sequence[Offer], needed: int, surviving: int, most: int
) -> Plan:
    """Choose how many runners to hold at each place.

    Among all plans with at least ``needed`` runners, of which ``surviving``
    remain whichever data centre is lost, the cheapest; if there is none with
    at most ``most`` runners, the one that comes nearest.

    For a given total, no data centre may hold more than what exceeds
    ``surviving``; so the cheapest places are filled up to that, and the
    totals are tried one by one.
    """
    if not offers or needed <= 0:
        return {}
    needed = min(needed, most)
    largest = min(most, max(needed, 2 * surviving))
    fills = [
        fill
        for total in range(needed, largest + 1)
        if (fill := _fill(offers, total, total - surviving)) is not None
    ]
    if fills:
        return min(fills, key=lambda fill: fill.cost).plan
    return _nearest(offers, needed)


def survivors(plan: Plan) -> int:
    """The runners that remain when the largest data centre is lost."""
    total = sum(plan.values())
    return total - max(_by_data_centre(plan).values(), default=0)


def _by_data_centre(plan: Plan) -> dict[str, int]:
    counts: dict[str, int] = {}
    for place, count in plan.items():
        counts[place.data_centre] = counts.get(place.data_centre, 0) + count
    return counts


class _Fill:
    """A plan with its cost."""

    __slots__ = ("plan", "cost")

    def __init__(self) -> None:
        self.plan: Plan = {}
        self.cost = 0.0

    def add(self, offer: Offer, count: int) -> None:
        self.plan[offer.place] = self.plan.get(offer.place, 0) + count
        self.cost += offer.cost * count


def _fill(
    offers: typing.Sequence[Offer], total: int, per_data_centre: int
) -> _Fill | None:
    left = total
    room = {offer.place.data_centre: per_data_centre for offer in offers}
    fill = _Fill()
    for offer in sorted(offers, key=lambda each: (each.cost, each.place)):
        centre = offer.place.data_centre
        bound = room[centre] if offer.most is None else offer.most
        count = min(left, room[centre], bound)
        if count > 0:
            fill.add(offer, count)
            room[centre] -= count
            left -= count
    return fill if left == 0 else None


def _nearest(offers: typing.Sequence[Offer], needed: int) -> Plan:
    # Too few places for the spread that is wanted, as when starts are
    # refused: come as near to an even spread as the offers allow.
    for per_data_centre in range(1, needed + 1):
        fill = _fill(offers, needed, per_data_centre)
        if fill is not None:
            return fill.plan
    rest = _Fill()
    for offer in offers:
        if offer.most:
            rest.add(offer, offer.most)
    return rest.plan
