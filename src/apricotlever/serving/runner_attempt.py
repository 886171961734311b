"""One attempt: sends a call to one runner and reads the response."""

import asyncio
import contextlib
import functools
import typing

from ..runners import model as models

from . import attempt_outcome
from . import client_channel
from . import connection_pool as pools
from . import dialects
from . import event_splitter
from . import messages
from . import reply_writer
from . import runners
from . import upstreams

#: Maximum size of a response body that is buffered and then forwarded in one
#: piece, in bytes.
MAX_BODY_BYTES = 16 * 1024 * 1024
#: Seconds deducted from a runner's time limit for the response's transfer.
RESPONSE_MARGIN_S = 0.01
#: A cancelled call without any response counts as a failure of the runner if
#: it had waited for more than this multiple of its objective.
HANG_OBJECTIVE_FACTOR = 2.0
#: Timeout for opening a connection to a runner, in seconds. Opening a
#: connection takes a few milliseconds. After a lost first packet, or to an
#: unreachable runner, opening it takes a second or more, in which another
#: runner could have answered.
CONNECT_TIMEOUT_S = 0.35


class EventSink(typing.Protocol):
    """Receives the events of a stream."""

    @property
    def splitter(self) -> event_splitter.EventSplitter:
        """Checks the order of the events across all attempts."""

    def write_events(
        self, head: messages.RunnerResponseHead, data: bytes, count: int
    ) -> bool:
        """Write complete events to the caller.

        :param count: the number of events in ``data``.
        :returns: False when the write buffer is above its limit.
        """

    async def drain(self) -> None:
        """Wait until the caller's write buffer is below its limit."""

    def mark_started(self) -> None:
        """Record that a runner runs the call."""


class Attempt:
    """Sends a call to a runner and reads the response.

    :param attempt_id: unique among this VM's attempts.
    :param parameters: values that the runner receives with the call.
    :param sink: receives the events of a stream; None if the response is not
        a stream.
    """

    __slots__ = (
        "_dialect",
        "_parameters",
        "_call",
        "_caller_is_slow",
        "_event_count",
        "_failure",
        "_first_event_id",
        "_head",
        "_attempt_id",
        "_pool",
        "_query",
        "_runner",
        "_sent_at",
        "_sink",
        "_upstreams",
    )

    def __init__(
        self,
        attempt_id: str,
        call: messages.CallerCall,
        parameters: messages.RunnerCallParameters,
        runner: runners.Runner,
        query: models.Query,
        upstreams_: upstreams.Upstreams,
        dialect: dialects.RunnerDialect,
        sink: EventSink | None,
    ) -> None:
        self._attempt_id = attempt_id
        self._call = call
        self._parameters = parameters
        self._runner = runner
        self._query = query
        self._upstreams = upstreams_
        self._dialect = dialect
        self._sink = sink
        self._pool = upstreams_.pool(runner)
        self._head: messages.RunnerResponseHead | None = None
        #: When the call was sent, by the clock of the upstreams.
        self._sent_at = 0.0
        #: Id of the last event that came with the first one.
        self._first_event_id: int | None = None
        #: Whether the caller took events more slowly than they came, so that
        #: their pace may be the caller's.
        self._caller_is_slow = False
        #: Number of complete events that this attempt forwarded.
        self._event_count = 0
        #: Exception raised in the body callback, to be raised in the task.
        self._failure: Exception | None = None

    async def connect(
        self, timeout_s: float
    ) -> client_channel.Channel | attempt_outcome.AttemptOutcome:
        """Open a connection, or return the outcome if that fails."""
        try:
            return await self._pool.acquire(min(CONNECT_TIMEOUT_S, timeout_s))
        except pools.PoolFull:
            return attempt_outcome.AttemptOutcome(
                attempt_outcome.AttemptStatus.NOT_SENT,
                reason="connections_used_up",
            )
        except client_channel.NotConnected as error:
            self._upstreams.connect_failed(self._runner, error.refused)
            return attempt_outcome.AttemptOutcome(
                attempt_outcome.AttemptStatus.NOT_SENT,
                reason=f"unreachable:{error}",
                unreachable=True,
            )

    async def run(
        self,
        channel: client_channel.Channel,
        first_response_timeout_s: float | None,
    ) -> attempt_outcome.AttemptOutcome:
        """Send the call and read the response.

        :param first_response_timeout_s: how long the response may take to
            begin, in seconds; None for no limit.
        """
        result = models.Outcome.CANCELLED
        outlier_failure = reusable = shows_speed = False
        started_at = asyncio.get_running_loop().time()
        self._sent_at = self._upstreams.call_started(
            self._attempt_id,
            self._runner,
            self._query,
            self._parameters.customer,
            self._shows_speed_of_runner(),
        )
        try:
            channel.send(
                self._dialect.encode_request(self._call, self._parameters),
                self._is_own_response,
            )
            outcome = await self._read_response(
                channel, first_response_timeout_s
            )
            result = _health_outcome(outcome)
            # A runner that asks this VM for rest is no outlier among others.
            outlier_failure = (
                outcome.status is attempt_outcome.AttemptStatus.NOT_RUN
                and not outcome.asks_for_rest
            )
            reusable = channel.idle
            shows_speed = outcome.stream_end is not None or (
                outcome.head is not None and outcome.head.is_success
            )
        except client_channel.Broken as error:
            result = models.Outcome.FAILED
            outcome = attempt_outcome.AttemptOutcome(
                attempt_outcome.AttemptStatus.BROKEN,
                reason=f"broken:{error}",
                reset=error.reset,
            )
        except event_splitter.EventOrderError as error:
            result = models.Outcome.FAILED
            outcome = attempt_outcome.AttemptOutcome(
                attempt_outcome.AttemptStatus.BROKEN,
                reason=f"disorder:{error}",
            )
        except asyncio.CancelledError:
            outlier_failure = self._is_hung(started_at)
            raise
        finally:
            self._upstreams.call_finished(
                self._attempt_id,
                self._runner,
                result,
                outlier_failure=outlier_failure,
                events=self._later_events(),
                shows_speed=shows_speed,
            )
            self._return_channel(channel, reusable)
        outcome.received = self._received(channel)
        return outcome

    def _received(
        self, channel: client_channel.Channel
    ) -> attempt_outcome.ReceivedResponse:
        return attempt_outcome.ReceivedResponse(
            self._head.status if self._head is not None else None,
            channel.body_end,
            self._event_count,
        )

    def _shows_speed_of_runner(self) -> bool:
        """Whether the times of the call depend on the runner alone.

        Those of a copied prefix depend on another runner, too. A stream that
        is resumed computes tokens again before its first event.
        """
        parameters = self._parameters
        return parameters.copy_from is None and parameters.resume_after is None

    def _later_events(self) -> int:
        """The events after the first one; 0 if their pace is the caller's."""
        if self._first_event_id is None or self._caller_is_slow:
            return 0
        assert self._sink is not None
        return (self._sink.splitter.last_id or 0) - self._first_event_id

    def _is_hung(self, started_at: float) -> bool:
        """Whether a cancelled call counts as a hang of the runner.

        A runner that hangs on some calls never breaks a connection. Without
        this check it would count as healthy indefinitely.
        """
        waited_s = asyncio.get_running_loop().time() - started_at
        objective_s = self._query.wanted_first_token_s
        return (
            self._head is None
            and waited_s > HANG_OBJECTIVE_FACTOR * objective_s
        )

    def _return_channel(
        self, channel: client_channel.Channel, reusable: bool
    ) -> None:
        # The pool that the connection came from is used, as the runner may
        # have a new address and pool by now.
        head = self._head
        if reusable and head is not None:
            self._pool.release(channel, head.closing, head.keep_alive_s)
        else:
            self._pool.discard(channel)

    def _is_own_response(self, status: int, headers: messages.Headers) -> bool:
        """Whether a response answers this call and not an earlier one."""
        head = self._dialect.parse_response_head(status, headers)
        return head.request_id in ("", self._call.request_id)

    async def _read_response(
        self,
        channel: client_channel.Channel,
        first_response_timeout_s: float | None,
    ) -> attempt_outcome.AttemptOutcome:
        try:
            async with asyncio.timeout(first_response_timeout_s):
                raw = await channel.read_head()
                self._upstreams.bytes_received(self._runner)
                head = self._dialect.parse_response_head(
                    raw.status, raw.headers
                )
                self._head = head
                self._record_statement(head)
                if self._is_stream(head):
                    expect_more = await self._forward_first_event(
                        channel, head
                    )
        except TimeoutError:
            return attempt_outcome.AttemptOutcome(
                attempt_outcome.AttemptStatus.BROKEN,
                reason="no_answer_in_time",
            )
        if head.other_runner or head.not_run:
            # The head alone guarantees that the call has not run, even if
            # the body is lost.
            with contextlib.suppress(client_channel.Broken):
                await _read_body(channel)
            if head.other_runner:
                self._upstreams.runner_replaced(self._runner)
            return attempt_outcome.AttemptOutcome(
                attempt_outcome.AttemptStatus.NOT_RUN,
                reason="replaced" if head.other_runner else "turned_away",
                asks_for_rest=bool(head.statement.rest_s),
            )
        if not head.signed:
            return attempt_outcome.AttemptOutcome(
                attempt_outcome.AttemptStatus.BROKEN, reason="unsigned"
            )
        if self._is_stream(head):
            return await self._forward_stream(channel, head, expect_more)
        self._upstreams.response_started(self._attempt_id)
        body = await _read_body(channel)
        await self._check_end(channel)
        return attempt_outcome.AttemptOutcome(
            attempt_outcome.AttemptStatus.ANSWERED, head, body
        )

    async def _check_end(self, channel: client_channel.Channel) -> None:
        """Check that the end of the response was not that of its runner.

        A body without length ends with its connection, which the end of the
        runner's process closes, too.

        :raises client_channel.Broken: if the runner may have ended.
        """
        if channel.body_end is not client_channel.BodyEnd.CLOSED:
            return
        if await self._upstreams.may_have_ended(self._runner):
            raise client_channel.Broken("ended with its runner", reset=True)

    def _record_statement(self, head: messages.RunnerResponseHead) -> None:
        """Record what the runner says of itself, if it is the runner's word.

        Another runner may use the address now, and an unsigned head may come
        from something else on the way.
        """
        if head.other_runner or not (head.signed or head.not_run):
            return
        self._upstreams.statements.record_response(
            self._runner, head.statement, self._sent_at
        )

    def _is_stream(self, head: messages.RunnerResponseHead) -> bool:
        return (
            self._sink is not None
            and head.is_success
            and head.signed
            and not head.not_run
        )

    async def _forward_first_event(
        self,
        channel: client_channel.Channel,
        head: messages.RunnerResponseHead,
    ) -> bool:
        """Forward the first complete events.

        :returns: False if the stream ended without a complete event.
        """
        assert self._sink is not None
        while (data := await channel.read_chunk()) is not None:
            before = self._sink.splitter.last_id
            self._forward(head, data)
            if self._sink.splitter.last_id != before:
                self._first_event_id = self._sink.splitter.last_id
                self._upstreams.first_event_received(self._attempt_id)
                return True
        return False

    async def _forward_stream(
        self,
        channel: client_channel.Channel,
        head: messages.RunnerResponseHead,
        expect_more: bool,
    ) -> attempt_outcome.AttemptOutcome:
        assert self._sink is not None
        while expect_more and (data := await channel.read_chunk()) is not None:
            if self._failure is not None:
                raise self._failure
            self._forward(head, data + channel.read_buffered())
            await self._sink.drain()
            channel.set_body_callback(
                functools.partial(self._on_body_bytes, head)
            )
        if self._sink.splitter.has_partial_event:
            return attempt_outcome.AttemptOutcome(
                attempt_outcome.AttemptStatus.BROKEN,
                reason="ends_within_an_event",
            )
        if not self._event_count and (
            channel.body_end is client_channel.BodyEnd.CLOSED
        ):
            # Neither a length nor an event: nothing says that this is all.
            raise client_channel.Broken("ended without an event", reset=True)
        await self._check_end(channel)
        return attempt_outcome.AttemptOutcome(
            attempt_outcome.AttemptStatus.STREAM_ENDED,
            stream_end=attempt_outcome.StreamEnd(head),
        )

    def _on_body_bytes(
        self, head: messages.RunnerResponseHead, data: bytes
    ) -> bool:
        """Forward bytes as they arrive.

        :returns: False when the task has to go on reading instead.
        """
        try:
            return self._forward(head, data)
        except (
            event_splitter.EventOrderError,
            reply_writer.CallerGone,
        ) as error:
            # This method runs as a callback of the connection, so the error
            # is kept and raised again in the task.
            self._failure = error
            return False

    def _forward(self, head: messages.RunnerResponseHead, data: bytes) -> bool:
        assert self._sink is not None
        self._upstreams.bytes_received(self._runner)
        events, count = self._sink.splitter.feed(data)
        self._event_count += count
        taken = not count or self._sink.write_events(head, events, count)
        self._caller_is_slow |= not taken
        return taken


async def _read_body(channel: client_channel.Channel) -> bytes:
    parts: list[bytes] = []
    size = 0
    while (data := await channel.read_chunk()) is not None:
        parts.append(data)
        size += len(data)
        if size > MAX_BODY_BYTES:
            raise client_channel.Broken("the response body is too large")
    return b"".join(parts)


def _health_outcome(outcome: attempt_outcome.AttemptOutcome) -> models.Outcome:
    """The outcome as recorded for the runner's health."""
    if outcome.status is attempt_outcome.AttemptStatus.NOT_RUN:
        return models.Outcome.CANCELLED
    if outcome.status is attempt_outcome.AttemptStatus.BROKEN:
        return models.Outcome.FAILED
    if outcome.head is not None and outcome.head.status >= 500:
        return models.Outcome.FAILED
    return models.Outcome.DONE
