"""Steps for tests/contracts/retry_policy.feature."""

from behave import given
from behave import then
import hypothesis
from hypothesis import strategies

from apricotlever.contracts import retry_budget
from apricotlever.contracts import retry_policy

SETTINGS = hypothesis.settings(
    derandomize=True, deadline=None, database=None, max_examples=300
)
RUNNERS = strategies.frozensets(strategies.sampled_from(("a", "b", "c")))


def _failure(**changes):
    values = {
        "entry": "e",
        "may_have_run": True,
        "idempotent": True,
        "attempts": 1,
        "left_s": 10.0,
        "needed_s": 1.0,
        "tried": frozenset({"a"}),
        "takers": frozenset({"a", "b"}),
    }
    return retry_policy.FailedAttempt(**{**values, **changes})


@then("each retry decision agrees with the rules one by one")
def _rules(context):
    @SETTINGS
    @hypothesis.given(
        strategies.booleans(),
        strategies.booleans(),
        strategies.booleans(),
        strategies.integers(1, 4),
        strategies.floats(-1.0, 3.0),
        RUNNERS,
        RUNNERS,
        strategies.booleans(),
    )
    def check(
        has_run,
        idempotent,
        is_announced,
        attempts,
        left_s,
        tried,
        takers,
        spent,
    ):
        budget = retry_budget.RetryBudget(initial_tokens=0.0 if spent else 3.0)
        failure = _failure(
            may_have_run=has_run,
            idempotent=idempotent,
            announced=is_announced,
            attempts=attempts,
            left_s=left_s,
            tried=tried,
            takers=takers,
        )
        allowed = (
            (idempotent or not has_run)
            and (attempts < retry_policy.MAX_ATTEMPTS or is_announced)
            and left_s > 1.0
            and bool(takers)
            and (is_announced or not spent)
        )
        decision = retry_policy.decide_retry(failure, budget)
        assert isinstance(decision, retry_policy.Retry) == allowed
        if not allowed:
            return
        possible = takers - decision.excluded
        assert possible
        assert not possible & tried or takers <= tried

    check()


@given("a failed attempt that is not idempotent and may have run")
def _maybe_run(context):
    context.failure = _failure(idempotent=False)
    context.budget = retry_budget.RetryBudget()


@given("a failed attempt that is not idempotent and was not sent")
def _not_sent(context):
    context.failure = _failure(idempotent=False, may_have_run=False)
    context.budget = retry_budget.RetryBudget()


@given("a failed attempt past its deadline")
def _past_deadline(context):
    context.failure = _failure(left_s=0.5)
    context.budget = retry_budget.RetryBudget()


@given("a failed attempt at a leaving runner without budget")
def _leaving_runner(context):
    context.failure = _failure(announced=True)
    context.budget = retry_budget.RetryBudget(initial_tokens=0.0)


@then('the failed attempt is not sent again because "{reason}"')
def _not_retried(context, reason):
    decision = retry_policy.decide_retry(context.failure, context.budget)
    assert decision.reason.value == reason


@then("the failed attempt is sent again")
def _retried(context):
    decision = retry_policy.decide_retry(context.failure, context.budget)
    assert decision.excluded == {"a"}


@then("the retry budget is as full as before")
def _budget_unchanged(context):
    assert context.budget.remaining("e") == retry_budget.INITIAL_TOKENS
