"""The simulated calls of a customer, with short and long prompts."""

import random

#: The limit in tokens per second, and its burst in tokens.
RATE_TOKENS_PER_S = 150000.0
BURST_TOKENS = 150000.0
#: Fraction of the calls that have a short prompt.
SHORT_FRACTION = 0.78
#: Tokens of a call with a short and with a long prompt: the mean of a
#: log-normal variable, the standard deviation of its logarithm, and a constant
#: that is added to it.
SHORT_PROMPT = (1700.0, 0.8, 100.0)
LONG_PROMPT = (6500.0, 1.0, 5700.0)
MAX_TOKENS = 56000.0
#: Calls arrive in clusters of this many calls within this many seconds.
CALLS_PER_CLUSTER = 3
CLUSTER_S = 0.01
#: A call with this many tokens or more counts as large.
LARGE_PROMPT_TOKENS = 12000.0


class Call:
    """A call of the customer.

    :param at: the time of the call, in seconds after the warm-up.
    :param units: the tokens of the call.
    """

    __slots__ = ("at", "units")

    def __init__(self, at: float, units: float) -> None:
        self.at = at
        self.units = units


def _draw_tokens(rng: random.Random) -> float:
    mean, sigma, offset = (
        SHORT_PROMPT if rng.random() < SHORT_FRACTION else LONG_PROMPT
    )
    varying = mean * rng.lognormvariate(-sigma * sigma / 2.0, sigma)
    return min(MAX_TOKENS, varying + offset)


def generate_calls(
    load: float, seconds: float, rng: random.Random
) -> list[Call]:
    """Generate calls for a multiple of the limit, ordered by time."""
    mean = SHORT_FRACTION * (SHORT_PROMPT[0] + SHORT_PROMPT[2])
    mean += (1.0 - SHORT_FRACTION) * (LONG_PROMPT[0] + LONG_PROMPT[2])
    calls = []
    at = 0.0
    while at < seconds:
        at += rng.expovariate(
            load * RATE_TOKENS_PER_S / mean / CALLS_PER_CLUSTER
        )
        for _ in range(CALLS_PER_CLUSTER):
            calls.append(
                Call(at + CLUSTER_S * rng.random(), _draw_tokens(rng))
            )
    return sorted(calls, key=lambda call: call.at)
