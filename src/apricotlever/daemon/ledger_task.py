"""The task that keeps the ledger of idempotency keys.

A key stands for one call of a customer, which a retry repeats. The ledger
holds the keys on which this VM decides, with the state of their calls and the
answers for retries, so that no call runs twice. A key that the caller chose,
and this system did not mint, must first be claimed in the store, so that only
one VM runs its call.

A run is one permitted execution of a call, identified by a token. The threads
that send calls ask this task for permission before they send, and report how
each exchange with the upstream ended.
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


class MintKey:
    """Asks for a minted key: a new key, bound to a customer and to this VM."""

    __slots__ = ("customer",)

    def __init__(self, customer: str) -> None:
        self.customer = customer


class BeginCall:
    """Asks what to do with a call that has an idempotency key.

    The result is a RunCall, ReplayAnswer, ForwardCall or RefuseCall. It comes
    after the claim in the store, if one is needed, and after any other
    exchange with the same key.

    :param key: the idempotency key.
    :param customer: name of the customer.
    :param digest: hash of the call, which a retry with the key must match.
    :param first: whether the caller declares that it never sent the key
        before.
    :param forwarded: whether another VM forwarded the call, because it
        considers this VM the owner of the key.
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


class StartSending:
    """Asks for permission to send a call, just before its first byte.

    The result is whether the call may be sent. It may not when the run has
    ended meanwhile, as when the ledger was exported to another VM.

    :param token: the token of the run.
    """

    __slots__ = ("token",)

    def __init__(self, token: int) -> None:
        self.token = token


class AnswerReceived:
    """Reports that the answer to a call was received in full."""

    __slots__ = ("token", "answer")

    def __init__(self, token: int, answer: ledger_messages.Answer) -> None:
        self.token = token
        self.answer = answer


class CallNotSent:
    """Reports that no byte of a call reached the upstream."""

    __slots__ = ("token",)

    def __init__(self, token: int) -> None:
        self.token = token


class AnswerLost:
    """Reports that a call may have run and that its answer is lost."""

    __slots__ = ("token",)

    def __init__(self, token: int) -> None:
        self.token = token


class IncarnationAlive:
    """Reports that an incarnation of an entry VM is alive."""

    __slots__ = ("vm", "incarnation")

    def __init__(self, vm: str, incarnation: int) -> None:
        self.vm = vm
        self.incarnation = incarnation


class IncarnationGone:
    """Reports that an incarnation of an entry VM has certainly ended."""

    __slots__ = ("vm", "incarnation")

    def __init__(self, vm: str, incarnation: int) -> None:
        self.vm = vm
        self.incarnation = incarnation


class LedgerMoved:
    """Reports that the ledger of an incarnation moved to its successor.

    An incarnation is one process of a VM. The successor decides on the keys
    from now on.

    :param owner: the incarnation that has left.
    :param successor: the successor, which has adopted the ledger.
    """

    __slots__ = ("owner", "successor")

    def __init__(
        self,
        owner: ledger_messages.VmIncarnation,
        successor: ledger_messages.VmIncarnation,
    ) -> None:
        self.owner = owner
        self.successor = successor


class FreezeLedger:
    """Makes the ledger refuse further runs, before it is handed over."""

    __slots__ = ()


class ExportLedger:
    """Exports the ledger for a successor; the result is the ledger's state.

    :param successor: the successor.
    """

    __slots__ = ("successor",)

    def __init__(self, successor: ledger_messages.VmIncarnation) -> None:
        self.successor = successor


class ReceiptReceived:
    """Reports the receipt: the successor's answer to the exported ledger."""

    __slots__ = ("receipt",)

    def __init__(self, receipt: ledger_state.LedgerReceipt) -> None:
        self.receipt = receipt


class GetPendingOutcomes:
    """Asks for the calls that ended here after the ledger's export.

    The result is the list of their outcomes that the successor has not
    acknowledged.
    """

    __slots__ = ()


class OutcomesAcknowledged:
    """Reports that the successor has received outcomes of calls.

    :param settled: the calls whose outcomes it has received.
    """

    __slots__ = ("settled",)

    def __init__(self, settled: list[ledger_state.SettledCall]) -> None:
        self.settled = settled


class AdoptLedger:
    """Adopts the ledger of a leaving VM; the result is the receipt."""

    __slots__ = ("state",)

    def __init__(self, state: ledger_state.LedgerState) -> None:
        self.state = state


class SettleRemoteCalls:
    """Reports that calls of an adopted ledger ended at the VM that runs them.

    :param settled: the calls with their outcomes.
    """

    __slots__ = ("settled",)

    def __init__(self, settled: list[ledger_state.SettledCall]) -> None:
        self.settled = settled


class CountKeys:
    """Asks for the number of keys and the number of calls in flight."""

    __slots__ = ()


class _PendingCall:
    """A :class:`BeginCall` message that has no result yet."""

    __slots__ = ("begin", "future")

    def __init__(
        self, begin: BeginCall, future: "futures.Future[typing.Any]"
    ) -> None:
        self.begin = begin
        self.future = future


class LedgerTask(mailbox.Task):
    """Keeps the idempotency keys of one incarnation of this VM.

    :param rng: the source of new keys; has to be unpredictable.
    :param vm: name of this VM.
    :param incarnation: the incarnation.
    :param store: the task that reads and writes claims.
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
        self._claim_storage = claim_storage.ClaimStorage(store, self.tell)
        self._claiming: dict[int, _PendingCall] = {}
        self._waiting: dict[int, list[_PendingCall]] = {}

    @mailbox.handles(MintKey)
    def _mint(self, message: MintKey) -> str:
        return self._ledger.mint(message.customer)

    @mailbox.handles(BeginCall)
    def _begin(self, message: BeginCall) -> mailbox.Deferred:
        self._decide(_PendingCall(message, self.defer()))
        return mailbox.DEFERRED

    @mailbox.handles(StartSending)
    def _start_sending(self, message: StartSending) -> bool:
        return self._ledger.start_sending(message.token)

    @mailbox.handles(AnswerReceived)
    def _record_answer(self, message: AnswerReceived) -> None:
        self._ledger.record_answer(message.token, message.answer)
        self._decide_waiting([message.token])

    @mailbox.handles(CallNotSent)
    def _record_not_sent(self, message: CallNotSent) -> None:
        self._ledger.record_not_sent(message.token)
        self._decide_waiting([message.token])

    @mailbox.handles(AnswerLost)
    def _record_lost_answer(self, message: AnswerLost) -> None:
        self._ledger.record_lost_answer(message.token)
        self._decide_waiting([message.token])

    @mailbox.handles(IncarnationAlive)
    def _on_incarnation_alive(self, message: IncarnationAlive) -> None:
        self._decide_waiting(
            self._ledger.on_incarnation_alive(message.vm, message.incarnation)
        )

    @mailbox.handles(IncarnationGone)
    def _on_incarnation_gone(self, message: IncarnationGone) -> None:
        self._decide_waiting(
            self._ledger.on_incarnation_gone(message.vm, message.incarnation)
        )

    @mailbox.handles(LedgerMoved)
    def _on_ledger_moved(self, message: LedgerMoved) -> None:
        self._ledger.on_ledger_transferred(message.owner, message.successor)

    @mailbox.handles(FreezeLedger)
    def _freeze(self, message: FreezeLedger) -> None:
        self._ledger.freeze()

    @mailbox.handles(ExportLedger)
    def _export(self, message: ExportLedger) -> ledger_state.LedgerState:
        successor = message.successor
        return self._ledger.export_to(successor.vm, successor.incarnation)

    @mailbox.handles(ReceiptReceived)
    def _apply_receipt(self, message: ReceiptReceived) -> None:
        self._ledger.transfer.apply_receipt(message.receipt)

    @mailbox.handles(GetPendingOutcomes)
    def _pending_outcomes(
        self, message: GetPendingOutcomes
    ) -> list[ledger_state.SettledCall]:
        return self._ledger.transfer.pending_outcomes()

    @mailbox.handles(OutcomesAcknowledged)
    def _acknowledge_outcomes(self, message: OutcomesAcknowledged) -> None:
        self._ledger.transfer.acknowledge_outcomes(message.settled)

    @mailbox.handles(AdoptLedger)
    def _adopt(self, message: AdoptLedger) -> ledger_state.LedgerReceipt:
        return self._ledger.adopt(message.state)

    @mailbox.handles(SettleRemoteCalls)
    def _settle(self, message: SettleRemoteCalls) -> None:
        self._decide_waiting(self._ledger.settle_remote_calls(message.settled))

    @mailbox.handles(CountKeys)
    def _count(self, message: CountKeys) -> tuple[int, int]:
        return len(self._ledger), self._ledger.in_flight_count

    @mailbox.handles(claim_storage.BucketRead)
    def _on_bucket_read(self, message: claim_storage.BucketRead) -> None:
        self._execute(claim_storage.apply_read_result(self._claims, message))

    @mailbox.handles(claim_storage.BucketWritten)
    def _on_bucket_written(self, message: claim_storage.BucketWritten) -> None:
        self._execute(claim_storage.apply_write_result(self._claims, message))

    def tick(self) -> None:
        """Expire keys and give up runs that exceed their time limit."""
        self._decide_waiting(self._ledger.tick())

    def _decide(self, call: _PendingCall) -> None:
        begin = call.begin
        decision = self._ledger.begin(
            begin.key,
            begin.customer,
            begin.digest,
            begin.first,
            begin.forwarded,
        )
        if isinstance(decision, ledger_messages.ClaimKey):
            self._claiming[decision.token] = call
            self._execute(self._claims.claim(decision))
        elif isinstance(decision, ledger_messages.WaitForRun):
            self._waiting.setdefault(decision.token, []).append(call)
        else:
            call.future.set_result(decision)

    def _decide_waiting(self, tokens: list[int]) -> None:
        """Decide again on the calls that waited for runs, which have ended.

        :param tokens: the tokens of the ended runs.
        """
        for token in tokens:
            for call in self._waiting.pop(token, []):
                self._decide(call)

    def _execute(self, actions: list[claims.Action]) -> None:
        for action in actions:
            self._execute_one(action)

    @functools.singledispatchmethod
    def _execute_one(self, action: typing.Any) -> None:
        raise TypeError(type(action))

    @_execute_one.register
    def _read(self, action: claims.ReadBucket) -> None:
        self._claim_storage.read(action)

    @_execute_one.register
    def _write(self, action: claims.WriteBucket) -> None:
        self._claim_storage.write(action)

    @_execute_one.register
    def _deliver_result(self, action: claims.DeliverResult) -> None:
        token = action.result.token
        decision = self._ledger.on_claim_result(action.result)
        call = self._claiming.pop(token, None)
        if call is not None:
            call.future.set_result(decision)
        if not isinstance(decision, ledger_messages.RunCall):
            self._decide_waiting([token])
