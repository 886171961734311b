"""Looks ahead by as long as it takes to start a runner."""

import collections

from .. import clock as clocks

WINDOW_S = 600.0
SMOOTHING_S = 60.0


class DemandForecast:
    """Smooths a rate and follows its trend.

    :param lead_s: how far to look ahead.
    """

    __slots__ = ("_clock", "_lead_s", "_samples", "_smooth", "_at")

    def __init__(self, clock: clocks.Clock, lead_s: float) -> None:
        self._clock = clock
        self._lead_s = lead_s
        self._samples: collections.deque[tuple[float, float]] = (
            collections.deque()
        )
        self._smooth: float | None = None
        self._at = clock.now()

    @property
    def smooth(self) -> float:
        """The rate now, without its fastest swings."""
        return self._smooth or 0.0

    def observe(self, rate: float) -> None:
        """Note the rate since the last observation."""
        now = self._clock.now()
        if self._smooth is None:
            self._smooth = rate
        gain = min(1.0, (now - self._at) / SMOOTHING_S)
        self._smooth += gain * (rate - self._smooth)
        self._at = now
        self._samples.append((now, self._smooth))
        while self._samples[0][0] < now - WINDOW_S:
            self._samples.popleft()

    def ahead(self) -> float:
        """The rate to expect when a runner ordered now is ready.

        A falling trend is not followed, so it is never below the present.
        """
        return self.smooth + max(0.0, self._slope()) * self._lead_s

    def highest(self) -> float:
        """The highest rate of the last minutes."""
        return max((rate for _, rate in self._samples), default=0.0)

    def _slope(self) -> float:
        count = len(self._samples)
        if count < 2:
            return 0.0
        mean_at = sum(at for at, _ in self._samples) / count
        mean_rate = sum(rate for _, rate in self._samples) / count
        spread = sum((at - mean_at) ** 2 for at, _ in self._samples)
        shared = sum(
            (at - mean_at) * (rate - mean_rate) for at, rate in self._samples
        )
        return shared / spread if spread > 0 else 0.0
