"""The rivals of admission at one VM: a FIFO queue and a fixed limit."""

import collections
import typing

from apricotlever.contracts import admission
from apricotlever.runners import model as models

VMS = 3
RUNNERS = 3
SLOTS = 16
FIFO_LIMIT = RUNNERS * SLOTS // VMS
FIXED_LIMITS = {"fixed": FIFO_LIMIT, "fixed_high": 2 * FIFO_LIMIT}


class Way(typing.Protocol):
    """A way to admit requests at one VM."""

    def offer(self, ticket: admission.Ticket) -> list[admission.Verdict]:
        """Ask for a request."""

    def first_token(self, request_id: str) -> None:
        """An answer began."""

    def finished(
        self, request_id: str, outcome: models.Outcome
    ) -> list[admission.Verdict]:
        """An answer ended."""

    def tick(self) -> list[admission.Verdict]:
        """Time passed."""


class Fifo:
    """As many as there are slots, the rest in a queue without end."""

    def __init__(self) -> None:
        self._in_flight = 0
        self._queue: collections.deque[str] = collections.deque()

    def offer(self, ticket: admission.Ticket) -> list[admission.Verdict]:
        """Queue it."""
        self._queue.append(ticket.request_id)
        return self.tick()

    def first_token(self, request_id: str) -> None:
        """Learn nothing."""

    def finished(
        self, request_id: str, outcome: models.Outcome
    ) -> list[admission.Verdict]:
        """Let the next one in."""
        self._in_flight -= 1
        return self.tick()

    def tick(self) -> list[admission.Verdict]:
        """Let in what fits."""
        verdicts: list[admission.Verdict] = []
        while self._queue and self._in_flight < FIFO_LIMIT:
            self._in_flight += 1
            verdicts.append(admission.Admitted(self._queue.popleft()))
        return verdicts


class Fixed(Fifo):
    """A fixed limit and no queue."""

    def __init__(self, limit: int) -> None:
        super().__init__()
        self._limit = limit

    def offer(self, ticket: admission.Ticket) -> list[admission.Verdict]:
        """Admit or refuse."""
        if self._in_flight >= self._limit:
            reason = admission.RefusalReason.OVERLOAD
            return [admission.Refused(ticket.request_id, reason, 1.0)]
        self._in_flight += 1
        return [admission.Admitted(ticket.request_id)]

    def tick(self) -> list[admission.Verdict]:
        """Nothing waits."""
        return []
