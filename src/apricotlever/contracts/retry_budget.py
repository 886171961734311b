"""A budget that keeps retries a small part of the load.

When runners fail because they are overloaded, each retry adds to the load
that made it necessary. A budget fed by successes lets retries through while
failures are rare and stops them when they are not.
"""

RETRIES_PER_SUCCESS = 0.1
#: Lets a VM without much traffic retry at all.
MOST_TOKENS = 10.0
FIRST_TOKENS = 3.0


class RetryBudget:
    """Token buckets, one for each entry, filled by successes.

    Over any time the retries of an entry are at most ``share`` times its
    successes plus ``most``.

    :param share: tokens that one success adds.
    :param most: the size of a bucket.
    """

    __slots__ = ("_first", "_most", "_share", "_tokens")

    def __init__(
        self,
        share: float = RETRIES_PER_SUCCESS,
        most: float = MOST_TOKENS,
        first: float = FIRST_TOKENS,
    ) -> None:
        self._share = share
        self._most = most
        self._first = min(first, most)
        self._tokens: dict[str, float] = {}

    def succeeded(self, entry: str) -> None:
        """Count a request of the entry that was answered."""
        tokens = self._tokens.get(entry, self._first) + self._share
        self._tokens[entry] = min(self._most, tokens)

    def left(self, entry: str) -> float:
        """Retries that the entry may still make."""
        return self._tokens.get(entry, self._first)

    def take(self, entry: str) -> bool:
        """Take one retry out of the budget, if it has one."""
        tokens = self._tokens.get(entry, self._first)
        # 0.1 summed ten times is a little below 1.0.
        if tokens < 1.0 - 1e-9:
            return False
        self._tokens[entry] = tokens - 1.0
        return True

    def keep_only(self, entries: frozenset[str]) -> None:
        """Forget entries that the catalogue no longer has."""
        self._tokens = {
            entry: tokens
            for entry, tokens in self._tokens.items()
            if entry in entries
        }
