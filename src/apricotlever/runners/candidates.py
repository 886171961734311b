"""The runners of a router and what it expects of each for one query."""

import random

from .. import clock as clocks
from . import health
from . import load
from . import model as models
from . import pace as paces

SECONDS_PER_HOUR = 3600.0
#: How long the figures of a runner that nothing happened to are reused.
REFRESH_S = 0.25
#: How far the fill of a runner is from what is believed, as a share of its
#: slots: requests that other VMs sent since its last report.
FILL_ERROR = 0.05


class Candidate:
    """A runner with its load, health and pace.

    The slots ``first_s``, ``cost`` and ``cached`` hold the figures for the
    query that is being routed. They are filled in place, and what does not
    depend on the query is worked out once in :data:`REFRESH_S`: objects and
    calls for each pair of runner and query would take more time than one
    choice may cost.
    """

    __slots__ = (
        "runner",
        "name",
        "name_bytes",
        "load",
        "health",
        "pace",
        "leaving",
        "pending_tokens",
        "others_pending",
        "is_home",
        "is_near",
        "slowness",
        "first_s",
        "cost",
        "cached",
        "fill",
        "fit",
        "_answer_price",
        "_base_price",
        "_fixed_s",
        "_fresh_until",
        "_prefill_s",
        "_price_per_s",
        "_token_price",
    )

    def __init__(
        self,
        runner: models.Runner,
        pace: paces.Pace,
        clock: clocks.Clock,
        rng: random.Random,
        warm: bool,
        peers: load.PeerRatio | None = None,
    ) -> None:
        self.name = runner.name
        self.name_bytes = runner.name.encode()
        self.load = load.RunnerLoad(clock, runner.slots, peers)
        self.health = health.Health(clock, rng, warm)
        self.pace = pace
        self.leaving = False
        #: Own prompt tokens that are sent and wait for a first token.
        self.pending_tokens = 0
        #: The same of all other VMs, as far as they told.
        self.others_pending = 0
        #: Whether the shared prefix of the query belongs here by its hash.
        self.is_home = False
        #: Whether it is in this VM's data centre.
        self.is_near = False
        #: How much slower than its pace this runner shows itself.
        self.slowness = 1.0
        self.first_s = 0.0
        self.cost = 0.0
        self.cached = 0.0
        self.fill = 0.0
        self.fit = False
        self._answer_price = 0.0
        self._base_price = 0.0
        self._fixed_s = 0.0
        self._prefill_s = 0.0
        self._token_price = 0.0
        self.describe(runner)

    def describe(self, runner: models.Runner) -> None:
        """Take over a description of the runner, with its price."""
        self.runner = runner
        self._price_per_s = runner.price_per_hour / SECONDS_PER_HOUR
        self.changed()

    def changed(self) -> None:
        """Something happened to the runner; work its figures out anew."""
        self._fresh_until = float("-inf")

    def estimate(
        self, now: float, tokens: int, cached_tokens: float, answer: int
    ) -> bool:
        """Expect the first token and the cost of one query.

        :param tokens: of the prompt.
        :param cached_tokens: of them that the runner likely holds.
        :param answer: tokens of the answer.
        :returns: whether the runner may get requests at all.
        """
        if now > self._fresh_until:
            self._refresh(now)
        uncached = tokens - cached_tokens
        self.first_s = self._fixed_s + uncached * self._prefill_s
        self.cost = (
            self._base_price
            + uncached * self._token_price
            + answer * self._answer_price
        )
        return self.fit

    def _refresh(self, now: float) -> None:
        pace = self.pace
        slots = self.load.slots
        usable = slots * self.health.share(now)
        fill = (self.load.in_flight(now) + 1.0) / usable
        pending = self.pending_tokens + self.others_pending
        wait_s = pending * pace.prefill_s
        wait_s += _expected_excess(fill - 1.0) * pace.hold_s
        slowdown = 1.0 + paces.BATCH_SLOWDOWN * min(1.0, fill)
        factor = slowdown * self.slowness
        self.fill = fill
        self.fit = self.health.allows(now)
        self._fixed_s = (pace.base_s + wait_s) * factor
        self._prefill_s = pace.prefill_s * factor
        self._base_price = pace.base_s * self._price_per_s
        self._token_price = pace.prefill_s * self._price_per_s
        self._answer_price = pace.decode_s * self._price_per_s / slots
        self._fresh_until = now + REFRESH_S


def _expected_excess(excess: float) -> float:
    """The mean of what is above zero when the excess is not known exactly.

    Counting a wait only once the runner is believed to be full would fill
    runners to the brim by numbers that are seconds old. This is a parabola
    that joins zero and the excess itself smoothly.
    """
    if excess >= 2 * FILL_ERROR:
        return excess
    if excess <= -2 * FILL_ERROR:
        return 0.0
    return (excess + 2 * FILL_ERROR) ** 2 / (8 * FILL_ERROR)
