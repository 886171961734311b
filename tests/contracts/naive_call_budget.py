"""A naive call budget: one token bucket without priorities.

It records every allowed call and recomputes the tokens for each query.
"""

import typing

from apricotlever import clock as clocks


class NaiveCallBudget:
    """A token bucket that is full at the start.

    :param clock: the source of time.
    :param rate_per_s: tokens per second.
    :param depth: the greatest number of tokens.
    """

    def __init__(
        self, clock: clocks.Clock, rate_per_s: float, depth: float
    ) -> None:
        self._clock = clock
        self._start = clock.now()
        self._rate = rate_per_s
        self._depth = depth
        self._allowed: list[float] = []

    def try_acquire(self, *_rank: typing.Any) -> bool:
        """Take one token, whatever the priority."""
        if self._tokens(self._clock.now()) < 1:
            return False
        self._allowed.append(self._clock.now())
        return True

    def _tokens(self, now: float) -> float:
        tokens, at = self._depth, self._start
        for spent_at in [*self._allowed, None]:
            until = now if spent_at is None else spent_at
            tokens = min(self._depth, tokens + (until - at) * self._rate)
            tokens -= 0 if spent_at is None else 1
            at = until
        return tokens
