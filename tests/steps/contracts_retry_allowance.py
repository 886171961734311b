"""Steps for tests/contracts/retry_allowance.feature."""

from behave import given
from behave import then
from behave import when
import hypothesis
from hypothesis import strategies

from apricotlever import clock as clocks
from apricotlever.contracts import retry_allowance

SETTINGS = hypothesis.settings(
    derandomize=True, deadline=None, database=None, max_examples=60
)
WINDOW_S = 10.0


def _vms(count, ratio, least):
    clock = clocks.ManualClock()
    vms = []
    for _ in range(count):
        vm = retry_allowance.RetryAllowance(clock, ratio, least, WINDOW_S)
        vm.set_members(count)
        vms.append(vm)
    return clock, vms


@given(
    "{count:d} VMs with a ratio of {ratio:f} and {least:d} retries in "
    "10 seconds"
)
def _allowances(context, count, ratio, least):
    context.clock, context.vms = _vms(count, ratio, least)


@when("VM 1 sends {count:d} requests")
def _sends(context, count):
    for _ in range(count):
        context.vms[0].record_request("service")


@then("VM 1 may retry {count:d} times and not more")
def _may_retry(context, count):
    assert all(context.vms[0].try_acquire("service") for _ in range(count))
    assert not context.vms[0].try_acquire("service")


@then("in no window the VMs together retry more than is allowed")
def _within_allowance(context):
    steps = strategies.lists(
        strategies.tuples(
            strategies.integers(0, 3),
            strategies.booleans(),
            strategies.floats(0.0, 1.0),
        ),
        max_size=300,
    )

    @SETTINGS
    @hypothesis.given(steps)
    def check(sequence):
        clock, vms = _vms(4, 0.2, 12.0)
        requests, retries = [], []
        for vm, is_retry, pause_s in sequence:
            clock.advance(pause_s)
            now = clock.now()
            if is_retry:
                if vms[vm].try_acquire("service"):
                    retries.append(now)
            else:
                vms[vm].record_request("service")
                requests.append(now)
        for end in retries:
            sent = sum(end - WINDOW_S < at <= end for at in retries)
            base = sum(end - 2 * WINDOW_S < at <= end for at in requests)
            assert sent <= 0.2 * base + 12.0

    check()
