"""Decides whether and where a request that may crash its runner can run.

A request that was at a runner when the runner crashed is a suspect; after a
second crash it is quarantined, and is refused for some time. A suspect runs
only as a trial, which the judge, one entry VM for each pool, grants at one
runner. Requests are known by their features: the fingerprint, a hash that is
the same for all repetitions of a request, and the parts of the prompt. This is
part of the dispatcher's state and does no I/O.
"""

import collections

from .. import clock as clocks
from .. import logs
from .. import metrics as metrics_
from .. import refusals
from ..runners import call_features
from ..runners import crashes
from ..runners import model as runners
from ..runners import quarantine
from ..runners import recent_answers
from ..runners import routing

from . import dispatcher_messages
from . import placements as placements_

MAX_TRIAL_CANDIDATES = 4
#: The greatest number of runners that a log line names.
MAX_LOGGED = 8


class SuspectRequests:
    """The crashes known to this VM and the requests suspected of them.

    :param router: knows the runners.
    :param placements: knows the requests that are in flight at a runner.
    :param metrics: counts the quarantined requests.
    :param vm: this VM's name.
    """

    __slots__ = (
        "_metrics",
        "_placements",
        "_quarantine",
        "_recent_answers",
        "_router",
        "_vm",
    )

    def __init__(
        self,
        clock: clocks.Clock,
        router: routing.Router,
        placements: placements_.Placements,
        metrics: metrics_.Metrics,
        vm: str,
    ) -> None:
        self._quarantine = quarantine.Quarantine(clock)
        self._recent_answers = recent_answers.RecentAnswers(clock)
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
        cause = self._quarantine.cause_of(dispatch.features)
        if cause is not None:
            wait_s = self._quarantine.cause_wait_s(cause)
            if wait_s:
                raise self._refusal(dispatch, cause.key, wait_s)
            return self._request_trial(dispatch, cause.key)
        name = dispatch.features.fingerprint
        status = self._quarantine.status(name)
        if status.state is quarantine.FingerprintState.QUARANTINED:
            raise self._refusal(dispatch, name, status.retry_after_s)
        suspect = status.state is quarantine.FingerprintState.SUSPECT
        return self._request_trial(dispatch, name) if suspect else None

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
        if self._quarantine.receive(report):
            self._apply_recent_answers()

    def record_crash(
        self, runner: runners.Runner
    ) -> crashes.CrashObservation | None:
        """Record the crash of a runner.

        :returns: a report for the other VMs, or None when the crash is on
            record already.
        """
        report = self._placements.crashed(runner)
        if report is not None and self._quarantine.receive(report):
            self._apply_recent_answers()
        return report

    def record_completion(
        self, features: call_features.CallFeatures
    ) -> tuple[crashes.RequestCompleted, ...]:
        """Record that a request was answered in full.

        :returns: a report for the other VMs on each feature that was at a
            crash since its last answer.
        """
        self._recent_answers.add(lambda: features, 0)
        reports = tuple(
            crashes.RequestCompleted(name, 0.0)
            for name in sorted(features.names)
            if self._quarantine.log.is_implicated(name)
        )
        for report in reports:
            self._quarantine.receive(report)
        return reports

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

    def _apply_recent_answers(self) -> None:
        """Apply the answers that came before their crash was heard of."""
        for name, age_s in self._recent_answers.latest_ages().items():
            self._quarantine.receive(crashes.RequestCompleted(name, age_s))

    def _refusal(
        self,
        dispatch: dispatcher_messages.Dispatch,
        name: str,
        retry_after_s: float,
    ) -> refusals.Refusal:
        """The refusal of a request for one of its features.

        :param name: the name of the feature.
        """
        self._metrics.count("requests.quarantined")
        evidence = self._quarantine.log.crashes_with(name)
        logs.event(
            "request_quarantined",
            request=dispatch.request_id,
            entry=dispatch.query.entry,
            fingerprint=dispatch.features.fingerprint,
            feature=name,
            crashes=len(evidence),
            runners=",".join(c.runner for c in evidence[-MAX_LOGGED:]),
        )
        return refusals.Refusal(
            refusals.QUARANTINED,
            "requests like this one crashed the runners they ran on",
            retry_after_s=retry_after_s,
        )

    def _request_trial(
        self, dispatch: dispatcher_messages.Dispatch, name: str
    ) -> dispatcher_messages.TrialRequired:
        """Ask for a trial of a request for one of its features."""
        routes = self._router.ranked(dispatch.query, MAX_TRIAL_CANDIDATES)
        candidates = tuple(
            quarantine.TrialCandidate(
                route.runner.name, route.runner.data_centre
            )
            for route in routes
        )
        trial_request = quarantine.TrialRequest(
            name, dispatch.request_id, candidates
        )
        return dispatcher_messages.TrialRequired(
            dispatch.query.pool, trial_request
        )
