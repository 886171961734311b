"""Converts answers to keyed calls to and from peer messages.

A keyed call has an idempotency key, so that it runs at most once. An entry VM
forwards it to the VM that owns the key, whose ledger decides on the call.
"""

from .. import refusals
from ..links import peer_pb2 as pb
from ..requests import ledger_messages

_EXECUTED_FROM_WIRE = {
    pb.EXECUTED_UNKNOWN: refusals.Executed.UNKNOWN,
    pb.EXECUTED_NO: refusals.Executed.NO,
    pb.EXECUTED_YES: refusals.Executed.YES,
}
_EXECUTED_TO_WIRE = {
    executed: code for code, executed in _EXECUTED_FROM_WIRE.items()
}


def decode_answer(message: pb.KeyedAnswer) -> ledger_messages.Answer:
    """Decode the answer of the entry VM that owns a key.

    :param message: the owner's message.
    :raises Refusal: when the message holds a refusal.
    """
    if message.error_type:
        raise refusals.Refusal(
            refusals.kinds().get(message.error_type, refusals.INTERNAL),
            "refused by the entry VM that owns the key",
            _EXECUTED_FROM_WIRE[message.executed],
            message.retry_after_s or None,
            message.request_id,
        )
    headers = (("Content-Type", message.content_type),)
    return ledger_messages.Answer(message.status, headers, message.body)


def encode_answer(
    request_id: str, answer: ledger_messages.Answer
) -> pb.KeyedAnswer:
    """Encode an answer for the entry VM that forwarded the call.

    :param request_id: the request's ID.
    :param answer: the answer.
    """
    return pb.KeyedAnswer(
        request_id=request_id,
        executed=pb.EXECUTED_YES,
        status=answer.status,
        content_type=dict(answer.headers).get("Content-Type", ""),
        body=answer.body,
    )


def encode_refusal(
    request_id: str, refusal: refusals.Refusal
) -> pb.KeyedAnswer:
    """Encode a refusal for the entry VM that forwarded the call.

    :param request_id: the request's ID.
    :param refusal: the refusal.
    """
    return pb.KeyedAnswer(
        request_id=request_id,
        executed=_EXECUTED_TO_WIRE[refusal.executed],
        error_type=refusal.kind.name,
        retry_after_s=refusal.retry_after_s or 0.0,
    )
