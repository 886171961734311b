"""The load of an engine stand-in as it was some time ago."""

import collections
import time
import typing

SNAPSHOT_S = 0.05
KEPT_SNAPSHOTS = 2000
RATE_WINDOW_S = 1.0

Load = dict[str, typing.Any]


class Meter:
    """Snapshots of a load, and the rate of tokens.

    :param read: gives the load of this moment.
    """

    __slots__ = ("_read", "_first", "_snapshots", "_grown")

    def __init__(self, read: typing.Callable[[], Load]) -> None:
        self._read = read
        self._first = read()
        self._snapshots: collections.deque[tuple[float, Load]] = (
            collections.deque(maxlen=KEPT_SNAPSHOTS)
        )
        self._grown: collections.deque[tuple[float, int]] = collections.deque()

    def grown(self, tokens: int) -> None:
        """Note that a step gave so many tokens."""
        self._grown.append((time.monotonic(), tokens))

    def note(self) -> None:
        """Take a snapshot, if the last one is old enough."""
        now = time.monotonic()
        if self._snapshots and now - self._snapshots[-1][0] < SNAPSHOT_S:
            return
        while self._grown and now - self._grown[0][0] > RATE_WINDOW_S:
            self._grown.popleft()
        tokens = sum(count for _, count in self._grown)
        rate = {"tokens_per_s": tokens / RATE_WINDOW_S}
        self._snapshots.append((now, {**self._read(), **rate}))

    def load(self, lag_s: float) -> Load:
        """The load as it was ``lag_s`` seconds ago."""
        until = time.monotonic() - lag_s
        past = (load for at, load in reversed(self._snapshots) if at <= until)
        first = {**self._first, "tokens_per_s": 0.0}
        return {**next(past, first), "age_s": lag_s}
