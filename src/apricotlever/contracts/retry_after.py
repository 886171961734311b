"""Computes the retry delay that a refused caller is told."""

import random

from .. import clock as clocks

#: The least and the greatest retry delay, before jitter.
MIN_RETRY_S = 0.2
MAX_RETRY_S = 30.0
#: The greatest jitter, as a fraction of the retry delay.
JITTER_FRACTION = 0.25


class RetryAfterScheduler:
    """Gives each refused caller of a customer a later retry time.

    Callers with the same retry time would return all at once, and most of
    them would be refused again. So each refusal gets a retry time that is
    later than the previous one by the interval at which the limit lets
    requests start.

    :param clock: the source of time.
    :param rng: the source of the jitter.
    """

    __slots__ = ("_clock", "_latest_by_customer", "_rng")

    def __init__(self, clock: clocks.Clock, rng: random.Random) -> None:
        self._clock = clock
        self._rng = rng
        #: The latest retry time given to a caller, by customer.
        self._latest_by_customer: dict[str, float] = {}

    def schedule(
        self, customer: str, wait_s: float, interval_s: float
    ) -> float:
        """Return the seconds after which a refused caller should retry.

        :param customer: the caller's customer.
        :param wait_s: seconds until the present backlog has room.
        :param interval_s: seconds between the starts of two requests.
        """
        now = self._clock.now()
        next_slot = self._latest_by_customer.get(customer, now) + min(
            interval_s, MAX_RETRY_S
        )
        retry_at = min(
            now + MAX_RETRY_S, max(now + wait_s, now + MIN_RETRY_S, next_slot)
        )
        self._latest_by_customer[customer] = retry_at
        return (retry_at - now) * (1.0 + JITTER_FRACTION * self._rng.random())

    def tick(self) -> None:
        """Forget retry times that have passed, to bound the memory."""
        now = self._clock.now()
        self._latest_by_customer = {
            c: retry_at
            for c, retry_at in self._latest_by_customer.items()
            if retry_at > now
        }
