"""One sending of a call to one runner, and what came of it."""

import asyncio
import contextlib
import enum
import functools
import typing

from ..runners import model as models

from . import channels
from . import dialects
from . import events
from . import messages
from . import pool as pools
from . import replies
from . import runners
from . import upstreams

#: The longest body of an answer that is held to be passed on as a whole.
MOST_BODY_BYTES = 16 * 1024 * 1024
#: Taken off the time that a runner gets, for the way back of its answer.
RETURN_S = 0.01
#: A call that was given up without a word from its runner counts against the
#: runner when it had waited for so many times its objective.
HUNG_OBJECTIVES = 2.0
#: How long a connection to a runner may take to open, in seconds. It takes a
#: few milliseconds; one whose first packet was lost, or whose runner is
#: dark, takes a second and more, when another runner would have answered.
CONNECT_S = 0.35


class Fate(enum.Enum):
    """What is known of a call after an attempt."""

    #: The whole answer is here, or has been passed on.
    ANSWERED = "answered"
    #: No byte of it was sent.
    NOT_SENT = "not_sent"
    #: The runner promised that it has not run it and never will.
    NOT_RUN = "not_run"
    #: It may have run, and no whole answer will come.
    BROKEN = "broken"


class Outcome:
    """The end of an attempt.

    :param head: of a whole answer that has not been passed on yet.
    :param body: of that answer.
    :param reason: why there is no answer, for the log.
    :param retry_after_s: when the runner wants to be asked again.
    :param cut: the runner's side ended the connection before the answer.
    """

    __slots__ = ("fate", "head", "body", "reason", "retry_after_s", "cut")

    def __init__(
        self,
        fate: Fate,
        head: messages.RunnerHead | None = None,
        body: bytes = b"",
        reason: str = "",
        retry_after_s: float | None = None,
        cut: bool = False,
    ) -> None:
        self.cut = cut
        self.fate = fate
        self.head = head
        self.body = body
        self.reason = reason
        self.retry_after_s = retry_after_s


class EventSink(typing.Protocol):
    """Takes the events of a stream."""

    @property
    def splitter(self) -> events.EventSplitter:
        """Checks the order of the events, over all attempts."""

    def events(
        self, head: messages.RunnerHead, data: bytes, count: int
    ) -> bool:
        """Pass whole events on to the caller.

        :returns: False when the caller is far behind.
        """

    async def drained(self) -> None:
        """Wait while the caller is far behind."""

    def began(self) -> None:
        """A runner began to run the call."""


class Attempt:
    """Sends a call to a runner and reads the answer.

    :param name: unique among this VM's attempts.
    :param sink: takes the events of a stream; None for a plain answer.
    """

    __slots__ = (
        "_dialect",
        "_errand",
        "_call",
        "_failure",
        "_head",
        "_name",
        "_pool",
        "_query",
        "_runner",
        "_sink",
        "_upstreams",
    )

    def __init__(
        self,
        name: str,
        call: messages.CallerCall,
        errand: messages.Errand,
        runner: runners.Runner,
        query: models.Query,
        upstreams_: upstreams.Upstreams,
        dialect: dialects.RunnerDialect,
        sink: EventSink | None,
    ) -> None:
        self._name = name
        self._call = call
        self._errand = errand
        self._runner = runner
        self._query = query
        self._upstreams = upstreams_
        self._dialect = dialect
        self._sink = sink
        self._pool = upstreams_.pool(runner)
        self._head: messages.RunnerHead | None = None
        #: What stopped the events while no task waited for them.
        self._failure: Exception | None = None

    async def connect(self, timeout_s: float) -> channels.Channel | Outcome:
        """A connection to the runner, or the outcome without one."""
        try:
            return await self._pool.acquire(min(CONNECT_S, timeout_s))
        except pools.PoolFull:
            return Outcome(Fate.NOT_SENT, reason="connections_used_up")
        except channels.NotConnected as error:
            self._upstreams.unreachable(self._runner)
            return Outcome(Fate.NOT_SENT, reason=f"unreachable:{error}")

    async def run(
        self, channel: channels.Channel, patience_s: float | None
    ) -> Outcome:
        """Send the call and read its answer.

        :param patience_s: how long the answer may take to begin; None for
            as long as the caller waits.
        """
        result = models.Outcome.CANCELLED
        blamed = clean = False
        began = asyncio.get_running_loop().time()
        self._upstreams.started(self._name, self._runner, self._query)
        try:
            channel.send(
                self._dialect.request(self._call, self._errand), self._accepts
            )
            outcome = await self._answer(channel, patience_s)
            result = _health(outcome)
            blamed = outcome.fate is Fate.NOT_RUN
            clean = channel.idle
        except channels.Broken as error:
            result = models.Outcome.FAILED
            outcome = Outcome(
                Fate.BROKEN, reason=f"broken:{error}", cut=error.reset
            )
        except events.StreamDisorder as error:
            result = models.Outcome.FAILED
            outcome = Outcome(Fate.BROKEN, reason=f"disorder:{error}")
        except asyncio.CancelledError:
            blamed = self._hung(began)
            raise
        finally:
            self._upstreams.finished(
                self._name, self._runner, result, blamed=blamed
            )
            self._put_back(channel, clean)
        return outcome

    def _hung(self, began: float) -> bool:
        """Whether the call was given up as the runner said nothing.

        A runner that hangs on some calls never breaks one off: without this
        it would look sound for ever.
        """
        waited_s = asyncio.get_running_loop().time() - began
        objective_s = self._query.wanted_first_token_s
        return self._head is None and waited_s > HUNG_OBJECTIVES * objective_s

    def _put_back(self, channel: channels.Channel, clean: bool) -> None:
        # To where it came from: the runner may have a new address by now.
        head = self._head
        if clean and head is not None:
            self._pool.release(channel, head.closing, head.keep_alive_s)
        else:
            self._pool.discard(channel)

    def _accepts(self, status: int, headers: messages.Headers) -> bool:
        """Whether an answer is to this call and not a late one."""
        head = self._dialect.head(status, headers)
        return head.request_id in ("", self._call.request_id)

    async def _answer(
        self, channel: channels.Channel, patience_s: float | None
    ) -> Outcome:
        try:
            async with asyncio.timeout(patience_s):
                raw = await channel.head()
                self._upstreams.heard(self._runner)
                head = self._dialect.head(raw.status, raw.headers)
                self._head = head
                if self._is_stream(head):
                    first = await self._first_events(channel, head)
        except TimeoutError:
            return Outcome(Fate.BROKEN, reason="no_answer_in_time")
        if head.other_runner or head.not_run:
            # The promise stands in the head; it holds if the rest is lost.
            with contextlib.suppress(channels.Broken):
                await _rest(channel)
            if head.other_runner:
                self._upstreams.replaced(self._runner)
            return Outcome(
                Fate.NOT_RUN,
                reason="replaced" if head.other_runner else "turned_away",
                retry_after_s=head.retry_after_s,
            )
        if not head.signed:
            return Outcome(Fate.BROKEN, reason="unsigned")
        if self._is_stream(head):
            return await self._stream(channel, head, first)
        self._upstreams.first_answer(self._name)
        body = await _rest(channel)
        return Outcome(Fate.ANSWERED, head, body)

    def _is_stream(self, head: messages.RunnerHead) -> bool:
        return (
            self._sink is not None
            and 200 <= head.status < 300
            and head.signed
            and not head.not_run
        )

    async def _first_events(
        self, channel: channels.Channel, head: messages.RunnerHead
    ) -> bool:
        """Pass the first whole events on; False if there is none."""
        assert self._sink is not None
        while (data := await channel.chunk()) is not None:
            before = self._sink.splitter.last_id
            self._pass_on(head, data)
            if self._sink.splitter.last_id != before:
                self._upstreams.first_answer(self._name)
                return True
        return False

    async def _stream(
        self, channel: channels.Channel, head: messages.RunnerHead, more: bool
    ) -> Outcome:
        assert self._sink is not None
        while more and (data := await channel.chunk()) is not None:
            if self._failure is not None:
                raise self._failure
            self._pass_on(head, data + channel.ready_chunks())
            await self._sink.drained()
            channel.tap(functools.partial(self._passed_on, head))
        if self._sink.splitter.partial:
            return Outcome(Fate.BROKEN, reason="ends_within_an_event")
        return Outcome(Fate.ANSWERED, head)

    def _passed_on(self, head: messages.RunnerHead, data: bytes) -> bool:
        """Pass bytes on as they come; False when the task has to look."""
        try:
            return self._pass_on(head, data)
        except (events.StreamDisorder, replies.CallerGone) as error:
            # Raised again in the task, as the connection calls this one.
            self._failure = error
            return False

    def _pass_on(self, head: messages.RunnerHead, data: bytes) -> bool:
        assert self._sink is not None
        self._upstreams.heard(self._runner)
        whole, count = self._sink.splitter.feed(data)
        return not count or self._sink.events(head, whole, count)


async def _rest(channel: channels.Channel) -> bytes:
    parts: list[bytes] = []
    size = 0
    while (data := await channel.chunk()) is not None:
        parts.append(data)
        size += len(data)
        if size > MOST_BODY_BYTES:
            raise channels.Broken("the answer is too long")
    return b"".join(parts)


def _health(outcome: Outcome) -> models.Outcome:
    """What an outcome says of the runner's health."""
    if outcome.fate is Fate.NOT_RUN:
        return models.Outcome.CANCELLED
    if outcome.fate is Fate.BROKEN:
        return models.Outcome.FAILED
    if outcome.head is not None and outcome.head.status >= 500:
        return models.Outcome.FAILED
    return models.Outcome.DONE
