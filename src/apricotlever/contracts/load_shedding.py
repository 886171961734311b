"""Decides which customers and classes are shed from an overloaded pool."""

from .. import clock as clocks
from ..catalogue import model as catalogue_model
from . import pool_usage
from . import tickets

#: The fraction of the latency target that a standing queue may use up.
STANDING_QUEUE_FRACTION = 0.3
STANDING_QUEUE_HOLD_S = 5.0
#: Seconds after the refusal of a ticket for which tickets of classes that
#: are shed earlier are refused at once.
SHED_HOLD_S = 2.0
#: The fraction of the concurrency limit that customers above their fair share
#: leave to others.
SPARE_FRACTION = 0.1


class LoadShedder:
    """Tracks recent refusals by customer.

    A customer that has used no more than its fair share is exempt: its queue
    may hold a burst, and the refusal of one of its classes does not affect
    its other classes.

    :param clock: the source of time.
    """

    __slots__ = ("_clock", "_shed_until", "_standing_until", "_usage")

    def __init__(self, clock: clocks.Clock) -> None:
        self._clock = clock
        self._usage = pool_usage.PoolUsage(clock)
        #: Customers with a standing queue, and until when it counts as such.
        self._standing_until: dict[str, float] = {}
        #: By customer: the refused shed orders, and until when tickets of
        #: classes that are shed earlier are refused as well.
        self._shed_until: dict[str, dict[int, float]] = {}

    @property
    def usage(self) -> pool_usage.PoolUsage:
        """The customers' recent usage of the pool."""
        return self._usage

    def tick(self) -> None:
        """Drop expired records."""
        now = self._clock.now()
        self._usage.tick()
        self._standing_until = {
            customer: until
            for customer, until in self._standing_until.items()
            if until > now
        }
        self._shed_until = {
            customer: refused_orders
            for customer, refused_orders in self._shed_until.items()
            if max(refused_orders.values()) > now
        }

    def record_backlog(
        self, customer: str, backlogged_s: float, queue_s: float
    ) -> None:
        """Record how long a customer has had queued tickets without a break.

        :param backlogged_s: that time in seconds.
        :param queue_s: how long the class lets a ticket wait, in seconds.
        """
        if backlogged_s > queue_s:
            self._mark_standing(customer)

    def record_refusal(self, customer: str, shed_order: int) -> None:
        """Record the refusal of a queued ticket because the pool was full."""
        if self._usage.has_used_share(customer):
            self._mark_standing(customer)
            refused_orders = self._shed_until.setdefault(customer, {})
            refused_orders[shed_order] = self._clock.now() + SHED_HOLD_S

    def is_shed(self, customer: str, shed_order: int) -> bool:
        """Return whether a ticket that is shed later was refused recently."""
        refused_orders = self._shed_until.get(customer)
        if not refused_orders:
            return False
        now = self._clock.now()
        return any(
            until > now
            for refused_order, until in refused_orders.items()
            if refused_order < shed_order
        )

    def start_deadline(
        self,
        ticket: tickets.Ticket,
        service_class: catalogue_model.ServiceClass,
    ) -> float:
        """Return when a ticket must have left the queue.

        A burst may wait as long as its class allows. If a customer's queue
        stands for longer, waiting helps no ticket: each would be served as
        late as the one before it, and all of them would miss the target by
        the same time. Then the queue keeps only as many tickets as can start
        early enough for the target, until the customer has had no refusal
        for :data:`STANDING_QUEUE_HOLD_S`.
        """
        queue_s = service_class.queue_s
        now = self._clock.now()
        if self._standing_until.get(ticket.customer, now) > now:
            queue_s = min(
                queue_s, STANDING_QUEUE_FRACTION * service_class.first_token_s
            )
        return min(ticket.arrived + queue_s, ticket.deadline)

    def has_room(self, customer: str, in_flight: int, limit: int) -> bool:
        """Return whether a customer may have another request in flight.

        Slots become free one at a time. Without spare slots, a customer that
        always has queued tickets takes each of them. A customer that asks
        only now and then would have to wait for the next slot, or for
        several if the limit has just fallen.
        """
        spare = max(1, round(SPARE_FRACTION * limit))
        if in_flight >= limit + spare:
            return False
        if in_flight < limit - spare:
            return True
        if not self._usage.has_used_share(customer):
            return True
        return in_flight < limit and self._usage.all_used_share()

    def _mark_standing(self, customer: str) -> None:
        if self._usage.has_used_share(customer):
            self._standing_until[customer] = (
                self._clock.now() + STANDING_QUEUE_HOLD_S
            )
