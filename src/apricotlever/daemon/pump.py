"""Reads one answer from its runners, whatever happens to them.

A pump belongs to one thread. It opens attempts one after the other, takes
each token exactly once and in order, and leaves a runner that is taken
before its time is over.
"""

import typing

from .. import histograms
from .. import logs
from .. import refusals
from ..links import openai
from ..links import upstreams
from ..requests import recovery
from ..requests import stream
from ..runners import model as runners

from . import context as contexts
from . import flights
from . import messages
from . import sources

US_PER_S = 1_000_000
GAP_PATIENCE = 15
LEAST_PATIENCE_S = 1.0
_ID = b"id: "


class Moved(Exception):
    """Another entry VM has taken the request over."""


class Pump:
    """The tokens of one answer.

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
        self._cursor = stream.StreamCursor(0, flight.resume_from)
        self._failures = 0
        self._same_runner = 0
        self._tried: frozenset[str] = frozenset()
        self._step: recovery.Decision | None = None
        if runner is not None:
            flight.runner = runner
            self._step = recovery.ResumeSame(runner.name, flight.resume_from)
        self._gaps = context.histograms.handle(
            histograms.BETWEEN_TOKENS,
            flight.customer,
            flight.service_class.name,
        )
        self._last_at = 0.0

    @property
    def flight(self) -> flights.Flight:
        """The request that is pumped."""
        return self._flight

    def chunks(self) -> typing.Iterator[bytes]:
        """Yield the events of the answer, one or more at a time.

        :raises Refusal: when the request is given up; what was yielded
            before stays valid.
        :raises Moved: when another entry VM goes on with it.
        """
        outcome = runners.Outcome.CANCELLED
        name = "moved"
        try:
            yield from self._attempts()
            outcome = runners.Outcome.DONE
            name = "done"
        except refusals.Refusal as refusal:
            outcome = runners.Outcome.FAILED
            name = refusal.kind.name
            raise
        finally:
            self._end(outcome, name)

    def _attempts(self) -> typing.Iterator[bytes]:
        while True:
            try:
                exchange = self._sources.open(self._step, self._tried)
                self._begin()
                yield from self._read(exchange)
                return
            except upstreams.UpstreamError as error:
                self._step = self._after(error)

    def _begin(self) -> None:
        flight = self._flight
        self._cursor.begin(flight.attempt)

    def _read(self, exchange: upstreams.Exchange) -> typing.Iterator[bytes]:
        exchange.patience(self._patience_s())
        rest = b""
        while True:
            chunk = exchange.read_some()
            if not chunk:
                exchange.abandon()
                raise upstreams.Broken("the stream ended early", sent=True)
            *events, rest = (rest + chunk).split(openai.EVENT_END)
            fresh, done = self._take(events)
            if fresh:
                yield fresh
            if done:
                exchange.finish()
                return

    def _take(self, events: list[bytes]) -> tuple[bytes, bool]:
        """Accept events, each token once and in order.

        :returns: the bytes to pass on, and whether the answer is whole.
        """
        accepted = []
        done = False
        flight = self._flight
        for event in events:
            if not event.startswith(_ID):
                done = done or event.startswith(b"data: [DONE]")
                continue
            index = int(event[len(_ID) : event.index(b"\n")])
            verdict = self._cursor.offer(flight.attempt, index)
            if verdict == stream.ACCEPTED:
                whole = event + openai.EVENT_END
                accepted.append(whole)
                flight.transcript.append(whole)
            elif verdict == stream.GAP:
                raise upstreams.Broken("a token is missing", sent=True)
        if accepted:
            self._timed()
        if done and not flight.resume_from:
            raise upstreams.Broken("the answer is empty", sent=True)
        return b"".join(accepted), done

    def _timed(self) -> None:
        now = self._context.clock.now()
        if self._last_at:
            self._gaps.record_us(int((now - self._last_at) * US_PER_S))
        elif self._flight.first_token_at is None:
            self._first(now)
        self._last_at = now

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

    def _after(self, error: upstreams.UpstreamError) -> recovery.Decision:
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

    def _recover(self, error: upstreams.UpstreamError) -> recovery.Decision:
        flight = self._flight
        died = self._sources.ended(error)
        cause = recovery.Cause.LOST
        if isinstance(error, (upstreams.Broken, upstreams.Silent)):
            cause = recovery.Cause.BROKEN
        resumed = isinstance(self._step, recovery.ResumeSame)
        self._same_runner = self._same_runner + 1 if resumed else 0
        self._failures += 1
        if cause is recovery.Cause.LOST and flight.runner is not None:
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
        if cause is recovery.Cause.LOST and not died:
            self._sources.check_budget(error, self._tried, self._failures)
        broke = messages.StreamBroke(
            flight, cause, self._failures, self._same_runner, self._tried
        )
        return self._sources.decided(broke)

    def _end(self, outcome: runners.Outcome, name: str) -> None:
        flight = self._flight
        flight.transcript.end(name)
        context = self._context
        whole_s = context.clock.now() - flight.arrived
        first_s = None
        if flight.first_token_at is not None:
            first_s = flight.first_token_at - flight.arrived
        self._sources.close(outcome, first_s)
        if outcome is runners.Outcome.DONE:
            context.histograms.record(
                histograms.WHOLE,
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
