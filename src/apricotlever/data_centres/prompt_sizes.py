"""The sizes of the uncached part of prompts, over the whole fleet.

Each VM counts the prompts that it sends. The counts are added up as described
in :mod:`~apricotlever.vms.shared_samples`; every VM keeps the sums, so that a
new holder of the duty to order runners knows them at once.
"""

import collections
import typing

from .. import clock as clocks
from .. import decay

#: Topic of the counts in the shared samples; the keys are services.
TOPIC = "prompt_sizes"
#: Time after which a sample's weight has halved, in seconds. Shorter ones see
#: too few of the rare long prompts that determine the variation.
HALF_LIFE_S = 20.0
#: Weight of the samples of a service from which its sizes count as known.
MIN_SAMPLES = 20.0
#: Upper limit of a prompt's uncached tokens. Callers state the size; the sum
#: of the squares of a second must remain an integer that a record may carry.
MAX_TOKENS = 1_000_000
#: Upper limit of the prompts in one count, to recognise invalid counts.
MAX_PROMPTS = 1_000_000

#: Counts of prompts, of their tokens, and of the squares of these.
_COUNTS = 3


class SizeSummary:
    """Sizes of a service's prompts.

    :param samples: weight of the samples.
    :param mean_tokens: mean of their uncached tokens.
    :param variation: squared coefficient of variation of these.
    """

    __slots__ = ("samples", "mean_tokens", "variation")

    def __init__(
        self, samples: float, mean_tokens: float, variation: float
    ) -> None:
        self.samples = samples
        self.mean_tokens = mean_tokens
        self.variation = variation

    @property
    def is_known(self) -> bool:
        """Whether there are enough samples to rely on."""
        return self.samples >= MIN_SAMPLES and self.mean_tokens > 0.0


class _DecayedSums:
    """Sums of prompts, tokens and squares, decayed to the time ``at``."""

    __slots__ = ("at", "sums")

    def __init__(self, at: float) -> None:
        self.at = at
        self.sums = [0.0] * _COUNTS

    def decay(self, now: float) -> None:
        factor = decay.decay_factor(now - self.at, HALF_LIFE_S)
        self.sums = [factor * value for value in self.sums]
        self.at = now


class PromptSizes:
    """Sums of the sizes of prompts, by service."""

    __slots__ = ("_clock", "_sums", "_unsent")

    def __init__(self, clock: clocks.Clock) -> None:
        self._clock = clock
        self._sums: dict[str, _DecayedSums] = {}
        self._unsent: dict[str, list[int]] = collections.defaultdict(
            lambda: [0] * _COUNTS
        )

    def record(self, service: str, tokens: int) -> None:
        """Record a prompt that this VM sends.

        :param tokens: its uncached tokens.
        """
        tokens = min(max(0, tokens), MAX_TOKENS)
        unsent = self._unsent[service]
        unsent[0] += 1
        unsent[1] += tokens
        unsent[2] += tokens * tokens

    def take_samples(
        self, services: typing.Container[str]
    ) -> dict[str, dict[str, list[int]]]:
        """Remove the counts to be sent, and add them to this VM's sums.

        :param services: the services whose counts are of use; those of the
            others are dropped.
        :returns: the counts by topic and service; empty without any.
        """
        taken = {
            service: counts
            for service, counts in self._unsent.items()
            if service in services
        }
        self._unsent.clear()
        if not taken:
            return {}
        for service, counts in taken.items():
            self._add(service, counts)
        return {TOPIC: taken}

    def merge(
        self,
        samples: typing.Mapping[
            str, typing.Mapping[str, typing.Sequence[int]]
        ],
        services: typing.Container[str],
    ) -> None:
        """Add counts of other VMs; invalid ones are ignored.

        :param samples: counts by topic and service.
        :param services: the services whose counts are of use.
        """
        for service, counts in samples.get(TOPIC, {}).items():
            if service in services and _are_valid(counts):
                self._add(service, counts)

    def retain_services(self, services: typing.Container[str]) -> None:
        """Drop the sums of all other services."""
        for service in [s for s in self._sums if s not in services]:
            del self._sums[service]

    def summary(self, service: str) -> SizeSummary:
        """The sizes of a service's prompts, without those not yet taken."""
        known = self._sums.get(service)
        if known is None:
            return SizeSummary(0.0, 0.0, 0.0)
        known.decay(self._clock.now())
        prompts, tokens, squares = known.sums
        if prompts <= 0.0 or tokens <= 0.0:
            return SizeSummary(prompts, 0.0, 0.0)
        variation = max(0.0, prompts * squares / tokens**2 - 1.0)
        return SizeSummary(prompts, tokens / prompts, variation)

    def _add(self, service: str, counts: typing.Sequence[int]) -> None:
        now = self._clock.now()
        known = self._sums.setdefault(service, _DecayedSums(now))
        known.decay(now)
        known.sums = [
            value + count
            for value, count in zip(known.sums, counts, strict=True)
        ]


def _are_valid(counts: typing.Sequence[int]) -> bool:
    """Whether counts can be those of prompts within the bounds."""
    if len(counts) != _COUNTS:
        return False
    prompts, tokens, squares = counts
    return (
        0 < prompts <= MAX_PROMPTS
        and 0 <= tokens <= prompts * MAX_TOKENS
        # The mean of squares is at least the square of the mean.
        and tokens * tokens <= prompts * squares
        and squares <= tokens * MAX_TOKENS
    )
