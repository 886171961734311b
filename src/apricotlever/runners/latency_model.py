"""A latency model of a class of runners, learned from observed requests.

Prefill is the computation over the tokens of a prompt that the runner does not
have cached; decoding produces the tokens of the answer one by one.
"""

#: Weight of a new sample in the moving averages.
LEARNING_RATE = 0.05
#: A first token shows the prefill time if the prompt has at least this many
#: uncached tokens; otherwise it shows the base time.
MIN_PREFILL_TOKENS = 128
#: Estimates until the first samples; the attributes of the model of the same
#: names explain them.
DEFAULT_BASE_S = 0.03
DEFAULT_PREFILL_S_PER_TOKEN = 1 / 8000
DEFAULT_DECODE_S_PER_TOKEN = 0.03
DEFAULT_HOLD_S = 3.0
#: A sample is capped at this multiple of the current estimate, so that one
#: request delayed by a pause does not distort the estimate.
MAX_SAMPLE_RATIO = 4.0
#: Relative increase of the prefill time from an empty to a full batch.
BATCH_SLOWDOWN = 0.5


class LatencyModel:
    """Latencies of the runners of one pool and machine class.

    The public attributes are in seconds: ``base_s`` is the time to the first
    token of a fully cached prompt, ``prefill_s_per_token`` the time for a
    prompt token, ``decode_s_per_token`` the time for an answer token, and
    ``hold_s`` the time for which a request occupies its slot.
    """

    __slots__ = (
        "base_s",
        "prefill_s_per_token",
        "decode_s_per_token",
        "hold_s",
    )

    def __init__(self) -> None:
        self.base_s = DEFAULT_BASE_S
        self.prefill_s_per_token = DEFAULT_PREFILL_S_PER_TOKEN
        self.decode_s_per_token = DEFAULT_DECODE_S_PER_TOKEN
        self.hold_s = DEFAULT_HOLD_S

    def observe_first_token(
        self, seconds: float, uncached_tokens: int, fill: float
    ) -> None:
        """Learn from a first token of a request that did not queue.

        :param seconds: time from the start of the request to the token.
        :param uncached_tokens: prompt tokens that had to be prefilled.
        :param fill: share of the runner's slots that were in use.
        """
        unloaded_s = seconds / (1.0 + BATCH_SLOWDOWN * min(1.0, fill))
        if uncached_tokens < MIN_PREFILL_TOKENS:
            prefill_s = uncached_tokens * self.prefill_s_per_token
            sample = max(0.0, unloaded_s - prefill_s)
            self.base_s = _smoothed(self.base_s, sample)
            return
        sample = max(0.0, unloaded_s - self.base_s) / uncached_tokens
        self.prefill_s_per_token = _smoothed(self.prefill_s_per_token, sample)

    def observe_finished(
        self, held_s: float, decoding_s: float, tokens: int
    ) -> None:
        """Learn from a request that was answered.

        :param held_s: seconds from the start to the end.
        :param decoding_s: seconds from the first token to the end.
        :param tokens: tokens of the answer, 0 if unknown.
        """
        self.hold_s = _smoothed(self.hold_s, held_s)
        if tokens > 1:
            self.decode_s_per_token = _smoothed(
                self.decode_s_per_token, decoding_s / (tokens - 1)
            )


def _smoothed(estimate: float, sample: float) -> float:
    """The exponential moving average after a sample, which is capped.

    :param estimate: the average before the sample.
    """
    capped = min(sample, MAX_SAMPLE_RATIO * estimate + 1e-9)
    return estimate + LEARNING_RATE * (capped - estimate)
