"""Converts refusals of the admission control to those of callers."""

from .. import refusals
from ..contracts import admission

_LIMIT_REASONS = frozenset(
    (
        admission.RefusalReason.CONCURRENCY,
        admission.RefusalReason.RATE,
        admission.RefusalReason.TOKENS,
        admission.RefusalReason.SPEND,
    )
)


def refusal_of(verdict: admission.Refused) -> refusals.Refusal:
    """The refusal that a caller receives.

    :param verdict: the refusal of the admission control, with its reason.
    """
    limited = verdict.reason in _LIMIT_REASONS
    kind = refusals.RATE_LIMITED if limited else refusals.OVERLOADED
    if verdict.reason is admission.RefusalReason.UNKNOWN_ENTRY:
        kind = refusals.NOT_FOUND
    return refusals.Refusal(
        kind,
        f"not admitted: {verdict.reason.value}",
        retry_after_s=verdict.retry_after_s,
    )
