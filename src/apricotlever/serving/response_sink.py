"""Writes the response of a call as it comes, and measures it."""

import asyncio
import typing

from . import attempt_outcome
from . import call_state
from . import event_splitter
from . import messages
from . import reply_writer
from . import stream_origins

#: Gives the headers of a runner's response that are sent on.
HeaderFilter = typing.Callable[
    [messages.RunnerResponseHead], list[tuple[bytes, bytes]]
]


class ResponseSink:
    """Sends the response of one call on, from whichever attempt it comes.

    Implements :class:`.response_reader.EventSink`.

    :param headers: gives the headers that are sent on.
    """

    __slots__ = (
        "_headers",
        "_last_event_at",
        "_loop",
        "_reply",
        "_state",
        "_usage_counted",
        "first_s",
        "longest_pause_s",
        "served",
    )

    def __init__(
        self,
        state: call_state.CallState,
        reply: reply_writer.ReplyWriter,
        headers: HeaderFilter,
    ) -> None:
        self._state = state
        self._reply = reply
        self._headers = headers
        self._loop = asyncio.get_running_loop()
        forwarded = state.forwarded
        self._usage_counted = forwarded is not None and forwarded.usage_counted
        self._last_event_at: float | None = None
        #: Longest pause between two events of the stream so far, in seconds.
        self.longest_pause_s = 0.0
        #: Seconds from the first byte of the call to the start of its
        #: response; None before.
        self.first_s: float | None = None
        #: Whether the response is complete and a success.
        self.served = False

    @property
    def splitter(self) -> event_splitter.EventSplitter:
        """Checks the order of the events, over all attempts."""
        return self._state.splitter

    @property
    def usage_counted(self) -> bool:
        """Whether the customer's usage counts the call, at some VM."""
        return self._usage_counted

    def write_events(
        self, head: messages.RunnerResponseHead, data: bytes, count: int
    ) -> bool:
        """Write complete events to the caller.

        :returns: False when the write buffer is above its limit.
        """
        self.mark_started()
        self._update_longest_pause()
        if not self._reply.started:
            self._state.stream_began(head.version)
            self._record_origin()
            self._reply.start_stream(head.status, self._headers(head))
        return self._reply.send_chunk(data)

    async def drain(self) -> None:
        """Wait until the caller's write buffer is below its limit."""
        await self._reply.drain()

    def mark_started(self) -> None:
        """Record that a runner runs the call; usage counts each call once.

        The helper counts a call that was forwarded.
        """
        if self.first_s is None:
            self.first_s = self._loop.time() - self._state.call.received_at
        customer = self._state.customer
        if self._usage_counted or customer is None:
            return
        self._usage_counted = True
        if self._state.helper is None:
            self._state.context.usage.record_call(customer.name)

    def send_whole(
        self, head: messages.RunnerResponseHead, body: bytes
    ) -> None:
        """Send a runner's whole response."""
        self._reply.send_whole(head.status, self._headers(head), body)
        self.served = head.is_success

    def end_stream(self, end: attempt_outcome.StreamEnd) -> None:
        """End the stream; one without any event is sent as a whole."""
        if not self._reply.started:
            self.send_whole(end.head, b"")
            return
        self._reply.finish(end)
        self.served = True
        key = self._stream_key
        if key is not None:
            self._state.context.upstreams.origins.ended(key)

    @property
    def _stream_key(self) -> bytes | None:
        """Key of the stream if this VM records it; None if it doesn't.

        The helper records a stream that it serves for this VM.
        """
        state = self._state
        if not state.route.resumable or state.helper is not None:
            return None
        return stream_origins.key_of(state.call, state.customer)

    def _record_origin(self) -> None:
        """Record where the stream began before the caller has a part of it."""
        state = self._state
        key = self._stream_key
        if key is not None and state.origin is not None:
            state.context.upstreams.origins.began(
                key, state.origin, stream_origins.lifetime_s(state.route)
            )

    def _update_longest_pause(self) -> None:
        now = self._loop.time()
        if self._last_event_at is not None:
            pause_s = now - self._last_event_at
            self.longest_pause_s = max(self.longest_pause_s, pause_s)
        self._last_event_at = now
