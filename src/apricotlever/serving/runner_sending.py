"""Sends one call to runners, one attempt at a time."""

import asyncio

from .. import logs
from ..contracts import rejection_limit
from ..runners import model as models

from . import attempt_outcome
from . import call_placement
from . import call_state
from . import client_channel
from . import configuration_model
from . import messages
from . import modes
from . import response_sink
from . import runner_attempt as attempts
from . import runners
from . import stream_origins

#: Minimum time limit that a runner is given for a call, in seconds, so that no
#: runner receives a limit of zero.
MIN_RUNNER_TIME_S = 0.001
#: The reason why no connection is opened, as this VM knows that it would fail.
NO_NEW_CONNECTIONS = "unreachable:no_new_connections"
#: The reason why a call is refused that would crash its runner.
CRASHES_RUNNERS = "crashes_runners"
#: The reason why a resumed stream is refused whose beginning nobody knows, and
#: when its caller may return, in seconds: a VM that knows may have been busy.
STREAM_UNKNOWN = "stream_unknown"
UNKNOWN_RETRY_AFTER_S = 0.3


class RunnerSending:
    """Places one call at runners, and sends it there.

    :param sink: receives the events of a stream.
    """

    __slots__ = (
        "_loop",
        "_only_unreachable",
        "_rejections",
        "_sink",
        "_started_at",
        "_state",
        "_tried",
    )

    def __init__(
        self, state: call_state.CallState, sink: response_sink.ResponseSink
    ) -> None:
        self._state = state
        self._sink = sink
        self._loop = asyncio.get_running_loop()
        self._tried: set[str] = set()
        self._rejections = rejection_limit.RejectionLimit(
            state.route.objective_s,
            state.context.upstreams.part_modes.priorities is not modes.Mode.ON,
        )
        self._only_unreachable = False
        #: When the last attempt began, on the event loop's clock.
        self._started_at = 0.0

    @property
    def reached_none(self) -> bool:
        """Whether the call may only lack paths from this VM to runners.

        Then no runner could be connected to of those tried since the last one
        that could be. Or runners are left that this VM takes for unhealthy,
        while it may have lost its paths.
        """
        if self._only_unreachable:
            return True
        if not self._state.context.helpers.may_be_needed:
            return False
        return self._state.placement.has_untried(self._tried)

    async def run(self) -> attempt_outcome.AttemptOutcome:
        """Send the call to one runner and read the response.

        :raises call_state.NotServed: if it can't be sent.
        """
        state = self._state
        if not state.is_counted:
            state.is_counted = True
            state.context.budget.record_request(state.service)
        self._check_crash_blocklist()
        await self._find_origin()
        placement = await self._place()
        sends_before = state.sends
        try:
            return await self._run_placed(placement)
        finally:
            if state.sends == sends_before:
                state.placement.refund(placement)
            state.placement.end(placement)

    def count_rejection(self, outcome: attempt_outcome.AttemptOutcome) -> None:
        """Count a runner that did not run the call.

        :raises call_state.NotServed: when too many did not.
        """
        self._only_unreachable = outcome.unreachable
        if outcome.unreachable:
            self._rejections.unreachable(self._started_at, self._loop.time())
        elif not outcome.asks_for_rest:
            # A runner that rests gets no further call of this VM for a while,
            # so it doesn't show that the service has no room.
            self._rejections.rejected()
        if self._rejections.exhausted or outcome.reason == NO_NEW_CONNECTIONS:
            raise self._state.not_served(outcome.reason)

    async def _run_placed(
        self, placement: call_placement.Placement
    ) -> attempt_outcome.AttemptOutcome:
        """Send the call to the runner that was found for it."""
        state = self._state
        upstreams = state.context.upstreams
        runner, query = placement.runner, placement.query
        self._check_time(placement)
        state.runner_id, state.helper = runner.runner_id, None
        self._tried.add(runner.runner_id)
        parameters = self._runner_call_parameters(
            placement, upstreams.fetch_source(query, runner)
        )
        state.placement.log_chosen(placement, parameters, state.sends + 1)
        attempt = attempts.Attempt(
            f"{state.call.request_id}.{state.context.next_attempt_number()}",
            state.call,
            parameters,
            runner,
            query,
            upstreams,
            state.context.dialect.upstreams,
            (
                self._sink
                if state.route.kind is configuration_model.CallKind.STREAM
                else None
            ),
            state.reservation,
        )
        self._started_at = self._loop.time()
        connected = await self._connect(attempt, runner)
        if not isinstance(connected, client_channel.Channel):
            if connected.unreachable:
                state.context.helpers.connection_failed()
            placement.rejected = connected.unreachable
            return connected
        outcome = await self._send(attempt, connected, runner)
        placement.rejected = (
            outcome.status is attempt_outcome.AttemptStatus.NOT_RUN
        )
        placement.lacked_room = outcome.turned_away
        return outcome

    async def _connect(
        self, attempt: attempts.Attempt, runner: runners.Runner
    ) -> client_channel.Channel | attempt_outcome.AttemptOutcome:
        """Take or open a connection, or return the outcome if that fails."""
        context = self._state.context
        if (
            self._state.forwarded is None
            and context.helpers.replace_new_connections
            and not context.upstreams.pool(runner).has_idle
        ):
            # Opening one would only cost time.
            return attempt_outcome.AttemptOutcome(
                attempt_outcome.AttemptStatus.NOT_SENT,
                reason=NO_NEW_CONNECTIONS,
                unreachable=True,
            )
        return await attempt.connect(self._state.left_s)

    async def _find_origin(self) -> None:
        """Find where the stream began that the caller resumes.

        :raises call_state.NotServed: if that is unknown. What runners of two
            versions write doesn't fit together.
        """
        state = self._state
        if state.origin is not None or state.call.last_event_id is None:
            return
        finding = await state.context.upstreams.origins.find(
            stream_origins.key_of(state.call, state.customer),
            [service for service, _ in state.route.targets],
            stream_origins.lifetime_s(state.route),
        )
        origin = finding.origin
        logs.event(
            "stream_resumed" if origin is not None else "stream_unknown",
            request=state.call.request_id,
            resumes=state.call.resumes or None,
            resume_after=state.call.last_event_id,
            service=origin.service if origin is not None else None,
            version=origin.version if origin is not None else None,
            source=finding.source.value,
            age_s=finding.age_s,
            seen=_versions(finding.seen),
            answers=finding.answers,
            vouched=finding.vouched or None,
            unconfirmed_s=finding.unconfirmed_s,
        )
        if origin is None or not state.may_continue_at(origin):
            raise state.not_served(STREAM_UNKNOWN, UNKNOWN_RETRY_AFTER_S)
        state.continue_at(origin)

    async def _place(self) -> call_placement.Placement:
        state = self._state
        try:
            return await state.placement.place(
                frozenset(self._tried), state.left_s
            )
        except call_placement.NoPlace as error:
            raise state.not_served(error.reason) from error

    def _check_time(self, placement: call_placement.Placement) -> None:
        """Refuse a call that would begin too late at any runner.

        :raises call_state.NotServed: when it is refused.
        """
        state = self._state
        if state.may_have_run or state.stream_begun:
            return
        wait_s = state.context.upstreams.start_times.retry_after_s(
            state.call.request_id,
            placement.query,
            placement.runner,
            state.left_s,
        )
        if wait_s is not None:
            raise state.not_served("no_time", wait_s)

    async def _send(
        self,
        attempt: attempts.Attempt,
        channel: client_channel.Channel,
        runner: runners.Runner,
    ) -> attempt_outcome.AttemptOutcome:
        state = self._state
        upstreams = state.context.upstreams
        if not upstreams.statements.takes_calls(runner.runner_id):
            # The runner has said so while the connection was opened.
            upstreams.pool(runner).release(channel, False, None)
            return attempt_outcome.AttemptOutcome(
                attempt_outcome.AttemptStatus.NOT_SENT, reason="takes_no_calls"
            )
        wait_s = upstreams.crashes.retry_after_s(state.call, state.customer)
        if wait_s is not None:
            # News of a crash came while the call waited for its runner.
            upstreams.pool(runner).release(channel, False, None)
            raise state.not_served(CRASHES_RUNNERS, wait_s)
        if state.sends and not state.context.budget.try_acquire(state.service):
            upstreams.pool(runner).discard(channel)
            raise state.not_served("retry_budget")
        state.sends += 1
        ran_before, state.may_have_run = state.may_have_run, True
        state.splitter.discard_partial()
        outcome = await attempt.run(channel, state.first_response_timeout_s())
        if outcome.status is attempt_outcome.AttemptStatus.NOT_RUN:
            state.may_have_run = ran_before
        elif outcome.began_to_run:
            self._sink.mark_started()
        if outcome.reset:
            upstreams.crashes.connection_broken(
                runner, state.call, state.customer
            )
            # Awaited here so that a crash is recorded before the caller learns
            # of the failure and retries the call.
            await upstreams.check_runner_crash(runner)
        return outcome

    def _check_crash_blocklist(self) -> None:
        """Refuse a call that matches calls which crashed their runners.

        This check runs before each attempt, because a failed connection may
        just have shown that the runner of an earlier attempt crashed.

        :raises call_state.NotServed: when the call is blocked.
        """
        state = self._state
        wait_s = state.context.upstreams.crashes.admit(
            state.call, state.customer
        )
        if wait_s is not None:
            raise state.not_served(CRASHES_RUNNERS, wait_s)

    def _runner_call_parameters(
        self, placement: call_placement.Placement, copy_from: str | None
    ) -> messages.RunnerCallParameters:
        state = self._state
        level = placement.level
        left_s = state.left_s - attempts.RESPONSE_MARGIN_S
        return messages.RunnerCallParameters(
            placement.runner.name,
            state.customer.name if state.customer else None,
            max(MIN_RUNNER_TIME_S, left_s),
            level.level if level is not None else None,
            state.splitter.last_id,
            copy_from,
        )


def _versions(origins: frozenset[models.StreamOrigin]) -> str | None:
    """Origins as a field of a log line."""
    names = sorted(f"{each.service}@{each.version}" for each in origins)
    return ",".join(names) or None
