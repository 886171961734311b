"""Forwards one call to helpers, other VMs that run it for this one."""

from .. import logs

from . import attempt_outcome
from . import call_state
from . import client_channel
from . import configuration_model
from . import forwarding_attempt as attempts
from . import forwarding_protocol
from . import response_sink

#: Number of helpers to which a call is forwarded at most.
MAX_HELPERS = 2
#: Seconds deducted from a helper's time limit, so that its word that the time
#: is over, and whether the call has run, comes before this VM's own deadline.
RESPONSE_MARGIN_S = 0.03
#: A helper may try a second runner after the first one has hung. So its
#: response may begin later than a runner's by this factor.
FIRST_RESPONSE_FACTOR = 2.2
#: ``Retry-After`` of a call for which there is no helper, in seconds.
NO_HELPER_RETRY_AFTER_S = 0.5
#: The reason why a call is refused for which there is no helper.
NO_HELPER = "isolated"
#: Why a call is forwarded, for the log: this VM reaches no runner, or it is
#: only the call that has reached none.
ISOLATED = "isolated"
NONE_REACHED = "none_reached"


class HelperSending:
    """Forwards one call to helpers, one after another.

    :param sink: receives the events of a stream.
    """

    __slots__ = (
        "_helpers",
        "_last_refusal",
        "_sink",
        "_state",
        "_tried",
    )

    def __init__(
        self, state: call_state.CallState, sink: response_sink.ResponseSink
    ) -> None:
        self._state = state
        self._sink = sink
        self._helpers = state.context.helpers
        self._tried: set[str] = set()
        #: What the last helper said that did not run the call.
        self._last_refusal: attempt_outcome.AttemptOutcome | None = None

    async def run(self, cause: str) -> attempt_outcome.AttemptOutcome:
        """Forward the call to one helper and read the response.

        :param cause: why it is forwarded, for the log.
        :raises call_state.NotServed: if there is no helper for it.
        """
        state = self._state
        helper = None
        if len(self._tried) < MAX_HELPERS:
            helper = self._helpers.choice.choose(self._tried)
        if helper is None:
            raise self._not_served()
        self._tried.add(helper.vm)
        state.helper, state.runner_id = helper.vm, None
        logs.event(
            "request_forwarded",
            request=state.call.request_id,
            helper=helper.vm,
            data_centre=helper.data_centre,
            cause=cause,
            attempt=state.sends + 1,
            left_s=state.left_s,
        )
        attempt = attempts.ForwardingAttempt(
            self._helpers,
            helper,
            state.call,
            state.context.dialect.upstreams,
            (
                self._sink
                if state.route.kind is configuration_model.CallKind.STREAM
                else None
            ),
            state.reservation,
        )
        connected = await attempt.connect(state.left_s)
        if not isinstance(connected, client_channel.Channel):
            self._last_refusal = connected
            return connected
        return await self._send(attempt, connected)

    def check_retry(self, outcome: attempt_outcome.AttemptOutcome) -> None:
        """Check that another attempt may follow one at a helper.

        :raises call_state.NotServed: if the call must end here.
        """
        if outcome.status is attempt_outcome.AttemptStatus.BROKEN:
            if not self._state.can_repeat:
                raise self._state.not_served(outcome.reason)
        elif not attempts.may_differ_elsewhere(outcome):
            raise self._not_served()

    async def _send(
        self,
        attempt: attempts.ForwardingAttempt,
        channel: client_channel.Channel,
    ) -> attempt_outcome.AttemptOutcome:
        state = self._state
        forwarded = self._forwarded_call()
        state.sends += 1
        ran_before, state.may_have_run = state.may_have_run, True
        state.splitter.discard_partial()
        outcome = await attempt.run(
            channel,
            forwarded,
            state.first_response_timeout_s(FIRST_RESPONSE_FACTOR),
        )
        if attempt.refusal is not None:
            # The runners that the helper tried count, not the helper.
            state.sends = max(forwarded.sends, attempt.refusal.sends)
        if outcome.status is attempt_outcome.AttemptStatus.NOT_RUN:
            state.may_have_run = ran_before
            state.is_counted |= attempt.counted_elsewhere
            self._last_refusal = outcome
            return outcome
        state.is_counted = True
        if outcome.began_to_run:
            self._sink.mark_started()
        return outcome

    def _forwarded_call(self) -> forwarding_protocol.ForwardedCall:
        state = self._state
        call = state.call
        left_s = max(0.0, state.left_s - RESPONSE_MARGIN_S)
        return forwarding_protocol.ForwardedCall(
            call.request_id,
            call.method,
            call.target,
            call.host,
            forwarding_protocol.headers_without_key(call.headers, call.key),
            call.body,
            forwarding_protocol.encode_prompt(call.prompt),
            state.customer.name if state.customer else None,
            state.route.name,
            state.route.kind.value,
            state.service,
            int(1000.0 * left_s),
            state.splitter.last_id,
            state.sends,
            state.stream_begun,
            state.is_counted,
            self._sink.usage_counted,
            call.stream_id,
            (
                (state.origin.service, state.origin.version)
                if state.origin
                else None
            ),
        )

    def _not_served(self) -> call_state.NotServed:
        refusal = self._last_refusal
        if refusal is None:
            return self._state.not_served(NO_HELPER, NO_HELPER_RETRY_AFTER_S)
        return self._state.not_served(
            refusal.reason, refusal.retry_after_s or NO_HELPER_RETRY_AFTER_S
        )
