"""Keeps the latest failure to open a connection to each runner."""

import typing

from .. import clock as clocks

#: Failures count for this many seconds.
FAILURE_AGE_S = 3.0

_NEVER = float("-inf")


class ConnectionFailures:
    """Failures to open connections, since the last one that opened."""

    __slots__ = ("_at", "_clock", "_count", "_last_at", "_probed_at")

    def __init__(self, clock: clocks.Clock) -> None:
        self._clock = clock
        self._count = 0
        self._last_at = _NEVER
        self._at: dict[str, float] = {}
        self._probed_at: dict[str, float] = {}

    @property
    def count(self) -> int:
        """The number of failures in a row."""
        return self._count

    @property
    def last_at(self) -> float:
        """Time of the last failure; minus infinity without one."""
        return self._last_at

    def record(self, runner: str, by_probe: bool) -> None:
        """Record a failure.

        :param by_probe: whether it was a probe, not the connection of a call.
        """
        self._count += 1
        self._at[runner] = self._last_at = self._clock.now()
        if by_probe:
            self._probed_at[runner] = self._last_at

    def recent(self, after: float = _NEVER) -> set[str]:
        """Runners with a failure that counts and came after a time."""
        return self._select(self._at, after)

    def recent_probes(self, after: float = _NEVER) -> set[str]:
        """Runners with a probe's failure, as in :meth:`recent`."""
        return self._select(self._probed_at, after)

    def clear(self) -> None:
        """Forget all failures."""
        self._count = 0
        self._last_at = _NEVER
        self._at.clear()
        self._probed_at.clear()

    def expire(self) -> None:
        """Forget the failures that no longer count."""
        self.keep_only(self.recent())

    def keep_only(self, runners: typing.Container[str]) -> None:
        """Forget the failures of all other runners."""
        for times in (self._at, self._probed_at):
            for gone in [name for name in times if name not in runners]:
                del times[gone]

    def _select(self, times: dict[str, float], after: float) -> set[str]:
        since = self._clock.now() - FAILURE_AGE_S
        return {x for x, at in times.items() if at >= since and at > after}
