"""Receives roll-out orders from the store and from other VMs.

An order asks to move a service to another version of its runners' software. A
few VMs, the followers, read the orders from the store; all VMs pass the orders
that they know on in their status records
(:mod:`~apricotlever.vms.vm_records`).
"""

import typing

from .. import clock as clocks
from .. import log_rate_limiter
from .. import logs
from ..roll_outs import controller as controllers
from ..roll_outs import model

from . import dialects
from . import store


class RollOutOrders:
    """Passes orders from the store and from other VMs to the controller.

    It is the listener of the store's watcher of roll-out orders. Unreadable
    orders are logged and ignored.

    :param controller: merges the orders and evaluates the roll-outs.
    :param changed: called when an order changed.
    """

    __slots__ = (
        "_changed",
        "_clock",
        "_controller",
        "_dialect",
        "_log_limit",
    )

    def __init__(
        self,
        clock: clocks.Clock,
        controller: controllers.RollOutController,
        dialect: dialects.PlatformDialect,
        changed: typing.Callable[[], None],
    ) -> None:
        self._clock = clock
        self._controller = controller
        self._dialect = dialect
        self._changed = changed
        self._log_limit = log_rate_limiter.LogRateLimiter(clock)

    def listed(self, page: store.Page) -> None:
        """Handle a complete list of the orders in the store.

        Known orders that are missing in a list that is newer are withdrawn.
        """
        orders = [self._read(stored) for stored in page.objects]
        present = {stored.name for stored in page.objects}
        missing = [
            known.service
            for known in self._controller.orders
            if known.service not in present and known.revision <= page.revision
        ]
        self._merge(filter(None, orders), missing, page.revision)

    def changed(self, changes: store.Changes) -> None:
        """Handle orders that were created, changed or deleted."""
        last = {c.stored.name: c for c in changes.changes}.values()
        orders = [self._read(c.stored) for c in last if not c.deleted]
        deleted = [c.stored.name for c in last if c.deleted]
        self._merge(filter(None, orders), deleted, changes.revision)

    def store_recovered(self) -> None:
        """Do nothing, as the objects of orders don't expire."""

    def merge_records(
        self, records: typing.Iterable[list[typing.Any]]
    ) -> None:
        """Handle the orders in a status record of another VM.

        :param records: the encoded orders.
        """
        self._merge(map(model.RollOutOrder.from_record, records))

    def _merge(
        self,
        orders: typing.Iterable[model.RollOutOrder],
        withdrawn: typing.Iterable[str] = (),
        revision: int = 0,
    ) -> None:
        changed = [self._controller.merge_order(order) for order in orders]
        changed += [
            self._controller.withdraw_order(s, revision) for s in withdrawn
        ]
        if any(changed):
            self._changed()

    def _read(self, stored: store.StoredObject) -> model.RollOutOrder | None:
        try:
            order = self._dialect.parse_roll_out(stored, self._clock.wall())
        except ValueError as error:
            if self._log_limit.allows(stored.name):
                logs.event(
                    "roll_out_refused", order=stored.name, error=str(error)
                )
            return None
        if order.service != stored.name:
            # The status of this order would be written to the order of another
            # service.
            if self._log_limit.allows(stored.name):
                logs.event(
                    "roll_out_refused",
                    order=stored.name,
                    error=f"service is {order.service}",
                )
            return None
        return order
