"""Limits concurrent model loads to what the weight store allows.

A runner that has started loads the weights of its model from this store.
"""

from .. import clock as clocks

#: The limit of concurrent loads at the start.
INITIAL_CONCURRENCY = 4.0
#: The greatest value of the limit.
MAX_CONCURRENCY = 256.0
#: Time after which an unreported load counts as ended, in seconds.
LOAD_TIMEOUT_S = 300.0


class ModelLoadLimiter:
    """Limits the number of runners that load weights at the same time.

    The store refuses loads beyond an unpublished rate. The limit is therefore
    adapted by additive increase and multiplicative decrease: it grows by one
    per round of successful loads and halves on a refusal. No load starts
    before the retry time given by the store.
    """

    __slots__ = ("_clock", "_limit", "_running", "_paused_until")

    def __init__(self, clock: clocks.Clock) -> None:
        self._clock = clock
        self._limit = INITIAL_CONCURRENCY
        self._running: dict[str, float] = {}
        self._paused_until = float("-inf")

    @property
    def running(self) -> int:
        """Number of loads that were started and have not ended or expired."""
        return len(self._running)

    @property
    def limit(self) -> int:
        """Maximum number of concurrent loads."""
        return int(self._limit)

    def try_start(self, vm: str) -> bool:
        """Reserve a load for a runner.

        :returns: whether the load may start; False before the retry time of
            a refusal, at the limit, or while the runner is loading already.
        """
        now = self._clock.now()
        # A runner that is reclaimed while it loads never reports the end. The
        # timeout prevents a permanent loss of its share of the limit.
        self._running = {
            name: until for name, until in self._running.items() if until > now
        }
        unavailable = vm in self._running or len(self._running) >= self.limit
        if now < self._paused_until or unavailable:
            return False
        self._running[vm] = now + LOAD_TIMEOUT_S
        return True

    def record_end(self, vm: str) -> None:
        """Record that a runner has loaded its model, or is gone."""
        if self._running.pop(vm, None) is not None:
            increased = self._limit + 1 / self._limit
            self._limit = min(MAX_CONCURRENCY, increased)

    def record_refusal(self, vm: str, retry_after_s: float) -> None:
        """Record that the store refused a load.

        :param retry_after_s: delay requested by the store, in seconds.
        """
        self._running.pop(vm, None)
        if self._clock.now() >= self._paused_until:
            self._limit = max(1.0, self._limit / 2)
        self._paused_until = self._clock.now() + retry_after_s
