"""The runners of a router, with estimates of latency and cost for a query.

A query is a request that is to be routed. A runner's fill is the number of
requests that it would have in flight with the query, divided by the slots that
it may use: the requests that it runs concurrently, or fewer during its slow
start. Above 1.0, requests wait at the runner.
"""

import random

from .. import clock as clocks
from . import circuit_breaker
from . import latency_model as latency_model
from . import load
from . import model as models
from . import performance as performances

SECONDS_PER_HOUR = 3600.0
#: How long the parts of a runner's estimates that don't depend on the query
#: are reused if nothing changes, in seconds.
ESTIMATE_TTL_S = 0.25
#: Uncertainty of a runner's estimated fill, as a share of its slots. It is
#: caused by requests that other VMs have sent since the last load report.
FILL_UNCERTAINTY = 0.05


class MeanFill:
    """The moving average of the fill with which a pool's requests are sent.

    The learned latency of a service includes the slowdown by its usual batch,
    so only the difference from that is estimated for a runner.
    """

    __slots__ = ("_mean",)

    def __init__(self) -> None:
        self._mean = 0.0

    def observe(self, fill: float) -> None:
        """Add the fill of a runner to which a request is sent."""
        self._mean += latency_model.LEARNING_RATE * (
            min(1.0, fill) - self._mean
        )

    def slowdown(self, fill: float) -> float:
        """How much slower a batch is than the pool's usual one."""
        share = latency_model.BATCH_SLOWDOWN
        return (1.0 + share * min(1.0, fill)) / (1.0 + share * self._mean)


class Candidate:
    """A runner with its load, circuit breaker and latency model.

    The attributes ``first_token_s``, ``cost`` and ``cached_blocks`` hold the
    estimates for the query that is being routed. They are updated in place,
    and the parts that do not depend on the query are computed once in
    :data:`ESTIMATE_TTL_S`. Creating an object for each pair of runner and
    query would exceed the time budget of a routing decision.

    :param runner: the description of the runner.
    :param latency: the latency model of its pool and machine class.
    :param rng: the random source of the circuit breaker.
    :param warm: whether the runner skips its slow start.
    :param peers: the ratio of other VMs' requests to this VM's, which the
        runners of a pool share.
    :param performance: what all VMs have learned of the runners' speed; None
        if the estimates use what this VM has learned alone.
    :param mean_fill: the usual fill of the pool's runners, which these share.
    """

    __slots__ = (
        "runner",
        "name",
        "name_bytes",
        "load",
        "circuit",
        "latency",
        "leaving",
        "pending_tokens",
        "others_pending",
        "is_home",
        "is_local",
        "mean_fill",
        "slowness",
        "token_s",
        "uncached_tokens",
        "wait_s",
        "first_token_s",
        "cost",
        "cached_blocks",
        "fill",
        "usable",
        "_answer_price",
        "_base_price",
        "_fixed_s",
        "_fresh_until",
        "_performance",
        "_prefill_s_per_token",
        "_price_per_s",
        "_token_price",
    )

    def __init__(
        self,
        runner: models.Runner,
        latency: latency_model.LatencyModel,
        clock: clocks.Clock,
        rng: random.Random,
        warm: bool,
        peers: load.PeerRatio | None = None,
        performance: performances.RunnerPerformance | None = None,
        mean_fill: MeanFill | None = None,
    ) -> None:
        self.name = runner.name
        self.name_bytes = runner.name.encode()
        self.load = load.RunnerLoad(clock, runner.slots, peers)
        self.circuit = circuit_breaker.CircuitBreaker(clock, rng, warm)
        self.latency = latency
        #: Whether the runner is about to end and gets no new requests.
        self.leaving = False
        #: Uncached prompt tokens of this VM's requests at the runner that
        #: have no first token yet. A new request waits for their prefill, the
        #: computation over the prompt.
        self.pending_tokens = 0
        #: The same sum for the requests of the other VMs, as these reported
        #: it.
        self.others_pending = 0
        #: Whether this is the home runner of the query's shared prefix,
        #: which is selected by the hash of the prefix.
        self.is_home = False
        #: Whether the runner is in this VM's data centre.
        self.is_local = False
        #: Moving average of the ratio of the observed time to the first token
        #: to the modelled one; above 1.0 if the runner is slower than the
        #: model of its pool and machine class predicts.
        self.slowness = 1.0
        self.mean_fill = mean_fill or MeanFill()
        #: Seconds of a prompt token at a runner of mean speed.
        self.token_s = latency.prefill_s_per_token
        #: Tokens of the query's prompt that the runner does not have cached.
        self.uncached_tokens = 0.0
        #: The part of ``first_token_s`` that is due to other requests.
        self.wait_s = 0.0
        self.first_token_s = 0.0
        self.cost = 0.0
        self.cached_blocks = 0.0
        self.fill = 0.0
        self.usable = False
        self._answer_price = 0.0
        self._base_price = 0.0
        self._fixed_s = 0.0
        self._performance = performance
        self._prefill_s_per_token = 0.0
        self._token_price = 0.0
        self.update_runner(runner)

    @property
    def idle(self) -> bool:
        """Whether a slot is free and no prompt awaits a prefill."""
        pending = self.pending_tokens + self.others_pending
        return self.fill <= 1.0 and not pending

    def first_token_behind_s(self, share: float) -> float:
        """The estimated time to the first token behind a part of the queue.

        :param share: part of the waiting prompts that the query waits for, as
            the engine reads it before the others.
        """
        return self.first_token_s - (1.0 - share) * self._fixed_s

    def update_runner(self, runner: models.Runner) -> None:
        """Replace the description of the runner, with its price."""
        self.runner = runner
        self._price_per_s = runner.price_per_hour / SECONDS_PER_HOUR
        self.invalidate()

    def invalidate(self) -> None:
        """Discard the cached estimates after a change of the runner."""
        self._fresh_until = float("-inf")

    def estimate(
        self, now: float, tokens: int, cached_tokens: float, answer_tokens: int
    ) -> bool:
        """Estimate the time to the first token and the cost of one query.

        The results are stored in ``first_token_s`` and ``cost``.

        :param now: monotonic time in seconds.
        :param tokens: tokens of the prompt.
        :param cached_tokens: tokens of the prompt in the runner's cache.
        :param answer_tokens: expected tokens of the answer.
        :returns: whether the runner's circuit breaker lets requests through.
        """
        if now > self._fresh_until:
            self._refresh(now)
        # Parts shorter than a block count as a whole one.
        uncached = max(0.0, tokens - cached_tokens)
        self.uncached_tokens = uncached
        self.first_token_s = (
            self._fixed_s + uncached * self._prefill_s_per_token
        )
        self.cost = (
            self._base_price
            + uncached * self._token_price
            + answer_tokens * self._answer_price
        )
        return self.usable

    def _refresh(self, now: float) -> None:
        """Compute the parts of the estimates that all queries have in common.

        The wait at the runner has two parts: the prefill of the prompts that
        await a first token, and the time until a slot is free.
        """
        latency = self.latency
        slots = self.load.slots
        usable_slots = slots * self.circuit.slot_share(now)
        fill = (self.load.in_flight(now) + 1.0) / usable_slots
        pending = self.pending_tokens + self.others_pending
        if self._performance is None:
            base_s, token_s = latency.base_s, latency.prefill_s_per_token
            slowdown = 1.0 + latency_model.BATCH_SLOWDOWN * min(1.0, fill)
            factor = slowdown * self.slowness
        else:
            base_s, token_s, slowness = self._performance.estimate(self.name)
            factor = self.mean_fill.slowdown(fill) * slowness
        wait_s = pending * token_s
        wait_s += _expected_excess(fill - 1.0) * latency.hold_s
        self.token_s = token_s
        self.wait_s = wait_s * factor
        self.fill = fill
        self.usable = self.circuit.allows(now)
        self._fixed_s = (base_s + wait_s) * factor
        self._prefill_s_per_token = token_s * factor
        self._base_price = latency.base_s * self._price_per_s
        self._token_price = latency.prefill_s_per_token * self._price_per_s
        self._answer_price = (
            latency.decode_s_per_token * self._price_per_s / slots
        )
        self._fresh_until = now + ESTIMATE_TTL_S


def _expected_excess(excess: float) -> float:
    """The expected positive part of an excess that is known inexactly.

    The excess is that of a runner's fill over 1.0, the part of its requests
    that wait for a slot, as a share of the slots. Adding a queueing delay only
    from an estimated fill of 100 % would fill runners completely on the basis
    of reports that are seconds old. The function is a parabola that joins zero
    and the excess smoothly.
    """
    if excess >= 2 * FILL_UNCERTAINTY:
        return excess
    if excess <= -2 * FILL_UNCERTAINTY:
        return 0.0
    return (excess + 2 * FILL_UNCERTAINTY) ** 2 / (8 * FILL_UNCERTAINTY)
