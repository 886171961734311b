"""Estimates how often the cloud reclaims VMs.

The cloud sells reclaimable VMs cheaper and may take them back at short notice.
"""

from .. import clock as clocks
from .. import decay
from . import model

#: Without observations, the estimate is that of PRIOR_RECLAIMS in
#: PRIOR_VM_HOURS; these are added to the observations.
PRIOR_RECLAIMS = 0.5
PRIOR_VM_HOURS = 10.0
#: Seconds after which an observation counts half.
HALF_LIFE_S = 6 * 3600.0
HOUR_S = 3600.0


class _DecayingCounts:
    """Counts of reclaims and VM hours at a place, which decay with time.

    ``at`` is the time of the last decay, in monotonic seconds.
    """

    __slots__ = ("reclaims", "vm_hours", "at")

    def __init__(self, at: float) -> None:
        self.reclaims = 0.0
        self.vm_hours = 0.0
        self.at = at

    def decay(self, now: float) -> None:
        factor = decay.decay_factor(now - self.at, HALF_LIFE_S)
        self.reclaims *= factor
        self.vm_hours *= factor
        self.at = now


class ReclaimRisk:
    """Estimates the reclaims per VM hour, by place (:class:`.model.Place`).

    The estimate starts from a prior that a few VM hours of observation
    outweigh. Older observations decay, as reclaims come in waves.
    """

    __slots__ = ("_clock", "_counts")

    def __init__(self, clock: clocks.Clock) -> None:
        self._clock = clock
        self._counts: dict[model.Place, _DecayingCounts] = {}

    def record_held(
        self, place: model.Place, vms: int, seconds: float
    ) -> None:
        """Record for how long VMs were held at a place.

        :param vms: the number of VMs.
        :param seconds: the time for which each of them was held.
        """
        self._counts_of(place).vm_hours += vms * seconds / HOUR_S

    def record_reclaims(self, place: model.Place, vms: int = 1) -> None:
        """Record that the cloud reclaimed a number of VMs at a place."""
        self._counts_of(place).reclaims += vms

    def reclaims_per_hour(self, place: model.Place) -> float:
        """The expected number of reclaims per hour of one VM at a place.

        It is 0 for on-demand VMs, which are not reclaimed.
        """
        if place.market is model.Market.ON_DEMAND:
            return 0.0
        counts = self._counts_of(place)
        reclaims = PRIOR_RECLAIMS + counts.reclaims
        return reclaims / (PRIOR_VM_HOURS + counts.vm_hours)

    def _counts_of(self, place: model.Place) -> _DecayingCounts:
        now = self._clock.now()
        counts = self._counts.setdefault(place, _DecayingCounts(now))
        counts.decay(now)
        return counts
