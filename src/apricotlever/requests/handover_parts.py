"""Encoding of the messages in which a leaving entry VM hands over its work.

A part is one such message, of limited size. It carries request records, a
piece of the ledger of idempotency keys, or outcomes of keyed calls that ended
after the ledger was exported. Each part with records is usable by itself. The
parts of a ledger are usable only together: a VM with half of a ledger would
run keys whose entries are in the other half.
"""

import base64
import enum
import itertools
import json
import typing

from . import errors
from . import ledger_messages
from . import ledger_state
from . import records

PART_BYTES = 256_000
RECORD_OVERHEAD_BYTES = 400


class PartKind(enum.StrEnum):
    """The kind of content in a handover part."""

    RECORDS = "records"
    LEDGER = "ledger"
    OUTCOMES = "outcomes"


class Part:
    """One message of a handover between two VM incarnations.

    :param sender: the incarnation that is leaving.
    :param successor: the incarnation that takes over the content.
    :param sequence: number of the part among all parts of its sender.
    :param index: position of the part in its group, from 0. The parts of one
        exported ledger form a group; any other part is a group by itself.
    :param count: number of parts in the group.
    :param payload: the encoded content.
    """

    __slots__ = (
        "sender",
        "successor",
        "kind",
        "sequence",
        "index",
        "count",
        "payload",
    )

    def __init__(
        self,
        sender: ledger_messages.VmIncarnation,
        successor: ledger_messages.VmIncarnation,
        kind: PartKind,
        sequence: int,
        index: int,
        count: int,
        payload: bytes,
    ) -> None:
        self.sender = sender
        self.successor = successor
        self.kind = kind
        self.sequence = sequence
        self.index = index
        self.count = count
        self.payload = payload


def encode(part: Part) -> bytes:
    """Encode a part as one line of JSON followed by the payload."""
    head = [
        part.sender.vm,
        part.sender.incarnation,
        part.successor.vm,
        part.successor.incarnation,
        part.kind.value,
        part.sequence,
        part.index,
        part.count,
    ]
    return json.dumps(head).encode() + b"\n" + part.payload


def decode(data: bytes) -> Part:
    """Decode a handover part from the output of :func:`encode`.

    :raises HandoverInvalid: if the data is not an encoded part.
    """
    head, _, payload = data.partition(b"\n")
    try:
        vm, incarnation, successor, successor_incarnation, kind, *numbers = (
            json.loads(head)
        )
        sequence, index, count = map(int, numbers)
        return Part(
            ledger_messages.VmIncarnation(str(vm), int(incarnation)),
            ledger_messages.VmIncarnation(
                str(successor), int(successor_incarnation)
            ),
            PartKind(kind),
            sequence,
            index,
            count,
            payload,
        )
    except (ValueError, TypeError) as error:
        raise errors.HandoverInvalid(
            f"can't decode the part: {error}"
        ) from error


def split_payload(payload: bytes, part_bytes: int = PART_BYTES) -> list[bytes]:
    """Split an encoded ledger into payloads for parts of limited size.

    :param part_bytes: maximum size of a payload.
    :returns: at least one payload, which is empty for an empty input.
    """
    starts = range(0, max(1, len(payload)), part_bytes)
    return [payload[start : start + part_bytes] for start in starts]


def group_records(
    rows: typing.Sequence[records.RequestRecord], part_bytes: int = PART_BYTES
) -> list[list[records.RequestRecord]]:
    """Group records so that the encoding of each group fills about one part.

    A record that is larger than a part gets a group of its own.

    :param part_bytes: estimated size of a group's encoding.
    """
    ends = itertools.accumulate(
        RECORD_OVERHEAD_BYTES + 2 * record.size_bytes for record in rows
    )
    grouped = itertools.groupby(
        zip(rows, ends), key=lambda pair: pair[1] // part_bytes
    )
    return [[record for record, _ in pairs] for _, pairs in grouped]


def encode_records(rows: typing.Iterable[records.RequestRecord]) -> bytes:
    """Encode request records as the compact JSON payload of a part."""
    document = [
        [
            record.request_id,
            record.customer,
            record.entry,
            record.path,
            base64.b64encode(record.body).decode(),
            record.chat,
            record.tokens,
            record.attempt,
            record.runner,
            record.state.value,
            _encode_outcome(record.outcome),
            record.moved_to,
        ]
        for record in rows
    ]
    return json.dumps(document, separators=(",", ":")).encode()


def decode_records(data: bytes) -> list[records.RequestRecord]:
    """Decode request records from the output of :func:`encode_records`.

    :raises HandoverInvalid: if the data is not a list of records.
    """
    try:
        return [_decode_record(row) for row in json.loads(data)]
    except (ValueError, TypeError) as error:
        raise errors.HandoverInvalid(
            f"can't decode the records: {error}"
        ) from error


def _encode_outcome(
    outcome: records.RequestOutcome | None,
) -> list[typing.Any] | None:
    if outcome is None:
        return None
    answer = ledger_state.encode_answer(outcome.answer)
    return [outcome.executed.value, outcome.error, answer]


def _decode_outcome(row: typing.Any) -> records.RequestOutcome | None:
    if row is None:
        return None
    executed, error, answer = row
    return records.RequestOutcome(
        ledger_messages.Executed(executed),
        error,
        ledger_state.decode_answer(answer),
    )


def _decode_record(row: typing.Any) -> records.RequestRecord:
    request_id, customer, entry, path, body, chat, *rest = row
    tokens, attempt, runner, state, outcome, moved_to = rest
    record = records.RequestRecord(
        request_id, customer, entry, path, base64.b64decode(body), chat, 0.0
    )
    record.tokens = list(tokens)
    record.attempt = attempt
    record.runner = runner
    record.state = records.RequestState(state)
    record.outcome = _decode_outcome(outcome)
    record.moved_to = moved_to
    return record
