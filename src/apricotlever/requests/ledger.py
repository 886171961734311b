"""Decides which keyed calls this VM may run, so that no call runs twice.

A key is an idempotency key: it stands for one call of one customer, and a
retry of the call repeats it. Either the system mints the key, or the caller
chooses it. A ledger holds the keys that one VM incarnation decides on, with
the state of their calls and the answers for retries. A keyed call is a call
with such a key.

A minted key is run only by the ledger of the VM incarnation that minted it,
or by the one successor that received the whole ledger. A key chosen by the
caller must be claimed in the store before its call is run. All other ledgers
forward or refuse the call.

A worker reports under the token of its :class:`ledger_messages.RunCall`. It
first calls :meth:`Ledger.start_sending` and must not send the call if that
returns False. It then calls exactly one of :meth:`Ledger.record_answer`,
:meth:`Ledger.record_not_sent` and :meth:`Ledger.record_lost_answer`.
"""

import functools
import random
import typing

from .. import clock as clocks
from . import active_runs
from . import errors
from . import key_issuers
from . import known_incarnations
from . import ledger_entries
from . import ledger_messages
from . import ledger_state
from . import ledger_transfer
from . import minted_keys

CLAIM_NONCE_BITS = 64

_NO = ledger_messages.Executed.NO
_UNKNOWN = ledger_messages.Executed.UNKNOWN
_State = ledger_entries.RunState


class Ledger:
    """The idempotency keys that one incarnation of an entry VM decides on.

    :param rng: source of the keys' random parts; a daemon passes
        :class:`random.SystemRandom`.
    :param vm: the name of this VM.
    :param incarnation: start time of the process, in ms since the Unix epoch.
    :param limits: how much the ledger keeps; None for the defaults.
    """

    __slots__ = (
        "_clock",
        "_rng",
        "_me",
        "_limits",
        "_table",
        "_incarnations",
        "_own_issuer",
        "_runs",
        "_frozen",
        "_transfer",
        "_issuers",
    )

    def __init__(
        self,
        clock: clocks.Clock,
        rng: random.Random,
        vm: str,
        incarnation: int,
        limits: ledger_entries.LedgerLimits | None = None,
    ) -> None:
        self._clock = clock
        self._rng = rng
        self._me = ledger_messages.VmIncarnation(vm, incarnation)
        self._limits = limits or ledger_entries.LedgerLimits()
        self._table = ledger_entries.EntryTable(self._limits)
        self._incarnations = known_incarnations.KnownIncarnations(
            clock, self._limits.caller_key_life_s
        )
        self._incarnations.record_alive(vm, incarnation)
        self._own_issuer = ledger_entries.KeyIssuer(
            self._me, minted_keys.new_secret(rng), clock.now()
        )
        self._frozen = False
        self._transfer = ledger_transfer.LedgerTransfer(self._me)
        self._runs = active_runs.ActiveRuns(
            clock, self._limits, self._table, self._transfer
        )
        self._issuers = key_issuers.KeyIssuers(
            clock,
            self._limits,
            self._table,
            self._runs,
            self._incarnations,
            self._own_issuer,
        )

    @property
    def me(self) -> ledger_messages.VmIncarnation:
        """The VM incarnation that this ledger belongs to."""
        return self._me

    @property
    def frozen(self) -> bool:
        """Whether the ledger starts no new runs because its VM is leaving."""
        return self._frozen

    @property
    def transfer(self) -> ledger_transfer.LedgerTransfer:
        """State of the transfer of this ledger to its successor."""
        return self._transfer

    @property
    def in_flight_count(self) -> int:
        """Number of keys with a run in progress."""
        return len(self._runs)

    def __len__(self) -> int:
        return len(self._table)

    def mint(self, customer: str) -> str:
        """Create a key whose call only this ledger may run.

        :param customer: the customer that the key is bound to.
        :returns: the text of the key.
        :raises LedgerFrozen: if the VM is leaving.
        """
        if self._frozen:
            raise errors.LedgerFrozen(self._me.vm)
        minted_s = int(self._clock.now() - self._own_issuer.started)
        return minted_keys.mint(
            self._me.vm,
            self._me.incarnation,
            minted_s,
            customer,
            self._own_issuer.secret,
            self._rng,
        )

    def begin(
        self,
        key: str,
        customer: str,
        digest: str,
        first_send: bool = False,
        forwarded: bool = False,
    ) -> ledger_messages.KeyDecision:
        """Decide how to handle a keyed call.

        :param key: the idempotency key that came with the call.
        :param customer: the customer that made the call.
        :param digest: digest of the call's method, path and body.
        :param first_send: the caller guarantees that it never sent this key
            before, and ignores the answer to this send if it sends the key
            again in the meantime.
        :param forwarded: another VM forwarded the call because it considers
            this ledger the owner of the key.
        """
        entry = self._table.get(customer, key)
        if entry is not None:
            return self._decide_known(entry, digest, first_send)
        if minted_keys.is_minted(key):
            return self._decide_unseen_minted(key, customer, digest, forwarded)
        if forwarded:
            # The store names this ledger as the holder of the claim, but the
            # ledger has dropped the entry. The call may have run before.
            return _refuse(
                ledger_messages.KeyRefusalReason.FORGOTTEN, _UNKNOWN
            )
        entry = ledger_entries.Entry(
            customer,
            key,
            digest,
            _State.NOT_RUN,
            0,
            None,
            self._clock.now(),
            nonce=f"{self._rng.getrandbits(CLAIM_NONCE_BITS):016x}",
        )
        return self._reserve(entry, first_send)

    def start_sending(self, token: int) -> bool:
        """Mark a call as being sent, just before its first byte.

        :returns: False if the call must not be sent; the worker then calls
            :meth:`begin` again for the key.
        """
        return self._runs.start_sending(token)

    def record_answer(
        self, token: int, answer: ledger_messages.Answer
    ) -> bool:
        """Record the complete answer of a call that was sent.

        :returns: False if the token is no longer valid.
        """
        return self._runs.record_answer(token, answer)

    def record_not_sent(self, token: int) -> bool:
        """Record that no byte of the call reached the upstream.

        :returns: False if the token is no longer valid.
        """
        return self._runs.record_not_sent(token)

    def record_lost_answer(self, token: int) -> bool:
        """Record that the call may have run but no answer will arrive.

        :returns: False if the token is no longer valid.
        """
        return self._runs.record_lost_answer(token)

    @functools.singledispatchmethod
    def on_claim_result(
        self, result: typing.Any
    ) -> ledger_messages.KeyDecision:
        """Continue a call after the attempt to claim its key.

        :param result: one of :data:`ledger_messages.ClaimResult`.
        :returns: a decision other than :class:`ledger_messages.ClaimKey`.
        """
        raise TypeError(type(result))

    @on_claim_result.register
    def _continue_won(
        self, result: ledger_messages.ClaimWon
    ) -> ledger_messages.KeyDecision:
        entry = self._runs.find_claiming(result.token)
        if entry is None:
            return known_incarnations.refuse_while_moving()
        entry.claim_held = True
        entry.state = _State.CLAIMED
        return ledger_messages.RunCall(entry.token)

    @on_claim_result.register
    def _continue_held(
        self, result: ledger_messages.ClaimHeld
    ) -> ledger_messages.KeyDecision:
        entry = self._runs.find_claiming(result.token)
        if entry is None:
            return known_incarnations.refuse_while_moving()
        self._runs.discard(entry)
        if result.owner in self._issuers:
            # This ledger claimed the key before and has dropped the entry
            # since, so the call may have run.
            return _refuse(
                ledger_messages.KeyRefusalReason.FORGOTTEN, _UNKNOWN
            )
        return self._incarnations.route(
            result.owner, self._me, forwarded=False
        )

    @on_claim_result.register
    def _refuse_conflicting(
        self, result: ledger_messages.ClaimConflict
    ) -> ledger_messages.KeyDecision:
        entry = self._runs.find_claiming(result.token)
        if entry is None:
            return known_incarnations.refuse_while_moving()
        self._runs.discard(entry)
        return _refuse(ledger_messages.KeyRefusalReason.CONFLICT, _NO)

    @on_claim_result.register
    def _refuse_unclaimed(
        self, result: ledger_messages.ClaimFailed
    ) -> ledger_messages.KeyDecision:
        entry = self._runs.find_claiming(result.token)
        if entry is None:
            return known_incarnations.refuse_while_moving()
        # Without the store, an earlier send of this key through another VM
        # can't be ruled out unless the caller guarantees a first send.
        executed = _NO if entry.first_send else _UNKNOWN
        entry.maybe_claimed = entry.maybe_claimed or result.maybe_written
        if entry.maybe_claimed:
            self._runs.settle(entry, _State.NOT_RUN)
        else:
            self._runs.discard(entry)
        return _refuse(
            result.reason, executed, known_incarnations.RETRY_AFTER_S
        )

    def tick(self) -> list[int]:
        """Expire old entries, facts about other VMs and overdue runs.

        :returns: tokens of the runs that ended, for calls waiting on them.
        """
        self._table.expire(self._clock.now())
        self._incarnations.expire()
        self._issuers.expire()
        return self._runs.expire_overdue()

    def on_incarnation_alive(self, vm: str, incarnation: int) -> list[int]:
        """Record a live incarnation of a VM; its older ones are gone.

        Runs that an older one still had in progress end as ``unknown``.

        :returns: tokens of the runs that ended because of this.
        """
        self._incarnations.record_alive(vm, incarnation)
        return self._runs.settle_orphaned(self._incarnations)

    def on_incarnation_gone(self, vm: str, incarnation: int) -> list[int]:
        """Record that an incarnation has left or crashed.

        Runs that it still had in progress end as ``unknown``.

        :returns: tokens of the runs that ended because of this.
        """
        self._incarnations.record_gone(
            ledger_messages.VmIncarnation(vm, incarnation)
        )
        return self._runs.settle_orphaned(self._incarnations)

    def on_ledger_transferred(
        self,
        owner: ledger_messages.VmIncarnation,
        successor: ledger_messages.VmIncarnation,
    ) -> None:
        """Record which incarnation adopted the ledger of another one."""
        self._incarnations.record_transfer(owner, successor)

    def freeze(self) -> None:
        """Start no new runs and mint no keys, because the VM leaves.

        Runs in flight continue.
        """
        self._frozen = True

    def export_to(self, vm: str, incarnation: int) -> ledger_state.LedgerState:
        """Freeze the ledger and return its state for a successor.

        The export can be repeated. Only the first successor may ever run the
        keys, because it may hold the ledger even if its receipt never
        arrived. A later successor gets a copy that replays answers and runs
        nothing.

        :param vm: the name of the successor.
        :param incarnation: the incarnation of the successor.
        """
        successor = ledger_messages.VmIncarnation(vm, incarnation)
        self.freeze()
        self._runs.release_unsent()
        return self._issuers.export(
            successor, self._transfer.record_export(successor)
        )

    def adopt(
        self, state: ledger_state.LedgerState
    ) -> ledger_state.LedgerReceipt:
        """Adopt the whole ledger of a leaving VM; a repeat changes nothing.

        :param state: the ledger as the leaving VM exported it.
        :returns: the answer for the leaving VM: whether this ledger adopted
            the state. A frozen ledger refuses it.
        """
        return self._issuers.adopt(state, self._frozen)

    def settle_remote_calls(
        self, settled: list[ledger_state.SettledCall]
    ) -> list[int]:
        """Record the outcomes of calls that a leaving VM had in flight.

        :returns: tokens of the runs that ended because of this.
        """
        return self._issuers.settle(settled)

    def _decide_unseen_minted(
        self, key: str, customer: str, digest: str, forwarded: bool
    ) -> ledger_messages.KeyDecision:
        parsed = minted_keys.parse(key)
        if parsed is None:
            return _refuse(ledger_messages.KeyRefusalReason.MALFORMED, _NO)
        owner = ledger_messages.VmIncarnation(parsed.vm, parsed.incarnation)
        issuer = self._issuers.find(owner)
        if issuer is None:
            return self._incarnations.route(owner, self._me, forwarded)
        if not minted_keys.verify(parsed, customer, issuer.secret):
            return _refuse(ledger_messages.KeyRefusalReason.NOT_YOURS, _NO)
        if parsed.minted_s <= issuer.forgotten_until_s or not issuer.may_run:
            return _refuse(
                ledger_messages.KeyRefusalReason.FORGOTTEN, _UNKNOWN
            )
        entry = ledger_entries.Entry(
            customer,
            key,
            digest,
            _State.NOT_RUN,
            parsed.minted_s,
            issuer,
            self._clock.now(),
        )
        return self._reserve(entry)

    def _decide_known(
        self, entry: ledger_entries.Entry, digest: str, first_send: bool
    ) -> ledger_messages.KeyDecision:
        if entry.state is _State.CLAIMING:
            return ledger_messages.WaitForRun(entry.token)
        if entry.digest != digest:
            # While it is unknown who holds the claim, another VM may be
            # running this very call under the key.
            executed = _UNKNOWN if entry.may_claim_again else _NO
            return _refuse(ledger_messages.KeyRefusalReason.CONFLICT, executed)
        if entry.in_flight:
            return ledger_messages.WaitForRun(entry.token)
        if entry.answer is not None:
            return ledger_messages.ReplayAnswer(entry.answer)
        if entry.state is _State.ANSWERED:
            reason = ledger_messages.KeyRefusalReason.ANSWER_GONE
            return _refuse(reason, ledger_messages.Executed.YES)
        if entry.state is _State.UNKNOWN:
            return _refuse(ledger_messages.KeyRefusalReason.LOST, _UNKNOWN)
        return self._reserve(entry, first_send)

    def _reserve(
        self, entry: ledger_entries.Entry, first_send: bool = False
    ) -> ledger_messages.KeyDecision:
        owned = entry.claim_held or entry.issuer is not None
        if self._frozen:
            return self._forward_to_successor(owned or first_send)
        if entry.issuer is not None and self._is_expired(entry):
            return _refuse(ledger_messages.KeyRefusalReason.EXPIRED, _NO)
        known = self._table.get(entry.customer, entry.key) is entry
        if not known and not self._table.add(entry):
            executed = _NO if owned or first_send else _UNKNOWN
            return _refuse(
                ledger_messages.KeyRefusalReason.FULL,
                executed,
                known_incarnations.RETRY_AFTER_S,
            )
        entry.first_send = first_send
        entry.updated_at = self._clock.now()
        self._runs.activate(entry)
        if owned:
            entry.state = _State.CLAIMED
            return ledger_messages.RunCall(entry.token)
        entry.state = _State.CLAIMING
        return ledger_messages.ClaimKey(
            entry.token,
            entry.customer,
            entry.key,
            entry.digest,
            entry.nonce,
            self._me,
        )

    def _forward_to_successor(
        self, never_run: bool
    ) -> ledger_messages.KeyDecision:
        successor = self._transfer.successor
        if successor is None:
            executed = _NO if never_run else _UNKNOWN
            reason = ledger_messages.KeyRefusalReason.LEAVING
            return _refuse(reason, executed, known_incarnations.RETRY_AFTER_S)
        if self._incarnations.is_gone(successor):
            return self._incarnations.route(
                successor, self._me, forwarded=True
            )
        return ledger_messages.ForwardCall(successor.vm, successor.incarnation)

    def _is_expired(self, entry: ledger_entries.Entry) -> bool:
        assert entry.issuer is not None
        minted_at = entry.issuer.started + entry.minted_s
        return self._clock.now() - minted_at > self._limits.minted_key_life_s


def _refuse(
    reason: ledger_messages.KeyRefusalReason,
    executed: ledger_messages.Executed,
    retry_after_s: float | None = None,
) -> ledger_messages.RefuseCall:
    return ledger_messages.RefuseCall(reason, executed, retry_after_s)
