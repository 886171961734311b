"""Sums the call counters of many processes into monotonic counters.

Each VM's process counts its failed and total calls at each runner since its
start, and reports the counters to the VMs that add them up.
The plain sum of the last reported counters drops when a process ends, and
jumps when a process that has run for hours is first seen. A reader that
compares two sums would see calls that were never made. Only the increments
of each process since it was first seen are therefore added up.
"""

import typing

#: Failed and total calls by runner.
Counts = dict[str, tuple[int, int]]

#: A process that reports more calls than this at one runner in its first
#: report is taken to be an old one, not one that has just started.
MAX_NEW_PROCESS_CALLS = 50


def baseline_counts(failed: int, calls: int) -> tuple[int, int]:
    """The counts to subtract from a process's first report on a runner.

    The calls of a process that has just started are recent and count. Those
    of an old process that is seen for the first time are not counted.

    :param failed: failed calls in the first report.
    :param calls: total calls in the first report.
    :returns: failed and total calls that are not counted.
    """
    return (failed, calls) if calls > MAX_NEW_PROCESS_CALLS else (0, 0)


class CallTotals:
    """Failed and total calls at each runner, summed over processes."""

    __slots__ = ("_last_counts", "_sums")

    def __init__(self) -> None:
        #: The last reported counts, by process.
        self._last_counts: dict[str, Counts] = {}
        self._sums: Counts = {}

    @property
    def sums(self) -> Counts:
        """Failed and total calls by runner."""
        return self._sums

    def add_process_counts(
        self,
        process: str,
        counts: typing.Mapping[str, typing.Sequence[int]],
        counted: bool = True,
    ) -> None:
        """Add the increments since a process's last report.

        :param process: the name of the process.
        :param counts: failed and total calls by runner, since its start.
        :param counted: False to remember the counts without adding the
            increments to the sums.
        """
        last_counts = self._last_counts.setdefault(process, {})
        for runner, (failed, calls) in counts.items():
            previous = last_counts.get(runner) or baseline_counts(
                failed, calls
            )
            last_counts[runner] = (failed, calls)
            if counted:
                self._add(runner, failed - previous[0], calls - previous[1])

    def keep_only(self, processes: typing.Container[str]) -> None:
        """Forget the last counts of all other processes, which have ended.

        The sums keep the calls of these processes, as they must not drop.
        """
        for process in [p for p in self._last_counts if p not in processes]:
            del self._last_counts[process]

    def keep_runners(self, runners: typing.Container[str]) -> None:
        """Discard the sums and counts of all other runners."""
        for counts in (self._sums, *self._last_counts.values()):
            for runner in [r for r in counts if r not in runners]:
                del counts[runner]

    def _add(self, runner: str, failed: int, calls: int) -> None:
        if failed <= 0 and calls <= 0:
            return
        previous = self._sums.get(runner, (0, 0))
        self._sums[runner] = (
            previous[0] + max(0, failed),
            previous[1] + max(0, calls),
        )
