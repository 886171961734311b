"""One attempt: sends a call to one runner and learns from the response."""

import asyncio

from ..runners import model as models

from . import attempt_outcome
from . import client_channel
from . import connection_pool as pools
from . import dialects
from . import event_splitter
from . import messages
from . import response_reader
from . import response_room
from . import runners
from . import upstreams

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


class Attempt(response_reader.ResponseObserver):
    """Sends a call to a runner, and records what the response shows of it.

    :param attempt_id: unique among this VM's attempts.
    :param parameters: values that the runner receives with the call.
    :param sink: receives the events of a stream; None if the response is not
        a stream.
    """

    __slots__ = (
        "_connected_at",
        "_dialect",
        "_parameters",
        "_call",
        "_attempt_id",
        "_channel",
        "_pool",
        "_query",
        "_reader",
        "_runner",
        "_sent_at",
        "_reservation",
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
        sink: response_reader.EventSink | None,
        reservation: response_room.Reservation | None = None,
    ) -> None:
        self._attempt_id = attempt_id
        self._call = call
        self._parameters = parameters
        self._runner = runner
        self._query = query
        self._upstreams = upstreams_
        self._dialect = dialect
        self._sink = sink
        self._reservation = reservation
        self._pool = upstreams_.pool(runner)
        self._channel: client_channel.Channel | None = None
        self._reader: response_reader.ResponseReader | None = None
        #: When the call was sent, by the clock of the upstreams.
        self._sent_at = 0.0
        #: The same of a new connection, until a byte has come.
        self._connected_at: float | None = None

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
            self._upstreams.connect_failed(
                self._runner, error.refused, timeout_s >= CONNECT_TIMEOUT_S
            )
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
        self._channel = channel
        self._reader = reader = response_reader.ResponseReader(
            channel,
            self._call,
            self._dialect,
            self._sink,
            self,
            self._reservation,
        )
        result = models.Outcome.CANCELLED
        outlier_failure = reusable = shows_speed = answered = False
        started_at = asyncio.get_running_loop().time()
        self._sent_at = self._upstreams.call_started(
            self._attempt_id,
            self._runner,
            self._query,
            self._parameters.customer,
            self._shows_speed_of_runner(),
        )
        self._connected_at = None if channel.uses else self._sent_at
        try:
            channel.send(
                self._dialect.encode_request(self._call, self._parameters),
                reader.is_own_response,
            )
            outcome = await reader.read(first_response_timeout_s)
            result = _health_outcome(outcome)
            answered = (
                outcome.status is not attempt_outcome.AttemptStatus.BROKEN
            )
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
            if error.reset:
                self._upstreams.connection_broken(self._runner)
            outcome = attempt_outcome.AttemptOutcome(
                attempt_outcome.AttemptStatus.BROKEN,
                reason=f"broken:{error}",
                reset=error.reset,
            )
        except event_splitter.BadEvent as error:
            result = models.Outcome.FAILED
            outcome = attempt_outcome.AttemptOutcome(
                attempt_outcome.AttemptStatus.BROKEN,
                reason=f"disorder:{error}",
            )
        except asyncio.CancelledError:
            outlier_failure = reader.head is None and self._is_hung(started_at)
            raise
        finally:
            self._upstreams.call_finished(
                self._attempt_id,
                self._runner,
                result,
                outlier_failure=outlier_failure,
                events=self._later_events(),
                shows_speed=shows_speed,
                answered=answered,
            )
            self._return_channel(channel, reusable)
        outcome.received = reader.received
        return outcome

    # Methods of response_reader.ResponseObserver.

    def head_received(self, head: messages.RunnerResponseHead) -> None:
        """Record what the runner says of itself, if it is the runner's word.

        Another runner may use the address now, and an unsigned head may come
        from something else on the way.

        :raises client_channel.Broken: if the head may belong to an earlier
            call on the connection.
        """
        self._check_id(head)
        head.version = self._runner.version
        if head.other_runner:
            self._upstreams.runner_replaced(self._runner)
        elif head.signed or head.not_run:
            self._upstreams.statements.record_response(
                self._runner, head.statement, self._sent_at
            )

    def bytes_received(self) -> None:
        """Record that bytes came from the runner."""
        connected_at, self._connected_at = self._connected_at, None
        if connected_at is not None:
            self._upstreams.connection_opened(self._runner, connected_at)
        self._upstreams.bytes_received(self._runner)

    def first_event_received(self) -> None:
        """Record the first event of the stream."""
        self._upstreams.first_event_received(self._attempt_id)

    def response_started(self) -> None:
        """Record that a whole response began."""
        self._upstreams.response_started(self._attempt_id)

    async def confirm_end(self) -> bool:
        """Whether the runner's process goes on after it has closed."""
        return not await self._upstreams.may_have_ended(self._runner)

    def _check_id(self, head: messages.RunnerResponseHead) -> None:
        """Check that a head without an id can only be that of this call.

        :raises client_channel.Broken: if the runner has named the calls of
            this connection before: a late response may have lost its id.
        """
        channel = self._channel
        if channel is None:
            return
        if head.request_id:
            channel.echoes_ids = True
        elif channel.echoes_ids:
            raise client_channel.Broken("a response without an id")

    def _shows_speed_of_runner(self) -> bool:
        """Whether the times of the call depend on the runner alone.

        Those of a copied prefix depend on another runner, too. A stream that
        is resumed computes tokens again before its first event.
        """
        parameters = self._parameters
        return parameters.copy_from is None and parameters.resume_after is None

    def _later_events(self) -> int:
        """The events after the first one; 0 if their pace is the caller's."""
        reader = self._reader
        assert reader is not None
        if reader.first_event_id is None or reader.caller_is_slow:
            return 0
        assert self._sink is not None
        return (self._sink.splitter.last_id or 0) - reader.first_event_id

    def _is_hung(self, started_at: float) -> bool:
        """Whether a cancelled call counts as a hang of the runner.

        A runner that hangs on some calls never breaks a connection. Without
        this check it would count as healthy indefinitely.
        """
        waited_s = asyncio.get_running_loop().time() - started_at
        objective_s = self._query.wanted_first_token_s
        return waited_s > HANG_OBJECTIVE_FACTOR * objective_s

    def _return_channel(
        self, channel: client_channel.Channel, reusable: bool
    ) -> None:
        # The pool that the connection came from is used, as the runner may
        # have a new address and pool by now.
        head = self._reader.head if self._reader is not None else None
        if reusable and head is not None:
            self._pool.release(channel, head.closing, head.keep_alive_s)
        else:
            self._pool.discard(channel)


def _health_outcome(outcome: attempt_outcome.AttemptOutcome) -> models.Outcome:
    """The outcome as recorded for the runner's health."""
    if outcome.status is attempt_outcome.AttemptStatus.NOT_RUN:
        return models.Outcome.CANCELLED
    if outcome.status is attempt_outcome.AttemptStatus.BROKEN:
        return models.Outcome.FAILED
    if outcome.head is not None and outcome.head.status >= 500:
        return models.Outcome.FAILED
    return models.Outcome.DONE
