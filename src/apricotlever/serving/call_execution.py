"""Runs one call: attempts until its caller has a response.

An attempt sends the call to a runner (:mod:`.runner_sending`), or to another
VM while this one reaches no runner (:mod:`.helper_sending`).
"""

import asyncio
import typing

from .. import logs

from . import attempt_outcome
from . import call_context
from . import call_state
from . import client_channel
from . import configuration_model
from . import forwarding_attempt
from . import forwarding_protocol
from . import helper_sending
from . import messages
from . import reply_writer
from . import response_sink
from . import runner_sending

#: Time left below which a failure is not retried, in seconds.
MIN_RETRY_TIME_S = 0.05
#: HTTP status of a successful response.
OK = 200
#: Beginnings of the reasons of calls that reached no runner.
UNREACHED = ("no_runner", "unreachable")

NotServed = call_state.NotServed


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
    """Runs one call by one attempt after another.

    :param context: what all calls of this VM share.
    :param service: the service whose runners may run the call.
    :param forwarded: what the VM said that has forwarded the call to this one;
        None for a call of this VM's own callers.
    """

    __slots__ = (
        "_forward_next",
        "_received",
        "_reply",
        "_sink",
        "_state",
        "_to_helpers",
        "_to_runners",
        "_unforwarded",
    )

    def __init__(
        self,
        context: call_context.CallContext,
        call: messages.CallerCall,
        route: configuration_model.Route,
        customer: configuration_model.Customer | None,
        service: str,
        reply: reply_writer.ReplyWriter,
        forwarded: forwarding_protocol.ForwardedCall | None = None,
    ) -> None:
        self._reply = reply
        self._state = call_state.CallState(
            context, call, route, customer, service, forwarded
        )
        self._sink = response_sink.ResponseSink(
            self._state,
            reply,
            (
                context.dialect.callers.forwarded_headers
                if forwarded is None
                else forwarding_protocol.response_headers
            ),
        )
        self._to_runners = runner_sending.RunnerSending(
            self._state, self._sink
        )
        self._to_helpers = helper_sending.HelperSending(
            self._state, self._sink
        )
        #: What the last attempt received, for the log.
        self._received = attempt_outcome.NO_RESPONSE
        #: Whether the next attempt is that of a helper in any case.
        self._forward_next = False
        #: The error in place of which the call was forwarded, although this VM
        #: isn't isolated; None if it was not.
        self._unforwarded: NotServed | None = None

    @property
    def may_have_run(self) -> bool:
        """Whether a runner may have run the call or may be running it."""
        return self._state.may_have_run

    @property
    def sends(self) -> int:
        """Number of runners to which the call was sent."""
        return self._state.sends

    @property
    def served(self) -> bool:
        """Whether the caller has a complete and successful response."""
        return self._sink.served

    @property
    def first_s(self) -> float | None:
        """Seconds until the response began; None if it did not."""
        return self._sink.first_s

    @property
    def end_fields(self) -> dict[str, typing.Any]:
        """Fields of the log line that says how the call ended."""
        state = self._state
        return {
            "runner": state.runner_id,
            "helper": state.helper,
            "sends": state.sends,
            "served": self._sink.served,
            "ended": state.reason or None,
            "first_s": self._sink.first_s,
            "objective_s": state.route.objective_s,
            "pause_s": self._sink.longest_pause_s or None,
            **response_fields(
                self._received, self._reply.started and state.sends > 1
            ),
        }

    def clear_suspicion(self) -> None:
        """Record that the call, which was served, crashes no runner."""
        state = self._state
        ended_with_connection = (
            self._received.body_end is client_channel.BodyEnd.CLOSED
        )
        state.context.upstreams.crashes.call_answered(
            state.call,
            state.customer,
            state.runner_id if ended_with_connection else None,
        )

    async def run(self) -> None:
        """Run the call and send its response.

        :raises NotServed: when no runner's response could be forwarded.
        """
        state = self._state
        try:
            async with asyncio.timeout_at(state.deadline):
                await self._run_attempts()
        except TimeoutError:
            state.reason = call_state.DEADLINE
            if not self._reply.started:
                raise state.not_served(call_state.DEADLINE) from None
            self._reply.abort()
        finally:
            state.reservation.release()

    async def _run_attempts(self) -> None:
        ended = False
        while not ended:
            try:
                ended = await self._run_attempt()
            except NotServed as error:
                if not self._may_forward(error):
                    raise self._more_telling(error) from None
                self._forward_next = True
                self._unforwarded = error
                self._log_retry(error.reason)

    async def _run_attempt(self) -> bool:
        """Run one attempt.

        :returns: whether the call has ended.
        """
        outcome = await self._send()
        self._received = outcome.received
        if outcome.stream_end is not None:
            self._state.reason = ""
            self._sink.end_stream(outcome.stream_end)
            return True
        if outcome.status is attempt_outcome.AttemptStatus.ANSWERED:
            if not self._state.stream_begun:
                return self._end_answered(outcome)
            # An error, or anything but events, ends no stream.
            outcome = _not_resumed(outcome)
        self._state.reason = outcome.reason
        self._check_retry(outcome)
        self._log_retry(outcome.reason)
        return False

    async def _send(self) -> attempt_outcome.AttemptOutcome:
        if self._state.needs_helper:
            return await self._to_helpers.run(helper_sending.ISOLATED)
        if self._forward_next:
            self._forward_next = False
            return await self._to_helpers.run(helper_sending.NONE_REACHED)
        return await self._to_runners.run()

    def _may_forward(self, error: NotServed) -> bool:
        """Whether a call may be forwarded instead of ending with an error.

        None of its last attempts reached a runner, though this VM doesn't know
        itself to be isolated; it may have lost its paths just now. The call
        goes to helpers, if there are any.
        """
        state = self._state
        return (
            state.forwarded is None
            and not state.needs_helper
            and self._unforwarded is None
            and error.reason.startswith(UNREACHED)
            and self._to_runners.reached_none
            and state.left_s > MIN_RETRY_TIME_S
            and state.context.helpers.exist
        )

    def _more_telling(self, error: NotServed) -> NotServed:
        """The error that ends a call: this VM's own if no helper took it."""
        own = self._unforwarded
        if own is None or not error.reason.startswith(
            forwarding_attempt.OWN_REASON
        ):
            return error
        return self._state.not_served(own.reason, own.retry_after_s)

    def _end_answered(self, outcome: attempt_outcome.AttemptOutcome) -> bool:
        """Send a whole response, unless another runner may do better.

        :returns: whether it was sent.
        """
        if self._should_retry_failure(outcome):
            return False
        assert outcome.head is not None
        self._state.reason = ""
        self._sink.send_whole(outcome.head, outcome.body)
        return True

    def _should_retry_failure(
        self, outcome: attempt_outcome.AttemptOutcome
    ) -> bool:
        """Whether to retry after a runner's error response.

        A helper has done so itself.
        """
        assert outcome.head is not None
        if outcome.helper or outcome.head.status < 500:
            return False
        return self._state.can_repeat and self._state.left_s > MIN_RETRY_TIME_S

    def _check_retry(self, outcome: attempt_outcome.AttemptOutcome) -> None:
        """Check that another attempt may follow.

        :raises NotServed: if the call must end here.
        """
        if outcome.helper:
            self._to_helpers.check_retry(outcome)
            # Runners had their turn before the first helper.
            self._forward_next = self._unforwarded is not None and (
                outcome.status is not attempt_outcome.AttemptStatus.BROKEN
                or self._state.context.helpers.replace_new_connections
            )
        elif outcome.status is attempt_outcome.AttemptStatus.BROKEN:
            if not self._state.can_repeat:
                raise self._state.not_served(outcome.reason)
        else:
            self._to_runners.count_rejection(outcome)

    def _log_retry(self, reason: str) -> None:
        state = self._state
        logs.event(
            "request_retried",
            request=state.call.request_id,
            runner=state.runner_id,
            helper=state.helper,
            reason=reason,
            sends=state.sends,
            **response_fields(self._received, state.stream_begun),
        )


def _not_resumed(
    outcome: attempt_outcome.AttemptOutcome,
) -> attempt_outcome.AttemptOutcome:
    """The outcome of a runner that answered instead of resuming a stream."""
    broken = attempt_outcome.AttemptOutcome(
        attempt_outcome.AttemptStatus.BROKEN,
        reason=f"not_resumed:{outcome.received.status}",
        received=outcome.received,
    )
    broken.helper = outcome.helper
    return broken
