"""Ledgers with the faults of a naive implementation."""

import typing

from apricotlever.requests import ledger
from apricotlever.requests import ledger_entries
from apricotlever.requests import ledger_messages


class RetryingLedger(ledger.Ledger):
    """Treats a call that timed out as a call that did not run."""

    __slots__ = ()

    def record_lost_answer(self, token: int) -> bool:
        entry = self._runs._local_entry(token)
        if entry is None:
            return False
        self._runs.settle(entry, ledger_entries.RunState.NOT_RUN)
        return True


class LocalLedger(ledger.Ledger):
    """Decides on every key by its own table, whichever VM minted it."""

    __slots__ = ()

    def _decide_unseen_minted(
        self, key: str, customer: str, digest: str, forwarded: bool
    ) -> ledger_messages.KeyDecision:
        entry = ledger_entries.Entry(
            customer,
            key,
            digest,
            ledger_entries.RunState.NOT_RUN,
            0,
            self._own_issuer,
            self._clock.now(),
        )
        return self._reserve(entry)


class RepeatingLedger(ledger.Ledger):
    """Unfreezes the ledger while the successor's receipt is missing."""

    __slots__ = ()

    def begin(self, *args: typing.Any) -> ledger_messages.KeyDecision:
        if not self._transfer.confirmed:
            self._frozen = False
        return super().begin(*args)
