"""What runners say of themselves to one VM, and when they take its calls."""

import typing

from .. import clock as clocks
from .. import log_rate_limiter
from . import local_fragility
from . import local_limits
from . import stated_rests
from . import statements


class StatementChanges:
    """What one statement has changed.

    :param rest_s: seconds for which the runner wants no calls of this VM; None
        if its rest does not end later than before.
    :param limit: the change of its limit; None if it has not changed.
    :param fragility: the same of the rejections that it bears in a second.
    :param unreadable: the values to log that could not be read, by field.
    """

    __slots__ = ("rest_s", "limit", "fragility", "unreadable")

    def __init__(
        self,
        rest_s: float | None,
        limit: local_limits.LimitChange | None,
        fragility: local_limits.LimitChange | None,
        unreadable: typing.Mapping[statements.Field, str],
    ) -> None:
        self.rest_s = rest_s
        self.limit = limit
        self.fragility = fragility
        self.unreadable = unreadable


class StatedConditions:
    """The rests, limits and fragility that runners have stated.

    :param clock: the source of time.
    :param limits: the limits of the same runners.
    :param fragility: their fragility.
    """

    __slots__ = ("_fragility", "_limits", "_rests", "_unreadable")

    def __init__(
        self,
        clock: clocks.Clock,
        limits: local_limits.LocalLimits,
        fragility: local_fragility.LocalFragility,
    ) -> None:
        self._limits = limits
        self._fragility = fragility
        self._rests = stated_rests.StatedRests(clock)
        self._unreadable = log_rate_limiter.LogRateLimiter(clock)

    @property
    def rests(self) -> stated_rests.StatedRests:
        """The rests that runners have asked this VM for."""
        return self._rests

    @property
    def unavailable(self) -> frozenset[str]:
        """Runners that rest, or had no room a moment ago."""
        return (
            self._limits.full_runners
            | self._fragility.full_runners
            | self._rests.left_s.keys()
        )

    def wait_s(self, runner: str) -> float | None:
        """Seconds until a runner may take a call of this VM again.

        :returns: the seconds, 0 for a limited or fragile runner that may have
            room now; None for a runner that says nothing of the kind.
        """
        rest_s = self._rests.left_s.get(runner)
        is_known = any(
            stated.reading(runner) is not None
            for stated in (self._limits.stated, self._fragility.stated)
        )
        if rest_s is None and not is_known:
            return None
        return max(
            rest_s or 0.0,
            self._limits.room_in_s(runner),
            self._fragility.room_in_s(runner),
        )

    def keep_only(self, runners: typing.Collection[str]) -> None:
        """Set the known runners, and forget all others."""
        self._limits.keep_only(runners)
        self._fragility.keep_only(runners)
        self._rests.keep_only(runners)

    def record(
        self, runner: str, statement: statements.Statement, sent_at: float
    ) -> StatementChanges:
        """Record the statement of a response from a runner.

        :param sent_at: when the call was sent to the runner, by this VM's
            clock.
        """
        unreadable = {
            field: value[: statements.MAX_LOGGED_CHARS]
            for field, value in statement.unreadable.items()
            if self._unreadable.allows(f"{runner} {field.value}")
        }
        limit = self._limits.record(runner, statement, sent_at)
        fragility = self._fragility.record(runner, statement, sent_at)
        rest_s = statement.rest_s
        if not rest_s or not self._rests.record(runner, rest_s):
            rest_s = None
        return StatementChanges(rest_s, limit, fragility, unreadable)
