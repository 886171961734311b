"""What VMs cost, as last heard."""

import typing

from . import model


class PriceBook:
    """Prices per hour by place; a place without a price isn't offered."""

    __slots__ = ("_prices",)

    def __init__(self) -> None:
        self._prices: dict[model.Place, float] = {}

    def update(self, prices: typing.Mapping[model.Place, float]) -> None:
        """Take the whole list; places that are missing are withdrawn."""
        self._prices = dict(prices)

    def per_hour(self, place: model.Place) -> float | None:
        """The price of a place, or None if it isn't offered."""
        return self._prices.get(place)

    def places(self, machine: str) -> list[model.Place]:
        """The places that offer a machine class, in a fixed order."""
        return sorted(
            place for place in self._prices if place.machine == machine
        )
