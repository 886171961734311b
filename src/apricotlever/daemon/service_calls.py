"""Calls of plain services, idempotent or run at most once."""

from concurrent import futures
import hashlib

from .. import histograms
from .. import logs
from .. import refusals
from ..catalogue import model as catalogues
from ..contracts import retries
from ..links import callers
from ..links import peer_pb2 as pb
from ..links import peers
from ..links import upstreams
from ..requests import messages as keyed
from ..runners import crashes
from ..runners import model as runners
from ..runners import quarantine

from . import book
from . import context as contexts
from . import fleet
from . import messages
from . import placing

PATIENCE = 5
LEAST_PATIENCE_S = 1.0
#: What the owner of a key may need besides the run: its own connecting.
FORWARD_GRACE_S = 3.0

_PASSED_ON = ("Content-Type", "Accept", "Accept-Language")
_TRANSIENT = frozenset((502, 503, 504))

_REASONS = {
    keyed.Reason.MALFORMED: refusals.BAD_REQUEST,
    keyed.Reason.NOT_YOURS: refusals.CONFLICT,
    keyed.Reason.CONFLICT: refusals.CONFLICT,
    keyed.Reason.EXPIRED: refusals.EXPIRED,
    keyed.Reason.MOVING: refusals.LEAVING,
    keyed.Reason.LEAVING: refusals.LEAVING,
    keyed.Reason.FULL: refusals.SHED,
    keyed.Reason.STORE_DOWN: refusals.CLAIMS_DOWN,
    keyed.Reason.CLAIMS_FULL: refusals.CLAIMS_DOWN,
}


class ServiceRequest:
    """One call of a plain service.

    :param entry: the catalogue entry.
    :param service_class: the class of the entry.
    :param method: HTTP method.
    :param path: path at the service, with its query.
    :param headers: those that are passed on.
    :param body: as it came.
    :param deadline: when the answer is worthless, on this VM's clock.
    :param non_idempotent: whether it must run at most once.
    """

    __slots__ = (
        "request_id",
        "customer",
        "entry",
        "service_class",
        "method",
        "path",
        "headers",
        "body",
        "deadline",
        "arrived",
        "non_idempotent",
    )

    def __init__(
        self,
        request_id: str,
        customer: str,
        entry: catalogues.Entry,
        service_class: catalogues.ServiceClass,
        method: str,
        path: str,
        headers: dict[str, str],
        body: bytes,
        arrived: float,
        deadline: float,
        non_idempotent: bool,
    ) -> None:
        self.request_id = request_id
        self.customer = customer
        self.entry = entry
        self.service_class = service_class
        self.method = method
        self.path = path
        self.headers = headers
        self.body = body
        self.arrived = arrived
        self.deadline = deadline
        self.non_idempotent = non_idempotent

    @property
    def digest(self) -> str:
        """Tells this call from another under the same key."""
        head = f"{self.entry.name}\n{self.method}\n{self.path}\n"
        return hashlib.sha256(head.encode() + self.body).hexdigest()[:32]

    @property
    def fingerprint(self) -> str:
        """Names the request across the fleet."""
        call = f"{self.method} {self.path}"
        return quarantine.fingerprint(
            self.entry.name, self.customer, self.body, call
        )


def passed_on(call: callers.Call) -> dict[str, str]:
    """The headers of a caller that a service gets to see."""
    return {name: value for name in _PASSED_ON if (value := call.header(name))}


def patience_s(request: ServiceRequest) -> float:
    """How long an upstream may take to begin its answer."""
    wanted_s = PATIENCE * request.service_class.first_token_s
    return max(LEAST_PATIENCE_S, wanted_s)


class ServiceCalls:
    """Runs calls of plain services for their callers.

    :param context: the daemon's tasks.
    """

    __slots__ = ("_context",)

    def __init__(self, context: contexts.Context) -> None:
        self._context = context

    def run(self, request: ServiceRequest) -> keyed.Answer:
        """Run an idempotent call, again elsewhere if it fails.

        :raises Refusal: when no upstream gave an answer.
        """
        attempt = _Attempts(self._context, request)
        try:
            answer = attempt.until_answered()
        except refusals.Refusal:
            attempt.end(runners.Outcome.FAILED)
            raise
        attempt.end(runners.Outcome.DONE)
        return answer

    def run_keyed(
        self,
        request: ServiceRequest,
        key: str,
        first: bool,
        forwarded: bool = False,
    ) -> keyed.Answer:
        """Run a call at most once under a key, here or at its owner.

        :param first: the caller vouches that it never sent the key before.
        :param forwarded: another entry VM sent it here.
        :raises Refusal: says truly whether the call ran.
        """
        begin = book.Begin(
            key, request.customer, request.digest, first, forwarded
        )
        left_s = request.deadline - self._context.clock.now()
        try:
            decision = self._context.book.ask(begin).result(max(0.1, left_s))
        except futures.TimeoutError as error:
            raise refusals.Refusal(
                refusals.OUTCOME_UNKNOWN,
                "a call under this key is still being run",
                refusals.Executed.UNKNOWN,
                1.0,
                request.request_id,
            ) from error
        if isinstance(decision, keyed.Replay):
            return decision.answer
        if isinstance(decision, keyed.Forward):
            return self._forward(request, key, first, decision, forwarded)
        if isinstance(decision, keyed.Refuse):
            raise _refused(request, decision)
        return self._run_once(request, decision.token)

    def _run_once(self, request: ServiceRequest, token: int) -> keyed.Answer:
        attempt = _Attempts(self._context, request)
        try:
            answer = attempt.once(token)
        except refusals.Refusal:
            attempt.end(runners.Outcome.FAILED)
            raise
        attempt.end(runners.Outcome.DONE)
        return answer

    def _forward(
        self,
        request: ServiceRequest,
        key: str,
        first: bool,
        forward: keyed.Forward,
        forwarded: bool,
    ) -> keyed.Answer:
        """Let the owner of the key run the call.

        The owner alone decides, so an answer that is lost on the way can be
        asked for again; it will not run the call twice.
        """
        left_s = request.deadline - self._context.clock.now()
        # An owner that is silent for good would hold the caller until its
        # deadline; it is told sooner that nobody knows, and may ask again.
        wait_s = max(0.1, min(left_s, patience_s(request) + FORWARD_GRACE_S))
        message = pb.KeyedCall(
            request_id=request.request_id,
            key=key,
            customer=request.customer,
            entry=request.entry.name,
            method=request.method,
            path=request.path,
            headers=request.headers,
            body=request.body,
            deadline_s=left_s,
        )
        call = fleet.CallPeer(
            forward.vm,
            forward.incarnation,
            "Run",
            message,
            wait_s,
        )
        try:
            answer = self._context.fleet.ask(call).result(wait_s + 1.0)
        except (peers.PeerError, futures.TimeoutError) as error:
            raise refusals.Refusal(
                refusals.OUTCOME_UNKNOWN,
                "the entry VM that owns the key can't be reached",
                refusals.Executed.UNKNOWN,
                1.0,
                request.request_id,
            ) from error
        return answer_of(answer)


class _Attempts:
    """The attempts of one call, and what the desk is told of them."""

    __slots__ = (
        "_context",
        "_request",
        "_attempt",
        "_tried",
        "_sent",
        "_runner",
        "_address",
        "_on_trial",
        "_placing",
    )

    def __init__(
        self, context: contexts.Context, request: ServiceRequest
    ) -> None:
        self._context = context
        self._request = request
        self._attempt = 0
        self._tried: frozenset[str] = frozenset()
        self._sent = False
        self._runner = ""
        self._address = ""
        self._on_trial = False
        self._placing = placing.Placing(
            context, request.deadline, self._refusal
        )

    def until_answered(self) -> keyed.Answer:
        """Try until there is an answer, or no more tries.

        :raises Refusal: when there is none.
        """
        pool: upstreams.Pool | None = self._context.connections
        while True:
            exchange: upstreams.Exchange | None = None
            try:
                exchange = self._open(pool)
                self._sent = True
                return self._exchange(exchange, retry_errors=True)
            except upstreams.UpstreamError as error:
                # Whatever went wrong, the next attempt gets a connection
                # that nobody has used.
                pool = None
                if exchange is None or not self._was_stale(exchange, error):
                    self._failed(error, idempotent=True)

    def once(self, token: int) -> keyed.Answer:
        """Send at most once; only connecting is tried again.

        :param token: from the ledger; it forbids the sending when another
            exchange has overtaken this one.
        :raises Refusal: says truly whether the call ran.
        """
        context = self._context
        try:
            exchange = self._connected()
        except refusals.Refusal:
            context.book.tell(book.NotSent(token))
            raise
        if not context.answer_of(context.book.ask(book.Sent(token))):
            exchange.abandon()
            raise self._refusal(
                refusals.LEAVING, "the key's ledger has moved", 0.5
            )
        self._sent = True
        try:
            answer = self._exchange(exchange, retry_errors=False)
        except upstreams.UpstreamError as error:
            context.book.tell(book.Lost(token))
            raise self._lost(error) from error
        context.book.tell(book.Finished(token, answer))
        return answer

    def end(self, outcome: runners.Outcome) -> None:
        """Tell the desk that the request is over."""
        request = self._request
        context = self._context
        whole_s = context.clock.now() - request.arrived
        ended = context.desk.ask(
            messages.RequestEnded(request.request_id, outcome, whole_s, 1)
        )
        if self._attempt > 1 or self._on_trial:
            self._spread(context.answer_of(ended))
        if self._on_trial:
            over = quarantine.TrialOver(
                request.fingerprint, request.request_id
            )
            context.fleet.tell(fleet.TrialDone(request.entry.pool, over))
        if outcome is runners.Outcome.DONE:
            for measure in (histograms.FIRST_TOKEN, histograms.WHOLE):
                context.histograms.record(
                    measure,
                    request.customer,
                    request.service_class.name,
                    whole_s,
                )
        context.metrics.count("requests.ended", of=outcome.value)
        logs.event(
            "request_ended",
            request=request.request_id,
            entry=request.entry.name,
            customer=request.customer,
            outcome=outcome.value,
            attempts=self._attempt,
            whole_s=whole_s,
        )

    def _connected(self) -> upstreams.Exchange:
        while True:
            try:
                return self._open(None)
            except upstreams.UpstreamError as error:
                self._failed(error, idempotent=False)

    def _open(self, pool: upstreams.Pool | None) -> upstreams.Exchange:
        request = self._request
        self._attempt += 1
        query = runners.Query(
            request.entry.name,
            request.entry.pool,
            "",
            priority=request.service_class.priority,
            excluded=self._tried,
            wanted_first_token_s=request.service_class.first_token_s,
        )

        def dispatch(only: str, on_trial: bool) -> messages.Dispatch:
            return messages.Dispatch(
                request.request_id,
                query,
                request.fingerprint,
                self._attempt,
                only=only,
                on_trial=on_trial,
            )

        placed = self._placing.place(dispatch)
        self._on_trial = placed.on_trial
        self._runner = placed.route.runner.name
        self._address = placed.route.runner.address
        left_s = request.deadline - self._context.clock.now()
        exchange = upstreams.Exchange(
            self._address, max(0.1, min(patience_s(request), left_s)), pool
        )
        exchange.open()
        return exchange

    def _exchange(
        self, exchange: upstreams.Exchange, retry_errors: bool
    ) -> keyed.Answer:
        request = self._request
        headers = {
            **request.headers,
            upstreams.REQUEST_HEADER: request.request_id,
            upstreams.ATTEMPT_HEADER: str(self._attempt),
        }
        exchange.send(request.method, request.path, headers, request.body)
        exchange.check(request.request_id, self._attempt)
        body = exchange.read_all(self._context.config.sizes.answer_bytes_max)
        status = exchange.status
        content_type = exchange.header("Content-Type")
        exchange.finish()
        if retry_errors and status in _TRANSIENT:
            raise upstreams.Declined(status, body[:256])
        return keyed.Answer(status, (("Content-Type", content_type),), body)

    def _failed(
        self, error: upstreams.UpstreamError, idempotent: bool
    ) -> None:
        """Report a failed attempt; return if another one is allowed.

        :raises Refusal: when there is none.
        """
        request = self._request
        context = self._context
        crashed = self._crashed(error)
        died = crashed or isinstance(error, upstreams.ConnectFailed)
        self._tried |= {self._runner}
        self._attempt_ended(runners.Outcome.FAILED, crashed)
        logs.event(
            "request_retried",
            request=request.request_id,
            runner=self._runner,
            error=error.message,
        )
        answer = context.answer_of(
            context.desk.ask(
                messages.MayRetry(
                    request.entry.name,
                    request.entry.pool,
                    error.sent,
                    idempotent,
                    self._attempt,
                    request.deadline - context.clock.now(),
                    self._tried,
                    died,
                )
            )
        )
        if isinstance(answer, retries.NoRetry):
            raise self._refusal(
                refusals.GAVE_UP,
                f"the upstream failed and is not tried again: "
                f"{answer.reason.value}",
                1.0,
            )
        self._tried = answer.excluded
        context.metrics.count("requests.retried")

    def _was_stale(
        self, exchange: upstreams.Exchange, error: upstreams.UpstreamError
    ) -> bool:
        """Whether a connection broke that had waited for its next use.

        Its upstream may have closed it any time ago, which says nothing of
        the upstream now: the call goes out again over a new connection.
        """
        if not exchange.reused:
            return False
        self._context.connections.forget(self._address)
        if not isinstance(error, upstreams.Broken):
            return False
        self._attempt_ended(runners.Outcome.CANCELLED, False)
        return True

    def _crashed(self, error: upstreams.UpstreamError) -> bool:
        """Whether the upstream's process has ended.

        A connection can break while its upstream is well. Were that taken
        for a crash, like calls would be refused for minutes as its cause.
        """
        if not isinstance(error, upstreams.Broken):
            return False
        probe = upstreams.Exchange(self._address, LEAST_PATIENCE_S)
        try:
            probe.open()
        except upstreams.ConnectFailed:
            return True
        probe.abandon()
        return False

    def _attempt_ended(self, outcome: runners.Outcome, crashed: bool) -> None:
        ended = messages.AttemptEnded(
            self._request.request_id, outcome, crashed
        )
        context = self._context
        self._spread(context.answer_of(context.desk.ask(ended)))

    def _spread(self, report: crashes.Report | None) -> None:
        """Tell the other entry VMs before the call runs again anywhere."""
        if report is None:
            return
        context = self._context
        context.answer_of(context.fleet.ask(fleet.SpreadCrash(report)))

    def _lost(self, error: upstreams.UpstreamError) -> refusals.Refusal:
        request = self._request
        context = self._context
        self._attempt_ended(runners.Outcome.FAILED, self._crashed(error))
        context.metrics.count("requests.unknown")
        logs.event(
            "request_unknown",
            request=request.request_id,
            entry=request.entry.name,
            customer=request.customer,
            runner=self._runner,
            error=error.message,
        )
        return refusals.Refusal(
            refusals.OUTCOME_UNKNOWN,
            "the call may have run; its answer was lost and it is not "
            "sent again",
            refusals.Executed.UNKNOWN,
            None,
            request.request_id,
        )

    def _refusal(
        self, kind: refusals.Kind, message: str, retry_after_s: float | None
    ) -> refusals.Refusal:
        executed = refusals.Executed.NO
        if self._sent:
            executed = refusals.Executed.UNKNOWN
        return refusals.Refusal(
            kind,
            message,
            executed,
            retry_after_s,
            self._request.request_id,
        )


def _refused(
    request: ServiceRequest, decision: keyed.Refuse
) -> refusals.Refusal:
    kind = _REASONS.get(decision.reason, refusals.OUTCOME_UNKNOWN)
    return refusals.Refusal(
        kind,
        f"not run: {decision.reason.value}",
        refusals.Executed(decision.executed.value),
        decision.retry_after_s,
        request.request_id,
    )


_EXECUTED_IN = {
    pb.EXECUTED_UNKNOWN: refusals.Executed.UNKNOWN,
    pb.EXECUTED_NO: refusals.Executed.NO,
    pb.EXECUTED_YES: refusals.Executed.YES,
}
_EXECUTED_OUT = {executed: code for code, executed in _EXECUTED_IN.items()}


def answer_of(message: pb.KeyedAnswer) -> keyed.Answer:
    """The answer that the owner of a key gave.

    :raises Refusal: the one that the owner met.
    """
    if message.error_type:
        raise refusals.Refusal(
            refusals.kinds().get(message.error_type, refusals.INTERNAL),
            "refused by the entry VM that owns the key",
            _EXECUTED_IN[message.executed],
            message.retry_after_s or None,
            message.request_id,
        )
    headers = (("Content-Type", message.content_type),)
    return keyed.Answer(message.status, headers, message.body)


def message_of(request_id: str, answer: keyed.Answer) -> pb.KeyedAnswer:
    """An answer for the entry VM that forwarded the call."""
    return pb.KeyedAnswer(
        request_id=request_id,
        executed=pb.EXECUTED_YES,
        status=answer.status,
        content_type=dict(answer.headers).get("Content-Type", ""),
        body=answer.body,
    )


def refusal_message(
    request_id: str, refusal: refusals.Refusal
) -> pb.KeyedAnswer:
    """A refusal for the entry VM that forwarded the call."""
    return pb.KeyedAnswer(
        request_id=request_id,
        executed=_EXECUTED_OUT[refusal.executed],
        error_type=refusal.kind.name,
        retry_after_s=refusal.retry_after_s or 0.0,
    )
