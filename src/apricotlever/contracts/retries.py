"""Whether a request whose attempt failed is sent again."""

import enum
import typing

from . import retry_budget

MOST_ATTEMPTS = 3


class Failure:
    """An attempt that failed.

    :param may_have_run: whether the upstream may have seen the request.
    :param idempotent: whether running it twice does no harm.
    :param attempts: sent so far, this one included.
    :param left_s: until the request's deadline.
    :param needed_s: what another attempt is expected to take to its first
        token.
    :param announced: whether the runner was known to be leaving. Its end
        was not the request's doing and the reclaim bounds the number of such
        retries, so they count against no budget.
    :param tried: runners that it was sent to.
    :param takers: runners that take new work now, leaving ones not among
        them.
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
    """Send it again.

    :param excluded: runners that must not get it.
    """

    __slots__ = ("excluded",)

    def __init__(self, excluded: frozenset[str]) -> None:
        self.excluded = excluded


class WhyNot(enum.Enum):
    """Why a request is not sent again."""

    NOT_IDEMPOTENT = "not_idempotent"
    ATTEMPTS = "attempts"
    DEADLINE = "deadline"
    NO_RUNNER = "no_runner"
    BUDGET = "budget"


class NoRetry:
    """Give the failure to the caller."""

    __slots__ = ("reason",)

    def __init__(self, reason: WhyNot) -> None:
        self.reason = reason


def decide(
    failure: Failure,
    budget: retry_budget.RetryBudget,
    most_attempts: int = MOST_ATTEMPTS,
) -> typing.Union[Retry, NoRetry]:
    """Decide on another attempt; a retry is taken out of the budget.

    The budget is asked last, so that it is not spent on a request that
    could not be sent again anyway.

    :param most_attempts: for one request, the first one included.
    """
    if failure.may_have_run and not failure.idempotent:
        return NoRetry(WhyNot.NOT_IDEMPOTENT)
    if failure.attempts >= most_attempts and not failure.announced:
        return NoRetry(WhyNot.ATTEMPTS)
    if failure.left_s <= failure.needed_s:
        return NoRetry(WhyNot.DEADLINE)
    if not failure.takers:
        return NoRetry(WhyNot.NO_RUNNER)
    if not failure.announced and not budget.take(failure.entry):
        return NoRetry(WhyNot.BUDGET)
    untried = failure.takers - failure.tried
    return Retry(failure.tried if untried else frozenset())
