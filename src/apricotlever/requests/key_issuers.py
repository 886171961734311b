"""The VM incarnations whose minted keys a ledger decides on.

An issuer is an incarnation of an entry VM that minted idempotency keys. A
ledger decides on the keys of its own incarnation and, after a handover, on
those of the incarnations whose ledgers it adopted.
"""

from .. import clock as clocks
from . import active_runs
from . import known_incarnations
from . import ledger_entries
from . import ledger_messages
from . import ledger_state
from . import ledger_transfer


class KeyIssuers:
    """The issuers of one ledger; exports and adopts ledgers with them.

    :param limits: how long issuers and adopted ledgers are remembered.
    :param table: the entries of the ledger.
    :param active_runs: the runs in flight of the ledger.
    :param incarnations: which incarnations are gone, and their successors.
    :param own_issuer: the issuer of the ledger's own keys.
    """

    __slots__ = (
        "_clock",
        "_limits",
        "_table",
        "_runs",
        "_incarnations",
        "_me",
        "_issuers",
        "_adopted",
    )

    def __init__(
        self,
        clock: clocks.Clock,
        limits: ledger_entries.LedgerLimits,
        table: ledger_entries.EntryTable,
        active_runs: active_runs.ActiveRuns,
        incarnations: known_incarnations.KnownIncarnations,
        own_issuer: ledger_entries.KeyIssuer,
    ) -> None:
        self._clock = clock
        self._limits = limits
        self._table = table
        self._runs = active_runs
        self._incarnations = incarnations
        self._me = own_issuer.owner
        self._issuers = {own_issuer.owner: own_issuer}
        self._adopted: dict[ledger_messages.VmIncarnation, float] = {}

    def __contains__(self, owner: ledger_messages.VmIncarnation) -> bool:
        return owner in self._issuers

    def find(
        self, owner: ledger_messages.VmIncarnation
    ) -> ledger_entries.KeyIssuer | None:
        """Return the issuer of an incarnation's keys.

        :returns: None if another ledger decides on these keys.
        """
        return self._issuers.get(owner)

    def export(
        self, successor: ledger_messages.VmIncarnation, may_run: bool
    ) -> ledger_state.LedgerState:
        """Return the state of the ledger, to be sent to a successor.

        :param successor: the incarnation that is to adopt the ledger.
        :param may_run: False if another successor may run the keys.
        """
        now = self._clock.now()
        issuers = [
            ledger_transfer.export_issuer(issuer, may_run, now)
            for issuer in self._issuers.values()
        ]
        rows = [
            ledger_transfer.export_entry(entry, self._me, now)
            for entry in self._table.all()
        ]
        return ledger_state.LedgerState(
            self._me, successor, may_run, issuers, rows
        )

    def adopt(
        self, state: ledger_state.LedgerState, frozen: bool
    ) -> ledger_state.LedgerReceipt:
        """Adopt the issuers and entries of another VM's ledger.

        A repeated copy changes nothing.

        :param state: the ledger as its VM exported it.
        :param frozen: whether this ledger is itself being handed over; it
            then refuses new ledgers.
        :returns: the answer for the sender.
        """
        known = state.sender in self._adopted
        accepted = known or (state.successor == self._me and not frozen)
        if accepted and not known:
            self._adopt(state)
        return ledger_state.LedgerReceipt(state.sender, self._me, accepted)

    def settle(self, settled: list[ledger_state.SettledCall]) -> list[int]:
        """Record the outcomes of calls that a leaving VM had in flight.

        :param settled: the outcomes, of keys in a ledger adopted before.
        :returns: the tokens of the runs that ended.
        """
        found = [
            (self._table.get(item.customer, item.key), item)
            for item in settled
        ]
        waiting = [
            (entry, item)
            for entry, item in found
            if entry is not None and entry.running_on and entry.in_flight
        ]
        for entry, item in waiting:
            self._runs.settle(entry, item.state, item.answer)
        return [entry.token for entry, _ in waiting]

    def expire(self) -> None:
        """Remove issuers whose minted keys have all expired."""
        now = self._clock.now()
        retention_s = self._limits.minted_key_life_s + self._limits.margin_s
        self._issuers = {
            owner: issuer
            for owner, issuer in self._issuers.items()
            if issuer.ended is None or now - issuer.ended <= retention_s
        }
        self._adopted = {
            sender: at
            for sender, at in self._adopted.items()
            if now - at <= self._limits.caller_key_life_s
        }

    def _adopt(self, state: ledger_state.LedgerState) -> None:
        now = self._clock.now()
        self._adopted[state.sender] = now
        taken = {
            item.owner: ledger_transfer.import_issuer(item, now)
            for item in state.issuers
            if item.owner not in self._issuers
        }
        self._issuers.update(taken)
        for item in state.entries:
            issuer = taken.get(item.issuer) if item.issuer else None
            if issuer is not None or item.issuer is None:
                self._adopt_entry(item, issuer, state.may_run)

    def _adopt_entry(
        self,
        item: ledger_state.EntryState,
        issuer: ledger_entries.KeyIssuer | None,
        may_run: bool,
    ) -> None:
        local = self._table.get(item.customer, item.key)
        if not ledger_transfer.replaces_local(item, local):
            return
        if local is not None:
            self._runs.release(local)
        now = self._clock.now()
        entry = ledger_transfer.import_entry(item, issuer, may_run, now)
        if not self._table.add(entry):
            self._table.forget(entry)
            return
        if entry.in_flight:
            self._runs.activate(entry)
        if item.answer is not None:
            self._table.keep_answer(entry, item.answer, now)
        if entry.running_on and self._incarnations.is_gone(entry.running_on):
            self._runs.settle(entry, ledger_entries.RunState.UNKNOWN)
