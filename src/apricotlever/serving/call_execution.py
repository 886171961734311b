"""Runs one call: attempts at runners until its caller has a response."""

import asyncio
import typing

from .. import logs
from ..contracts import rejection_limit
from ..runners import silence_detector

from . import attempt_outcome
from . import call_placement
from . import client_channel
from . import configuration_model
from . import crash_watch
from . import event_splitter
from . import messages
from . import modes
from . import reply_writer
from . import runner_attempt as attempts
from . import runners

if typing.TYPE_CHECKING:
    from . import call_relay

#: A call that may be repeated waits for a runner's response to begin for this
#: multiple of the route's objective, and at least as long as a sound runner
#: may be silent if the deadline allows it, else for this many seconds or more.
FIRST_RESPONSE_OBJECTIVE_FACTOR = 2.5
MIN_FIRST_RESPONSE_TIMEOUT_S = 0.6
#: Share of the call's remaining time that the wait for the start of a response
#: must stay below, so that the rest suffices for a second runner; otherwise
#: the wait ends only at the deadline.
FIRST_ATTEMPT_SHARE = 0.7
#: Time left below which a failure is not retried, in seconds.
MIN_RETRY_TIME_S = 0.05
#: Minimum time limit that a runner is given for a call, in seconds, so that no
#: runner receives a limit of zero.
MIN_RUNNER_TIME_S = 0.001


#: HTTP status of a successful response.
OK = 200


class NotServed(Exception):
    """The call ends without a runner's response.

    :param status: 503 guarantees that the call has not run; 502 and 504
        guarantee nothing.
    :param retry_after_s: after how many seconds the caller may retry.
    """

    def __init__(
        self, status: int, reason: str, retry_after_s: float | None = None
    ) -> None:
        super().__init__(reason)
        self.status = status
        self.reason = reason
        self.retry_after_s = retry_after_s


def response_fields(
    received: attempt_outcome.ReceivedResponse, resumed: bool
) -> dict[str, typing.Any]:
    """Fields of a log line that say what is special in a response.

    They show by whose word a stream ended: a last response with an error
    status, without an event, or without a length may not hold its end.

    :param resumed: whether the attempt resumed a stream.
    """
    status, body_end = received.status, received.body_end
    return {
        "runner_status": status if status != OK else None,
        "body_end": (
            body_end.value
            if body_end is client_channel.BodyEnd.CLOSED
            else None
        ),
        "events": received.events if resumed else None,
    }


class CallExecution:
    """Runs one call by attempts at one runner after another.

    Implements :class:`.response_reader.EventSink` for its attempts.

    :param service: the service whose runners may run the call.
    """

    __slots__ = (
        "_call",
        "_usage_recorded",
        "_customer",
        "_deadline",
        "_loop",
        "_placement",
        "_received",
        "_relay",
        "_reply",
        "_route",
        "_service",
        "_splitter",
        "_tried_runners",
        "_rejections",
        "_attempt_started_at",
        "_last_event_at",
        "first_s",
        "longest_pause_s",
        "may_have_run",
        "reason",
        "runner_id",
        "sends",
        "served",
    )

    def __init__(
        self,
        relay_: "call_relay.CallRelay",
        call: messages.CallerCall,
        route: configuration_model.Route,
        customer: configuration_model.Customer | None,
        service: str,
        reply: reply_writer.ReplyWriter,
    ) -> None:
        self._relay = relay_
        self._call = call
        self._route = route
        self._customer = customer
        self._service = service
        self._reply = reply
        self._loop = asyncio.get_running_loop()
        self._placement = call_placement.CallPlacement(
            relay_.upstreams, call, route, service, customer
        )
        wait_s = route.timeout_s
        if call.caller_timeout_s is not None:
            wait_s = min(wait_s, call.caller_timeout_s)
        self._deadline = call.received_at + wait_s
        self._splitter = event_splitter.EventSplitter(call.last_event_id)
        self._tried_runners: set[str] = set()
        self._rejections = rejection_limit.RejectionLimit(
            route.objective_s,
            relay_.upstreams.part_modes.priorities is not modes.Mode.ON,
        )
        self._attempt_started_at = 0.0
        self._usage_recorded = False
        self._last_event_at: float | None = None
        #: Longest pause between two events of the stream so far, in seconds.
        self.longest_pause_s = 0.0
        #: Seconds from the first byte of the call to the start of its
        #: response; None before.
        self.first_s: float | None = None
        #: Whether a runner may have run the call or may be running it.
        self.may_have_run = False
        #: Why no runner's response was delivered; "" if one was.
        self.reason = ""
        #: What the last attempt received, for the log.
        self._received = attempt_outcome.NO_RESPONSE
        self.runner_id: str | None = None
        #: Number of runners to which the call was sent.
        self.sends = 0
        self.served = False

    @property
    def splitter(self) -> event_splitter.EventSplitter:
        """Checks the order of the events, over all attempts."""
        return self._splitter

    @property
    def end_fields(self) -> dict[str, typing.Any]:
        """Fields of the log line that says how the call ended."""
        return response_fields(
            self._received, self._reply.started and self.sends > 1
        )

    async def run(self) -> None:
        """Run the call and send its response.

        :raises NotServed: when no runner's response could be forwarded.
        """
        self._relay.budget.record_request(self._service)
        try:
            async with asyncio.timeout_at(self._deadline):
                await self._run_attempts()
        except TimeoutError:
            self.reason = "deadline"
            if self._reply.started:
                self._reply.abort()
            elif self.may_have_run:
                raise NotServed(504, "deadline") from None
            else:
                raise NotServed(
                    503, "deadline", self._placement.retry_after_s()
                ) from None

    async def _run_attempts(self) -> None:
        while True:
            outcome = await self._run_attempt()
            self._received = outcome.received
            if outcome.stream_end is not None:
                self._end_stream(outcome.stream_end)
                return
            if outcome.status is attempt_outcome.AttemptStatus.ANSWERED:
                if self._reply.started:
                    # An error, or anything but events, ends no stream.
                    outcome = _not_resumed(outcome)
                elif self._should_retry_failure(outcome):
                    continue
                else:
                    self._send_response(outcome)
                    return
            self.reason = outcome.reason
            self._check_retry(outcome)
            logs.event(
                "request_retried",
                request=self._call.request_id,
                runner=self.runner_id,
                reason=outcome.reason,
                sends=self.sends,
                **response_fields(outcome.received, self._reply.started),
            )

    async def _run_attempt(self) -> attempt_outcome.AttemptOutcome:
        self._check_crash_blocklist(self._relay.upstreams.crashes)
        placement = await self._place()
        sends_before = self.sends
        try:
            return await self._run_placed(placement)
        finally:
            if self.sends == sends_before:
                self._placement.refund(placement)
            self._placement.end(placement)

    async def _run_placed(
        self, placement: call_placement.Placement
    ) -> attempt_outcome.AttemptOutcome:
        """Send the call to the runner that was found for it."""
        upstreams = self._relay.upstreams
        runner, query = placement.runner, placement.query
        self._check_time(placement)
        self.runner_id = runner.runner_id
        self._tried_runners.add(runner.runner_id)
        parameters = self._runner_call_parameters(
            placement, upstreams.fetch_source(query, runner)
        )
        self._placement.log_chosen(placement, parameters, self.sends + 1)
        attempt = attempts.Attempt(
            f"{self._call.request_id}.{self._relay.next_attempt_number()}",
            self._call,
            parameters,
            runner,
            query,
            upstreams,
            self._relay.dialect.upstreams,
            (
                self
                if self._route.kind is configuration_model.CallKind.STREAM
                else None
            ),
        )
        self._attempt_started_at = self._loop.time()
        connected = await attempt.connect(self._deadline - self._loop.time())
        if not isinstance(connected, client_channel.Channel):
            placement.rejected = connected.unreachable
            return connected
        outcome = await self._send(attempt, connected, runner)
        placement.rejected = (
            outcome.status is attempt_outcome.AttemptStatus.NOT_RUN
        )
        return outcome

    async def _place(self) -> call_placement.Placement:
        try:
            return await self._placement.place(
                frozenset(self._tried_runners),
                self._deadline - self._loop.time(),
            )
        except call_placement.NoPlace as error:
            raise self._not_served(error.reason) from error

    def _check_time(self, placement: call_placement.Placement) -> None:
        """Refuse a call that would begin too late at any runner.

        :raises NotServed: when it is refused.
        """
        if self.may_have_run:
            return
        wait_s = self._relay.upstreams.start_times.retry_after_s(
            self._call.request_id,
            placement.query,
            placement.runner,
            self._deadline - self._loop.time(),
        )
        if wait_s is not None:
            self.reason = "no_time"
            raise NotServed(503, "no_time", wait_s)

    async def _send(
        self,
        attempt: attempts.Attempt,
        channel: client_channel.Channel,
        runner: runners.Runner,
    ) -> attempt_outcome.AttemptOutcome:
        if not self._relay.upstreams.statements.takes_calls(runner.runner_id):
            # The runner has said so while the connection was opened.
            self._relay.upstreams.pool(runner).release(channel, False, None)
            return attempt_outcome.AttemptOutcome(
                attempt_outcome.AttemptStatus.NOT_SENT, reason="takes_no_calls"
            )
        if self.sends and not self._relay.budget.try_acquire(self._service):
            self._relay.upstreams.pool(runner).discard(channel)
            raise self._not_served("retry_budget")
        self.sends += 1
        ran_before, self.may_have_run = self.may_have_run, True
        self._splitter.discard_partial()
        outcome = await attempt.run(channel, self._first_response_timeout_s())
        if outcome.status is attempt_outcome.AttemptStatus.NOT_RUN:
            self.may_have_run = ran_before
        elif outcome.began_to_run:
            self.mark_started()
        if outcome.reset:
            upstreams = self._relay.upstreams
            upstreams.crashes.connection_broken(
                runner, self._call, self._customer
            )
            # Awaited here so that a crash is recorded before the caller learns
            # of the failure and retries the call.
            await upstreams.check_runner_crash(runner)
        return outcome

    def _check_crash_blocklist(self, crashes: crash_watch.CrashWatch) -> None:
        """Refuse a call that matches calls which crashed their runners.

        This check runs before each attempt, because a failed connection may
        just have shown that the runner of an earlier attempt crashed.

        :raises NotServed: when the call is blocked.
        """
        wait_s = crashes.retry_after_s(self._call, self._customer)
        if wait_s is None:
            return
        error = self._not_served("crashes_runners")
        if error.retry_after_s is not None:
            error.retry_after_s = wait_s
        raise error

    def _runner_call_parameters(
        self, placement: call_placement.Placement, copy_from: str | None
    ) -> messages.RunnerCallParameters:
        level = placement.level
        left_s = (
            self._deadline - self._loop.time() - attempts.RESPONSE_MARGIN_S
        )
        return messages.RunnerCallParameters(
            placement.runner.name,
            self._customer.name if self._customer else None,
            max(MIN_RUNNER_TIME_S, left_s),
            level.level if level is not None else None,
            self._splitter.last_id,
            copy_from,
        )

    def _first_response_timeout_s(self) -> float | None:
        """How long to wait for the response to begin, in seconds.

        Only this timeout detects a runner that hangs or a silently dropped
        connection before the deadline. It is None if the call must not be
        repeated, or if too little time would be left for another runner. A
        sound runner that is silent for a second runs the call all the same,
        so it is waited for where another one could still answer afterwards.
        """
        if not self._can_repeat():
            return None
        left_s = self._deadline - self._loop.time()
        objective_wait_s = (
            FIRST_RESPONSE_OBJECTIVE_FACTOR * self._route.objective_s
        )
        wait_s = max(MIN_FIRST_RESPONSE_TIMEOUT_S, objective_wait_s)
        limit_s = FIRST_ATTEMPT_SHARE * left_s
        if wait_s >= limit_s:
            return None
        return max(wait_s, min(silence_detector.MAX_SOUND_SILENCE_S, limit_s))

    def _can_repeat(self) -> bool:
        return (
            self._route.is_repeatable
            and self.sends < self._route.max_attempts
            and self._relay.budget.remaining(self._service) >= 1.0
        )

    def _should_retry_failure(
        self, outcome: attempt_outcome.AttemptOutcome
    ) -> bool:
        """Whether to retry after a runner's error response."""
        assert outcome.head is not None
        if outcome.head.status < 500:
            return False
        if not self._can_repeat():
            return False
        return self._deadline - self._loop.time() > MIN_RETRY_TIME_S

    def _check_retry(self, outcome: attempt_outcome.AttemptOutcome) -> None:
        """Check that another runner may be tried.

        :raises NotServed: if the call must end here.
        """
        if outcome.status is attempt_outcome.AttemptStatus.BROKEN:
            if self._can_repeat():
                return
            raise self._not_served(outcome.reason)
        if outcome.unreachable:
            self._rejections.unreachable(
                self._attempt_started_at, self._loop.time()
            )
        elif not outcome.asks_for_rest:
            # A runner that rests gets no further call of this VM for a while,
            # so it doesn't show that the service has no room.
            self._rejections.rejected()
        if self._rejections.exhausted:
            raise self._not_served(outcome.reason)

    def _not_served(self, reason: str) -> NotServed:
        self.reason = reason
        if self.may_have_run:
            return NotServed(502, reason)
        return NotServed(503, reason, self._placement.retry_after_s())

    def _send_response(self, outcome: attempt_outcome.AttemptOutcome) -> None:
        """Send a runner's whole response."""
        assert outcome.head is not None
        self.reason = ""
        self._send_whole(outcome.head, outcome.body)

    def _end_stream(self, end: attempt_outcome.StreamEnd) -> None:
        """End the stream; one without any event is sent as a whole."""
        self.reason = ""
        if self._reply.started:
            self._reply.finish(end)
            self.served = True
            return
        self._send_whole(end.head, b"")

    def _send_whole(
        self, head: messages.RunnerResponseHead, body: bytes
    ) -> None:
        headers = self._relay.dialect.callers.forwarded_headers(head)
        self._reply.send_whole(head.status, headers, body)
        self.served = head.is_success

    # Methods of response_reader.EventSink.

    def write_events(
        self, head: messages.RunnerResponseHead, data: bytes, count: int
    ) -> bool:
        """Write complete events to the caller.

        :returns: False when the write buffer is above its limit.
        """
        self.mark_started()
        self._update_longest_pause()
        if not self._reply.started:
            headers = self._relay.dialect.callers.forwarded_headers(head)
            self._reply.start_stream(head.status, headers)
        return self._reply.send_chunk(data)

    def _update_longest_pause(self) -> None:
        now = self._loop.time()
        if self._last_event_at is not None:
            pause_s = now - self._last_event_at
            self.longest_pause_s = max(self.longest_pause_s, pause_s)
        self._last_event_at = now

    async def drain(self) -> None:
        """Wait until the caller's write buffer is below its limit."""
        await self._reply.drain()

    def mark_started(self) -> None:
        """Record that a runner runs the call; usage counts each call once."""
        if self.first_s is None:
            self.first_s = self._loop.time() - self._call.received_at
        if not self._usage_recorded and self._customer is not None:
            self._usage_recorded = True
            self._relay.usage.record_call(self._customer.name)


def _not_resumed(
    outcome: attempt_outcome.AttemptOutcome,
) -> attempt_outcome.AttemptOutcome:
    """The outcome of a runner that answered instead of resuming a stream."""
    return attempt_outcome.AttemptOutcome(
        attempt_outcome.AttemptStatus.BROKEN,
        reason=f"not_resumed:{outcome.received.status}",
        received=outcome.received,
    )
