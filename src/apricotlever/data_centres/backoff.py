"""Holds back after refused starts, place by place."""

import random

from .. import clock as clocks
from . import model

FIRST_S = 10.0
FACTOR = 2.0
LONGEST_S = 600.0


class StartBackoff:
    """When a place that refused a start may be asked again.

    The wait grows by a factor with each refusal in a row. A random share of
    it keeps the entries that were refused together from asking together.
    """

    __slots__ = ("_clock", "_rng", "_waits", "_until")

    def __init__(self, clock: clocks.Clock, rng: random.Random) -> None:
        self._clock = clock
        self._rng = rng
        self._waits: dict[model.Place, float] = {}
        self._until: dict[model.Place, float] = {}

    def refused(self, place: model.Place) -> None:
        """Note a refused start; refusals during a wait don't add up."""
        if not self.may_start(place):
            return
        before = self._waits.get(place)
        wait = FIRST_S if before is None else before * FACTOR
        self._waits[place] = min(wait, LONGEST_S)
        jitter = self._rng.uniform(0.5, 1.0)
        self._until[place] = self._clock.now() + jitter * self._waits[place]

    def started(self, place: model.Place) -> None:
        """Note a start that the cloud granted."""
        self._waits.pop(place, None)
        self._until.pop(place, None)

    def may_start(self, place: model.Place) -> bool:
        """Whether to ask the place for a VM now."""
        return self._clock.now() >= self._until.get(place, float("-inf"))
