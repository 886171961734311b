"""Tracks which customers recently used their fair share of a pool.

The customers with recent requests have fair shares of the tokens that were
recently admitted, in proportion to their weights. Load shedding treats a
customer below its fair share better than the others.
"""

import math
import typing

from .. import clock as clocks

#: Time constant of the decay of usage, in seconds, and the time for which a
#: customer without requests is remembered.
DECAY_S = 10.0
#: The fraction of its fair share at which a customer counts as having used
#: that share.
FULL_SHARE_FRACTION = 0.9
#: Usage that has decayed to this many tokens is forgotten.
MIN_TOKENS = 1e-3


class PoolUsage:
    """Admitted tokens by customer, decaying exponentially with age.

    All usage decays by the same factor. So the result changes only with new
    usage and with customers that come or go, and the sums are cached for the
    many queries in between.

    :param clock: the source of time.
    """

    __slots__ = (
        "_any_below_share",
        "_last_request_at",
        "_decayed_at",
        "_clock",
        "_total_used",
        "_total_weight",
        "_used",
        "_weights",
    )

    def __init__(self, clock: clocks.Clock) -> None:
        self._clock = clock
        self._decayed_at = clock.now()
        self._used: dict[str, float] = {}
        self._last_request_at: dict[str, float] = {}
        self._weights: typing.Mapping[str, float] = {}
        self._total_used = 0.0
        self._total_weight = 0.0
        self._any_below_share: bool | None = None

    def set_weights(self, weights: typing.Mapping[str, float]) -> None:
        """Set the customers' weights; a customer without one has 1.0."""
        self._weights = weights
        self._recompute_totals()

    def record_request(self, customer: str) -> None:
        """Record a request of a customer, admitted or not.

        A customer with a recent request counts among those that have a fair
        share.
        """
        if customer not in self._last_request_at:
            self._total_weight += self._weight(customer)
            self._any_below_share = None
        self._last_request_at[customer] = self._clock.now()

    def record_admitted(self, customer: str, tokens: float) -> None:
        """Add the tokens of an admitted request to the customer's usage."""
        self._decay()
        self._used[customer] = self._used.get(customer, 0.0) + tokens
        self._total_used += tokens
        self._any_below_share = None

    def has_used_share(self, customer: str) -> bool:
        """Return whether a customer has used its fair share.

        The fair shares are those of the customers with recent requests, by
        weight. The only such customer has never used its fair share.
        """
        return len(self._last_request_at) > 1 and self._reached_share(customer)

    def all_used_share(self) -> bool:
        """Return whether no customer with recent requests is below its share.

        Then no customer needs to be preferred to the others.
        """
        if self._any_below_share is None:
            self._any_below_share = not all(
                map(self._reached_share, self._last_request_at)
            )
        return not self._any_below_share

    def tick(self) -> None:
        """Forget customers without requests for :data:`DECAY_S`.

        They no longer count in the fair shares of the others.
        """
        self._decay()
        oldest = self._clock.now() - DECAY_S
        self._last_request_at = {
            c: at for c, at in self._last_request_at.items() if at >= oldest
        }
        self._used = {c: n for c, n in self._used.items() if n > MIN_TOKENS}
        self._recompute_totals()

    def _weight(self, customer: str) -> float:
        return self._weights.get(customer, 1.0)

    def _reached_share(self, customer: str) -> bool:
        share = self._weight(customer) / max(1e-9, self._total_weight)
        used = self._used.get(customer, 0.0)
        return used >= FULL_SHARE_FRACTION * share * self._total_used

    def _recompute_totals(self) -> None:
        self._total_used = sum(self._used.values())
        self._total_weight = sum(map(self._weight, self._last_request_at))
        self._any_below_share = None

    def _decay(self) -> None:
        now = self._clock.now()
        if now > self._decayed_at:
            decay = math.exp((self._decayed_at - now) / DECAY_S)
            self._used = {c: n * decay for c, n in self._used.items()}
            self._total_used *= decay
            self._decayed_at = now
