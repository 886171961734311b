"""What one VM knows about the incarnations of other VMs that own keys.

An incarnation is one process of an entry VM; it owns the idempotency keys
that its ledger decides on. Calls with keys of another incarnation are
forwarded to it, or to the successor that adopted its ledger.

Outdated knowledge is safe. If an owner is wrongly considered gone, a call is
refused as ``unknown``; if it is wrongly considered alive, a forward fails.
"""

from .. import clock as clocks
from . import ledger_messages

RETRY_AFTER_S = 1.0


class KnownIncarnations:
    """Which incarnations are gone, and which successors have their ledgers.

    :param retention_s: how long a fact is kept, in seconds; at least the life
        of a key.
    """

    __slots__ = ("_clock", "_retention_s", "_latest", "_gone", "_successors")

    def __init__(self, clock: clocks.Clock, retention_s: float) -> None:
        self._clock = clock
        self._retention_s = retention_s
        self._latest: dict[str, int] = {}
        self._gone: dict[ledger_messages.VmIncarnation, float] = {}
        self._successors: dict[
            ledger_messages.VmIncarnation,
            tuple[ledger_messages.VmIncarnation, float],
        ] = {}

    def record_alive(self, vm: str, incarnation: int) -> None:
        """Record that an incarnation is alive; older ones of its VM are gone.

        :param vm: the name of the VM.
        :param incarnation: the incarnation of the VM.
        """
        known = self._latest.get(vm, incarnation)
        self._latest[vm] = max(known, incarnation)
        self._gone.pop(ledger_messages.VmIncarnation(vm, incarnation), None)

    def record_gone(self, owner: ledger_messages.VmIncarnation) -> None:
        """Record that an incarnation has left or crashed."""
        self._gone[owner] = self._clock.now()

    def record_transfer(
        self,
        owner: ledger_messages.VmIncarnation,
        successor: ledger_messages.VmIncarnation,
    ) -> None:
        """Record which successor adopted the ledger of an incarnation."""
        self._successors[owner] = (successor, self._clock.now())

    def is_gone(self, owner: ledger_messages.VmIncarnation) -> bool:
        """Return whether an incarnation has left, crashed or restarted."""
        latest = self._latest.get(owner.vm, owner.incarnation)
        return owner in self._gone or owner.incarnation < latest

    def successor(
        self, owner: ledger_messages.VmIncarnation
    ) -> ledger_messages.VmIncarnation | None:
        """Return the incarnation that now has the ledger of another one.

        A successor may have handed the ledger over in turn, so the chain of
        handovers is followed to its end.

        :returns: None if no handover of the ledger is known.
        """
        seen = {owner}
        last = None
        following = self._successors.get(owner)
        while following is not None and following[0] not in seen:
            last = following[0]
            seen.add(last)
            following = self._successors.get(last)
        return last

    def route(
        self,
        owner: ledger_messages.VmIncarnation,
        me: ledger_messages.VmIncarnation,
        forwarded: bool,
    ) -> ledger_messages.ForwardCall | ledger_messages.RefuseCall:
        """Decide where to send a call whose key belongs to another VM.

        :param owner: the incarnation that owns the key.
        :param me: the incarnation of this VM.
        :param forwarded: whether another VM forwarded the call to this one.
        """
        successor = self.successor(owner)
        target = successor or owner
        if self.is_gone(target):
            return ledger_messages.RefuseCall(
                ledger_messages.KeyRefusalReason.OWNER_GONE,
                ledger_messages.Executed.UNKNOWN,
            )
        if target == me or (forwarded and successor is None):
            # Forwarding the call again could loop between VMs forever.
            return refuse_while_moving()
        return ledger_messages.ForwardCall(target.vm, target.incarnation)

    def expire(self) -> None:
        """Drop recorded departures and transfers older than the retention."""
        oldest = self._clock.now() - self._retention_s
        self._gone = {
            owner: at for owner, at in self._gone.items() if at >= oldest
        }
        self._successors = {
            owner: (successor, at)
            for owner, (successor, at) in self._successors.items()
            if at >= oldest
        }


def refuse_while_moving() -> ledger_messages.RefuseCall:
    """Return the refusal for a key whose ledger is being handed over."""
    return ledger_messages.RefuseCall(
        ledger_messages.KeyRefusalReason.MOVING,
        ledger_messages.Executed.UNKNOWN,
        RETRY_AFTER_S,
    )
