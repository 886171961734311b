"""How long a ticket in the queue of a pool is expected to wait."""

from . import entry_limits
from . import fair_queue
from . import tickets

LEARNING_RATE = 0.1


class Outlook:
    """What the requests of a pool need on average, and waits from that."""

    __slots__ = ("_hold_s", "_queue", "_tokens")

    def __init__(self, queue: fair_queue.FairQueue) -> None:
        self._queue = queue
        self._hold_s = 0.0
        self._tokens = 1.0

    @property
    def hold_s(self) -> float:
        """Seconds that a request is in flight; 0 when not known yet."""
        return self._hold_s

    def learn(self, held_s: float, tokens: float) -> None:
        """Learn from a request that ended."""
        counted = max(fair_queue.LEAST_TOKENS, tokens)
        if not self._hold_s:
            self._hold_s = held_s
            self._tokens = counted
            return
        self._hold_s += LEARNING_RATE * (held_s - self._hold_s)
        self._tokens += LEARNING_RATE * (counted - self._tokens)

    def wait(
        self,
        waiting: fair_queue.Waiting,
        limits: entry_limits.EntryLimits,
        in_flight: int,
        limit: int,
    ) -> entry_limits.Wait:
        """The longest of the waits for the pool and for the entry's limits.

        :param limits: of the ticket's entry.
        :param in_flight: requests at the pool.
        :param limit: requests that may be in flight there.
        """
        ticket = waiting.ticket
        requests = tokens = 0.0
        if limits.limits_requests:
            requests = self._queue.work_ahead(
                waiting, lambda w: float(w.ticket.entry == ticket.entry)
            )
        if limits.limits_tokens:
            tokens = ticket.tokens + self._queue.work_ahead(
                waiting, lambda w: w.tokens * (w.ticket.entry == ticket.entry)
            )
        pool_s = self._pool_wait_s(waiting, in_flight, limit)
        step_s = self._hold_s / limit
        pool = entry_limits.Wait(pool_s, tickets.Reason.OVERLOAD, step_s)
        own = limits.wait(requests, tokens, self._hold_s)
        return max(pool, own, key=lambda wait: wait.seconds)

    def _pool_wait_s(
        self, waiting: fair_queue.Waiting, in_flight: int, limit: int
    ) -> float:
        if not self._hold_s:
            return 0.0
        ahead = self._queue.work_ahead(waiting) / self._tokens
        missing = in_flight + ahead + 1 - limit
        return max(0.0, missing) * self._hold_s / limit
