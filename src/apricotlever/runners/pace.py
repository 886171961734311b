"""How fast a kind of runner works, learned from what was observed."""

LEARNING_RATE = 0.05
LEAST_PREFILL_TOKENS = 128
DEFAULT_BASE_S = 0.03
DEFAULT_PREFILL_S = 1 / 8000
DEFAULT_DECODE_S = 0.03
DEFAULT_HOLD_S = 3.0
#: A sample counts at most this many times the value learned so far, so one
#: request behind a pause doesn't spoil the estimate for all others.
LARGEST_STEP = 4.0
#: A full batch prefills this much slower than an empty one.
BATCH_SLOWDOWN = 0.5


class Pace:
    """Rates of the runners of one pool and machine class.

    Public slots, in seconds: ``base_s`` to the first token of a fully
    cached prompt, ``prefill_s`` for a prompt token, ``decode_s`` for an
    answer token, ``hold_s`` for which a request keeps its slot.
    """

    __slots__ = ("base_s", "prefill_s", "decode_s", "hold_s")

    def __init__(self) -> None:
        self.base_s = DEFAULT_BASE_S
        self.prefill_s = DEFAULT_PREFILL_S
        self.decode_s = DEFAULT_DECODE_S
        self.hold_s = DEFAULT_HOLD_S

    def first_token(
        self, seconds: float, uncached_tokens: int, fill: float
    ) -> None:
        """Learn from a first token that did not wait in a queue.

        :param uncached_tokens: that had to be prefilled.
        :param fill: share of the runner's slots that were taken.
        """
        worked_s = seconds / (1.0 + BATCH_SLOWDOWN * min(1.0, fill))
        if uncached_tokens < LEAST_PREFILL_TOKENS:
            prefill_s = uncached_tokens * self.prefill_s
            sample = max(0.0, worked_s - prefill_s)
            self.base_s = _towards(self.base_s, sample)
            return
        sample = max(0.0, worked_s - self.base_s) / uncached_tokens
        self.prefill_s = _towards(self.prefill_s, sample)

    def finished(self, held_s: float, decoding_s: float, tokens: int) -> None:
        """Learn from a request that ended well.

        :param held_s: from the start to the end.
        :param decoding_s: from the first token to the end.
        :param tokens: of the answer, 0 when not known.
        """
        self.hold_s = _towards(self.hold_s, held_s)
        if tokens > 1:
            self.decode_s = _towards(self.decode_s, decoding_s / (tokens - 1))


def _towards(known: float, sample: float) -> float:
    """Move an estimate a step towards a sample."""
    capped = min(sample, LARGEST_STEP * known + 1e-9)
    return known + LEARNING_RATE * (capped - known)
