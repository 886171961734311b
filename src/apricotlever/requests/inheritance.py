"""What an heir takes over: the keys of VMs that have left."""

from .. import clock as clocks
from . import entries
from . import ledger_state
from . import messages
from . import owners
from . import runs
from . import succession


class Inheritance:
    """The incarnations whose keys a ledger judges, its own and adopted.

    :param own: the share of the ledger's own incarnation.
    """

    __slots__ = (
        "_clock",
        "_bounds",
        "_table",
        "_runs",
        "_owners",
        "_me",
        "_origins",
        "_adopted",
    )

    def __init__(
        self,
        clock: clocks.Clock,
        bounds: entries.Bounds,
        table: entries.Table,
        ledger_runs: runs.Runs,
        known_owners: owners.Owners,
        own: entries.Origin,
    ) -> None:
        self._clock = clock
        self._bounds = bounds
        self._table = table
        self._runs = ledger_runs
        self._owners = known_owners
        self._me = own.owner
        self._origins = {own.owner: own}
        self._adopted: dict[messages.Owner, float] = {}

    def __contains__(self, owner: messages.Owner) -> bool:
        return owner in self._origins

    def origin(self, owner: messages.Owner) -> entries.Origin | None:
        """Find the share of an incarnation, if it is judged here."""
        return self._origins.get(owner)

    def export(
        self, heir: messages.Owner, may_run: bool
    ) -> ledger_state.LedgerState:
        """Write down everything, for one heir.

        :param may_run: False if another heir may hold a live copy.
        """
        now = self._clock.now()
        origins = [
            succession.export_origin(origin, may_run, now)
            for origin in self._origins.values()
        ]
        rows = [
            succession.export_entry(entry, self._me, now)
            for entry in self._table.all()
        ]
        return ledger_state.LedgerState(self._me, heir, may_run, origins, rows)

    def adopt(
        self, state: ledger_state.LedgerState, frozen: bool
    ) -> ledger_state.Receipt:
        """Take over a ledger; a copy that comes later changes nothing.

        :param frozen: this ledger is itself on the way to an heir.
        """
        known = state.sender in self._adopted
        accepted = known or (state.heir == self._me and not frozen)
        if accepted and not known:
            self._adopt(state)
        return ledger_state.Receipt(state.sender, self._me, accepted)

    def settle(self, settled: list[ledger_state.Settled]) -> list[int]:
        """Note how calls ended that a leaving VM had in flight.

        :returns: their tokens.
        """
        found = [
            (self._table.get(item.customer, item.key), item)
            for item in settled
        ]
        waiting = [
            (entry, item)
            for entry, item in found
            if entry is not None and entry.away and entry.in_flight
        ]
        for entry, item in waiting:
            self._runs.settle(entry, item.state, item.answer)
        return [entry.token for entry, _ in waiting]

    def expire(self) -> None:
        """Forget incarnations whose keys have all expired."""
        now = self._clock.now()
        keep_s = self._bounds.key_life_s + self._bounds.margin_s
        self._origins = {
            owner: origin
            for owner, origin in self._origins.items()
            if origin.ended is None or now - origin.ended <= keep_s
        }
        self._adopted = {
            sender: at
            for sender, at in self._adopted.items()
            if now - at <= self._bounds.made_life_s
        }

    def _adopt(self, state: ledger_state.LedgerState) -> None:
        now = self._clock.now()
        self._adopted[state.sender] = now
        taken = {
            item.owner: succession.adopt_origin(item, now)
            for item in state.origins
            if item.owner not in self._origins
        }
        self._origins.update(taken)
        for item in state.entries:
            origin = taken.get(item.origin) if item.origin else None
            if origin is not None or item.origin is None:
                self._adopt_entry(item, origin, state.may_run)

    def _adopt_entry(
        self,
        item: ledger_state.EntryState,
        origin: entries.Origin | None,
        may_run: bool,
    ) -> None:
        local = self._table.get(item.customer, item.key)
        if not succession.outranks(item, local):
            return
        if local is not None:
            self._runs.release(local)
        now = self._clock.now()
        entry = succession.adopt_entry(item, origin, may_run, now)
        if not self._table.add(entry):
            self._table.forget(entry)
            return
        if entry.in_flight:
            self._runs.activate(entry)
        if item.answer is not None:
            self._table.keep_answer(entry, item.answer, now)
        if entry.away and self._owners.is_gone(entry.away):
            self._runs.settle(entry, entries.State.UNKNOWN)
