"""Admission to one pool of runners, from this VM."""

import random
import typing

from .. import clock as clocks
from ..catalogue import model as catalogue_model
from . import concurrency
from . import entry_limits
from . import fair_queue
from ..runners import model as runner_model
from . import tickets

LEARNING_RATE = 0.1
MOST_WAITING = 4096
LEAST_RETRY_S = 0.2
MOST_RETRY_S = 60.0
#: Refused callers come back spread over this part of the wait.
RETRY_SPREAD = 0.25
#: Requests beyond the runners' slots that may wait at the runners.
OVERCOMMIT = 1.25
#: The limit never falls below this part of a VM's equal share.
FLOOR_PART = 0.25


class InFlight:
    """A request that was admitted."""

    __slots__ = ("ticket", "admitted_at", "first_at")

    def __init__(self, ticket: tickets.Ticket, admitted_at: float) -> None:
        self.ticket = ticket
        self.admitted_at = admitted_at
        self.first_at: float | None = None


LimitsOf = typing.Callable[[str], entry_limits.EntryLimits]
ClassOf = typing.Callable[[str], catalogue_model.ServiceClass]


class Gate:
    """The queue and the concurrency limit of one pool.

    :param limits_of: gives the limits of an entry by its name.
    :param class_of: gives a service class by its name.
    """

    __slots__ = (
        "_class_of",
        "_clock",
        "_hold_s",
        "_in_flight",
        "_limit",
        "_limits_of",
        "_queue",
        "_rng",
        "_tokens",
    )

    def __init__(
        self,
        clock: clocks.Clock,
        rng: random.Random,
        limits_of: LimitsOf,
        class_of: ClassOf,
    ) -> None:
        self._clock = clock
        self._rng = rng
        self._limits_of = limits_of
        self._class_of = class_of
        self._queue = fair_queue.FairQueue()
        self._limit = concurrency.ConcurrencyLimit(clock)
        self._in_flight: dict[str, InFlight] = {}
        #: Average seconds that a request is in flight; 0 when not known.
        self._hold_s = 0.0
        self._tokens = 1.0

    @property
    def in_flight(self) -> int:
        """Requests admitted and not ended."""
        return len(self._in_flight)

    @property
    def waiting(self) -> int:
        """Requests in the queue."""
        return len(self._queue)

    @property
    def limit(self) -> int:
        """Requests that may be in flight."""
        return self._limit.limit

    @property
    def queue(self) -> fair_queue.FairQueue:
        """The requests that wait."""
        return self._queue

    def set_slots(self, slots: int, vms: int) -> None:
        """Take over the size of the pool.

        :param slots: of all its runners.
        :param vms: entry VMs that send to it.
        """
        equal = max(1.0, slots / max(1, vms))
        ceiling = max(1, int(slots * OVERCOMMIT))
        floor = max(1, int(equal * FLOOR_PART))
        if not self._hold_s and not self._in_flight:
            start = int(equal * OVERCOMMIT)
            self._limit = concurrency.ConcurrencyLimit(
                self._clock, floor, ceiling, start
            )
        else:
            self._limit.set_bounds(floor, ceiling)

    def offer(self, ticket: tickets.Ticket) -> list[tickets.Verdict]:
        """Admit, queue or refuse a ticket, and refuse what it displaces."""
        now = self._clock.now()
        if not len(self._queue) and self._may_start(ticket):
            self._queue.passed(ticket.customer, ticket.tokens)
            return [self._admit(ticket)]
        if len(self._queue) >= MOST_WAITING:
            return [self._refuse(ticket, tickets.Reason.OVERLOAD, 1.0)]
        service_class = self._class_of(ticket.service_class)
        start_by = min(ticket.arrived + service_class.queue_s, ticket.deadline)
        self._queue.push(ticket, service_class.shed_order, start_by)
        verdicts = self._shed(ticket.customer, now)
        return verdicts + self.dispatch()

    def first_token(self, request_id: str) -> None:
        """Learn from the first token of an answer."""
        request = self._in_flight.get(request_id)
        if request is None or request.first_at is not None:
            return
        request.first_at = self._clock.now()
        service_class = self._class_of(request.ticket.service_class)
        self._limit.observe(
            request.admitted_at,
            request.first_at - request.admitted_at,
            service_class.first_token_s,
        )

    def finished(
        self, request_id: str, outcome: runner_model.Outcome
    ) -> InFlight | None:
        """Take out a request that ended; call :meth:`dispatch` next."""
        request = self._in_flight.pop(request_id, None)
        if request is None:
            return None
        if outcome is runner_model.Outcome.FAILED and not request.first_at:
            self._limit.failed(request.admitted_at)
        if outcome is not runner_model.Outcome.CANCELLED:
            self._learn(request)
        return request

    def remove(self, request_id: str) -> tickets.Ticket | None:
        """Take a ticket out of the queue."""
        return self._queue.remove(request_id)

    def refresh(self) -> list[tickets.Verdict]:
        """Refuse what can't start in time any more, admit what can."""
        now = self._clock.now()
        self._limit.update()
        late = [
            self._refuse_waiting(waiting, tickets.Reason.OVERLOAD, now)
            for waiting in self._queue
            if waiting.start_by <= now
        ]
        shed = [
            verdict
            for customer in self._queue.customers
            for verdict in self._shed(customer, now)
        ]
        return [*late, *shed, *self.dispatch()]

    def dispatch(self) -> list[tickets.Verdict]:
        """Admit waiting tickets while there is room."""
        verdicts: list[tickets.Verdict] = []
        now = self._clock.now()
        while len(self._queue) and self._has_room():
            ticket = self._queue.pop(self._limits_allow)
            if ticket is None:
                break
            if self._start_by(ticket) < now:
                reason = tickets.Reason.OVERLOAD
                verdicts.append(self._refuse(ticket, reason, LEAST_RETRY_S))
                continue
            verdicts.append(self._admit(ticket))
        return verdicts

    def _shed(self, customer: str, now: float) -> list[tickets.Verdict]:
        """Refuse a customer's last tickets while they can't start in time.

        The last ones are of the class that may be shed first. A ticket that
        stayed would only learn the same later, when its caller has lost the
        time to try elsewhere.
        """
        verdicts: list[tickets.Verdict] = []
        last = self._queue.last(customer)
        while last is not None:
            wait = self._wait(last)
            if now + wait.seconds <= last.start_by:
                break
            reason = wait.reason
            if last.start_by >= last.ticket.deadline:
                reason = tickets.Reason.DEADLINE
            verdicts.append(self._refuse_waiting(last, reason, now, wait))
            last = self._queue.last(customer)
        return verdicts

    def _wait(self, waiting: fair_queue.Waiting) -> entry_limits.Wait:
        """How long a waiting ticket is expected to wait, and for what."""
        ticket = waiting.ticket
        pool = entry_limits.Wait(
            self._pool_wait_s(waiting), tickets.Reason.OVERLOAD
        )
        limits = self._limits_of(ticket.entry)
        requests = tokens = 0.0
        if limits.limits_requests:
            requests = self._queue.work_ahead(
                waiting, lambda w: float(w.ticket.entry == ticket.entry)
            )
        if limits.limits_tokens:
            tokens = ticket.tokens + self._queue.work_ahead(
                waiting, lambda w: w.tokens * (w.ticket.entry == ticket.entry)
            )
        own = limits.wait(requests, tokens, self._hold_s)
        return max(pool, own, key=lambda wait: wait.seconds)

    def _pool_wait_s(self, waiting: fair_queue.Waiting) -> float:
        if not self._hold_s:
            return 0.0
        limit = self._limit.limit
        ahead = self._queue.work_ahead(waiting)
        missing = len(self._in_flight) + ahead / self._tokens + 1 - limit
        return max(0.0, missing) * self._hold_s / limit

    def _has_room(self) -> bool:
        return len(self._in_flight) < self._limit.limit

    def _limits_allow(self, ticket: tickets.Ticket) -> bool:
        return self._limits_of(ticket.entry).may_start(ticket.tokens)

    def _may_start(self, ticket: tickets.Ticket) -> bool:
        return (
            self._has_room()
            and self._limits_allow(ticket)
            and ticket.deadline > self._clock.now()
        )

    def _start_by(self, ticket: tickets.Ticket) -> float:
        queue_s = self._class_of(ticket.service_class).queue_s
        return min(ticket.arrived + queue_s, ticket.deadline)

    def _admit(self, ticket: tickets.Ticket) -> tickets.Verdict:
        now = self._clock.now()
        self._in_flight[ticket.request_id] = InFlight(ticket, now)
        self._limit.used(len(self._in_flight))
        self._limits_of(ticket.entry).started(ticket.tokens)
        return tickets.Admitted(ticket.request_id)

    def _refuse_waiting(
        self,
        waiting: fair_queue.Waiting,
        reason: tickets.Reason,
        now: float,
        wait: entry_limits.Wait | None = None,
    ) -> tickets.Verdict:
        known = wait or self._wait(waiting)
        self._queue.remove(waiting.ticket.request_id)
        too_long_s = now + known.seconds - waiting.start_by
        return self._refuse(waiting.ticket, reason, too_long_s)

    def _refuse(
        self, ticket: tickets.Ticket, reason: tickets.Reason, wait_s: float
    ) -> tickets.Verdict:
        bounded = min(MOST_RETRY_S, max(LEAST_RETRY_S, wait_s))
        spread = 1.0 + RETRY_SPREAD * self._rng.random()
        return tickets.Refused(ticket.request_id, reason, bounded * spread)

    def _learn(self, request: InFlight) -> None:
        held_s = self._clock.now() - request.admitted_at
        tokens = max(fair_queue.LEAST_TOKENS, request.ticket.tokens)
        if not self._hold_s:
            self._hold_s = held_s
            self._tokens = tokens
            return
        self._hold_s += LEARNING_RATE * (held_s - self._hold_s)
        self._tokens += LEARNING_RATE * (tokens - self._tokens)
