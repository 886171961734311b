"""Weighted fair queueing of tickets by customer.

A ticket is a request that asks for admission. The customer that has had the
least service for its weight is served next (start-time fair queueing, counted
in tokens). Within a customer, the class that is shed last is served first, and
within a class, the ticket with the earliest deadline.

Service is measured in virtual time: a ticket advances its customer's start tag
by its tokens divided by the customer's weight, and the customer with the
lowest start tag is served next.
"""

import bisect
import typing

from . import tickets

#: The weight of a customer without a configured one.
DEFAULT_WEIGHT = 1.0
#: A ticket counts as at least this many tokens.
MIN_TOKENS = 1.0


class QueuedTicket:
    """A ticket in the queue.

    :param ticket: the ticket.
    :param shed_order: the shed order of its class; a higher one is shed
        earlier.
    :param sequence: rises with each ticket that is queued.
    """

    __slots__ = ("ticket", "shed_order", "sort_key", "tokens")

    def __init__(
        self,
        ticket: tickets.Ticket,
        shed_order: int,
        sequence: int,
    ) -> None:
        self.ticket = ticket
        self.shed_order = shed_order
        self.sort_key = (shed_order, ticket.deadline, sequence)
        self.tokens = max(MIN_TOKENS, ticket.tokens)


class _Flow:
    """One customer's queued tickets, in the order in which they are served.

    ``tokens`` is the sum of their tokens.
    """

    __slots__ = (
        "start_tag",
        "weight",
        "waiting",
        "tokens",
        "backlogged_since",
    )

    def __init__(self, weight: float) -> None:
        #: Virtual time up to which the customer has been served. The customer
        #: with the lowest start tag is served next.
        self.start_tag = 0.0
        self.weight = weight
        self.waiting: list[QueuedTicket] = []
        self.tokens = 0.0
        #: When the current period without an empty queue began.
        self.backlogged_since = 0.0


class FairQueue:
    """A queue of tickets that serves customers by their weights."""

    __slots__ = (
        "_flows",
        "_by_request",
        "_push_count",
        "_virtual_time",
        "_weights",
    )

    def __init__(self) -> None:
        self._flows: dict[str, _Flow] = {}
        self._by_request: dict[str, QueuedTicket] = {}
        self._push_count = 0
        self._virtual_time = 0.0
        self._weights: typing.Mapping[str, float] = {}

    def __len__(self) -> int:
        return len(self._by_request)

    def __contains__(self, request_id: object) -> bool:
        return request_id in self._by_request

    def __iter__(self) -> typing.Iterator[QueuedTicket]:
        return iter(list(self._by_request.values()))

    @property
    def customers(self) -> tuple[str, ...]:
        """The customers that have queued tickets."""
        return tuple(c for c, flow in self._flows.items() if flow.waiting)

    def set_weights(self, weights: typing.Mapping[str, float]) -> None:
        """Set the customers' weights; a customer without one has 1.0."""
        self._weights = weights
        for customer, flow in self._flows.items():
            flow.weight = weights.get(customer, DEFAULT_WEIGHT)

    def push(
        self, ticket: tickets.Ticket, shed_order: int, now: float
    ) -> QueuedTicket:
        """Insert a ticket.

        :param ticket: the ticket.
        :param shed_order: the shed order of its class.
        :param now: monotonic time in seconds, by the caller's clock.
        :returns: the queued ticket, to pass to :meth:`work_ahead`.
        """
        self._push_count += 1
        queued = QueuedTicket(ticket, shed_order, self._push_count)
        flow = self._flow(ticket.customer)
        if not flow.waiting:
            # Idle time earns no credit. Otherwise a customer that was idle
            # for an hour could keep the others waiting for as long.
            flow.start_tag = max(flow.start_tag, self._virtual_time)
            flow.backlogged_since = now
        bisect.insort(flow.waiting, queued, key=_sort_key)
        flow.tokens += queued.tokens
        self._by_request[ticket.request_id] = queued
        return queued

    def pop(
        self,
        may_start: typing.Callable[[tickets.Ticket], bool],
        has_room: typing.Callable[[str], bool] | None = None,
    ) -> tickets.Ticket | None:
        """Remove the next ticket that can start, and charge its customer.

        Tickets that can't start keep their positions; later tickets, also
        those of other customers, may overtake them.

        :param may_start: returns whether a ticket can start now.
        :param has_room: returns whether there is room for any ticket of a
            customer; by default, there is.
        :returns: the ticket; None if no ticket can start.
        """
        turns = sorted(
            (flow.start_tag, customer)
            for customer, flow in self._flows.items()
            if flow.waiting and (has_room is None or has_room(customer))
        )
        for _, customer in turns:
            flow = self._flows[customer]
            queued = _first_startable(flow, may_start)
            if queued is not None:
                self._remove_queued(queued)
                self._virtual_time = max(self._virtual_time, flow.start_tag)
                flow.start_tag += queued.tokens / flow.weight
                return queued.ticket
        return None

    def charge_unqueued(self, customer: str, tokens: float) -> None:
        """Charge a customer for a ticket that was admitted without queueing.

        Without the charge, service outside the queue would not count when the
        customer's later tickets compete with those of others.
        """
        flow = self._flow(customer)
        flow.start_tag = max(flow.start_tag, self._virtual_time)
        if not self._by_request:
            self._virtual_time = flow.start_tag
        flow.start_tag += max(MIN_TOKENS, tokens) / flow.weight

    def remove(self, request_id: str) -> tickets.Ticket | None:
        """Remove a ticket from the queue without serving it.

        :returns: the ticket; None if it is not queued.
        """
        queued = self._by_request.get(request_id)
        if queued is None:
            return None
        self._remove_queued(queued)
        return queued.ticket

    def backlogged_s(self, customer: str, now: float) -> float:
        """Return for how many seconds a customer's queue has not been empty.

        :param customer: the customer's name.
        :param now: monotonic time in seconds, as for :meth:`push`.
        :returns: the seconds; 0 if the queue is empty.
        """
        flow = self._flows.get(customer)
        return now - flow.backlogged_since if flow and flow.waiting else 0.0

    def ticket_count(self, customer: str) -> int:
        """Return the number of a customer's queued tickets."""
        flow = self._flows.get(customer)
        return len(flow.waiting) if flow else 0

    def oldest_to_shed(self, customer: str) -> QueuedTicket:
        """Return a customer's oldest ticket of the class that is shed first.

        The customer must have a queued ticket.
        """
        waiting = self._flows[customer].waiting
        shed_order = waiting[-1].shed_order
        return min(
            (w for w in waiting if w.shed_order == shed_order),
            key=lambda w: w.ticket.arrived,
        )

    def last_to_serve(self, customer: str) -> QueuedTicket | None:
        """Return the last of a customer's tickets to be served.

        It is of the class that is shed first.

        :returns: the ticket; None if the customer has none in the queue.
        """
        flow = self._flows.get(customer)
        return flow.waiting[-1] if flow and flow.waiting else None

    def work_ahead(
        self,
        queued: QueuedTicket,
        measure: typing.Callable[[QueuedTicket], float] | None = None,
    ) -> float:
        """Return the queued work that is served before a queued ticket.

        This is an estimate for the wait of the ticket. While the customer's
        own earlier tickets are served, each other customer gets the service
        that brings it level with this customer, as far as it has tickets. If
        that is a part of its queue, it counts as the same part of its work.

        :param queued: the ticket, as returned by :meth:`push`.
        :param measure: returns the work of one ticket; by default, its
            tokens.
        """
        own_flow = self._flows[queued.ticket.customer]
        if queued is own_flow.waiting[-1]:
            position = len(own_flow.waiting) - 1
            own_tokens = own_flow.tokens - queued.tokens
        else:
            position = bisect.bisect_left(
                own_flow.waiting, queued.sort_key, key=_sort_key
            )
            own_tokens = sum(w.tokens for w in own_flow.waiting[:position])
        target_tag = own_flow.start_tag + own_tokens / own_flow.weight
        others = [
            (
                flow,
                min(
                    1.0,
                    (target_tag - flow.start_tag) * flow.weight / flow.tokens,
                ),
            )
            for flow in self._flows.values()
            if flow is not own_flow
            and flow.waiting
            and flow.start_tag < target_tag
        ]
        if measure is None:
            return own_tokens + sum(
                f.tokens * fraction for f, fraction in others
            )
        ahead = own_flow.waiting[:position]
        return sum(map(measure, ahead)) + sum(
            sum(map(measure, flow.waiting)) * fraction
            for flow, fraction in others
        )

    def _flow(self, customer: str) -> _Flow:
        flow = self._flows.get(customer)
        if flow is None:
            self._forget_idle()
            weight = self._weights.get(customer, DEFAULT_WEIGHT)
            flow = self._flows[customer] = _Flow(weight)
        return flow

    def _forget_idle(self) -> None:
        """Forget customers whose state no longer affects the order.

        They have no queued tickets, and their start tags have been reached by
        the virtual time, so a new flow would be equal.
        """
        self._flows = {
            customer: flow
            for customer, flow in self._flows.items()
            if flow.waiting or flow.start_tag > self._virtual_time
        }

    def _remove_queued(self, queued: QueuedTicket) -> None:
        flow = self._flows[queued.ticket.customer]
        position = bisect.bisect_left(
            flow.waiting, queued.sort_key, key=_sort_key
        )
        del flow.waiting[position]
        flow.tokens -= queued.tokens
        del self._by_request[queued.ticket.request_id]


def _sort_key(queued: QueuedTicket) -> tuple[int, float, int]:
    return queued.sort_key


def _first_startable(
    flow: _Flow, may_start: typing.Callable[[tickets.Ticket], bool]
) -> QueuedTicket | None:
    startable = (w for w in flow.waiting if may_start(w.ticket))
    return next(startable, None)
