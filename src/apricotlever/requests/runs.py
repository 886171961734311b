"""The runs in flight of a ledger, each under a token of its own.

A token is valid for one attempt at most, so a worker that was overtaken
(paused, timed out, its ledger handed over) can't send the call any more.
"""

import itertools

from .. import clock as clocks
from . import entries
from . import messages
from . import owners
from . import succession

_State = entries.State


class Runs:
    """Entries that some exchange is working on.

    :param ledger_succession: hears how each run ended.
    """

    __slots__ = (
        "_clock",
        "_bounds",
        "_table",
        "_succession",
        "_active",
        "_tokens",
        "_released",
    )

    def __init__(
        self,
        clock: clocks.Clock,
        bounds: entries.Bounds,
        table: entries.Table,
        ledger_succession: succession.Succession,
    ) -> None:
        self._clock = clock
        self._bounds = bounds
        self._table = table
        self._succession = ledger_succession
        self._active: dict[int, entries.Entry] = {}
        self._tokens = itertools.count(1)
        self._released: list[int] = []

    def __len__(self) -> int:
        return len(self._active)

    def activate(self, entry: entries.Entry) -> None:
        """Give the entry a new token."""
        entry.token = next(self._tokens)
        self._active[entry.token] = entry

    def claiming(self, token: int) -> entries.Entry | None:
        """Find the entry whose claim is under way."""
        entry = self._active.get(token)
        if entry is None or entry.state is not _State.CLAIMING:
            return None
        return entry

    def sent(self, token: int) -> bool:
        """Pass the point after which the upstream may have seen the call."""
        entry = self._active.get(token)
        if entry is None or entry.state is not _State.CLAIMED:
            return False
        entry.state = _State.SENDING
        entry.since = self._clock.now()
        return True

    def finished(self, token: int, answer: messages.Answer) -> bool:
        """Keep the whole answer of a call that was sent."""
        entry = self._here(token)
        if entry is None or entry.state is not _State.SENDING:
            return False
        self.settle(entry, _State.ANSWERED, answer)
        return True

    def not_sent(self, token: int) -> bool:
        """Note that not one byte reached the upstream."""
        entry = self._here(token)
        if entry is None:
            return False
        self.settle(entry, _State.NOT_RUN)
        return True

    def lost(self, token: int) -> bool:
        """Note that the answer won't come."""
        entry = self._here(token)
        if entry is None:
            return False
        self._give_up(entry)
        return True

    def settle(
        self,
        entry: entries.Entry,
        state: entries.State,
        answer: messages.Answer | None = None,
    ) -> None:
        """End a run; its token is void from now on."""
        self._active.pop(entry.token, None)
        entry.state = state
        entry.away = None
        if answer is not None:
            self._table.keep_answer(entry, answer, self._clock.now())
        self._succession.ended(entry)

    def discard(self, entry: entries.Entry) -> None:
        """Drop an entry that another owner has, or nobody."""
        self._active.pop(entry.token, None)
        self._table.remove(entry)

    def release(self, entry: entries.Entry) -> None:
        """Discard an entry; the next :meth:`overdue` names its token."""
        self._released.append(entry.token)
        self.discard(entry)

    def release_unsent(self) -> None:
        """Take back every run whose first byte has not left."""
        unsent = [
            entry
            for entry in self._active.values()
            if entry.state is not _State.SENDING
        ]
        for entry in unsent:
            self._active.pop(entry.token)
            entry.state = _State.NOT_RUN
        self._released.extend(entry.token for entry in unsent)

    def overdue(self) -> list[int]:
        """Give up runs that took too long.

        :returns: tokens that were settled since the last call.
        """
        released, self._released = self._released, []
        late = [entry for entry in self._active.values() if self._late(entry)]
        for entry in late:
            self._give_up(entry)
        return released + [entry.token for entry in late]

    def give_up_away(self, known: owners.Owners) -> list[int]:
        """Settle runs whose VM is gone before it told how they ended.

        :returns: their tokens.
        """
        orphans = [
            entry
            for entry in self._active.values()
            if entry.away and known.is_gone(entry.away)
        ]
        for entry in orphans:
            self.settle(entry, _State.UNKNOWN)
        return [entry.token for entry in orphans]

    def _here(self, token: int) -> entries.Entry | None:
        entry = self._active.get(token)
        return None if entry is None or entry.away else entry

    def _give_up(self, entry: entries.Entry) -> None:
        sending = entry.state is _State.SENDING
        self.settle(entry, _State.UNKNOWN if sending else _State.NOT_RUN)

    def _late(self, entry: entries.Entry) -> bool:
        sending = entry.state is _State.SENDING
        limit = self._bounds.run_s if sending else self._bounds.reserve_s
        return self._clock.now() - entry.since > limit
