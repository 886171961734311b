"""Counts of failed calls that a VM may report to the others.

A call that gets no answer shows a fault of its runner, or that this VM has
lost its paths to the runners. Two VMs that lost them would make all others
avoid sound runners. So a failure without an answer is held back until this VM
has heard from some runner afterwards; if it hears from none, the failure says
nothing of the runner and is dropped.
"""

import typing

from .. import clock as clocks

from . import call_totals

#: How long a failure waits for a sign that this VM is connected, in seconds. A
#: connected VM hears from its runners several times in this time.
MAX_HELD_S = 3.0


class Witness(typing.Protocol):
    """Knows whether this VM reaches the runners."""

    @property
    def is_isolated(self) -> bool:
        """Whether this VM reaches no runner."""

    @property
    def is_connected(self) -> bool:
        """Whether nothing suggests that this VM lost its runners."""

    def vouches_since(self, at: float) -> bool:
        """Whether a runner was heard from after a time."""


class _HeldFailure:
    """A call without an answer, by its end in monotonic seconds."""

    __slots__ = ("runner", "at")

    def __init__(self, runner: str, at: float) -> None:
        self.runner = runner
        self.at = at


class VouchedCounts:
    """Failed and total calls of this VM, without those of its own faults."""

    __slots__ = ("_clock", "_counts", "_dropped", "_held")

    def __init__(self, clock: clocks.Clock) -> None:
        self._clock = clock
        self._counts: call_totals.Counts = {}
        self._held: list[_HeldFailure] = []
        self._dropped = 0

    @property
    def counts(self) -> call_totals.Counts:
        """Failed and total calls since the start, by runner."""
        return self._counts

    @property
    def dropped(self) -> int:
        """Number of failures that were not counted."""
        return self._dropped

    def call_answered(self, runner: str, failed: bool) -> None:
        """Count a call that its runner answered.

        :param failed: whether the answer was an error or a rejection.
        """
        self._count(runner, failed)

    def call_unanswered(self, runner: str) -> None:
        """Hold a failed call back whose runner did not answer it in full."""
        self._held.append(_HeldFailure(runner, self._clock.now()))

    def update(self, witness: Witness) -> None:
        """Count the failures for which this VM can vouch, and drop others."""
        if not self._held:
            return
        if witness.is_isolated:
            self._dropped += len(self._held)
            self._held.clear()
            return
        oldest = self._clock.now() - MAX_HELD_S
        still_held = []
        for failure in self._held:
            if failure.at <= oldest:
                self._dropped += 1
            elif witness.is_connected and witness.vouches_since(failure.at):
                self._count(failure.runner, True)
            else:
                still_held.append(failure)
        self._held = still_held

    def keep_only(self, runners: typing.Container[str]) -> None:
        """Discard the counts of all other runners."""
        for runner in [r for r in self._counts if r not in runners]:
            del self._counts[runner]
        self._held = [each for each in self._held if each.runner in runners]

    def _count(self, runner: str, failed: bool) -> None:
        before = self._counts.get(runner, (0, 0))
        self._counts[runner] = (before[0] + failed, before[1] + 1)
