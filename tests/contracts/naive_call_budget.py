"""A naive call budget: one token bucket that knows no ranks.

It keeps every call ever allowed and works out the tokens anew each time.
"""

import typing

from apricotlever import clock as clocks


class NaiveCallBudget:
    """A token bucket, filled to its depth at the start.

    :param rate_per_s: tokens per second.
    :param depth: tokens at most.
    """

    def __init__(
        self, clock: clocks.Clock, rate_per_s: float, depth: float
    ) -> None:
        self._clock = clock
        self._start = clock.now()
        self._rate = rate_per_s
        self._depth = depth
        self._allowed: list[float] = []

    def allow(self, *_rank: typing.Any) -> bool:
        """Spend one token, whoever asks."""
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
