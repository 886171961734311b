"""Counts that many processes tell, added up to counts that only grow.

The sum of what the processes told last falls when one of them ends, and jumps
when one that has run for hours is met. Who compares it with the sum a moment
before would see calls that nobody made. So only what each process has added
since it was met counts.
"""

import typing

Counts = dict[str, tuple[int, int]]

#: More calls at one runner were not made since a process was last heard.
MOST_NEW_CALLS = 50


def first_seen(failed: int, calls: int) -> tuple[int, int]:
    """From where a process counts whose totals come for the first time.

    A newcomer's totals are recent; those of an old process that this one has
    just met are not.
    """
    return (failed, calls) if calls > MOST_NEW_CALLS else (0, 0)


class Totals:
    """Failed and all calls at each runner."""

    __slots__ = ("_last", "_sums")

    def __init__(self) -> None:
        #: Process to what it told last.
        self._last: dict[str, Counts] = {}
        self._sums: Counts = {}

    @property
    def sums(self) -> Counts:
        """Failed and all calls by runner."""
        return self._sums

    def heard(
        self,
        process: str,
        counts: typing.Mapping[str, typing.Sequence[int]],
        counted: bool = True,
    ) -> None:
        """Take in a process's totals.

        :param counted: False to note only from where it counts on.
        """
        last = self._last.setdefault(process, {})
        for runner, (failed, calls) in counts.items():
            before = last.get(runner) or first_seen(failed, calls)
            last[runner] = (failed, calls)
            if counted:
                self._add(runner, failed - before[0], calls - before[1])

    def keep_only(self, processes: typing.Container[str]) -> None:
        """Forget processes that have ended; what they added stays."""
        for process in [p for p in self._last if p not in processes]:
            del self._last[process]

    def keep_runners(self, runners: typing.Container[str]) -> None:
        """Forget runners that are gone."""
        for counts in (self._sums, *self._last.values()):
            for runner in [r for r in counts if r not in runners]:
                del counts[runner]

    def _add(self, runner: str, failed: int, calls: int) -> None:
        if failed <= 0 and calls <= 0:
            return
        before = self._sums.get(runner, (0, 0))
        self._sums[runner] = (
            before[0] + max(0, failed),
            before[1] + max(0, calls),
        )
