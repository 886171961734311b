"""Reads one answer from its runners, whatever happens to them.

A pump belongs to one thread. It opens attempts one after the other, takes
each token exactly once and in order, and leaves a runner that is taken
before its time is over.
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
from . import flights
from . import messages
from . import sources

#: Distinct times between tokens that wait to be recorded together.
GAPS_HELD = 24
GAP_PATIENCE = 15
LEAST_PATIENCE_S = 1.0
_ID = b"id: "
_DONE = b"data: [DONE]"
_END = openai_format.EVENT_END

Sink = typing.Callable[[bytes], None]


def _drop(data: bytes) -> None:
    """The sink when nobody listens: the transcript keeps the events."""


class Moved(Exception):
    """Another entry VM has taken the request over."""


class Pump:
    """The tokens of one answer.

    First :meth:`first`, then :meth:`rest`. After
    :class:`.callers.CallerGone` the rest may be asked for again.

    :param context: the daemon's tasks.
    :param flight: the request.
    :param runner: where the stream already runs, after a handover.
    """

    def __init__(
        self,
        context: contexts.Context,
        flight: flights.Flight,
        runner: runners.Runner | None = None,
    ) -> None:
        self._context = context
        self._flight = flight
        self._sources = sources.Sources(context, flight)
        self._cursor = stream_cursor.StreamCursor(
            flight.attempt, flight.resume_from
        )
        self._failures = 0
        self._same_runner = 0
        self._broken_from = -1
        self._tried: frozenset[str] = frozenset()
        self._step: recovery.RecoveryDecision | None = None
        if runner is not None:
            flight.runner = runner
            self._step = recovery.Reconnect(runner.name, flight.resume_from)
        self._gaps = context.histograms.distribution(
            histograms.BETWEEN_TOKENS,
            flight.customer,
            flight.service_class.name,
        )
        self._gap_counts: dict[int, int] = {}
        self._last_at = 0.0
        self._awaited = b"id: %d\n" % flight.resume_from
        self._exchange: upstream_exchange.Exchange | None = None
        self._unread = b""
        self._whole = False
        self._sink: Sink = _drop
        self._linger_until = float("inf")

    @property
    def flight(self) -> flights.Flight:
        """The request that is pumped."""
        return self._flight

    def first(self) -> bytes:
        """Wait for the first events of the answer.

        :raises Refusal: when the request is given up.
        :raises Moved: when another entry VM goes on with it.
        """
        with self._ending():
            while True:
                try:
                    return self._open()
                except upstream_exchange.UpstreamError as error:
                    self._step = self._after(error)

    def rest(self, sink: Sink, linger_s: float = float("inf")) -> None:
        """Pass on the events that follow, until the answer is whole.

        :param sink: gets one or more events at a time, on any thread; must
            not block.
        :param linger_s: nobody listens; the request is given up after this
            time, unless a caller comes back.
        :raises Refusal: when the request is given up; what was passed on
            before stays valid.
        :raises Moved: when another entry VM goes on with it.
        :raises CallerGone: from the sink; the request still runs.
        """
        self._sink = sink
        self._linger_until = self._context.clock.now() + linger_s
        with self._ending():
            while not self._whole:
                try:
                    self._go_on()
                except upstream_exchange.UpstreamError as error:
                    self._exchange = None
                    self._step = self._after(error)
        if self._exchange is not None:
            self._exchange.finish()
        self._end(runners.Outcome.DONE, "done")

    @contextlib.contextmanager
    def _ending(self) -> typing.Iterator[None]:
        """Report the end of a request that is not answered here."""
        try:
            yield
        except refusals.Refusal as refusal:
            # A body that a runner refuses tells nothing about the runner.
            blamed = refusal.kind is not refusals.BAD_REQUEST
            failed = runners.Outcome.FAILED
            outcome = failed if blamed else runners.Outcome.CANCELLED
            self._end(outcome, refusal.kind.name)
            raise
        except Moved:
            self._end(runners.Outcome.CANCELLED, "moved")
            raise

    def _open(self) -> bytes:
        """Open the next attempt and take its first events."""
        self._unread = b""
        exchange = self._sources.open(self._step, self._tried)
        self._cursor.start_attempt(self._flight.attempt)
        self._exchange = exchange
        fresh = b""
        while not fresh and not self._whole:
            chunk = exchange.read_chunk()
            if not chunk:
                exchange.abandon()
                raise upstream_exchange.ConnectionBroken(
                    "the stream ended early", sent=True
                )
            fresh = self._take(chunk)
        exchange.set_read_timeout(self._patience_s())
        return fresh

    def _go_on(self) -> None:
        exchange = self._exchange
        if exchange is None:
            self._sink(self._open())
            return
        sock = exchange.raw_socket
        if sock is None:
            self._read_framed(exchange)
            return
        reading = self._context.streams.read(
            sock, exchange.address, self._patience_s(), self._heard
        )
        try:
            reading.result()
        except upstream_exchange.UpstreamError:
            exchange.abandon()
            raise

    def _read_framed(self, exchange: upstream_exchange.Exchange) -> None:
        """Read an answer whose framing http.client has to undo."""
        while not self._whole:
            chunk = exchange.read_chunk()
            if not chunk:
                exchange.abandon()
                raise upstream_exchange.ConnectionBroken(
                    "the stream ended early", sent=True
                )
            self._heard(chunk)

    def _heard(self, data: bytes) -> bool:
        fresh = self._take(data)
        if fresh:
            self._sink(fresh)
        overdue = self._last_at > self._linger_until
        if overdue and not self._flight.transcript.followed:
            self._flight.cancel()
        return self._whole

    def _take(self, data: bytes) -> bytes:
        """Accept events, each token once and in order.

        :returns: the bytes to pass on.
        """
        if not self._unread and data.startswith(self._awaited):
            # Nearly every read is one whole event, the one awaited.
            if data.find(openai_format.EVENT_END) == len(data) - len(_END):
                self._accept(data)
                self._timed()
                return data
        *events, self._unread = (self._unread + data).split(
            openai_format.EVENT_END
        )
        before = self._cursor.next_index
        for event in events:
            self._take_one(event)
        accepted = self._flight.transcript.events(before)
        if accepted:
            self._timed()
        if self._whole and not self._flight.resume_from:
            self._whole = False
            raise upstream_exchange.ConnectionBroken(
                "the answer is empty", sent=True
            )
        return b"".join(accepted)

    def _take_one(self, event: bytes) -> None:
        if not event.startswith(_ID):
            self._whole |= event.startswith(_DONE)
            return
        index = int(event[len(_ID) : event.index(b"\n")])
        verdict = self._cursor.offer(self._flight.attempt, index)
        if verdict == stream_cursor.GAP:
            raise upstream_exchange.ConnectionBroken(
                "a token is missing", sent=True
            )
        if verdict == stream_cursor.ACCEPTED:
            self._keep(event + openai_format.EVENT_END)

    def _accept(self, event: bytes) -> None:
        flight = self._flight
        self._cursor.offer(flight.attempt, self._cursor.next_index)
        self._keep(event)

    def _keep(self, event: bytes) -> None:
        self._flight.transcript.append(event)
        self._awaited = b"id: %d\n" % self._cursor.next_index

    def _timed(self) -> None:
        now = self._context.clock.now()
        if self._last_at:
            gap_us = histograms.rounded_down_us(
                int((now - self._last_at) * 1e6)
            )
            counts = self._gap_counts
            counts[gap_us] = counts.get(gap_us, 0) + 1
            if len(counts) >= GAPS_HELD:
                self._record_gaps()
        elif self._flight.first_token_at is None:
            self._first(now)
        self._last_at = now

    def _record_gaps(self) -> None:
        counts, self._gap_counts = self._gap_counts, {}
        self._gaps.record_counts(counts)

    def _first(self, now: float) -> None:
        flight = self._flight
        flight.first_token_at = now
        context = self._context
        context.desk.tell(messages.FirstToken(flight.request_id))
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

    def _patience_s(self) -> float:
        """How long a stream may be silent before it counts as broken.

        A connection that the network has lost track of stays open and
        silent for ever; its class's own pace tells sooner than TCP.
        """
        pace_s = self._flight.service_class.between_tokens_s
        return max(LEAST_PATIENCE_S, GAP_PATIENCE * pace_s)

    def _after(
        self, error: upstream_exchange.UpstreamError
    ) -> recovery.RecoveryDecision:
        """Decide how to go on after an attempt ended early."""
        flight = self._flight
        if flight.moved_to:
            raise Moved() from error
        if flight.cancelled:
            raise refusals.Refusal(
                refusals.GAVE_UP,
                "nobody wants the answer any more",
                refusals.Executed.UNKNOWN,
            ) from error
        decided = flight.take_decision()
        decision = decided or self._recover(error)
        if isinstance(decision, recovery.Replay) and not flight.can_replay:
            raise refusals.Refusal(
                refusals.GAVE_UP,
                "the runner lost the stream, and the entry VM that had the "
                "request is gone; send it again",
                refusals.Executed.UNKNOWN,
            ) from error
        return decision

    def _recover(
        self, error: upstream_exchange.UpstreamError
    ) -> recovery.RecoveryDecision:
        flight = self._flight
        died = self._sources.ended(error)
        cause = recovery.RecoveryCause.LOST
        if isinstance(
            error,
            (
                upstream_exchange.ConnectionBroken,
                upstream_exchange.UpstreamTimeout,
            ),
        ):
            cause = recovery.RecoveryCause.BROKEN
        # A stream that went on after it was resumed shows that its runner
        # is well: a connection that goes silent again is a new event.
        resumed = isinstance(self._step, recovery.Reconnect)
        stuck = resumed and flight.resume_from == self._broken_from
        self._same_runner = self._same_runner + 1 if stuck else 0
        self._broken_from = flight.resume_from
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
            return self._sources.retry(error, self._tried, self._failures)
        if cause is recovery.RecoveryCause.LOST and not died:
            self._sources.check_budget(error, self._tried, self._failures)
        broke = messages.StreamBroke(
            flight, cause, self._failures, self._same_runner, self._tried
        )
        return self._sources.decided(broke)

    def _end(self, outcome: runners.Outcome, name: str) -> None:
        flight = self._flight
        flight.transcript.end(name)
        self._record_gaps()
        context = self._context
        whole_s = context.clock.now() - flight.arrived
        first_s = None
        if flight.first_token_at is not None:
            first_s = flight.first_token_at - flight.arrived
        self._sources.close(outcome, first_s)
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
