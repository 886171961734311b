"""What admission's verdicts mean for callers."""

from .. import refusals
from ..contracts import admission

_LIMITS = frozenset(
    (
        admission.RefusalReason.CONCURRENCY,
        admission.RefusalReason.RATE,
        admission.RefusalReason.TOKENS,
        admission.RefusalReason.SPEND,
    )
)


def refusal_of(verdict: admission.Refused) -> refusals.Refusal:
    """The refusal that a caller gets.

    :param verdict: why the request was not admitted.
    """
    limited = verdict.reason in _LIMITS
    kind = refusals.RATE_LIMITED if limited else refusals.OVERLOADED
    if verdict.reason is admission.RefusalReason.UNKNOWN_ENTRY:
        kind = refusals.NOT_FOUND
    return refusals.Refusal(
        kind,
        f"not admitted: {verdict.reason.value}",
        retry_after_s=verdict.retry_after_s,
    )
