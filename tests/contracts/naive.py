"""Reference implementations and naive rivals of the contracts package."""

import collections
import math
import typing

from apricotlever.catalogue import model as catalogue_model
from apricotlever.contracts import tickets


class FairList:
    """Start-time fair queueing by a linear search of a list."""

    def __init__(self, weights: dict[str, float]) -> None:
        self.weights = weights
        self.waiting: list[tuple[int, float, int, tickets.Ticket]] = []
        self.start_tags: dict[str, float] = collections.defaultdict(float)
        self.virtual_time = 0.0
        self.push_count = 0

    def push(self, ticket: tickets.Ticket, shed_order: int) -> None:
        """Append a ticket."""
        self.push_count += 1
        if all(t.customer != ticket.customer for *_, t in self.waiting):
            tag = max(self.start_tags[ticket.customer], self.virtual_time)
            self.start_tags[ticket.customer] = tag
        entry = (shed_order, ticket.deadline, self.push_count, ticket)
        self.waiting.append(entry)

    def pop(
        self, may_start: typing.Callable[[tickets.Ticket], bool]
    ) -> tickets.Ticket | None:
        """Remove the ticket that is served next."""
        startable = [entry for entry in self.waiting if may_start(entry[3])]
        if not startable:
            return None
        entry = min(
            startable,
            key=lambda e: (
                self.start_tags[e[3].customer],
                e[3].customer,
                e[:3],
            ),
        )
        self.waiting.remove(entry)
        ticket = entry[3]
        self.virtual_time = max(
            self.virtual_time, self.start_tags[ticket.customer]
        )
        weight = self.weights.get(ticket.customer, 1.0)
        self.start_tags[ticket.customer] += max(1.0, ticket.tokens) / weight
        return ticket

    def remove(self, request_id: str) -> None:
        """Remove a ticket."""
        self.waiting = [
            e for e in self.waiting if e[3].request_id != request_id
        ]


class Fifo:
    """A queue that serves tickets in the order of their arrival."""

    def __init__(self) -> None:
        self.waiting: list[tickets.Ticket] = []

    def push(self, ticket: tickets.Ticket, shed_order: int) -> None:
        """Append a ticket."""
        self.waiting.append(ticket)

    def pop(
        self, may_start: typing.Callable[[tickets.Ticket], bool]
    ) -> tickets.Ticket | None:
        """Remove the first ticket."""
        return self.waiting.pop(0) if self.waiting else None


class GreedyShare:
    """Splits a limit by the demands known now, without silent members."""

    def __init__(self, own_name: str, limit: float) -> None:
        self.own_name = own_name
        self.limit = limit
        self.demands: dict[str, float] = {own_name: 0.0}

    def announce(self, demand: float) -> None:
        """Use the new demand at once."""
        self.demands[self.own_name] = demand

    def receive(self, member: str, demand: float, number: int) -> None:
        """Receive another member's demand."""
        self.demands[member] = demand

    @property
    def amount(self) -> float:
        """The share in proportion to demand alone."""
        total = sum(self.demands.values())
        if not total:
            return self.limit / len(self.demands)
        return self.limit * self.demands[self.own_name] / total


class AlwaysRetry:
    """A retry budget without a limit."""

    def try_acquire(self, entry: str) -> bool:
        """Allow every retry."""
        return True

    def record_success(self, entry: str) -> None:
        """Ignore the success."""


class FixedLimit:
    """A concurrency limit that stays as it was set."""

    def __init__(self, limit: int) -> None:
        self.limit = limit

    def record_first_token(
        self, at: float, first_token_s: float, target: float
    ) -> None:
        """Ignore the latency."""

    def record_in_flight(self, in_flight: int) -> None:
        """Ignore the number."""

    def update(self) -> None:
        """Leave the limit as it is."""


def max_excess(
    taken: list[tuple[float, float]], rate: float, burst: float
) -> float:
    """Return the greatest excess of any time span over a bucket's allowance.

    :param taken: times in seconds and units taken at them, in order.
    """
    worst = -math.inf
    for start, (begin, _) in enumerate(taken):
        total = 0.0
        for at, units in taken[start:]:
            total += units
            worst = max(worst, total - burst - rate * (at - begin))
    return worst


def catalogue(
    limits: catalogue_model.Limits | None = None,
    weights: dict[str, float] | None = None,
    queue_s: float = 2.0,
) -> catalogue_model.Catalogue:
    """Return a catalogue with two classes, an entry of each, and customers.

    Both entries use the same pool.
    """
    classes = {
        "desk": catalogue_model.ServiceClass(
            "desk", 1.0, 0.067, 20.0, queue_s, 1, 8
        ),
        "draft": catalogue_model.ServiceClass(
            "draft", 2.0, 0.067, 60.0, queue_s, 7, 3
        ),
    }
    entries = {
        name: catalogue_model.Entry(
            name,
            "owner",
            "model",
            name,
            "model",
            "1",
            "pool",
            (),
            None,
            limits or catalogue_model.Limits(),
            catalogue_model.Capacity(1, 2, 4, "machine"),
        )
        for name in classes
    }
    customers = {
        name: catalogue_model.Customer(name, "", weight)
        for name, weight in (weights or {"alfa": 1.0, "beira": 1.0}).items()
    }
    return catalogue_model.Catalogue(1, entries, classes, customers)
