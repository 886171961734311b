"""Weighted fair queueing by customer.

Between customers the one that has had the least service for its weight goes
next (start-time fair queueing, counted in tokens). Within a customer the
class that may be shed last goes first, and within a class the earliest
deadline.
"""

import bisect
import typing

from . import tickets

DEFAULT_WEIGHT = 1.0
LEAST_TOKENS = 1.0


class Waiting:
    """A ticket in the queue.

    :param shed_order: of its class.
    """

    __slots__ = ("ticket", "shed_order", "order", "tokens")

    def __init__(
        self,
        ticket: tickets.Ticket,
        shed_order: int,
        number: int,
    ) -> None:
        self.ticket = ticket
        self.shed_order = shed_order
        self.order = (shed_order, ticket.deadline, number)
        self.tokens = max(LEAST_TOKENS, ticket.tokens)


class _Flow:
    """One customer's part of the queue."""

    __slots__ = ("tag", "weight", "waiting", "tokens", "busy_since")

    def __init__(self, weight: float) -> None:
        #: Virtual time up to which the customer has been served.
        self.tag = 0.0
        self.weight = weight
        self.waiting: list[Waiting] = []
        self.tokens = 0.0
        #: Since when it has had a ticket waiting without a break.
        self.busy_since = 0.0


class FairQueue:
    """Tickets that wait, by customer."""

    __slots__ = ("_flows", "_by_request", "_numbers", "_virtual", "_weights")

    def __init__(self) -> None:
        self._flows: dict[str, _Flow] = {}
        self._by_request: dict[str, Waiting] = {}
        self._numbers = 0
        self._virtual = 0.0
        self._weights: typing.Mapping[str, float] = {}

    def __len__(self) -> int:
        return len(self._by_request)

    def __contains__(self, request_id: object) -> bool:
        return request_id in self._by_request

    def __iter__(self) -> typing.Iterator[Waiting]:
        return iter(list(self._by_request.values()))

    @property
    def customers(self) -> tuple[str, ...]:
        """The customers that have tickets waiting."""
        return tuple(c for c, flow in self._flows.items() if flow.waiting)

    def set_weights(self, weights: typing.Mapping[str, float]) -> None:
        """Take over the customers' weights; others count 1."""
        self._weights = weights
        for customer, flow in self._flows.items():
            flow.weight = weights.get(customer, DEFAULT_WEIGHT)

    def push(
        self, ticket: tickets.Ticket, shed_order: int, now: float
    ) -> Waiting:
        """Put a ticket in its place.

        :param now: the time by the caller's clock.
        :returns: the entry, to pass to :meth:`work_ahead`.
        """
        self._numbers += 1
        entry = Waiting(ticket, shed_order, self._numbers)
        flow = self._flow(ticket.customer)
        if not flow.waiting:
            # Time without demand earns no credit: else a customer that was
            # idle for an hour could shut out the others for as long.
            flow.tag = max(flow.tag, self._virtual)
            flow.busy_since = now
        bisect.insort(flow.waiting, entry, key=_order)
        flow.tokens += entry.tokens
        self._by_request[ticket.request_id] = entry
        return entry

    def pop(
        self,
        may_start: typing.Callable[[tickets.Ticket], bool],
        has_room: typing.Callable[[str], bool] | None = None,
    ) -> tickets.Ticket | None:
        """Take out the ticket whose turn it is.

        :param may_start: tells whether a ticket's entry has room; tickets
            without room keep their places.
        :param has_room: tells whether there is room for a customer at all.
        """
        turns = sorted(
            (flow.tag, customer)
            for customer, flow in self._flows.items()
            if flow.waiting and (has_room is None or has_room(customer))
        )
        for _, customer in turns:
            flow = self._flows[customer]
            entry = _first_to_start(flow, may_start)
            if entry is not None:
                self._take(entry)
                self._virtual = max(self._virtual, flow.tag)
                flow.tag += entry.tokens / flow.weight
                return entry.ticket
        return None

    def passed(self, customer: str, tokens: float) -> None:
        """Charge a customer for a ticket that needed no queue."""
        flow = self._flow(customer)
        flow.tag = max(flow.tag, self._virtual)
        if not self._by_request:
            self._virtual = flow.tag
        flow.tag += max(LEAST_TOKENS, tokens) / flow.weight

    def remove(self, request_id: str) -> tickets.Ticket | None:
        """Take a ticket out, wherever it stands."""
        entry = self._by_request.get(request_id)
        if entry is None:
            return None
        self._take(entry)
        return entry.ticket

    def busy_s(self, customer: str, now: float) -> float:
        """For how long a customer has had tickets waiting."""
        flow = self._flows.get(customer)
        return now - flow.busy_since if flow and flow.waiting else 0.0

    def count(self, customer: str) -> int:
        """How many tickets a customer has waiting."""
        flow = self._flows.get(customer)
        return len(flow.waiting) if flow else 0

    def oldest_of_last_class(self, customer: str) -> Waiting:
        """The longest waiting ticket of the class that is shed first."""
        waiting = self._flows[customer].waiting
        shed_order = waiting[-1].shed_order
        return min(
            (w for w in waiting if w.shed_order == shed_order),
            key=lambda w: w.ticket.arrived,
        )

    def last(self, customer: str) -> Waiting | None:
        """The ticket that a customer would be served last."""
        flow = self._flows.get(customer)
        return flow.waiting[-1] if flow and flow.waiting else None

    def work_ahead(
        self,
        entry: Waiting,
        measure: typing.Callable[[Waiting], float] | None = None,
    ) -> float:
        """The work that is served before a waiting ticket's turn comes.

        While a customer's own tickets ahead are served, each other customer
        gets the service that levels it with this one, as far as it has
        tickets.

        :param measure: the work of one ticket; its tokens by default.
        """
        own = self._flows[entry.ticket.customer]
        if entry is own.waiting[-1]:
            position = len(own.waiting) - 1
            own_tokens = own.tokens - entry.tokens
        else:
            position = bisect.bisect_left(own.waiting, entry.order, key=_order)
            own_tokens = sum(w.tokens for w in own.waiting[:position])
        until = own.tag + own_tokens / own.weight
        others = [
            (flow, min(1.0, (until - flow.tag) * flow.weight / flow.tokens))
            for flow in self._flows.values()
            if flow is not own and flow.waiting and flow.tag < until
        ]
        if measure is None:
            return own_tokens + sum(f.tokens * part for f, part in others)
        ahead = own.waiting[:position]
        return sum(map(measure, ahead)) + sum(
            sum(map(measure, flow.waiting)) * part for flow, part in others
        )

    def _flow(self, customer: str) -> _Flow:
        flow = self._flows.get(customer)
        if flow is None:
            self._forget_idle()
            weight = self._weights.get(customer, DEFAULT_WEIGHT)
            flow = self._flows[customer] = _Flow(weight)
        return flow

    def _forget_idle(self) -> None:
        """Drop customers without tickets or debt."""
        self._flows = {
            customer: flow
            for customer, flow in self._flows.items()
            if flow.waiting or flow.tag > self._virtual
        }

    def _take(self, entry: Waiting) -> None:
        flow = self._flows[entry.ticket.customer]
        position = bisect.bisect_left(flow.waiting, entry.order, key=_order)
        del flow.waiting[position]
        flow.tokens -= entry.tokens
        del self._by_request[entry.ticket.request_id]


def _order(entry: Waiting) -> tuple[int, float, int]:
    return entry.order


def _first_to_start(
    flow: _Flow, may_start: typing.Callable[[tickets.Ticket], bool]
) -> Waiting | None:
    startable = (w for w in flow.waiting if may_start(w.ticket))
    return next(startable, None)
