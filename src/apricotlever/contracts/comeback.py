"""When a refused caller should come back."""

import random

from .. import clock as clocks

LEAST_S = 0.2
MOST_S = 30.0
#: Callers come back spread over this part of their wait.
SPREAD = 0.25


class Comeback:
    """Gives each refused caller of a customer a later time than the last.

    Callers that are all told the same time come back as one wave, and all
    but a few of them are refused again. So each refusal takes a place in
    line, as far from the one before it as the limit lets requests start.
    """

    __slots__ = ("_clock", "_last", "_rng")

    def __init__(self, clock: clocks.Clock, rng: random.Random) -> None:
        self._clock = clock
        self._rng = rng
        #: By customer: the latest time that a caller was given.
        self._last: dict[str, float] = {}

    def after_s(self, customer: str, wait_s: float, step_s: float) -> float:
        """Seconds after which to come back.

        :param wait_s: until the backlog as it stands has room.
        :param step_s: between two requests that are let through.
        """
        now = self._clock.now()
        line = self._last.get(customer, now) + min(step_s, MOST_S)
        at = min(now + MOST_S, max(now + wait_s, now + LEAST_S, line))
        self._last[customer] = at
        return (at - now) * (1.0 + SPREAD * self._rng.random())

    def tick(self) -> None:
        """Forget times that have passed."""
        now = self._clock.now()
        self._last = {c: at for c, at in self._last.items() if at > now}
