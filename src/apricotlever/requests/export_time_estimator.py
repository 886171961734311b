"""Estimates the time to export a stream's state and import it elsewhere.

The estimate decides whether a stream can be exported before its runner is
reclaimed.
"""

FIXED_S = 0.1
PER_TOKEN_S = 5e-5
RATIO_GAIN = 0.125
DEVIATION_GAIN = 0.25
DEVIATIONS = 2.0


class ExportTimeEstimator:
    """Pessimistic estimate of move times, learned from past moves.

    Each measured time is divided by the time that a linear model predicts for
    its number of tokens, so that short streams also improve the estimate for
    long ones. The estimate is the smoothed ratio plus twice its deviation, as
    in TCP's retransmission timer.
    """

    __slots__ = ("_ratio", "_deviation", "_samples")

    def __init__(self) -> None:
        self._ratio = 1.0
        self._deviation = 0.5
        self._samples = 0

    @property
    def samples(self) -> int:
        """Number of observed moves."""
        return self._samples

    def estimate_s(self, tokens: int) -> float:
        """Return an upper estimate of the move time, in seconds.

        :param tokens: number of tokens in the state to move.
        """
        ratio = self._ratio + DEVIATIONS * self._deviation
        return ratio * _predicted_s(tokens)

    def observe(self, tokens: int, seconds: float) -> None:
        """Update the estimate with the measured time of a successful move.

        :param tokens: number of tokens in the state that was moved.
        :param seconds: the measured time.
        """
        ratio = seconds / _predicted_s(tokens)
        self._samples += 1
        if self._samples == 1:
            self._ratio, self._deviation = ratio, ratio / 2
            return
        error = ratio - self._ratio
        self._ratio += RATIO_GAIN * error
        self._deviation += DEVIATION_GAIN * (abs(error) - self._deviation)

    def observe_timeout(self) -> None:
        """Raise the estimate after a move that timed out."""
        self._deviation += self._ratio


def _predicted_s(tokens: int) -> float:
    return FIXED_S + PER_TOKEN_S * tokens
