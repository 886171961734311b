"""Keyed answers and refusals as messages between entry VMs, and back."""

from .. import refusals
from ..links import peer_pb2 as pb
from ..requests import ledger_messages as keyed

_EXECUTED_IN = {
    pb.EXECUTED_UNKNOWN: refusals.Executed.UNKNOWN,
    pb.EXECUTED_NO: refusals.Executed.NO,
    pb.EXECUTED_YES: refusals.Executed.YES,
}
_EXECUTED_OUT = {executed: code for code, executed in _EXECUTED_IN.items()}


def answer_of(message: pb.KeyedAnswer) -> keyed.Answer:
    """The answer that the owner of a key gave.

    :raises Refusal: the one that the owner met.
    """
    if message.error_type:
        raise refusals.Refusal(
            refusals.kinds().get(message.error_type, refusals.INTERNAL),
            "refused by the entry VM that owns the key",
            _EXECUTED_IN[message.executed],
            message.retry_after_s or None,
            message.request_id,
        )
    headers = (("Content-Type", message.content_type),)
    return keyed.Answer(message.status, headers, message.body)


def message_of(request_id: str, answer: keyed.Answer) -> pb.KeyedAnswer:
    """An answer for the entry VM that forwarded the call."""
    return pb.KeyedAnswer(
        request_id=request_id,
        executed=pb.EXECUTED_YES,
        status=answer.status,
        content_type=dict(answer.headers).get("Content-Type", ""),
        body=answer.body,
    )


def refusal_message(
    request_id: str, refusal: refusals.Refusal
) -> pb.KeyedAnswer:
    """A refusal for the entry VM that forwarded the call."""
    return pb.KeyedAnswer(
        request_id=request_id,
        executed=_EXECUTED_OUT[refusal.executed],
        error_type=refusal.kind.name,
        retry_after_s=refusal.retry_after_s or 0.0,
    )
