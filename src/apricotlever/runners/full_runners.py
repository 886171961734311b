"""Remembers which limited runners had no room when their keeper was asked."""

import typing

from .. import clock as clocks


class _Refusal:
    """The last refusal of a runner's keeper.

    :param room_at: when the runner may have room.
    :param ask_at: when this VM may ask again.
    """

    __slots__ = ("room_at", "ask_at")

    def __init__(self, room_at: float, ask_at: float) -> None:
        self.room_at = room_at
        self.ask_at = ask_at


class FullRunners:
    """The limited runners that get no call of this VM for the moment.

    :param clock: the source of time.
    """

    __slots__ = ("_clock", "_refusals")

    def __init__(self, clock: clocks.Clock) -> None:
        self._clock = clock
        self._refusals: dict[str, _Refusal] = {}

    @property
    def names(self) -> frozenset[str]:
        """Runners whose keepers need not be asked now."""
        now = self._clock.now()
        return frozenset(
            runner
            for runner, refusal in self._refusals.items()
            if refusal.ask_at > now
        )

    def record(self, runner: str, wait_s: float, ask_again_s: float) -> None:
        """Record that a keeper refused a call.

        :param wait_s: seconds until the runner may have room.
        :param ask_again_s: seconds until the keeper may be asked again.
        """
        now = self._clock.now()
        self._refusals[runner] = _Refusal(now + wait_s, now + ask_again_s)

    def room_in_s(self, runner: str) -> float:
        """Seconds until a runner may have room; 0 if it may have room now."""
        refusal = self._refusals.get(runner)
        if refusal is None:
            return 0.0
        return max(0.0, refusal.room_at - self._clock.now())

    def keep_only(self, runners: typing.Container[str]) -> None:
        """Forget the runners that have no limit any more."""
        self._refusals = {
            runner: refusal
            for runner, refusal in self._refusals.items()
            if runner in runners
        }
