"""The rests that runners have asked this VM for.

A runner that turns a call away may ask the VM that sent it to stay away for
some seconds. The rest is between the two: other VMs may go on sending calls.
"""

import typing

from .. import clock as clocks


class StatedRests:
    """The runners that want no calls of this VM for a while.

    :param clock: the source of time.
    """

    __slots__ = ("_clock", "_until")

    def __init__(self, clock: clocks.Clock) -> None:
        self._clock = clock
        #: When the rest of each runner ends.
        self._until: dict[str, float] = {}

    @property
    def left_s(self) -> dict[str, float]:
        """The seconds that are left of each runner's rest."""
        now = self._clock.now()
        return {
            runner: until - now
            for runner, until in self._until.items()
            if until > now
        }

    def rests(self, runner: str) -> bool:
        """Whether a runner wants no calls of this VM now."""
        return self._until.get(runner, float("-inf")) > self._clock.now()

    def record(self, runner: str, rest_s: float) -> bool:
        """Record that a runner asks for rest.

        A shorter rest does not end a longer one that was asked for before:
        responses may overtake each other.

        :param rest_s: the seconds for which it wants no calls.
        :returns: whether the runner's rest ends later than before.
        """
        until = self._clock.now() + rest_s
        if rest_s <= 0.0 or until <= self._until.get(runner, float("-inf")):
            return False
        self._until[runner] = until
        return True

    def keep_only(self, runners: typing.Container[str]) -> None:
        """Forget the rests that are over, and those of other runners."""
        now = self._clock.now()
        self._until = {
            runner: until
            for runner, until in self._until.items()
            if until > now and runner in runners
        }
