"""Reads the response to one call from a connection, and forwards its events.

The connection leads to a runner, or to another VM that has sent the call to a
runner; the response is the runner's in both cases.
"""

import asyncio
import contextlib
import functools
import typing

from . import attempt_outcome
from . import client_channel
from . import dialects
from . import event_splitter
from . import messages
from . import reply_writer
from . import response_room

#: Maximum size of a response body that is buffered and then forwarded in one
#: piece, in bytes.
MAX_BODY_BYTES = 16 * 1024 * 1024
#: How often a whole body is held: as it was read, and in one piece.
COPIES = 2


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


class ResponseObserver:
    """Learns what a response shows of the peer; by default, nothing."""

    __slots__ = ()

    def head_received(self, head: messages.RunnerResponseHead) -> None:
        """Called with the head, which answers the call."""

    def bytes_received(self) -> None:
        """Called when bytes of the response arrived."""

    def first_event_received(self) -> None:
        """Called when the first complete event of a stream was forwarded."""

    def response_started(self) -> None:
        """Called when a response began that is no stream."""

    async def confirm_end(self) -> bool:
        """Whether a response that ended with its connection is complete.

        The end of the peer's process closes its connections, too.
        """
        return False


class ResponseReader:
    """Reads one response.

    :param call: the call that the response must answer.
    :param sink: receives the events of a stream; None if the response is not
        a stream.
    :param reservation: gives a whole response room.
    """

    __slots__ = (
        "_call",
        "_channel",
        "_dialect",
        "_failure",
        "_announced_bytes",
        "_observer",
        "_reservation",
        "_sink",
        "caller_is_slow",
        "event_count",
        "first_event_id",
        "head",
    )

    def __init__(
        self,
        channel: client_channel.Channel,
        call: messages.CallerCall,
        dialect: dialects.RunnerDialect,
        sink: EventSink | None,
        observer: ResponseObserver,
        reservation: response_room.Reservation | None = None,
    ) -> None:
        self._reservation = reservation
        self._announced_bytes = MAX_BODY_BYTES
        self._channel = channel
        self._call = call
        self._dialect = dialect
        self._sink = sink
        self._observer = observer
        #: Exception raised in the body callback, to be raised in the task.
        self._failure: Exception | None = None
        self.head: messages.RunnerResponseHead | None = None
        #: Number of complete events that were forwarded.
        self.event_count = 0
        #: Id of the last event that came with the first one.
        self.first_event_id: int | None = None
        #: Whether the caller took events more slowly than they came, so that
        #: their pace may be the caller's.
        self.caller_is_slow = False

    @property
    def received(self) -> attempt_outcome.ReceivedResponse:
        """What was received so far."""
        return attempt_outcome.ReceivedResponse(
            self.head.status if self.head is not None else None,
            self._channel.body_end,
            self.event_count,
        )

    def is_own_response(self, status: int, headers: messages.Headers) -> bool:
        """Whether a response answers this call and not an earlier one."""
        head = self._dialect.parse_response_head(status, headers)
        return head.request_id in ("", self._call.request_id)

    async def read(
        self, first_response_timeout_s: float | None
    ) -> attempt_outcome.AttemptOutcome:
        """Read the response, and forward it if it is a stream.

        :param first_response_timeout_s: how long the response may take to
            begin, in seconds; None for no limit.
        :raises client_channel.Broken: when the response can't be complete.
        :raises event_splitter.BadEvent: when an event is bad.
        :raises reply_writer.CallerGone: when the caller has disconnected.
        """
        try:
            async with asyncio.timeout(first_response_timeout_s):
                head = await self._read_head()
                if self._is_stream(head):
                    expect_more = await self._forward_first_event(head)
        except TimeoutError:
            return attempt_outcome.AttemptOutcome(
                attempt_outcome.AttemptStatus.BROKEN,
                reason="no_answer_in_time",
            )
        if head.other_runner or head.not_run:
            return await self._read_rejection(head)
        if not head.signed:
            return attempt_outcome.AttemptOutcome(
                attempt_outcome.AttemptStatus.BROKEN, reason="unsigned"
            )
        if self._is_stream(head):
            return await self._forward_stream(head, expect_more)
        self._observer.response_started()
        body = await self._read_body()
        await self._check_end()
        return attempt_outcome.AttemptOutcome(
            attempt_outcome.AttemptStatus.ANSWERED, head, body
        )

    async def _read_head(self) -> messages.RunnerResponseHead:
        raw = await self._channel.read_head()
        self._observer.bytes_received()
        head = self._dialect.parse_response_head(raw.status, raw.headers)
        self.head = head
        self._announced_bytes = _announced_bytes(raw.headers)
        self._observer.head_received(head)
        return head

    async def _read_rejection(
        self, head: messages.RunnerResponseHead
    ) -> attempt_outcome.AttemptOutcome:
        # The head alone guarantees that the call has not run, even if the
        # body is lost.
        with contextlib.suppress(client_channel.Broken):
            await self._read_body()
        return attempt_outcome.AttemptOutcome(
            attempt_outcome.AttemptStatus.NOT_RUN,
            reason="replaced" if head.other_runner else "turned_away",
            asks_for_rest=bool(head.statement.rest_s),
            turned_away=not head.other_runner,
        )

    async def _check_end(self) -> None:
        """Check that the end of the response was not that of its runner.

        A body without length ends with its connection, which the end of the
        runner's process closes, too.

        :raises client_channel.Broken: if the runner may have ended.
        """
        if self._channel.body_end is not client_channel.BodyEnd.CLOSED:
            return
        if not await self._observer.confirm_end():
            raise client_channel.Broken("ended with its runner", reset=True)

    def _is_stream(self, head: messages.RunnerResponseHead) -> bool:
        return (
            self._sink is not None
            and head.is_success
            and head.signed
            and not head.not_run
        )

    async def _forward_first_event(
        self, head: messages.RunnerResponseHead
    ) -> bool:
        """Forward the first complete events.

        :returns: False if the stream ended without a complete event.
        """
        assert self._sink is not None
        while (data := await self._channel.read_chunk()) is not None:
            before = self._sink.splitter.last_id
            self._forward(head, data)
            if self._sink.splitter.last_id != before:
                self.first_event_id = self._sink.splitter.last_id
                self._observer.first_event_received()
                return True
        return False

    async def _forward_stream(
        self, head: messages.RunnerResponseHead, expect_more: bool
    ) -> attempt_outcome.AttemptOutcome:
        assert self._sink is not None
        channel = self._channel
        while expect_more and (data := await channel.read_chunk()) is not None:
            if self._failure is not None:
                raise self._failure
            self._forward(head, data + channel.read_buffered())
            await self._sink.drain()
            channel.set_body_callback(
                functools.partial(self._on_body_bytes, head)
            )
        closed = channel.body_end is client_channel.BodyEnd.CLOSED
        if self._sink.splitter.has_partial_event:
            return attempt_outcome.AttemptOutcome(
                attempt_outcome.AttemptStatus.BROKEN,
                reason="ends_within_an_event",
                reset=closed,
            )
        if closed and not self.event_count:
            # Neither a length nor an event: nothing says that this is all.
            raise client_channel.Broken("ended without an event", reset=True)
        await self._check_end()
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
            event_splitter.BadEvent,
            reply_writer.CallerGone,
        ) as error:
            # This method runs as a callback of the connection, so the error
            # is kept and raised again in the task.
            self._failure = error
            return False

    def _forward(self, head: messages.RunnerResponseHead, data: bytes) -> bool:
        assert self._sink is not None
        self._observer.bytes_received()
        passed = self._sink.splitter.pass_on(
            data, functools.partial(self._write_events, head)
        )
        self.caller_is_slow |= not passed.taken
        return passed.taken

    def _write_events(
        self, head: messages.RunnerResponseHead, data: bytes, count: int
    ) -> bool:
        assert self._sink is not None
        taken = self._sink.write_events(head, data, count)
        self.event_count += count
        return taken

    async def _read_body(self) -> bytes:
        parts: list[bytes] = []
        size = 0
        has_room = self._reservation is None
        while (data := await self._channel.read_chunk()) is not None:
            parts.append(data)
            size += len(data)
            if size > MAX_BODY_BYTES:
                raise client_channel.Broken("the response body is too large")
            if size > response_room.FREE_BYTES and not has_room:
                assert self._reservation is not None
                await self._reservation.grow(COPIES * self._announced_bytes)
                has_room = True
        return b"".join(parts)


def _announced_bytes(headers: messages.Headers) -> int:
    """The size of a body by its head, in bytes; the most without one."""
    for name, value in headers:
        if name.lower() == b"content-length" and value.isdigit():
            return min(MAX_BODY_BYTES, int(value))
    return MAX_BODY_BYTES
