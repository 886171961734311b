"""Admission of this VM's requests to one pool of runners.

A request is admitted if the pool's concurrency limit and the limits of its
catalogue entry have room for it. Until then its ticket waits in the pool's
queue, and it is refused once it can't start in time any more.
"""

import random
import typing

from .. import clock as clocks
from ..catalogue import model as catalogue_model
from . import concurrency_limit
from . import entry_limits
from . import fair_queue
from . import load_shedding
from . import retry_after
from ..runners import model as runner_model
from . import tickets
from . import wait_estimator

#: The greatest number of tickets, of all customers together, in the queue of
#: a pool. Further ones are refused at once.
MAX_QUEUE_LENGTH = 4096
#: Requests that may be in flight per slot of the pool; those beyond 1.0 wait
#: at the runners.
OVERCOMMIT_FACTOR = 1.25
#: The least concurrency limit of a VM, as a fraction of its equal share of
#: the pool's slots.
FLOOR_FRACTION = 0.25


class InFlightRequest:
    """A request that was admitted and has not ended.

    ``first_token_at`` is None until the first token arrives. All times are in
    monotonic seconds.
    """

    __slots__ = ("ticket", "admitted_at", "first_token_at")

    def __init__(self, ticket: tickets.Ticket, admitted_at: float) -> None:
        self.ticket = ticket
        self.admitted_at = admitted_at
        self.first_token_at: float | None = None


#: Finds the limits of an entry and a service class by their names.
LimitsLookup = typing.Callable[[str], entry_limits.EntryLimits]
ClassLookup = typing.Callable[[str], catalogue_model.ServiceClass]


class PoolAdmission:
    """The queue and the concurrency limit of one pool.

    :param clock: the source of time.
    :param rng: the source of the jitter in retry delays.
    :param limits_of: returns the limits of an entry by its name.
    :param class_of: returns a service class by its name.
    """

    __slots__ = (
        "_class_of",
        "_clock",
        "_retry_after",
        "_in_flight",
        "_limit",
        "_limits_of",
        "_wait_estimator",
        "_queue",
        "_load_shedder",
    )

    def __init__(
        self,
        clock: clocks.Clock,
        rng: random.Random,
        limits_of: LimitsLookup,
        class_of: ClassLookup,
    ) -> None:
        self._clock = clock
        self._limits_of = limits_of
        self._class_of = class_of
        self._queue = fair_queue.FairQueue()
        self._wait_estimator = wait_estimator.WaitEstimator(self._queue)
        self._load_shedder = load_shedding.LoadShedder(clock)
        self._retry_after = retry_after.RetryAfterScheduler(clock, rng)
        self._limit = concurrency_limit.ConcurrencyLimit(clock)
        self._in_flight: dict[str, InFlightRequest] = {}

    @property
    def in_flight(self) -> int:
        """The number of admitted requests that have not ended."""
        return len(self._in_flight)

    @property
    def queue_length(self) -> int:
        """The number of requests in the queue."""
        return len(self._queue)

    @property
    def limit(self) -> int:
        """The number of requests that may be in flight."""
        return self._limit.limit

    @property
    def queue(self) -> fair_queue.FairQueue:
        """The queue of waiting requests."""
        return self._queue

    def set_slots(self, slots: int, vms: int) -> None:
        """Set the size of the pool, which bounds the concurrency limit.

        One VM may use the whole pool. Before its first requests, its limit
        starts at an equal share.

        :param slots: the slots of all its runners.
        :param vms: the number of entry VMs that send to it.
        """
        equal_share = max(1.0, slots / max(1, vms))
        ceiling = max(1, int(slots * OVERCOMMIT_FACTOR))
        floor = max(1, int(equal_share * FLOOR_FRACTION))
        if not self._wait_estimator.mean_hold_s and not self._in_flight:
            start = int(equal_share * OVERCOMMIT_FACTOR)
            self._limit = concurrency_limit.ConcurrencyLimit(
                self._clock, floor, ceiling, start
            )
        else:
            self._limit.set_bounds(floor, ceiling)

    def set_weights(self, weights: typing.Mapping[str, float]) -> None:
        """Set the customers' weights."""
        self._queue.set_weights(weights)
        self._load_shedder.usage.set_weights(weights)

    def offer(self, ticket: tickets.Ticket) -> list[tickets.Verdict]:
        """Admit, queue or refuse a new ticket.

        In the queue, it may displace other tickets of its customer, which are
        refused because they can't start in time any more.

        :returns: the verdicts that this leads to; none on this ticket if it
            is queued.
        """
        now = self._clock.now()
        customer = ticket.customer
        shed_order = self._class_of(ticket.service_class).shed_order
        self._load_shedder.usage.record_request(customer)
        if (
            self._load_shedder.is_shed(customer, shed_order)
            or len(self._queue) >= MAX_QUEUE_LENGTH
        ):
            reason = tickets.RefusalReason.OVERLOAD
            interval_s = self._wait_estimator.mean_hold_s / self._limit.limit
            wait_s = load_shedding.SHED_HOLD_S
            return [self._refuse(ticket, reason, wait_s, interval_s)]
        if not len(self._queue) and self._may_start(ticket):
            self._queue.charge_unqueued(customer, ticket.tokens)
            return [self._admit(ticket)]
        self._queue.push(ticket, shed_order, now)
        return [*self._shed_late_tickets(customer, now), *self.dispatch()]

    def record_first_token(self, request_id: str) -> None:
        """Adjust the concurrency limit by the latency of a first token."""
        request = self._in_flight.get(request_id)
        if request is None or request.first_token_at is not None:
            return
        request.first_token_at = self._clock.now()
        service_class = self._class_of(request.ticket.service_class)
        self._limit.record_first_token(
            request.admitted_at,
            request.first_token_at - request.admitted_at,
            service_class.first_token_s,
        )

    def remove_finished(
        self, request_id: str, outcome: runner_model.Outcome
    ) -> InFlightRequest | None:
        """Remove a request that ended; call :meth:`dispatch` next.

        :returns: the request; None if it was not in flight.
        """
        request = self._in_flight.pop(request_id, None)
        if request is None:
            return None
        if (
            outcome is runner_model.Outcome.FAILED
            and not request.first_token_at
        ):
            self._limit.record_failure(request.admitted_at)
        if outcome is not runner_model.Outcome.CANCELLED:
            held_s = self._clock.now() - request.admitted_at
            self._wait_estimator.record_finished(held_s, request.ticket.tokens)
        return request

    def remove_queued(self, request_id: str) -> tickets.Ticket | None:
        """Remove a ticket from the queue.

        :returns: the ticket; None if it was not queued.
        """
        return self._queue.remove(request_id)

    def refresh(self) -> list[tickets.Verdict]:
        """Decide on queued tickets after some time has passed.

        :returns: the verdicts on tickets that can't start in time any more
            and on tickets that can start now.
        """
        now = self._clock.now()
        self._limit.update()
        self._load_shedder.tick()
        self._retry_after.tick()
        late = [
            self._refuse_queued(queued, self._estimated_wait(queued), now)
            for queued in self._queue
            if self._start_deadline(queued.ticket) <= now
        ]
        shed = [
            verdict
            for customer in self._queue.customers
            for verdict in self._shed_late_tickets(customer, now)
        ]
        return [*late, *shed, *self.dispatch()]

    def dispatch(self) -> list[tickets.Verdict]:
        """Admit queued tickets in the fair order while there is room.

        Tickets whose time to start has passed are refused instead.
        """
        verdicts: list[tickets.Verdict] = []
        now = self._clock.now()
        while len(self._queue):
            ticket = self._queue.pop(self._may_start, self._has_room)
            if ticket is None:
                break
            if self._start_deadline(ticket) < now:
                reason = tickets.RefusalReason.OVERLOAD
                verdicts.append(self._refuse(ticket, reason, 0.0, 0.0))
                continue
            verdicts.append(self._admit(ticket))
        return verdicts

    def _shed_late_tickets(
        self, customer: str, now: float
    ) -> list[tickets.Verdict]:
        """Refuse a customer's last tickets while they can't start in time.

        The last tickets of its queue are of the class that is shed first. A
        ticket that stayed would be refused later anyway, when its caller has
        lost the time to try elsewhere. If it is the pool that is full, the
        oldest ticket of the class is refused instead of the last one.
        """
        verdicts: list[tickets.Verdict] = []
        last = self._queue.last_to_serve(customer)
        while last is not None:
            wait = self._estimated_wait(last)
            start_deadline = self._start_deadline(last.ticket)
            if now + wait.seconds <= start_deadline:
                break
            if wait.reason is tickets.RefusalReason.OVERLOAD:
                if self._keeps_only_ticket(customer, start_deadline - now):
                    break
                last = self._queue.oldest_to_shed(customer)
            verdicts.append(self._refuse_queued(last, wait, now))
            last = self._queue.last_to_serve(customer)
        return verdicts

    def _keeps_only_ticket(self, customer: str, remaining_s: float) -> bool:
        """Return whether a customer's only queued ticket is not shed.

        A ticket, a request that asks for admission, is shed if its estimated
        wait for the full pool is too long. But if the queue were empty, the
        next free slot would go to whoever asks next, whatever the customers'
        weights. So each customer keeps its newest ticket, as long as half the
        mean time until the next slot is free is shorter than the time that the
        ticket has left, so that it may still meet its target.

        :param customer: the customer's name.
        :param remaining_s: seconds until the ticket must leave the queue.
        """
        slot_interval_s = self._wait_estimator.mean_hold_s / self._limit.limit
        return (
            self._queue.ticket_count(customer) == 1
            and slot_interval_s / 2 < remaining_s
        )

    def _estimated_wait(
        self, queued: fair_queue.QueuedTicket
    ) -> entry_limits.LimitWait:
        return self._wait_estimator.estimate(
            queued,
            self._limits_of(queued.ticket.entry),
            len(self._in_flight),
            self._limit.limit,
        )

    def _may_start(self, ticket: tickets.Ticket) -> bool:
        return (
            self._has_room(ticket.customer)
            and ticket.deadline > self._clock.now()
            and self._limits_of(ticket.entry).may_start(ticket.tokens)
        )

    def _has_room(self, customer: str) -> bool:
        in_flight = len(self._in_flight)
        return self._load_shedder.has_room(
            customer, in_flight, self._limit.limit
        )

    def _start_deadline(self, ticket: tickets.Ticket) -> float:
        """Return the latest time at which a ticket may leave the queue.

        The load shedder is told first how long the customer's queue has not
        been empty, because tickets in a standing queue may wait less.
        """
        service_class = self._class_of(ticket.service_class)
        customer = ticket.customer
        backlogged_s = self._queue.backlogged_s(customer, self._clock.now())
        self._load_shedder.record_backlog(
            customer, backlogged_s, service_class.queue_s
        )
        return self._load_shedder.start_deadline(ticket, service_class)

    def _admit(self, ticket: tickets.Ticket) -> tickets.Verdict:
        now = self._clock.now()
        self._in_flight[ticket.request_id] = InFlightRequest(ticket, now)
        self._limit.record_in_flight(len(self._in_flight))
        self._load_shedder.usage.record_admitted(
            ticket.customer, ticket.tokens
        )
        self._limits_of(ticket.entry).record_admitted(ticket.tokens)
        return tickets.Admitted(ticket.request_id)

    def _refuse_queued(
        self,
        queued: fair_queue.QueuedTicket,
        wait: entry_limits.LimitWait,
        now: float,
    ) -> tickets.Verdict:
        """Remove a ticket from the queue and refuse it.

        The reason is that of the estimated wait, or the deadline if that ends
        the ticket's time in the queue. The retry delay covers the time by
        which the estimated wait is too long, up to a maximum.
        """
        ticket = queued.ticket
        start_deadline = self._start_deadline(ticket)
        reason = wait.reason
        if start_deadline >= ticket.deadline:
            reason = tickets.RefusalReason.DEADLINE
        if reason is tickets.RefusalReason.OVERLOAD:
            self._load_shedder.record_refusal(
                ticket.customer, queued.shed_order
            )
        self._queue.remove(ticket.request_id)
        overdue_s = now + wait.seconds - start_deadline
        return self._refuse(ticket, reason, overdue_s, wait.interval_s)

    def _refuse(
        self,
        ticket: tickets.Ticket,
        reason: tickets.RefusalReason,
        wait_s: float,
        interval_s: float,
    ) -> tickets.Verdict:
        retry_after_s = self._retry_after.schedule(
            ticket.customer, wait_s, interval_s
        )
        return tickets.Refused(ticket.request_id, reason, retry_after_s)
