"""One attempt that forwards a call to a helper, another VM that runs it."""

import asyncio

from .. import refusals
from ..vms import vm_records

from . import attempt_outcome
from . import client_channel
from . import connection_pool as pools
from . import dialects
from . import event_splitter
from . import forwarding_protocol
from . import helpers
from . import messages
from . import reply_writer
from . import response_reader
from . import response_room

#: Timeout for opening a connection to a helper, in seconds; as for a runner.
CONNECT_TIMEOUT_S = 0.35
#: How long a helper that could not be connected to, or that broke off before
#: its response, gets no further call, in seconds.
FAILURE_PAUSE_S = 1.0
#: Prefix of the reasons for which a helper itself turns calls away; others are
#: those of the runners that it tried.
OWN_REASON = "helper_"
#: The reason of a helper that tried the call, and may have lost its paths as
#: it reached no runner for it.
REACHED_NONE = "helper_reached_none"


class _HelperDialect:
    """Reads responses of runners, and refusals of the helper.

    Implements the part of :class:`.dialects.RunnerDialect` that readers use.
    """

    __slots__ = ("_dialect", "refusal")

    def __init__(self, dialect: dialects.RunnerDialect) -> None:
        self._dialect = dialect
        #: The refusal that was received; None without one.
        self.refusal: forwarding_protocol.HelperRefusal | None = None

    def encode_request(
        self,
        call: messages.CallerCall,
        parameters: messages.RunnerCallParameters,
    ) -> bytes:
        """The bytes of the request that sends a call to a runner."""
        return self._dialect.encode_request(call, parameters)

    def parse_response_head(
        self, status: int, headers: messages.Headers
    ) -> messages.RunnerResponseHead:
        """Translate status and headers of a response."""
        refusal = forwarding_protocol.HelperRefusal.from_headers(headers)
        version, headers = forwarding_protocol.take_version(headers)
        head = self._dialect.parse_response_head(status, headers)
        head.version = version
        if refusal is None and not head.signed and 400 <= status < 500:
            # The helper sends on none but signed responses of runners, so
            # its server has rejected the request, as one of an older build
            # does.
            refusal = forwarding_protocol.HelperRefusal(
                f"{OWN_REASON}rejects:{status}",
                refusals.Executed.NO,
                None,
                0,
            )
        if refusal is None:
            return head
        self.refusal = refusal
        return messages.RunnerResponseHead(
            status,
            headers,
            not_run=refusal.executed is refusals.Executed.NO,
            signed=False,
            closing=head.closing,
            keep_alive_s=head.keep_alive_s,
        )


class ForwardingAttempt:
    """Forwards a call to a helper and reads the response.

    A response that ends with its connection is not complete, as a helper gives
    each response a length or chunks. Implements
    :class:`.response_reader.EventSink`.

    :param helper: the status record of the helper.
    :param sink: receives the events of a stream; None if the response is not
        a stream.
    """

    __slots__ = (
        "_call",
        "_dialect",
        "_helper",
        "_helpers",
        "_pool",
        "_reservation",
        "_sink",
    )

    def __init__(
        self,
        helpers_: helpers.Helpers,
        helper: vm_records.VmRecord,
        call: messages.CallerCall,
        dialect: dialects.RunnerDialect,
        sink: response_reader.EventSink | None,
        reservation: response_room.Reservation | None = None,
    ) -> None:
        self._helpers = helpers_
        self._helper = helper
        self._call = call
        self._dialect = _HelperDialect(dialect)
        self._sink = sink
        self._reservation = reservation
        self._pool = helpers_.pool(helper.peer_address)

    @property
    def refusal(self) -> forwarding_protocol.HelperRefusal | None:
        """What the helper said instead of a runner's response, if it did."""
        return self._dialect.refusal

    @property
    def counted_elsewhere(self) -> bool:
        """Whether the helper refused a call that it has counted.

        It counts a call once it tries to send it to a runner.
        """
        refusal = self.refusal
        return refusal is not None and (
            refusal.reason == REACHED_NONE
            or not refusal.reason.startswith(OWN_REASON)
        )

    async def connect(
        self, timeout_s: float
    ) -> client_channel.Channel | attempt_outcome.AttemptOutcome:
        """Open a connection, or return the outcome if that fails."""
        try:
            return await self._pool.acquire(min(CONNECT_TIMEOUT_S, timeout_s))
        except pools.PoolFull:
            return self._end(
                attempt_outcome.AttemptOutcome(
                    attempt_outcome.AttemptStatus.NOT_SENT,
                    reason=f"{OWN_REASON}connections_used_up",
                )
            )
        except client_channel.NotConnected as error:
            self._helpers.choice.pause(self._helper.vm, FAILURE_PAUSE_S)
            return self._end(
                attempt_outcome.AttemptOutcome(
                    attempt_outcome.AttemptStatus.NOT_SENT,
                    reason=f"{OWN_REASON}unreachable:{error}",
                )
            )

    async def run(
        self,
        channel: client_channel.Channel,
        forwarded: forwarding_protocol.ForwardedCall,
        first_response_timeout_s: float | None,
    ) -> attempt_outcome.AttemptOutcome:
        """Forward the call and read the response.

        :param first_response_timeout_s: how long the response may take to
            begin, in seconds; None for no limit.
        """
        reader = response_reader.ResponseReader(
            channel,
            self._call,
            self._dialect,
            self if self._sink is not None else None,
            response_reader.ResponseObserver(),
            self._reservation,
        )
        self._helpers.choice.call_started(self._helper.vm)
        reusable = False
        try:
            request = forwarding_protocol.encode_request(
                self._helper.peer_address, forwarded
            )
            channel.send(request, reader.is_own_response)
            self._helpers.record_bytes(self._helper, len(request))
            outcome = await reader.read(first_response_timeout_s)
            reusable = channel.idle
        except client_channel.Broken as error:
            if reader.head is None:
                self._helpers.choice.pause(self._helper.vm, FAILURE_PAUSE_S)
            outcome = attempt_outcome.AttemptOutcome(
                attempt_outcome.AttemptStatus.BROKEN,
                reason=f"{OWN_REASON}broken:{error}",
            )
        except event_splitter.BadEvent as error:
            outcome = attempt_outcome.AttemptOutcome(
                attempt_outcome.AttemptStatus.BROKEN,
                reason=f"disorder:{error}",
            )
        except (asyncio.CancelledError, reply_writer.CallerGone):
            self._helpers.record_result(None)
            raise
        finally:
            self._helpers.choice.call_ended(self._helper.vm)
            self._return_channel(channel, reader.head if reusable else None)
        self._helpers.record_bytes(self._helper, len(outcome.body))
        if reader.head is not None and self.refusal is None:
            self._helpers.choice.accepted(self._helper.vm)
        outcome.received = reader.received
        return self._end(self._with_refusal(outcome))

    # Methods of response_reader.EventSink.

    @property
    def splitter(self) -> event_splitter.EventSplitter:
        """Checks the order of the events across all attempts."""
        assert self._sink is not None
        return self._sink.splitter

    def write_events(
        self, head: messages.RunnerResponseHead, data: bytes, count: int
    ) -> bool:
        """Count and pass on complete events."""
        assert self._sink is not None
        self._helpers.record_bytes(self._helper, len(data))
        return self._sink.write_events(head, data, count)

    async def drain(self) -> None:
        """Wait until the caller's write buffer is below its limit."""
        assert self._sink is not None
        await self._sink.drain()

    def mark_started(self) -> None:
        """Pass on that a runner runs the call."""
        assert self._sink is not None
        self._sink.mark_started()

    def _with_refusal(
        self, outcome: attempt_outcome.AttemptOutcome
    ) -> attempt_outcome.AttemptOutcome:
        """Add what the helper said if it refused the call."""
        refusal = self.refusal
        if refusal is None:
            return outcome
        outcome.reason = refusal.reason
        outcome.retry_after_s = refusal.retry_after_s
        if (
            refusal.reason.startswith(OWN_REASON)
            and refusal.retry_after_s is not None
        ):
            self._helpers.choice.refused(
                self._helper.vm, refusal.retry_after_s
            )
        return outcome

    def _end(
        self, outcome: attempt_outcome.AttemptOutcome
    ) -> attempt_outcome.AttemptOutcome:
        outcome.helper = self._helper.vm
        self._helpers.record_result(outcome.status)
        return outcome

    def _return_channel(
        self,
        channel: client_channel.Channel,
        head: messages.RunnerResponseHead | None,
    ) -> None:
        """Keep the connection if the response has ended cleanly."""
        if head is None:
            self._pool.discard(channel)
            return
        self._pool.release(channel, head.closing, head.keep_alive_s)


def may_differ_elsewhere(outcome: attempt_outcome.AttemptOutcome) -> bool:
    """Whether another helper may run a call that one did not run.

    The reasons of runners are the same at all helpers, unless it is the
    helper that lost its paths to them.
    """
    return outcome.reason.startswith((OWN_REASON, "unreachable"))
