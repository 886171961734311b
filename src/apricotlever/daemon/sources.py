"""Opens the exchanges that a pump reads: each attempt at an answer."""

import time

from .. import logs
from .. import refusals
from ..contracts import retry_policy
from ..links import upstream_exchange
from ..requests import recovery
from ..runners import model as runners

from . import attempt_reports
from . import context as contexts
from . import flights
from . import messages
from . import placing

FIRST_BYTE_PATIENCE = 5
LEAST_FIRST_BYTE_S = 3.0
IMPORT_S = 5.0
PRIORITY_HEADER = "Apricotlever-Priority"
_NOT_FOUND = 404
_CLIENT_ERRORS = (400, 413, 422)


class Sources:
    """The attempts of one request.

    :param context: the daemon's tasks.
    :param flight: the request.
    """

    __slots__ = (
        "_context",
        "_flight",
        "_exchange",
        "_broken_at",
        "_on_trial",
        "_sent",
        "_silent_at",
        "_placing",
    )

    def __init__(
        self, context: contexts.Context, flight: flights.Flight
    ) -> None:
        self._context = context
        self._flight = flight
        self._exchange: upstream_exchange.Exchange | None = None
        self._broken_at = ""
        self._on_trial = False
        self._sent = False
        self._silent_at: runners.Runner | None = None
        self._placing = placing.Placing(
            context, flight.deadline, self._refusal
        )

    def open(
        self, step: recovery.RecoveryDecision | None, tried: frozenset[str]
    ) -> upstream_exchange.Exchange:
        """Make the next attempt.

        :param step: what was decided, or None for the first attempt.
        :param tried: runners that failed the request.
        :returns: an exchange whose answer has begun.
        :raises UpstreamError: when the attempt failed.
        :raises Refusal: when there is no runner, or none is allowed.
        """
        if isinstance(step, recovery.ExportTo):
            return self._moved_to(step.runner)
        if isinstance(step, recovery.Reconnect):
            return self._resumed()
        if isinstance(step, recovery.Replay):
            logs.event(
                "stream_replayed",
                request=self._flight.request_id,
                runner=step.runner,
                tokens=len(step.resume_tokens),
            )
            self._context.metrics.count("streams.replayed")
            return self._started(step.runner, tried)
        return self._started("", tried)

    def decided(
        self, broke: messages.StreamBroke
    ) -> recovery.RecoveryDecision:
        """Ask the desk how to go on, waiting while no runner is free.

        :param broke: the stream's situation.
        :raises Refusal: when the request is given up.
        """
        while True:
            context = self._context
            decision = context.answer_of(context.desk.ask(broke))
            if isinstance(decision, recovery.GiveUp):
                raise self._refusal(
                    refusals.GAVE_UP,
                    "every attempt failed within the deadline",
                    decision.retry_after_s,
                )
            if not isinstance(decision, recovery.Wait):
                return decision
            time.sleep(decision.seconds)

    def check_budget(
        self,
        error: upstream_exchange.UpstreamError,
        tried: frozenset[str],
        attempts: int,
    ) -> retry_policy.Retry:
        """Ask for another attempt that a living runner made necessary.

        :raises Refusal: when there is none.
        """
        flight = self._flight
        question = messages.MayRetry(
            flight.entry.name,
            flight.entry.pool,
            error.sent,
            True,
            attempts,
            flight.left_s,
            tried,
        )
        return attempt_reports.ask_retry(
            self._context, question, self._refusal
        )

    def retry(
        self,
        error: upstream_exchange.UpstreamError,
        tried: frozenset[str],
        attempts: int,
    ) -> recovery.RecoveryDecision:
        """Go on when no runner was in use yet."""
        self.check_budget(error, tried, attempts)
        return recovery.Replay("", self._flight.transcript.tokens())

    def ended(self, error: upstream_exchange.UpstreamError) -> bool:
        """Report the end of an attempt.

        A connection that broke and a runner that then refuses or no longer
        knows the stream mean that its process has ended. The other entry
        VMs hear of it before the request runs again anywhere.

        :returns: whether the runner died.
        """
        flight = self._flight
        runner = flight.runner.name if flight.runner else ""
        refused = isinstance(error, upstream_exchange.ConnectFailed)
        unknown = (
            isinstance(error, upstream_exchange.UpstreamErrorResponse)
            and error.status == _NOT_FOUND
        )
        died = refused or unknown
        crashed = died and runner != "" and self._broken_at == runner
        broke = isinstance(error, upstream_exchange.ConnectionBroken)
        self._broken_at = runner if broke else ""
        if isinstance(error, upstream_exchange.UpstreamErrorResponse):
            self._check_blame(error)
        silent = isinstance(error, upstream_exchange.UpstreamTimeout)
        if silent:
            self._silent_at = flight.runner
        if broke or silent:
            # The runner may be well and its stream going on: it is asked
            # over a new connection first, so that nothing is recomputed.
            return False
        report = self._context.answer_of(
            self._context.desk.ask(
                messages.AttemptEnded(
                    flight.request_id, runners.Outcome.FAILED, crashed
                )
            )
        )
        attempt_reports.spread(self._context, report, True)
        if refused and not crashed:
            attempt_reports.await_death_news()
        return died

    def close(
        self, outcome: runners.Outcome, first_token_s: float | None
    ) -> None:
        """Report the end of the request and let its connection go.

        :param outcome: how it ended.
        :param first_token_s: time to the first token, or None.
        """
        flight = self._flight
        if self._exchange is not None:
            self._exchange.abandon()
        ended = messages.RequestEnded(
            flight.request_id,
            outcome,
            first_token_s,
            flight.request.prompt_tokens + flight.resume_from,
        )
        future = self._context.desk.ask(ended)
        if flight.attempt > 1 or self._on_trial:
            report = self._context.answer_of(future)
            attempt_reports.spread(self._context, report, False)
        if self._on_trial:
            attempt_reports.end_trial(
                self._context,
                flight.entry.pool,
                flight.fingerprint,
                flight.request_id,
            )

    def _check_blame(
        self, error: upstream_exchange.UpstreamErrorResponse
    ) -> None:
        if error.status in _CLIENT_ERRORS:
            raise self._refusal(
                refusals.BAD_REQUEST,
                f"the runner refused the request with {error.status}",
                None,
            )

    def _started(
        self, wanted: str, tried: frozenset[str]
    ) -> upstream_exchange.Exchange:
        flight = self._flight
        flight.attempt += 1
        silent = self._leave_silent()
        runner = self._place(wanted, tried)
        if silent is not None and silent.name != runner.name:
            self._context.background.submit(
                cancel, silent.address, flight.request_id
            )
        tokens = flight.transcript.tokens()
        body = flight.request.body_for(flight.entry.model, tokens)
        exchange = self._connect(runner)
        self._sent = True
        exchange.send("POST", flight.request.path, self._headers(), body)
        return self._checked(exchange)

    def _resumed(self) -> upstream_exchange.Exchange:
        flight = self._flight
        runner = flight.runner
        assert runner is not None
        flight.attempt += 1
        return self._continued(runner)

    def _moved_to(self, target: str) -> upstream_exchange.Exchange:
        flight = self._flight
        old = flight.runner
        assert old is not None
        self._drop()
        began = self._context.clock.now()
        tokens = flight.request.prompt_tokens + flight.resume_from
        desk = self._context.desk
        try:
            state = upstream_exchange.call_json(
                old.address,
                "POST",
                f"/v1/streams/{flight.request_id}/export",
                {},
                IMPORT_S,
            )
            flight.attempt += 1
            runner = self._place(target, frozenset())
            upstream_exchange.call_json(
                runner.address, "POST", "/v1/import", state, IMPORT_S
            )
        except upstream_exchange.UpstreamError:
            desk.tell(messages.MoveEnded(tokens, None))
            raise
        seconds = self._context.clock.now() - began
        desk.tell(messages.MoveEnded(tokens, seconds))
        self._context.metrics.count("streams.moved")
        logs.event(
            "stream_moved",
            request=flight.request_id,
            runner=runner.name,
            before=old.name,
            tokens=flight.resume_from,
            seconds=seconds,
        )
        return self._continued(runner)

    def _continued(self, runner: runners.Runner) -> upstream_exchange.Exchange:
        """Read the runner's own stream from the next token on."""
        flight = self._flight
        exchange = self._connect(runner)
        path = f"/v1/streams/{flight.request_id}?from={flight.resume_from}"
        exchange.send("GET", path, self._headers())
        return self._checked(exchange)

    def _connect(self, runner: runners.Runner) -> upstream_exchange.Exchange:
        self._drop()
        first_token_s = self._flight.service_class.first_token_s
        patience_s = max(
            LEAST_FIRST_BYTE_S, FIRST_BYTE_PATIENCE * first_token_s
        )
        exchange = upstream_exchange.Exchange(
            runner.address,
            min(patience_s, max(0.1, self._flight.left_s)),
            stream=True,
        )
        self._exchange = exchange
        self._flight.uses(runner, exchange.interrupt)
        exchange.open()
        return exchange

    def _checked(
        self, exchange: upstream_exchange.Exchange
    ) -> upstream_exchange.Exchange:
        flight = self._flight
        if exchange.status != 200:
            status = exchange.status
            body = exchange.read_body()[:256]
            exchange.abandon()
            raise upstream_exchange.UpstreamErrorResponse(status, body)
        exchange.verify_echo(flight.request_id, flight.attempt)
        return exchange

    def _headers(self) -> dict[str, str]:
        flight = self._flight
        return {
            "Content-Type": "application/json",
            "Host": self._flight.runner.address if self._flight.runner else "",
            "Connection": "close",
            upstream_exchange.REQUEST_HEADER: flight.request_id,
            upstream_exchange.ATTEMPT_HEADER: str(flight.attempt),
            PRIORITY_HEADER: str(flight.service_class.priority),
        }

    def _place(self, wanted: str, tried: frozenset[str]) -> runners.Runner:
        """A runner for the next attempt, from the desk or the judge."""
        flight = self._flight

        def dispatch(only: str, on_trial: bool) -> messages.Dispatch:
            return messages.Dispatch(
                flight.request_id,
                flight.query(tried),
                flight.fingerprint,
                flight.attempt,
                flight,
                only,
                on_trial,
            )

        placed = self._placing.place(dispatch, wanted)
        self._on_trial = placed.on_trial
        flight.runner = placed.route.runner
        return placed.route.runner

    def _refusal(
        self,
        kind: refusals.RefusalKind,
        message: str,
        retry_after_s: float | None,
    ) -> refusals.Refusal:
        executed = refusals.Executed.NO
        if self._sent or self._flight.resume_from:
            executed = refusals.Executed.UNKNOWN
        return refusals.Refusal(
            kind, message, executed, retry_after_s, self._flight.request_id
        )

    def _leave_silent(self) -> runners.Runner | None:
        """Give up a runner that stayed silent over new connections, too.

        :returns: the runner, which may still be computing the stream.
        """
        silent, self._silent_at = self._silent_at, None
        if silent is not None:
            ended = messages.AttemptEnded(
                self._flight.request_id, runners.Outcome.FAILED, False
            )
            self._context.desk.tell(ended)
        return silent

    def _drop(self) -> None:
        if self._exchange is not None:
            self._exchange.abandon()
            self._exchange = None


def cancel(address: str, request_id: str) -> None:
    """Tell a runner that nobody wants a stream any more.

    A failure does no harm: the runner ends streams that nobody reads.

    :param address: ``host:port`` of the runner.
    :param request_id: names the stream.
    """
    try:
        upstream_exchange.call_json(
            address, "DELETE", f"/v1/streams/{request_id}"
        )
    except upstream_exchange.UpstreamError as error:
        logs.event("peer_call_failed", address=address, error=error.message)
