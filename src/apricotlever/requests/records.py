"""Records of the running and ended requests of one entry VM.

A record holds what another VM needs to continue the request: its body and the
tokens that were sent to the caller. Ended requests are kept for a limited
time, so that a caller whose connection broke can fetch what it missed.
"""

import collections
import enum
import typing

from .. import clock as clocks
from . import ledger_messages

TOKEN_MEMORY_BYTES = 56


class RequestState(enum.StrEnum):
    """The state of a request on this VM: running, ended or handed over."""

    RUNNING = "running"
    ENDED = "ended"
    MOVED = "moved"


class RequestOutcome:
    """The outcome of an ended request.

    :param executed: whether the upstream ran the request.
    :param error: the stable type of the error, or None if there was none.
    :param answer: the complete answer, or None if it was streamed.
    """

    __slots__ = ("executed", "error", "answer")

    def __init__(
        self,
        executed: ledger_messages.Executed,
        error: str | None = None,
        answer: ledger_messages.Answer | None = None,
    ) -> None:
        self.executed = executed
        self.error = error
        self.answer = answer

    @property
    def size_bytes(self) -> int:
        """Estimated memory of the kept answer."""
        return 0 if self.answer is None else self.answer.size_bytes


class RequestRecord:
    """The record of one request: what another VM needs to continue it.

    The thread that relays the stream only appends to ``tokens`` and sets no
    other attribute; appending to a list is atomic.

    :param entry: name of the catalogue entry that serves the request.
    :param path: path of the upstream call, such as ``/v1/completions``.
    :param chat: whether the request is a chat completion.
    :param updated_at: monotonic time, in seconds, when the record was created
        or adopted on this VM, or when its request ended here.

    ``tokens`` holds the text of each token sent to the caller, in order.
    ``runner`` is the runner of the latest attempt and ``attempt`` its number.
    ``moved_to`` is the VM that the request was handed over to, or empty.
    """

    __slots__ = (
        "request_id",
        "customer",
        "entry",
        "path",
        "body",
        "chat",
        "tokens",
        "attempt",
        "runner",
        "state",
        "outcome",
        "moved_to",
        "updated_at",
    )

    def __init__(
        self,
        request_id: str,
        customer: str,
        entry: str,
        path: str,
        body: bytes,
        chat: bool,
        updated_at: float,
    ) -> None:
        self.request_id = request_id
        self.customer = customer
        self.entry = entry
        self.path = path
        self.body = body
        self.chat = chat
        self.tokens: list[str] = []
        self.attempt = 0
        self.runner = ""
        self.state = RequestState.RUNNING
        self.outcome: RequestOutcome | None = None
        self.moved_to = ""
        self.updated_at = updated_at

    @property
    def size_bytes(self) -> int:
        """Estimated memory of the record."""
        kept = 0 if self.outcome is None else self.outcome.size_bytes
        return len(self.body) + TOKEN_MEMORY_BYTES * len(self.tokens) + kept


class ResumeNotFound:
    """Result of resuming: this customer has no such request.

    The result is the same whether or not another customer has the request.
    """

    __slots__ = ()


class ResumeRunning:
    """Result of resuming: send the tokens, then continue the running stream.

    :param first_index: index of the first token to send, which may not have
        been produced yet.
    :param tokens: the tokens from that index on that the record holds.
    """

    __slots__ = ("record", "first_index", "tokens")

    def __init__(
        self, record: RequestRecord, first_index: int, tokens: tuple[str, ...]
    ) -> None:
        self.record = record
        self.first_index = first_index
        self.tokens = tokens


class ResumeEnded:
    """Result of resuming: send the tokens, then the request's outcome.

    :param first_index: index of the first token to send.
    :param tokens: the tokens from that index on.
    """

    __slots__ = ("record", "first_index", "tokens", "outcome")

    def __init__(
        self,
        record: RequestRecord,
        first_index: int,
        tokens: tuple[str, ...],
        outcome: RequestOutcome,
    ) -> None:
        self.record = record
        self.first_index = first_index
        self.tokens = tokens
        self.outcome = outcome


class ResumeMoved:
    """Result of resuming: another entry VM has taken over the request.

    :param vm: the name of that VM, to which the caller is redirected.
    """

    __slots__ = ("vm",)

    def __init__(self, vm: str) -> None:
        self.vm = vm


ResumeResult: typing.TypeAlias = (
    ResumeNotFound | ResumeRunning | ResumeEnded | ResumeMoved
)


class RequestRecords:
    """All request records of an entry VM, limited in number and memory.

    Running requests are never dropped; :meth:`open` refuses new ones instead.

    :param running_bytes: maximum size of the bodies of running requests.
    :param ended: maximum number of ended requests.
    :param ended_bytes: maximum memory of ended requests.
    :param keep_s: how long an ended request is kept, in seconds.
    """

    __slots__ = (
        "_clock",
        "_running_max",
        "_ended_max",
        "_ended_bytes_max",
        "_keep_s",
        "_running",
        "_ended",
        "_running_bytes",
        "_ended_bytes",
    )

    def __init__(
        self,
        clock: clocks.Clock,
        running_bytes: int = 64_000_000,
        ended: int = 20_000,
        ended_bytes: int = 48_000_000,
        keep_s: float = 600.0,
    ) -> None:
        self._clock = clock
        self._running_max = running_bytes
        self._ended_max = ended
        self._ended_bytes_max = ended_bytes
        self._keep_s = keep_s
        self._running: dict[str, RequestRecord] = {}
        self._ended: collections.OrderedDict[
            str, tuple[RequestRecord, int]
        ] = collections.OrderedDict()
        self._running_bytes = 0
        self._ended_bytes = 0

    @property
    def running(self) -> list[RequestRecord]:
        """The running requests, oldest first."""
        return list(self._running.values())

    @property
    def ended(self) -> list[RequestRecord]:
        """The requests that ended or were handed over, oldest first."""
        return [record for record, _ in self._ended.values()]

    @property
    def ended_bytes(self) -> int:
        """Estimated memory of the ended requests."""
        return self._ended_bytes

    def open(
        self,
        request_id: str,
        customer: str,
        entry: str,
        path: str,
        body: bytes,
        chat: bool,
    ) -> RequestRecord | None:
        """Create the record of a new request.

        :returns: None if the bodies of the running requests would exceed
            their limit.
        """
        record = RequestRecord(
            request_id, customer, entry, path, body, chat, self._clock.now()
        )
        return record if self._store_running(record) else None

    def get(self, request_id: str) -> RequestRecord | None:
        """Return the record of a request, or None.

        The customer is not checked, so a record must not be shown to a
        caller; use :meth:`resume` for callers.
        """
        running = self._running.get(request_id)
        if running is not None:
            return running
        kept = self._ended.get(request_id)
        return kept and kept[0]

    def record_attempt(self, request_id: str, runner: str) -> int:
        """Record that a new attempt of a request was given to a runner.

        :returns: the number of the attempt, starting at 1.
        :raises KeyError: if the request is not running.
        """
        record = self._running[request_id]
        record.runner = runner
        record.attempt += 1
        return record.attempt

    def end(self, request_id: str, outcome: RequestOutcome) -> None:
        """Record the outcome of a running request; a second one is ignored."""
        record = self._remove_running(request_id)
        if record is not None:
            record.state = RequestState.ENDED
            record.outcome = outcome
            self._store_ended(record)

    def record_move(self, request_id: str, vm: str) -> None:
        """Record that another VM has confirmed taking over the request."""
        record = self._remove_running(request_id)
        if record is not None:
            record.state = RequestState.MOVED
            record.moved_to = vm
            record.body, record.tokens = b"", []
            self._store_ended(record)

    def adopt(self, record: RequestRecord) -> bool:
        """Add the record of a request that another VM handed over.

        The record of a request that is known already is left unchanged.

        :returns: False if the bodies of the running requests would exceed
            their limit.
        """
        if self.get(record.request_id) is not None:
            return True
        record.updated_at = self._clock.now()
        if record.state is RequestState.RUNNING:
            return self._store_running(record)
        self._store_ended(record)
        return True

    def on_runner(self, runner: str) -> list[RequestRecord]:
        """Return the running requests that were last given to a runner."""
        return [
            record
            for record in self._running.values()
            if record.runner == runner
        ]

    def resume(
        self, request_id: str, customer: str, last_event_id: int | None
    ) -> ResumeResult:
        """Find what has to be sent to a caller that reconnects to a request.

        :param customer: the customer of the caller; the requests of other
            customers are not found.

        :param last_event_id: index of the last token that the caller
            received, or None. After a handover it may be ahead of the record.
        """
        record = self.get(request_id)
        if record is None or record.customer != customer:
            return ResumeNotFound()
        if record.state is RequestState.MOVED:
            return ResumeMoved(record.moved_to)
        first = 0 if last_event_id is None else max(0, last_event_id + 1)
        tokens = tuple(record.tokens[first:])
        if record.outcome is None:
            return ResumeRunning(record, first, tokens)
        return ResumeEnded(record, first, tokens, record.outcome)

    def expire(self) -> None:
        """Drop ended requests whose retention time has passed."""
        oldest = self._clock.now() - self._keep_s
        while self._ended:
            record, _ = next(iter(self._ended.values()))
            if record.updated_at >= oldest:
                break
            self._drop_oldest()

    def _store_running(self, record: RequestRecord) -> bool:
        size = len(record.body)
        if self._running_bytes + size > self._running_max:
            return False
        self._running[record.request_id] = record
        self._running_bytes += size
        return True

    def _remove_running(self, request_id: str) -> RequestRecord | None:
        record = self._running.pop(request_id, None)
        if record is not None:
            self._running_bytes -= len(record.body)
        return record

    def _store_ended(self, record: RequestRecord) -> None:
        record.updated_at = self._clock.now()
        size = record.size_bytes
        self._ended[record.request_id] = (record, size)
        self._ended_bytes += size
        while (
            len(self._ended) > self._ended_max
            or self._ended_bytes > self._ended_bytes_max
        ):
            self._drop_oldest()

    def _drop_oldest(self) -> None:
        _, (_, size) = self._ended.popitem(last=False)
        self._ended_bytes -= size
