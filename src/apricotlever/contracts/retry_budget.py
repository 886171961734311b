"""A budget that keeps retries a small fraction of the load.

If runners fail because they are overloaded, each retry adds to the load that
caused it. A budget that successes refill allows retries while failures are
rare and stops them while failures are frequent. One retry takes one token.
"""

#: Tokens that one answered request adds.
RETRIES_PER_SUCCESS = 0.1
#: The size of a bucket, which lets a VM with little traffic retry at all.
MAX_TOKENS = 10.0
#: Tokens of a new bucket, before any success.
INITIAL_TOKENS = 3.0


class RetryBudget:
    """Token buckets, one for each catalogue entry, refilled by successes.

    Over any time, the retries of an entry are at most
    ``tokens_per_success`` times its successes plus ``max_tokens``.

    :param tokens_per_success: tokens that one success adds.
    :param max_tokens: the size of a bucket, in tokens.
    :param initial_tokens: tokens of a new bucket.
    """

    __slots__ = (
        "_initial_tokens",
        "_max_tokens",
        "_tokens_per_success",
        "_tokens",
    )

    def __init__(
        self,
        tokens_per_success: float = RETRIES_PER_SUCCESS,
        max_tokens: float = MAX_TOKENS,
        initial_tokens: float = INITIAL_TOKENS,
    ) -> None:
        self._tokens_per_success = tokens_per_success
        self._max_tokens = max_tokens
        self._initial_tokens = min(initial_tokens, max_tokens)
        self._tokens: dict[str, float] = {}

    def record_success(self, entry: str) -> None:
        """Add tokens for an answered request of the entry."""
        tokens = (
            self._tokens.get(entry, self._initial_tokens)
            + self._tokens_per_success
        )
        self._tokens[entry] = min(self._max_tokens, tokens)

    def remaining(self, entry: str) -> float:
        """Return the tokens of the entry, one for each further retry."""
        return self._tokens.get(entry, self._initial_tokens)

    def try_acquire(self, entry: str) -> bool:
        """Take a token for one retry of a request of the entry.

        :returns: whether there was a token, so that the retry may be sent.
        """
        tokens = self._tokens.get(entry, self._initial_tokens)
        # The tolerance is needed because ten times 0.1 sums to less than 1.0.
        if tokens < 1.0 - 1e-9:
            return False
        self._tokens[entry] = tokens - 1.0
        return True

    def retain_entries(self, entries: frozenset[str]) -> None:
        """Forget the tokens of entries that the catalogue no longer has.

        :param entries: the names of the entries of the current catalogue.
        """
        self._tokens = {
            entry: tokens
            for entry, tokens in self._tokens.items()
            if entry in entries
        }
