"""Which runners take requests of this VM now, by their own word.

Runners that rest take none. Of a limit that a runner names for all VMs, this
VM keeps an equal part.
"""

import typing

from .. import clock as clocks
from .. import statement_logs
from ..runners import local_fragility
from ..runners import local_limits
from ..runners import model as models
from ..runners import routing
from ..runners import stated_conditions
from ..runners import statements


class RunnerAvailability:
    """What runners have said to this VM, and the choice that keeps it.

    :param clock: the source of time.
    """

    __slots__ = ("_conditions", "_limits")

    def __init__(self, clock: clocks.Clock) -> None:
        self._limits = local_limits.LocalLimits(clock)
        self._conditions = stated_conditions.StatedConditions(
            clock, self._limits, local_fragility.LocalFragility(clock)
        )

    def set_fleet_size(self, count: int) -> None:
        """Set how many VMs share each limit."""
        self._limits.keeper.set_share(1.0 / count)

    def keep_only(self, runners: typing.Collection[str]) -> None:
        """Set the known runners, and forget all others."""
        self._conditions.keep_only(runners)

    def record(
        self, runner: str, statement: statements.Statement, sent_at: float
    ) -> None:
        """Record what a response says of its runner.

        :param sent_at: when the request was sent.
        """
        statement_logs.log_statement(
            runner, self._conditions.record(runner, statement, sent_at)
        )

    def choose(
        self, query: models.Query, router: routing.Router
    ) -> models.Route | models.NoRunner:
        """Choose a runner that takes the request by its own word."""
        tried = query.excluded
        passed_over = self._conditions.unavailable
        try:
            while True:
                query.excluded = tried | passed_over
                route = router.choose(query)
                if isinstance(route, models.NoRunner):
                    return route
                name = route.runner.name
                if self._limits.admit(name):
                    return route
                passed_over |= {name}
        finally:
            query.excluded = tried

    def wait_s(self, pool: str, router: routing.Router) -> float:
        """Seconds until the first runner of a pool may take a request again.

        :returns: the seconds; infinite if no runner rests or is limited.
        """
        waits = (
            self._conditions.wait_s(runner.name)
            for runner in router.runners
            if runner.pool == pool
        )
        return min(
            (wait_s for wait_s in waits if wait_s is not None),
            default=float("inf"),
        )
