"""Delays further VM orders at a place after a refused one."""

import random

from .. import clock as clocks
from . import model

INITIAL_DELAY_S = 10.0
DELAY_FACTOR = 2.0
MAX_DELAY_S = 600.0


class StartBackoff:
    """Determines when a place that refused a VM may be tried again.

    The delay grows exponentially with consecutive refusals. Its random jitter
    keeps planners that were refused together from retrying together.
    """

    __slots__ = ("_clock", "_rng", "_delays_s", "_blocked_until")

    def __init__(self, clock: clocks.Clock, rng: random.Random) -> None:
        self._clock = clock
        self._rng = rng
        self._delays_s: dict[model.Place, float] = {}
        self._blocked_until: dict[model.Place, float] = {}

    def record_refusal(self, place: model.Place) -> None:
        """Record a refusal; refusals during a delay don't extend it."""
        if not self.may_start(place):
            return
        previous_s = self._delays_s.get(place)
        delay_s = (
            INITIAL_DELAY_S
            if previous_s is None
            else previous_s * DELAY_FACTOR
        )
        self._delays_s[place] = min(delay_s, MAX_DELAY_S)
        jitter = self._rng.uniform(0.5, 1.0)
        self._blocked_until[place] = (
            self._clock.now() + jitter * self._delays_s[place]
        )

    def record_grant(self, place: model.Place) -> None:
        """Record a VM that the cloud granted."""
        self._delays_s.pop(place, None)
        self._blocked_until.pop(place, None)

    def may_start(self, place: model.Place) -> bool:
        """Whether a VM may be ordered at the place now."""
        return self._clock.now() >= self._blocked_until.get(
            place, float("-inf")
        )
