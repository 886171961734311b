"""Keeps which probes of runners are under way."""

from .. import clock as clocks

#: A probe without result counts as slow after this many seconds. Opening a
#: connection takes a few milliseconds.
SLOW_S = 0.09
#: A probe whose result was not reported is forgotten after this time, in
#: seconds.
EXPIRY_S = 1.0

_NEVER = float("-inf")


class ProbesUnderWay:
    """The probes of a VM: those without result, and the last ones."""

    __slots__ = ("_answered_at", "_clock", "_count", "_last_at", "_started")

    def __init__(self, clock: clocks.Clock) -> None:
        self._clock = clock
        self._count = 0
        #: When each probe under way began, by runner.
        self._started: dict[str, float] = {}
        self._answered_at = self._last_at = _NEVER

    @property
    def names(self) -> set[str]:
        """IDs of the runners that are being probed."""
        return set(self._started)

    @property
    def count(self) -> int:
        """The number of probes ever started."""
        return self._count

    @property
    def last_at(self) -> float:
        """When the last probe began; minus infinity without one."""
        return self._last_at

    @property
    def answered_at(self) -> float:
        """When the last probe opened a connection."""
        return self._answered_at

    @property
    def is_slow(self) -> bool:
        """Whether a probe has had no result for a while."""
        since = self._clock.now() - SLOW_S
        return any(at <= since for at in self._started.values())

    def started(self, runner: str) -> None:
        """Record the start of a probe."""
        self._count += 1
        self._started[runner] = self._last_at = self._clock.now()

    def answered(self, runner: str) -> None:
        """Record that a connection opened, whether by a probe or not."""
        if self.ended(runner):
            self._answered_at = self._clock.now()

    def ended(self, runner: str) -> bool:
        """Record that a probe has ended.

        :returns: whether the runner was being probed.
        """
        return self._started.pop(runner, None) is not None

    def expire(self) -> None:
        """Forget probes whose result was not reported."""
        since = self._clock.now() - EXPIRY_S
        for name in [x for x, at in self._started.items() if at < since]:
            del self._started[name]

    def clear(self) -> None:
        """Forget all probes but their number."""
        self._started.clear()
        self._answered_at = self._last_at = _NEVER
