"""Requests that may crash their runners: who may run, and where.

Part of the desk's state: a class without I/O, which the desk drives.
"""

import collections

from .. import clock as clocks
from .. import logs
from .. import metrics as metrics_
from .. import refusals
from ..runners import crashes
from ..runners import model as runners
from ..runners import quarantine
from ..runners import routing

from . import dispatcher_messages
from . import placements as placements_

TRIAL_PLACES = 4


class SuspectRequests:
    """What this VM knows of crashes and of the requests behind them.

    :param router: knows the runners.
    :param placements: knows what is at a runner when it dies.
    :param vm: this VM's name.
    """

    __slots__ = ("_quarantine", "_router", "_placements", "_metrics", "_vm")

    def __init__(
        self,
        clock: clocks.Clock,
        router: routing.Router,
        placements: placements_.Placements,
        metrics: metrics_.Metrics,
        vm: str,
    ) -> None:
        self._quarantine = quarantine.Quarantine(clock)
        self._router = router
        self._placements = placements
        self._metrics = metrics
        self._vm = vm

    @property
    def deaths(self) -> int:
        """Deaths of runners on record."""
        return len(self._quarantine.log.crashes)

    def check(
        self, dispatch: dispatcher_messages.Dispatch
    ) -> dispatcher_messages.TrialWanted | None:
        """Look a request up before it goes to a runner.

        :returns: a question for the judge of its pool, or None when it may
            run anywhere.
        :raises Refusal: when it is quarantined.
        """
        standing = self._quarantine.status(dispatch.fingerprint)
        if standing.state is quarantine.FingerprintState.QUARANTINED:
            self._metrics.count("requests.quarantined")
            logs.event(
                "request_quarantined",
                request=dispatch.request_id,
                entry=dispatch.query.entry,
                fingerprint=dispatch.fingerprint,
            )
            raise refusals.Refusal(
                refusals.QUARANTINED,
                "requests like this one crashed the runners they ran on",
                retry_after_s=standing.retry_after_s,
            )
        suspect = standing.state is quarantine.FingerprintState.SUSPECT
        return self._trial(dispatch) if suspect else None

    def judge(
        self, question: quarantine.TrialRequest
    ) -> quarantine.TrialDecision:
        """Decide on a suspect, as the judge of its pool."""
        return self._quarantine.decide(question)

    def trial_over(self, report: quarantine.TrialEnded) -> None:
        """A trial that this VM handed out has ended."""
        self._quarantine.end_trial(report)

    def heard(self, report: crashes.Report) -> None:
        """A peer reports a death or a survival."""
        self._quarantine.receive(report)

    def crashed(
        self, runner: runners.Runner
    ) -> crashes.CrashObservation | None:
        """A runner died.

        :returns: a report to spread, or None when it is on record already.
        """
        report = self._placements.crashed(runner)
        if report is not None:
            self._quarantine.receive(report)
        return report

    def survived(self, fingerprint: str) -> crashes.RequestCompleted | None:
        """A request was answered in full.

        :returns: a report to spread, if it was suspected.
        """
        standing = self._quarantine.status(fingerprint)
        if standing.state is quarantine.FingerprintState.CLEAR:
            return None
        report = crashes.RequestCompleted(fingerprint, 0.0)
        self._quarantine.receive(report)
        return report

    def reports(self) -> list[crashes.CrashObservation]:
        """All deaths on record, for a VM that has just started."""
        return self._quarantine.log.reports(self._vm)

    def resize(self) -> None:
        """Tell how many runners each data centre has."""
        self._quarantine.set_sizes(
            collections.Counter(r.data_centre for r in self._router.runners)
        )

    def tick(self) -> None:
        """Forget what is too old to matter."""
        self._quarantine.tick()

    def _trial(
        self, dispatch: dispatcher_messages.Dispatch
    ) -> dispatcher_messages.TrialWanted:
        routes = self._router.ranked(dispatch.query, TRIAL_PLACES)
        places = tuple(
            quarantine.TrialCandidate(
                route.runner.name, route.runner.data_centre
            )
            for route in routes
        )
        question = quarantine.TrialRequest(
            dispatch.fingerprint, dispatch.request_id, places
        )
        return dispatcher_messages.TrialWanted(dispatch.query.pool, question)
