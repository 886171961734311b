"""The task that decides whether, when and where requests run.

The dispatcher owns admission, routing, the retry budget and the quarantine of
requests that crash runners. It tracks which request runs at which runner. It
does no I/O; other threads send requests and tell it the results.
"""

import random
import typing

from .. import clock as clocks
from .. import logs
from .. import mailbox
from .. import metrics as metrics_
from .. import refusals
from ..contracts import admission
from ..contracts import demand_meter
from ..contracts import retry_policy
from ..links import peer_pb2 as pb
from ..requests import recovery
from ..runners import crashes
from ..runners import model as runners
from ..runners import quarantine
from ..runners import routing

from . import dispatcher_messages
from . import dispatcher_status
from . import gossip_messages
from . import placements
from . import pool_capacities
from . import retry_decisions
from . import runner_availability
from . import runner_messages
from . import suspect_requests
from . import waiting_admissions

Announce = typing.Callable[[pb.Rumour], None]

NOT_READY_RETRY_AFTER_S = 0.5


class Dispatcher(mailbox.Task):
    """Admits the requests of one entry VM and chooses their runners.

    :param clock: the source of time.
    :param rng: randomises probes and routing choices.
    :param vm: this VM's name.
    :param data_centre: the data centre of this VM.
    :param metrics: receives the counters.
    :param announce: sends a rumour to the other entry VMs by gossip.
    """

    def __init__(
        self,
        clock: clocks.Clock,
        rng: random.Random,
        vm: str,
        data_centre: str,
        metrics: metrics_.Metrics,
        announce: Announce,
    ) -> None:
        super().__init__("desk", clock)
        self._vm = vm
        self._metrics = metrics
        self._announce = announce
        self._admission = admission.AdmissionController(clock, rng, vm)
        self._router = routing.Router(clock, rng, vm, data_centre)
        self._retries = retry_decisions.RetryDecisions(self._router)
        self._demand_meter = demand_meter.DemandMeter(clock, vm)
        self._pool_by_entry: dict[str, str] = {}
        self._waiting = waiting_admissions.WaitingAdmissions()
        self._placements = placements.Placements(clock, self._router, vm)
        self._availability = runner_availability.RunnerAvailability(clock)
        self._suspects = suspect_requests.SuspectRequests(
            clock, self._router, self._placements, metrics, vm
        )

    @mailbox.handles(dispatcher_messages.CatalogueInForce)
    def _apply_catalogue(
        self, message: dispatcher_messages.CatalogueInForce
    ) -> None:
        catalogue = message.catalogue
        self._admission.configure(catalogue)
        self._retries.retain_entries(frozenset(catalogue.entries))
        self._pool_by_entry = {
            name: entry.pool for name, entry in catalogue.entries.items()
        }

    @mailbox.handles(dispatcher_messages.Admit)
    def _admit(self, message: dispatcher_messages.Admit) -> mailbox.Deferred:
        self._waiting.add(message.ticket.request_id, self.defer())
        self._demand_meter.record_arrival(
            self._pool_by_entry.get(message.ticket.entry, "")
        )
        self._waiting.settle(self._admission.offer(message.ticket))
        return mailbox.DEFERRED

    @mailbox.handles(dispatcher_messages.Withdraw)
    def _withdraw(self, message: dispatcher_messages.Withdraw) -> None:
        self._waiting.forget(message.request_id)
        self._waiting.settle(self._admission.withdraw(message.request_id))

    @mailbox.handles(dispatcher_messages.Dispatch)
    def _dispatch(
        self, message: dispatcher_messages.Dispatch
    ) -> runners.Route | dispatcher_messages.TrialRequired:
        trial = self._suspects.check(message)
        if trial is not None and not message.on_trial:
            return trial
        route = self._choose_route(message)
        self._record_placement(message, route.runner)
        return route

    @mailbox.handles(dispatcher_messages.FirstToken)
    def _record_first_token(
        self, message: dispatcher_messages.FirstToken
    ) -> None:
        self._router.first_token(message.request_id)
        self._admission.first_token(message.request_id)

    @mailbox.handles(dispatcher_messages.AttemptEnded)
    def _record_attempt_end(
        self, message: dispatcher_messages.AttemptEnded
    ) -> crashes.CrashObservation | None:
        runner = self._placements.runner_of(message.request_id)
        report = None
        if runner is not None and message.crashed:
            report = self._suspects.record_crash(runner)
        self._placements.remove(message.request_id)
        self._router.request_finished(
            message.request_id, message.outcome, message.tokens
        )
        return report

    @mailbox.handles(dispatcher_messages.RequestEnded)
    def _record_request_end(
        self, message: dispatcher_messages.RequestEnded
    ) -> tuple[crashes.RequestCompleted, ...]:
        dispatch = self._placements.dispatch_of(message.request_id)
        self._placements.remove(message.request_id)
        self._demand_meter.record_end(message.request_id)
        self._router.request_finished(
            message.request_id, message.outcome, message.tokens
        )
        verdicts = self._admission.finished(
            message.request_id, message.outcome, message.tokens
        )
        self._waiting.settle(verdicts)
        succeeded = message.outcome is runners.Outcome.DONE
        if dispatch is None or not succeeded:
            return ()
        self._retries.record_success(dispatch.query.entry)
        return self._suspects.record_completion(dispatch.features)

    @mailbox.handles(dispatcher_messages.DecideRecovery)
    def _decide_recovery(
        self, message: dispatcher_messages.DecideRecovery
    ) -> recovery.RecoveryDecision:
        request = message.request
        runner = request.runner
        assert runner is not None
        situation = self._placements.situation(
            request,
            runner,
            message.cause,
            self._placements.candidates(request, message.excluded),
            message.failures,
            message.stuck_resumptions,
        )
        return recovery.decide(situation)

    @mailbox.handles(dispatcher_messages.MoveEnded)
    def _record_move(self, message: dispatcher_messages.MoveEnded) -> None:
        self._placements.record_export(message.tokens, message.seconds)

    @mailbox.handles(dispatcher_messages.DecideRetry)
    def _decide_retry(
        self, message: dispatcher_messages.DecideRetry
    ) -> retry_policy.Retry | retry_policy.NoRetry:
        return self._retries.decide(message)

    @mailbox.handles(runner_messages.RunnersListed)
    def _set_runners(self, message: runner_messages.RunnersListed) -> None:
        before = {runner.name for runner in self._router.runners}
        self._router.set_runners(message.runners)
        after = {runner.name for runner in self._router.runners}
        self._availability.keep_only(after)
        for name in sorted(after - before):
            logs.event("runner_found", runner=name)
        for name in sorted(before - after):
            logs.event("runner_gone", runner=name)
        self._update_pools()

    @mailbox.handles(runner_messages.RunnerStated)
    def _record_statement(self, message: runner_messages.RunnerStated) -> None:
        name = message.runner
        self._availability.record(name, message.statement, message.sent_at)
        if message.statement.leaves and not self._router.is_leaving(name):
            logs.event("runner_leaving", runner=name, said_by="response")
            self._router.mark_leaving(name)
            self._update_pools()

    @mailbox.handles(runner_messages.RunnerLeaving)
    def _mark_runner_leaving(
        self, message: runner_messages.RunnerLeaving
    ) -> bool:
        name = message.runner
        if self._router.runner(name) is None or self._router.is_leaving(name):
            self._router.mark_leaving(name)
            return False
        self._placements.set_reclaim_time(name, message.left_s)
        self._router.mark_leaving(name, self._clock.now() + message.left_s)
        self._update_pools()
        left_s = round(message.left_s, 3)
        logs.event("runner_leaving", runner=name, left_s=left_s)
        return True

    @mailbox.handles(runner_messages.RunnerGone)
    def _remove_runner(self, message: runner_messages.RunnerGone) -> None:
        if self._router.runner(message.runner) is not None:
            logs.event("runner_gone", runner=message.runner)
        self._router.remove_runner(message.runner)
        self._placements.forget_runner(message.runner)
        self._update_pools()

    @mailbox.handles(runner_messages.GetRunner)
    def _find_runner(
        self, message: runner_messages.GetRunner
    ) -> runners.Runner | None:
        return self._router.runner(message.runner)

    @mailbox.handles(runner_messages.LoadObserved)
    def _record_load(self, message: runner_messages.LoadObserved) -> None:
        self._router.observe_load(message.runner, message.report)
        if message.own:
            # Only an own read shows that the runner is healthy. A load that
            # a peer read may be older than the runner's crash.
            self._router.record_success(message.runner)

    @mailbox.handles(runner_messages.CacheEventsObserved)
    def _record_cache_events(
        self, message: runner_messages.CacheEventsObserved
    ) -> None:
        self._router.observe_cache(message.runner, message.events)

    @mailbox.handles(runner_messages.ProbeFailed)
    def _record_failed_probe(
        self, message: runner_messages.ProbeFailed
    ) -> None:
        self._router.record_failure(message.runner)

    @mailbox.handles(dispatcher_messages.DecideTrial)
    def _decide_trial(
        self, message: dispatcher_messages.DecideTrial
    ) -> quarantine.TrialDecision:
        return self._suspects.decide_trial(message.trial_request)

    @mailbox.handles(dispatcher_messages.TrialEnded)
    def _end_trial(self, message: dispatcher_messages.TrialEnded) -> None:
        self._suspects.end_trial(message.report)

    @mailbox.handles(dispatcher_messages.CrashReported)
    def _record_reported_crash(
        self, message: dispatcher_messages.CrashReported
    ) -> None:
        self._suspects.receive_report(message.report)

    @mailbox.handles(dispatcher_messages.CrashDetected)
    def _record_crash(
        self, message: dispatcher_messages.CrashDetected
    ) -> crashes.CrashObservation | None:
        """Record a runner's crash even if no request of this VM ran there.

        Crashes of idle runners show that a data centre is failing, and that
        the requests at its other runners did not cause their crashes.

        :returns: the report to send to the other entry VMs; None when the
            crash was reported already.
        """
        runner = self._router.runner(message.runner)
        return self._suspects.record_crash(runner) if runner else None

    @mailbox.handles(dispatcher_messages.ListCrashes)
    def _known_crashes(
        self, message: dispatcher_messages.ListCrashes
    ) -> list[crashes.CrashObservation]:
        return self._suspects.reports()

    @mailbox.handles(dispatcher_messages.MemberLeft)
    def _remove_member(self, message: dispatcher_messages.MemberLeft) -> None:
        self._admission.shares.remove_member(message.vm)

    @mailbox.handles(dispatcher_messages.MembersChanged)
    def _set_members(
        self, message: dispatcher_messages.MembersChanged
    ) -> None:
        vms = message.vms | {self._vm}
        self._admission.set_members(vms)
        self._availability.set_fleet_size(len(vms))

    @mailbox.handles(dispatcher_messages.DemandReported)
    def _record_reported_demand(
        self, message: dispatcher_messages.DemandReported
    ) -> None:
        self._admission.shares.receive(message.report, message.age_s)

    @mailbox.handles(dispatcher_messages.GetStatus)
    def _status(
        self, message: dispatcher_messages.GetStatus
    ) -> dict[str, object]:
        return {
            "in_flight": len(self._placements),
            "queued": len(self._waiting),
            "runners": dispatcher_status.runner_rows(self._router),
            "quarantine": {"deaths": self._suspects.crash_count},
            "cost": dispatcher_status.cost_rows(self._admission.spend_meter),
        }

    def tick(self) -> None:
        """Do the periodic work.

        Refuse requests that waited too long, move streams away from leaving
        runners, drop expired crashes and report demand to the other VMs.
        """
        self._waiting.settle(self._admission.tick())
        self._placements.evacuate()
        self._suspects.tick()
        limit_report = self._admission.take_report()
        if limit_report is not None:
            self._announce(gossip_messages.demand_rumour(limit_report))
        demand_report = self._demand_meter.take_report()
        if demand_report is not None:
            self._announce(gossip_messages.arrivals_rumour(demand_report))

    def stopped(self) -> None:
        """Refuse the requests that still wait for admission."""
        self._waiting.refuse_all()

    def failed(self, error: Exception) -> None:
        """Log an exception that a handler did not catch."""
        logs.event("task_failed", task=self.name, error=repr(error))

    def _choose_route(
        self, message: dispatcher_messages.Dispatch
    ) -> runners.Route:
        if message.required_runner:
            runner = self._router.runner(message.required_runner)
            if runner is not None:
                return runners.Route(runner, 0.0, 0)
        if not self._router.runners:
            raise refusals.Refusal(
                refusals.NOT_READY,
                "this entry VM has not received the list of runners yet",
                retry_after_s=NOT_READY_RETRY_AFTER_S,
            )
        query = message.query
        route = self._availability.choose(query, self._router)
        if isinstance(route, runners.NoRunner):
            self._metrics.count("routing.no_runner")
            raise refusals.Refusal(
                refusals.NO_RUNNER,
                f"no runner can take the request: {route.reason.value}",
                retry_after_s=min(
                    route.retry_after_s,
                    self._availability.wait_s(query.pool, self._router),
                ),
            )
        return route

    def _record_placement(
        self, message: dispatcher_messages.Dispatch, runner: runners.Runner
    ) -> None:
        self._placements.place(message, runner)
        self._demand_meter.record_start(message.request_id, runner.pool)
        self._router.request_started(
            message.request_id, runner.name, message.query
        )

    def _update_pools(self) -> None:
        """Pass on the runners of each pool after the runners have changed.

        Admission gets the slots and the price per slot of each pool, without
        the runners that are leaving; the quarantine gets the number of
        runners in each data centre.
        """
        for pool, capacity in pool_capacities.by_pool(self._router).items():
            self._admission.set_pool(
                pool, capacity.slots, capacity.price_per_slot_hour
            )
        self._suspects.update_runner_counts()
