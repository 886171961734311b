"""Past load values of an engine stand-in, for load reports with a lag."""

import collections
import time
import typing

SNAPSHOT_INTERVAL_S = 0.05
MAX_SNAPSHOTS = 2000
RATE_WINDOW_S = 1.0

Load = dict[str, typing.Any]


class LoadHistory:
    """Keeps snapshots of the load and of the rate of generated tokens.

    :param read_load: returns the current load.
    """

    __slots__ = ("_read_load", "_initial_load", "_snapshots", "_token_counts")

    def __init__(self, read_load: typing.Callable[[], Load]) -> None:
        self._read_load = read_load
        self._initial_load = read_load()
        self._snapshots: collections.deque[tuple[float, Load]] = (
            collections.deque(maxlen=MAX_SNAPSHOTS)
        )
        self._token_counts: collections.deque[tuple[float, int]] = (
            collections.deque()
        )

    def record_tokens(self, tokens: int) -> None:
        """Record the number of tokens that a step has generated."""
        self._token_counts.append((time.monotonic(), tokens))

    def take_snapshot(self) -> None:
        """Take a snapshot unless the last one is too recent."""
        now = time.monotonic()
        if (
            self._snapshots
            and now - self._snapshots[-1][0] < SNAPSHOT_INTERVAL_S
        ):
            return
        while (
            self._token_counts
            and now - self._token_counts[0][0] > RATE_WINDOW_S
        ):
            self._token_counts.popleft()
        tokens = sum(count for _, count in self._token_counts)
        rate = {"tokens_per_s": tokens / RATE_WINDOW_S}
        self._snapshots.append((now, {**self._read_load(), **rate}))

    def load(self, lag_s: float) -> Load:
        """The load as it was ``lag_s`` seconds ago.

        If no snapshot is that old, this is the load at construction, with a
        token rate of 0.
        """
        until = time.monotonic() - lag_s
        past = (load for at, load in reversed(self._snapshots) if at <= until)
        first = {**self._initial_load, "tokens_per_s": 0.0}
        return {**next(past, first), "age_s": lag_s}
