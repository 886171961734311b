"""Admission policies to compare with: a FIFO queue and a fixed limit."""

import collections
import typing

from apricotlever.contracts import admission
from apricotlever.runners import model as models

VMS = 3
RUNNERS = 3
SLOTS = 16
#: Concurrent requests that a VM admits: its share of the slots.
FIFO_LIMIT = RUNNERS * SLOTS // VMS
#: Limits of concurrent requests for each VM; the second is twice too high.
FIXED_LIMITS = {"fixed": FIFO_LIMIT, "fixed_high": 2 * FIFO_LIMIT}


class AdmissionPolicy(typing.Protocol):
    """Admits requests at one VM."""

    def offer(self, ticket: admission.Ticket) -> list[admission.Verdict]:
        """Offer a request for admission."""

    def first_token(self, request_id: str) -> None:
        """Record the first token of an answer."""

    def finished(
        self, request_id: str, outcome: models.Outcome
    ) -> list[admission.Verdict]:
        """Record the end of an answer and admit waiting requests."""

    def tick(self) -> list[admission.Verdict]:
        """Admit or refuse waiting requests."""


class FifoQueue:
    """Admits requests up to the share of slots and queues all others."""

    def __init__(self) -> None:
        self._in_flight = 0
        self._queue: collections.deque[str] = collections.deque()

    def offer(self, ticket: admission.Ticket) -> list[admission.Verdict]:
        """Queue a request, then admit waiting requests."""
        self._queue.append(ticket.request_id)
        return self.tick()

    def first_token(self, request_id: str) -> None:
        """Ignore the first token."""

    def finished(
        self, request_id: str, outcome: models.Outcome
    ) -> list[admission.Verdict]:
        """Admit the next waiting request."""
        self._in_flight -= 1
        return self.tick()

    def tick(self) -> list[admission.Verdict]:
        """Admit waiting requests up to the limit."""
        verdicts: list[admission.Verdict] = []
        while self._queue and self._in_flight < FIFO_LIMIT:
            self._in_flight += 1
            verdicts.append(admission.Admitted(self._queue.popleft()))
        return verdicts


class FixedLimit(FifoQueue):
    """Refuses requests above a fixed limit, without a queue."""

    def __init__(self, limit: int) -> None:
        super().__init__()
        self._limit = limit

    def offer(self, ticket: admission.Ticket) -> list[admission.Verdict]:
        """Admit or refuse a request at once."""
        if self._in_flight >= self._limit:
            reason = admission.RefusalReason.OVERLOAD
            return [admission.Refused(ticket.request_id, reason, 1.0)]
        self._in_flight += 1
        return [admission.Admitted(ticket.request_id)]

    def tick(self) -> list[admission.Verdict]:
        """Return no verdicts, as no request waits."""
        return []
