"""Delays that double with each consecutive failure."""


class Backoff:
    """The delay before the next attempt at something that fails.

    It starts no timer: tasks sleep for it, and decisions compare it with
    their clock. Who needs jitter applies it to the result.

    :param initial_s: the delay after the first failure in a row, in seconds.
    :param max_s: the upper limit of the delay, in seconds.
    """

    __slots__ = ("_initial_s", "_max_s", "_next_s")

    def __init__(self, initial_s: float, max_s: float) -> None:
        self._initial_s = initial_s
        self._max_s = max_s
        self._next_s = initial_s

    def record_failure(self) -> float:
        """Record a failure, and return the delay after it in seconds."""
        delay_s = self._next_s
        self._next_s = min(self._max_s, 2.0 * delay_s)
        return delay_s

    def reset(self) -> None:
        """Return to the initial delay, after a success."""
        self._next_s = self._initial_s
