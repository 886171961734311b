"""Predicts the request rate for the time when an ordered runner is ready."""

import collections

from .. import clock as clocks

#: Window of the trend and of the peak rate, in seconds.
TREND_WINDOW_S = 600.0
#: Time constant of the smoothing, in seconds.
SMOOTHING_S = 60.0


class DemandForecast:
    """Smooths the request rate and extrapolates its trend.

    :param lead_s: time from the order of a runner until it serves, in seconds;
        the trend is extrapolated so far.
    """

    __slots__ = ("_clock", "_lead_s", "_samples", "_smoothed", "_observed_at")

    def __init__(self, clock: clocks.Clock, lead_s: float) -> None:
        self._clock = clock
        self._lead_s = lead_s
        self._samples: collections.deque[tuple[float, float]] = (
            collections.deque()
        )
        self._smoothed: float | None = None
        self._observed_at = clock.now()

    @property
    def smoothed(self) -> float:
        """The smoothed rate, in requests per second."""
        return self._smoothed or 0.0

    def observe(self, rate: float) -> None:
        """Record the mean rate since the last observation."""
        now = self._clock.now()
        if self._smoothed is None:
            self._smoothed = rate
        gain = min(1.0, (now - self._observed_at) / SMOOTHING_S)
        self._smoothed += gain * (rate - self._smoothed)
        self._observed_at = now
        self._samples.append((now, self._smoothed))
        while self._samples[0][0] < now - TREND_WINDOW_S:
            self._samples.popleft()

    def predicted_rate(self) -> float:
        """The expected rate when a runner ordered now is ready.

        A falling trend is ignored, so that the result is never below the
        present smoothed rate.
        """
        return self.smoothed + max(0.0, self._slope()) * self._lead_s

    def peak_rate(self) -> float:
        """The highest smoothed rate of the last :data:`TREND_WINDOW_S`."""
        return max((rate for _, rate in self._samples), default=0.0)

    def _slope(self) -> float:
        """The trend of the smoothed rate, in requests per second per second.

        It is the slope of the linear regression over :data:`TREND_WINDOW_S`.
        """
        count = len(self._samples)
        if count < 2:
            return 0.0
        mean_at = sum(at for at, _ in self._samples) / count
        mean_rate = sum(rate for _, rate in self._samples) / count
        variance = sum((at - mean_at) ** 2 for at, _ in self._samples)
        covariance = sum(
            (at - mean_at) * (rate - mean_rate) for at, rate in self._samples
        )
        return covariance / variance if variance > 0 else 0.0
