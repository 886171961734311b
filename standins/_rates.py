"""A token bucket that a stand-in limits its callers with."""

import threading
import time


class CallRate:
    """Tokens refilled at a rate that may change from call to call."""

    __slots__ = ("_lock", "_left", "_at")

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._left: float | None = None
        self._at = time.monotonic()

    def take(self, per_s: float | None, burst: float | None = None) -> float:
        """Take one token.

        :param per_s: the rate of refill; None for no limit.
        :param burst: what the bucket holds; one second's worth by default.
        :returns: 0.0, or the seconds until a token is there.
        """
        if not per_s:
            self._left = None
            return 0.0
        size = max(1.0, burst or per_s)
        with self._lock:
            now = time.monotonic()
            left = size if self._left is None else self._left
            left = min(size, left + (now - self._at) * per_s)
            self._at = now
            self._left = left - 1.0 if left >= 1.0 else left
            return 0.0 if left >= 1.0 else (1.0 - left) / per_s
