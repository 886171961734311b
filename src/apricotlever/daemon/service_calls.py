"""Calls of plain services, idempotent or run at most once."""

from concurrent import futures
import functools
import typing

from .. import refusals
from ..links import peer_link
from ..links import peer_pb2 as pb
from ..requests import ledger_messages as keyed
from ..runners import model as runners

from . import book
from . import context as contexts
from . import fleet_messages
from . import keyed_answers
from . import service_attempts
from . import service_request

#: What the owner of a key may need besides the run: its own connecting.
FORWARD_GRACE_S = 3.0

_REASONS = {
    keyed.KeyRefusalReason.MALFORMED: refusals.BAD_REQUEST,
    keyed.KeyRefusalReason.NOT_YOURS: refusals.KEY_CONFLICT,
    keyed.KeyRefusalReason.CONFLICT: refusals.KEY_CONFLICT,
    keyed.KeyRefusalReason.EXPIRED: refusals.KEY_EXPIRED,
    keyed.KeyRefusalReason.MOVING: refusals.LEAVING,
    keyed.KeyRefusalReason.LEAVING: refusals.LEAVING,
    keyed.KeyRefusalReason.FULL: refusals.OVERLOADED,
    keyed.KeyRefusalReason.STORE_DOWN: refusals.CLAIMS_UNAVAILABLE,
    keyed.KeyRefusalReason.CLAIMS_FULL: refusals.CLAIMS_UNAVAILABLE,
}


class ServiceCalls:
    """Runs calls of plain services for their callers.

    :param context: the daemon's tasks.
    """

    __slots__ = ("_context",)

    def __init__(self, context: contexts.Context) -> None:
        self._context = context

    def run(self, request: service_request.ServiceRequest) -> keyed.Answer:
        """Run an idempotent call, again elsewhere if it fails.

        :raises Refusal: when no upstream gave an answer.
        """
        attempts = service_attempts.Attempts(self._context, request)
        return _ended(attempts, attempts.until_answered)

    def run_keyed(
        self,
        request: service_request.ServiceRequest,
        key: str,
        first: bool,
        forwarded: bool = False,
    ) -> keyed.Answer:
        """Run a call at most once under a key, here or at its owner.

        :param first: the caller vouches that it never sent the key before.
        :param forwarded: another entry VM sent it here.
        :raises Refusal: says truly whether the call ran.
        """
        begin = book.Begin(
            key, request.customer, request.digest, first, forwarded
        )
        left_s = request.deadline - self._context.clock.now()
        try:
            decision = self._context.book.ask(begin).result(max(0.1, left_s))
        except futures.TimeoutError as error:
            raise refusals.Refusal(
                refusals.OUTCOME_UNKNOWN,
                "a call under this key is still being run",
                refusals.Executed.UNKNOWN,
                1.0,
                request.request_id,
            ) from error
        if isinstance(decision, keyed.ReplayAnswer):
            return decision.answer
        if isinstance(decision, keyed.ForwardCall):
            return self._forward(request, key, decision)
        if isinstance(decision, keyed.RefuseCall):
            raise _refused(request, decision)
        attempts = service_attempts.Attempts(self._context, request)
        once = functools.partial(attempts.once, decision.token)
        return _ended(attempts, once)

    def _forward(
        self,
        request: service_request.ServiceRequest,
        key: str,
        forward: keyed.ForwardCall,
    ) -> keyed.Answer:
        """Let the owner of the key run the call.

        The owner alone decides, so an answer that is lost on the way can be
        asked for again; it will not run the call twice.
        """
        left_s = request.deadline - self._context.clock.now()
        # An owner that is silent for good would hold the caller until its
        # deadline; it is told sooner that nobody knows, and may ask again.
        wait_s = max(0.1, min(left_s, request.patience_s + FORWARD_GRACE_S))
        message = pb.KeyedCall(
            request_id=request.request_id,
            key=key,
            customer=request.customer,
            entry=request.entry.name,
            method=request.method,
            path=request.path,
            headers=request.headers,
            body=request.body,
            deadline_s=left_s,
        )
        call = fleet_messages.CallPeer(
            forward.vm,
            forward.incarnation,
            "Run",
            message,
            wait_s,
        )
        try:
            answer = self._context.fleet.ask(call).result(wait_s + 1.0)
        except (peer_link.PeerError, futures.TimeoutError) as error:
            raise refusals.Refusal(
                refusals.OUTCOME_UNKNOWN,
                "the entry VM that owns the key can't be reached",
                refusals.Executed.UNKNOWN,
                1.0,
                request.request_id,
            ) from error
        return keyed_answers.answer_of(answer)


def _ended(
    attempts: service_attempts.Attempts,
    run: typing.Callable[[], keyed.Answer],
) -> keyed.Answer:
    """Run attempts, and report the end of the request either way."""
    try:
        answer = run()
    except refusals.Refusal:
        attempts.end(runners.Outcome.FAILED)
        raise
    attempts.end(runners.Outcome.DONE)
    return answer


def _refused(
    request: service_request.ServiceRequest, decision: keyed.RefuseCall
) -> refusals.Refusal:
    kind = _REASONS.get(decision.reason, refusals.OUTCOME_UNKNOWN)
    return refusals.Refusal(
        kind,
        f"not run: {decision.reason.value}",
        refusals.Executed(decision.executed.value),
        decision.retry_after_s,
        request.request_id,
    )
