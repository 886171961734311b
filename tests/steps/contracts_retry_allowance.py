"""Steps for tests/contracts/retry_allowance.feature."""

from behave import given
from behave import then
from behave import when

from apricotlever import clock as clocks
from apricotlever.contracts import retry_allowance
from tests.contracts import retry_fleet

WINDOW_S = 10.0
SEEDS = 8


@given(
    "{count:d} VMs with a ratio of {ratio:f} and {least:d} retries in "
    "10 seconds"
)
def _allowances(context, count, ratio, least):
    context.clock = clocks.ManualClock()
    context.vm = retry_allowance.RetryAllowance(
        context.clock, ratio, least, WINDOW_S
    )
    context.vm.set_fleet_size(count)


@given(
    "1 VM of an unknown fleet with a ratio of {ratio:f} and {least:d} "
    "retries in 10 s"
)
def _unknown(context, ratio, least):
    context.clock = clocks.ManualClock()
    context.vm = retry_allowance.RetryAllowance(
        context.clock, ratio, least, WINDOW_S
    )


@when("VM 1 waits for {seconds:d} seconds")
def _wait(context, seconds):
    context.clock.advance(seconds)


@when("VM 1 gets {count:d} requests in the last of {seconds:d} seconds")
def _requests(context, count, seconds):
    context.clock.advance(seconds - 1.0)
    for _ in range(count):
        context.clock.advance(1.0 / count)
        context.vm.record_request("service")


@then("VM 1 may retry {count:d} times and not more")
def _may_retry(context, count):
    assert all(context.vm.try_acquire("service") for _ in range(count))
    assert not context.vm.try_acquire("service")


@then("VM 1 may retry {count:d} times and not more {seconds:d} seconds later")
def _may_retry_later(context, count, seconds):
    context.clock.advance(seconds)
    _may_retry(context, count)


@given("{count:d} VMs that are always asked to retry, some busier than others")
def _fleet(context, count):
    context.fleets = [
        retry_fleet.RetryFleet(count, seed) for seed in range(SEEDS)
    ]


@when("they start, end, pause and take over callers of others at random")
def _play(context):
    context.worst = [fleet.run() for fleet in context.fleets]


@then("in no window they retry more than is allowed")
def _within_allowance(context):
    excess = [(w.repeats, w.allowed) for w in context.worst if w.is_violation]
    assert not excess, excess
    assert all(worst.repeats for worst in context.worst)


@then("each window that a VM lives through brings it retries")
def _none_starved(context):
    starved = [fleet.starved for fleet in context.fleets]
    assert not any(starved), starved
