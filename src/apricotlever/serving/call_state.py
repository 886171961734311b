"""What the attempts at one call share, and how a call ends without any."""

import asyncio

from ..runners import model as models
from ..runners import silence_detector

from . import call_context
from . import call_placement
from . import configuration_model
from . import event_splitter
from . import forwarding_protocol
from . import messages
from . import response_room

#: A call that may be repeated waits for a runner's response to begin for this
#: multiple of the route's objective, and at least as long as a sound runner
#: may be silent if the deadline allows it, else for this many seconds or more.
FIRST_RESPONSE_OBJECTIVE_FACTOR = 2.5
MIN_FIRST_RESPONSE_TIMEOUT_S = 0.6
#: Share of the call's remaining time that the wait for the start of a response
#: must stay below, so that the rest suffices for a second runner; otherwise
#: the wait ends only at the deadline.
FIRST_ATTEMPT_SHARE = 0.7
#: The reason why a call ends whose time is over.
DEADLINE = "deadline"


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


class CallState:
    """One call, and how far its attempts have come.

    :param context: what all calls of this VM share.
    :param service: the service whose runners may run the call.
    :param forwarded: what the VM said that has forwarded the call to this one;
        None for a call of this VM's own callers.
    """

    __slots__ = (
        "call",
        "context",
        "customer",
        "deadline",
        "forwarded",
        "helper",
        "is_counted",
        "may_have_run",
        "origin",
        "placement",
        "reason",
        "reservation",
        "route",
        "runner_id",
        "sends",
        "service",
        "splitter",
        "stream_begun",
        "_loop",
    )

    def __init__(
        self,
        context: call_context.CallContext,
        call: messages.CallerCall,
        route: configuration_model.Route,
        customer: configuration_model.Customer | None,
        service: str,
        forwarded: forwarding_protocol.ForwardedCall | None = None,
    ) -> None:
        self._loop = asyncio.get_running_loop()
        self.context = context
        #: Room for the whole response.
        self.reservation = response_room.Reservation(context.responses)
        self.call = call
        self.route = route
        self.customer = customer
        self.service = service
        self.forwarded = forwarded
        self.placement = call_placement.CallPlacement(
            context.upstreams, call, route, service, customer
        )
        wait_s = route.timeout_s
        if call.caller_timeout_s is not None:
            wait_s = min(wait_s, call.caller_timeout_s)
        #: When the call ends, on the event loop's clock.
        self.deadline = call.received_at + wait_s
        #: Checks the order of the events, over all attempts.
        self.splitter = event_splitter.EventSplitter(call.last_event_id)
        #: Number of runners to which the call was sent. A helper counts as one
        #: unless it tells more.
        self.sends = forwarded.sends if forwarded is not None else 0
        #: Whether a runner may have run the call or may be running it. A call
        #: that was forwarded to this VM may have run before, in addition.
        self.may_have_run = False
        #: Whether the allowance of retries of some VM counts the request.
        self.is_counted = forwarded is not None and forwarded.counted
        #: Whether the caller has a part of the response, so that only a stream
        #: that goes on is of use.
        self.stream_begun = forwarded is not None and forwarded.stream_begun
        #: Where the stream began of which the caller has a part; None if it
        #: has no part yet.
        self.origin: models.StreamOrigin | None = None
        if forwarded is not None and forwarded.origin is not None:
            self.continue_at(models.StreamOrigin(*forwarded.origin))
        #: Why no runner's response was delivered; "" if one was.
        self.reason = ""
        self.runner_id: str | None = None
        #: The VM to which the call was forwarded last; None for none.
        self.helper: str | None = None

    @property
    def left_s(self) -> float:
        """Seconds until the deadline."""
        return self.deadline - self._loop.time()

    @property
    def needs_helper(self) -> bool:
        """Whether the next attempt must be that of another VM.

        A call that was forwarded to this VM never goes to a third one.
        """
        return self.forwarded is None and self.context.helpers.are_needed

    @property
    def can_repeat(self) -> bool:
        """Whether a call that may have run may be sent once more."""
        if not self.route.is_repeatable:
            return False
        if self.sends >= self.route.max_attempts:
            return False
        # A helper counts the retry.
        return self.needs_helper or self.context.budget.may_retry(self.service)

    def stream_began(self, version: str) -> None:
        """Record that the caller receives the first event of this call.

        :param version: of the runner that sent it.
        """
        self.stream_begun = True
        if self.origin is None:
            self.continue_at(models.StreamOrigin(self.service, version))

    def may_continue_at(self, origin: models.StreamOrigin) -> bool:
        """Whether the route leads to the service that began the stream."""
        return any(origin.service == name for name, _ in self.route.targets)

    def continue_at(self, origin: models.StreamOrigin) -> None:
        """Continue the call only at runners like the one that began it."""
        self.origin = origin
        self.service = origin.service
        self.placement.continue_at(origin)

    def first_response_timeout_s(self, factor: float = 1.0) -> float | None:
        """How long to wait for the response to begin, in seconds.

        Only this timeout detects a runner that hangs or a silently dropped
        connection before the deadline. It is None if the call must not be
        repeated, or if too little time would be left for another runner. A
        sound runner that is silent for a second runs the call all the same,
        so it is waited for where another one could still answer afterwards.

        :param factor: multiplies the time that a runner has, as far as the
            rest suffices for a second attempt.
        """
        if not self.can_repeat:
            return None
        objective_wait_s = (
            FIRST_RESPONSE_OBJECTIVE_FACTOR * self.route.objective_s
        )
        wait_s = max(MIN_FIRST_RESPONSE_TIMEOUT_S, objective_wait_s)
        limit_s = FIRST_ATTEMPT_SHARE * self.left_s
        if wait_s >= limit_s:
            return None
        wait_s = max(factor * wait_s, silence_detector.MAX_SOUND_SILENCE_S)
        return min(wait_s, limit_s)

    def not_served(
        self, reason: str, retry_after_s: float | None = None
    ) -> NotServed:
        """The error that ends the call, with what it promises.

        :param retry_after_s: None to derive it from the runners.
        """
        self.reason = reason
        if self.may_have_run:
            return NotServed(504 if reason == DEADLINE else 502, reason)
        if retry_after_s is None:
            retry_after_s = self.placement.retry_after_s()
        return NotServed(503, reason, retry_after_s)
