"""Steps for tests/roll_outs/canary_analysis.feature."""

import itertools
import random

from behave import given
from behave import then
from behave import when

from apricotlever.roll_outs import canary_analysis
from apricotlever.roll_outs import samples

#: Standard deviation of the logarithms of times.
SPREAD = 0.4
REASONS = {
    "failures": "failures",
    "first answers": "first_answers",
    "whole answers": "whole_answers",
}


def _sample(calls, failed, took_s=None, seed=1):
    rng = random.Random(seed)
    sample = samples.Sample(calls, calls, failed)
    for _ in range(calls if took_s else 0):
        took = took_s * rng.lognormvariate(0.0, SPREAD)
        sample.first_byte.add(took)
        sample.last_byte.add(took)
    return sample


@given(
    "{calls:d} calls at the old version, {failed:d} percent of them failing"
)
def step_old_failing(context, calls, failed):
    """Set the old version's samples on two routes."""
    context.old = {
        "usual": _sample(calls, calls * failed // 100),
        "rare": _sample(calls // 10, calls * failed // 1000),
    }
    context.new = {}


@given(
    "{calls:d} calls on route {route} at the old version, {failed:d} of them"
    " failing"
)
def step_old_route(context, calls, route, failed):
    """Set the sample of the old version on a route."""
    context.old[route] = _sample(calls, failed)


@given("{calls:d} calls at the old version, of about {took:f} seconds each")
def step_old_times(context, calls, took):
    """Set the response times of the old version."""
    context.old = {"usual": _sample(calls, 0, took)}
    context.new = {}


@when(
    "the new version fails {failed:d} of {calls:d} calls, evenly at"
    " {runners:d} runners"
)
def step_new_failing_evenly(context, failed, calls, runners):
    """Set samples with calls and failures spread evenly over the runners."""
    for number in range(runners):
        context.new[f"r{number}", "usual"] = _sample(
            calls // runners, failed // runners
        )


@when(
    "the new version fails {failed:d} of {calls:d} calls, all at one of"
    " {runners:d} runners"
)
def step_new_failing_at_one(context, failed, calls, runners):
    """Set samples with calls spread evenly and all failures at one runner."""
    for number in range(runners):
        context.new[f"r{number}", "usual"] = _sample(
            calls // runners, 0 if number else failed
        )


@when("the new version fails {failed:d} of {calls:d} calls on route {route}")
def step_new_route(context, failed, calls, route):
    """Set samples of a route with calls spread over two runners."""
    for runner in ("r0", "r1"):
        context.new[runner, route] = _sample(calls // 2, failed // 2)


@when("{calls:d} calls at the new version take about {took:f} seconds each")
def step_new_times(context, calls, took):
    """Set samples with calls spread over two runners."""
    for seed, runner in enumerate(("r0", "r1"), start=2):
        context.new[runner, "usual"] = _sample(calls // 2, 0, took, seed)


@then("on route {route} it is bad because of its {reason}")
def step_bad_on_route(context, reason, route):
    """Check the reason and the route of the finding."""
    finding = canary_analysis.compare_versions(context.old, context.new)
    assert finding is not None
    assert (finding.reason, finding.route) == (REASONS[reason], route)


@then("it is bad because of its {reason}")
def step_bad(context, reason):
    """Check the reason of the finding."""
    finding = canary_analysis.compare_versions(context.old, context.new)
    assert finding is not None and finding.reason == REASONS[reason], finding


@then("it is not bad")
def step_not_bad(context):
    """Check that neither the repeated nor the final check fails."""
    assert canary_analysis.compare_versions(context.old, context.new) is None
    finding = canary_analysis.compare_versions(
        context.old, context.new, canary_analysis.FINAL_CHECK
    )
    assert finding is None, (finding.reason, finding.new, finding.old)


@then("sums of samples don't depend on order or grouping")
def step_sums(context):
    """Add the same records in all orders and compare the sums."""
    rng = random.Random(5)
    parts = [
        {
            key: _sample(rng.randrange(9), 0, 0.2, rng.random()).to_record()
            for key in rng.sample("abcd", 2)
        }
        for _ in range(4)
    ]
    sums = [
        samples.sum_records([samples.sum_records(order[:2]), *order[2:]])
        for order in itertools.permutations(parts)
    ]
    for key, record in sums[0].items():
        for other in sums[1:]:
            for one, two in zip(record, other[key], strict=True):
                assert abs(one - two) < 1e-6, (key, record, other[key])
