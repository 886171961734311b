"""Sends the requests and the ledger of a leaving entry VM to its peers.

The ledger holds the idempotency keys that the VM decides on. The peer that
receives it becomes the VM's successor. The receipt of a part is a peer's
answer that it accepted the part; the receipt of the ledger tells whether the
successor adopted it.

Running requests are sent first and spread over the peers, because a caller
waits for each of them. The whole ledger follows, to a single successor; a
ledger that never arrives only makes the outcome of its keys ``unknown``, which
is safe. Ended requests are sent last. Callers are redirected to a peer only
after its receipt, so that they never arrive before their requests.
"""

import itertools
import typing

from .. import clock as clocks
from . import handover_parts
from . import ledger_messages
from . import ledger_state
from . import records
from ..vms import rendezvous

PARTS_IN_FLIGHT_MAX = 8
RESEND_INTERVAL_S = 0.5


class Peer:
    """An entry VM that can take over requests; it must not be leaving.

    :param owner: the incarnation of the VM.
    :param data_centre: the data centre of the VM.
    """

    __slots__ = ("owner", "data_centre")

    def __init__(
        self, owner: ledger_messages.VmIncarnation, data_centre: str
    ) -> None:
        self.owner = owner
        self.data_centre = data_centre


class SendPart:
    """Action: send a part to the incarnation that it names as successor.

    The answer is reported to :meth:`HandoverSender.on_receipt` or
    :meth:`HandoverSender.on_refusal`.
    """

    __slots__ = ("part",)

    def __init__(self, part: handover_parts.Part) -> None:
        self.part = part


class RedirectCallers:
    """Action: redirect the callers of requests to the VM that adopted them.

    :param request_ids: the requests, which were running when they were sent.
    :param vm: the name of the VM.
    """

    __slots__ = ("request_ids", "vm")

    def __init__(self, request_ids: tuple[str, ...], vm: str) -> None:
        self.request_ids = request_ids
        self.vm = vm


class ExportLedger:
    """Action: export the ledger to the successor.

    The exported state goes to :meth:`HandoverSender.on_exported`.
    """

    __slots__ = ("successor",)

    def __init__(self, successor: ledger_messages.VmIncarnation) -> None:
        self.successor = successor


class DeliverReceipt:
    """Action: give the successor's receipt to the ledger's transfer."""

    __slots__ = ("receipt",)

    def __init__(self, receipt: ledger_state.LedgerReceipt) -> None:
        self.receipt = receipt


class AcknowledgeOutcomes:
    """Action: tell the ledger's transfer that the successor has outcomes.

    :param settled: the outcomes, which need not be sent again.
    """

    __slots__ = ("settled",)

    def __init__(self, settled: list[ledger_state.SettledCall]) -> None:
        self.settled = settled


class HandoverFinished:
    """Action: the handover has ended.

    :param complete: False if no peer was available or the deadline passed.
    """

    __slots__ = ("complete",)

    def __init__(self, complete: bool) -> None:
        self.complete = complete


Action: typing.TypeAlias = (
    SendPart
    | RedirectCallers
    | ExportLedger
    | DeliverReceipt
    | AcknowledgeOutcomes
    | HandoverFinished
)


class _UnacknowledgedPart:
    """A handover part whose receipt has not arrived yet.

    ``records`` and ``settled`` are the decoded content, empty for a part of
    the ledger. ``sent_at`` is the monotonic time of the last send, or None.
    """

    __slots__ = ("part", "records", "settled", "sent_at")

    def __init__(
        self,
        part: handover_parts.Part,
        part_records: list[records.RequestRecord],
        settled: list[ledger_state.SettledCall],
    ) -> None:
        self.part = part
        self.records = part_records
        self.settled = settled
        self.sent_at: float | None = None


class HandoverSender:
    """Decides what a leaving VM sends to which peer, until all is accepted.

    It does no I/O: its methods return actions for the caller to carry out.

    :param me: the incarnation of the leaving VM.
    :param data_centre: the data centre of this VM. Peers in other data
        centres are preferred, because this one may be reclaimed as a whole.
    :param deadline: monotonic time, in seconds, after which nothing is sent.
    """

    __slots__ = (
        "_clock",
        "_me",
        "_data_centre",
        "_deadline",
        "_peers",
        "_ended_records",
        "_queue",
        "_sequence",
        "_ledger_unsent",
        "_exporting",
        "_calls_in_flight",
        "_successor",
        "_finished",
    )

    def __init__(
        self,
        clock: clocks.Clock,
        me: ledger_messages.VmIncarnation,
        data_centre: str,
        deadline: float,
    ) -> None:
        self._clock = clock
        self._me = me
        self._data_centre = data_centre
        self._deadline = deadline
        self._peers: dict[ledger_messages.VmIncarnation, Peer] = {}
        self._ended_records: list[records.RequestRecord] = []
        self._queue: dict[int, _UnacknowledgedPart] = {}
        self._sequence = itertools.count()
        self._ledger_unsent = True
        self._exporting = False
        self._calls_in_flight = 0
        self._successor: ledger_messages.VmIncarnation | None = None
        self._finished = False

    @property
    def successor(self) -> ledger_messages.VmIncarnation | None:
        """The incarnation chosen to receive the ledger, or None."""
        return self._successor

    @property
    def unacknowledged_count(self) -> int:
        """Number of queued parts whose receipt has not arrived."""
        return len(self._queue)

    def start(
        self,
        peers: list[Peer],
        running: list[records.RequestRecord],
        ended: list[records.RequestRecord],
        in_flight: int = 0,
    ) -> list[Action]:
        """Start the handover.

        :param peers: VMs that can take over requests and the ledger.
        :param running: requests in progress.
        :param ended: ended requests whose outcome callers can still fetch.
        :param in_flight: number of keyed calls in progress.
        :returns: the actions to carry out, as from all other methods.
        """
        self._calls_in_flight = in_flight
        self._peers = {peer.owner: peer for peer in peers}
        self._ended_records = ended
        self._queue_records(running)
        return self._advance()

    def on_exported(self, state: ledger_state.LedgerState) -> list[Action]:
        """Queue the ledger that was exported for :class:`ExportLedger`.

        If the successor has changed or is gone since, the export is ignored.
        """
        self._exporting = False
        if (
            state.successor != self._successor
            or state.successor not in self._peers
        ):
            return self._advance()
        pieces = handover_parts.split_payload(ledger_state.encode(state))
        for index, piece in enumerate(pieces):
            self._enqueue(
                state.successor,
                handover_parts.PartKind.LEDGER,
                piece,
                index=index,
                count=len(pieces),
            )
        ended, self._ended_records = self._ended_records, []
        self._queue_records(ended)
        return self._advance()

    def send_outcomes(
        self, settled: list[ledger_state.SettledCall], in_flight: int
    ) -> list[Action]:
        """Queue the outcomes of calls that ended after the export.

        :param settled: outcomes that the successor has not received yet.
        :param in_flight: number of keyed calls in progress; the handover
            finishes only when it is 0.
        """
        self._calls_in_flight = in_flight
        sending = any(each.settled for each in self._queue.values())
        if self._successor is not None and settled and not sending:
            payload = ledger_state.encode_settled(settled)
            kind = handover_parts.PartKind.OUTCOMES
            self._enqueue(self._successor, kind, payload, settled=settled)
        return self._advance()

    def on_receipt(self, sequence: int) -> list[Action]:
        """Handle a peer's answer that it accepted a part.

        :param sequence: the number of the part; a repeated receipt is
            ignored.
        """
        outgoing = self._queue.pop(sequence, None)
        if outgoing is None:
            return []
        return self._actions_after_receipt(outgoing) + self._advance()

    def on_refusal(self, sequence: int) -> list[Action]:
        """Handle a part that the addressed incarnation itself refused.

        The ledger's transfer is told of the refusal, and the parts for that
        peer are sent to other peers.

        :param sequence: the number of the part.
        """
        outgoing = self._queue.get(sequence)
        if outgoing is None:
            return []
        successor = outgoing.part.successor
        refusal = ledger_state.LedgerReceipt(
            self._me, successor, accepted=False
        )
        actions: list[Action] = [DeliverReceipt(refusal)]
        return actions + self.on_peer_gone(successor)

    def on_peer_gone(
        self, owner: ledger_messages.VmIncarnation
    ) -> list[Action]:
        """Send the parts that a peer has not accepted to other peers.

        If the peer was to receive the ledger, the ledger is exported again,
        to another successor.

        :param owner: the incarnation of the peer, which is gone.
        """
        self._peers.pop(owner, None)
        lost = [
            outgoing
            for outgoing in self._queue.values()
            if outgoing.part.successor == owner
        ]
        for outgoing in lost:
            del self._queue[outgoing.part.sequence]
        self._queue_records(
            list(
                itertools.chain.from_iterable(
                    outgoing.records for outgoing in lost
                )
            )
        )
        if owner == self._successor:
            self._successor = None
            self._exporting = False
            self._ledger_unsent = True
        return self._advance()

    def tick(self) -> list[Action]:
        """Resend parts without a receipt until the deadline passes."""
        if self._clock.now() >= self._deadline:
            return self._finish(complete=False)
        return self._advance()

    def _queue_records(self, rows: list[records.RequestRecord]) -> None:
        assignments = [
            (self._pick_successor(row.request_id), row) for row in rows
        ]
        for owner in self._peers:
            assigned = [
                row for successor, row in assignments if successor == owner
            ]
            for part_records in handover_parts.group_records(assigned):
                payload = handover_parts.encode_records(part_records)
                self._enqueue(
                    owner,
                    handover_parts.PartKind.RECORDS,
                    payload,
                    part_records,
                )

    def _enqueue(
        self,
        successor: ledger_messages.VmIncarnation,
        kind: handover_parts.PartKind,
        payload: bytes,
        part_records: list[records.RequestRecord] | None = None,
        settled: list[ledger_state.SettledCall] | None = None,
        index: int = 0,
        count: int = 1,
    ) -> None:
        sequence = next(self._sequence)
        part = handover_parts.Part(
            self._me, successor, kind, sequence, index, count, payload
        )
        self._queue[sequence] = _UnacknowledgedPart(
            part, part_records or [], settled or []
        )

    def _pick_successor(
        self, key: str
    ) -> ledger_messages.VmIncarnation | None:
        remote_peers = [
            peer
            for peer in self._peers.values()
            if peer.data_centre != self._data_centre
        ]
        candidates = remote_peers or list(self._peers.values())
        by_vm = {peer.owner.vm: peer.owner for peer in candidates}
        vm = rendezvous.pick(key, by_vm)
        return None if vm is None else by_vm[vm]

    def _actions_after_receipt(
        self, outgoing: _UnacknowledgedPart
    ) -> list[Action]:
        part = outgoing.part
        if part.kind is handover_parts.PartKind.LEDGER:
            missing = any(
                each.part.kind is handover_parts.PartKind.LEDGER
                for each in self._queue.values()
            )
            receipt = ledger_state.LedgerReceipt(
                self._me, part.successor, True
            )
            return [] if missing else [DeliverReceipt(receipt)]
        if part.kind is handover_parts.PartKind.OUTCOMES:
            return [AcknowledgeOutcomes(outgoing.settled)]
        running = tuple(
            record.request_id
            for record in outgoing.records
            if record.state is records.RequestState.RUNNING
        )
        return [RedirectCallers(running, part.successor.vm)] if running else []

    def _advance(self) -> list[Action]:
        if self._finished:
            return []
        if not self._peers:
            return self._finish(complete=False)
        sends = self._due_sends()
        unsent = any(
            outgoing.sent_at is None for outgoing in self._queue.values()
        )
        if self._ledger_unsent and not unsent:
            return sends + self._export()
        busy = self._queue or self._exporting or self._calls_in_flight
        if not busy and not self._ledger_unsent:
            return sends + self._finish(complete=True)
        return sends

    def _due_sends(self) -> list[Action]:
        now = self._clock.now()
        window = list(
            itertools.islice(self._queue.values(), PARTS_IN_FLIGHT_MAX)
        )
        due = [
            outgoing
            for outgoing in window
            if outgoing.sent_at is None
            or now - outgoing.sent_at >= RESEND_INTERVAL_S
        ]
        for outgoing in due:
            outgoing.sent_at = now
        return [SendPart(outgoing.part) for outgoing in due]

    def _export(self) -> list[Action]:
        self._ledger_unsent = False
        self._successor = self._pick_successor(self._me.vm)
        if self._successor is None:
            return []
        self._exporting = True
        return [ExportLedger(self._successor)]

    def _finish(self, complete: bool) -> list[Action]:
        done, self._finished = self._finished, True
        return [] if done else [HandoverFinished(complete)]
