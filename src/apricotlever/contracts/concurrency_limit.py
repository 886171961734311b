"""A limit of requests in flight that adapts to latency.

Too few requests in flight leave runners idle. Too many wait in the runners'
own queues, where they can be neither reordered nor refused. The limit rises
while first tokens arrive within the target and falls when they don't.

The latency of a first token is compared with the target of its class as a
fraction, so that requests of different classes adjust the same limit. The
samples are collected in a window, and each decision to change or keep the
limit discards them.
"""

import math

from .. import clock as clocks

#: The limit is multiplied by DECREASE_FACTOR if more than the first fraction
#: of the samples is late, and by STRONG_DECREASE_FACTOR if at least the second
#: fraction is.
DECREASE_LATE_FRACTION = 0.1
STRONG_DECREASE_LATE_FRACTION = 0.4
DECREASE_FACTOR = 0.9
STRONG_DECREASE_FACTOR = 0.7
#: A first token is late if it takes more than this fraction of its target.
#: The rest of the target is for the queue before the limit and for
#: unforeseen delays.
LATE_TARGET_FRACTION = 0.5
#: Long prompts may take more than LATE_TARGET_FRACTION of the target on idle
#: runners. Then a first token is late only if it takes this many times the
#: baseline latency, the latency without queueing; beyond the target, it is
#: always late.
LATE_BASELINE_FACTOR = 2.5
#: A first token is early if it takes at most this fraction of the latency at
#: which it would be late. The limit rises only if enough are early.
EARLY_FACTOR = 0.7
#: The largest changes of the baseline latency per first token, as fractions
#: of the target.
BASELINE_RISE_STEP = 0.01
BASELINE_FALL_STEP = 0.02
#: The fraction of the samples that must be early for the limit to rise.
INCREASE_EARLY_FRACTION = 0.85
#: The limit rises only if the requests in flight reached this fraction of it.
#: Otherwise it was not the limit that delayed requests.
MIN_UTILIZATION = 0.8
#: The limit may change once there are this many samples and this many seconds
#: have passed since its last change, or after MAX_WINDOW_S with any sample.
MIN_SAMPLES = 8
MIN_WINDOW_S = 0.5
MAX_WINDOW_S = 3.0


class ConcurrencyLimit:
    """The number of requests from this VM that may be in flight at a pool.

    :param clock: the source of time.
    :param floor: the least value of the limit.
    :param ceiling: the greatest value of the limit.
    :param start: the initial limit; the ceiling by default.
    """

    __slots__ = (
        "_ceiling",
        "_changed_at",
        "_clock",
        "_early_samples",
        "_floor",
        "_late_samples",
        "_limit",
        "_peak_in_flight",
        "_samples",
        "_baseline",
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
        self._set_clamped(float(ceiling if start is None else start))
        self._changed_at = clock.now()
        self._samples = 0
        self._late_samples = 0
        self._early_samples = 0
        self._peak_in_flight = 0
        #: Baseline latency: the fraction of the target that a first token
        #: takes without queueing at the runners.
        self._baseline = 0.0

    @property
    def limit(self) -> int:
        """The number of requests that may be in flight."""
        return int(self._limit)

    @property
    def floor(self) -> int:
        """The least value of the limit."""
        return self._floor

    @property
    def ceiling(self) -> int:
        """The greatest value of the limit."""
        return self._ceiling

    def set_bounds(self, floor: int, ceiling: int) -> None:
        """Change the bounds, for example when runners join or leave.

        A lower ceiling reduces the limit in proportion at once, because
        latency would show the lost capacity only after the overload has
        begun.
        """
        floor = max(1, floor)
        ceiling = max(floor, ceiling)
        if ceiling < self._ceiling:
            self._limit *= ceiling / self._ceiling
        at_ceiling = self._limit >= self._ceiling
        self._floor = floor
        self._ceiling = ceiling
        self._set_clamped(float(ceiling) if at_ceiling else self._limit)

    def record_first_token(
        self, admitted_at: float, first_token_s: float, target_s: float
    ) -> None:
        """Record the latency of a first token.

        :param admitted_at: when the request was admitted; requests admitted
            before the last change of the limit are not counted, because
            they show the effect of the previous limit.
        :param first_token_s: seconds from admission to the first token.
        :param target_s: the target for that time, in seconds.
        """
        fraction = first_token_s / target_s
        self._update_baseline(fraction)
        if admitted_at < self._changed_at:
            return
        late = min(
            1.0,
            max(LATE_TARGET_FRACTION, LATE_BASELINE_FACTOR * self._baseline),
        )
        self._samples += 1
        self._late_samples += fraction > late
        self._early_samples += fraction <= EARLY_FACTOR * late

    def record_failure(self, admitted_at: float) -> None:
        """Count a request that failed before its first token as late.

        :param admitted_at: when the request was admitted; requests admitted
            before the last change of the limit are not counted.
        """
        if admitted_at >= self._changed_at:
            self._samples += 1
            self._late_samples += 1

    def record_in_flight(self, in_flight: int) -> None:
        """Record how many requests are in flight now.

        The limit rises only if this number came close to the limit.
        """
        self._peak_in_flight = max(self._peak_in_flight, in_flight)

    def update(self) -> None:
        """Raise or lower the limit if the window has enough samples."""
        age_s = self._clock.now() - self._changed_at
        enough = self._samples >= MIN_SAMPLES and age_s >= MIN_WINDOW_S
        if not enough and not (self._samples and age_s >= MAX_WINDOW_S):
            return
        late = self._late_samples / self._samples
        early = self._early_samples / self._samples
        if late >= STRONG_DECREASE_LATE_FRACTION:
            self._change_limit(self._limit * STRONG_DECREASE_FACTOR)
        elif late > DECREASE_LATE_FRACTION:
            self._change_limit(self._limit * DECREASE_FACTOR)
        elif early < INCREASE_EARLY_FRACTION or not self._was_utilized():
            self._start_window()
        else:
            self._change_limit(
                self._limit + max(1.0, math.sqrt(self._limit) / 2)
            )

    def _update_baseline(self, fraction: float) -> None:
        """Move the baseline latency towards the latency of one first token.

        The baseline is an estimate of the latency without queueing, as a
        fraction of the target. The baseline rises only while the limit is at
        its floor. Above the floor, a higher latency may be the queueing that
        the limit is there to prevent, and a limit whose baseline includes
        queueing never falls.
        """
        if fraction < self._baseline:
            self._baseline = max(fraction, self._baseline - BASELINE_FALL_STEP)
        elif self._limit <= self._floor:
            self._baseline = min(fraction, self._baseline + BASELINE_RISE_STEP)

    def _was_utilized(self) -> bool:
        return self._peak_in_flight >= MIN_UTILIZATION * self._limit

    def _change_limit(self, limit: float) -> None:
        self._set_clamped(limit)
        self._changed_at = self._clock.now()
        self._start_window()

    def _set_clamped(self, limit: float) -> None:
        self._limit = min(float(self._ceiling), max(float(self._floor), limit))

    def _start_window(self) -> None:
        self._samples = 0
        self._late_samples = 0
        self._early_samples = 0
        self._peak_in_flight = 0
