"""The task that keeps running and ended requests for callers who return."""

from .. import clock as clocks
from .. import mailbox
from ..requests import ledger_messages as request_messages
from ..requests import records

from . import model_request

EXPIRE_S = 1.0


class Open:
    """A request began; answered with whether there is room for it."""

    __slots__ = ("flight",)

    def __init__(self, flight: model_request.ModelRequest) -> None:
        self.flight = flight


class Close:
    """A request has its outcome.

    :param outcome: how it ended.
    """

    __slots__ = ("request_id", "outcome")

    def __init__(
        self, request_id: str, outcome: records.RequestOutcome
    ) -> None:
        self.request_id = request_id
        self.outcome = outcome


class Resume:
    """A caller comes back; answered with :class:`Found` or None.

    :param last_event_id: index of the last token that it has, or None.
    """

    __slots__ = ("request_id", "customer", "last_event_id")

    def __init__(
        self, request_id: str, customer: str, last_event_id: int | None
    ) -> None:
        self.request_id = request_id
        self.customer = customer
        self.last_event_id = last_event_id


class Found:
    """What is known of a request.

    :param record: the request.
    :param resumed: where its caller can go on.
    :param flight: set while it runs here.
    """

    __slots__ = ("record", "resumed", "flight")

    def __init__(
        self,
        record: records.RequestRecord,
        resumed: records.ResumeResult,
        flight: model_request.ModelRequest | None,
    ) -> None:
        self.record = record
        self.resumed = resumed
        self.flight = flight


class Adopt:
    """Take over another VM's records; answered with those to go on with.

    :param adopted: running and ended ones.
    """

    __slots__ = ("adopted",)

    def __init__(self, adopted: list[records.RequestRecord]) -> None:
        self.adopted = adopted


class Join:
    """A flight goes on here with an adopted record."""

    __slots__ = ("flight",)

    def __init__(self, flight: model_request.ModelRequest) -> None:
        self.flight = flight


class Snapshot:
    """Ask for every record, to hand them over.

    Answered with :class:`Everything`; the tokens are those sent so far.
    """

    __slots__ = ()


class Everything:
    """All records.

    :param running: model requests that run here.
    :param ended: requests whose outcome is kept.
    """

    __slots__ = ("running", "ended")

    def __init__(
        self,
        running: list[records.RequestRecord],
        ended: list[records.RequestRecord],
    ) -> None:
        self.running = running
        self.ended = ended


class TellMoved:
    """Another VM has taken requests over: send their callers there.

    :param address: ``host:port`` for callers of that VM.
    """

    __slots__ = ("request_ids", "vm", "address")

    def __init__(
        self, request_ids: tuple[str, ...], vm: str, address: str
    ) -> None:
        self.request_ids = request_ids
        self.vm = vm
        self.address = address


class CountRunning:
    """Ask how many requests run here."""

    __slots__ = ()


class RequestRegistry(mailbox.Task):
    """Keeps records within bounds of memory and time.

    :param keep_s: how long an ended request is kept, in seconds.
    :param keep_bytes: memory for ended requests.
    """

    def __init__(
        self, clock: clocks.Clock, keep_s: float, keep_bytes: int
    ) -> None:
        super().__init__("archive", clock, EXPIRE_S)
        self._records = records.RequestRecords(
            clock, ended_bytes=keep_bytes, keep_s=keep_s
        )
        self._flights: dict[str, model_request.ModelRequest] = {}

    @mailbox.handles(Open)
    def _open(self, message: Open) -> bool:
        flight = message.flight
        record = self._records.open(
            flight.request_id,
            flight.customer,
            flight.entry.name,
            flight.request.path,
            flight.body,
            flight.request.chat,
        )
        if record is None:
            return False
        self._flights[flight.request_id] = flight
        return True

    @mailbox.handles(Close)
    def _close(self, message: Close) -> None:
        record = self._records.get(message.request_id)
        flight = self._flights.pop(message.request_id, None)
        if record is None or record.state is not records.RequestState.RUNNING:
            return
        if flight is not None:
            record.tokens = list(flight.transcript.tokens())
        self._records.end(message.request_id, message.outcome)

    @mailbox.handles(Resume)
    def _resume(self, message: Resume) -> Found | None:
        flight = self._flights.get(message.request_id)
        resumed = self._records.resume(
            message.request_id, message.customer, message.last_event_id
        )
        record = self._records.get(message.request_id)
        if record is None or isinstance(resumed, records.ResumeNotFound):
            return None
        return Found(record, resumed, flight)

    @mailbox.handles(Adopt)
    def _adopt(self, message: Adopt) -> list[records.RequestRecord]:
        fresh = [
            record
            for record in message.adopted
            if self._records.get(record.request_id) is None
        ]
        taken = [record for record in fresh if self._records.adopt(record)]
        return [
            record
            for record in taken
            if record.state is records.RequestState.RUNNING
        ]

    @mailbox.handles(Join)
    def _join(self, message: Join) -> None:
        self._flights[message.flight.request_id] = message.flight

    @mailbox.handles(Snapshot)
    def _snapshot(self, message: Snapshot) -> Everything:
        running = []
        for record in self._records.running:
            flight = self._flights.get(record.request_id)
            if flight is None or flight.runner is None:
                continue
            record.tokens = list(flight.transcript.tokens())
            record.runner = flight.runner.name
            record.attempt = flight.attempt
            running.append(record)
        return Everything(running, self._records.ended)

    @mailbox.handles(TellMoved)
    def _tell_moved(self, message: TellMoved) -> None:
        for request_id in message.request_ids:
            flight = self._flights.pop(request_id, None)
            self._records.record_move(request_id, message.address)
            if flight is not None:
                flight.move(message.address)

    @mailbox.handles(CountRunning)
    def _count_running(self, message: CountRunning) -> int:
        return len(self._flights)

    def tick(self) -> None:
        """Drop what was kept long enough."""
        self._records.expire()


def outcome_done() -> records.RequestOutcome:
    """The outcome of a request that was answered whole."""
    return records.RequestOutcome(request_messages.Executed.YES)


def outcome_failed(executed: str, error: str) -> records.RequestOutcome:
    """The outcome of a request that was given up.

    :param executed: ``yes``, ``no`` or ``unknown``.
    :param error: the stable type of the refusal.
    """
    return records.RequestOutcome(request_messages.Executed(executed), error)
