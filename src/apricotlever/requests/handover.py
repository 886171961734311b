"""What a leaving entry VM sends to its peers, cut into bounded parts.

A part of records stands for itself. The parts of a ledger count only
together: half a ledger would run keys that the other half knows of.
"""

import base64
import enum
import itertools
import json
import typing

from . import errors
from . import ledger_state
from . import messages
from . import records

PART_BYTES = 256_000
RECORD_BYTES = 400


class Kind(enum.StrEnum):
    """What a part carries."""

    RECORDS = "records"
    LEDGER = "ledger"
    OUTCOMES = "outcomes"


class Part:
    """One message of a handover.

    :param sequence: numbers the parts of one sender, all kinds together.
    :param index: of this part among ``count`` that belong together.
    """

    __slots__ = (
        "sender",
        "heir",
        "kind",
        "sequence",
        "index",
        "count",
        "payload",
    )

    def __init__(
        self,
        sender: messages.Owner,
        heir: messages.Owner,
        kind: Kind,
        sequence: int,
        index: int,
        count: int,
        payload: bytes,
    ) -> None:
        self.sender = sender
        self.heir = heir
        self.kind = kind
        self.sequence = sequence
        self.index = index
        self.count = count
        self.payload = payload


def encode(part: Part) -> bytes:
    """Write a part: a line of JSON, then the payload."""
    head = [
        part.sender.vm,
        part.sender.incarnation,
        part.heir.vm,
        part.heir.incarnation,
        part.kind.value,
        part.sequence,
        part.index,
        part.count,
    ]
    return json.dumps(head).encode() + b"\n" + part.payload


def decode(data: bytes) -> Part:
    """Read what :func:`encode` wrote.

    :raises HandoverInvalid: if it isn't a part.
    """
    head, _, payload = data.partition(b"\n")
    try:
        vm, incarnation, heir, heir_incarnation, kind, *numbers = json.loads(
            head
        )
        sequence, index, count = map(int, numbers)
        return Part(
            messages.Owner(str(vm), int(incarnation)),
            messages.Owner(str(heir), int(heir_incarnation)),
            Kind(kind),
            sequence,
            index,
            count,
            payload,
        )
    except (ValueError, TypeError) as error:
        raise errors.HandoverInvalid(f"unreadable part ({error})") from error


def cut(payload: bytes, part_bytes: int = PART_BYTES) -> list[bytes]:
    """Cut a payload into pieces; an empty one gives one empty piece."""
    starts = range(0, max(1, len(payload)), part_bytes)
    return [payload[start : start + part_bytes] for start in starts]


def group(
    rows: typing.Sequence[records.Record], part_bytes: int = PART_BYTES
) -> list[list[records.Record]]:
    """Group records so that each group's encoding is about a part.

    A record that is larger than a part travels alone.
    """
    ends = itertools.accumulate(
        RECORD_BYTES + 2 * record.size_bytes for record in rows
    )
    grouped = itertools.groupby(
        zip(rows, ends), key=lambda pair: pair[1] // part_bytes
    )
    return [[record for record, _ in pairs] for _, pairs in grouped]


def encode_records(rows: typing.Iterable[records.Record]) -> bytes:
    """Write records as compact JSON."""
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
            _outcome_out(record.outcome),
            record.moved_to,
        ]
        for record in rows
    ]
    return json.dumps(document, separators=(",", ":")).encode()


def decode_records(data: bytes) -> list[records.Record]:
    """Read what :func:`encode_records` wrote.

    :raises HandoverInvalid: if it isn't such a document.
    """
    try:
        return [_record(row) for row in json.loads(data)]
    except (ValueError, TypeError) as error:
        raise errors.HandoverInvalid(
            f"unreadable records ({error})"
        ) from error


def _outcome_out(
    outcome: records.Outcome | None,
) -> list[typing.Any] | None:
    if outcome is None:
        return None
    answer = ledger_state.answer_out(outcome.answer)
    return [outcome.executed.value, outcome.error, answer]


def _outcome(row: typing.Any) -> records.Outcome | None:
    if row is None:
        return None
    executed, error, answer = row
    return records.Outcome(
        messages.Executed(executed), error, ledger_state.answer_in(answer)
    )


def _record(row: typing.Any) -> records.Record:
    request_id, customer, entry, path, body, chat, *rest = row
    tokens, attempt, runner, state, outcome, moved_to = rest
    record = records.Record(
        request_id, customer, entry, path, base64.b64decode(body), chat, 0.0
    )
    record.tokens = list(tokens)
    record.attempt = attempt
    record.runner = runner
    record.state = records.State(state)
    record.outcome = _outcome(outcome)
    record.moved_to = moved_to
    return record
