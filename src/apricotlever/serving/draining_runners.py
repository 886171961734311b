"""Runners that are leaving, but still continue streams of their version.

A runner serves on for a while after it has said that it leaves. New calls go
elsewhere. A stream whose version has no other runner is lost without it.
"""

import typing

from .. import clock as clocks
from ..runners import model as models

from . import runners

#: Part of the time in which leaving runners may still get calls for which a
#: stream is sent to one. Another VM may have learned of its leaving earlier.
USABLE_SHARE = 0.4


class DrainingRunners:
    """The runners that this VM has seen begin to leave of late.

    :param drain_s: the time within which a runner that leaves must stop
        receiving work, in seconds.
    """

    __slots__ = ("_clock", "_leaving_since", "_ready", "_usable_s")

    def __init__(self, clock: clocks.Clock, drain_s: float) -> None:
        self._clock = clock
        self._usable_s = USABLE_SHARE * drain_s
        #: The runners that took calls when the list last changed.
        self._ready: frozenset[str] = frozenset()
        #: When this VM learned that a runner leaves. One that it never knew
        #: otherwise may have left long before.
        self._leaving_since: dict[str, float] = {}

    def update(self, listed: typing.Iterable[runners.Runner]) -> None:
        """Apply a changed list of all runners."""
        now = self._clock.now()
        leaving: set[str] = set()
        ready: set[str] = set()
        for runner in listed:
            known = leaving if runner.leaving else ready
            known.add(runner.runner_id)
        self._leaving_since = {
            name: self._leaving_since.get(name, now)
            for name in leaving
            if name in self._ready or name in self._leaving_since
        }
        self._ready = frozenset(ready)

    def usable(
        self,
        listed: typing.Iterable[runners.Runner],
        query: models.ContinuationQuery,
        unavailable: typing.Container[str],
    ) -> list[runners.Runner]:
        """The leaving runners at which a stream may go on.

        :param listed: all runners.
        :param unavailable: runners that take no call by their own word.
        """
        since = self._clock.now() - self._usable_s
        origin = query.origin
        return [
            runner
            for runner in listed
            if origin.version
            and runner.origin == origin
            and self._leaving_since.get(runner.runner_id, since) > since
            and not runner.withdrawn
            and runner.runner_id not in query.excluded
            and runner.runner_id not in unavailable
        ]
