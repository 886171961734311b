"""Which customers and classes give way when a pool is overloaded."""

from .. import clock as clocks
from ..catalogue import model as catalogue_model
from . import tickets
from . import usage

#: The part of the latency target that a standing queue may take.
STANDING_PART = 0.3
STANDING_S = 5.0
#: For how long the refusal of one class keeps out those shed before it.
SHED_S = 2.0
#: The part of the limit that customers beyond their part leave to others.
SPARE_PART = 0.1


class Shedding:
    """The memory of recent refusals, by customer.

    A customer that has had no more than its part is spared: its queue may
    hold a burst, and a refusal of one of its classes says nothing of others.
    """

    __slots__ = ("_clock", "_shed_until", "_standing_until", "_usage")

    def __init__(self, clock: clocks.Clock) -> None:
        self._clock = clock
        self._usage = usage.Usage(clock)
        #: Customers whose queue stands, and until when it counts as such.
        self._standing_until: dict[str, float] = {}
        #: By customer: shed orders that were refused, and until when all
        #: that is shed before them is refused as well.
        self._shed_until: dict[str, dict[int, float]] = {}

    @property
    def usage(self) -> usage.Usage:
        """Who has used how much of the pool."""
        return self._usage

    def tick(self) -> None:
        """Drop what counted until a time that has passed."""
        now = self._clock.now()
        self._usage.tick()
        self._standing_until = {
            customer: until
            for customer, until in self._standing_until.items()
            if until > now
        }
        self._shed_until = {
            customer: refused
            for customer, refused in self._shed_until.items()
            if max(refused.values()) > now
        }

    def waited(self, customer: str, busy_s: float, queue_s: float) -> None:
        """A customer has had tickets waiting without a break.

        :param queue_s: how long its class lets a ticket wait.
        """
        if busy_s > queue_s:
            self._stands(customer)

    def refused(self, customer: str, shed_order: int) -> None:
        """A waiting ticket was refused for want of room in the pool."""
        if self._usage.is_full(customer):
            self._stands(customer)
            refused = self._shed_until.setdefault(customer, {})
            refused[shed_order] = self._clock.now() + SHED_S

    def gives_way(self, customer: str, shed_order: int) -> bool:
        """Whether work that is shed later was refused a moment ago."""
        refused = self._shed_until.get(customer)
        if not refused:
            return False
        now = self._clock.now()
        return any(
            until > now
            for other, until in refused.items()
            if other < shed_order
        )

    def start_by(
        self,
        ticket: tickets.Ticket,
        service_class: catalogue_model.ServiceClass,
    ) -> float:
        """When a ticket must have left the queue.

        A burst may wait as long as its class allows. Where a customer's
        queue stands for longer, waiting helps nobody: each ticket would be
        served as late as the one before it, and all of them miss the target
        by the same wait. Then only as many are kept as can start soon enough
        for the target, until the customer has not been refused for a while.
        """
        queue_s = service_class.queue_s
        now = self._clock.now()
        if self._standing_until.get(ticket.customer, now) > now:
            queue_s = min(queue_s, STANDING_PART * service_class.first_token_s)
        return min(ticket.arrived + queue_s, ticket.deadline)

    def has_room(self, customer: str, in_flight: int, limit: int) -> bool:
        """Whether a customer may have another request in flight.

        Slots are freed one at a time. Without some to spare, a customer that
        always has tickets waiting takes each of them, and one that asks now
        and then has to wait for the next, or for several when the limit has
        just fallen.
        """
        spare = max(1, round(SPARE_PART * limit))
        if in_flight >= limit + spare:
            return False
        if in_flight < limit - spare:
            return True
        if not self._usage.is_full(customer):
            return True
        return in_flight < limit and self._usage.all_full()

    def _stands(self, customer: str) -> None:
        if self._usage.is_full(customer):
            self._standing_until[customer] = self._clock.now() + STANDING_S
