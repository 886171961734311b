"""The attempts at one call of a plain service, and what the desk hears."""

from .. import histograms
from .. import logs
from .. import refusals
from ..links import upstream_exchange
from ..requests import ledger_messages as keyed
from ..runners import model as runners

from . import attempt_reports
from . import book
from . import context as contexts
from . import messages
from . import placing
from . import service_request

_TRANSIENT = frozenset((502, 503, 504))


class Attempts:
    """The attempts of one call, and what the desk is told of them.

    :param context: the daemon's tasks.
    :param request: the call.
    """

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
        "_used",
    )

    def __init__(
        self,
        context: contexts.Context,
        request: service_request.ServiceRequest,
    ) -> None:
        self._context = context
        self._request = request
        self._attempt = 0
        self._tried: frozenset[str] = frozenset()
        self._sent = False
        self._runner = ""
        self._address = ""
        self._on_trial = False
        #: The latest attempt's, while it lasts.
        self._used: upstream_exchange.Exchange | None = None
        self._placing = placing.Placing(
            context, request.deadline, self._refusal
        )

    def until_answered(self) -> keyed.Answer:
        """Try until there is an answer, or no more tries.

        :raises Refusal: when there is none.
        """
        pool: upstream_exchange.ConnectionPool | None = (
            self._context.connections
        )
        while True:
            self._used = None
            try:
                self._used = self._open(pool)
                self._sent = True
                return self._exchange(self._used, retry_errors=True)
            except upstream_exchange.UpstreamError as error:
                # Whatever went wrong, the next attempt gets a connection
                # that nobody has used.
                pool = None
                if self._used is None or not self._was_stale(
                    self._used, error
                ):
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
        except upstream_exchange.UpstreamError as error:
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
            attempt_reports.spread(context, context.answer_of(ended), True)
        if self._on_trial:
            attempt_reports.end_trial(
                context,
                request.entry.pool,
                request.fingerprint,
                request.request_id,
            )
        if outcome is runners.Outcome.DONE:
            for measure in (histograms.FIRST_TOKEN, histograms.WHOLE_ANSWER):
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

    def _connected(self) -> upstream_exchange.Exchange:
        while True:
            try:
                return self._open(None)
            except upstream_exchange.UpstreamError as error:
                self._failed(error, idempotent=False)

    def _open(
        self, pool: upstream_exchange.ConnectionPool | None
    ) -> upstream_exchange.Exchange:
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
        exchange = upstream_exchange.Exchange(
            self._address,
            max(0.1, min(request.patience_s, left_s)),
            pool,
        )
        exchange.open()
        return exchange

    def _exchange(
        self, exchange: upstream_exchange.Exchange, retry_errors: bool
    ) -> keyed.Answer:
        request = self._request
        headers = {
            **request.headers,
            upstream_exchange.REQUEST_HEADER: request.request_id,
            upstream_exchange.ATTEMPT_HEADER: str(self._attempt),
        }
        exchange.send(request.method, request.path, headers, request.body)
        exchange.verify_echo(request.request_id, self._attempt)
        body = exchange.read_body(self._context.config.sizes.answer_bytes_max)
        status = exchange.status
        content_type = exchange.header("Content-Type")
        exchange.finish()
        if retry_errors and status in _TRANSIENT:
            raise upstream_exchange.UpstreamErrorResponse(status, body[:256])
        return keyed.Answer(status, (("Content-Type", content_type),), body)

    def _failed(
        self, error: upstream_exchange.UpstreamError, idempotent: bool
    ) -> None:
        """Report a failed attempt; return if another one is allowed.

        :raises Refusal: when there is none.
        """
        request = self._request
        context = self._context
        crashed = self._crashed(error)
        died = crashed or isinstance(error, upstream_exchange.ConnectFailed)
        uncharged = died or self._silent_with_others(error)
        self._tried |= {self._runner}
        self._attempt_ended(runners.Outcome.FAILED, crashed)
        logs.event(
            "request_retried",
            request=request.request_id,
            runner=self._runner,
            error=error.message,
        )
        question = messages.MayRetry(
            request.entry.name,
            request.entry.pool,
            error.sent,
            idempotent,
            self._attempt,
            request.deadline - context.clock.now(),
            self._tried,
            uncharged,
        )
        answer = attempt_reports.ask_retry(context, question, self._refusal)
        if died and not crashed:
            attempt_reports.await_death_news()
        self._tried = answer.excluded
        context.metrics.count("requests.retried")

    def _silent_with_others(
        self, error: upstream_exchange.UpstreamError
    ) -> bool:
        """Whether all kept connections to the upstream fell silent at once.

        A path that loses track of them swallows whatever is sent there. With
        a dozen calls out at that moment, a budget of three retries and a
        tenth of the successes gave some of them up although every upstream
        was well.
        """
        exchange = self._used
        if exchange is None or not isinstance(
            error, upstream_exchange.UpstreamTimeout
        ):
            return False
        return exchange.reused and self._context.connections.record_silence(
            exchange.address, exchange.opened_at
        )

    def _was_stale(
        self,
        exchange: upstream_exchange.Exchange,
        error: upstream_exchange.UpstreamError,
    ) -> bool:
        """Whether a connection broke that had waited for its next use.

        Its upstream may have closed it any time ago, which says nothing of
        the upstream now: the call goes out again over a new connection.
        """
        if not exchange.reused:
            return False
        self._context.connections.close_idle(self._address)
        if not isinstance(error, upstream_exchange.ConnectionBroken):
            return False
        self._attempt_ended(runners.Outcome.CANCELLED, False)
        return True

    def _crashed(self, error: upstream_exchange.UpstreamError) -> bool:
        """Whether the upstream's process has ended.

        A connection can break while its upstream is well. Were that taken
        for a crash, like calls would be refused for minutes as its cause.
        """
        if not isinstance(error, upstream_exchange.ConnectionBroken):
            return False
        probe = upstream_exchange.Exchange(
            self._address, service_request.LEAST_PATIENCE_S
        )
        try:
            probe.open()
        except upstream_exchange.ConnectFailed:
            return True
        probe.abandon()
        return False

    def _attempt_ended(self, outcome: runners.Outcome, crashed: bool) -> None:
        ended = messages.AttemptEnded(
            self._request.request_id, outcome, crashed
        )
        context = self._context
        report = context.answer_of(context.desk.ask(ended))
        # The others must know before the call runs again anywhere.
        attempt_reports.spread(context, report, True)

    def _lost(
        self, error: upstream_exchange.UpstreamError
    ) -> refusals.Refusal:
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
        self,
        kind: refusals.RefusalKind,
        message: str,
        retry_after_s: float | None,
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
