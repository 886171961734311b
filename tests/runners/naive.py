"""Naive reference versions of the algorithms in the runners package."""

import collections
import itertools
import random
import typing

from apricotlever.runners import candidates
from apricotlever.runners import latency_model as paces
from apricotlever.runners import model as models
from apricotlever.runners import policies
from apricotlever.runners import prefix


class PrefixSets:
    """A set of blocks for each runner, without limits or eviction doubt."""

    def __init__(self) -> None:
        self.held: dict[str, set[int]] = collections.defaultdict(set)

    def add(self, runner: str, blocks: typing.Iterable[int]) -> None:
        """Add cached blocks."""
        self.held[runner] |= set(blocks)

    def remove(self, runner: str, blocks: typing.Iterable[int]) -> None:
        """Remove cached blocks."""
        self.held[runner] -= set(blocks)

    def depth(self, runner: str, blocks: tuple[int, ...]) -> int:
        """The number of leading blocks that the runner has cached."""
        held = self.held[runner]
        return len(list(itertools.takewhile(held.__contains__, blocks)))


class ReportedLoad:
    """Uses the last report unchanged."""

    def __init__(self) -> None:
        self.last = 0.0

    def observe(self, report: models.LoadReport) -> None:
        """Store a report."""
        self.last = report.running + report.waiting

    def in_flight(self) -> float:
        """The load in the last report."""
        return self.last


@policies.policy("test_reported_idlest")
class ReportedIdlest:
    """Picks the runner whose last report shows the lowest load."""

    def __init__(self, rng: random.Random) -> None:
        self.reports: dict[str, float] = {}

    def pick(
        self,
        query: models.Query,
        found: typing.Sequence[candidates.Candidate],
        key: int | None,
    ) -> candidates.Candidate:
        """Pick a runner."""
        return min(found, key=lambda c: self.reports.get(c.name, 0.0))


class Estimate:
    """Estimated first token and cost for a runner without history."""

    def __init__(
        self, runner: models.Runner, query: models.Query, own: int, cached: int
    ) -> None:
        pace = paces.LatencyModel()
        slots = runner.slots
        fill = (own + 1) / slots
        error = 2 * candidates.FILL_UNCERTAINTY
        excess = fill - 1
        if abs(excess) < error:
            excess = (excess + error) ** 2 / (4 * error)
        wait_s = max(0.0, excess) * pace.hold_s
        tokens = query.prompt_tokens - cached * prefix.TOKENS_PER_BLOCK
        prefill_s = tokens * pace.prefill_s_per_token
        slowdown = 1 + paces.BATCH_SLOWDOWN * min(1.0, fill)
        per_s = runner.price_per_hour / 3600
        decode_s = query.expected_tokens * pace.decode_s_per_token / slots
        self.first_s = (pace.base_s + wait_s + prefill_s) * slowdown
        self.cost = per_s * (pace.base_s + prefill_s + decode_s)


def is_valid_choice(
    chosen: str, estimates: dict[str, Estimate], target_s: float
) -> bool:
    """Whether a choice is among the cheapest that meet the target.

    If no runner meets the target, it must be among the fastest.
    """
    for share in policies.TARGET_SHARES:
        within_s = target_s * share
        meeting = {n: f for n, f in estimates.items() if f.first_s <= within_s}
        if not meeting:
            continue
        least = min(f.cost for f in meeting.values())
        bound = least * (1 + policies.COST_TOLERANCE) + 1e-12
        return chosen in meeting and meeting[chosen].cost <= bound
    least = min(f.first_s for f in estimates.values())
    bound = least * (1 + policies.LATENCY_TOLERANCE) + 1e-12
    return estimates[chosen].first_s <= bound
