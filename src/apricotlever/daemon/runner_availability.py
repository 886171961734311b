"""Which runners take requests of this VM now, by their own word.

Runners that rest take none. Of a limit that a runner names for all VMs, this
VM keeps an equal part.
"""

import typing

from .. import clock as clocks
from .. import logs
from ..runners import limit_keeper
from ..runners import model as models
from ..runners import routing
from ..runners import stated_limits
from ..runners import stated_rests
from ..runners import statements


class RunnerAvailability:
    """What runners have said to this VM, and the choice that keeps it.

    :param clock: the source of time.
    """

    __slots__ = ("_keeper", "_limits", "_rests", "_room_in_s", "_unreadable")

    def __init__(self, clock: clocks.Clock) -> None:
        self._limits = stated_limits.StatedLimits(clock)
        self._keeper = limit_keeper.LimitKeeper(clock)
        self._rests = stated_rests.StatedRests(clock)
        #: Seconds until each runner may have room, as of its last refusal.
        self._room_in_s: dict[str, float] = {}
        #: What runners said unreadably, each of which is logged once.
        self._unreadable: set[tuple[str, statements.Field]] = set()

    def set_fleet_size(self, count: int) -> None:
        """Set how many VMs share each limit."""
        self._keeper.set_share(1.0 / count)

    def keep_only(self, runners: typing.Collection[str]) -> None:
        """Set the known runners, and forget all others."""
        self._limits.keep_only(runners)
        self._rests.keep_only(runners)
        self._keeper.keep_only(frozenset(self._limits.in_force))
        self._unreadable = {
            each for each in self._unreadable if each[0] in runners
        }

    def record(
        self, runner: str, statement: statements.Statement, sent_at: float
    ) -> None:
        """Record what a response says of its runner.

        :param sent_at: when the request was sent.
        """
        for field, value in statement.unreadable.items():
            self._log_unreadable(runner, field, value)
        if statement.rest_s and self._rests.record(runner, statement.rest_s):
            logs.event("runner_rest", runner=runner, rest_s=statement.rest_s)
        change = None
        if statement.limit_per_s is not None:
            change = self._limits.record_named(runner, statement.limit_per_s)
        elif statement.names_no_limit:
            change = self._limits.record_unnamed(runner, sent_at)
        if change is not None:
            logs.event(
                "runner_limit",
                runner=runner,
                change=change.value,
                limit_per_s=statement.limit_per_s,
            )

    def choose(
        self, query: models.Query, router: routing.Router
    ) -> models.Route | models.NoRunner:
        """Choose a runner that takes the request by its own word."""
        tried = query.excluded
        passed_over = frozenset(self._rests.left_s)
        try:
            while True:
                query.excluded = tried | passed_over
                route = router.choose(query)
                if isinstance(route, models.NoRunner):
                    return route
                name = route.runner.name
                if self._has_room(name):
                    return route
                passed_over |= {name}
        finally:
            query.excluded = tried

    def wait_s(self, pool: str, router: routing.Router) -> float:
        """Seconds until the first runner of a pool may take a request again.

        :returns: the seconds; infinite if no runner rests or is limited.
        """
        rests, limits = self._rests.left_s, self._limits.in_force
        return min(
            (
                max(
                    rests.get(runner.name, 0.0),
                    self._room_in_s.get(runner.name, 0.0),
                )
                for runner in router.runners
                if runner.pool == pool
                and (runner.name in rests or runner.name in limits)
            ),
            default=float("inf"),
        )

    def _has_room(self, runner: str) -> bool:
        reading = self._limits.reading(runner)
        if reading is None or reading.limit_per_s is None:
            return True
        admission = self._keeper.admit(runner, reading.limit_per_s)
        self._room_in_s[runner] = admission.wait_s
        return admission.admitted

    def _log_unreadable(
        self, runner: str, field: statements.Field, value: str
    ) -> None:
        if (runner, field) in self._unreadable:
            return
        self._unreadable.add((runner, field))
        logs.event(
            "runner_statement_unreadable",
            runner=runner,
            field=field.value,
            value=value[: statements.MAX_LOGGED_CHARS],
        )
