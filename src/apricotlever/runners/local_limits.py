"""The limits that runners name, as one VM knows and counts them.

Who counts a runner's calls for the fleet is decided elsewhere. A VM that has
nobody to ask counts its own part of each limit (:meth:`LocalLimits.admit`).
"""

import typing

from .. import clock as clocks
from . import full_runners
from . import limit_keeper
from . import stated_limits
from . import statements


class LimitChange:
    """A changed limit.

    :param kind: how it has changed.
    :param limit_per_s: calls a second that the runner takes now; None without
        a limit.
    :param before_per_s: the same before the change.
    :param source: the VM from which this VM learned of it; None if a response
        to this VM said so, or if the limit was lifted.
    """

    __slots__ = ("kind", "limit_per_s", "before_per_s", "source")

    def __init__(
        self,
        kind: stated_limits.Change,
        limit_per_s: float | None,
        before_per_s: float | None,
        source: str | None,
    ) -> None:
        self.kind = kind
        self.limit_per_s = limit_per_s
        self.before_per_s = before_per_s
        self.source = source


def describe_change(
    kind: stated_limits.Change,
    reading: stated_limits.Reading | None,
    before: stated_limits.Reading | None,
) -> LimitChange:
    """Describe a change, for the log.

    :param reading: the reading of the limit now; None without a limit.
    :param before: the same before the change.
    """
    return LimitChange(
        kind,
        reading.limit_per_s if reading else None,
        before.limit_per_s if before else None,
        (reading.source or None) if reading else None,
    )


class LocalLimits:
    """One VM's readings of all limits, and its counts of calls under them.

    :param clock: the source of time.
    """

    __slots__ = ("_full", "_keeper", "_stated")

    def __init__(self, clock: clocks.Clock) -> None:
        self._stated = stated_limits.StatedLimits(clock)
        self._full = full_runners.FullRunners(clock)
        self._keeper = limit_keeper.LimitKeeper(clock)

    @property
    def stated(self) -> stated_limits.StatedLimits:
        """The limits as this VM knows them."""
        return self._stated

    @property
    def keeper(self) -> limit_keeper.LimitKeeper:
        """What this VM counts."""
        return self._keeper

    @property
    def full_runners(self) -> frozenset[str]:
        """Runners that had no room for a call of this VM a moment ago."""
        return self._full.names

    def room_in_s(self, runner: str) -> float:
        """Seconds until a runner may have room for a call of this VM."""
        return self._full.room_in_s(runner)

    def keep_only(self, runners: typing.Iterable[str]) -> None:
        """Set the known runners, and forget all others."""
        self._stated.keep_only(runners)
        self._forget_unlimited()

    def record(
        self, runner: str, statement: statements.Statement, sent_at: float
    ) -> LimitChange | None:
        """Record what a response to this VM says of its runner's limit.

        :param sent_at: when the call was sent, by this VM's clock.
        """
        before = self._stated.reading(runner)
        change = None
        if statement.limit_per_s is not None:
            change = self._stated.record_named(runner, statement.limit_per_s)
        elif statement.names_no_limit:
            change = self._stated.record_unnamed(runner, sent_at)
        return self._describe(runner, change, before)

    def merge(
        self,
        runner: str,
        limit_per_s: float | None,
        age_s: float,
        source: str,
    ) -> LimitChange | None:
        """Merge another VM's reading; see :meth:`.StatedLimits.merge`."""
        before = self._stated.reading(runner)
        change = self._stated.merge(runner, limit_per_s, age_s, source)
        return self._describe(runner, change, before)

    def admit(self, runner: str) -> bool:
        """Whether this VM's part of a runner's limit has room for a call.

        If so, the call is counted. A runner without a limit has room for
        every call.
        """
        reading = self._stated.reading(runner)
        if reading is None or reading.limit_per_s is None:
            return True
        admission = self._keeper.admit(runner, reading.limit_per_s)
        if not admission.admitted:
            self.record_refusal(runner, admission)
        return admission.admitted

    def record_refusal(
        self, runner: str, admission: limit_keeper.Admission
    ) -> None:
        """Record that a call found no room, here or at another VM."""
        self._full.record(runner, admission.wait_s, admission.ask_again_s)

    def _describe(
        self,
        runner: str,
        change: stated_limits.Change | None,
        before: stated_limits.Reading | None,
    ) -> LimitChange | None:
        if change is None:
            return None
        self._forget_unlimited()
        return describe_change(change, self._stated.reading(runner), before)

    def _forget_unlimited(self) -> None:
        limited = frozenset(self._stated.in_force)
        self._full.keep_only(limited)
        self._keeper.keep_only(limited)
