"""Notices runners from which nothing is heard any more.

A runner that loses power, or a connection that a device between has
forgotten, says nothing: calls to it just wait. What shows it is that none of
the calls there hears anything, however many they are. A single call that
hangs at a runner which answers others is not its silence.
"""

import typing

from .. import clock as clocks

#: Calls wait without a byte from the runner for so long, in seconds, before
#: it counts as silent. Runners that read a burst of long prompts still end
#: one of them several times a second.
SILENT_S = 0.8
#: A runner that was heard so lately is not believed to be silent, whatever
#: others say, in seconds.
HEARD_S = 0.5
#: Other VMs that must call a runner silent before this one believes it. One
#: alone may be cut off itself.
WITNESSES = 2


class _Line:
    __slots__ = ("calls", "heard_at", "quiet_since")

    def __init__(self) -> None:
        self.calls = 0
        self.heard_at = float("-inf")
        self.quiet_since = float("-inf")


class Silence:
    """What one VM hears of each runner."""

    __slots__ = ("_clock", "_lines", "_told")

    def __init__(self, clock: clocks.Clock) -> None:
        self._clock = clock
        self._lines: dict[str, _Line] = {}
        self._told: frozenset[str] = frozenset()

    @property
    def observed(self) -> list[str]:
        """Runners that this VM itself finds silent."""
        now = self._clock.now()
        return [
            runner
            for runner, line in self._lines.items()
            if line.calls and now - line.quiet_since > SILENT_S
        ]

    @property
    def believed(self) -> frozenset[str]:
        """Runners that get no calls while others can take them."""
        now = self._clock.now()
        told = {
            runner
            for runner in self._told
            if now - self._heard_at(runner) > HEARD_S
        }
        return frozenset(told.union(self.observed))

    def sent(self, runner: str) -> None:
        """A call was sent to a runner."""
        line = self._lines.setdefault(runner, _Line())
        if not line.calls:
            line.quiet_since = self._clock.now()
        line.calls += 1

    def heard(self, runner: str) -> None:
        """A byte of an answer came from a runner."""
        line = self._lines.get(runner)
        if line is not None:
            line.heard_at = line.quiet_since = self._clock.now()

    def ended(self, runner: str) -> None:
        """A call to a runner is over, by whatever end."""
        line = self._lines.get(runner)
        if line is not None and line.calls:
            line.calls -= 1

    def told(self, counts: typing.Mapping[str, int]) -> None:
        """Take over how many other VMs find each runner silent."""
        self._told = frozenset(
            runner for runner, count in counts.items() if count >= WITNESSES
        )

    def keep_only(self, runners: typing.Container[str]) -> None:
        """Forget runners that are gone."""
        for runner in [r for r in self._lines if r not in runners]:
            del self._lines[runner]

    def _heard_at(self, runner: str) -> float:
        line = self._lines.get(runner)
        return line.heard_at if line is not None else float("-inf")
