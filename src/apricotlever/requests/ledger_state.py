"""A ledger as it travels to its heir, and its JSON form."""

import base64
import json
import typing

from . import entries
from . import errors
from . import messages


class OriginState:
    """One incarnation whose keys the heir takes over.

    :param elapsed_s: the age of the incarnation at the export.
    :param ended_s: how long before the export it stopped minting.
    """

    __slots__ = (
        "owner",
        "secret",
        "elapsed_s",
        "floor_s",
        "may_run",
        "ended_s",
    )

    def __init__(
        self,
        owner: messages.Owner,
        secret: bytes,
        elapsed_s: float,
        floor_s: int,
        may_run: bool,
        ended_s: float,
    ) -> None:
        self.owner = owner
        self.secret = secret
        self.elapsed_s = elapsed_s
        self.floor_s = floor_s
        self.may_run = may_run
        self.ended_s = ended_s


class EntryState:
    """One key of a travelling ledger.

    :param origin: None for a key that the caller made up.
    :param age_s: how long before the export it was begun.
    :param away: the incarnation that still runs the call, or None.
    """

    __slots__ = (
        "customer",
        "key",
        "digest",
        "state",
        "minted_s",
        "origin",
        "age_s",
        "nonce",
        "certain",
        "written",
        "away",
        "answer",
    )

    def __init__(
        self,
        customer: str,
        key: str,
        digest: str,
        state: entries.State,
        minted_s: int,
        origin: messages.Owner | None,
        age_s: float,
        nonce: str,
        certain: bool,
        written: bool,
        away: messages.Owner | None,
        answer: messages.Answer | None,
    ) -> None:
        self.customer = customer
        self.key = key
        self.digest = digest
        self.state = state
        self.minted_s = minted_s
        self.origin = origin
        self.age_s = age_s
        self.nonce = nonce
        self.certain = certain
        self.written = written
        self.away = away
        self.answer = answer


class LedgerState:
    """A whole ledger.

    :param heir: the only incarnation that may adopt it.
    :param may_run: False if another heir may run the keys.
    """

    __slots__ = ("sender", "heir", "may_run", "origins", "entries")

    def __init__(
        self,
        sender: messages.Owner,
        heir: messages.Owner,
        may_run: bool,
        origins: list[OriginState],
        entry_states: list[EntryState],
    ) -> None:
        self.sender = sender
        self.heir = heir
        self.may_run = may_run
        self.origins = origins
        self.entries = entry_states


class Receipt:
    """The heir's word on a ledger that was offered to it.

    :param accepted: False says that this incarnation never adopts it.
    """

    __slots__ = ("sender", "heir", "accepted")

    def __init__(
        self, sender: messages.Owner, heir: messages.Owner, accepted: bool
    ) -> None:
        self.sender = sender
        self.heir = heir
        self.accepted = accepted


class Settled:
    """How a call that was in flight during the handover has ended."""

    __slots__ = ("customer", "key", "state", "answer")

    def __init__(
        self,
        customer: str,
        key: str,
        state: entries.State,
        answer: messages.Answer | None,
    ) -> None:
        self.customer = customer
        self.key = key
        self.state = state
        self.answer = answer


def encode(state: LedgerState) -> bytes:
    """Write a ledger as compact JSON."""
    document = {
        "sender": _owner_out(state.sender),
        "heir": _owner_out(state.heir),
        "may_run": state.may_run,
        "origins": [
            [
                _owner_out(origin.owner),
                origin.secret.hex(),
                origin.elapsed_s,
                origin.floor_s,
                origin.may_run,
                origin.ended_s,
            ]
            for origin in state.origins
        ],
        "entries": [
            [
                entry.customer,
                entry.key,
                entry.digest,
                entry.state.value,
                entry.minted_s,
                _owner_out(entry.origin),
                entry.age_s,
                entry.nonce,
                entry.certain,
                entry.written,
                _owner_out(entry.away),
                answer_out(entry.answer),
            ]
            for entry in state.entries
        ],
    }
    return json.dumps(document, separators=(",", ":")).encode()


def decode(data: bytes) -> LedgerState:
    """Read what :func:`encode` wrote.

    :raises HandoverInvalid: if it isn't such a document.
    """
    try:
        document = json.loads(data)
        return LedgerState(
            _owner(document["sender"]),
            _owner(document["heir"]),
            bool(document["may_run"]),
            [_origin(row) for row in document["origins"]],
            [_entry(row) for row in document["entries"]],
        )
    except (ValueError, KeyError, TypeError) as error:
        raise errors.HandoverInvalid(f"unreadable ledger ({error})") from error


def encode_settled(settled: list[Settled]) -> bytes:
    """Write late outcomes as compact JSON."""
    rows = [
        [item.customer, item.key, item.state.value, answer_out(item.answer)]
        for item in settled
    ]
    return json.dumps(rows, separators=(",", ":")).encode()


def decode_settled(data: bytes) -> list[Settled]:
    """Read what :func:`encode_settled` wrote.

    :raises HandoverInvalid: if it isn't such a document.
    """
    try:
        return [
            Settled(customer, key, entries.State(state), answer_in(answer))
            for customer, key, state, answer in json.loads(data)
        ]
    except (ValueError, KeyError, TypeError) as error:
        raise errors.HandoverInvalid(
            f"unreadable outcomes ({error})"
        ) from error


def _owner_out(owner: messages.Owner | None) -> list[typing.Any] | None:
    return None if owner is None else [owner.vm, owner.incarnation]


def answer_out(answer: messages.Answer | None) -> list[typing.Any] | None:
    """Turn an answer into what JSON can hold."""
    if answer is None:
        return None
    return [
        answer.status,
        answer.headers,
        base64.b64encode(answer.body).decode(),
    ]


def _owner(row: typing.Any) -> messages.Owner:
    vm, incarnation = row
    return messages.Owner(str(vm), int(incarnation))


def answer_in(row: typing.Any) -> messages.Answer | None:
    """Turn back what :func:`answer_out` made."""
    if row is None:
        return None
    status, headers, body = row
    pairs = tuple((str(name), str(value)) for name, value in headers)
    return messages.Answer(int(status), pairs, base64.b64decode(body))


def _origin(row: typing.Any) -> OriginState:
    owner, secret, elapsed_s, floor_s, may_run, ended_s = row
    return OriginState(
        _owner(owner),
        bytes.fromhex(secret),
        elapsed_s,
        floor_s,
        may_run,
        ended_s,
    )


def _entry(row: typing.Any) -> EntryState:
    customer, key, digest, state, minted_s, origin, age_s, *rest = row
    nonce, certain, written, away, answer = rest
    return EntryState(
        customer,
        key,
        digest,
        entries.State(state),
        minted_s,
        origin and _owner(origin),
        age_s,
        nonce,
        certain,
        written,
        away and _owner(away),
        answer_in(answer),
    )
