"""Running and ended requests of one entry VM, by request ID.

A record holds what it takes to go on with a request elsewhere: its body and
the tokens that the caller has been sent. Ended ones stay for a while, so a
caller whose connection broke can fetch what it missed.
"""

import collections
import enum
import typing

from .. import clock as clocks
from . import messages

TOKEN_BYTES = 56


class State(enum.StrEnum):
    """Where a request stands."""

    RUNNING = "running"
    ENDED = "ended"
    MOVED = "moved"


class Outcome:
    """How a request ended.

    :param error: the stable type of the error, or None.
    :param answer: the whole answer, unless it was a stream.
    """

    __slots__ = ("executed", "error", "answer")

    def __init__(
        self,
        executed: messages.Executed,
        error: str | None = None,
        answer: messages.Answer | None = None,
    ) -> None:
        self.executed = executed
        self.error = error
        self.answer = answer

    @property
    def size_bytes(self) -> int:
        """An estimate of the memory that keeping it takes."""
        return 0 if self.answer is None else self.answer.size_bytes


class Record:
    """One request.

    The thread that relays the stream appends to ``tokens`` and sets nothing
    else; a list's append is atomic.

    :param path: of the upstream call, such as ``/v1/completions``.
    :param tokens: the text of each token sent to the caller, in order.
    :param moved_to: the VM that has it now, if it was handed over.
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
        "at",
    )

    def __init__(
        self,
        request_id: str,
        customer: str,
        entry: str,
        path: str,
        body: bytes,
        chat: bool,
        at: float,
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
        self.state = State.RUNNING
        self.outcome: Outcome | None = None
        self.moved_to = ""
        self.at = at

    @property
    def size_bytes(self) -> int:
        """An estimate of the memory that keeping it takes."""
        kept = 0 if self.outcome is None else self.outcome.size_bytes
        return len(self.body) + TOKEN_BYTES * len(self.tokens) + kept


class NotFound:
    """No such request of this customer; a stranger's looks the same."""

    __slots__ = ()


class FromHere:
    """The request is running: send these tokens, then go on.

    :param first_index: of the first token to send, kept or to come.
    """

    __slots__ = ("record", "first_index", "tokens")

    def __init__(
        self, record: Record, first_index: int, tokens: tuple[str, ...]
    ) -> None:
        self.record = record
        self.first_index = first_index
        self.tokens = tokens


class Ended:
    """The request has ended: send these tokens, then its outcome."""

    __slots__ = ("record", "first_index", "tokens", "outcome")

    def __init__(
        self,
        record: Record,
        first_index: int,
        tokens: tuple[str, ...],
        outcome: Outcome,
    ) -> None:
        self.record = record
        self.first_index = first_index
        self.tokens = tokens
        self.outcome = outcome


class Moved:
    """Another entry VM has the request now."""

    __slots__ = ("vm",)

    def __init__(self, vm: str) -> None:
        self.vm = vm


Resumed: typing.TypeAlias = NotFound | FromHere | Ended | Moved


class Records:
    """All records, bounded.

    Running requests are never dropped; :meth:`open` refuses instead.

    :param running_bytes: of all running requests together.
    :param ended: how many ended requests are kept.
    :param ended_bytes: of all ended requests together.
    :param keep_s: how long an ended request is kept.
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
        self._running: dict[str, Record] = {}
        self._ended: collections.OrderedDict[str, tuple[Record, int]] = (
            collections.OrderedDict()
        )
        self._running_bytes = 0
        self._ended_bytes = 0

    @property
    def running(self) -> list[Record]:
        """The requests that have not ended here, the oldest first."""
        return list(self._running.values())

    @property
    def ended(self) -> list[Record]:
        """The requests that have ended or moved, the oldest first."""
        return [record for record, _ in self._ended.values()]

    @property
    def ended_bytes(self) -> int:
        """The memory that ended requests take."""
        return self._ended_bytes

    def open(
        self,
        request_id: str,
        customer: str,
        entry: str,
        path: str,
        body: bytes,
        chat: bool,
    ) -> Record | None:
        """Start a record.

        :returns: None if the running requests' bodies fill their bound.
        """
        record = Record(
            request_id, customer, entry, path, body, chat, self._clock.now()
        )
        return record if self._admit(record) else None

    def get(self, request_id: str) -> Record | None:
        """Find a record whosever it is; for the VM's own use."""
        running = self._running.get(request_id)
        if running is not None:
            return running
        kept = self._ended.get(request_id)
        return kept and kept[0]

    def attempt(self, request_id: str, runner: str) -> int:
        """Note that a runner was given the request.

        :returns: the number of the attempt, from 1.
        """
        record = self._running[request_id]
        record.runner = runner
        record.attempt += 1
        return record.attempt

    def end(self, request_id: str, outcome: Outcome) -> None:
        """Note how a running request ended; a second end is ignored."""
        record = self._close(request_id)
        if record is not None:
            record.state = State.ENDED
            record.outcome = outcome
            self._keep(record)

    def moved(self, request_id: str, vm: str) -> None:
        """Note that another VM has confirmed that it has the request."""
        record = self._close(request_id)
        if record is not None:
            record.state = State.MOVED
            record.moved_to = vm
            record.body, record.tokens = b"", []
            self._keep(record)

    def adopt(self, record: Record) -> bool:
        """Take over another VM's record; a known one stays as it is.

        :returns: False if there is no room for it.
        """
        if self.get(record.request_id) is not None:
            return True
        record.at = self._clock.now()
        if record.state is State.RUNNING:
            return self._admit(record)
        self._keep(record)
        return True

    def on_runner(self, runner: str) -> list[Record]:
        """The running requests that a runner works on."""
        return [
            record
            for record in self._running.values()
            if record.runner == runner
        ]

    def resume(
        self, request_id: str, customer: str, last_event_id: int | None
    ) -> Resumed:
        """Answer a caller that comes back.

        :param last_event_id: the index of the last token it has received.
            It may be ahead of the record, after a handover.
        """
        record = self.get(request_id)
        if record is None or record.customer != customer:
            return NotFound()
        if record.state is State.MOVED:
            return Moved(record.moved_to)
        first = 0 if last_event_id is None else max(0, last_event_id + 1)
        tokens = tuple(record.tokens[first:])
        if record.outcome is None:
            return FromHere(record, first, tokens)
        return Ended(record, first, tokens, record.outcome)

    def expire(self) -> None:
        """Drop ended requests that were kept long enough."""
        oldest = self._clock.now() - self._keep_s
        while self._ended:
            record, _ = next(iter(self._ended.values()))
            if record.at >= oldest:
                break
            self._drop_oldest()

    def _admit(self, record: Record) -> bool:
        size = len(record.body)
        if self._running_bytes + size > self._running_max:
            return False
        self._running[record.request_id] = record
        self._running_bytes += size
        return True

    def _close(self, request_id: str) -> Record | None:
        record = self._running.pop(request_id, None)
        if record is not None:
            self._running_bytes -= len(record.body)
        return record

    def _keep(self, record: Record) -> None:
        record.at = self._clock.now()
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
