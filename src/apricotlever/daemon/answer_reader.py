"""Reads one model answer from its runners and recovers from their failures.

A Pump belongs to one thread. It makes one attempt at a time, accepts
each token exactly once and in order, and moves away from a runner before that
runner is reclaimed.
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

from . import context as contexts
from . import dispatcher_messages
from . import model_attempts
from . import model_request

#: Distinct gaps between tokens that are buffered before they are recorded.
MAX_BUFFERED_GAPS = 24
#: A stream counts as broken after a silence of this many times the target
#: gap between tokens of its class.
SILENCE_TIMEOUT_FACTOR = 15
MIN_SILENCE_TIMEOUT_S = 1.0
_ID_PREFIX = b"id: "
_DONE_DATA = b"data: [DONE]"
_EVENT_END = openai_format.EVENT_END

Sink = typing.Callable[[bytes], None]


def _discard(data: bytes) -> None:
    """Sink used until a caller reads: only the transcript keeps the events."""


class RequestMoved(Exception):
    """Raised when another entry VM has taken over the request."""


class AnswerReader:
    """Reads the tokens of one answer.

    Call :meth:`read_first`, then :meth:`read_rest`. After
    :class:`.caller_server.CallerDisconnected`, :meth:`read_rest` may be
    called again.

    :param context: the daemon's tasks.
    :param flight: the request.
    :param runner: the runner that already runs the stream, when the request
        comes from another entry VM; None for a new request.
    """

    def __init__(
        self,
        context: contexts.Context,
        flight: model_request.ModelRequest,
        runner: runners.Runner | None = None,
    ) -> None:
        self._context = context
        self._flight = flight
        self._attempts = model_attempts.ModelAttempts(context, flight)
        self._cursor = stream_cursor.StreamCursor(
            flight.attempt, flight.resume_from
        )
        self._failures = 0
        self._stuck_resumptions = 0
        self._last_broken_index = -1
        self._tried: frozenset[str] = frozenset()
        self._decision: recovery.RecoveryDecision | None = None
        if runner is not None:
            flight.runner = runner
            self._decision = recovery.Reconnect(
                runner.name, flight.resume_from
            )
        self._gap_distribution = context.histograms.distribution(
            histograms.BETWEEN_TOKENS,
            flight.customer,
            flight.service_class.name,
        )
        self._gap_counts: dict[int, int] = {}
        self._last_token_at = 0.0
        self._expected_prefix = b"id: %d\n" % flight.resume_from
        self._exchange: upstream_exchange.Exchange | None = None
        self._partial_event = b""
        self._complete = False
        self._sink: Sink = _discard
        self._linger_until = float("inf")

    @property
    def flight(self) -> model_request.ModelRequest:
        """The request whose answer is read."""
        return self._flight

    def read_first(self) -> bytes:
        """Wait for the first events of the answer.

        :returns: the first events, ready to pass on.
        :raises Refusal: when the request is given up.
        :raises RequestMoved: when another entry VM has taken it over.
        """
        with self._reporting_refusal():
            while True:
                try:
                    return self._open_attempt()
                except upstream_exchange.UpstreamError as error:
                    self._decision = self._decide_after(error)

    def read_rest(self, sink: Sink, linger_s: float = float("inf")) -> None:
        """Pass on the remaining events until the answer is complete.

        :param sink: receives one or more events per call, on any thread;
            must not block.
        :param linger_s: seconds after which the request is cancelled when no
            caller follows its transcript; infinite while a caller reads.
        :raises Refusal: when the request is given up; events passed on
            before stay valid.
        :raises RequestMoved: when another entry VM has taken it over.
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
                    self._decision = self._decide_after(error)
        if self._exchange is not None:
            self._exchange.finish()
        self._report_end(runners.Outcome.DONE, "done")

    @contextlib.contextmanager
    def _reporting_refusal(self) -> typing.Iterator[None]:
        """Report the end of a request that is refused or moved."""
        try:
            yield
        except refusals.Refusal as refusal:
            # The runner is not at fault when it refuses a malformed body.
            runner_failed = refusal.kind is not refusals.BAD_REQUEST
            failed = runners.Outcome.FAILED
            outcome = failed if runner_failed else runners.Outcome.CANCELLED
            self._report_end(outcome, refusal.kind.name)
            raise
        except RequestMoved:
            self._report_end(runners.Outcome.CANCELLED, "moved")
            raise

    def _open_attempt(self) -> bytes:
        """Make the next attempt and read its first events."""
        self._partial_event = b""
        exchange = self._attempts.open(self._decision, self._tried)
        self._cursor.start_attempt(self._flight.attempt)
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
        sock = exchange.raw_socket
        if sock is None:
            self._read_http_framed(exchange)
            return
        reading = self._context.streams.read(
            sock, exchange.address, self._silence_timeout_s(), self._on_data
        )
        try:
            reading.result()
        except upstream_exchange.UpstreamError:
            exchange.abandon()
            raise

    def _read_http_framed(self, exchange: upstream_exchange.Exchange) -> None:
        """Read an answer through http.client, which decodes its framing."""
        while not self._complete:
            chunk = exchange.read_chunk()
            if not chunk:
                exchange.abandon()
                raise upstream_exchange.ConnectionBroken(
                    "the stream ended early", sent=True
                )
            self._on_data(chunk)

    def _on_data(self, data: bytes) -> bool:
        fresh = self._accept_data(data)
        if fresh:
            self._sink(fresh)
        overdue = self._last_token_at > self._linger_until
        if overdue and not self._flight.transcript.followed:
            self._flight.cancel()
        return self._complete

    def _accept_data(self, data: bytes) -> bytes:
        """Accept events, each token once and in order.

        :param data: bytes as read; may end in the middle of an event.
        :returns: the accepted events, to be passed on.
        :raises ConnectionBroken: when a token or the whole answer is missing.
        """
        if not self._partial_event and data.startswith(self._expected_prefix):
            # Fast path: nearly every read returns exactly the next event.
            if data.find(openai_format.EVENT_END) == len(data) - len(
                _EVENT_END
            ):
                self._accept_expected(data)
                self._record_token_time()
                return data
        *events, self._partial_event = (self._partial_event + data).split(
            openai_format.EVENT_END
        )
        before = self._cursor.next_index
        for event in events:
            self._accept_event(event)
        accepted = self._flight.transcript.events(before)
        if accepted:
            self._record_token_time()
        if self._complete and not self._flight.resume_from:
            self._complete = False
            raise upstream_exchange.ConnectionBroken(
                "the answer is empty", sent=True
            )
        return b"".join(accepted)

    def _accept_event(self, event: bytes) -> None:
        if not event.startswith(_ID_PREFIX):
            self._complete |= event.startswith(_DONE_DATA)
            return
        index = int(event[len(_ID_PREFIX) : event.index(b"\n")])
        verdict = self._cursor.offer(self._flight.attempt, index)
        if verdict == stream_cursor.GAP:
            raise upstream_exchange.ConnectionBroken(
                "a token is missing", sent=True
            )
        if verdict == stream_cursor.ACCEPTED:
            self._append(event + openai_format.EVENT_END)

    def _accept_expected(self, event: bytes) -> None:
        flight = self._flight
        self._cursor.offer(flight.attempt, self._cursor.next_index)
        self._append(event)

    def _append(self, event: bytes) -> None:
        self._flight.transcript.append(event)
        self._expected_prefix = b"id: %d\n" % self._cursor.next_index

    def _record_token_time(self) -> None:
        now = self._context.clock.now()
        if self._last_token_at:
            gap_us = histograms.rounded_down_us(
                int((now - self._last_token_at) * 1e6)
            )
            counts = self._gap_counts
            counts[gap_us] = counts.get(gap_us, 0) + 1
            if len(counts) >= MAX_BUFFERED_GAPS:
                self._record_gaps()
        elif self._flight.first_token_at is None:
            self._record_first_token(now)
        self._last_token_at = now

    def _record_gaps(self) -> None:
        counts, self._gap_counts = self._gap_counts, {}
        self._gap_distribution.record_counts(counts)

    def _record_first_token(self, now: float) -> None:
        flight = self._flight
        flight.first_token_at = now
        context = self._context
        context.dispatcher.tell(
            dispatcher_messages.FirstToken(flight.request_id)
        )
        seconds = now - flight.arrived
        context.histograms.record(
            histograms.FIRST_TOKEN,
            flight.customer,
            flight.service_class.name,
            seconds,
        )
        context.metrics.timing(
            "latency.first_token", seconds, flight.service_class.name
        )

    def _silence_timeout_s(self) -> float:
        """Seconds of silence after which a stream counts as broken.

        A connection whose state was lost on the network path stays open and
        silent for ever. The expected pace of the service class reveals this
        sooner than TCP does.
        """
        pace_s = self._flight.service_class.between_tokens_s
        return max(MIN_SILENCE_TIMEOUT_S, SILENCE_TIMEOUT_FACTOR * pace_s)

    def _decide_after(
        self, error: upstream_exchange.UpstreamError
    ) -> recovery.RecoveryDecision:
        """Decide how to continue after an attempt ended early.

        :raises Refusal: when the request is given up.
        :raises RequestMoved: when another entry VM has taken it over.
        """
        flight = self._flight
        if flight.moved_to:
            raise RequestMoved() from error
        if flight.cancelled:
            raise refusals.Refusal(
                refusals.GAVE_UP,
                "the request was cancelled: no caller reads the answer",
                refusals.Executed.UNKNOWN,
            ) from error
        decided = flight.take_decision()
        decision = decided or self._recover(error)
        if isinstance(decision, recovery.Replay) and not flight.can_replay:
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
        flight = self._flight
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
        # A stream that advanced after a reconnect shows that its runner is
        # healthy, so that a further silence counts as a new failure.
        resumed = isinstance(self._decision, recovery.Reconnect)
        stuck = resumed and flight.resume_from == self._last_broken_index
        self._stuck_resumptions = self._stuck_resumptions + 1 if stuck else 0
        self._last_broken_index = flight.resume_from
        self._failures += 1
        if cause is recovery.RecoveryCause.LOST and flight.runner is not None:
            self._tried |= {flight.runner.name}
        logs.event(
            "request_retried",
            request=flight.request_id,
            runner=flight.runner and flight.runner.name,
            error=error.message,
            tokens=flight.resume_from,
        )
        self._context.metrics.count("requests.retried")
        if flight.runner is None:
            return self._attempts.retry_without_runner(
                error, self._tried, self._failures
            )
        if cause is recovery.RecoveryCause.LOST and not runner_ended:
            self._attempts.check_retry_allowed(
                error, self._tried, self._failures
            )
        situation = dispatcher_messages.StreamBroke(
            flight, cause, self._failures, self._stuck_resumptions, self._tried
        )
        return self._attempts.request_decision(situation)

    def _report_end(self, outcome: runners.Outcome, name: str) -> None:
        flight = self._flight
        flight.transcript.end(name)
        self._record_gaps()
        context = self._context
        whole_s = context.clock.now() - flight.arrived
        first_s = None
        if flight.first_token_at is not None:
            first_s = flight.first_token_at - flight.arrived
        self._attempts.report_end(outcome, first_s)
        if outcome is runners.Outcome.DONE:
            context.histograms.record(
                histograms.WHOLE_ANSWER,
                flight.customer,
                flight.service_class.name,
                whole_s,
            )
        context.metrics.count("requests.ended", of=name)
        context.metrics.count("tokens.sent", flight.resume_from)
        logs.event(
            "request_ended",
            request=flight.request_id,
            entry=flight.entry.name,
            customer=flight.customer,
            outcome=name,
            tokens=flight.resume_from,
            attempts=flight.attempt,
            first_token_s=first_s,
            whole_s=whole_s,
        )
