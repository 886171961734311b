"""The task that hands a leaving VM's requests and ledger over to peers.

The handover is sent in parts. A receipt is a peer's answer that it accepted a
part. The peer that receives the ledger, which holds the idempotency keys, is
its successor.
"""

from concurrent import futures
import functools
import typing

from .. import clock as clocks
from .. import logs
from .. import mailbox
from ..links import peer_pb2 as pb
from ..requests import handover_parts
from ..requests import handover_sender
from ..requests import ledger_messages
from ..vms import fleet_view as views

from . import context as contexts
from . import fleet_messages
from . import gossip_messages
from . import ledger_task
from . import request_registry
from . import vm_presence as presences

TICK_S = 0.1
PART_CALL_S = 1.0


class StartHandover:
    """Message: start the handover; the result is whether it was completed."""

    __slots__ = ()


class _PartResult:
    """Message: the call that sent a part to a peer has ended.

    :param sequence: the number of the part.
    :param accepted: whether the peer accepted the part; None if it did not
        answer.
    """

    __slots__ = ("sequence", "accepted")

    def __init__(self, sequence: int, accepted: bool | None) -> None:
        self.sequence = sequence
        self.accepted = accepted


class PeerGone:
    """Message: a process of a peer has certainly ended.

    :param owner: the VM and the incarnation that identify the process.
    """

    __slots__ = ("owner",)

    def __init__(self, owner: ledger_messages.VmIncarnation) -> None:
        self.owner = owner


class OutgoingHandover(mailbox.Task):
    """Runs the handover of this VM's requests and ledger, once.

    :param context: the daemon's other tasks.
    :param presence: provides the view of the peers.
    :param deadline: when the handover must end, on this VM's clock.
    """

    def __init__(
        self,
        clock: clocks.Clock,
        context: contexts.Context,
        presence: presences.VmPresence,
        deadline: float,
    ) -> None:
        super().__init__("departing", clock, TICK_S)
        self._context = context
        self._presence = presence
        config = context.config
        self._handover_sender = handover_sender.HandoverSender(
            clock,
            ledger_messages.VmIncarnation(config.vm, context.incarnation),
            config.data_centre,
            deadline,
        )
        self._completion: futures.Future[typing.Any] | None = None

    @mailbox.handles(StartHandover)
    def _hand_over(self, message: StartHandover) -> mailbox.Deferred:
        self._completion = self.defer()
        self._context.ledger.ask(ledger_task.FreezeLedger()).result()
        future = self._context.registry.ask(request_registry.GetRecords())
        all_records = future.result()
        actions = self._handover_sender.start(
            self._peers(),
            all_records.running,
            all_records.ended,
            self._keyed_calls_in_flight(),
        )
        self._execute(actions)
        return mailbox.DEFERRED

    @mailbox.handles(_PartResult)
    def _part_result(self, message: _PartResult) -> None:
        if message.accepted is None:
            return
        if message.accepted:
            actions = self._handover_sender.on_receipt(message.sequence)
        else:
            actions = self._handover_sender.on_refusal(message.sequence)
        self._execute(actions)

    @mailbox.handles(PeerGone)
    def _peer_gone(self, message: PeerGone) -> None:
        self._execute(self._handover_sender.on_peer_gone(message.owner))

    def tick(self) -> None:
        """Resend parts without a receipt, and send late outcomes.

        These are the outcomes of keyed calls that were in flight when the
        ledger was exported.
        """
        if self._completion is None:
            return
        late_outcomes = self._context.ledger.ask(
            ledger_task.GetPendingOutcomes()
        ).result()
        actions = self._handover_sender.send_outcomes(
            late_outcomes, self._keyed_calls_in_flight()
        )
        self._execute(actions)
        self._execute(self._handover_sender.tick())

    def _keyed_calls_in_flight(self) -> int:
        return int(
            self._context.ledger.ask(ledger_task.CountKeys()).result()[1]
        )

    def _peers(self) -> list[handover_sender.Peer]:
        view = self._presence.view
        if view is None:
            return []
        return [
            handover_sender.Peer(
                ledger_messages.VmIncarnation(member.vm, member.incarnation),
                member.data_centre,
            )
            for member in _other_serving_members(view, self._context.config.vm)
        ]

    def _execute(
        self, actions: typing.Iterable[handover_sender.Action]
    ) -> None:
        for action in actions:
            self._execute_one(action)

    @functools.singledispatchmethod
    def _execute_one(self, action: typing.Any) -> None:
        raise TypeError(type(action))

    @_execute_one.register
    def _send_part(self, action: handover_sender.SendPart) -> None:
        part = action.part
        call = fleet_messages.CallPeer(
            part.successor.vm,
            part.successor.incarnation,
            "Handover",
            pb.HandoverPart(part=handover_parts.encode(part)),
            PART_CALL_S,
        )

        def ended(future: "futures.Future[typing.Any]") -> None:
            failed = future.exception() is not None
            accepted = None if failed else future.result().accepted
            self.tell(_PartResult(part.sequence, accepted))

        self._context.fleet.ask(call).add_done_callback(ended)

    @_execute_one.register
    def _redirect_callers(
        self, action: handover_sender.RedirectCallers
    ) -> None:
        address = self._presence.address_of(action.vm)
        logs.event(
            "handover_sent", heir=action.vm, requests=len(action.request_ids)
        )
        self._context.registry.tell(
            request_registry.RedirectCallers(
                action.request_ids, action.vm, address
            )
        )

    @_execute_one.register
    def _export_ledger(self, action: handover_sender.ExportLedger) -> None:
        future = self._context.ledger.ask(
            ledger_task.ExportLedger(action.successor)
        )
        self._execute(self._handover_sender.on_exported(future.result()))

    @_execute_one.register
    def _deliver_receipt(self, action: handover_sender.DeliverReceipt) -> None:
        receipt = action.receipt
        self._context.ledger.tell(ledger_task.ReceiptReceived(receipt))
        if receipt.accepted:
            rumour = gossip_messages.ledger_moved_rumour(
                receipt.sender, receipt.successor
            )
            self._context.fleet.tell(fleet_messages.AnnounceRumour(rumour))

    @_execute_one.register
    def _acknowledge_outcomes(
        self, action: handover_sender.AcknowledgeOutcomes
    ) -> None:
        self._context.ledger.tell(
            ledger_task.OutcomesAcknowledged(action.settled)
        )

    @_execute_one.register
    def _finish(self, action: handover_sender.HandoverFinished) -> None:
        if not action.complete:
            logs.event(
                "handover_failed",
                parts=self._handover_sender.unacknowledged_count,
            )
        if self._completion is not None and not self._completion.done():
            self._completion.set_result(action.complete)


def vm_incarnation(vm: str, incarnation: int) -> ledger_messages.VmIncarnation:
    """Build the value by which a handover identifies a process of a VM."""
    return ledger_messages.VmIncarnation(vm, incarnation)


def _other_serving_members(view: views.FleetView, vm: str) -> list[pb.Member]:
    return [member for member in view.serving() if member.vm != vm]
