"""The fragile runners, as one VM knows and counts them.

Who counts a runner's calls for the fleet is decided elsewhere.
"""

import math
import typing

from .. import clock as clocks
from . import fragile_keeper
from . import full_runners
from . import limit_keeper
from . import local_limits
from . import stated_limits
from . import statements


class LocalFragility:
    """One VM's readings of all fragility, and its counts of calls under it.

    The value of a reading is the number of rejections in a second that the
    runner bears.

    :param clock: the source of time.
    :param reported: the number of calls in flight at a runner, as all VMs
        report it in their status records.
    """

    __slots__ = ("_full", "_keeper", "_slots", "_stated")

    def __init__(
        self,
        clock: clocks.Clock,
        reported: typing.Callable[[str], int] = lambda runner: 0,
    ) -> None:
        self._stated = stated_limits.StatedLimits(clock)
        self._full = full_runners.FullRunners(clock)
        self._keeper = fragile_keeper.FragileKeeper(clock, reported)
        #: The calls that each known runner runs at a time.
        self._slots: dict[str, int] = {}

    @property
    def stated(self) -> stated_limits.StatedLimits:
        """Which runners are fragile, as this VM knows it."""
        return self._stated

    @property
    def keeper(self) -> fragile_keeper.FragileKeeper:
        """What this VM counts."""
        return self._keeper

    @property
    def full_runners(self) -> frozenset[str]:
        """Runners that had no room for a call of this VM a moment ago."""
        return self._full.names

    @property
    def rooms(self) -> dict[str, float]:
        """The calls at a time that each runner takes that this VM counts.

        Runners of which that is not known are left out.
        """
        rooms = (
            (name, self._keeper.room(name)) for name in self._stated.in_force
        )
        return {
            name: room
            for name, room in rooms
            if room is not None and math.isfinite(room)
        }

    def is_fragile(self, runner: str) -> bool:
        """Whether a runner is fragile, as far as this VM knows."""
        return self._stated.reading(runner) is not None

    def room_in_s(self, runner: str) -> float:
        """Seconds until a runner may have room for a call of this VM."""
        return self._full.room_in_s(runner)

    def keep_only(self, runners: typing.Iterable[str]) -> None:
        """Set the known runners, and forget all others."""
        self._stated.keep_only(runners)
        self._forget_sound()

    def set_slots(self, slots: typing.Mapping[str, int]) -> None:
        """Set how many calls each known runner runs at a time."""
        self._slots = dict(slots)

    def record(
        self, runner: str, statement: statements.Statement, sent_at: float
    ) -> local_limits.LimitChange | None:
        """Record what a response to this VM says of its runner's fragility.

        :param sent_at: when the call was sent, by this VM's clock.
        """
        before = self._stated.reading(runner)
        change = None
        if statement.rejections_per_s is not None:
            change = self._stated.record_named(
                runner, statement.rejections_per_s
            )
        elif statement.is_sound:
            change = self._stated.record_unnamed(runner, sent_at)
        return self._describe(runner, change, before)

    def merge(
        self,
        runner: str,
        rejections_per_s: float | None,
        age_s: float,
        source: str,
    ) -> local_limits.LimitChange | None:
        """Merge another VM's reading; see :meth:`.StatedLimits.merge`."""
        before = self._stated.reading(runner)
        change = self._stated.merge(runner, rejections_per_s, age_s, source)
        return self._describe(runner, change, before)

    def admit(
        self,
        runner: str,
        call: fragile_keeper.CallKey,
        rejections_per_s: float,
        lease_s: float,
        is_deputy: bool,
    ) -> limit_keeper.Admission:
        """Decide on a call, as the runner's keeper.

        See :meth:`.FragileKeeper.admit`.
        """
        terms = fragile_keeper.Terms(
            int(rejections_per_s), self._slots.get(runner, 0)
        )
        return self._keeper.admit(runner, call, terms, lease_s, is_deputy)

    def end(
        self, runner: str, call: fragile_keeper.CallKey, rejected: bool
    ) -> None:
        """Record the end of a call, as the runner's keeper.

        :param rejected: whether the runner had no room for it. That counts of
            a call as well that was sent without asking.
        """
        reading = self._stated.reading(runner)
        if (
            rejected
            and self._keeper.room(runner) is None
            and reading is not None
            and reading.limit_per_s is not None
        ):
            # The keeper begins to count with the first call to decide on.
            self.admit(runner, call, reading.limit_per_s, 0.0, False)
        self._keeper.end(runner, call, rejected)

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
    ) -> local_limits.LimitChange | None:
        if change is None:
            return None
        self._forget_sound()
        return local_limits.describe_change(
            change, self._stated.reading(runner), before
        )

    def _forget_sound(self) -> None:
        fragile = frozenset(self._stated.in_force)
        self._full.keep_only(fragile)
        self._keeper.keep_only(fragile)
