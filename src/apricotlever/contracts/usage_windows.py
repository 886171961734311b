"""Counts customers' calls by time window, for the usage reports.

Every VM counts its own calls and repeatedly sends the counts of the latest
windows to all others; the reporting VM adds up the counts it has received. A
count of one process for one window only grows, so counts may arrive twice,
late or in any order.
"""

import typing

from .. import clock as clocks

#: The number of windows kept. A window's report is due two windows after the
#: window's end.
KEPT_WINDOWS = 8

CallCounts = dict[str, int]


class UsageWindows:
    """Call counts of this VM and those received from other VMs.

    Windows are numbered by wall-clock time, so all VMs number them alike.

    :param clock: the source of time.
    :param process: the name of this VM's process, which changes when the
        process restarts.
    :param window_s: the length of a window in seconds of wall-clock time.
    """

    __slots__ = ("_clock", "_process", "_counts", "_window_s")

    def __init__(
        self, clock: clocks.Clock, process: str, window_s: float
    ) -> None:
        self._clock = clock
        self._process = process
        self._window_s = window_s
        #: Counts by window, process and customer.
        self._counts: dict[int, dict[str, CallCounts]] = {}

    @property
    def window(self) -> int:
        """The number of the current window."""
        return int(self._clock.wall() // self._window_s)

    def window_end_s(self, window: int) -> float:
        """Return when a window ends, in seconds of wall-clock time."""
        return (window + 1) * self._window_s

    def record_call(self, customer: str, ago_s: float = 0.0) -> None:
        """Count a call of a customer that began to run.

        :param customer: the customer's name.
        :param ago_s: seconds since the call began.
        """
        window = int((self._clock.wall() - ago_s) // self._window_s)
        by_process = self._counts.setdefault(window, {})
        counts = by_process.setdefault(self._process, {})
        counts[customer] = counts.get(customer, 0) + 1
        self._drop_old_windows()

    def own_counts(self, reported_window: int = 0) -> dict[int, CallCounts]:
        """Return this process's counts of the kept windows.

        :param reported_window: the newest window that was reported; the
            windows up to it are left out.
        :returns: the counts by window and customer.
        """
        return {
            window: by_process[self._process]
            for window, by_process in self._counts.items()
            if window > reported_window and self._process in by_process
        }

    def merge_counts(
        self, process: str, windows: typing.Mapping[int, CallCounts]
    ) -> None:
        """Merge the counts received from another VM's process.

        Of two counts of one window, the greater one is the newer one.

        :param process: the name of that process.
        :param windows: its counts by window and customer.
        """
        for window, counts in windows.items():
            by_process = self._counts.setdefault(window, {})
            known = by_process.setdefault(process, {})
            if known == counts:
                # Most records bring no change for most windows.
                continue
            for customer, count in counts.items():
                known[customer] = max(count, known.get(customer, 0))
        self._drop_old_windows()

    def all_counts(self) -> dict[int, dict[str, CallCounts]]:
        """Return all counts by window and process, for a checkpoint."""
        return self._counts

    def total(self, window: int) -> CallCounts:
        """Return a window's counts by customer, summed over all processes."""
        total: CallCounts = {}
        for counts in self._counts.get(window, {}).values():
            for customer, count in counts.items():
                total[customer] = total.get(customer, 0) + count
        return total

    def _drop_old_windows(self) -> None:
        while len(self._counts) > KEPT_WINDOWS:
            del self._counts[min(self._counts)]
