"""Reports failed attempts, crashes and ended trials.

The dispatcher decides whether to retry a failed attempt, the other entry VMs
learn of crashes, and the judge of a pool learns that a trial has ended. A
suspect is a request that may have crashed a runner. A trial is a run of a
suspect that the judge, one entry VM for each pool, has granted.
"""

from concurrent import futures
import time

from .. import refusals
from ..contracts import retry_policy
from ..links import upstream_exchange
from ..runners import crashes
from ..runners import model as runners
from ..runners import quarantine

from . import context as contexts
from . import dispatcher_messages
from . import fleet_link
from . import runner_messages
from . import runner_selection

#: How long a retry waits for crash reports from other entry VMs, in seconds.
#: The reports arrive within 3 to 30 ms on a machine whose cores are all busy.
CRASH_REPORT_WAIT_S = 0.15


def request_retry(
    context: contexts.Context,
    message: dispatcher_messages.DecideRetry,
    refusal: runner_selection.RefusalFactory,
) -> retry_policy.Retry:
    """Ask the dispatcher whether a failed attempt may be retried.

    :param context: the daemon's tasks.
    :param message: describes the failed attempt.
    :param refusal: makes a refusal that states whether the request was
        executed.
    :returns: the permission, which lists the runners to avoid.
    :raises Refusal: when no retry is allowed.
    """
    decision = context.wait_for_reply(context.dispatcher.ask(message))
    if isinstance(decision, retry_policy.NoRetry):
        raise refusal(
            refusals.GAVE_UP,
            f"the upstream failed and the request is not retried: "
            f"{decision.reason.value}",
            1.0,
        )
    return decision


def report_statement(
    context: contexts.Context,
    runner: str,
    exchange: upstream_exchange.Exchange,
    request_id: str,
    sent_at: float,
) -> None:
    """Tell the dispatcher what a runner says of itself in a response.

    Nothing is taken from a response to another request. A response that says
    nothing counts as well: it may lift a limit.

    :param context: the daemon's tasks.
    :param runner: the name of the runner.
    :param exchange: the exchange, whose response has begun.
    :param request_id: the request that was sent.
    :param sent_at: a time before it was sent, by this VM's clock.
    """
    echoed = exchange.header(upstream_exchange.REQUEST_HEADER)
    if echoed in ("", request_id):
        context.dispatcher.tell(
            runner_messages.RunnerStated(runner, exchange.statement, sent_at)
        )


def failure_outcome(
    error: upstream_exchange.UpstreamError,
) -> runners.Outcome:
    """The outcome of a failed attempt, as counted for the runner's health.

    A runner that asks for rest has not failed.
    """
    if isinstance(error, upstream_exchange.UpstreamErrorResponse):
        if error.asks_for_rest:
            return runners.Outcome.CANCELLED
    return runners.Outcome.FAILED


def send_report(
    context: contexts.Context, report: crashes.Report | None, wait: bool
) -> None:
    """Send the other entry VMs a report of a crash or a completed suspect.

    A completed suspect was answered in full, which clears it of suspicion.

    :param context: the daemon's tasks.
    :param report: the dispatcher's report on the attempt; None sends nothing.
    :param wait: whether to return only when the others have the report. A
        caller that gets its answer may at once send the request again to
        another entry VM, which must have the report by then.
    :raises Refusal: when this VM is stopping.
    """
    if report is None:
        return
    future = context.fleet.ask(fleet_link.BroadcastCrashReport(report))
    if wait:
        context.wait_for_reply(future)


def send_answers(
    context: contexts.Context,
    ended: "futures.Future[tuple[crashes.RequestCompleted, ...]]",
    wait: bool,
) -> None:
    """Send the other entry VMs what an answer shows of suspected features.

    :param context: the daemon's tasks.
    :param ended: the dispatcher's reports on the end of the request.
    :param wait: whether to return only when the others have the reports.
    :raises Refusal: when this VM is stopping.
    """
    if wait:
        for report in context.wait_for_reply(ended):
            send_report(context, report, True)
        return

    def send(
        done: "futures.Future[tuple[crashes.RequestCompleted, ...]]",
    ) -> None:
        for report in () if done.exception() else done.result():
            context.fleet.tell(fleet_link.BroadcastCrashReport(report))

    ended.add_done_callback(send)


def wait_for_crash_reports() -> None:
    """Wait until other entry VMs have reported the crash of a runner.

    A runner that refuses a connection has probably just crashed. The cause
    may be one of its requests, possibly a copy of the request to be retried.
    A retry before the crash reports arrive could crash a further runner:
    three copies sent to three entry VMs within 30 ms crashed a third runner
    in 4 of 50 runs.
    """
    time.sleep(CRASH_REPORT_WAIT_S)


def end_trial(
    context: contexts.Context, pool: str, fingerprint: str, request_id: str
) -> None:
    """Report to the judge of a pool that a trial has ended.

    :param context: the daemon's tasks.
    :param pool: name of the pool.
    :param fingerprint: fingerprint of the suspect.
    :param request_id: ID of the request that ran as the trial.
    """
    report = quarantine.TrialEnded(fingerprint, request_id)
    context.fleet.tell(fleet_link.ReportTrialEnd(pool, report))
