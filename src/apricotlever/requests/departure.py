"""The order in which a leaving entry VM hands over what it has.

Running requests go first, spread over the peers, for a caller waits on each.
The ledger follows, whole, to one heir: without it keys are ``unknown``,
which is safe. Ended requests go last. A caller is told where to go only
after the peer's receipt, so that it never arrives before its request.
"""

import itertools
import typing

from .. import clock as clocks
from . import handover
from . import ledger_state
from . import messages
from . import records
from ..vms import rendezvous

WINDOW = 8
RESEND_S = 0.5


class Peer:
    """An entry VM that may take over; leaving ones must not be listed."""

    __slots__ = ("owner", "data_centre")

    def __init__(self, owner: messages.Owner, data_centre: str) -> None:
        self.owner = owner
        self.data_centre = data_centre


class Send:
    """Send a part; its receipt goes to :meth:`Departure.receipt`."""

    __slots__ = ("part",)

    def __init__(self, part: handover.Part) -> None:
        self.part = part


class TellMoved:
    """Tell the callers of these requests where to go on."""

    __slots__ = ("request_ids", "vm")

    def __init__(self, request_ids: tuple[str, ...], vm: str) -> None:
        self.request_ids = request_ids
        self.vm = vm


class ExportLedger:
    """Call the ledger's ``hand_over`` and give the state back."""

    __slots__ = ("heir",)

    def __init__(self, heir: messages.Owner) -> None:
        self.heir = heir


class LedgerReceived:
    """The heir's word; the ledger takes it with ``receipt``."""

    __slots__ = ("receipt",)

    def __init__(self, receipt: ledger_state.Receipt) -> None:
        self.receipt = receipt


class OutcomesReceived:
    """The heir knows these; the ledger's succession takes them."""

    __slots__ = ("settled",)

    def __init__(self, settled: list[ledger_state.Settled]) -> None:
        self.settled = settled


class Finished:
    """Nothing is left to send.

    :param complete: False if no peer was there, or the time ran out.
    """

    __slots__ = ("complete",)

    def __init__(self, complete: bool) -> None:
        self.complete = complete


Action: typing.TypeAlias = (
    Send
    | TellMoved
    | ExportLedger
    | LedgerReceived
    | OutcomesReceived
    | Finished
)


class _Outgoing:
    """A part without a receipt yet."""

    __slots__ = ("part", "records", "settled", "sent_at")

    def __init__(
        self,
        part: handover.Part,
        part_records: list[records.Record],
        settled: list[ledger_state.Settled],
    ) -> None:
        self.part = part
        self.records = part_records
        self.settled = settled
        self.sent_at: float | None = None


class Departure:
    """One VM's handover, from the first part to the last receipt.

    :param data_centre: of this VM; peers elsewhere are preferred, for this
        data centre may be on its way out as a whole.
    :param deadline: monotonic time after which nothing more is sent.
    """

    __slots__ = (
        "_clock",
        "_me",
        "_data_centre",
        "_deadline",
        "_peers",
        "_ended",
        "_queue",
        "_sequence",
        "_ledger_left",
        "_exporting",
        "_in_flight",
        "_heir",
        "_finished",
    )

    def __init__(
        self,
        clock: clocks.Clock,
        me: messages.Owner,
        data_centre: str,
        deadline: float,
    ) -> None:
        self._clock = clock
        self._me = me
        self._data_centre = data_centre
        self._deadline = deadline
        self._peers: dict[messages.Owner, Peer] = {}
        self._ended: list[records.Record] = []
        self._queue: dict[int, _Outgoing] = {}
        self._sequence = itertools.count()
        self._ledger_left = True
        self._exporting = False
        self._in_flight = 0
        self._heir: messages.Owner | None = None
        self._finished = False

    @property
    def heir(self) -> messages.Owner | None:
        """The incarnation that gets the ledger."""
        return self._heir

    @property
    def unreceived(self) -> int:
        """Parts that have no receipt yet."""
        return len(self._queue)

    def begin(
        self,
        peers: list[Peer],
        running: list[records.Record],
        ended: list[records.Record],
        in_flight: int = 0,
    ) -> list[Action]:
        """Start to hand over.

        :param ended: requests whose outcome callers may still ask for.
        :param in_flight: keyed calls that have not ended.
        """
        self._in_flight = in_flight
        self._peers = {peer.owner: peer for peer in peers}
        self._ended = ended
        self._queue_records(running)
        return self._go_on()

    def exported(self, state: ledger_state.LedgerState) -> list[Action]:
        """Queue the ledger that :class:`ExportLedger` asked for."""
        self._exporting = False
        if state.heir != self._heir or state.heir not in self._peers:
            return self._go_on()
        pieces = handover.cut(ledger_state.encode(state))
        for index, piece in enumerate(pieces):
            self._enqueue(
                state.heir,
                handover.Kind.LEDGER,
                piece,
                index=index,
                count=len(pieces),
            )
        ended, self._ended = self._ended, []
        self._queue_records(ended)
        return self._go_on()

    def outcomes(
        self, settled: list[ledger_state.Settled], in_flight: int
    ) -> list[Action]:
        """Queue the outcomes of calls that have ended since the export.

        :param settled: what the ledger's succession still has to send.
        :param in_flight: calls that have not ended; 0 lets it finish.
        """
        self._in_flight = in_flight
        under_way = any(each.settled for each in self._queue.values())
        if self._heir is not None and settled and not under_way:
            payload = ledger_state.encode_settled(settled)
            kind = handover.Kind.OUTCOMES
            self._enqueue(self._heir, kind, payload, settled=settled)
        return self._go_on()

    def receipt(self, sequence: int) -> list[Action]:
        """The peer has taken a part."""
        outgoing = self._queue.pop(sequence, None)
        if outgoing is None:
            return []
        return self._received(outgoing) + self._go_on()

    def refused(self, sequence: int) -> list[Action]:
        """The very incarnation that was asked takes nothing over."""
        outgoing = self._queue.get(sequence)
        if outgoing is None:
            return []
        heir = outgoing.part.heir
        refusal = ledger_state.Receipt(self._me, heir, accepted=False)
        told: list[Action] = [LedgerReceived(refusal)]
        return told + self.peer_gone(heir)

    def peer_gone(self, owner: messages.Owner) -> list[Action]:
        """A peer has left, died or was replaced: send its parts elsewhere."""
        self._peers.pop(owner, None)
        lost = [
            outgoing
            for outgoing in self._queue.values()
            if outgoing.part.heir == owner
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
        if owner == self._heir:
            self._heir = None
            self._exporting = False
            self._ledger_left = True
        return self._go_on()

    def tick(self) -> list[Action]:
        """Send again what has no receipt, until the time is over."""
        if self._clock.now() >= self._deadline:
            return self._finish(complete=False)
        return self._go_on()

    def _queue_records(self, rows: list[records.Record]) -> None:
        placed = [(self._choose(row.request_id), row) for row in rows]
        for owner in self._peers:
            mine = [row for heir, row in placed if heir == owner]
            for grouped in handover.group(mine):
                payload = handover.encode_records(grouped)
                self._enqueue(owner, handover.Kind.RECORDS, payload, grouped)

    def _enqueue(
        self,
        heir: messages.Owner,
        kind: handover.Kind,
        payload: bytes,
        part_records: list[records.Record] | None = None,
        settled: list[ledger_state.Settled] | None = None,
        index: int = 0,
        count: int = 1,
    ) -> None:
        sequence = next(self._sequence)
        part = handover.Part(
            self._me, heir, kind, sequence, index, count, payload
        )
        self._queue[sequence] = _Outgoing(
            part, part_records or [], settled or []
        )

    def _choose(self, key: str) -> messages.Owner | None:
        elsewhere = [
            peer
            for peer in self._peers.values()
            if peer.data_centre != self._data_centre
        ]
        among = elsewhere or list(self._peers.values())
        by_vm = {peer.owner.vm: peer.owner for peer in among}
        vm = rendezvous.pick(key, by_vm)
        return None if vm is None else by_vm[vm]

    def _received(self, outgoing: _Outgoing) -> list[Action]:
        part = outgoing.part
        if part.kind is handover.Kind.LEDGER:
            missing = any(
                each.part.kind is handover.Kind.LEDGER
                for each in self._queue.values()
            )
            receipt = ledger_state.Receipt(self._me, part.heir, True)
            return [] if missing else [LedgerReceived(receipt)]
        if part.kind is handover.Kind.OUTCOMES:
            return [OutcomesReceived(outgoing.settled)]
        running = tuple(
            record.request_id
            for record in outgoing.records
            if record.state is records.State.RUNNING
        )
        return [TellMoved(running, part.heir.vm)] if running else []

    def _go_on(self) -> list[Action]:
        if self._finished:
            return []
        if not self._peers:
            return self._finish(complete=False)
        sends = self._sends()
        unsent = any(
            outgoing.sent_at is None for outgoing in self._queue.values()
        )
        if self._ledger_left and not unsent:
            return sends + self._export()
        busy = self._queue or self._exporting or self._in_flight
        if not busy and not self._ledger_left:
            return sends + self._finish(complete=True)
        return sends

    def _sends(self) -> list[Action]:
        now = self._clock.now()
        window = list(itertools.islice(self._queue.values(), WINDOW))
        due = [
            outgoing
            for outgoing in window
            if outgoing.sent_at is None or now - outgoing.sent_at >= RESEND_S
        ]
        for outgoing in due:
            outgoing.sent_at = now
        return [Send(outgoing.part) for outgoing in due]

    def _export(self) -> list[Action]:
        self._ledger_left = False
        self._heir = self._choose(self._me.vm)
        if self._heir is None:
            return []
        self._exporting = True
        return [ExportLedger(self._heir)]

    def _finish(self, complete: bool) -> list[Action]:
        done, self._finished = self._finished, True
        return [] if done else [Finished(complete)]
