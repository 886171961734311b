"""Applies refused connections, of this VM and of others, to the routing.

:mod:`..runners.refused_connections` decides which of them count.
"""

import typing

from .. import clock as clocks
from .. import logs
from ..runners import refused_connections
from ..runners import routing

from . import modes


class RunnerRefusals:
    """Records which runners refuse connections, and tells the router.

    :param mode: the mode of the part ``priorities``. With ``off``, a refused
        connection is a failure like any other; with ``observe``, it is so for
        the router, but is reported and logged.
    """

    __slots__ = ("_mode", "_refused", "_router")

    def __init__(
        self, clock: clocks.Clock, router: routing.Router, mode: modes.Mode
    ) -> None:
        self._router = router
        self._mode = mode
        self._refused = refused_connections.RefusedConnections(clock)

    @property
    def refused_here(self) -> list[str]:
        """Runners that have just refused a connection of this VM."""
        return self._refused.refused_here

    def keep_only(self, present: typing.Container[str]) -> None:
        """Discard what is known of all runners but those present."""
        self._refused.keep_only(present)

    def record_failure(self, name: str, refused: bool) -> None:
        """Record that no connection to a runner could be opened.

        :param refused: whether the runner's host refused it.
        """
        if refused and self._mode is not modes.Mode.OFF:
            if name not in self._refused.refused_here:
                self._log(name, 0)
            self._refused.refused(name)
        if refused and self._mode is modes.Mode.ON:
            self._router.record_refused(name)
        else:
            self._router.record_failure(name)

    def record_answer(self, name: str) -> bool:
        """Record that bytes arrived from a runner.

        :returns: whether this VM has more to report to the others now.
        """
        return self._refused.answered(name)

    def apply_reports(self, counts: typing.Mapping[str, int]) -> None:
        """Apply how many VMs report that each runner refuses connections."""
        if self._mode is modes.Mode.OFF:
            return
        for name in self._refused.set_reports(counts):
            self._log(name, counts[name])
        if self._mode is modes.Mode.ON:
            self._router.set_reported(
                self._refused.reported, self._refused.confirmed
            )

    def _log(self, name: str, reporters: int) -> None:
        """Log a runner's refusals.

        :param reporters: number of VMs that report it; 0 if this VM met it.
        """
        logs.event(
            "runner_refuses",
            runner=name,
            reporters=reporters,
            mode=self._mode.value,
        )
