"""Messages between the daemon's tasks."""

from ..catalogue import model as catalogues
from ..contracts import admission
from ..contracts import fleet_shares
from ..requests import recovery
from ..runners import crashes
from ..runners import model as runners
from ..runners import quarantine

from . import model_request


class CatalogueInForce:
    """A catalogue came into force at this VM."""

    __slots__ = ("catalogue",)

    def __init__(self, catalogue: catalogues.Catalogue) -> None:
        self.catalogue = catalogue


class Admit:
    """Ask for admission; answered with None or a Refusal."""

    __slots__ = ("ticket",)

    def __init__(self, ticket: admission.Ticket) -> None:
        self.ticket = ticket


class Withdraw:
    """The caller left before its request was admitted."""

    __slots__ = ("request_id",)

    def __init__(self, request_id: str) -> None:
        self.request_id = request_id


class Dispatch:
    """Ask for a runner, and count the request as sent there.

    Answered with a Route, or a TrialWanted when the request is suspected of
    crashing runners; raises Refusal.

    :param fingerprint: names the request across the fleet.
    :param attempt: counts from 1.
    :param flight: told what to do when the runner gets a notice; None for
        a plain service's call, which is left to end by itself.
    :param only: a runner that is wanted whatever its score, or empty.
    :param on_trial: whether a judge has sent the request to that runner.
    """

    __slots__ = (
        "request_id",
        "query",
        "fingerprint",
        "attempt",
        "flight",
        "only",
        "on_trial",
    )

    def __init__(
        self,
        request_id: str,
        query: runners.Query,
        fingerprint: str,
        attempt: int,
        flight: model_request.ModelRequest | None = None,
        only: str = "",
        on_trial: bool = False,
    ) -> None:
        self.request_id = request_id
        self.query = query
        self.fingerprint = fingerprint
        self.attempt = attempt
        self.flight = flight
        self.only = only
        self.on_trial = on_trial


class TrialWanted:
    """A suspect may run only where the judge of its pool says.

    :param pool: the judge is picked by its name.
    :param question: what to ask the judge.
    """

    __slots__ = ("pool", "question")

    def __init__(self, pool: str, question: quarantine.TrialRequest) -> None:
        self.pool = pool
        self.question = question


class Judge:
    """Asks this VM, as the judge of a pool, about a suspect."""

    __slots__ = ("question",)

    def __init__(self, question: quarantine.TrialRequest) -> None:
        self.question = question


class TrialOver:
    """Tells this VM, as the judge of a pool, that a trial has ended."""

    __slots__ = ("report",)

    def __init__(self, report: quarantine.TrialEnded) -> None:
        self.report = report


class CrashHeard:
    """A peer reports a runner's death, or a suspect's survival."""

    __slots__ = ("report",)

    def __init__(self, report: crashes.Report) -> None:
        self.report = report


class MayRetry:
    """Ask whether an attempt that failed may be followed by another.

    Answered with :class:`.retry_policy.Retry` or
    :class:`.retry_policy.NoRetry`.

    :param pool: where the request may run.
    :param uncharged: the runner ended, or its kept connections all fell
        silent; then the failure is not an overload's doing, and the retry
        takes nothing out of the budget.
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


class DeathSeen:
    """A runner refuses connections; answered with a report to spread.

    The answer is None when it is known already.
    """

    __slots__ = ("runner",)

    def __init__(self, runner: str) -> None:
        self.runner = runner


class CrashesKnown:
    """Ask for all deaths on record, for a VM that has just started."""

    __slots__ = ()


class MemberLeft:
    """A process of an entry VM is gone for certain."""

    __slots__ = ("vm",)

    def __init__(self, vm: str) -> None:
        self.vm = vm


class MembersSeen:
    """The entry VMs that share the fleet's limits, by name."""

    __slots__ = ("vms",)

    def __init__(self, vms: frozenset[str]) -> None:
        self.vms = vms


class DemandHeard:
    """A peer's demand on the fleet's limits.

    :param age_s: since it was reported.
    """

    __slots__ = ("report", "age_s")

    def __init__(
        self, report: fleet_shares.DemandReport, age_s: float
    ) -> None:
        self.report = report
        self.age_s = age_s


class FirstToken:
    """The answer to a request has begun."""

    __slots__ = ("request_id",)

    def __init__(self, request_id: str) -> None:
        self.request_id = request_id


class AttemptEnded:
    """An attempt is over.

    :param crashed: whether the runner's process seems to have ended.
    :param tokens: of the answer, 0 when not known.
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


class StreamBroke:
    """Ask what becomes of a stream; answered with a recovery.Decision.

    :param cause: why the stream needs a decision.
    :param failures: attempts that broke so far.
    :param same_runner: times it was resumed at the same runner in a row.
    :param excluded: runners that it must not go to.
    """

    __slots__ = ("flight", "cause", "failures", "same_runner", "excluded")

    def __init__(
        self,
        flight: model_request.ModelRequest,
        cause: recovery.RecoveryCause,
        failures: int,
        same_runner: int,
        excluded: frozenset[str],
    ) -> None:
        self.flight = flight
        self.cause = cause
        self.failures = failures
        self.same_runner = same_runner
        self.excluded = excluded


class MoveEnded:
    """An export and import is over.

    :param tokens: that were moved.
    :param seconds: that it took, or None when it failed.
    """

    __slots__ = ("tokens", "seconds")

    def __init__(self, tokens: int, seconds: float | None) -> None:
        self.tokens = tokens
        self.seconds = seconds


class RequestEnded:
    """A request has its outcome and gives its place back.

    :param first_token_s: time to the first token, or None.
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


class RunnersListed:
    """The platform's list of runners, which lags."""

    __slots__ = ("runners",)

    def __init__(self, listed: tuple[runners.Runner, ...]) -> None:
        self.runners = listed


class RunnerLeaving:
    """A runner has a reclaim notice.

    :param left_s: seconds until it is taken.
    """

    __slots__ = ("runner", "left_s")

    def __init__(self, runner: str, left_s: float) -> None:
        self.runner = runner
        self.left_s = left_s


class RunnerGone:
    """A runner has ended."""

    __slots__ = ("runner",)

    def __init__(self, runner: str) -> None:
        self.runner = runner


class RunnerWanted:
    """Ask for a runner by its name; answered with it or None."""

    __slots__ = ("runner",)

    def __init__(self, runner: str) -> None:
        self.runner = runner


class LoadSeen:
    """A runner's load, read here or told by a peer.

    :param own: whether this VM read it.
    """

    __slots__ = ("runner", "report", "own")

    def __init__(
        self, runner: str, report: runners.LoadReport, own: bool
    ) -> None:
        self.runner = runner
        self.report = report
        self.own = own


class CacheSeen:
    """A runner's cache events, read here or told by a peer."""

    __slots__ = ("runner", "events")

    def __init__(self, runner: str, events: runners.CacheEvents) -> None:
        self.runner = runner
        self.events = events


class ProbeFailed:
    """A runner did not answer when its load was read."""

    __slots__ = ("runner",)

    def __init__(self, runner: str) -> None:
        self.runner = runner


class StatusWanted:
    """Ask a task to describe its state for the status page."""

    __slots__ = ()
