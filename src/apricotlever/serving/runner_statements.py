"""Takes what runners say of themselves from the responses to this VM."""

from .. import clock as clocks
from .. import logs
from ..runners import stated_limits
from ..runners import statements

from . import log_rate_limiter
from . import runners

#: Longest part of an unreadable value that is logged, in characters.
MAX_LOGGED_CHARS = 60


class RunnerStatements:
    """Passes each response's statement to the decisions that follow it.

    Every kind of response goes through :meth:`record_response`: a whole one,
    the head of a stream, a refusal and an error.

    :param clock: the source of time.
    """

    __slots__ = ("_limits", "_unreadable")

    def __init__(self, clock: clocks.Clock) -> None:
        self._limits = stated_limits.StatedLimits(clock)
        self._unreadable = log_rate_limiter.LogRateLimiter(clock)

    @property
    def limits(self) -> stated_limits.StatedLimits:
        """The limits that the runners have named."""
        return self._limits

    def record_response(
        self,
        runner: runners.Runner,
        statement: statements.Statement,
        sent_at: float,
    ) -> None:
        """Record the statement of a response from a runner.

        :param sent_at: when the call was sent to the runner, by this VM's
            clock.
        """
        name = runner.runner_id
        for field, value in statement.unreadable.items():
            if self._unreadable.allows(f"{name} {field.value}"):
                logs.event(
                    "runner_statement_unreadable",
                    runner=name,
                    field=field.value,
                    value=value[:MAX_LOGGED_CHARS],
                )
        before = self._limits.reading(name)
        change = None
        if statement.limit_per_s is not None:
            change = self._limits.record_named(name, statement.limit_per_s)
        elif statement.names_no_limit:
            change = self._limits.record_unnamed(name, sent_at)
        if change is not None:
            log_limit_change(name, change, before, self._limits)


def log_limit_change(
    runner: str,
    change: stated_limits.Change,
    before: stated_limits.Reading | None,
    limits: stated_limits.StatedLimits,
) -> None:
    """Log that a runner's limit has changed.

    :param before: the reading before the change.
    :param limits: the limits after it.
    """
    reading = limits.reading(runner)
    logs.event(
        "runner_limit",
        runner=runner,
        change=change.value,
        limit_per_s=reading.limit_per_s if reading else None,
        before_per_s=before.limit_per_s if before else None,
        source=(reading.source or None) if reading else None,
    )
