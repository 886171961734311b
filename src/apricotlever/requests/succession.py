"""The handover of one ledger to exactly one heir.

The heir's receipt can get lost on the way. From the first export on, the
heir may hold the ledger and run its keys, so nobody else ever may.
"""

from . import entries
from . import ledger_state
from . import messages


class Succession:
    """Who inherits a ledger, and what the heir has still to hear."""

    __slots__ = ("_me", "_heir", "_confirmed", "_late")

    def __init__(self, me: messages.Owner) -> None:
        self._me = me
        self._heir: messages.Owner | None = None
        self._confirmed = False
        self._late: dict[tuple[str, str], ledger_state.Settled] = {}

    @property
    def heir(self) -> messages.Owner | None:
        """The incarnation that the ledger was offered to."""
        return self._heir

    @property
    def confirmed(self) -> bool:
        """Whether the heir has said that it holds the ledger."""
        return self._confirmed

    def offer(self, heir: messages.Owner) -> bool:
        """Note an export.

        :returns: whether this heir may run the keys.
        """
        if self._heir is None:
            self._heir = heir
        return heir == self._heir

    def receipt(self, receipt: ledger_state.Receipt) -> None:
        """Take the heir's word; a refusal frees the choice of heir."""
        if receipt.sender != self._me or receipt.heir != self._heir:
            return
        if receipt.accepted:
            self._confirmed = True
        elif not self._confirmed:
            # The refusal comes from the very incarnation that was offered
            # the ledger, so it never ran a key and never will.
            self._heir = None

    def ended(self, entry: entries.Entry) -> None:
        """Note how a call ended, in case it was exported in flight."""
        if self._heir is not None:
            name = (entry.customer, entry.key)
            self._late[name] = ledger_state.Settled(
                entry.customer, entry.key, entry.state, entry.answer
            )

    def outcomes(self) -> list[ledger_state.Settled]:
        """Outcomes to send, none before the heir holds the ledger."""
        return list(self._late.values()) if self._confirmed else []

    def received(self, sent: list[ledger_state.Settled]) -> None:
        """Stop repeating outcomes that the heir has received."""
        for settled in sent:
            self._late.pop((settled.customer, settled.key), None)


def export_origin(
    origin: entries.Origin, may_run: bool, now: float
) -> ledger_state.OriginState:
    """Write down one incarnation's share of a ledger."""
    ended = now if origin.ended is None else origin.ended
    return ledger_state.OriginState(
        origin.owner,
        origin.secret,
        now - origin.started,
        origin.floor_s,
        origin.may_run and may_run,
        now - ended,
    )


def export_entry(
    entry: entries.Entry, me: messages.Owner, now: float
) -> ledger_state.EntryState:
    """Write down one key; a call in flight stays with this VM."""
    here = me if entry.in_flight else None
    return ledger_state.EntryState(
        entry.customer,
        entry.key,
        entry.digest,
        entry.state,
        entry.minted_s,
        None if entry.origin is None else entry.origin.owner,
        now - entry.since,
        entry.nonce,
        entry.certain,
        entry.written,
        entry.away or here,
        entry.answer,
    )


def adopt_origin(
    state: ledger_state.OriginState, now: float
) -> entries.Origin:
    """Rebuild an incarnation's share on this VM's clock.

    The time on the way is not counted, so its keys look a little younger
    and are kept a little longer.
    """
    return entries.Origin(
        state.owner,
        state.secret,
        now - state.elapsed_s,
        state.floor_s,
        state.may_run,
        now - state.ended_s,
    )


def adopt_entry(
    state: ledger_state.EntryState,
    origin: entries.Origin | None,
    may_run: bool,
    now: float,
) -> entries.Entry:
    """Rebuild one key on this VM's clock.

    :param may_run: False turns a key that never ran into ``unknown``,
        because another heir may be running it.
    """
    idle = state.state is entries.State.NOT_RUN
    entry = entries.Entry(
        state.customer,
        state.key,
        state.digest,
        entries.State.UNKNOWN if idle and not may_run else state.state,
        state.minted_s,
        origin,
        now - state.age_s,
        state.nonce,
        state.certain,
        state.written,
    )
    entry.away = state.away
    return entry


def outranks(
    state: ledger_state.EntryState, local: entries.Entry | None
) -> bool:
    """Whether an adopted key replaces the heir's own entry, if any.

    Only an entry that never held the claim gives way.
    """
    decided = state.certain or state.state is not entries.State.NOT_RUN
    return local is None or (decided and local.may_claim_again)
