"""Decides whether and where a request that may crash its runner can run.

A request that was at a runner when the runner crashed is a suspect; after a
second crash it is quarantined, and is refused for some time. A suspect runs
only as a trial, which the judge, one entry VM for each pool, grants at one
runner. Requests are known by their fingerprint, a hash that is the same for
all repetitions of a request. This is part of the dispatcher's state and does
no I/O.
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

MAX_TRIAL_CANDIDATES = 4


class SuspectRequests:
    """The crashes known to this VM and the requests suspected of them.

    :param router: knows the runners.
    :param placements: knows the requests that are in flight at a runner.
    :param metrics: counts the quarantined requests.
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
    def crash_count(self) -> int:
        """The number of runner crashes on record."""
        return len(self._quarantine.log.crashes)

    def check(
        self, dispatch: dispatcher_messages.Dispatch
    ) -> dispatcher_messages.TrialRequired | None:
        """Check a request before it is sent to a runner.

        :param dispatch: the request.
        :returns: a request for a trial, to be sent to the judge of the pool,
            or None when the request may run anywhere.
        :raises Refusal: when the request is quarantined.
        """
        status = self._quarantine.status(dispatch.fingerprint)
        if status.state is quarantine.FingerprintState.QUARANTINED:
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
                retry_after_s=status.retry_after_s,
            )
        suspect = status.state is quarantine.FingerprintState.SUSPECT
        return self._request_trial(dispatch) if suspect else None

    def decide_trial(
        self, request: quarantine.TrialRequest
    ) -> quarantine.TrialDecision:
        """Decide, as the judge of a pool, whether and where a suspect runs."""
        return self._quarantine.decide(request)

    def end_trial(self, report: quarantine.TrialEnded) -> None:
        """Record that a trial which this VM granted no longer runs."""
        self._quarantine.end_trial(report)

    def receive_report(self, report: crashes.Report) -> None:
        """Record a peer's report of a crash or of a completed suspect."""
        self._quarantine.receive(report)

    def record_crash(
        self, runner: runners.Runner
    ) -> crashes.CrashObservation | None:
        """Record the crash of a runner.

        :returns: a report for the other VMs, or None when the crash is on
            record already.
        """
        report = self._placements.crashed(runner)
        if report is not None:
            self._quarantine.receive(report)
        return report

    def record_completion(
        self, fingerprint: str
    ) -> crashes.RequestCompleted | None:
        """Record that a request was answered in full.

        :returns: a report for the other VMs, or None when the request was
            not suspected.
        """
        status = self._quarantine.status(fingerprint)
        if status.state is quarantine.FingerprintState.CLEAR:
            return None
        report = crashes.RequestCompleted(fingerprint, 0.0)
        self._quarantine.receive(report)
        return report

    def reports(self) -> list[crashes.CrashObservation]:
        """All crashes on record, for a VM that has just started."""
        return self._quarantine.log.reports(self._vm)

    def update_runner_counts(self) -> None:
        """Tell the quarantine the number of runners in each data centre."""
        self._quarantine.set_sizes(
            collections.Counter(
                runner.data_centre for runner in self._router.runners
            )
        )

    def tick(self) -> None:
        """Drop expired crashes and trials."""
        self._quarantine.tick()

    def _request_trial(
        self, dispatch: dispatcher_messages.Dispatch
    ) -> dispatcher_messages.TrialRequired:
        routes = self._router.ranked(dispatch.query, MAX_TRIAL_CANDIDATES)
        candidates = tuple(
            quarantine.TrialCandidate(
                route.runner.name, route.runner.data_centre
            )
            for route in routes
        )
        trial_request = quarantine.TrialRequest(
            dispatch.fingerprint, dispatch.request_id, candidates
        )
        return dispatcher_messages.TrialRequired(
            dispatch.query.pool, trial_request
        )
