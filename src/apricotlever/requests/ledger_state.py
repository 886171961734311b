"""The state of a ledger sent to its successor, and its JSON encoding.

A leaving entry VM sends its ledger of idempotency keys to one other VM, the
successor, which decides on the keys from then on. VMs don't share a monotonic
clock, so the state holds durations up to the export instead of times.
"""

import base64
import json
import typing

from . import errors
from . import ledger_entries
from . import ledger_messages


class KeyIssuerState:
    """A VM incarnation whose keys the successor takes over.

    :param owner: the incarnation that minted the keys.
    :param secret: the secret that authenticates its keys.
    :param elapsed_s: seconds from the incarnation's start to the export.
    :param forgotten_until_s: mint time, in seconds since the incarnation's
        start, up to which an unseen key may have had a dropped entry.
    :param may_run: False if another successor may run the keys.
    :param ended_s: seconds from the end of its minting to the export.
    """

    __slots__ = (
        "owner",
        "secret",
        "elapsed_s",
        "forgotten_until_s",
        "may_run",
        "ended_s",
    )

    def __init__(
        self,
        owner: ledger_messages.VmIncarnation,
        secret: bytes,
        elapsed_s: float,
        forgotten_until_s: int,
        may_run: bool,
        ended_s: float,
    ) -> None:
        self.owner = owner
        self.secret = secret
        self.elapsed_s = elapsed_s
        self.forgotten_until_s = forgotten_until_s
        self.may_run = may_run
        self.ended_s = ended_s


class EntryState:
    """The exported entry of one key.

    :param issuer: the incarnation that minted the key; None for a key chosen
        by the caller.
    :param age_s: seconds from the entry's last update to the export.
    :param running_on: the incarnation that still runs the call, or None.

    The other parameters are those of :class:`ledger_entries.Entry`.
    """

    __slots__ = (
        "customer",
        "key",
        "digest",
        "state",
        "minted_s",
        "issuer",
        "age_s",
        "nonce",
        "claim_held",
        "maybe_claimed",
        "running_on",
        "answer",
    )

    def __init__(
        self,
        customer: str,
        key: str,
        digest: str,
        state: ledger_entries.RunState,
        minted_s: int,
        issuer: ledger_messages.VmIncarnation | None,
        age_s: float,
        nonce: str,
        claim_held: bool,
        maybe_claimed: bool,
        running_on: ledger_messages.VmIncarnation | None,
        answer: ledger_messages.Answer | None,
    ) -> None:
        self.customer = customer
        self.key = key
        self.digest = digest
        self.state = state
        self.minted_s = minted_s
        self.issuer = issuer
        self.age_s = age_s
        self.nonce = nonce
        self.claim_held = claim_held
        self.maybe_claimed = maybe_claimed
        self.running_on = running_on
        self.answer = answer


class LedgerState:
    """The complete exported state of a ledger.

    :param sender: the incarnation that exports its ledger.
    :param successor: the only incarnation that may adopt the ledger.
    :param may_run: False if another successor may run the keys.
    """

    __slots__ = ("sender", "successor", "may_run", "issuers", "entries")

    def __init__(
        self,
        sender: ledger_messages.VmIncarnation,
        successor: ledger_messages.VmIncarnation,
        may_run: bool,
        issuers: list[KeyIssuerState],
        entry_states: list[EntryState],
    ) -> None:
        self.sender = sender
        self.successor = successor
        self.may_run = may_run
        self.issuers = issuers
        self.entries = entry_states


class LedgerReceipt:
    """The successor's answer to a ledger that was sent to it.

    :param sender: the incarnation that exported the ledger.
    :param successor: the incarnation that answers.
    :param accepted: whether the successor adopted the ledger; if False, that
        incarnation will never adopt it.
    """

    __slots__ = ("sender", "successor", "accepted")

    def __init__(
        self,
        sender: ledger_messages.VmIncarnation,
        successor: ledger_messages.VmIncarnation,
        accepted: bool,
    ) -> None:
        self.sender = sender
        self.successor = successor
        self.accepted = accepted


class SettledCall:
    """The outcome of a keyed call that was in flight during the handover.

    :param state: the outcome.
    :param answer: the complete answer, or None if there is none.
    """

    __slots__ = ("customer", "key", "state", "answer")

    def __init__(
        self,
        customer: str,
        key: str,
        state: ledger_entries.RunState,
        answer: ledger_messages.Answer | None,
    ) -> None:
        self.customer = customer
        self.key = key
        self.state = state
        self.answer = answer


def encode(state: LedgerState) -> bytes:
    """Encode the exported state of a ledger as compact JSON."""
    document = {
        "sender": _encode_owner(state.sender),
        "heir": _encode_owner(state.successor),
        "may_run": state.may_run,
        "origins": [
            [
                _encode_owner(issuer.owner),
                issuer.secret.hex(),
                issuer.elapsed_s,
                issuer.forgotten_until_s,
                issuer.may_run,
                issuer.ended_s,
            ]
            for issuer in state.issuers
        ],
        "entries": [
            [
                entry.customer,
                entry.key,
                entry.digest,
                entry.state.value,
                entry.minted_s,
                _encode_owner(entry.issuer),
                entry.age_s,
                entry.nonce,
                entry.claim_held,
                entry.maybe_claimed,
                _encode_owner(entry.running_on),
                encode_answer(entry.answer),
            ]
            for entry in state.entries
        ],
    }
    return json.dumps(document, separators=(",", ":")).encode()


def decode(data: bytes) -> LedgerState:
    """Decode the state of a ledger from the output of :func:`encode`.

    :raises HandoverInvalid: if the data is not an encoded ledger.
    """
    try:
        document = json.loads(data)
        return LedgerState(
            _decode_owner(document["sender"]),
            _decode_owner(document["heir"]),
            bool(document["may_run"]),
            [_decode_issuer(row) for row in document["origins"]],
            [_decode_entry(row) for row in document["entries"]],
        )
    except (ValueError, KeyError, TypeError) as error:
        raise errors.HandoverInvalid(
            f"can't decode the ledger: {error}"
        ) from error


def encode_settled(settled: list[SettledCall]) -> bytes:
    """Encode the outcomes of keyed calls as compact JSON."""
    rows = [
        [item.customer, item.key, item.state.value, encode_answer(item.answer)]
        for item in settled
    ]
    return json.dumps(rows, separators=(",", ":")).encode()


def decode_settled(data: bytes) -> list[SettledCall]:
    """Decode outcomes of keyed calls, the output of :func:`encode_settled`.

    :raises HandoverInvalid: if the data is not a list of outcomes.
    """
    try:
        return [
            SettledCall(
                customer,
                key,
                ledger_entries.RunState(state),
                decode_answer(answer),
            )
            for customer, key, state, answer in json.loads(data)
        ]
    except (ValueError, KeyError, TypeError) as error:
        raise errors.HandoverInvalid(
            f"can't decode the outcomes: {error}"
        ) from error


def _encode_owner(
    owner: ledger_messages.VmIncarnation | None,
) -> list[typing.Any] | None:
    return None if owner is None else [owner.vm, owner.incarnation]


def encode_answer(
    answer: ledger_messages.Answer | None,
) -> list[typing.Any] | None:
    """Convert an upstream's answer to JSON values, its body in Base64."""
    if answer is None:
        return None
    return [
        answer.status,
        answer.headers,
        base64.b64encode(answer.body).decode(),
    ]


def _decode_owner(row: typing.Any) -> ledger_messages.VmIncarnation:
    vm, incarnation = row
    return ledger_messages.VmIncarnation(str(vm), int(incarnation))


def decode_answer(row: typing.Any) -> ledger_messages.Answer | None:
    """Convert the JSON values of :func:`encode_answer` to an answer."""
    if row is None:
        return None
    status, headers, body = row
    pairs = tuple((str(name), str(value)) for name, value in headers)
    return ledger_messages.Answer(int(status), pairs, base64.b64decode(body))


def _decode_issuer(row: typing.Any) -> KeyIssuerState:
    owner, secret, elapsed_s, forgotten_until_s, may_run, ended_s = row
    return KeyIssuerState(
        _decode_owner(owner),
        bytes.fromhex(secret),
        elapsed_s,
        forgotten_until_s,
        may_run,
        ended_s,
    )


def _decode_entry(row: typing.Any) -> EntryState:
    customer, key, digest, state, minted_s, issuer, age_s, *rest = row
    nonce, claim_held, maybe_claimed, running_on, answer = rest
    return EntryState(
        customer,
        key,
        digest,
        ledger_entries.RunState(state),
        minted_s,
        issuer and _decode_owner(issuer),
        age_s,
        nonce,
        claim_held,
        maybe_claimed,
        running_on and _decode_owner(running_on),
        decode_answer(answer),
    )
