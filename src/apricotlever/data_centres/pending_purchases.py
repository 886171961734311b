"""Tracks purchase orders whose VMs the cloud doesn't list yet."""

from .. import clock as clocks
from . import model

#: Period of the wall clock within which tokens are numbered, in seconds.
TOKEN_WINDOW_S = 60.0
#: Time without an answer after which an order is sent again, in seconds.
RETRY_S = 5.0
#: Time after which an order whose VM is not listed is dropped, in seconds.
LISTING_TIMEOUT_S = 180.0


class _PendingPurchase:
    """An order whose VM the cloud doesn't list yet.

    ``vm`` is the name of the VM, and empty until the cloud grants the order.
    """

    __slots__ = ("order", "sent_at", "created_at", "vm")

    def __init__(self, order: model.Buy, now: float) -> None:
        self.order = order
        self.sent_at = now
        self.created_at = now
        self.vm = ""


class PendingPurchases:
    """The pending purchase orders of one entry.

    The answer to an order can be lost after the cloud has carried it out, so
    an order is retried with the same idempotency token. Tokens are numbered
    within each minute of the wall clock, so that a planner that takes over
    within the minute uses the same tokens.
    """

    __slots__ = ("_clock", "_entry", "_pending", "_window", "_next_numbers")

    def __init__(self, clock: clocks.Clock, entry: str) -> None:
        self._clock = clock
        self._entry = entry
        self._pending: dict[str, _PendingPurchase] = {}
        self._window = 0
        self._next_numbers: dict[model.Place, int] = {}

    def unlisted_places(self, listed: frozenset[str]) -> list[model.Place]:
        """The places of orders whose VMs may still appear in the cloud's list.

        Their runners count as held, so that they are not ordered twice. Orders
        whose VMs are listed or overdue are forgotten.

        :param listed: names of the VMs that the cloud lists.
        """
        earliest = self._clock.now() - LISTING_TIMEOUT_S
        self._pending = {
            token: purchase
            for token, purchase in self._pending.items()
            if purchase.vm not in listed and purchase.created_at >= earliest
        }
        return [purchase.order.place for purchase in self._pending.values()]

    def create(self, place: model.Place) -> model.Buy:
        """Create the order for one VM, with a new idempotency token."""
        window = int(self._clock.wall() // TOKEN_WINDOW_S)
        if window != self._window:
            self._window, self._next_numbers = window, {}
        number = self._next_numbers.get(place, 0)
        self._next_numbers[place] = number + 1
        token = f"{self._entry}/{place}/{window}/{number}"
        buy = model.Buy(token, place)
        self._pending[token] = _PendingPurchase(buy, self._clock.now())
        return buy

    def take_overdue(self) -> list[model.PlannerAction]:
        """The orders to send again, as their answers are overdue.

        They keep their tokens, so the cloud doesn't carry them out twice.
        """
        now = self._clock.now()
        overdue = [
            purchase
            for purchase in self._pending.values()
            if not purchase.vm and now - purchase.sent_at >= RETRY_S
        ]
        for purchase in overdue:
            purchase.sent_at = now
        return [purchase.order for purchase in overdue]

    def record_grant(self, token: str, vm: str) -> model.Place | None:
        """Record that the cloud starts a VM for an order.

        :param token: the idempotency token of the order.
        :param vm: the name of the VM.
        :returns: the place of the order; None if the order is not pending.
        """
        purchase = self._pending.get(token)
        if purchase is None:
            return None
        purchase.vm = vm
        return purchase.order.place

    def record_refusal(self, token: str) -> model.Place | None:
        """Record that the cloud has no capacity for an order, and drop it.

        :param token: the idempotency token of the order.
        :returns: the place of the order; None if the order is not pending.
        """
        purchase = self._pending.pop(token, None)
        return None if purchase is None else purchase.order.place
