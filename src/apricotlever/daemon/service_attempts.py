"""Sends one call to a plain service, with retries, and reports its outcome."""

from .. import histograms
from .. import logs
from .. import refusals
from ..links import upstream_exchange
from ..requests import ledger_messages
from ..runners import model as runners

from . import attempt_reports
from . import context as contexts
from . import dispatcher_messages
from . import ledger_task
from . import runner_selection
from . import service_request

_TRANSIENT_STATUSES = frozenset((502, 503, 504))


class ServiceAttempts:
    """Makes the attempts of one service call and reports them.

    An attempt sends the call to one upstream. Its end is reported to the
    dispatcher, the ledger (for a call with an idempotency key) and the log.

    :param context: the daemon's tasks.
    :param request: the call.
    """

    __slots__ = (
        "_context",
        "_request",
        "_attempt",
        "_tried_runners",
        "_sent",
        "_runner",
        "_address",
        "_on_trial",
        "_selector",
        "_latest_exchange",
    )

    def __init__(
        self,
        context: contexts.Context,
        request: service_request.ServiceRequest,
    ) -> None:
        self._context = context
        self._request = request
        self._attempt = 0
        self._tried_runners: frozenset[str] = frozenset()
        self._sent = False
        self._runner = ""
        self._address = ""
        self._on_trial = False
        #: The exchange of the current attempt; None before it is open.
        self._latest_exchange: upstream_exchange.Exchange | None = None
        self._selector = runner_selection.RunnerSelector(
            context, request.deadline, self._refusal
        )

    def run_idempotent(self) -> ledger_messages.Answer:
        """Send an idempotent call until it is answered.

        :returns: the answer of the upstream.
        :raises Refusal: when no further attempt is allowed.
        """
        pool: upstream_exchange.ConnectionPool | None = (
            self._context.connections
        )
        while True:
            self._latest_exchange = None
            try:
                self._latest_exchange = self._open(pool)
                self._sent = True
                return self._send_and_read(
                    self._latest_exchange, retry_errors=True
                )
            except upstream_exchange.UpstreamError as error:
                # After any failure, the next attempt opens a new connection
                # instead of reusing an idle one.
                pool = None
                if (
                    self._latest_exchange is None
                    or not self._was_stale_connection(
                        self._latest_exchange, error
                    )
                ):
                    self._handle_failure(error, idempotent=True)

    def run_at_most_once(self, token: int) -> ledger_messages.Answer:
        """Send a call at most once; only failed connections are retried.

        :param token: identifies this run of the call in reports to the
            ledger, which issued it. The ledger permits the call to be sent
            only while it still owns the key.
        :returns: the answer of the upstream.
        :raises Refusal: states correctly whether the call ran.
        """
        context = self._context
        try:
            exchange = self._connect()
        except refusals.Refusal:
            context.ledger.tell(ledger_task.CallNotSent(token))
            raise
        if not context.wait_for_reply(
            context.ledger.ask(ledger_task.StartSending(token))
        ):
            exchange.abandon()
            raise self._refusal(
                refusals.LEAVING,
                "the ledger of the key has moved to another entry VM",
                0.5,
            )
        self._sent = True
        try:
            answer = self._send_and_read(exchange, retry_errors=False)
        except upstream_exchange.UpstreamError as error:
            context.ledger.tell(ledger_task.AnswerLost(token))
            raise self._outcome_unknown(error) from error
        context.ledger.tell(ledger_task.AnswerReceived(token, answer))
        return answer

    def report_end(self, outcome: runners.Outcome) -> None:
        """Report and log the end of the request.

        :param outcome: how the request ended.
        """
        request = self._request
        context = self._context
        whole_s = context.clock.now() - request.arrived_at
        ended = context.dispatcher.ask(
            dispatcher_messages.RequestEnded(
                request.request_id, outcome, whole_s, 1
            )
        )
        repeated = self._attempt > 1 or self._on_trial
        attempt_reports.send_answers(context, ended, repeated)
        if self._on_trial:
            attempt_reports.end_trial(
                context,
                request.entry.pool,
                request.features.fingerprint,
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

    def _connect(self) -> upstream_exchange.Exchange:
        while True:
            try:
                return self._open(None)
            except upstream_exchange.UpstreamError as error:
                self._handle_failure(error, idempotent=False)

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
            excluded=self._tried_runners,
            wanted_first_token_s=request.service_class.first_token_s,
        )

        def dispatch(
            required_runner: str, on_trial: bool
        ) -> dispatcher_messages.Dispatch:
            return dispatcher_messages.Dispatch(
                request.request_id,
                query,
                request.features,
                self._attempt,
                required_runner=required_runner,
                on_trial=on_trial,
            )

        selection = self._selector.select(dispatch)
        self._on_trial = selection.on_trial
        self._runner = selection.route.runner.name
        self._address = selection.route.runner.address
        remaining_s = request.deadline - self._context.clock.now()
        exchange = upstream_exchange.Exchange(
            self._address,
            max(0.1, min(request.response_timeout_s, remaining_s)),
            pool,
        )
        exchange.open()
        return exchange

    def _send_and_read(
        self, exchange: upstream_exchange.Exchange, retry_errors: bool
    ) -> ledger_messages.Answer:
        request = self._request
        headers = {
            **request.headers,
            upstream_exchange.REQUEST_HEADER: request.request_id,
            upstream_exchange.ATTEMPT_HEADER: str(self._attempt),
        }
        sent_at = self._context.clock.now()
        exchange.send(request.method, request.path, headers, request.body)
        attempt_reports.report_statement(
            self._context, self._runner, exchange, request.request_id, sent_at
        )
        exchange.verify_echo(request.request_id, self._attempt)
        body = exchange.read_body(self._context.config.sizes.answer_bytes_max)
        status = exchange.status
        content_type = exchange.header("Content-Type")
        exchange.finish()
        if exchange.ends_by_closing and self._refuses_connections():
            raise upstream_exchange.ConnectionBroken(
                "ended with its answer", sent=True
            )
        if retry_errors and status in _TRANSIENT_STATUSES:
            raise upstream_exchange.UpstreamErrorResponse(
                status, body[:256], bool(exchange.statement.rest_s)
            )
        return ledger_messages.Answer(
            status, (("Content-Type", content_type),), body
        )

    def _handle_failure(
        self, error: upstream_exchange.UpstreamError, idempotent: bool
    ) -> None:
        """Report a failed attempt; return when another one is allowed.

        :param error: how the attempt failed.
        :param idempotent: whether the call may be sent again.
        :raises Refusal: when no further attempt is allowed.
        """
        request = self._request
        context = self._context
        crashed = self._has_crashed(error)
        runner_ended = crashed or isinstance(
            error, upstream_exchange.ConnectFailed
        )
        uncharged = runner_ended or self._all_connections_fell_silent(error)
        self._tried_runners |= {self._runner}
        self._report_attempt_end(
            attempt_reports.failure_outcome(error), crashed
        )
        logs.event(
            "request_retried",
            request=request.request_id,
            runner=self._runner,
            error=error.message,
        )
        message = dispatcher_messages.DecideRetry(
            request.entry.name,
            request.entry.pool,
            error.sent,
            idempotent,
            self._attempt,
            request.deadline - context.clock.now(),
            self._tried_runners,
            uncharged,
        )
        retry = attempt_reports.request_retry(context, message, self._refusal)
        if runner_ended and not crashed:
            attempt_reports.wait_for_crash_reports()
        self._tried_runners = retry.excluded
        context.metrics.count("requests.retried")

    def _all_connections_fell_silent(
        self, error: upstream_exchange.UpstreamError
    ) -> bool:
        """Whether all kept connections to the upstream fell silent together.

        A network path that loses the state of these connections drops
        all data sent over them. Such a failure must not be charged to the
        retry budget: with a dozen calls in flight at that moment, a budget
        of three retries plus a tenth of the successes refused some of them
        although every upstream was healthy.
        """
        exchange = self._latest_exchange
        if exchange is None or not isinstance(
            error, upstream_exchange.UpstreamTimeout
        ):
            return False
        return exchange.reused and self._context.connections.record_silence(
            exchange.address, exchange.opened_at
        )

    def _was_stale_connection(
        self,
        exchange: upstream_exchange.Exchange,
        error: upstream_exchange.UpstreamError,
    ) -> bool:
        """Whether an attempt failed because its connection was stale.

        The upstream may have closed an idle connection long before its next
        use, so the break says nothing about the upstream's health. The call
        is sent again over a new connection and no failure is recorded.
        """
        if not exchange.reused:
            return False
        self._context.connections.close_idle(self._address)
        if not isinstance(error, upstream_exchange.ConnectionBroken):
            return False
        self._report_attempt_end(runners.Outcome.CANCELLED, False)
        return True

    def _has_crashed(self, error: upstream_exchange.UpstreamError) -> bool:
        """Whether the failure of an attempt shows that the upstream crashed.

        A connection can break while its upstream is healthy. If that counted
        as a crash, similar calls would be quarantined for minutes as its
        suspected cause. The upstream has crashed only if a new connection
        to it fails as well.
        """
        broken = isinstance(error, upstream_exchange.ConnectionBroken)
        return broken and self._refuses_connections()

    def _refuses_connections(self) -> bool:
        probe = upstream_exchange.Exchange(
            self._address, service_request.MIN_RESPONSE_TIMEOUT_S
        )
        try:
            probe.open()
        except upstream_exchange.ConnectFailed:
            return True
        probe.abandon()
        return False

    def _report_attempt_end(
        self, outcome: runners.Outcome, crashed: bool
    ) -> None:
        ended = dispatcher_messages.AttemptEnded(
            self._request.request_id, outcome, crashed
        )
        context = self._context
        report = context.wait_for_reply(context.dispatcher.ask(ended))
        # The other entry VMs must know of a crash before any of them runs the
        # call again.
        attempt_reports.send_report(context, report, True)

    def _outcome_unknown(
        self, error: upstream_exchange.UpstreamError
    ) -> refusals.Refusal:
        request = self._request
        context = self._context
        self._report_attempt_end(
            runners.Outcome.FAILED, self._has_crashed(error)
        )
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
            "the call may have run; its answer was lost and the call is not "
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
