"""Messages to the dispatcher, which decides whether and where requests run.

Other tasks receive some of them too. The reply to a message is the result of
the future that :meth:`.mailbox.Task.ask` returns.
"""

from ..catalogue import model as catalogues
from ..contracts import admission
from ..contracts import fleet_shares
from ..requests import recovery
from ..runners import call_features
from ..runners import crashes
from ..runners import model as runners
from ..runners import quarantine

from . import model_request


class CatalogueInForce:
    """A catalogue has come into force at this VM."""

    __slots__ = ("catalogue",)

    def __init__(self, catalogue: catalogues.Catalogue) -> None:
        self.catalogue = catalogue


class Admit:
    """Ask for admission of a request, which may first wait in a queue.

    The reply is None when the request is admitted; otherwise a Refusal is
    raised.
    """

    __slots__ = ("ticket",)

    def __init__(self, ticket: admission.Ticket) -> None:
        self.ticket = ticket


class Withdraw:
    """Withdraw a request that is queued or admitted and has not ended.

    It leaves the queue, or its admission ends as that of a cancelled request.
    """

    __slots__ = ("request_id",)

    def __init__(self, request_id: str) -> None:
        self.request_id = request_id


class Dispatch:
    """Choose a runner and record that the request is sent to it.

    The reply is a Route, or a TrialRequired when the request is suspected of
    crashing runners. A Refusal is raised when no runner can take it.

    :param request_id: the request's ID.
    :param query: describes the request to the router.
    :param features: what the request has in common with others.
    :param attempt: number of the attempt, from 1.
    :param request: told how to continue when the runner gets a reclaim
        notice; None for a call of a plain service, which stays at its runner.
    :param required_runner: name of the runner to use regardless of its score;
        empty to let the router choose.
    :param on_trial: whether the judge of the pool has allowed the run, as a
        trial at that runner or because the request is no longer suspect.
    """

    __slots__ = (
        "request_id",
        "query",
        "features",
        "attempt",
        "request",
        "required_runner",
        "on_trial",
    )

    def __init__(
        self,
        request_id: str,
        query: runners.Query,
        features: call_features.CallFeatures,
        attempt: int,
        request: model_request.ModelRequest | None = None,
        required_runner: str = "",
        on_trial: bool = False,
    ) -> None:
        self.request_id = request_id
        self.query = query
        self.features = features
        self.attempt = attempt
        self.request = request
        self.required_runner = required_runner
        self.on_trial = on_trial


class TrialRequired:
    """Reply to :class:`Dispatch`: the request may run only as a trial.

    The request may have crashed a runner. The judge, one entry VM for each
    pool, grants trials one at a time for equal requests.

    :param pool: name of the pool, which determines the VM that is its judge.
    :param trial_request: the request for a trial, to be sent to the judge.
    """

    __slots__ = ("pool", "trial_request")

    def __init__(
        self, pool: str, trial_request: quarantine.TrialRequest
    ) -> None:
        self.pool = pool
        self.trial_request = trial_request


class DecideTrial:
    """Ask this VM, as the judge of a pool, to grant a trial."""

    __slots__ = ("trial_request",)

    def __init__(self, trial_request: quarantine.TrialRequest) -> None:
        self.trial_request = trial_request


class TrialEnded:
    """Tell this VM, as the judge of a pool, that a trial has ended."""

    __slots__ = ("report",)

    def __init__(self, report: quarantine.TrialEnded) -> None:
        self.report = report


class CrashReported:
    """A peer reports a runner's crash, or that a suspect was answered."""

    __slots__ = ("report",)

    def __init__(self, report: crashes.Report) -> None:
        self.report = report


class DecideRetry:
    """Ask whether a failed attempt may be retried.

    The reply is a :class:`.retry_policy.Retry` or a
    :class:`.retry_policy.NoRetry`.

    :param entry: name of the catalogue entry.
    :param pool: name of the pool that may run the request.
    :param may_have_run: whether the failed attempt may have been executed.
    :param idempotent: whether the request may be executed more than once.
    :param attempts: how many attempts have failed.
    :param left_s: seconds to the deadline.
    :param tried: names of runners that failed the request.
    :param uncharged: whether the retry takes nothing from the retry budget,
        because overload is not the cause of the failure: the runner has
        ended, or all idle connections to it fell silent.
    """

    __slots__ = (
        "entry",
        "pool",
        "may_have_run",
        "idempotent",
        "attempts",
        "left_s",
        "tried",
        "uncharged",
    )

    def __init__(
        self,
        entry: str,
        pool: str,
        may_have_run: bool,
        idempotent: bool,
        attempts: int,
        left_s: float,
        tried: frozenset[str],
        uncharged: bool = False,
    ) -> None:
        self.entry = entry
        self.pool = pool
        self.may_have_run = may_have_run
        self.idempotent = idempotent
        self.attempts = attempts
        self.left_s = left_s
        self.tried = tried
        self.uncharged = uncharged


class CrashDetected:
    """A runner refuses connections, so its process has ended.

    The reply is the crash report to send to the other entry VMs; None when
    the crash was reported already.
    """

    __slots__ = ("runner",)

    def __init__(self, runner: str) -> None:
        self.runner = runner


class ListCrashes:
    """Ask for all known crashes, to report them to a VM that has joined."""

    __slots__ = ()


class MemberLeft:
    """A process of an entry VM has certainly ended.

    This frees its shares of the fleet's limits.
    """

    __slots__ = ("vm",)

    def __init__(self, vm: str) -> None:
        self.vm = vm


class MembersChanged:
    """The entry VMs that share the fleet's limits on entries have changed.

    :param vms: names of the entry VMs that share the fleet's limits.
    """

    __slots__ = ("vms",)

    def __init__(self, vms: frozenset[str]) -> None:
        self.vms = vms


class DemandReported:
    """A peer reports how much of the fleet's limits its requests need.

    :param report: the demand.
    :param age_s: seconds since the peer made the report.
    """

    __slots__ = ("report", "age_s")

    def __init__(
        self, report: fleet_shares.DemandReport, age_s: float
    ) -> None:
        self.report = report
        self.age_s = age_s


class FirstToken:
    """The first token of the answer to a request has arrived."""

    __slots__ = ("request_id",)

    def __init__(self, request_id: str) -> None:
        self.request_id = request_id


class AttemptEnded:
    """An attempt has ended without an answer, and another one may follow.

    The reply is the crash report to send to the other entry VMs, or None.

    :param request_id: the request's ID.
    :param outcome: how the attempt ended.
    :param crashed: whether the runner's process seems to have ended.
    :param tokens: length of the answer; 0 when unknown.
    """

    __slots__ = ("request_id", "outcome", "crashed", "tokens")

    def __init__(
        self,
        request_id: str,
        outcome: runners.Outcome,
        crashed: bool = False,
        tokens: int = 0,
    ) -> None:
        self.request_id = request_id
        self.outcome = outcome
        self.crashed = crashed
        self.tokens = tokens


class DecideRecovery:
    """Ask how to continue a stream after an attempt has failed.

    The reply is a ``recovery.RecoveryDecision``.

    :param request: the request that the stream answers.
    :param cause: why the stream needs a decision.
    :param failures: how many attempts have failed.
    :param stuck_resumptions: how often in a row the stream was resumed at its
        runner without a new token.
    :param excluded: names of runners that the stream must not move to.
    """

    __slots__ = (
        "request",
        "cause",
        "failures",
        "stuck_resumptions",
        "excluded",
    )

    def __init__(
        self,
        request: model_request.ModelRequest,
        cause: recovery.RecoveryCause,
        failures: int,
        stuck_resumptions: int,
        excluded: frozenset[str],
    ) -> None:
        self.request = request
        self.cause = cause
        self.failures = failures
        self.stuck_resumptions = stuck_resumptions
        self.excluded = excluded


class MoveEnded:
    """The move of a stream's state to another runner has ended or failed.

    :param tokens: length of the prompt and the answer so far.
    :param seconds: duration of the move; None when it failed.
    """

    __slots__ = ("tokens", "seconds")

    def __init__(self, tokens: int, seconds: float | None) -> None:
        self.tokens = tokens
        self.seconds = seconds


class RequestEnded:
    """A request has ended and no longer occupies a slot.

    The reply is a report for the other entry VMs that the request has
    completed; None when there is nothing to report.

    :param request_id: the request's ID.
    :param outcome: how the request ended.
    :param first_token_s: seconds to the first token, or to the whole answer
        of a service call; None when no token came.
    :param tokens: length of the prompt and the answer; 1 for a service call.
    """

    __slots__ = ("request_id", "outcome", "first_token_s", "tokens")

    def __init__(
        self,
        request_id: str,
        outcome: runners.Outcome,
        first_token_s: float | None,
        tokens: int,
    ) -> None:
        self.request_id = request_id
        self.outcome = outcome
        self.first_token_s = first_token_s
        self.tokens = tokens


class GetStatus:
    """Ask a task to describe its state for the status page."""

    __slots__ = ()
