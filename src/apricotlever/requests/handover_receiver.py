"""Receiving side of a handover of requests and ledger between entry VMs.

It decodes the parts that a leaving VM sends and returns the action to carry
out for each. A receipt tells the leaving VM that a part was accepted; until it
arrives, the leaving VM sends the part again.
"""

import typing

from . import errors
from . import handover_parts
from . import ledger_messages
from . import ledger_state
from . import records

ASSEMBLED_BYTES_MAX = 64_000_000


class AdoptRecords:
    """Action: adopt requests, resume their streams, then send a receipt.

    :param sender: the leaving incarnation.
    :param adopted: the records of its requests.
    """

    __slots__ = ("sender", "records")

    def __init__(
        self,
        sender: ledger_messages.VmIncarnation,
        adopted: list[records.RequestRecord],
    ) -> None:
        self.sender = sender
        self.records = adopted


class AdoptLedger:
    """Action: adopt a ledger and answer whether this VM's ledger took it.

    :param state: the complete ledger, assembled from all its parts.
    """

    __slots__ = ("state",)

    def __init__(self, state: ledger_state.LedgerState) -> None:
        self.state = state


class AdoptOutcomes:
    """Action: record outcomes of calls that the sender had in flight.

    :param settled: the outcomes of keys in a ledger handed over before.
    """

    __slots__ = ("settled",)

    def __init__(self, settled: list[ledger_state.SettledCall]) -> None:
        self.settled = settled


class PartStored:
    """Action: send a receipt for a part of a ledger that is incomplete.

    The part is kept until the other parts of the ledger arrive.
    """

    __slots__ = ()


class WrongSuccessor:
    """Action: refuse a part that is addressed to another incarnation.

    The sender must not mistake the refusal for an answer of the successor
    that it chose.
    """

    __slots__ = ()


ReceiveResult: typing.TypeAlias = (
    AdoptRecords | AdoptLedger | AdoptOutcomes | PartStored | WrongSuccessor
)


class HandoverReceiver:
    """Decodes handover parts, which may arrive repeatedly and in any order.

    :param me: the incarnation of this VM, which takes over the content.
    """

    __slots__ = ("_me", "_ledgers")

    def __init__(self, me: ledger_messages.VmIncarnation) -> None:
        self._me = me
        self._ledgers: dict[
            ledger_messages.VmIncarnation, dict[int, bytes]
        ] = {}

    def receive(self, data: bytes) -> ReceiveResult:
        """Decode one part of a handover and decide what to do with it.

        The parts of a ledger are kept until all have arrived.

        :param data: the encoded part, as it was received.
        :returns: the action to carry out.
        :raises HandoverInvalid: if the part can't be decoded, or the parts of
            the ledger exceed :data:`ASSEMBLED_BYTES_MAX`.
        """
        part = handover_parts.decode(data)
        if part.successor != self._me:
            return WrongSuccessor()
        if part.kind is handover_parts.PartKind.RECORDS:
            rows = handover_parts.decode_records(part.payload)
            return AdoptRecords(part.sender, rows)
        if part.kind is handover_parts.PartKind.OUTCOMES:
            return AdoptOutcomes(ledger_state.decode_settled(part.payload))
        return self._store_ledger_part(part)

    def discard_parts(self, sender: ledger_messages.VmIncarnation) -> None:
        """Drop the ledger parts of a sender that has finished or is gone."""
        self._ledgers.pop(sender, None)

    def _store_ledger_part(self, part: handover_parts.Part) -> ReceiveResult:
        pieces = self._ledgers.setdefault(part.sender, {})
        pieces[part.index] = part.payload
        if sum(map(len, pieces.values())) > ASSEMBLED_BYTES_MAX:
            self.discard_parts(part.sender)
            raise errors.HandoverInvalid("the ledger exceeds the size limit")
        if len(pieces) < part.count:
            return PartStored()
        whole = b"".join(pieces[index] for index in sorted(pieces))
        return AdoptLedger(ledger_state.decode(whole))
