"""Calls whose connections broke off, in case their runners have crashed."""

from .. import clock as clocks
from . import call_features

#: A call is suspected of a crash if it broke off at most this many seconds
#: before the crash was detected. A list entry disappears after three missed
#: heartbeats, which takes about four seconds.
BROKEN_CALL_WINDOW_S = 6.0


class BrokenCall:
    """A call whose connection broke before the answer ended.

    :param at: when it broke, in monotonic seconds.
    :param on_trial: whether it ran as a trial.
    """

    __slots__ = ("at", "features", "on_trial")

    def __init__(
        self, at: float, features: call_features.CallFeatures, on_trial: bool
    ) -> None:
        self.at = at
        self.features = features
        self.on_trial = on_trial


class BrokenCalls:
    """The calls that broke off lately, by runner."""

    __slots__ = ("_by_runner", "_clock")

    def __init__(self, clock: clocks.Clock) -> None:
        self._clock = clock
        self._by_runner: dict[str, list[BrokenCall]] = {}

    def __len__(self) -> int:
        return sum(map(len, self._by_runner.values()))

    def add(
        self,
        runner: str,
        features: call_features.CallFeatures,
        on_trial: bool = False,
    ) -> None:
        """Record that a call's connection to a runner has broken."""
        calls = self._by_runner.setdefault(runner, [])
        calls.append(BrokenCall(self._clock.now(), features, on_trial))

    def take(self, runner: str) -> list[BrokenCall]:
        """Remove a runner's calls, and return those not yet expired."""
        return self._recent(self._by_runner.pop(runner, []))

    def clear(self) -> None:
        """Forget all calls."""
        self._by_runner.clear()

    def tick(self) -> None:
        """Forget the calls that have expired."""
        self._by_runner = {
            runner: kept
            for runner, calls in self._by_runner.items()
            if (kept := self._recent(calls))
        }

    def _recent(self, calls: list[BrokenCall]) -> list[BrokenCall]:
        now = self._clock.now()
        return [call for call in calls if now - call.at < BROKEN_CALL_WINDOW_S]
