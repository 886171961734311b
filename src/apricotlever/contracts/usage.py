"""Which customers have used more than their part of a pool lately."""

import math
import typing

from .. import clock as clocks

#: How far back the usage is remembered.
MEMORY_S = 10.0
#: A customer this close to its part counts as having used it.
FULL_PART = 0.9
LEAST_TOKENS = 1e-3


class Usage:
    """Tokens admitted by customer, the older ones counting less.

    All usage ages alike, so only new usage and customers that come or go
    change who is full; the sums are kept for the many questions between.
    """

    __slots__ = (
        "_any_short",
        "_asked",
        "_at",
        "_clock",
        "_total_used",
        "_total_weight",
        "_used",
        "_weights",
    )

    def __init__(self, clock: clocks.Clock) -> None:
        self._clock = clock
        self._at = clock.now()
        self._used: dict[str, float] = {}
        self._asked: dict[str, float] = {}
        self._weights: typing.Mapping[str, float] = {}
        self._total_used = 0.0
        self._total_weight = 0.0
        self._any_short: bool | None = None

    def set_weights(self, weights: typing.Mapping[str, float]) -> None:
        """Take over the customers' weights; others count 1."""
        self._weights = weights
        self._sum()

    def asked(self, customer: str) -> None:
        """The customer sent a request."""
        if customer not in self._asked:
            self._total_weight += self._weight(customer)
            self._any_short = None
        self._asked[customer] = self._clock.now()

    def admitted(self, customer: str, tokens: float) -> None:
        """A request of the customer was admitted."""
        self._age()
        self._used[customer] = self._used.get(customer, 0.0) + tokens
        self._total_used += tokens
        self._any_short = None

    def is_full(self, customer: str) -> bool:
        """Whether a customer has had its part.

        The parts are those of the customers that have asked lately, by
        their weights. A customer that is alone has never had it.
        """
        return len(self._asked) > 1 and self._has_part(customer)

    def all_full(self) -> bool:
        """Whether no customer is short of its part."""
        if self._any_short is None:
            self._any_short = not all(map(self._has_part, self._asked))
        return not self._any_short

    def tick(self) -> None:
        """Forget customers that have not asked for long."""
        self._age()
        since = self._clock.now() - MEMORY_S
        self._asked = {c: at for c, at in self._asked.items() if at >= since}
        self._used = {c: n for c, n in self._used.items() if n > LEAST_TOKENS}
        self._sum()

    def _weight(self, customer: str) -> float:
        return self._weights.get(customer, 1.0)

    def _has_part(self, customer: str) -> bool:
        part = self._weight(customer) / max(1e-9, self._total_weight)
        used = self._used.get(customer, 0.0)
        return used >= FULL_PART * part * self._total_used

    def _sum(self) -> None:
        self._total_used = sum(self._used.values())
        self._total_weight = sum(map(self._weight, self._asked))
        self._any_short = None

    def _age(self) -> None:
        now = self._clock.now()
        if now > self._at:
            left = math.exp((self._at - now) / MEMORY_S)
            self._used = {c: n * left for c, n in self._used.items()}
            self._total_used *= left
            self._at = now
