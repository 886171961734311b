"""Measures how the runners of each service process this VM's prompts."""

import typing

from .. import clock as clocks
from ..data_centres import prefill_load
from ..data_centres import prompt_sizes
from ..runners import model as models

#: Minimum number of this VM's waiting prompts that are taken as a sample of
#: those of all VMs.
MIN_WAITING_PROMPTS = 4


class _WaitingPrompt:
    """A prompt that was sent and has no response yet.

    :param tokens: its uncached tokens.
    :param sent_at: when it was sent, by this VM's clock.
    :param level: its level in the engine's queue.
    """

    __slots__ = ("meter", "objective_s", "tokens", "sent_at", "level")

    def __init__(
        self,
        meter: prefill_load.PrefillMeter,
        objective_s: float,
        tokens: int,
        sent_at: float,
        level: int,
    ) -> None:
        self.meter = meter
        self.objective_s = objective_s
        self.tokens = tokens
        self.sent_at = sent_at
        self.level = level


class PromptMeters:
    """The prefill meters of all services, by the attempts of this VM.

    :param clock: the source of time.
    """

    __slots__ = ("_clock", "_meters", "_sizes", "_waiting")

    def __init__(self, clock: clocks.Clock) -> None:
        self._clock = clock
        self._meters: dict[str, prefill_load.PrefillMeter] = {}
        self._sizes = prompt_sizes.PromptSizes(clock)
        #: Prompts without a response, by the name of the attempt.
        self._waiting: dict[str, _WaitingPrompt] = {}

    @property
    def sizes(self) -> prompt_sizes.PromptSizes:
        """Sizes of the prompts of all VMs, including this one."""
        return self._sizes

    @property
    def measurements(self) -> dict[str, tuple[int, float, float]]:
        """How runners process this VM's prompts (prefill), by service.

        :returns: uncached prompt tokens sent since the start, a runner's
            prefill speed in tokens per second, and the mean ratio of the time
            to the first byte to the route's objective for it.
        """
        return {
            name: (work.total_tokens, work.prefill_speed, work.latency_ratio)
            for name, work in self._meters.items()
        }

    def meter(self, service: str) -> prefill_load.PrefillMeter:
        """The meter of a service's runners."""
        return self._meters.setdefault(service, prefill_load.PrefillMeter())

    def token_s(self, service: str) -> float:
        """Seconds of a token's prefill by a runner; 0 while unknown."""
        meter = self._meters.get(service)
        if meter is None or not meter.prefill_speed:
            return 0.0
        return 1.0 / meter.prefill_speed

    def waiting_share(
        self, service: str, level: int, min_wait_s: float
    ) -> float | None:
        """The part of the waiting tokens that a call of a level waits for.

        It is estimated from this VM's own prompts.

        :param min_wait_s: how long one of the prompts of the same or a lower
            level must have waited already, in seconds.
        :returns: the tokens of the same and lower levels divided by all; None
            if too few prompts wait, or for too short a time, to tell.
        """
        meter = self._meters.get(service)
        waiting = [p for p in self._waiting.values() if p.meter is meter]
        tokens = sum(prompt.tokens for prompt in waiting)
        if len(waiting) < MIN_WAITING_PROMPTS or not tokens:
            return None
        before = [prompt for prompt in waiting if prompt.level <= level]
        sent_by = self._clock.now() - min_wait_s
        if not any(prompt.sent_at <= sent_by for prompt in before):
            return None
        return sum(prompt.tokens for prompt in before) / tokens

    def limited_away(
        self, service: str, limits: typing.Sequence[float]
    ) -> float:
        """How many runners' worth of a service its limited runners don't take.

        :param limits: the limit of each of them, in calls a second.
        """
        # A meter without a prompt would count as a load that was observed.
        meter = self._meters.get(service)
        if meter is None:
            return 0.0
        return sum(1.0 - meter.runner_share(limit) for limit in limits)

    def record_sent(
        self, attempt: str, service: str, query: models.Query, tokens: int
    ) -> None:
        """Record that a prompt was sent to a runner.

        :param attempt: name of the attempt.
        :param tokens: uncached tokens of the prompt.
        """
        meter = self.meter(service)
        meter.record_sent(tokens)
        self._sizes.record(service, tokens)
        self._waiting[attempt] = _WaitingPrompt(
            meter,
            query.wanted_first_token_s,
            tokens,
            self._clock.now(),
            query.priority,
        )

    def record_response(self, attempt: str) -> None:
        """Record that the response of an attempt has begun."""
        prompt = self._waiting.pop(attempt, None)
        if prompt is not None:
            prompt.meter.record_first_answer(
                prompt.tokens,
                self._clock.now() - prompt.sent_at,
                prompt.objective_s,
            )

    def record_end(self, attempt: str) -> None:
        """Record the end of an attempt, which may have had no response."""
        self._waiting.pop(attempt, None)
