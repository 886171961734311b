"""Learns how often reclaimable VMs are taken back, and what that costs."""

from .. import clock as clocks
from . import model

PRIOR_RECLAIMS = 0.5
PRIOR_VM_HOURS = 10.0
HALF_LIFE_S = 6 * 3600.0
HOUR_S = 3600.0


class _Rate:
    """Reclaims and VM hours, both fading with time."""

    __slots__ = ("reclaims", "vm_hours", "at")

    def __init__(self, at: float) -> None:
        self.reclaims = 0.0
        self.vm_hours = 0.0
        self.at = at

    def fade(self, now: float) -> None:
        kept = 0.5 ** ((now - self.at) / HALF_LIFE_S)
        self.reclaims *= kept
        self.vm_hours *= kept
        self.at = now


class ReclaimRisk:
    """Reclaims per VM hour by place.

    A place starts from a prior that a few hours of its own outweigh, and old
    hours count less and less, for reclaims come in waves.
    """

    __slots__ = ("_clock", "_rates")

    def __init__(self, clock: clocks.Clock) -> None:
        self._clock = clock
        self._rates: dict[model.Place, _Rate] = {}

    def held(self, place: model.Place, vms: int, seconds: float) -> None:
        """Note that so many VMs were held for a time."""
        self._rate(place).vm_hours += vms * seconds / HOUR_S

    def reclaimed(self, place: model.Place, vms: int = 1) -> None:
        """Note that the cloud took VMs back."""
        self._rate(place).reclaims += vms

    def per_hour(self, place: model.Place) -> float:
        """Reclaims to expect for one VM in an hour."""
        if place.market is model.Market.ON_DEMAND:
            return 0.0
        rate = self._rate(place)
        reclaims = PRIOR_RECLAIMS + rate.reclaims
        return reclaims / (PRIOR_VM_HOURS + rate.vm_hours)

    def _rate(self, place: model.Place) -> _Rate:
        now = self._clock.now()
        rate = self._rates.setdefault(place, _Rate(now))
        rate.fade(now)
        return rate
