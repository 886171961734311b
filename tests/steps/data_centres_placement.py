"""Steps for tests/data_centres/placement.feature."""

from behave import given
from behave import then
import hypothesis
from hypothesis import strategies

from apricotlever.data_centres import model
from apricotlever.data_centres import placement
from tests.data_centres import naive

DATA_CENTRES = ("sala-a", "sala-b", "sala-c")
MOST = 6


def _place(number):
    market = list(model.Market)[number // len(DATA_CENTRES)]
    return model.Place(
        DATA_CENTRES[number % len(DATA_CENTRES)], "large", market
    )


def _offer(number, cost, most):
    return placement.Offer(_place(number), cost, most)


offer_lists = strategies.lists(
    strategies.builds(
        _offer,
        strategies.integers(0, 4),
        strategies.integers(1, 9),
        strategies.sampled_from((None, 0, 2, 3)),
    ),
    min_size=1,
    max_size=4,
    unique_by=lambda offer: offer.place,
)


@then("the placement costs as little as the best of all plans")
def _costs_least(context):
    @hypothesis.settings(
        derandomize=True, deadline=None, database=None, max_examples=250
    )
    @hypothesis.given(
        offer_lists, strategies.integers(1, 5), strategies.integers(0, 4)
    )
    def check(offers, needed, surviving):
        plan = placement.choose(offers, needed, surviving, MOST)
        best = naive.cheapest(offers, needed, surviving, MOST)
        if best is not None:
            assert sum(plan.values()) >= needed
            assert placement.survivors(plan) >= surviving
            assert naive.cost_of(offers, plan) == best
        assert all(
            offer.most is None or plan.get(offer.place, 0) <= offer.most
            for offer in offers
        )

    check()


@then("only the placement leaves runners after the loss of the cheapest place")
def _cheapest_place_alone(context):
    offers = [_offer(number, number + 1.0, None) for number in range(3)]
    assert placement.survivors({offers[0].place: 6}) == 0
    plan = placement.choose(offers, 6, 4, 20)
    assert placement.survivors(plan) >= 4


@given('offers of {a:d} in "{in_a}" and {b:d} in "{in_b}"')
def _offers_in_two_data_centres(context, a, in_a, b, in_b):
    market = model.Market.RECLAIMABLE
    context.offers = [
        placement.Offer(model.Place(data_centre, "large", market), 1.0, most)
        for data_centre, most in ((in_a, a), (in_b, b))
    ]


@then(
    "a placement of {needed:d} with {surviving:d} surviving holds {a} and {b}"
)
def _placement_holds(context, needed, surviving, a, b):
    plan = placement.choose(context.offers, needed, surviving, 20)
    counts = [plan.get(offer.place, 0) for offer in context.offers]
    assert counts == [int(a), int(b)], counts
