"""Makes the attempts at a model answer that an AnswerReader reads.

An attempt sends the request to a runner, reconnects to the runner that has
its stream, or moves the stream's state to another runner.
"""

import time

from .. import logs
from .. import refusals
from ..contracts import retry_policy
from ..links import json_calls
from ..links import upstream_exchange
from ..requests import recovery
from ..runners import model as runners

from . import attempt_reports
from . import context as contexts
from . import dispatcher_messages
from . import model_request
from . import runner_selection

#: Timeout for the first byte of a response, as a multiple of the target for
#: the first token of the service class.
FIRST_BYTE_TIMEOUT_FACTOR = 5
MIN_FIRST_BYTE_TIMEOUT_S = 3.0
TRANSFER_TIMEOUT_S = 5.0
PRIORITY_HEADER = "Apricotlever-Priority"
_NOT_FOUND = 404
_CLIENT_ERRORS = (400, 413, 422)


class ModelAttempts:
    """Makes the attempts of one model request and reports how they ended.

    :param context: the daemon's tasks.
    :param request: the model request.
    """

    __slots__ = (
        "_context",
        "_request",
        "_connected_at",
        "_exchange",
        "_disconnected_runner",
        "_on_trial",
        "_sent",
        "_resuming",
        "_silent_runner",
        "_selector",
    )

    def __init__(
        self, context: contexts.Context, request: model_request.ModelRequest
    ) -> None:
        self._context = context
        self._request = request
        self._exchange: upstream_exchange.Exchange | None = None
        self._connected_at = 0.0
        self._disconnected_runner = ""
        self._on_trial = False
        self._sent = False
        #: Whether the attempt goes on with what an earlier one began.
        self._resuming = False
        self._silent_runner: runners.Runner | None = None
        self._selector = runner_selection.RunnerSelector(
            context, request.deadline, self._refusal
        )

    def open(
        self,
        decision: recovery.RecoveryDecision | None,
        tried: frozenset[str],
    ) -> upstream_exchange.Exchange:
        """Make the next attempt.

        :param decision: how to recover, or None for the first attempt.
        :param tried: names of runners that failed the request.
        :returns: an exchange whose response has begun with status 200.
        :raises UpstreamError: when the attempt failed.
        :raises Refusal: when no runner is available or allowed.
        """
        self._resuming = self._request.resume_from > 0 or isinstance(
            decision, (recovery.ExportTo, recovery.Reconnect)
        )
        if isinstance(decision, recovery.ExportTo):
            return self._move_to(decision.runner)
        if isinstance(decision, recovery.Reconnect):
            return self._reconnect()
        if isinstance(decision, recovery.Replay):
            logs.event(
                "stream_replayed",
                request=self._request.request_id,
                runner=decision.runner,
                tokens=len(decision.resume_tokens),
            )
            self._context.metrics.count("streams.replayed")
            return self._start_request(decision.runner, tried)
        return self._start_request("", tried)

    def request_decision(
        self, situation: dispatcher_messages.DecideRecovery
    ) -> recovery.RecoveryDecision:
        """Ask the dispatcher how to recover, waiting while no runner is free.

        :param situation: describes the stream and its failure.
        :returns: any decision other than Wait and GiveUp.
        :raises Refusal: when the request is given up.
        """
        while True:
            context = self._context
            decision = context.wait_for_reply(
                context.dispatcher.ask(situation)
            )
            if isinstance(decision, recovery.GiveUp):
                raise self._refusal(
                    refusals.GAVE_UP,
                    "every attempt failed within the deadline",
                    decision.retry_after_s,
                )
            if not isinstance(decision, recovery.Wait):
                return decision
            time.sleep(decision.seconds)

    def check_retry_allowed(
        self,
        error: upstream_exchange.UpstreamError,
        tried: frozenset[str],
        attempts: int,
    ) -> retry_policy.Retry:
        """Ask for permission to retry when no runner has ended.

        :param error: how the attempt failed.
        :param tried: names of runners that failed the request.
        :param attempts: how many attempts have failed.
        :returns: the permission, which lists the runners to avoid.
        :raises Refusal: when no retry is allowed.
        """
        request = self._request
        message = dispatcher_messages.DecideRetry(
            request.entry.name,
            request.entry.pool,
            error.sent,
            True,
            attempts,
            request.left_s,
            tried,
        )
        return attempt_reports.request_retry(
            self._context, message, self._refusal
        )

    def retry_without_runner(
        self,
        error: upstream_exchange.UpstreamError,
        tried: frozenset[str],
        attempts: int,
    ) -> recovery.RecoveryDecision:
        """Recover from a failure that came before any runner was chosen.

        :raises Refusal: when no retry is allowed.
        """
        self.check_retry_allowed(error, tried, attempts)
        return recovery.Replay("", self._request.transcript.tokens())

    def report_failure(self, error: upstream_exchange.UpstreamError) -> bool:
        """Report a failed attempt.

        When a connection breaks, and the runner then refuses connections or
        no longer knows the stream, the runner's process has ended. This crash
        is reported to the other entry VMs before the request is retried, so
        that a request that crashes its runners is recognised.

        :param error: how the attempt failed.
        :returns: whether the runner refuses connections or has lost the
            stream.
        """
        request = self._request
        runner = request.runner.name if request.runner else ""
        refused = isinstance(error, upstream_exchange.ConnectFailed)
        stream_lost = (
            isinstance(error, upstream_exchange.UpstreamErrorResponse)
            and error.status == _NOT_FOUND
        )
        runner_ended = refused or stream_lost
        crashed = (
            runner_ended
            and runner != ""
            and self._disconnected_runner == runner
        )
        connection_broken = isinstance(
            error, upstream_exchange.ConnectionBroken
        )
        self._disconnected_runner = runner if connection_broken else ""
        if isinstance(error, upstream_exchange.UpstreamErrorResponse):
            self._refuse_client_error(error)
        outcome = attempt_reports.failure_outcome(error)
        timed_out = isinstance(error, upstream_exchange.UpstreamTimeout)
        if timed_out:
            self._silent_runner = request.runner
        if connection_broken or timed_out:
            # The runner may be healthy and still compute the stream. The next
            # attempt reconnects to it, so that no token is recomputed.
            return False
        report = self._context.wait_for_reply(
            self._context.dispatcher.ask(
                dispatcher_messages.AttemptEnded(
                    request.request_id, outcome, crashed
                )
            )
        )
        attempt_reports.send_report(self._context, report, True)
        if refused and not crashed:
            attempt_reports.wait_for_crash_reports()
        return runner_ended

    def report_end(
        self, outcome: runners.Outcome, first_token_s: float | None
    ) -> None:
        """Report the end of the request and close its connection.

        :param outcome: how the request ended.
        :param first_token_s: seconds to the first token; None when no token
            came.
        """
        request = self._request
        if self._exchange is not None:
            self._exchange.abandon()
        message = dispatcher_messages.RequestEnded(
            request.request_id,
            outcome,
            first_token_s,
            request.completion_request.prompt_tokens + request.resume_from,
        )
        future = self._context.dispatcher.ask(message)
        attempt_reports.send_answers(self._context, future, False)
        if self._on_trial:
            attempt_reports.end_trial(
                self._context,
                request.entry.pool,
                request.features.fingerprint,
                request.request_id,
            )

    def _refuse_client_error(
        self, error: upstream_exchange.UpstreamErrorResponse
    ) -> None:
        # An earlier runner has taken the request that is resumed, so that the
        # caller is not to blame.
        if error.status in _CLIENT_ERRORS and not self._resuming:
            raise self._refusal(
                refusals.BAD_REQUEST,
                f"the runner refused the request with {error.status}",
                None,
            )

    def _start_request(
        self, target: str, tried: frozenset[str]
    ) -> upstream_exchange.Exchange:
        request = self._request
        request.attempt += 1
        silent = self._release_silent_runner()
        runner = self._select_runner(target, tried)
        if silent is not None and silent.name != runner.name:
            self._context.background.submit(
                cancel_stream, silent.address, request.request_id
            )
        tokens = request.transcript.tokens()
        body = request.completion_request.body_for(request.entry.model, tokens)
        exchange = self._connect(runner)
        self._sent = True
        exchange.send(
            "POST", request.completion_request.path, self._headers(), body
        )
        return self._check_response(exchange)

    def _reconnect(self) -> upstream_exchange.Exchange:
        request = self._request
        runner = request.runner
        assert runner is not None
        request.attempt += 1
        return self._read_stream(runner)

    def _move_to(self, target: str) -> upstream_exchange.Exchange:
        request = self._request
        previous = request.runner
        assert previous is not None
        self._abandon_exchange()
        started_at = self._context.clock.now()
        tokens = request.completion_request.prompt_tokens + request.resume_from
        dispatcher = self._context.dispatcher
        try:
            state = json_calls.call_json(
                previous.address,
                "POST",
                f"/v1/streams/{request.request_id}/export",
                {},
                TRANSFER_TIMEOUT_S,
            )
            request.attempt += 1
            runner = self._select_runner(target, frozenset())
            json_calls.call_json(
                runner.address, "POST", "/v1/import", state, TRANSFER_TIMEOUT_S
            )
        except upstream_exchange.UpstreamError:
            dispatcher.tell(dispatcher_messages.MoveEnded(tokens, None))
            raise
        seconds = self._context.clock.now() - started_at
        dispatcher.tell(dispatcher_messages.MoveEnded(tokens, seconds))
        self._context.metrics.count("streams.moved")
        logs.event(
            "stream_moved",
            request=request.request_id,
            runner=runner.name,
            before=previous.name,
            tokens=request.resume_from,
            seconds=seconds,
        )
        return self._read_stream(runner)

    def _read_stream(
        self, runner: runners.Runner
    ) -> upstream_exchange.Exchange:
        """Connect to a runner to read its stream from the next token on.

        :param runner: the runner, which has the stream already.
        """
        request = self._request
        exchange = self._connect(runner)
        path = f"/v1/streams/{request.request_id}?from={request.resume_from}"
        exchange.send("GET", path, self._headers())
        return self._check_response(exchange)

    def _connect(self, runner: runners.Runner) -> upstream_exchange.Exchange:
        self._abandon_exchange()
        first_token_s = self._request.service_class.first_token_s
        timeout_s = max(
            MIN_FIRST_BYTE_TIMEOUT_S, FIRST_BYTE_TIMEOUT_FACTOR * first_token_s
        )
        exchange = upstream_exchange.Exchange(
            runner.address,
            min(timeout_s, max(0.1, self._request.left_s)),
            stream=True,
        )
        self._exchange = exchange
        self._connected_at = self._context.clock.now()
        self._request.set_runner(runner, exchange.interrupt)
        exchange.open()
        return exchange

    def _check_response(
        self, exchange: upstream_exchange.Exchange
    ) -> upstream_exchange.Exchange:
        request = self._request
        assert request.runner is not None
        attempt_reports.report_statement(
            self._context,
            request.runner.name,
            exchange,
            request.request_id,
            self._connected_at,
        )
        if exchange.status != 200:
            status = exchange.status
            asks_for_rest = bool(exchange.statement.rest_s)
            body = exchange.read_body()[:256]
            exchange.abandon()
            raise upstream_exchange.UpstreamErrorResponse(
                status, body, asks_for_rest
            )
        exchange.verify_echo(request.request_id, request.attempt)
        return exchange

    def _headers(self) -> dict[str, str]:
        request = self._request
        return {
            "Content-Type": "application/json",
            "Host": (
                self._request.runner.address if self._request.runner else ""
            ),
            "Connection": "close",
            upstream_exchange.REQUEST_HEADER: request.request_id,
            upstream_exchange.ATTEMPT_HEADER: str(request.attempt),
            PRIORITY_HEADER: str(request.service_class.priority),
        }

    def _select_runner(
        self, target: str, tried: frozenset[str]
    ) -> runners.Runner:
        """Choose a runner for the next attempt.

        The attempt is a trial when the request is suspected of crashing
        runners and the judge of its pool grants one.

        :param target: name of the runner to use; empty to let the router
            choose.
        :param tried: names of runners that must not be chosen.
        :raises Refusal: when no runner is available or allowed.
        """
        request = self._request

        def dispatch(
            required_runner: str, on_trial: bool
        ) -> dispatcher_messages.Dispatch:
            return dispatcher_messages.Dispatch(
                request.request_id,
                request.query(tried),
                request.features,
                request.attempt,
                request,
                required_runner,
                on_trial,
            )

        selection = self._selector.select(dispatch, target)
        self._on_trial = selection.on_trial
        request.runner = selection.route.runner
        return selection.route.runner

    def _refusal(
        self,
        kind: refusals.RefusalKind,
        message: str,
        retry_after_s: float | None,
    ) -> refusals.Refusal:
        executed = refusals.Executed.NO
        if self._sent or self._request.resume_from:
            executed = refusals.Executed.UNKNOWN
        return refusals.Refusal(
            kind, message, executed, retry_after_s, self._request.request_id
        )

    def _release_silent_runner(self) -> runners.Runner | None:
        """Report a failed attempt at a runner whose connection fell silent.

        :returns: the runner, which may still be computing the stream; None
            when no runner fell silent.
        """
        silent, self._silent_runner = self._silent_runner, None
        if silent is not None:
            message = dispatcher_messages.AttemptEnded(
                self._request.request_id, runners.Outcome.FAILED, False
            )
            self._context.dispatcher.tell(message)
        return silent

    def _abandon_exchange(self) -> None:
        if self._exchange is not None:
            self._exchange.abandon()
            self._exchange = None


def cancel_stream(address: str, request_id: str) -> None:
    """Cancel a stream at a runner.

    A failed call is only logged, because runners end streams that no
    client reads.

    :param address: ``host:port`` of the runner.
    :param request_id: the request that the stream answers.
    """
    try:
        json_calls.call_json(address, "DELETE", f"/v1/streams/{request_id}")
    except upstream_exchange.UpstreamError as error:
        logs.event("peer_call_failed", address=address, error=error.message)
