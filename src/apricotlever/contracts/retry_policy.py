"""Decides whether a request whose attempt failed is sent again.

An attempt is one sending of the request to a runner.
"""

import enum
import typing

from . import retry_budget

#: Attempts allowed for one request by default, the first one included.
MAX_ATTEMPTS = 3


class FailedAttempt:
    """A failed attempt to send a request.

    :param entry: the name of the catalogue entry.
    :param may_have_run: whether the upstream may have received the request.
    :param idempotent: whether running the request twice does no harm.
    :param attempts: attempts so far, this one included.
    :param left_s: seconds until the request's deadline.
    :param needed_s: expected seconds from another attempt to its first
        token.
    :param tried: the runners that the request was sent to.
    :param takers: the runners that accept new work now, without those that
        are leaving.
    :param announced: whether the runner was known to be leaving, for example
        because the cloud reclaims its VM. The request did not cause the
        runner's end, and the number of such retries is bounded by the
        reclaim, so they are not charged to the budget.
    """

    __slots__ = (
        "entry",
        "may_have_run",
        "idempotent",
        "attempts",
        "left_s",
        "needed_s",
        "tried",
        "takers",
        "announced",
    )

    def __init__(
        self,
        entry: str,
        may_have_run: bool,
        idempotent: bool,
        attempts: int,
        left_s: float,
        needed_s: float,
        tried: frozenset[str],
        takers: frozenset[str],
        announced: bool = False,
    ) -> None:
        self.entry = entry
        self.may_have_run = may_have_run
        self.idempotent = idempotent
        self.attempts = attempts
        self.left_s = left_s
        self.needed_s = needed_s
        self.tried = tried
        self.takers = takers
        self.announced = announced


class Retry:
    """The decision to send the request again.

    :param excluded: the runners that must not receive it: those tried before,
        or none if all that accept work have been tried.
    """

    __slots__ = ("excluded",)

    def __init__(self, excluded: frozenset[str]) -> None:
        self.excluded = excluded


class NoRetryReason(enum.Enum):
    """Why a request is not sent again."""

    #: It may have run, and running it twice may do harm.
    NOT_IDEMPOTENT = "not_idempotent"
    #: It has had all its attempts.
    ATTEMPTS = "attempts"
    #: Another attempt is not expected to answer before the deadline.
    DEADLINE = "deadline"
    #: No runner accepts new work.
    NO_RUNNER = "no_runner"
    #: The retry budget of its entry is used up.
    BUDGET = "budget"


class NoRetry:
    """The decision to report the failure to the caller."""

    __slots__ = ("reason",)

    def __init__(self, reason: NoRetryReason) -> None:
        self.reason = reason


def decide_retry(
    failure: FailedAttempt,
    budget: retry_budget.RetryBudget,
    most_attempts: int = MAX_ATTEMPTS,
) -> typing.Union[Retry, NoRetry]:
    """Decide on another attempt; a retry is charged to the budget.

    If the runner was known to be leaving, neither the budget nor the number of
    attempts limits the retry. The budget is asked last, so that no token is
    spent on a request that could not be sent again anyway.

    :param failure: the failed attempt.
    :param budget: the retry budget of the entries.
    :param most_attempts: attempts allowed for one request, the first one
        included.
    """
    if failure.may_have_run and not failure.idempotent:
        return NoRetry(NoRetryReason.NOT_IDEMPOTENT)
    if failure.attempts >= most_attempts and not failure.announced:
        return NoRetry(NoRetryReason.ATTEMPTS)
    if failure.left_s <= failure.needed_s:
        return NoRetry(NoRetryReason.DEADLINE)
    if not failure.takers:
        return NoRetry(NoRetryReason.NO_RUNNER)
    if not failure.announced and not budget.try_acquire(failure.entry):
        return NoRetry(NoRetryReason.BUDGET)
    untried = failure.takers - failure.tried
    return Retry(failure.tried if untried else frozenset())
