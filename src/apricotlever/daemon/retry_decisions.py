"""Decides whether a failed attempt is retried, within the retry budget."""

from ..contracts import retry_budget
from ..contracts import retry_policy
from ..runners import routing

from . import dispatcher_messages
from . import placements

#: Time left to the deadline below which a failed attempt is not retried.
MIN_RETRY_TIME_S = 0.2


class RetryDecisions:
    """The retry budget of one entry VM, and the retries that it allows.

    :param router: knows the runners that a retry could use.
    """

    __slots__ = ("_budget", "_router")

    def __init__(self, router: routing.Router) -> None:
        self._budget = retry_budget.RetryBudget()
        self._router = router

    def retain_entries(self, entries: frozenset[str]) -> None:
        """Forget the budgets of entries that are not in the catalogue."""
        self._budget.retain_entries(entries)

    def record_success(self, entry: str) -> None:
        """Count a request that succeeded, which allows further retries."""
        self._budget.record_success(entry)

    def decide(
        self, message: dispatcher_messages.DecideRetry
    ) -> retry_policy.Retry | retry_policy.NoRetry:
        """Decide on a retry.

        :param message: describes the request and its failed attempts.
        """
        available = frozenset(
            runner.name
            for runner in self._router.runners
            if runner.pool == message.pool
            and not self._router.is_leaving(runner.name)
        )
        failed_attempt = retry_policy.FailedAttempt(
            message.entry,
            message.may_have_run,
            message.idempotent,
            message.attempts,
            message.left_s,
            MIN_RETRY_TIME_S,
            message.tried,
            available,
        )
        if message.uncharged:
            # These retries add no load: a crashed runner no longer computes,
            # and a silent connection never delivered its call. A new budget
            # is used for each, so that the shared one is not charged.
            unshared_budget = retry_budget.RetryBudget()
            max_attempts = placements.MAX_ATTEMPTS_AFTER_CRASHES
            return retry_policy.decide_retry(
                failed_attempt, unshared_budget, max_attempts
            )
        return retry_policy.decide_retry(failed_attempt, self._budget)
