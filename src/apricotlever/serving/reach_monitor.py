"""Tells this VM's components when it loses all runners and is back.

:mod:`..runners.reachability` decides it.
"""

import math
import random
import typing

from .. import clock as clocks
from .. import logs
from ..runners import probe_targets
from ..runners import reachability
from ..runners import routing

from . import runners

#: Runners that a log line names at most.
MAX_NAMED = 4


class ReachMonitor:
    """Feeds the decision, and acts on its changes.

    What the router learned while paths were lost is forgotten afterwards. It
    would otherwise find no runner for the first calls.

    :param process: the name of this VM's process.
    :param changed: called when this VM has lost its paths to all runners, or
        has them again.
    """

    __slots__ = (
        "_changed",
        "_clock",
        "_cut_at",
        "_reach",
        "_router",
        "_state",
    )

    def __init__(
        self,
        clock: clocks.Clock,
        process: str,
        router: routing.Router,
        changed: typing.Callable[[], None],
    ) -> None:
        self._clock = clock
        self._router = router
        self._changed = changed
        self._reach = reachability.Reachability(clock, random.Random(process))
        self._state = self._reach.state
        #: When this VM lost its paths, as told; None while it has them.
        self._cut_at: float | None = None

    @property
    def reach(self) -> reachability.Reachability:
        """Which runners this VM reaches."""
        return self._reach

    @property
    def metrics(self) -> dict[str, float]:
        """Metrics without labels, by name."""
        return {
            "isolated": int(self._reach.is_isolated),
            "reach_probes_total": self._reach.probes,
        }

    def set_runners(self, listed: typing.Iterable[runners.Runner]) -> None:
        """Set the known runners. Leaving ones are ignored if others stay."""
        listed = list(listed)
        staying = [runner for runner in listed if not runner.leaving]
        places = {
            runner.runner_id: probe_targets.Place(
                runner.service, runner.data_centre
            )
            for runner in staying or listed
        }
        self._reach.set_runners(places, places)

    def bytes_received(self, runner: str) -> None:
        """Record that bytes arrived from a runner."""
        self._reach.bytes_received(runner)
        if self._cut_at is not None:
            self.update()

    def connection_opened(self, runner: str, at: float = math.inf) -> None:
        """Record that a connection to a runner opened.

        :param at: when it opened, by the clock, if that is only seen now.
        """
        self._reach.connection_opened(runner, at)
        if self._cut_at is not None:
            self.update()

    def update(self) -> None:
        """Act on a change of the state.

        To be called several times a second.
        """
        state, before = self._reach.state, self._state
        if state is before:
            return
        self._state = state
        if state in reachability.LACKING:
            if self._cut_at is None:
                self._cut_at = self._reach.since
                self._changed()
            self._log_evidence(state)
        elif self._cut_at is not None:
            closed = self._router.forget_failures(self._reach.cut_since)
            logs.event(
                "runners_reachable",
                for_s=self._clock.now() - self._cut_at,
                circuits_closed=closed,
            )
            self._cut_at = None
            self._changed()

    def _log_evidence(self, state: reachability.Reach) -> None:
        found = self._reach.evidence
        logs.event(
            "runners_unreachable",
            state=state.value,
            failed=len(found.failed),
            runners=",".join(found.failed[:MAX_NAMED]),
            failures=found.failures,
            probes=found.probes,
            bytes_age_s=found.bytes_age_s,
            peers_reaching=found.peers_reaching,
            peers_isolated=found.peers_isolated,
            peers_age_s=found.peers_age_s,
        )
