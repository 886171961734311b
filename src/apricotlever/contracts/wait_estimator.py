"""Estimates how long a ticket waits in the queue of a pool.

The estimate decides whether a ticket, a request that asks for admission, can
start in time or is refused at once.
"""

from . import entry_limits
from . import fair_queue
from . import tickets

#: Weight of a new sample in the moving averages.
SMOOTHING_FACTOR = 0.1


class WaitEstimator:
    """Estimates waits from the mean time and tokens of a pool's requests.

    The work ahead of a ticket, in tokens, is converted into a number of
    requests. In the mean time that a request is in flight, the pool is taken
    to start as many requests as its concurrency limit allows.

    :param queue: the queue of the pool.
    """

    __slots__ = ("_mean_hold_s", "_queue", "_mean_tokens")

    def __init__(self, queue: fair_queue.FairQueue) -> None:
        self._queue = queue
        self._mean_hold_s = 0.0
        self._mean_tokens = 1.0

    @property
    def mean_hold_s(self) -> float:
        """Mean seconds that a request is in flight; 0 while unknown."""
        return self._mean_hold_s

    def record_finished(self, held_s: float, tokens: float) -> None:
        """Record a request that ended.

        :param held_s: seconds that it was in flight.
        :param tokens: the tokens that it was admitted for.
        """
        counted = max(fair_queue.MIN_TOKENS, tokens)
        if not self._mean_hold_s:
            self._mean_hold_s = held_s
            self._mean_tokens = counted
            return
        self._mean_hold_s += SMOOTHING_FACTOR * (held_s - self._mean_hold_s)
        self._mean_tokens += SMOOTHING_FACTOR * (counted - self._mean_tokens)

    def estimate(
        self,
        queued: fair_queue.QueuedTicket,
        limits: entry_limits.EntryLimits,
        in_flight: int,
        limit: int,
    ) -> entry_limits.LimitWait:
        """Return the longest wait for the pool or one of the entry's limits.

        The ticket can start only when both the pool and all limits have room.

        :param queued: the ticket in the queue.
        :param limits: the limits of the ticket's entry.
        :param in_flight: requests in flight at the pool.
        :param limit: requests that may be in flight at the pool.
        """
        ticket = queued.ticket
        requests = tokens = 0.0
        if limits.has_request_limit:
            requests = self._queue.work_ahead(
                queued, lambda w: float(w.ticket.entry == ticket.entry)
            )
        if limits.has_token_limit:
            tokens = ticket.tokens + self._queue.work_ahead(
                queued, lambda w: w.tokens * (w.ticket.entry == ticket.entry)
            )
        pool_s = self._pool_wait_s(queued, in_flight, limit)
        interval_s = self._mean_hold_s / limit
        pool_wait = entry_limits.LimitWait(
            pool_s, tickets.RefusalReason.OVERLOAD, interval_s
        )
        limits_wait = limits.longest_wait(requests, tokens, self._mean_hold_s)
        return max(pool_wait, limits_wait, key=lambda wait: wait.seconds)

    def _pool_wait_s(
        self, queued: fair_queue.QueuedTicket, in_flight: int, limit: int
    ) -> float:
        if not self._mean_hold_s:
            return 0.0
        ahead = self._queue.work_ahead(queued) / self._mean_tokens
        missing = in_flight + ahead + 1 - limit
        return max(0.0, missing) * self._mean_hold_s / limit
