"""Steps for tests/contracts/retry_budget.feature."""

from behave import given
from behave import then
import hypothesis
from hypothesis import strategies

from apricotlever.contracts import retry_budget
from tests.contracts import naive

SETTINGS = hypothesis.settings(
    derandomize=True, deadline=None, database=None, max_examples=150
)
RETRIES = 2


@then("an entry's retries are at most a tenth of its successes and ten")
def _bounded(context):
    @SETTINGS
    @hypothesis.given(strategies.lists(strategies.booleans(), max_size=300))
    def check(outcomes):
        budget = retry_budget.RetryBudget()
        successes = sum(outcomes)
        retries = 0
        for succeeded in outcomes:
            if succeeded:
                budget.record_success("a")
            else:
                retries += budget.try_acquire("a")
        assert retries <= successes / 10 + retry_budget.MAX_TOKENS

    check()


@given('a retry budget that entry "{entry}" has used up')
def _used_up(context, entry):
    context.budget = retry_budget.RetryBudget()
    while context.budget.try_acquire(entry):
        pass
    assert context.budget.remaining(entry) < 1.0


@then('entry "{entry}" may still retry')
def _may_retry(context, entry):
    assert context.budget.try_acquire(entry)


@given(
    "runners with a capacity of {capacity:d} requests a second and a load of "
    "{offered:d}"
)
def _overloaded(context, capacity, offered):
    context.capacity = capacity
    context.offered = offered


def _attempts_per_s(context, budget, seconds=60):
    """Return the attempts per second that the runners get in the end."""
    retries_by_attempt = [0] * (RETRIES + 1)
    for _ in range(seconds):
        attempts = [context.offered, *retries_by_attempt[1:]]
        total = sum(attempts)
        failing = max(0.0, 1.0 - context.capacity / total)
        retries_by_attempt = [0] * (RETRIES + 1)
        for tried, count in enumerate(attempts):
            failed = round(count * failing)
            for _ in range(count - failed):
                budget.record_success("a")
            if tried < RETRIES:
                retries_by_attempt[tried + 1] = sum(
                    budget.try_acquire("a") for _ in range(failed)
                )
    return total


@then("with the retry budget they get less than {count:d} a second")
def _with_budget(context, count):
    assert _attempts_per_s(context, retry_budget.RetryBudget()) < count


@then("with a retry of each failure they get more than {count:d} a second")
def _with_unlimited_retries(context, count):
    assert _attempts_per_s(context, naive.AlwaysRetry()) > count
