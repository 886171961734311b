"""Decides which customers and classes are shed from an overloaded pool.

To shed a ticket, a request that asks for admission, is to refuse it because
the pool has no room. Each service class has a shed order, and the classes with
the highest one are shed first. A customer's queue is standing if it has not
been empty for longer than its class lets a ticket wait, or if the pool was too
full for one of its tickets: then it is not a burst that soon passes.
"""

from .. import clock as clocks
from ..catalogue import model as catalogue_model
from . import pool_usage
from . import tickets

#: The fraction of the latency target for which a ticket may wait in a standing
#: queue.
STANDING_QUEUE_FRACTION = 0.3
#: Seconds for which a queue counts as standing after the last sign of it.
STANDING_QUEUE_HOLD_S = 5.0
#: Seconds after the refusal of a ticket for which tickets of the same customer
#: in classes that are shed earlier are refused at once.
SHED_HOLD_S = 2.0
#: The fraction of the pool's concurrency limit that customers above their fair
#: share leave free for others.
SPARE_FRACTION = 0.1


class LoadShedder:
    """Tracks the recent refusals and standing queues at one pool.

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
        """Forget usage, refusals and standing queues that have expired."""
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

        If that is longer than one ticket may wait, the queue is standing,
        unless the customer has used no more than its fair share.

        :param customer: the customer's name.
        :param backlogged_s: that time in seconds.
        :param queue_s: how long the class lets a ticket wait, in seconds.
        """
        if backlogged_s > queue_s:
            self._mark_standing(customer)

    def record_refusal(self, customer: str, shed_order: int) -> None:
        """Record that a queued ticket was refused because the pool was full.

        For some time, the customer's queue counts as standing, and its
        tickets of classes that are shed earlier are refused at once. A
        customer below its fair share is exempt from both.

        :param customer: the customer's name.
        :param shed_order: the shed order of the ticket's class.
        """
        if self._usage.has_used_share(customer):
            self._mark_standing(customer)
            refused_orders = self._shed_until.setdefault(customer, {})
            refused_orders[shed_order] = self._clock.now() + SHED_HOLD_S

    def is_shed(self, customer: str, shed_order: int) -> bool:
        """Return whether a new ticket of a customer is refused at once.

        It is if a ticket of the same customer whose class is shed later was
        refused in the last :data:`SHED_HOLD_S`.

        :param customer: the customer's name.
        :param shed_order: the shed order of the new ticket's class.
        """
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
        """Return the latest time at which a ticket may leave the queue.

        After that time it is refused. A burst may wait as long as its class
        allows. If a customer's queue stands for longer, waiting helps no
        ticket: each would be served as late as the one before it, and all of
        them would miss the target by the same time. Then the queue keeps only
        as many tickets as can start early enough for the target, until the
        customer has had no refusal for :data:`STANDING_QUEUE_HOLD_S`.
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

        The slots meant here are those of the concurrency limit. They become
        free one at a time. Without spare slots, a customer that always has
        queued tickets takes each of them. A customer that asks only now and
        then would have to wait for the next slot, or for several if the limit
        has just fallen. So a customer below its fair share may use the spare
        slots below and above the limit.

        :param customer: the customer's name.
        :param in_flight: requests of all customers in flight at the pool.
        :param limit: the concurrency limit of the pool.
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
        """Treat a customer's queue as standing, unless it is exempt."""
        if self._usage.has_used_share(customer):
            self._standing_until[customer] = (
                self._clock.now() + STANDING_QUEUE_HOLD_S
            )
