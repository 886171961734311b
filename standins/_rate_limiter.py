"""A token bucket that limits the rate of calls to a stand-in."""

import threading
import time


class RateLimiter:
    """A token bucket whose refill rate may differ from call to call."""

    __slots__ = ("_lock", "_tokens", "_refilled_at")

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._tokens: float | None = None
        self._refilled_at = time.monotonic()

    def try_acquire(
        self, per_s: float | None, burst: float | None = None
    ) -> float:
        """Take one token if there is one.

        :param per_s: refill rate in tokens per second; None or 0 for no
            limit.
        :param burst: capacity of the bucket in tokens, at least 1; by default
            the refill of one second.
        :returns: 0.0 if a token was taken, else the seconds until one is
            available.
        """
        if not per_s:
            self._tokens = None
            return 0.0
        capacity = max(1.0, burst or per_s)
        with self._lock:
            now = time.monotonic()
            tokens = capacity if self._tokens is None else self._tokens
            tokens = min(capacity, tokens + (now - self._refilled_at) * per_s)
            self._refilled_at = now
            self._tokens = tokens - 1.0 if tokens >= 1.0 else tokens
            return 0.0 if tokens >= 1.0 else (1.0 - tokens) / per_s
