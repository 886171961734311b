"""Steps for tests/bench/plain_service.feature."""

from behave import then
from behave import when

from bench import plain_service

SEEDS = (1, 2)
REPORT_AGE_S = 0.3


@when(
    "{vms:d} VMs share 2 runners of a plain service at {rate:d} calls a second"
)
def step_simulate(context, vms, rate):
    """Simulate the policy and the reference with the same seeds."""
    context.late = {
        policy: sum(
            plain_service.simulate(policy, vms, REPORT_AGE_S, seed, rate)[
                "late"
            ]
            for seed in SEEDS
        )
        / len(SEEDS)
        for policy in ("home_or_faster", "one_queue")
    }


@then("at most {excess:d} in 1000 more calls are late than with current loads")
def step_late_excess(context, excess):
    """Compare the shares of late calls."""
    late = context.late
    difference = late["home_or_faster"] - late["one_queue"]
    assert 1000.0 * difference <= excess, late
