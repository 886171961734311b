"""Steps for tests/data_centres/utilization_targets.feature."""

import math

from behave import then
import hypothesis
from hypothesis import strategies

from apricotlever.data_centres import utilization_targets as targets


def _mean_first_event_s(utilization, base_s, prompt_s, variation):
    """The textbook mean of a queue with random arrivals (M/G/1)."""
    rate = utilization / prompt_s
    mean_square = prompt_s**2 * (1.0 + variation)
    wait_s = rate * mean_square / (2.0 * (1.0 - utilization))
    return base_s + prompt_s + wait_s


def _check_targets(check):
    hypothesis.settings(derandomize=True, deadline=None, database=None)(
        hypothesis.given(
            strategies.floats(0.1, 5.0),
            strategies.tuples(
                strategies.floats(0.0, 0.3),
                strategies.floats(0.001, 1.0),
                strategies.floats(0.0, 20.0),
            ),
        )(check)
    )()


@then(
    "at each prefill target the mean first event comes within half of the "
    "objective"
)
def _within_objective(context):
    def check(objective_s, service):
        target = targets.prefill_utilization(objective_s, *service)
        if target > targets.MIN_PREFILL_UTILIZATION:
            mean_s = _mean_first_event_s(target, *service)
            assert mean_s <= objective_s / 2 + 1e-9, (target, mean_s)

    _check_targets(check)


@then(
    "at a target that is higher by a hundredth it does not, or the limit is "
    "reached"
)
def _is_highest(context):
    def check(objective_s, service):
        target = targets.prefill_utilization(objective_s, *service)
        assert target <= 0.6
        if target < 0.6:
            mean_s = _mean_first_event_s(target + 0.01, *service)
            assert mean_s > objective_s / 2, (target, mean_s)

    _check_targets(check)


@then(
    "the slot target equals the result of a search for runners of {least:d} "
    "to {most:d} slots"
)
def _slot_target(context, least, most):
    for slots in range(least, most + 1):
        calls = 0.0
        while 1.6 * calls + 3.0 * math.sqrt(1.6 * calls) <= slots:
            calls += 0.01
        expected = max(1.0, slots / 5, calls)
        assert abs(targets.calls_per_runner(slots) - expected) < 0.011, slots


@then(
    "an objective shorter than the time without prefill gives a target of "
    "{target:g}"
)
def _unreachable(context, target):
    assert targets.prefill_utilization(0.1, 0.2, 0.1, 1.0) == target
