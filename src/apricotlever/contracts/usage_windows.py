"""Counts of what customers used, by time window, for the usage reports.

Every VM counts for itself and tells its counts of the latest windows to all
others again and again; whoever reports adds up what it has heard. A count
that one process gave for one window only grows, so news may come twice, late
or in any order.
"""

import typing

from .. import clock as clocks

#: Windows kept: a report is due two windows after the end of its own.
KEPT_WINDOWS = 8

Counts = dict[str, int]


class UsageWindows:
    """One VM's own counts and what it heard of the others'.

    :param process: names this VM's process; a restarted one is another.
    :param window_s: the length of a window, in seconds of the time of day.
    """

    __slots__ = ("_clock", "_process", "_tables", "_window_s")

    def __init__(
        self, clock: clocks.Clock, process: str, window_s: float
    ) -> None:
        self._clock = clock
        self._process = process
        self._window_s = window_s
        #: Window to process to customer to count.
        self._tables: dict[int, dict[str, Counts]] = {}

    @property
    def window(self) -> int:
        """The number of the window at this moment."""
        return int(self._clock.wall() // self._window_s)

    def end_of(self, window: int) -> float:
        """When a window ends, in seconds of the time of day."""
        return (window + 1) * self._window_s

    def began(self, customer: str, ago_s: float = 0.0) -> None:
        """A call of a customer began to run.

        :param ago_s: how long ago.
        """
        window = int((self._clock.wall() - ago_s) // self._window_s)
        table = self._tables.setdefault(window, {})
        counts = table.setdefault(self._process, {})
        counts[customer] = counts.get(customer, 0) + 1
        self._forget_old()

    def own(self, above: int = 0) -> dict[int, Counts]:
        """This VM's counts of the windows that are kept.

        :param above: the newest window that is reported; those up to it
            need not be told any more.
        """
        return {
            window: table[self._process]
            for window, table in self._tables.items()
            if window > above and self._process in table
        }

    def heard(
        self, process: str, windows: typing.Mapping[int, Counts]
    ) -> None:
        """Take in the counts of another VM's process."""
        for window, counts in windows.items():
            table = self._tables.setdefault(window, {})
            known = table.setdefault(process, {})
            if known == counts:
                # Most records tell nothing new of most windows.
                continue
            for customer, count in counts.items():
                known[customer] = max(count, known.get(customer, 0))
        self._forget_old()

    def tables(self) -> dict[int, dict[str, Counts]]:
        """All that is known, by window and process, for a checkpoint."""
        return self._tables

    def total(self, window: int) -> Counts:
        """The sum of a window over all processes."""
        total: Counts = {}
        for counts in self._tables.get(window, {}).values():
            for customer, count in counts.items():
                total[customer] = total.get(customer, 0) + count
        return total

    def _forget_old(self) -> None:
        while len(self._tables) > KEPT_WINDOWS:
            del self._tables[min(self._tables)]
