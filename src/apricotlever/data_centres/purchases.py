"""Orders to buy that the list of VMs doesn't show yet."""

from .. import clock as clocks
from . import model

WINDOW_S = 60.0
REPEAT_S = 5.0
LISTED_WITHIN_S = 180.0


class _Purchase:
    """One order: asked, or granted with the VM's name."""

    __slots__ = ("order", "asked_at", "since", "vm")

    def __init__(self, order: model.Buy, now: float) -> None:
        self.order = order
        self.asked_at = now
        self.since = now
        self.vm = ""


class Purchases:
    """Orders under way of one entry.

    The answer to an order can be lost after the cloud has carried it out, so
    an order is repeated under its token. Tokens are numbered within a minute
    of the wall clock, so a new planner that takes over within the minute
    asks under the same ones.
    """

    __slots__ = ("_clock", "_entry", "_open", "_window", "_numbers")

    def __init__(self, clock: clocks.Clock, entry: str) -> None:
        self._clock = clock
        self._entry = entry
        self._open: dict[str, _Purchase] = {}
        self._window = 0
        self._numbers: dict[model.Place, int] = {}

    def unseen(self, listed: frozenset[str]) -> list[model.Place]:
        """The places of orders that may still bring a VM.

        :param listed: the names of the VMs that the cloud shows.
        """
        oldest = self._clock.now() - LISTED_WITHIN_S
        self._open = {
            token: purchase
            for token, purchase in self._open.items()
            if purchase.vm not in listed and purchase.since >= oldest
        }
        return [purchase.order.place for purchase in self._open.values()]

    def order(self, place: model.Place) -> model.Buy:
        """Make a new order."""
        window = int(self._clock.wall() // WINDOW_S)
        if window != self._window:
            self._window, self._numbers = window, {}
        number = self._numbers.get(place, 0)
        self._numbers[place] = number + 1
        token = f"{self._entry}/{place}/{window}/{number}"
        buy = model.Buy(token, place)
        self._open[token] = _Purchase(buy, self._clock.now())
        return buy

    def repeats(self) -> list[model.Order]:
        """Orders whose answer is overdue, to be asked again."""
        now = self._clock.now()
        overdue = [
            purchase
            for purchase in self._open.values()
            if not purchase.vm and now - purchase.asked_at >= REPEAT_S
        ]
        for purchase in overdue:
            purchase.asked_at = now
        return [purchase.order for purchase in overdue]

    def granted(self, token: str, vm: str) -> model.Place | None:
        """The cloud starts a VM."""
        purchase = self._open.get(token)
        if purchase is None:
            return None
        purchase.vm = vm
        return purchase.order.place

    def refused(self, token: str) -> model.Place | None:
        """The cloud has no such VM to give."""
        purchase = self._open.pop(token, None)
        return None if purchase is None else purchase.order.place
