"""A limit of requests in flight that learns from latency.

Too few requests waste the runners; too many wait in the runners' own
queues, where nothing can be reordered or refused any more. The limit rises
while first tokens come within the target and falls when they don't.
"""

import math

from .. import clock as clocks

LATE_SHARE = 0.1
VERY_LATE_SHARE = 0.4
DECREASE = 0.9
STRONG_DECREASE = 0.7
#: A first token is late when it took this part of its target, for the rest
#: is needed by the queue before the limit and by what can't be foreseen,
LATE_PART = 0.5
#: or, where prompts are so long that they always take as much, this many
#: times what an undisturbed one takes; and in any case at the target.
LATE_FACTOR = 2.5
#: The limit rises only when the first tokens keep this far off being late.
COMFORT = 0.7
#: How fast the undisturbed time is learned.
RISE_STEP = 0.01
FALL_STEP = 0.02
COMFORTABLE_SHARE = 0.85
#: Below this use the limit was not what held requests back.
USED_SHARE = 0.8
LEAST_SAMPLES = 8
WINDOW_S = 0.5
LONGEST_WINDOW_S = 3.0


class ConcurrencyLimit:
    """The requests that may be in flight from this VM at one pool.

    :param floor: never less than this.
    :param ceiling: never more than this.
    :param start: where to begin; the ceiling by default.
    """

    __slots__ = (
        "_ceiling",
        "_changed_at",
        "_clock",
        "_comfortable",
        "_floor",
        "_late",
        "_limit",
        "_most_used",
        "_samples",
        "_undisturbed",
    )

    def __init__(
        self,
        clock: clocks.Clock,
        floor: int = 1,
        ceiling: int = 64,
        start: int | None = None,
    ) -> None:
        self._clock = clock
        self._floor = max(1, floor)
        self._ceiling = max(self._floor, ceiling)
        self._limit = 0.0
        self._set(float(ceiling if start is None else start))
        self._changed_at = clock.now()
        self._samples = 0
        self._late = 0
        self._comfortable = 0
        self._most_used = 0
        #: Part of the target that an undisturbed first token takes.
        self._undisturbed = 0.0

    @property
    def limit(self) -> int:
        """Requests that may be in flight."""
        return int(self._limit)

    @property
    def floor(self) -> int:
        """The least that the limit falls to."""
        return self._floor

    @property
    def ceiling(self) -> int:
        """The most that the limit rises to."""
        return self._ceiling

    def set_bounds(self, floor: int, ceiling: int) -> None:
        """Take over new bounds, as when runners come and go.

        Capacity that is lost takes the learned limit down in proportion at
        once: latency would tell only after the overload has begun.
        """
        floor = max(1, floor)
        ceiling = max(floor, ceiling)
        if ceiling < self._ceiling:
            self._limit *= ceiling / self._ceiling
        at_ceiling = self._limit >= self._ceiling
        self._floor = floor
        self._ceiling = ceiling
        self._set(float(ceiling) if at_ceiling else self._limit)

    def observe(
        self, admitted_at: float, first_token_s: float, target_s: float
    ) -> None:
        """Learn from a first token.

        :param admitted_at: samples from before the last change are not
            counted, for they tell of the limit that was.
        """
        part = first_token_s / target_s
        self._learn_undisturbed(part)
        if admitted_at < self._changed_at:
            return
        late = min(1.0, max(LATE_PART, LATE_FACTOR * self._undisturbed))
        self._samples += 1
        self._late += part > late
        self._comfortable += part <= COMFORT * late

    def failed(self, admitted_at: float) -> None:
        """Learn from a request that got no first token in time."""
        if admitted_at >= self._changed_at:
            self._samples += 1
            self._late += 1

    def used(self, in_flight: int) -> None:
        """Note how many requests are in flight."""
        self._most_used = max(self._most_used, in_flight)

    def update(self) -> None:
        """Change the limit when enough has been seen."""
        age_s = self._clock.now() - self._changed_at
        enough = self._samples >= LEAST_SAMPLES and age_s >= WINDOW_S
        if not enough and not (self._samples and age_s >= LONGEST_WINDOW_S):
            return
        late = self._late / self._samples
        comfortable = self._comfortable / self._samples
        if late >= VERY_LATE_SHARE:
            self._change(self._limit * STRONG_DECREASE)
        elif late > LATE_SHARE:
            self._change(self._limit * DECREASE)
        elif comfortable < COMFORTABLE_SHARE or not self._was_used():
            self._reset()
        else:
            self._change(self._limit + max(1.0, math.sqrt(self._limit) / 2))

    def _learn_undisturbed(self, part: float) -> None:
        """Learn how long a first token takes when nothing is in its way.

        It rises only while the limit is at its floor. What is seen above
        that may be the wait that the limit is there to prevent, and a limit
        that takes such a wait for normal never falls.
        """
        if part < self._undisturbed:
            self._undisturbed = max(part, self._undisturbed - FALL_STEP)
        elif self._limit <= self._floor:
            self._undisturbed = min(part, self._undisturbed + RISE_STEP)

    def _was_used(self) -> bool:
        return self._most_used >= USED_SHARE * self._limit

    def _change(self, limit: float) -> None:
        self._set(limit)
        self._changed_at = self._clock.now()
        self._reset()

    def _set(self, limit: float) -> None:
        self._limit = min(float(self._ceiling), max(float(self._floor), limit))

    def _reset(self) -> None:
        self._samples = 0
        self._late = 0
        self._comfortable = 0
        self._most_used = 0
