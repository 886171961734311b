"""All attempts at one call, until its caller has a final answer."""

import asyncio
import typing

from .. import logs
from ..runners import engine_priority

from . import attempt as attempts
from . import channels
from . import crash_watch
from . import events
from . import messages
from . import replies
from . import routes
from . import runners

if typing.TYPE_CHECKING:
    from . import relay

#: Runners that could not be reached, or turned the call away, before the
#: caller is sent away too.
MOST_TURNED_AWAY = 3
#: A call that may be repeated waits for the first runner's answer for this
#: many times its objective, and at least this many seconds.
PATIENCE_OBJECTIVES = 2.5
LEAST_PATIENCE_S = 0.6
#: Part of the time left that the first runner may take: the rest has to do
#: for the second one.
PATIENCE_PART = 0.7
#: With less time left no other runner is asked, in seconds.
LEAST_LEFT_S = 0.05
#: When a caller should come back if no runner takes its call, in seconds.
COME_BACK_S = 0.4
#: A runner is given at least so long, in seconds; none reads a zero.
LEAST_WORK_S = 0.001


class NotServed(Exception):
    """The call ends without a runner's answer.

    :param status: 503 promises that it has not run; 502 and 504 promise
        nothing.
    :param retry_after_s: when to come back.
    """

    def __init__(
        self, status: int, reason: str, retry_after_s: float | None = None
    ) -> None:
        super().__init__(reason)
        self.status = status
        self.reason = reason
        self.retry_after_s = retry_after_s


class Exchange:
    """One call on its way through attempts to its answer.

    :param service: whose runners may run it.
    """

    __slots__ = (
        "_call",
        "_runner_retry_after_s",
        "_counted",
        "_customer",
        "_deadline",
        "_loop",
        "_relay",
        "_reply",
        "_route",
        "_service",
        "_splitter",
        "_tried",
        "_turned_away",
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
        relay_: "relay.Relay",
        call: messages.CallerCall,
        route: routes.Route,
        customer: routes.Customer | None,
        service: str,
        reply: replies.Reply,
    ) -> None:
        self._relay = relay_
        self._call = call
        self._route = route
        self._customer = customer
        self._service = service
        self._reply = reply
        self._loop = asyncio.get_running_loop()
        wait_s = route.timeout_s
        if call.patience_s is not None:
            wait_s = min(wait_s, call.patience_s)
        self._deadline = call.received_at + wait_s
        self._splitter = events.EventSplitter(call.last_event_id)
        self._tried: set[str] = set()
        self._turned_away = 0
        self._counted = False
        self._runner_retry_after_s: float | None = None
        self._last_event_at: float | None = None
        #: Between two events of the stream, the longest so far.
        self.longest_pause_s = 0.0
        #: From the caller's first byte to the first of the answer.
        self.first_s: float | None = None
        #: Whether a runner may have run the call, or be running it.
        self.may_have_run = False
        #: Why there was no answer, "" when there was.
        self.reason = ""
        self.runner_id: str | None = None
        #: Runners to which the call was sent.
        self.sends = 0
        self.served = False

    @property
    def splitter(self) -> events.EventSplitter:
        """Checks the order of the events, over all attempts."""
        return self._splitter

    async def run(self) -> None:
        """Answer the call.

        :raises NotServed: when no runner's answer could be passed on.
        """
        self._relay.budget.record_request(self._service)
        try:
            async with asyncio.timeout_at(self._deadline):
                await self._attempts()
        except TimeoutError:
            self.reason = "deadline"
            if self._reply.started:
                self._reply.cut()
            elif self.may_have_run:
                raise NotServed(504, "deadline") from None
            else:
                raise NotServed(503, "deadline", COME_BACK_S) from None

    async def _attempts(self) -> None:
        while True:
            outcome = await self._attempt()
            if outcome.fate is attempts.Fate.ANSWERED:
                if self._wants_better(outcome):
                    continue
                self._deliver(outcome)
                return
            self.reason = outcome.reason
            self._check_go_on(outcome)
            logs.event(
                "request_retried",
                request=self._call.request_id,
                runner=self.runner_id,
                reason=outcome.reason,
                sends=self.sends,
            )

    async def _attempt(self) -> attempts.Outcome:
        upstreams = self._relay.upstreams
        self._keep_away(upstreams.crashes)
        query = upstreams.query(
            self._call, self._route, self._service, frozenset(self._tried)
        )
        runner = upstreams.choose(query)
        if runner is None:
            raise self._no_answer("no_runner")
        self.runner_id = runner.runner_id
        self._tried.add(runner.runner_id)
        errand = self._errand(runner, upstreams.fetch_source(query, runner))
        logs.event(
            "request_routed",
            request=self._call.request_id,
            service=self._service,
            runner=runner.runner_id,
            in_flight=upstreams.in_flight.get(runner.runner_id, 0),
            revision=runner.revision,
            copy_from=errand.copy_from,
            left_s=errand.left_s,
            attempt=self.sends + 1,
        )
        work = attempts.Attempt(
            f"{self._call.request_id}.{self._relay.next_number()}",
            self._call,
            errand,
            runner,
            query,
            upstreams,
            self._relay.dialect.upstreams,
            self if self._route.kind is routes.CallKind.STREAM else None,
        )
        opened = await work.connect(self._deadline - self._loop.time())
        if not isinstance(opened, channels.Channel):
            return opened
        return await self._send(work, opened, runner)

    async def _send(
        self,
        work: attempts.Attempt,
        channel: channels.Channel,
        runner: runners.Runner,
    ) -> attempts.Outcome:
        if self.sends and not self._relay.budget.try_acquire(self._service):
            self._relay.upstreams.pool(runner).discard(channel)
            raise self._no_answer("retry_budget")
        self.sends += 1
        ran_before, self.may_have_run = self.may_have_run, True
        self._splitter.restart()
        outcome = await work.run(channel, self._patience())
        if outcome.fate is attempts.Fate.NOT_RUN:
            self.may_have_run = ran_before
        elif outcome.fate is attempts.Fate.ANSWERED:
            self.began()
        if outcome.cut:
            upstreams = self._relay.upstreams
            upstreams.crashes.broke(runner, self._call, self._customer)
            # Before the caller hears of it and sends the call again.
            await upstreams.check_crashed(runner)
        return outcome

    def _keep_away(self, crashes: crash_watch.CrashWatch) -> None:
        """Give up a call whose like crashed the runners that ran it.

        Asked before each attempt: a runner that takes no connection may
        just have shown why the one before it broke off.
        """
        wait_s = crashes.kept_away_s(self._call, self._customer)
        if wait_s is None:
            return
        error = self._no_answer("crashes_runners")
        if error.retry_after_s is not None:
            error.retry_after_s = wait_s
        raise error

    def _errand(
        self, runner: runners.Runner, copy_from: str | None
    ) -> messages.Errand:
        left_s = self._deadline - self._loop.time() - attempts.RETURN_S
        return messages.Errand(
            runner.name,
            self._customer.name if self._customer else None,
            max(LEAST_WORK_S, left_s),
            self._place(),
            self._splitter.last_id,
            copy_from,
        )

    def _place(self) -> int | None:
        """The call's place in an engine's queue; None for a plain one."""
        prompt = self._call.prompt
        if prompt is None:
            return None
        customer = self._customer
        return engine_priority.queue_level(
            customer.priority if customer is not None else None,
            self._route.priority,
            prompt.tokens_in,
        )

    def _patience(self) -> float | None:
        """How long the answer may take to begin before another is asked.

        A runner that hangs, or whose connection went silent, shows only by
        this. It is None where the call may not be repeated.
        """
        if not self._may_repeat():
            return None
        left_s = self._deadline - self._loop.time()
        wanted_s = PATIENCE_OBJECTIVES * self._route.objective_s
        patience_s = max(LEAST_PATIENCE_S, wanted_s)
        most_s = PATIENCE_PART * left_s
        return patience_s if patience_s < most_s else None

    def _may_repeat(self) -> bool:
        return (
            self._route.repeatable
            and self.sends < self._route.max_attempts
            and self._relay.budget.remaining(self._service) >= 1.0
        )

    def _wants_better(self, outcome: attempts.Outcome) -> bool:
        """Whether a runner's failure is worth another attempt."""
        assert outcome.head is not None
        if outcome.head.status < 500 or self._reply.started:
            return False
        if not self._may_repeat():
            return False
        return self._deadline - self._loop.time() > LEAST_LEFT_S

    def _check_go_on(self, outcome: attempts.Outcome) -> None:
        """Return if another runner may be asked.

        :raises NotServed: if not.
        """
        if outcome.fate is attempts.Fate.BROKEN:
            if self._may_repeat():
                return
            raise self._no_answer(outcome.reason)
        self._turned_away += 1
        if outcome.retry_after_s is not None:
            self._runner_retry_after_s = outcome.retry_after_s
        if self._turned_away >= MOST_TURNED_AWAY:
            raise self._no_answer(outcome.reason)

    def _no_answer(self, reason: str) -> NotServed:
        self.reason = reason
        if self.may_have_run:
            return NotServed(502, reason)
        return NotServed(
            503, reason, self._runner_retry_after_s or COME_BACK_S
        )

    def _deliver(self, outcome: attempts.Outcome) -> None:
        assert outcome.head is not None
        self.reason = ""
        if self._reply.started:
            self._reply.finish()
            self.served = True
            return
        headers = self._relay.dialect.callers.answer_headers(outcome.head)
        self._reply.whole(outcome.head.status, headers, outcome.body)
        self.served = 200 <= outcome.head.status < 300

    # What an attempt calls.

    def events(
        self, head: messages.RunnerHead, data: bytes, count: int
    ) -> bool:
        """Pass whole events on to the caller.

        :returns: False when the caller is far behind.
        """
        self.began()
        self._note_pause()
        if not self._reply.started:
            headers = self._relay.dialect.callers.answer_headers(head)
            self._reply.start(head.status, headers)
        return self._reply.send(data)

    def _note_pause(self) -> None:
        now = self._loop.time()
        if self._last_event_at is not None:
            pause_s = now - self._last_event_at
            self.longest_pause_s = max(self.longest_pause_s, pause_s)
        self._last_event_at = now

    async def drained(self) -> None:
        """Wait while the caller is far behind."""
        await self._reply.drained()

    def began(self) -> None:
        """A runner has begun to run the call; it is counted once."""
        if self.first_s is None:
            self.first_s = self._loop.time() - self._call.received_at
        if not self._counted and self._customer is not None:
            self._counted = True
            self._relay.usage.record_call(self._customer.name)
