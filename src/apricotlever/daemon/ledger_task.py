"""The task that keeps the ledger of idempotency keys.

It owns the ledger and the claims, whose reads and writes go through the
store's task. Workers ask it before they send and tell it how
the exchange ended.
"""

from concurrent import futures
import functools
import random
import typing

from .. import clock as clocks
from .. import mailbox
from ..requests import claims
from ..requests import ledger
from ..requests import ledger_messages
from ..requests import ledger_state

from . import claim_storage
from . import store as stores

TICK_S = 0.25


class Mint:
    """Ask for a key bound to a customer and this VM."""

    __slots__ = ("customer",)

    def __init__(self, customer: str) -> None:
        self.customer = customer


class Begin:
    """Ask what becomes of a keyed call.

    Answered with Run, Replay, Forward or Refuse; a claim in the store or
    another exchange with the same key is waited for.

    :param first: the caller vouches that it never sent the key before.
    :param forwarded: another VM holds that this one owns the key.
    """

    __slots__ = ("key", "customer", "digest", "first", "forwarded")

    def __init__(
        self,
        key: str,
        customer: str,
        digest: str,
        first: bool,
        forwarded: bool,
    ) -> None:
        self.key = key
        self.customer = customer
        self.digest = digest
        self.first = first
        self.forwarded = forwarded


class Sent:
    """Ask, just before the first byte, whether the call may go out."""

    __slots__ = ("token",)

    def __init__(self, token: int) -> None:
        self.token = token


class Finished:
    """The whole answer came."""

    __slots__ = ("token", "answer")

    def __init__(self, token: int, answer: ledger_messages.Answer) -> None:
        self.token = token
        self.answer = answer


class NotSent:
    """Not one byte reached the upstream."""

    __slots__ = ("token",)

    def __init__(self, token: int) -> None:
        self.token = token


class Lost:
    """The call may have run, and its answer won't come."""

    __slots__ = ("token",)

    def __init__(self, token: int) -> None:
        self.token = token


class OwnerSeen:
    """An incarnation of an entry VM lives."""

    __slots__ = ("vm", "incarnation")

    def __init__(self, vm: str, incarnation: int) -> None:
        self.vm = vm
        self.incarnation = incarnation


class OwnerGone:
    """An incarnation of an entry VM is gone for certain."""

    __slots__ = ("vm", "incarnation")

    def __init__(self, vm: str, incarnation: int) -> None:
        self.vm = vm
        self.incarnation = incarnation


class LedgerMoved:
    """An heir has the ledger of an incarnation that left."""

    __slots__ = ("owner", "heir")

    def __init__(
        self,
        owner: ledger_messages.VmIncarnation,
        heir: ledger_messages.VmIncarnation,
    ) -> None:
        self.owner = owner
        self.heir = heir


class Freeze:
    """Start no more runs."""

    __slots__ = ()


class Export:
    """Export the ledger to an heir; answered with its state."""

    __slots__ = ("heir",)

    def __init__(self, heir: ledger_messages.VmIncarnation) -> None:
        self.heir = heir


class HeirAnswered:
    """The heir's word on the ledger."""

    __slots__ = ("receipt",)

    def __init__(self, receipt: ledger_state.LedgerReceipt) -> None:
        self.receipt = receipt


class LateOutcomes:
    """Ask for the calls that ended since the export."""

    __slots__ = ()


class OutcomesReceived:
    """The heir has taken these outcomes."""

    __slots__ = ("settled",)

    def __init__(self, settled: list[ledger_state.SettledCall]) -> None:
        self.settled = settled


class AdoptLedger:
    """Take over a leaving VM's ledger; answered with the receipt."""

    __slots__ = ("state",)

    def __init__(self, state: ledger_state.LedgerState) -> None:
        self.state = state


class Settle:
    """Calls of an adopted ledger have ended at their VM."""

    __slots__ = ("settled",)

    def __init__(self, settled: list[ledger_state.SettledCall]) -> None:
        self.settled = settled


class Count:
    """Ask how many keys are kept, and how many are being run."""

    __slots__ = ()


class _Asked:
    """A caller's question that waits for its answer."""

    __slots__ = ("begin", "future")

    def __init__(
        self, begin: Begin, future: "futures.Future[typing.Any]"
    ) -> None:
        self.begin = begin
        self.future = future


class LedgerTask(mailbox.Task):
    """Keeps the keys of one incarnation.

    :param rng: mints keys; has to be unpredictable.
    :param store: runs the claims' reads and writes.
    """

    def __init__(
        self,
        clock: clocks.Clock,
        rng: random.Random,
        vm: str,
        incarnation: int,
        store: stores.Store,
    ) -> None:
        super().__init__("book", clock, TICK_S)
        self._ledger = ledger.Ledger(clock, rng, vm, incarnation)
        self._claims = claims.ClaimBatcher(clock)
        self._calls = claim_storage.ClaimStorage(store, self.tell)
        self._claiming: dict[int, _Asked] = {}
        self._pending: dict[int, list[_Asked]] = {}

    @mailbox.handles(Mint)
    def _mint(self, message: Mint) -> str:
        return self._ledger.mint(message.customer)

    @mailbox.handles(Begin)
    def _begin(self, message: Begin) -> mailbox.Deferred:
        self._decide(_Asked(message, self.defer()))
        return mailbox.DEFERRED

    @mailbox.handles(Sent)
    def _sent(self, message: Sent) -> bool:
        return self._ledger.start_sending(message.token)

    @mailbox.handles(Finished)
    def _finished(self, message: Finished) -> None:
        self._ledger.record_answer(message.token, message.answer)
        self._settled([message.token])

    @mailbox.handles(NotSent)
    def _not_sent(self, message: NotSent) -> None:
        self._ledger.record_not_sent(message.token)
        self._settled([message.token])

    @mailbox.handles(Lost)
    def _lost(self, message: Lost) -> None:
        self._ledger.record_lost_answer(message.token)
        self._settled([message.token])

    @mailbox.handles(OwnerSeen)
    def _owner_seen(self, message: OwnerSeen) -> None:
        self._settled(
            self._ledger.on_incarnation_alive(message.vm, message.incarnation)
        )

    @mailbox.handles(OwnerGone)
    def _owner_gone(self, message: OwnerGone) -> None:
        self._settled(
            self._ledger.on_incarnation_gone(message.vm, message.incarnation)
        )

    @mailbox.handles(LedgerMoved)
    def _ledger_moved(self, message: LedgerMoved) -> None:
        self._ledger.on_ledger_transferred(message.owner, message.heir)

    @mailbox.handles(Freeze)
    def _freeze(self, message: Freeze) -> None:
        self._ledger.freeze()

    @mailbox.handles(Export)
    def _export(self, message: Export) -> ledger_state.LedgerState:
        heir = message.heir
        return self._ledger.export_to(heir.vm, heir.incarnation)

    @mailbox.handles(HeirAnswered)
    def _heir_answered(self, message: HeirAnswered) -> None:
        self._ledger.transfer.apply_receipt(message.receipt)

    @mailbox.handles(LateOutcomes)
    def _late_outcomes(
        self, message: LateOutcomes
    ) -> list[ledger_state.SettledCall]:
        return self._ledger.transfer.pending_outcomes()

    @mailbox.handles(OutcomesReceived)
    def _outcomes_received(self, message: OutcomesReceived) -> None:
        self._ledger.transfer.acknowledge_outcomes(message.settled)

    @mailbox.handles(AdoptLedger)
    def _adopt(self, message: AdoptLedger) -> ledger_state.LedgerReceipt:
        return self._ledger.adopt(message.state)

    @mailbox.handles(Settle)
    def _settle(self, message: Settle) -> None:
        self._settled(self._ledger.settle_remote_calls(message.settled))

    @mailbox.handles(Count)
    def _count(self, message: Count) -> tuple[int, int]:
        return len(self._ledger), self._ledger.in_flight_count

    @mailbox.handles(claim_storage.BucketRead)
    def _bucket_read(self, message: claim_storage.BucketRead) -> None:
        self._carry_out(claim_storage.after_read(self._claims, message))

    @mailbox.handles(claim_storage.BucketWritten)
    def _bucket_written(self, message: claim_storage.BucketWritten) -> None:
        self._carry_out(claim_storage.after_write(self._claims, message))

    def tick(self) -> None:
        """Expire keys and give up runs that took too long."""
        self._settled(self._ledger.tick())

    def _decide(self, asked: _Asked) -> None:
        begin = asked.begin
        decision = self._ledger.begin(
            begin.key,
            begin.customer,
            begin.digest,
            begin.first,
            begin.forwarded,
        )
        if isinstance(decision, ledger_messages.ClaimKey):
            self._claiming[decision.token] = asked
            self._carry_out(self._claims.claim(decision))
        elif isinstance(decision, ledger_messages.WaitForRun):
            self._pending.setdefault(decision.token, []).append(asked)
        else:
            asked.future.set_result(decision)

    def _settled(self, tokens: list[int]) -> None:
        """Ask again for those who waited for these runs to end."""
        for token in tokens:
            for asked in self._pending.pop(token, []):
                self._decide(asked)

    def _carry_out(self, found: list[claims.Action]) -> None:
        for action in found:
            self._carry_out_one(action)

    @functools.singledispatchmethod
    def _carry_out_one(self, action: typing.Any) -> None:
        raise TypeError(type(action))

    @_carry_out_one.register
    def _read(self, action: claims.ReadBucket) -> None:
        self._calls.read(action)

    @_carry_out_one.register
    def _write(self, action: claims.WriteBucket) -> None:
        self._calls.write(action)

    @_carry_out_one.register
    def _told(self, action: claims.DeliverResult) -> None:
        token = action.result.token
        decision = self._ledger.on_claim_result(action.result)
        asked = self._claiming.pop(token, None)
        if asked is not None:
            asked.future.set_result(decision)
        if not isinstance(decision, ledger_messages.RunCall):
            self._settled([token])
