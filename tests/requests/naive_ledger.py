"""Ledgers as one would first write them."""

import typing

from apricotlever.requests import entries
from apricotlever.requests import ledger
from apricotlever.requests import messages


class RetryingLedger(ledger.Ledger):
    """Takes a timeout for a call that did not run."""

    __slots__ = ()

    def lost(self, token: int) -> bool:
        entry = self._runs._here(token)
        if entry is None:
            return False
        self._runs.settle(entry, entries.State.NOT_RUN)
        return True


class LocalLedger(ledger.Ledger):
    """Judges every key by its own table, whoever minted it."""

    __slots__ = ()

    def _unseen_minted(
        self, key: str, customer: str, digest: str, forwarded: bool
    ) -> messages.Decision:
        entry = entries.Entry(
            customer,
            key,
            digest,
            entries.State.NOT_RUN,
            0,
            self._own,
            self._clock.now(),
        )
        return self._reserve(entry)


class RepeatingLedger(ledger.Ledger):
    """Takes the ledger back when the heir's receipt doesn't come."""

    __slots__ = ()

    def begin(self, *args: typing.Any) -> messages.Decision:
        if not self._succession.confirmed:
            self._frozen = False
        return super().begin(*args)
