"""The heir's side of a handover: parts in, whole things out."""

import typing

from . import errors
from . import handover
from . import ledger_state
from . import messages
from . import records

ASSEMBLED_BYTES_MAX = 64_000_000


class AdoptRecords:
    """Adopt these requests, resume their streams, then give the receipt."""

    __slots__ = ("sender", "records")

    def __init__(
        self, sender: messages.Owner, adopted: list[records.Record]
    ) -> None:
        self.sender = sender
        self.records = adopted


class AdoptLedger:
    """Adopt this ledger; the receipt follows the ledger's own."""

    __slots__ = ("state",)

    def __init__(self, state: ledger_state.LedgerState) -> None:
        self.state = state


class AdoptOutcomes:
    """Settle keys that the sender had in flight."""

    __slots__ = ("settled",)

    def __init__(self, settled: list[ledger_state.Settled]) -> None:
        self.settled = settled


class Received:
    """The part was kept, others are missing: give the receipt."""

    __slots__ = ()


class WrongHeir:
    """The part is meant for another incarnation: refuse it.

    The sender must not take it for the word of the heir that it chose.
    """

    __slots__ = ()


Taken: typing.TypeAlias = (
    AdoptRecords | AdoptLedger | AdoptOutcomes | Received | WrongHeir
)


class Intake:
    """Puts parts together. Any part may come twice or out of order.

    :param me: the incarnation that takes over.
    """

    __slots__ = ("_me", "_ledgers")

    def __init__(self, me: messages.Owner) -> None:
        self._me = me
        self._ledgers: dict[messages.Owner, dict[int, bytes]] = {}

    def receive(self, data: bytes) -> Taken:
        """Take one part.

        :raises HandoverInvalid: if it can't be read.
        """
        part = handover.decode(data)
        if part.heir != self._me:
            return WrongHeir()
        if part.kind is handover.Kind.RECORDS:
            rows = handover.decode_records(part.payload)
            return AdoptRecords(part.sender, rows)
        if part.kind is handover.Kind.OUTCOMES:
            return AdoptOutcomes(ledger_state.decode_settled(part.payload))
        return self._ledger(part)

    def forget(self, sender: messages.Owner) -> None:
        """Drop the parts of a sender that is done or gone."""
        self._ledgers.pop(sender, None)

    def _ledger(self, part: handover.Part) -> Taken:
        pieces = self._ledgers.setdefault(part.sender, {})
        pieces[part.index] = part.payload
        if sum(map(len, pieces.values())) > ASSEMBLED_BYTES_MAX:
            self.forget(part.sender)
            raise errors.HandoverInvalid("the ledger is too large")
        if len(pieces) < part.count:
            return Received()
        whole = b"".join(pieces[index] for index in sorted(pieces))
        return AdoptLedger(ledger_state.decode(whole))
