"""How many VMs a fleet-wide amount is divided among.

The VMs that a process hears from are too few while it has just started, is
cut off, or comes out of a pause: the others go on using their shares. So a
process also goes by the size that the store names, which outlives all VMs, and
by every VM that it has heard from in a time longer than a partition lasts. One
that knows neither doesn't know the size.
"""

from .. import clock as clocks

#: How long a VM that fell silent without leaving counts, in seconds, and the
#: uptime from which a process has seen all that count.
REMEMBER_S = 600.0
#: How long a VM counts that announced its departure and fell silent, in
#: seconds: at least the window of each amount that it may have taken part of.
REMEMBER_ENDED_S = 30.0
#: Upper limit of a size that can be true.
MAX_SIZE = 100_000
#: Uptime from which a process may name the size first, in seconds: if a whole
#: fleet starts for the first time, its VMs know each other by then.
SETTLED_S = 3.0


class FleetSize:
    """One process's knowledge of the size of its fleet."""

    __slots__ = ("_clock", "_counted", "_has_read", "_started_at", "_stored")

    def __init__(self, clock: clocks.Clock) -> None:
        self._clock = clock
        self._started_at = clock.now()
        self._counted = 1
        self._has_read = False
        #: The size that the store names; None if it names none.
        self._stored: int | None = None

    @property
    def size(self) -> int | None:
        """The number of VMs, this one included; None while it is unknown."""
        if self._stored is not None:
            return max(self._stored, self._counted)
        return self._counted if self._has_seen_all else None

    @property
    def size_to_store(self) -> int | None:
        """What the store should name; None if that needs no change.

        A lower size is right only once this process has seen all that count.
        """
        if not self._has_read:
            return None
        if self._stored is None:
            return self._counted if self._uptime_s >= SETTLED_S else None
        if self._counted > self._stored:
            return self._counted
        if self._counted < self._stored and self._has_seen_all:
            return self._counted
        return None

    def set_counted(self, vms: int) -> None:
        """Set how many other VMs were heard from in :data:`REMEMBER_S`.

        :param vms: without those that announced their end and have ended.
        """
        self._counted = vms + 1

    def set_stored(self, size: int | None) -> None:
        """Set the size that the store names, as read or written just now.

        :param size: None if it names none.
        """
        self._has_read = True
        self._stored = size

    @property
    def _uptime_s(self) -> float:
        return self._clock.now() - self._started_at

    @property
    def _has_seen_all(self) -> bool:
        return self._uptime_s >= REMEMBER_S
