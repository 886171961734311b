"""Runs calls of plain services, non-idempotent ones at most once.

A non-idempotent call runs under an idempotency key. The key's owner is the
entry VM whose ledger decides whether the call with this key runs.
"""

from concurrent import futures
import functools
import typing

from .. import refusals
from ..links import peer_link
from ..links import peer_pb2 as pb
from ..requests import ledger_messages
from ..runners import model as runners

from . import context as contexts
from . import fleet_messages
from . import keyed_answer_codec
from . import ledger_task
from . import service_attempts
from . import service_request

#: Seconds that the owner of a key may take in addition to the run, to connect
#: to the service.
FORWARD_GRACE_S = 3.0

_REFUSAL_KINDS = {
    ledger_messages.KeyRefusalReason.MALFORMED: refusals.BAD_REQUEST,
    ledger_messages.KeyRefusalReason.NOT_YOURS: refusals.KEY_CONFLICT,
    ledger_messages.KeyRefusalReason.CONFLICT: refusals.KEY_CONFLICT,
    ledger_messages.KeyRefusalReason.EXPIRED: refusals.KEY_EXPIRED,
    ledger_messages.KeyRefusalReason.MOVING: refusals.LEAVING,
    ledger_messages.KeyRefusalReason.LEAVING: refusals.LEAVING,
    ledger_messages.KeyRefusalReason.FULL: refusals.OVERLOADED,
    ledger_messages.KeyRefusalReason.STORE_DOWN: refusals.CLAIMS_UNAVAILABLE,
    ledger_messages.KeyRefusalReason.CLAIMS_FULL: refusals.CLAIMS_UNAVAILABLE,
}


class ServiceCalls:
    """Runs calls of plain services, here or at the entry VM that owns the key.

    :param context: the daemon's tasks.
    """

    __slots__ = ("_context",)

    def __init__(self, context: contexts.Context) -> None:
        self._context = context

    def run(
        self, request: service_request.ServiceRequest
    ) -> ledger_messages.Answer:
        """Run an idempotent call, with retries at other upstreams.

        :param request: the call.
        :returns: the answer of the upstream.
        :raises Refusal: when no upstream answered.
        """
        attempts = service_attempts.ServiceAttempts(self._context, request)
        return _run_and_report(attempts, attempts.run_idempotent)

    def run_keyed(
        self,
        request: service_request.ServiceRequest,
        key: str,
        first_attempt: bool,
        forwarded: bool = False,
    ) -> ledger_messages.Answer:
        """Run a call at most once under a key, here or at the key's owner.

        :param request: the call.
        :param key: the idempotency key.
        :param first_attempt: whether the caller declares that it has not sent
            the key before.
        :param forwarded: whether another entry VM forwarded the call.
        :returns: the answer of the upstream, possibly of an earlier run.
        :raises Refusal: states correctly whether the call was executed.
        """
        begin = ledger_task.BeginCall(
            key, request.customer, request.digest, first_attempt, forwarded
        )
        remaining_s = request.deadline - self._context.clock.now()
        try:
            decision = self._context.ledger.ask(begin).result(
                max(0.1, remaining_s)
            )
        except futures.TimeoutError as error:
            raise refusals.Refusal(
                refusals.OUTCOME_UNKNOWN,
                "a call with this key is still in progress",
                refusals.Executed.UNKNOWN,
                1.0,
                request.request_id,
            ) from error
        if isinstance(decision, ledger_messages.ReplayAnswer):
            return decision.answer
        if isinstance(decision, ledger_messages.ForwardCall):
            return self._forward(request, key, decision)
        if isinstance(decision, ledger_messages.RefuseCall):
            raise _refusal_of(request, decision)
        attempts = service_attempts.ServiceAttempts(self._context, request)
        run = functools.partial(attempts.run_at_most_once, decision.token)
        return _run_and_report(attempts, run)

    def _forward(
        self,
        request: service_request.ServiceRequest,
        key: str,
        forward: ledger_messages.ForwardCall,
    ) -> ledger_messages.Answer:
        """Forward a call to the entry VM that owns its key.

        The owner alone decides whether the call runs. If its answer is lost
        on the way, the caller can repeat the call, and it will not run twice.

        :param request: the call.
        :param key: the idempotency key.
        :param forward: the ledger's decision, which names the owner.
        :returns: the owner's answer.
        :raises Refusal: the owner's refusal, or an unknown outcome when the
            owner does not answer.
        """
        remaining_s = request.deadline - self._context.clock.now()
        # An owner that never answers would hold the caller until the
        # deadline. After wait_s the caller gets OUTCOME_UNKNOWN instead and
        # may repeat the call.
        wait_s = max(
            0.1, min(remaining_s, request.response_timeout_s + FORWARD_GRACE_S)
        )
        message = pb.KeyedCall(
            request_id=request.request_id,
            key=key,
            customer=request.customer,
            entry=request.entry.name,
            method=request.method,
            path=request.path,
            headers=request.headers,
            body=request.body,
            deadline_s=remaining_s,
        )
        call = fleet_messages.CallPeer(
            forward.vm,
            forward.incarnation,
            "Run",
            message,
            wait_s,
        )
        try:
            reply = self._context.fleet.ask(call).result(wait_s + 1.0)
        except (peer_link.PeerError, futures.TimeoutError) as error:
            raise refusals.Refusal(
                refusals.OUTCOME_UNKNOWN,
                "the entry VM that owns the key did not answer",
                refusals.Executed.UNKNOWN,
                1.0,
                request.request_id,
            ) from error
        return keyed_answer_codec.decode_answer(reply)


def _run_and_report(
    attempts: service_attempts.ServiceAttempts,
    run: typing.Callable[[], ledger_messages.Answer],
) -> ledger_messages.Answer:
    """Run attempts, and report the end of the request even after a refusal.

    :param attempts: reports the end.
    :param run: makes the attempts.
    :raises Refusal: when ``run`` raises it.
    """
    try:
        answer = run()
    except refusals.Refusal:
        attempts.report_end(runners.Outcome.FAILED)
        raise
    attempts.report_end(runners.Outcome.DONE)
    return answer


def _refusal_of(
    request: service_request.ServiceRequest,
    decision: ledger_messages.RefuseCall,
) -> refusals.Refusal:
    kind = _REFUSAL_KINDS.get(decision.reason, refusals.OUTCOME_UNKNOWN)
    return refusals.Refusal(
        kind,
        f"not run: {decision.reason.value}",
        refusals.Executed(decision.executed.value),
        decision.retry_after_s,
        request.request_id,
    )
