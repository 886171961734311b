"""Learns how long it takes to move a stream's state between runners."""

FIXED_S = 0.1
PER_TOKEN_S = 5e-5
GAIN = 0.125
DEVIATION_GAIN = 0.25
DEVIATIONS = 2.0


class ExportTimes:
    """A careful estimate from the moves seen so far.

    Moves are compared with a rough model of their size, so that a short
    stream's time says something about a long one's. The estimate is the
    smoothed ratio plus twice its deviation, as in TCP's retransmission
    timer.
    """

    __slots__ = ("_ratio", "_deviation", "_samples")

    def __init__(self) -> None:
        self._ratio = 1.0
        self._deviation = 0.5
        self._samples = 0

    @property
    def samples(self) -> int:
        """How many moves were observed."""
        return self._samples

    def estimate_s(self, tokens: int) -> float:
        """Seconds that a move of this many tokens should stay below."""
        ratio = self._ratio + DEVIATIONS * self._deviation
        return ratio * _model_s(tokens)

    def observe(self, tokens: int, seconds: float) -> None:
        """Learn from a move that succeeded."""
        ratio = seconds / _model_s(tokens)
        self._samples += 1
        if self._samples == 1:
            self._ratio, self._deviation = ratio, ratio / 2
            return
        error = ratio - self._ratio
        self._ratio += GAIN * error
        self._deviation += DEVIATION_GAIN * (abs(error) - self._deviation)

    def failed(self) -> None:
        """Learn from a move that timed out: it takes longer than thought."""
        self._deviation += self._ratio


def _model_s(tokens: int) -> float:
    return FIXED_S + PER_TOKEN_S * tokens
