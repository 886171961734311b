"""Takes what runners say of themselves from the responses to this VM."""

import typing

from .. import clock as clocks
from .. import logs
from ..runners import stated_leavings
from ..runners import stated_rests
from ..runners import statements

from . import log_rate_limiter
from . import runner_limits
from . import runners


class RunnerStatements:
    """Passes each response's statement to the decisions that follow it.

    Every kind of response goes through :meth:`record_response`: a whole one,
    the head of a stream, a refusal and an error.

    :param clock: the source of time.
    :param limits: keeps the limits that the runners name.
    """

    __slots__ = ("_leavings", "_limits", "_rests", "_unreadable")

    def __init__(
        self, clock: clocks.Clock, limits: runner_limits.RunnerLimits
    ) -> None:
        self._limits = limits
        self._leavings = stated_leavings.StatedLeavings()
        self._rests = stated_rests.StatedRests(clock)
        self._unreadable = log_rate_limiter.LogRateLimiter(clock)

    @property
    def rests(self) -> stated_rests.StatedRests:
        """The rests that runners have asked this VM for."""
        return self._rests

    @property
    def leavings(self) -> stated_leavings.StatedLeavings:
        """The runners that have said to this VM that they leave."""
        return self._leavings

    @property
    def unavailable(self) -> frozenset[str]:
        """Runners that get no call of this VM now, by their own word."""
        return (
            self._limits.full_runners
            | self._rests.left_s.keys()
            | self._leavings.names
        )

    def takes_calls(self, runner: str) -> bool:
        """Whether a runner neither rests nor leaves by its own word.

        A limited runner does take calls, if there is a permit for each.
        """
        return runner not in self._leavings.names and not self._rests.rests(
            runner
        )

    def wait_s(self, runner: str) -> float | None:
        """Seconds until a runner may take a call of this VM again.

        :returns: the seconds, 0 for a limited runner that may have room now;
            None for a runner that neither rests nor names a limit.
        """
        rest_s = self._rests.left_s.get(runner)
        is_limited = self._limits.stated.reading(runner) is not None
        if rest_s is None and not is_limited:
            return None
        return max(rest_s or 0.0, self._limits.room_in_s(runner))

    def causes(self, names: typing.Iterable[str]) -> dict[str, str]:
        """Why runners get no call of this VM now; without those that may.

        :returns: the cause and the seconds that are left, by runner.
        """
        causes = {
            runner: f"limit:{self._limits.room_in_s(runner):.2f}"
            for runner in self._limits.full_runners
        }
        for runner, left_s in self._rests.left_s.items():
            causes[runner] = f"rest:{left_s:.2f}"
        causes.update(dict.fromkeys(self._leavings.names, "leaving"))
        return {name: causes[name] for name in names if name in causes}

    def keep_only(self, listed: typing.Sequence[runners.Runner]) -> None:
        """Set the known runners, and forget all others."""
        sequences = {runner.runner_id: runner.sequence for runner in listed}
        self._limits.keep_only(sequences)
        self._rests.keep_only(sequences)
        self._leavings.keep_only(sequences)

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
                    value=value[: statements.MAX_LOGGED_CHARS],
                )
        self._limits.record_statement(name, statement, sent_at)
        if statement.rest_s and self._rests.record(name, statement.rest_s):
            logs.event("runner_rest", runner=name, rest_s=statement.rest_s)
        if statement.leaves and self._leavings.record(name, runner.sequence):
            logs.event("runner_leaving", runner=name, said_by="response")
