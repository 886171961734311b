"""Converts refusals by admission control to the errors that callers get."""

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
    """The error for the caller of a request that was not admitted.

    :param verdict: the refusal by admission control, with its reason. An
        exceeded limit becomes ``RATE_LIMITED``, an unknown entry
        ``NOT_FOUND`` and any other reason ``OVERLOADED``.
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
