"""Takes what runners say of themselves from the responses to this VM."""

import typing

from .. import clock as clocks
from .. import logs
from .. import statement_logs
from ..runners import stated_conditions
from ..runners import stated_leavings
from ..runners import stated_rests
from ..runners import statements

from . import runner_limits
from . import runners


class RunnerStatements:
    """Passes each response's statement to the decisions that follow it.

    Every kind of response goes through :meth:`record_response`: a whole one,
    the head of a stream, a refusal and an error.

    :param clock: the source of time.
    :param limits: keeps the limits that the runners name.
    """

    __slots__ = ("_conditions", "_leavings", "_limits")

    def __init__(
        self, clock: clocks.Clock, limits: runner_limits.RunnerLimits
    ) -> None:
        self._limits = limits
        self._leavings = stated_leavings.StatedLeavings()
        self._conditions = stated_conditions.StatedConditions(
            clock, limits.local, limits.fragile.local
        )

    @property
    def rests(self) -> stated_rests.StatedRests:
        """The rests that runners have asked this VM for."""
        return self._conditions.rests

    @property
    def leavings(self) -> stated_leavings.StatedLeavings:
        """The runners that have said to this VM that they leave."""
        return self._leavings

    @property
    def unavailable(self) -> frozenset[str]:
        """Runners that get no call of this VM now, by their own word."""
        return self._conditions.unavailable | self._leavings.names

    def takes_calls(self, runner: str) -> bool:
        """Whether a runner neither rests nor leaves by its own word.

        A limited or fragile runner does take calls, if there is a permit for
        each.
        """
        return not (runner in self._leavings.names or self.rests.rests(runner))

    def wait_s(self, runner: str) -> float | None:
        """Seconds until a runner may take a call of this VM again.

        :returns: the seconds, 0 for a limited or fragile runner that may have
            room now; None for a runner that says nothing of the kind.
        """
        return self._conditions.wait_s(runner)

    def causes(self, names: typing.Iterable[str]) -> dict[str, str]:
        """Why runners get no call of this VM now; without those that may.

        :returns: the cause and the seconds that are left, by runner.
        """
        causes = {
            runner: f"limit:{self._limits.room_in_s(runner):.2f}"
            for runner in self._limits.full_runners
        }
        fragile = self._limits.fragile.local
        causes |= {
            runner: f"fragile:{fragile.room_in_s(runner):.2f}"
            for runner in fragile.full_runners
        }
        for runner, left_s in self.rests.left_s.items():
            causes[runner] = f"rest:{left_s:.2f}"
        causes.update(dict.fromkeys(self._leavings.names, "leaving"))
        return {name: causes[name] for name in names if name in causes}

    def keep_only(self, listed: typing.Sequence[runners.Runner]) -> None:
        """Set the known runners, and forget all others."""
        sequences = {runner.runner_id: runner.sequence for runner in listed}
        self._limits.fragile.local.set_slots(
            {runner.runner_id: runner.concurrency for runner in listed}
        )
        self._conditions.keep_only(sequences)
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
        changes = self._conditions.record(name, statement, sent_at)
        statement_logs.log_statement(name, changes)
        if changes.limit is not None:
            self._limits.pass_on_change(name)
        if changes.fragility is not None:
            self._limits.fragile.pass_on_change(name)
        if statement.leaves and self._leavings.record(name, runner.sequence):
            logs.event("runner_leaving", runner=name, said_by="response")
