"""Decayed sums of observed latencies: means, and a line by prompt tokens."""

import typing

from .. import decay

from . import latency_model

#: Seconds after which a sample has half of its weight. Runners change their
#: speed with their machine's other load, within a minute.
HALF_LIFE_S = 20.0
#: Samples from which a line is computed.
MIN_SAMPLES = 20.0
#: Least ratio of the standard deviation of tokens to their mean with which the
#: seconds of a token can be told from those of a whole prompt. At a tenth of
#: this, seconds that vary by a quarter give the line an error of its own size.
MIN_SPREAD = 0.2
#: Multiple of the line to which a sample is limited. A runner that was seen
#: idle may have calls of other VMs that are not known here yet; while a third
#: of the samples is from idle runners, the line stays under half as much above
#: these.
MAX_LINE_RATIO = 1.25
#: How long a line is kept that can't be computed again for lack of samples, in
#: seconds. The defaults are off by a multiple, and a service whose calls come
#: in bursts would alternate between them and the line.
KEPT_S = 300.0
#: Units of the shared seconds.
SECOND_UNIT = 1e-6
#: Largest values of one call and number of calls in a message, which stands
#: for one second of a whole fleet's calls.
MAX_TOKENS = 4_000_000
MAX_SECONDS = 600.0
MAX_CALLS = 100_000
#: Length of the counts of a line: calls, tokens, seconds, squared tokens, and
#: products of tokens and seconds.
LINE_COUNTS = 5


class ServiceLatency(typing.NamedTuple):
    """The time to the first event: ``base_s`` + tokens * ``token_s``.

    ``samples`` is the decayed number of the calls that the line was computed
    from; 0.0 while the values are defaults.
    """

    base_s: float
    token_s: float
    samples: float


DEFAULT_LATENCY = ServiceLatency(
    latency_model.DEFAULT_BASE_S,
    latency_model.DEFAULT_PREFILL_S_PER_TOKEN,
    0.0,
)


class DecayedMean:
    """A mean whose samples lose weight with :data:`HALF_LIFE_S`."""

    __slots__ = ("_at", "_sum", "_weight")

    def __init__(self) -> None:
        self._at = 0.0
        self._sum = 0.0
        self._weight = 0.0

    @property
    def mean(self) -> float:
        """The mean; 0.0 without samples."""
        return self._sum / self._weight if self._weight else 0.0

    def weight(self, now: float) -> float:
        """The decayed number of samples."""
        return self._weight * decay.decay_factor(now - self._at, HALF_LIFE_S)

    def add(self, now: float, count: int, total: float) -> None:
        """Add samples.

        :param count: the number of the samples.
        :param total: their sum.
        """
        factor = decay.decay_factor(now - self._at, HALF_LIFE_S)
        self._weight = self._weight * factor + count
        self._sum = self._sum * factor + total
        self._at = now


class LatencyLine:
    """The least-squares line of one service."""

    __slots__ = ("_at", "_fitted_at", "_latency", "_sums")

    def __init__(self) -> None:
        self._at = 0.0
        self._fitted_at = float("-inf")
        self._latency = DEFAULT_LATENCY
        self._sums = [0.0] * LINE_COUNTS

    @property
    def has_samples(self) -> bool:
        """Whether there was ever a sample."""
        return bool(self._sums[0])

    def latency(self, now: float) -> ServiceLatency:
        """The line, or the defaults while there is none."""
        if now - self._fitted_at > KEPT_S:
            return DEFAULT_LATENCY
        samples = self._sums[0] * decay.decay_factor(
            now - self._at, HALF_LIFE_S
        )
        return self._latency._replace(samples=samples)

    def coefficients(self, now: float) -> tuple[float, float]:
        """``base_s`` and ``token_s`` of :meth:`latency`, without its cost."""
        kept = now - self._fitted_at <= KEPT_S
        return (self._latency if kept else DEFAULT_LATENCY)[:2]

    def expected_s(self, now: float, tokens: int) -> float | None:
        """The expected seconds of a prompt at a median runner.

        Prompts that are all alike give no line, but their mean is known.

        :returns: None if too few samples have arrived.
        """
        latency = self.latency(now)
        if latency is not DEFAULT_LATENCY:
            return latency.base_s + tokens * latency.token_s
        weight, total_tokens, seconds = self._sums[:3]
        if (
            weight * decay.decay_factor(now - self._at, HALF_LIFE_S)
            < MIN_SAMPLES
        ):
            return None
        default_s = latency.base_s * weight + total_tokens * latency.token_s
        return (
            (latency.base_s + tokens * latency.token_s) * seconds / default_s
        )

    def counts(self, now: float, tokens: int, seconds: float) -> list[int]:
        """One call as counts to be added here and at other VMs.

        The seconds are limited to a multiple of the estimate, so that a call
        that was delayed by a pause does not distort the line.
        """
        latency = self.latency(now)
        estimate_s = latency.base_s + tokens * latency.token_s
        ratio = (
            latency_model.MAX_SAMPLE_RATIO
            if latency is DEFAULT_LATENCY
            else MAX_LINE_RATIO
        )
        seconds = min(seconds, ratio * estimate_s, MAX_SECONDS)
        tokens = max(0, min(tokens, MAX_TOKENS))
        units = round(seconds / SECOND_UNIT)
        return [1, tokens, units, tokens * tokens, tokens * units]

    def add(self, now: float, counts: typing.Sequence[int]) -> None:
        """Add calls, and compute the line again if they suffice."""
        factor = decay.decay_factor(now - self._at, HALF_LIFE_S)
        units = (1.0, 1.0, SECOND_UNIT, 1.0, SECOND_UNIT)
        self._sums = [
            before * factor + count * unit
            for before, count, unit in zip(self._sums, counts, units)
        ]
        self._at = now
        fitted = _fit(*self._sums)
        if fitted is not None:
            self._latency = fitted
            self._fitted_at = now


def _fit(
    weight: float,
    tokens: float,
    seconds: float,
    squares: float,
    products: float,
) -> ServiceLatency | None:
    """The least-squares line; None if it is not determined by the samples."""
    if weight < MIN_SAMPLES:
        return None
    mean_tokens, mean_s = tokens / weight, seconds / weight
    variance = squares / weight - mean_tokens**2
    if variance <= max(1.0, (MIN_SPREAD * mean_tokens) ** 2):
        return None
    token_s = max(0.0, (products / weight - mean_tokens * mean_s) / variance)
    base_s = mean_s - token_s * mean_tokens
    if base_s < 0.0:
        # The best line through the origin.
        base_s, token_s = 0.0, products / squares
    return ServiceLatency(base_s, token_s, weight)


def are_ints(counts: typing.Sequence[typing.Any]) -> bool:
    """Whether all counts are integers, unlike nan or infinity."""
    return all(type(count) is int for count in counts)


def are_line_counts(counts: typing.Sequence[int]) -> bool:
    """Whether counts can be those of calls within the limits of one call."""
    if len(counts) != LINE_COUNTS or not are_ints(counts):
        return False
    calls, tokens, units, squares, products = counts
    return (
        0 < calls <= MAX_CALLS
        and 0 <= tokens <= calls * MAX_TOKENS
        and 0 <= units <= calls * MAX_SECONDS / SECOND_UNIT
        and tokens * tokens <= calls * squares
        and squares <= tokens * MAX_TOKENS
        and 0 <= products <= units * MAX_TOKENS
        and products * products <= squares * units * units
    )
