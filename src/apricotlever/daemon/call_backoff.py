"""Exponential backoff for a periodic call that fails.

While the platform is down, each call fails at once. Without a delay, the
calls would be repeated ten times a second, and their log lines would hide all
others. The backoff makes failing calls less often and tells its user when a
failure or a success is the first in a row, so that only changes are logged.
"""

from .. import backoff
from .. import clock as clocks

INITIAL_WAIT_S = 0.25
MAX_WAIT_S = 2.0


class CallBackoff:
    """The wait after failures of one kind of call, such as reading prices.

    :param clock: the source of time.
    """

    __slots__ = ("_backoff", "_clock", "_due_at", "_failing")

    def __init__(self, clock: clocks.Clock) -> None:
        self._clock = clock
        self._backoff = backoff.Backoff(INITIAL_WAIT_S, MAX_WAIT_S)
        self._due_at = float("-inf")
        self._failing = False

    @property
    def due(self) -> bool:
        """Whether the wait after the last failure is over."""
        return self._clock.now() >= self._due_at

    def record_failure(self) -> bool:
        """Record a failure, after which the next wait doubles up to a limit.

        :returns: whether this is the first failure in a row.
        """
        first = not self._failing
        self._failing = True
        self._due_at = self._clock.now() + self._backoff.record_failure()
        return first

    def record_success(self) -> bool:
        """Record a success, after which the call is due at any time.

        :returns: whether this success follows a failure.
        """
        recovered = self._failing
        self._failing = False
        self._backoff.reset()
        self._due_at = float("-inf")
        return recovered
