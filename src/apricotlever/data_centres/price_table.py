"""The latest known VM prices, by place (:class:`.model.Place`)."""

import typing

from . import model


class PriceTable:
    """Prices of a VM per hour, by place.

    A place without a price is not offered by the cloud at present.
    """

    __slots__ = ("_prices",)

    def __init__(self) -> None:
        self._prices: dict[model.Place, float] = {}

    def update(self, prices: typing.Mapping[model.Place, float]) -> None:
        """Replace all prices.

        :param prices: the price of a VM per hour at each place that the cloud
            offers now.
        """
        self._prices = dict(prices)

    def price_per_hour(self, place: model.Place) -> float | None:
        """The price of a place per hour; None if it is not offered."""
        return self._prices.get(place)

    def places(self, machine: str) -> list[model.Place]:
        """The places that offer a machine class, sorted."""
        return sorted(
            place for place in self._prices if place.machine == machine
        )
