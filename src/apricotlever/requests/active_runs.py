"""The runs in flight of a ledger, each identified by a token.

A run is one attempt to execute the call of an idempotency key: claiming the
key in the store if necessary, then sending the call to an upstream. Its token
is valid for this attempt only. A worker whose run was ended in the meantime
(because the worker was paused, the run timed out or the ledger was handed
over) can therefore no longer send the call.
"""

import itertools

from .. import clock as clocks
from . import known_incarnations
from . import ledger_entries
from . import ledger_messages
from . import ledger_transfer

_State = ledger_entries.RunState


class ActiveRuns:
    """The ledger entries whose runs are in progress, by token.

    :param limits: the timeouts of runs before and after the call is sent.
    :param table: keeps the answers of ended runs and drops entries.
    :param transfer: records how each run ended, for the VM that takes over
        the ledger.
    """

    __slots__ = (
        "_clock",
        "_limits",
        "_table",
        "_transfer",
        "_active",
        "_tokens",
        "_released",
    )

    def __init__(
        self,
        clock: clocks.Clock,
        limits: ledger_entries.LedgerLimits,
        table: ledger_entries.EntryTable,
        transfer: ledger_transfer.LedgerTransfer,
    ) -> None:
        self._clock = clock
        self._limits = limits
        self._table = table
        self._transfer = transfer
        self._active: dict[int, ledger_entries.Entry] = {}
        self._tokens = itertools.count(1)
        self._released: list[int] = []

    def __len__(self) -> int:
        return len(self._active)

    def activate(self, entry: ledger_entries.Entry) -> None:
        """Start tracking a run of the entry, under a new token.

        The token is stored in the entry.
        """
        entry.token = next(self._tokens)
        self._active[entry.token] = entry

    def find_claiming(self, token: int) -> ledger_entries.Entry | None:
        """Return the entry with this token if its key is being claimed.

        :returns: the entry, or None if the run has ended or is past its
            claim.
        """
        entry = self._active.get(token)
        if entry is None or entry.state is not _State.CLAIMING:
            return None
        return entry

    def start_sending(self, token: int) -> bool:
        """Mark a run whose call may reach the upstream from now on.

        :returns: False if the call must not be sent: the run has ended, its
            key is not claimed yet, or the call is being sent already.
        """
        entry = self._active.get(token)
        if entry is None or entry.state is not _State.CLAIMED:
            return False
        entry.state = _State.SENDING
        entry.updated_at = self._clock.now()
        return True

    def record_answer(
        self, token: int, answer: ledger_messages.Answer
    ) -> bool:
        """End a run with the complete answer of its call.

        :returns: False if no run of this VM is sending under the token.
        """
        entry = self._local_entry(token)
        if entry is None or entry.state is not _State.SENDING:
            return False
        self.settle(entry, _State.ANSWERED, answer)
        return True

    def record_not_sent(self, token: int) -> bool:
        """End a run none of whose bytes reached the upstream.

        :returns: False if no run of this VM has the token.
        """
        entry = self._local_entry(token)
        if entry is None:
            return False
        self.settle(entry, _State.NOT_RUN)
        return True

    def record_lost_answer(self, token: int) -> bool:
        """End a run whose answer will not arrive.

        Its outcome is ``unknown`` if the call was being sent.

        :returns: False if no run of this VM has the token.
        """
        entry = self._local_entry(token)
        if entry is None:
            return False
        self._give_up(entry)
        return True

    def settle(
        self,
        entry: ledger_entries.Entry,
        state: ledger_entries.RunState,
        answer: ledger_messages.Answer | None = None,
    ) -> None:
        """End the run of an entry and invalidate its token.

        :param state: the outcome of the run.
        :param answer: the answer to keep for replays, if there is one.
        """
        self._active.pop(entry.token, None)
        entry.state = state
        entry.running_on = None
        if answer is not None:
            self._table.keep_answer(entry, answer, self._clock.now())
        self._transfer.record_outcome(entry)

    def discard(self, entry: ledger_entries.Entry) -> None:
        """Remove an entry whose key this ledger didn't get to claim."""
        self._active.pop(entry.token, None)
        self._table.remove(entry)

    def release(self, entry: ledger_entries.Entry) -> None:
        """Remove an entry that an adopted ledger's entry replaces.

        The next :meth:`expire_overdue` returns its token, so that calls
        waiting for the run are decided again.
        """
        self._released.append(entry.token)
        self.discard(entry)

    def release_unsent(self) -> None:
        """Cancel every run whose call is not being sent yet.

        The next :meth:`expire_overdue` returns their tokens.
        """
        unsent = [
            entry
            for entry in self._active.values()
            if entry.state is not _State.SENDING
        ]
        for entry in unsent:
            self._active.pop(entry.token)
            entry.state = _State.NOT_RUN
        self._released.extend(entry.token for entry in unsent)

    def expire_overdue(self) -> list[int]:
        """End runs that exceeded their time limit.

        :returns: their tokens and those of the runs released since the last
            call.
        """
        released, self._released = self._released, []
        overdue = [
            entry for entry in self._active.values() if self._is_overdue(entry)
        ]
        for entry in overdue:
            self._give_up(entry)
        return released + [entry.token for entry in overdue]

    def settle_orphaned(
        self, incarnations: known_incarnations.KnownIncarnations
    ) -> list[int]:
        """End runs of leaving VMs that are gone without reporting an outcome.

        Such runs were in flight when this ledger adopted the keys.

        :param incarnations: tells which incarnations are gone.
        :returns: their tokens.
        """
        orphans = [
            entry
            for entry in self._active.values()
            if entry.running_on and incarnations.is_gone(entry.running_on)
        ]
        for entry in orphans:
            self.settle(entry, _State.UNKNOWN)
        return [entry.token for entry in orphans]

    def _local_entry(self, token: int) -> ledger_entries.Entry | None:
        entry = self._active.get(token)
        return None if entry is None or entry.running_on else entry

    def _give_up(self, entry: ledger_entries.Entry) -> None:
        sending = entry.state is _State.SENDING
        self.settle(entry, _State.UNKNOWN if sending else _State.NOT_RUN)

    def _is_overdue(self, entry: ledger_entries.Entry) -> bool:
        sending = entry.state is _State.SENDING
        limit = (
            self._limits.run_timeout_s
            if sending
            else self._limits.unsent_timeout_s
        )
        return self._clock.now() - entry.updated_at > limit
