"""Admission to one pool of runners, from this VM."""

import random
import typing

from .. import clock as clocks
from ..catalogue import model as catalogue_model
from . import comeback
from . import concurrency
from . import entry_limits
from . import fair_queue
from . import outlook
from ..runners import model as runner_model
from . import shedding
from . import tickets

MOST_WAITING = 4096
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
        "_comeback",
        "_in_flight",
        "_limit",
        "_limits_of",
        "_outlook",
        "_queue",
        "_shedding",
    )

    def __init__(
        self,
        clock: clocks.Clock,
        rng: random.Random,
        limits_of: LimitsOf,
        class_of: ClassOf,
    ) -> None:
        self._clock = clock
        self._limits_of = limits_of
        self._class_of = class_of
        self._queue = fair_queue.FairQueue()
        self._outlook = outlook.Outlook(self._queue)
        self._shedding = shedding.Shedding(clock)
        self._comeback = comeback.Comeback(clock, rng)
        self._limit = concurrency.ConcurrencyLimit(clock)
        self._in_flight: dict[str, InFlight] = {}

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
        if not self._outlook.hold_s and not self._in_flight:
            start = int(equal * OVERCOMMIT)
            self._limit = concurrency.ConcurrencyLimit(
                self._clock, floor, ceiling, start
            )
        else:
            self._limit.set_bounds(floor, ceiling)

    def set_weights(self, weights: typing.Mapping[str, float]) -> None:
        """Take over the customers' weights."""
        self._queue.set_weights(weights)
        self._shedding.usage.set_weights(weights)

    def offer(self, ticket: tickets.Ticket) -> list[tickets.Verdict]:
        """Admit, queue or refuse a ticket, and refuse what it displaces."""
        now = self._clock.now()
        customer = ticket.customer
        shed_order = self._class_of(ticket.service_class).shed_order
        self._shedding.usage.asked(customer)
        if (
            self._shedding.gives_way(customer, shed_order)
            or len(self._queue) >= MOST_WAITING
        ):
            reason = tickets.Reason.OVERLOAD
            step_s = self._outlook.hold_s / self._limit.limit
            wait_s = shedding.SHED_S
            return [self._refuse(ticket, reason, wait_s, step_s)]
        if not len(self._queue) and self._may_start(ticket):
            self._queue.passed(customer, ticket.tokens)
            return [self._admit(ticket)]
        self._queue.push(ticket, shed_order, now)
        return [*self._shed(customer, now), *self.dispatch()]

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
            held_s = self._clock.now() - request.admitted_at
            self._outlook.learn(held_s, request.ticket.tokens)
        return request

    def remove(self, request_id: str) -> tickets.Ticket | None:
        """Take a ticket out of the queue."""
        return self._queue.remove(request_id)

    def refresh(self) -> list[tickets.Verdict]:
        """Refuse what can't start in time any more, admit what can."""
        now = self._clock.now()
        self._limit.update()
        self._shedding.tick()
        self._comeback.tick()
        late = [
            self._refuse_waiting(waiting, self._wait(waiting), now)
            for waiting in self._queue
            if self._start_by(waiting.ticket) <= now
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
        while len(self._queue):
            ticket = self._queue.pop(self._may_start, self._has_room)
            if ticket is None:
                break
            if self._start_by(ticket) < now:
                reason = tickets.Reason.OVERLOAD
                verdicts.append(self._refuse(ticket, reason, 0.0, 0.0))
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
            start_by = self._start_by(last.ticket)
            if now + wait.seconds <= start_by:
                break
            if wait.reason is tickets.Reason.OVERLOAD:
                if self._is_fresh_hope(customer, start_by - now):
                    break
                last = self._queue.oldest_of_last_class(customer)
            verdicts.append(self._refuse_waiting(last, wait, now))
            last = self._queue.last(customer)
        return verdicts

    def _is_fresh_hope(self, customer: str, left_s: float) -> bool:
        """Whether a customer's one ticket is kept against the estimate.

        With the queue empty, the room that comes up goes to whoever asks
        next, and the weights count for nothing. So each customer keeps its
        newest ticket, as long as that is young enough to meet its target.

        :param left_s: until the ticket must have left the queue.
        """
        slot_s = self._outlook.hold_s / self._limit.limit
        return self._queue.count(customer) == 1 and slot_s / 2 < left_s

    def _wait(self, waiting: fair_queue.Waiting) -> entry_limits.Wait:
        return self._outlook.wait(
            waiting,
            self._limits_of(waiting.ticket.entry),
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
        return self._shedding.has_room(customer, in_flight, self._limit.limit)

    def _start_by(self, ticket: tickets.Ticket) -> float:
        service_class = self._class_of(ticket.service_class)
        customer = ticket.customer
        busy_s = self._queue.busy_s(customer, self._clock.now())
        self._shedding.waited(customer, busy_s, service_class.queue_s)
        return self._shedding.start_by(ticket, service_class)

    def _admit(self, ticket: tickets.Ticket) -> tickets.Verdict:
        now = self._clock.now()
        self._in_flight[ticket.request_id] = InFlight(ticket, now)
        self._limit.used(len(self._in_flight))
        self._shedding.usage.admitted(ticket.customer, ticket.tokens)
        self._limits_of(ticket.entry).started(ticket.tokens)
        return tickets.Admitted(ticket.request_id)

    def _refuse_waiting(
        self,
        waiting: fair_queue.Waiting,
        wait: entry_limits.Wait,
        now: float,
    ) -> tickets.Verdict:
        ticket = waiting.ticket
        start_by = self._start_by(ticket)
        reason = wait.reason
        if start_by >= ticket.deadline:
            reason = tickets.Reason.DEADLINE
        if reason is tickets.Reason.OVERLOAD:
            self._shedding.refused(ticket.customer, waiting.shed_order)
        self._queue.remove(ticket.request_id)
        too_long_s = now + wait.seconds - start_by
        return self._refuse(ticket, reason, too_long_s, wait.step_s)

    def _refuse(
        self,
        ticket: tickets.Ticket,
        reason: tickets.Reason,
        wait_s: float,
        step_s: float,
    ) -> tickets.Verdict:
        after_s = self._comeback.after_s(ticket.customer, wait_s, step_s)
        return tickets.Refused(ticket.request_id, reason, after_s)
