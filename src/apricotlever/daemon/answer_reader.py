"""Reads one model answer from its runners and recovers from their failures.

An attempt is one connection to a runner that sends the answer or a part of
it. An AnswerReader is used by one thread at a time and has one attempt open
at a time. It accepts each token exactly once and in order, and leaves a
runner before the cloud reclaims that runner.
"""

import contextlib
import typing

from .. import histograms
from .. import logs
from .. import refusals
from ..links import openai_format
from ..links import upstream_exchange
from ..requests import recovery
from ..requests import stream_cursor
from ..runners import model as runners
from ..streams import event_buffer

from . import context as contexts
from . import dispatcher_messages
from . import model_attempts
from . import model_request
from . import token_times

#: A stream counts as broken after a silence of this many times the target
#: gap between tokens of its class.
SILENCE_TIMEOUT_FACTOR = 15
MIN_SILENCE_TIMEOUT_S = 1.0
_ID_PREFIX = b"id: "
_DONE_DATA = b"data: [DONE]"
_EVENT_END = openai_format.EVENT_END

Sink = typing.Callable[[bytes], None]


def _discard(data: bytes) -> None:
    """Drop events: the sink until :meth:`AnswerReader.read_rest` sets one.

    No event is lost, because the transcript keeps all of them.
    """


class RequestMoved(Exception):
    """Another entry VM has taken over the request, so reading ends here."""


class AnswerReader:
    """Reads the tokens of one answer into its transcript and to a sink.

    Call :meth:`read_first`, then :meth:`read_rest`. After
    :class:`.caller_server.CallerDisconnected`, :meth:`read_rest` may be
    called again.

    :param context: the daemon's tasks.
    :param request: the model request.
    :param runner: the runner that already computes the stream, when the
        request was taken over from another entry VM; None for a new request.
    """

    def __init__(
        self,
        context: contexts.Context,
        request: model_request.ModelRequest,
        runner: runners.Runner | None = None,
    ) -> None:
        self._context = context
        self._request = request
        self._attempts = model_attempts.ModelAttempts(context, request)
        self._cursor = stream_cursor.StreamCursor(
            request.attempt, request.resume_from
        )
        self._failures = 0
        self._stuck_resumptions = 0
        self._last_failure_index = -1
        self._tried: frozenset[str] = frozenset()
        self._decision: recovery.RecoveryDecision | None = None
        if runner is not None:
            request.runner = runner
            self._decision = recovery.Reconnect(
                runner.name, request.resume_from
            )
        self._token_times = token_times.TokenTimes(context, request)
        self._expected_prefix = b"id: %d\n" % request.resume_from
        self._exchange: upstream_exchange.Exchange | None = None
        self._partial_event = event_buffer.EventBuffer()
        #: What is wrong behind the tokens that were accepted last.
        self._failure: upstream_exchange.ConnectionBroken | None = None
        self._complete = False
        self._sink: Sink = _discard
        self._linger_until = float("inf")

    @property
    def request(self) -> model_request.ModelRequest:
        """The request whose answer is read."""
        return self._request

    def read_first(self) -> bytes:
        """Wait for the first events of the answer.

        :returns: the first events, ready to pass on.
        :raises Refusal: when the request is given up.
        :raises RequestMoved: when another entry VM has taken over the request.
        """
        with self._reporting_refusal():
            while True:
                try:
                    return self._open_attempt()
                except upstream_exchange.UpstreamError as error:
                    self._decision = self._decide_recovery(error)

    def read_rest(self, sink: Sink, linger_s: float = float("inf")) -> None:
        """Pass on the remaining events until the answer is complete.

        :param sink: receives one or more events per call, on any thread;
            must not block.
        :param linger_s: seconds after which the request is cancelled when no
            caller follows its transcript; infinite while a caller reads.
        :raises Refusal: when the request is given up; events that were
            passed on before stay valid.
        :raises RequestMoved: when another entry VM has taken over the request.
        :raises CallerDisconnected: from the sink; the request still runs.
        """
        self._sink = sink
        self._linger_until = self._context.clock.now() + linger_s
        with self._reporting_refusal():
            while not self._complete:
                try:
                    self._read_more()
                except upstream_exchange.UpstreamError as error:
                    self._exchange = None
                    self._decision = self._decide_recovery(error)
        if self._exchange is not None:
            self._exchange.finish()
        self._report_end(runners.Outcome.DONE, "done")

    @contextlib.contextmanager
    def _reporting_refusal(self) -> typing.Iterator[None]:
        """Report the end of the request when the ``with`` block is refused.

        A Refusal or RequestMoved that the block raises is reported to the
        dispatcher, the metrics and the log, and then raised again.
        """
        try:
            yield
        except refusals.Refusal as refusal:
            # A runner that refuses a malformed body has not failed.
            runner_failed = refusal.kind is not refusals.BAD_REQUEST
            failed = runners.Outcome.FAILED
            outcome = failed if runner_failed else runners.Outcome.CANCELLED
            self._report_end(outcome, refusal.kind.name)
            raise
        except RequestMoved:
            self._report_end(runners.Outcome.CANCELLED, "moved")
            raise

    def _open_attempt(self) -> bytes:
        """Make the next attempt and read until it adds events or is complete.

        :returns: the new events; they may be empty if the answer is complete.
        """
        self._partial_event.clear()
        self._failure = None
        exchange = self._attempts.open(self._decision, self._tried)
        self._cursor.start_attempt(self._request.attempt)
        self._exchange = exchange
        fresh = b""
        while not fresh and not self._complete:
            chunk = exchange.read_chunk()
            if not chunk:
                exchange.abandon()
                raise upstream_exchange.ConnectionBroken(
                    "the stream ended early", sent=True
                )
            fresh = self._accept_data(chunk)
        exchange.set_read_timeout(self._silence_timeout_s())
        return fresh

    def _read_more(self) -> None:
        exchange = self._exchange
        if exchange is None:
            self._sink(self._open_attempt())
            return
        try:
            self._check_failure()
            self._read_on(exchange)
        except upstream_exchange.UpstreamError:
            exchange.abandon()
            raise

    def _read_on(self, exchange: upstream_exchange.Exchange) -> None:
        sock = exchange.raw_socket
        if sock is None:
            self._read_http_framed(exchange)
            return
        reading = self._context.streams.read(
            sock, exchange.address, self._silence_timeout_s(), self._on_data
        )
        reading.result()

    def _read_http_framed(self, exchange: upstream_exchange.Exchange) -> None:
        """Read an answer through http.client, which decodes its framing."""
        while not self._complete:
            chunk = exchange.read_chunk()
            if not chunk:
                raise upstream_exchange.ConnectionBroken(
                    "the stream ended early", sent=True
                )
            self._on_data(chunk)

    def _on_data(self, data: bytes) -> bool:
        fresh = self._accept_data(data)
        if fresh:
            self._sink(fresh)
        self._check_failure()
        linger_over = self._token_times.last_at > self._linger_until
        if linger_over and not self._request.transcript.followed:
            self._request.cancel()
        return self._complete

    def _accept_data(self, data: bytes) -> bytes:
        """Accept events, each token once and in order.

        Those before a bad one count, so they must be passed on: the request
        goes on after them. What is wrong is raised after that.

        :param data: bytes as read; may end in the middle of an event.
        :returns: the accepted events, to be passed on.
        :raises ConnectionBroken: when a token is missing or not numbered, or
            the answer is empty.
        """
        if not self._partial_event and data.startswith(self._expected_prefix):
            # Fast path: nearly every read returns exactly the next event.
            if data.find(openai_format.EVENT_END) == len(data) - len(
                _EVENT_END
            ):
                self._accept_next(data)
                self._token_times.record()
                return data
        whole = self._partial_event.take(data)
        first_index = self._cursor.next_index
        try:
            for event in whole.split(openai_format.EVENT_END)[:-1]:
                self._accept_event(event)
            self._partial_event.check_length()
        except upstream_exchange.ConnectionBroken as error:
            self._failure = error
        except event_buffer.EventTooLong as error:
            self._failure = upstream_exchange.ConnectionBroken(
                str(error), sent=True
            )
        accepted = self._request.transcript.events(first_index)
        if not accepted:
            self._check_failure()
        if accepted:
            self._token_times.record()
        if self._complete and not self._request.resume_from:
            self._complete = False
            raise upstream_exchange.ConnectionBroken(
                "the answer is empty", sent=True
            )
        return b"".join(accepted)

    def _check_failure(self) -> None:
        """Raise what is wrong behind the accepted tokens, once.

        :raises ConnectionBroken: when a token is missing or not numbered.
        """
        failure, self._failure = self._failure, None
        if failure is not None:
            raise failure

    def _accept_event(self, event: bytes) -> None:
        if not event.startswith(_ID_PREFIX):
            self._complete |= event.startswith(_DONE_DATA)
            return
        digits = event[len(_ID_PREFIX) :].partition(b"\n")[0]
        index = event_buffer.parse_id(digits)
        if index is None:
            raise upstream_exchange.ConnectionBroken(
                "an event has no number", sent=True
            )
        verdict = self._cursor.offer(self._request.attempt, index)
        if verdict == stream_cursor.GAP:
            raise upstream_exchange.ConnectionBroken(
                "a token is missing", sent=True
            )
        if verdict == stream_cursor.ACCEPTED:
            self._append(event + openai_format.EVENT_END)

    def _accept_next(self, event: bytes) -> None:
        request = self._request
        self._cursor.offer(request.attempt, self._cursor.next_index)
        self._append(event)

    def _append(self, event: bytes) -> None:
        self._request.transcript.append(event)
        self._expected_prefix = b"id: %d\n" % self._cursor.next_index

    def _silence_timeout_s(self) -> float:
        """Seconds of silence after which a stream counts as broken.

        A connection whose state a network device has lost stays open and
        silent for ever. A timeout derived from the target gap between tokens
        of the service class detects this sooner than TCP does.
        """
        target_gap_s = self._request.service_class.between_tokens_s
        return max(
            MIN_SILENCE_TIMEOUT_S, SILENCE_TIMEOUT_FACTOR * target_gap_s
        )

    def _decide_recovery(
        self, error: upstream_exchange.UpstreamError
    ) -> recovery.RecoveryDecision:
        """Decide how to continue after an attempt has failed.

        :raises Refusal: when the request is given up.
        :raises RequestMoved: when another entry VM has taken over the request.
        """
        request = self._request
        if request.moved_to:
            raise RequestMoved() from error
        if request.cancelled:
            raise refusals.Refusal(
                refusals.GAVE_UP,
                "the request was cancelled: no caller reads the answer",
                refusals.Executed.UNKNOWN,
            ) from error
        pending = request.take_decision()
        decision = pending or self._recover(error)
        if isinstance(decision, recovery.Replay) and not request.can_replay:
            raise refusals.Refusal(
                refusals.GAVE_UP,
                "the runner lost the stream, and the entry VM that held the "
                "request has ended; send the request again",
                refusals.Executed.UNKNOWN,
            ) from error
        return decision

    def _recover(
        self, error: upstream_exchange.UpstreamError
    ) -> recovery.RecoveryDecision:
        request = self._request
        runner_ended = self._attempts.report_failure(error)
        cause = recovery.RecoveryCause.LOST
        if isinstance(
            error,
            (
                upstream_exchange.ConnectionBroken,
                upstream_exchange.UpstreamTimeout,
            ),
        ):
            cause = recovery.RecoveryCause.BROKEN
        # Only resumptions without a new token count as stuck. A stream that
        # advanced after a reconnect shows that its runner is healthy, so a
        # further silence counts as a new failure.
        reconnected = isinstance(self._decision, recovery.Reconnect)
        stuck = reconnected and request.resume_from == self._last_failure_index
        self._stuck_resumptions = self._stuck_resumptions + 1 if stuck else 0
        self._last_failure_index = request.resume_from
        self._failures += 1
        if cause is recovery.RecoveryCause.LOST and request.runner is not None:
            self._tried |= {request.runner.name}
        logs.event(
            "request_retried",
            request=request.request_id,
            runner=request.runner and request.runner.name,
            error=error.message,
            tokens=request.resume_from,
        )
        self._context.metrics.count("requests.retried")
        if request.runner is None:
            return self._attempts.retry_without_runner(
                error, self._tried, self._failures
            )
        if cause is recovery.RecoveryCause.LOST and not runner_ended:
            self._attempts.check_retry_allowed(
                error, self._tried, self._failures
            )
        situation = dispatcher_messages.DecideRecovery(
            request,
            cause,
            self._failures,
            self._stuck_resumptions,
            self._tried,
        )
        return self._attempts.request_decision(situation)

    def _report_end(self, outcome: runners.Outcome, name: str) -> None:
        request = self._request
        request.transcript.end(name)
        self._token_times.flush()
        context = self._context
        whole_s = context.clock.now() - request.arrived_at
        first_s = None
        if request.first_token_at is not None:
            first_s = request.first_token_at - request.arrived_at
        self._attempts.report_end(outcome, first_s)
        if outcome is runners.Outcome.DONE:
            context.histograms.record(
                histograms.WHOLE_ANSWER,
                request.customer,
                request.service_class.name,
                whole_s,
            )
        context.metrics.count("requests.ended", of=name)
        context.metrics.count("tokens.sent", request.resume_from)
        logs.event(
            "request_ended",
            request=request.request_id,
            entry=request.entry.name,
            customer=request.customer,
            outcome=name,
            tokens=request.resume_from,
            attempts=request.attempt,
            first_token_s=first_s,
            whole_s=whole_s,
        )
