"""The transfer of a leaving VM's ledger to exactly one successor.

The successor is the VM incarnation that decides on the ledger's keys from
then on. Its receipt tells whether it adopted the ledger.

The receipt can get lost. From the first export on, the successor
may hold the ledger and run its keys, so no other VM may ever run them unless
that successor refuses the ledger.
"""

from . import ledger_entries
from . import ledger_messages
from . import ledger_state


class LedgerTransfer:
    """The successor of a ledger, and the call outcomes to send to it.

    Calls that are in flight at the export still run on the leaving VM. Their
    outcomes are sent to the successor until it acknowledges them.

    :param me: the incarnation whose ledger is transferred.
    """

    __slots__ = ("_me", "_successor", "_confirmed", "_unacknowledged")

    def __init__(self, me: ledger_messages.VmIncarnation) -> None:
        self._me = me
        self._successor: ledger_messages.VmIncarnation | None = None
        self._confirmed = False
        self._unacknowledged: dict[
            tuple[str, str], ledger_state.SettledCall
        ] = {}

    @property
    def successor(self) -> ledger_messages.VmIncarnation | None:
        """The incarnation that the ledger was first exported to, or None."""
        return self._successor

    @property
    def confirmed(self) -> bool:
        """Whether the successor has confirmed that it holds the ledger."""
        return self._confirmed

    def record_export(self, successor: ledger_messages.VmIncarnation) -> bool:
        """Record an export of the ledger.

        :returns: whether this successor may run the keys.
        """
        if self._successor is None:
            self._successor = successor
        return successor == self._successor

    def apply_receipt(self, receipt: ledger_state.LedgerReceipt) -> None:
        """Process the successor's answer to the exported ledger.

        A refusal allows another successor. A receipt of another incarnation
        is ignored.
        """
        if receipt.sender != self._me or receipt.successor != self._successor:
            return
        if receipt.accepted:
            self._confirmed = True
        elif not self._confirmed:
            # The refusal comes from the same incarnation that the ledger
            # was sent to, so that VM never ran a key of it and never will.
            self._successor = None

    def record_outcome(self, entry: ledger_entries.Entry) -> None:
        """Record the outcome of a call, in case it was exported in flight.

        Nothing is recorded before the first export.
        """
        if self._successor is not None:
            name = (entry.customer, entry.key)
            self._unacknowledged[name] = ledger_state.SettledCall(
                entry.customer, entry.key, entry.state, entry.answer
            )

    def pending_outcomes(self) -> list[ledger_state.SettledCall]:
        """Return the outcomes to send to the successor.

        There are none before the successor has confirmed that it holds the
        ledger, which has the entries of these calls.
        """
        return list(self._unacknowledged.values()) if self._confirmed else []

    def acknowledge_outcomes(
        self, sent: list[ledger_state.SettledCall]
    ) -> None:
        """Remove outcomes that the successor has received.

        :param sent: what :meth:`pending_outcomes` returned when they were
            sent.
        """
        for settled in sent:
            self._unacknowledged.pop((settled.customer, settled.key), None)


def export_issuer(
    issuer: ledger_entries.KeyIssuer, may_run: bool, now: float
) -> ledger_state.KeyIssuerState:
    """Convert an issuer of minted keys to its exported form.

    Times become durations up to now, because the successor's clock differs.

    :param may_run: False if another successor may run the keys.
    :param now: monotonic time in seconds.
    """
    ended = now if issuer.ended is None else issuer.ended
    return ledger_state.KeyIssuerState(
        issuer.owner,
        issuer.secret,
        now - issuer.started,
        issuer.forgotten_until_s,
        issuer.may_run and may_run,
        now - ended,
    )


def export_entry(
    entry: ledger_entries.Entry, me: ledger_messages.VmIncarnation, now: float
) -> ledger_state.EntryState:
    """Convert an entry of a key to its exported form.

    A call in flight keeps running on this VM, which the exported entry names.

    :param me: the incarnation of this VM.
    :param now: monotonic time in seconds.
    """
    running_on = me if entry.in_flight else None
    return ledger_state.EntryState(
        entry.customer,
        entry.key,
        entry.digest,
        entry.state,
        entry.minted_s,
        None if entry.issuer is None else entry.issuer.owner,
        now - entry.updated_at,
        entry.nonce,
        entry.claim_held,
        entry.maybe_claimed,
        entry.running_on or running_on,
        entry.answer,
    )


def import_issuer(
    state: ledger_state.KeyIssuerState, now: float
) -> ledger_entries.KeyIssuer:
    """Convert an exported issuer to times of this VM's clock.

    The time of the transfer is not counted, so the keys appear slightly
    younger and are kept slightly longer.

    :param now: monotonic time in seconds.
    """
    return ledger_entries.KeyIssuer(
        state.owner,
        state.secret,
        now - state.elapsed_s,
        state.forgotten_until_s,
        state.may_run,
        now - state.ended_s,
    )


def import_entry(
    state: ledger_state.EntryState,
    issuer: ledger_entries.KeyIssuer | None,
    may_run: bool,
    now: float,
) -> ledger_entries.Entry:
    """Convert an exported entry to one of this VM's ledger.

    :param issuer: the issuer of a minted key; None for a key chosen by the
        caller.
    :param may_run: if False, a key that never ran becomes ``unknown``,
        because another successor may be running it.
    :param now: monotonic time in seconds.
    """
    idle = state.state is ledger_entries.RunState.NOT_RUN
    entry = ledger_entries.Entry(
        state.customer,
        state.key,
        state.digest,
        (
            ledger_entries.RunState.UNKNOWN
            if idle and not may_run
            else state.state
        ),
        state.minted_s,
        issuer,
        now - state.age_s,
        state.nonce,
        state.claim_held,
        state.maybe_claimed,
    )
    entry.running_on = state.running_on
    return entry


def replaces_local(
    state: ledger_state.EntryState, local: ledger_entries.Entry | None
) -> bool:
    """Return whether an adopted entry is added to the successor's ledger.

    If the ledger has an entry of the same key, only an entry that never held
    the claim is replaced.

    :param state: the entry in the adopted ledger.
    :param local: the ledger's own entry of the same key, or None.
    """
    decided = (
        state.claim_held or state.state is not ledger_entries.RunState.NOT_RUN
    )
    return local is None or (decided and local.may_claim_again)
