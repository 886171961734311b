"""Delays further VM orders at a place after a refused one.

The cloud refuses an order if it has no capacity at the place
(:class:`.model.Place`).
"""

import random

from .. import backoff
from .. import clock as clocks
from . import model

#: The delay after the first refusal, before jitter.
INITIAL_DELAY_S = 10.0
MAX_DELAY_S = 600.0


class StartBackoff:
    """Determines when a place that refused a VM may be tried again.

    The delay grows exponentially with consecutive refusals. Its random jitter
    keeps planners that were refused together from retrying together.
    """

    __slots__ = ("_clock", "_rng", "_backoffs", "_blocked_until")

    def __init__(self, clock: clocks.Clock, rng: random.Random) -> None:
        self._clock = clock
        self._rng = rng
        self._backoffs: dict[model.Place, backoff.Backoff] = {}
        self._blocked_until: dict[model.Place, float] = {}

    def record_refusal(self, place: model.Place) -> None:
        """Record that the cloud refused an order at a place.

        A refusal during a delay is that of an earlier order and doesn't extend
        the delay.
        """
        if not self.may_start(place):
            return
        refused = self._backoffs.setdefault(
            place, backoff.Backoff(INITIAL_DELAY_S, MAX_DELAY_S)
        )
        jitter = self._rng.uniform(0.5, 1.0)
        self._blocked_until[place] = (
            self._clock.now() + jitter * refused.record_failure()
        )

    def record_grant(self, place: model.Place) -> None:
        """Record that the cloud granted a VM, which ends the place's delay."""
        self._backoffs.pop(place, None)
        self._blocked_until.pop(place, None)

    def may_start(self, place: model.Place) -> bool:
        """Whether a VM may be ordered at the place now."""
        return self._clock.now() >= self._blocked_until.get(
            place, float("-inf")
        )
