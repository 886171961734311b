"""Log lines about what runners say of themselves in their responses."""

from . import logs
from .runners import local_limits
from .runners import stated_conditions


def log_statement(
    runner: str, changes: stated_conditions.StatementChanges
) -> None:
    """Log what a runner's statement has changed."""
    for field, value in changes.unreadable.items():
        logs.event(
            "runner_statement_unreadable",
            runner=runner,
            field=field.value,
            value=value,
        )
    if changes.limit is not None:
        log_limit(runner, changes.limit)
    if changes.fragility is not None:
        log_fragility(runner, changes.fragility)
    if changes.rest_s is not None:
        logs.event("runner_rest", runner=runner, rest_s=changes.rest_s)


def log_limit(runner: str, change: local_limits.LimitChange) -> None:
    """Log the change of a runner's limit."""
    logs.event(
        "runner_limit",
        runner=runner,
        change=change.kind.value,
        limit_per_s=change.limit_per_s,
        before_per_s=change.before_per_s,
        source=change.source,
    )


def log_fragility(runner: str, change: local_limits.LimitChange) -> None:
    """Log that a runner has become fragile, or more or less so, or sound."""
    logs.event(
        "runner_fragile",
        runner=runner,
        change=change.kind.value,
        rejections_per_s=change.limit_per_s,
        before_per_s=change.before_per_s,
        source=change.source,
    )
