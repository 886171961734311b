"""The task that hands a leaving VM's requests and ledger to its peers."""

from concurrent import futures
import functools
import typing

from .. import clock as clocks
from .. import logs
from .. import mailbox
from ..links import peer_pb2 as pb
from ..requests import handover_parts
from ..requests import handover_sender
from ..requests import ledger_messages as keyed
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
    """Hand everything over; answered with whether all was taken."""

    __slots__ = ()


class _Receipt:
    """A peer answered a part, or not.

    :param accepted: None when no answer came.
    """

    __slots__ = ("sequence", "accepted")

    def __init__(self, sequence: int, accepted: bool | None) -> None:
        self.sequence = sequence
        self.accepted = accepted


class OwnerGone:
    """An incarnation of a peer is gone for certain."""

    __slots__ = ("owner",)

    def __init__(self, owner: keyed.VmIncarnation) -> None:
        self.owner = owner


class OutgoingHandover(mailbox.Task):
    """Hands over, once.

    :param context: the daemon's other tasks.
    :param presence: knows the peers.
    :param deadline: when this VM ends, on its own clock.
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
        self._departure = handover_sender.HandoverSender(
            clock,
            keyed.VmIncarnation(config.vm, context.incarnation),
            config.data_centre,
            deadline,
        )
        self._finished: futures.Future[typing.Any] | None = None

    @mailbox.handles(StartHandover)
    def _hand_over(self, message: StartHandover) -> mailbox.Deferred:
        self._finished = self.defer()
        self._context.ledger.ask(ledger_task.Freeze()).result()
        asked = self._context.registry.ask(request_registry.Snapshot())
        everything = asked.result()
        found = self._departure.start(
            self._peers(),
            everything.running,
            everything.ended,
            self._in_flight(),
        )
        self._carry_out(found)
        return mailbox.DEFERRED

    @mailbox.handles(_Receipt)
    def _received(self, message: _Receipt) -> None:
        if message.accepted is None:
            return
        if message.accepted:
            found = self._departure.on_receipt(message.sequence)
        else:
            found = self._departure.on_refusal(message.sequence)
        self._carry_out(found)

    @mailbox.handles(OwnerGone)
    def _owner_gone(self, message: OwnerGone) -> None:
        self._carry_out(self._departure.on_peer_gone(message.owner))

    def tick(self) -> None:
        """Send again what has no receipt, and outcomes that came late."""
        if self._finished is None:
            return
        late = self._context.ledger.ask(ledger_task.LateOutcomes()).result()
        found = self._departure.send_outcomes(late, self._in_flight())
        self._carry_out(found)
        self._carry_out(self._departure.tick())

    def _in_flight(self) -> int:
        return int(self._context.ledger.ask(ledger_task.Count()).result()[1])

    def _peers(self) -> list[handover_sender.Peer]:
        view = self._presence.view
        if view is None:
            return []
        return [
            handover_sender.Peer(
                keyed.VmIncarnation(member.vm, member.incarnation),
                member.data_centre,
            )
            for member in _others(view, self._context.config.vm)
        ]

    def _carry_out(
        self, found: typing.Iterable[handover_sender.Action]
    ) -> None:
        for action in found:
            self._carry_out_one(action)

    @functools.singledispatchmethod
    def _carry_out_one(self, action: typing.Any) -> None:
        raise TypeError(type(action))

    @_carry_out_one.register
    def _send(self, action: handover_sender.SendPart) -> None:
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
            self.tell(_Receipt(part.sequence, accepted))

        self._context.fleet.ask(call).add_done_callback(ended)

    @_carry_out_one.register
    def _tell_moved(self, action: handover_sender.RedirectCallers) -> None:
        address = self._presence.address_of(action.vm)
        logs.event(
            "handover_sent", heir=action.vm, requests=len(action.request_ids)
        )
        self._context.registry.tell(
            request_registry.TellMoved(action.request_ids, action.vm, address)
        )

    @_carry_out_one.register
    def _export(self, action: handover_sender.ExportLedger) -> None:
        asked = self._context.ledger.ask(ledger_task.Export(action.successor))
        self._carry_out(self._departure.on_exported(asked.result()))

    @_carry_out_one.register
    def _ledger_received(self, action: handover_sender.DeliverReceipt) -> None:
        receipt = action.receipt
        self._context.ledger.tell(ledger_task.HeirAnswered(receipt))
        if receipt.accepted:
            moved = gossip_messages.of_ledger_moved(
                receipt.sender, receipt.successor
            )
            self._context.fleet.tell(fleet_messages.Announce(moved))

    @_carry_out_one.register
    def _outcomes_received(
        self, action: handover_sender.AcknowledgeOutcomes
    ) -> None:
        self._context.ledger.tell(ledger_task.OutcomesReceived(action.settled))

    @_carry_out_one.register
    def _done(self, action: handover_sender.HandoverFinished) -> None:
        if not action.complete:
            logs.event(
                "handover_failed", parts=self._departure.unacknowledged_count
            )
        if self._finished is not None and not self._finished.done():
            self._finished.set_result(action.complete)


def owner(vm: str, incarnation: int) -> keyed.VmIncarnation:
    """An incarnation as the handover names it."""
    return keyed.VmIncarnation(vm, incarnation)


def _others(view: views.FleetView, vm: str) -> list[pb.Member]:
    return [member for member in view.serving() if member.vm != vm]
