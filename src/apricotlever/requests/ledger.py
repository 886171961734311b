"""Which keyed calls may run here, so that none runs twice.

A key that a VM minted is run by that incarnation's ledger alone, or by the
one heir that was given the whole ledger. A key that the caller made up is
claimed in the store first. Every other ledger forwards or refuses.

A worker reports under the token of its :class:`messages.Run`: first
:meth:`Ledger.sent`, whose False forbids the call, then exactly one of
:meth:`Ledger.finished`, :meth:`Ledger.not_sent` and :meth:`Ledger.lost`.
"""

import functools
import random
import typing

from .. import clock as clocks
from . import entries
from . import errors
from . import inheritance
from . import keys
from . import ledger_state
from . import messages
from . import owners
from . import runs
from . import succession

CLAIM_NONCE_BITS = 64

_NO = messages.Executed.NO
_UNKNOWN = messages.Executed.UNKNOWN
_State = entries.State


class Ledger:
    """The keys of one incarnation of one entry VM.

    :param rng: mints keys; a daemon passes :class:`random.SystemRandom`.
    :param incarnation: the start of the process, ms since the Unix epoch.
    """

    __slots__ = (
        "_clock",
        "_rng",
        "_me",
        "_bounds",
        "_table",
        "_owners",
        "_own",
        "_runs",
        "_frozen",
        "_succession",
        "_inheritance",
    )

    def __init__(
        self,
        clock: clocks.Clock,
        rng: random.Random,
        vm: str,
        incarnation: int,
        bounds: entries.Bounds | None = None,
    ) -> None:
        self._clock = clock
        self._rng = rng
        self._me = messages.Owner(vm, incarnation)
        self._bounds = bounds or entries.Bounds()
        self._table = entries.Table(self._bounds)
        self._owners = owners.Owners(clock, self._bounds.made_life_s)
        self._owners.alive(vm, incarnation)
        self._own = entries.Origin(self._me, keys.new_secret(rng), clock.now())
        self._frozen = False
        self._succession = succession.Succession(self._me)
        self._runs = runs.Runs(
            clock, self._bounds, self._table, self._succession
        )
        self._inheritance = inheritance.Inheritance(
            clock,
            self._bounds,
            self._table,
            self._runs,
            self._owners,
            self._own,
        )

    @property
    def me(self) -> messages.Owner:
        """The incarnation whose ledger this is."""
        return self._me

    @property
    def frozen(self) -> bool:
        """Whether new runs are refused because the VM is leaving."""
        return self._frozen

    @property
    def succession(self) -> succession.Succession:
        """The handover of this ledger: heir, receipt, late outcomes."""
        return self._succession

    @property
    def in_flight(self) -> int:
        """How many keys an exchange is working on."""
        return len(self._runs)

    def __len__(self) -> int:
        return len(self._table)

    def mint(self, customer: str) -> str:
        """Make a key that only this ledger may run.

        :raises LedgerFrozen: if the VM is leaving.
        """
        if self._frozen:
            raise errors.LedgerFrozen(self._me.vm)
        minted_s = int(self._clock.now() - self._own.started)
        return keys.mint(
            self._me.vm,
            self._me.incarnation,
            minted_s,
            customer,
            self._own.secret,
            self._rng,
        )

    def begin(
        self,
        key: str,
        customer: str,
        digest: str,
        first: bool = False,
        forwarded: bool = False,
    ) -> messages.Decision:
        """Decide what becomes of a keyed call.

        :param digest: of the method, path and body.
        :param first: the caller vouches that it never sent this key before
            and drops this answer if it sends the key again meanwhile.
        :param forwarded: another VM holds that this ledger owns the key.
        """
        entry = self._table.get(customer, key)
        if entry is not None:
            return self._again(entry, digest, first)
        if keys.is_minted(key):
            return self._unseen_minted(key, customer, digest, forwarded)
        if forwarded:
            # The store names this ledger as the claimer, yet the entry is
            # gone: the call may have run before it was dropped.
            return _refuse(messages.Reason.FORGOTTEN, _UNKNOWN)
        entry = entries.Entry(
            customer,
            key,
            digest,
            _State.NOT_RUN,
            0,
            None,
            self._clock.now(),
            nonce=f"{self._rng.getrandbits(CLAIM_NONCE_BITS):016x}",
        )
        return self._reserve(entry, first)

    def sent(self, token: int) -> bool:
        """Ask, just before the first byte, whether the call may go out.

        :returns: False if it must not be sent; begin the key again.
        """
        return self._runs.sent(token)

    def finished(self, token: int, answer: messages.Answer) -> bool:
        """Keep the whole answer of a call that was sent.

        :returns: False if the token is no longer valid.
        """
        return self._runs.finished(token, answer)

    def not_sent(self, token: int) -> bool:
        """Note that certainly not one byte reached the upstream.

        :returns: False if the token is no longer valid.
        """
        return self._runs.not_sent(token)

    def lost(self, token: int) -> bool:
        """Note that the call may have run but its answer won't come.

        :returns: False if the token is no longer valid.
        """
        return self._runs.lost(token)

    @functools.singledispatchmethod
    def claimed(self, result: typing.Any) -> messages.Decision:
        """Go on after the claim of a caller's key.

        :param result: one of :data:`messages.ClaimResult`.
        :returns: never a Claim.
        """
        raise TypeError(type(result))

    @claimed.register
    def _won(self, result: messages.Won) -> messages.Decision:
        entry = self._runs.claiming(result.token)
        if entry is None:
            return owners.moving()
        entry.certain = True
        entry.state = _State.CLAIMED
        return messages.Run(entry.token)

    @claimed.register
    def _held(self, result: messages.Held) -> messages.Decision:
        entry = self._runs.claiming(result.token)
        if entry is None:
            return owners.moving()
        self._runs.discard(entry)
        if result.owner in self._inheritance:
            # Claimed here before, under an entry that was dropped since.
            return _refuse(messages.Reason.FORGOTTEN, _UNKNOWN)
        return self._owners.route(result.owner, self._me, forwarded=False)

    @claimed.register
    def _conflicting(self, result: messages.Conflicting) -> messages.Decision:
        entry = self._runs.claiming(result.token)
        if entry is None:
            return owners.moving()
        self._runs.discard(entry)
        return _refuse(messages.Reason.CONFLICT, _NO)

    @claimed.register
    def _not_claimed(self, result: messages.NotClaimed) -> messages.Decision:
        entry = self._runs.claiming(result.token)
        if entry is None:
            return owners.moving()
        # Without the store an earlier send of this key through another VM
        # can't be ruled out, unless the caller vouches for it.
        executed = _NO if entry.first else _UNKNOWN
        entry.written = entry.written or result.maybe_written
        if entry.written:
            self._runs.settle(entry, _State.NOT_RUN)
        else:
            self._runs.discard(entry)
        return _refuse(result.reason, executed, owners.RETRY_AFTER_S)

    def tick(self) -> list[int]:
        """Expire what is old.

        :returns: tokens that were settled, for those who wait on them.
        """
        self._table.expire(self._clock.now())
        self._owners.expire()
        self._inheritance.expire()
        return self._runs.overdue()

    def alive(self, vm: str, incarnation: int) -> list[int]:
        """Note a live incarnation of a VM; lower ones are gone.

        :returns: tokens that were settled by it.
        """
        self._owners.alive(vm, incarnation)
        return self._runs.give_up_away(self._owners)

    def gone(self, vm: str, incarnation: int) -> list[int]:
        """Note that an incarnation has left or died.

        :returns: tokens that were settled by it.
        """
        self._owners.gone(messages.Owner(vm, incarnation))
        return self._runs.give_up_away(self._owners)

    def handed_over(self, owner: messages.Owner, heir: messages.Owner) -> None:
        """Note which incarnation adopted another's ledger."""
        self._owners.handed_over(owner, heir)

    def freeze(self) -> None:
        """Start no more runs; those in flight go on."""
        self._frozen = True

    def hand_over(self, vm: str, incarnation: int) -> ledger_state.LedgerState:
        """Freeze, and export the ledger to an heir; repeat it at will.

        The first heir is the only one that may ever run the keys, for it may
        hold the ledger although its receipt never came. A later heir gets a
        copy that replays answers and runs nothing.
        """
        heir = messages.Owner(vm, incarnation)
        self.freeze()
        self._runs.release_unsent()
        return self._inheritance.export(heir, self._succession.offer(heir))

    def adopt(self, state: ledger_state.LedgerState) -> ledger_state.Receipt:
        """Take over the whole ledger of a leaving VM; idempotent."""
        return self._inheritance.adopt(state, self._frozen)

    def settle(self, settled: list[ledger_state.Settled]) -> list[int]:
        """Note how calls ended that a leaving VM had in flight.

        :returns: tokens that were settled by it.
        """
        return self._inheritance.settle(settled)

    def _unseen_minted(
        self, key: str, customer: str, digest: str, forwarded: bool
    ) -> messages.Decision:
        parsed = keys.parse(key)
        if parsed is None:
            return _refuse(messages.Reason.MALFORMED, _NO)
        owner = messages.Owner(parsed.vm, parsed.incarnation)
        origin = self._inheritance.origin(owner)
        if origin is None:
            return self._owners.route(owner, self._me, forwarded)
        if not keys.verify(parsed, customer, origin.secret):
            return _refuse(messages.Reason.NOT_YOURS, _NO)
        if parsed.minted_s <= origin.floor_s or not origin.may_run:
            return _refuse(messages.Reason.FORGOTTEN, _UNKNOWN)
        entry = entries.Entry(
            customer,
            key,
            digest,
            _State.NOT_RUN,
            parsed.minted_s,
            origin,
            self._clock.now(),
        )
        return self._reserve(entry)

    def _again(
        self, entry: entries.Entry, digest: str, first: bool
    ) -> messages.Decision:
        if entry.state is _State.CLAIMING:
            return messages.Pending(entry.token)
        if entry.digest != digest:
            # While the claim is uncertain, another VM may be running the
            # key for this very call.
            executed = _UNKNOWN if entry.may_claim_again else _NO
            return _refuse(messages.Reason.CONFLICT, executed)
        if entry.in_flight:
            return messages.Pending(entry.token)
        if entry.answer is not None:
            return messages.Replay(entry.answer)
        if entry.state is _State.ANSWERED:
            reason = messages.Reason.ANSWER_GONE
            return _refuse(reason, messages.Executed.YES)
        if entry.state is _State.UNKNOWN:
            return _refuse(messages.Reason.LOST, _UNKNOWN)
        return self._reserve(entry, first)

    def _reserve(
        self, entry: entries.Entry, first: bool = False
    ) -> messages.Decision:
        certain = entry.certain or entry.origin is not None
        if self._frozen:
            return self._leaving(certain or first)
        if entry.origin is not None and self._expired(entry):
            return _refuse(messages.Reason.EXPIRED, _NO)
        known = self._table.get(entry.customer, entry.key) is entry
        if not known and not self._table.add(entry):
            executed = _NO if certain or first else _UNKNOWN
            return _refuse(
                messages.Reason.FULL, executed, owners.RETRY_AFTER_S
            )
        entry.first = first
        entry.since = self._clock.now()
        self._runs.activate(entry)
        if certain:
            entry.state = _State.CLAIMED
            return messages.Run(entry.token)
        entry.state = _State.CLAIMING
        return messages.Claim(
            entry.token,
            entry.customer,
            entry.key,
            entry.digest,
            entry.nonce,
            self._me,
        )

    def _leaving(self, certain: bool) -> messages.Decision:
        heir = self._succession.heir
        if heir is None:
            executed = _NO if certain else _UNKNOWN
            reason = messages.Reason.LEAVING
            return _refuse(reason, executed, owners.RETRY_AFTER_S)
        if self._owners.is_gone(heir):
            return self._owners.route(heir, self._me, forwarded=True)
        return messages.Forward(heir.vm, heir.incarnation)

    def _expired(self, entry: entries.Entry) -> bool:
        assert entry.origin is not None
        minted = entry.origin.started + entry.minted_s
        return self._clock.now() - minted > self._bounds.key_life_s


def _refuse(
    reason: messages.Reason,
    executed: messages.Executed,
    retry_after_s: float | None = None,
) -> messages.Refuse:
    return messages.Refuse(reason, executed, retry_after_s)
