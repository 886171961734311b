"""The task that keeps records of requests, so that callers can resume them.

A record holds what is needed to continue a request or to repeat its outcome:
the body, the tokens of the answer and how the request ended.
"""

from .. import clock as clocks
from .. import mailbox
from ..requests import ledger_messages
from ..requests import records

from . import model_request

EXPIRY_INTERVAL_S = 1.0


class RegisterRequest:
    """Registers a new model request.

    The result is whether the request was registered; it is not when there is
    no room for its record.
    """

    __slots__ = ("request",)

    def __init__(self, request: model_request.ModelRequest) -> None:
        self.request = request


class RecordOutcome:
    """Records the outcome of a request.

    :param outcome: the outcome.
    """

    __slots__ = ("request_id", "outcome")

    def __init__(
        self, request_id: str, outcome: records.RequestOutcome
    ) -> None:
        self.request_id = request_id
        self.outcome = outcome


class ResumeRequest:
    """Looks up a request for a caller that reconnects.

    The result is a :class:`FoundRequest`, or None when the customer has no
    such request at this VM.

    :param last_event_id: index of the last token that the caller has, or
        None.
    """

    __slots__ = ("request_id", "customer", "last_event_id")

    def __init__(
        self, request_id: str, customer: str, last_event_id: int | None
    ) -> None:
        self.request_id = request_id
        self.customer = customer
        self.last_event_id = last_event_id


class FoundRequest:
    """The result of a successful :class:`ResumeRequest`.

    :param record: the record of the request.
    :param resumed: how the caller can continue.
    :param request: the model request while it runs at this VM, or None.
    """

    __slots__ = ("record", "resumed", "request")

    def __init__(
        self,
        record: records.RequestRecord,
        resumed: records.ResumeResult,
        request: model_request.ModelRequest | None,
    ) -> None:
        self.record = record
        self.resumed = resumed
        self.request = request


class AdoptRecords:
    """Adopts records that a leaving VM handed over.

    The result is the list of adopted records whose requests are running.

    :param adopted: records of running and of ended requests.
    """

    __slots__ = ("adopted",)

    def __init__(self, adopted: list[records.RequestRecord]) -> None:
        self.adopted = adopted


class AttachRequest:
    """Registers the model request that continues an adopted record here."""

    __slots__ = ("request",)

    def __init__(self, request: model_request.ModelRequest) -> None:
        self.request = request


class GetRecords:
    """Asks for all records, for a handover to another VM.

    The result is an :class:`AllRecords`. The record of a running request
    has the tokens received so far.
    """

    __slots__ = ()


class AllRecords:
    """The result of :class:`GetRecords`.

    :param running: records of the model requests that run at this VM.
    :param ended: records of the requests whose outcome is kept.
    """

    __slots__ = ("running", "ended")

    def __init__(
        self,
        running: list[records.RequestRecord],
        ended: list[records.RequestRecord],
    ) -> None:
        self.running = running
        self.ended = ended


class RedirectCallers:
    """Redirects the callers of requests that another VM has taken over.

    Reading the answers of these requests ends at this VM.

    :param request_ids: IDs of the requests.
    :param vm: name of that VM.
    :param address: ``host:port`` at which that VM listens for callers.
    """

    __slots__ = ("request_ids", "vm", "address")

    def __init__(
        self, request_ids: tuple[str, ...], vm: str, address: str
    ) -> None:
        self.request_ids = request_ids
        self.vm = vm
        self.address = address


class CountRunning:
    """Asks how many model requests run at this VM."""

    __slots__ = ()


class RequestRegistry(mailbox.Task):
    """Keeps records of running requests and, for a while, of ended ones.

    :param keep_s: how long the record of an ended request is kept, in
        seconds.
    :param keep_bytes: memory limit for the records of ended requests.
    """

    def __init__(
        self, clock: clocks.Clock, keep_s: float, keep_bytes: int
    ) -> None:
        super().__init__("archive", clock, EXPIRY_INTERVAL_S)
        self._records = records.RequestRecords(
            clock, ended_bytes=keep_bytes, keep_s=keep_s
        )
        self._requests: dict[str, model_request.ModelRequest] = {}

    @mailbox.handles(RegisterRequest)
    def _register_request(self, message: RegisterRequest) -> bool:
        request = message.request
        record = self._records.open(
            request.request_id,
            request.customer,
            request.entry.name,
            request.completion_request.path,
            request.body,
            request.completion_request.chat,
        )
        if record is None:
            return False
        self._requests[request.request_id] = request
        return True

    @mailbox.handles(RecordOutcome)
    def _record_outcome(self, message: RecordOutcome) -> None:
        record = self._records.get(message.request_id)
        request = self._requests.pop(message.request_id, None)
        if record is None or record.state is not records.RequestState.RUNNING:
            return
        if request is not None:
            record.tokens = list(request.transcript.tokens())
        self._records.end(message.request_id, message.outcome)

    @mailbox.handles(ResumeRequest)
    def _resume(self, message: ResumeRequest) -> FoundRequest | None:
        request = self._requests.get(message.request_id)
        resumed = self._records.resume(
            message.request_id, message.customer, message.last_event_id
        )
        record = self._records.get(message.request_id)
        if record is None or isinstance(resumed, records.ResumeNotFound):
            return None
        return FoundRequest(record, resumed, request)

    @mailbox.handles(AdoptRecords)
    def _adopt(self, message: AdoptRecords) -> list[records.RequestRecord]:
        unknown = [
            record
            for record in message.adopted
            if self._records.get(record.request_id) is None
        ]
        adopted = [record for record in unknown if self._records.adopt(record)]
        return [
            record
            for record in adopted
            if record.state is records.RequestState.RUNNING
        ]

    @mailbox.handles(AttachRequest)
    def _attach_request(self, message: AttachRequest) -> None:
        self._requests[message.request.request_id] = message.request

    @mailbox.handles(GetRecords)
    def _get_records(self, message: GetRecords) -> AllRecords:
        running = []
        for record in self._records.running:
            request = self._requests.get(record.request_id)
            if request is None or request.runner is None:
                continue
            record.tokens = list(request.transcript.tokens())
            record.runner = request.runner.name
            record.attempt = request.attempt
            running.append(record)
        return AllRecords(running, self._records.ended)

    @mailbox.handles(RedirectCallers)
    def _redirect_callers(self, message: RedirectCallers) -> None:
        for request_id in message.request_ids:
            request = self._requests.pop(request_id, None)
            self._records.record_move(request_id, message.address)
            if request is not None:
                request.mark_moved(message.address)

    @mailbox.handles(CountRunning)
    def _count_running(self, message: CountRunning) -> int:
        return len(self._requests)

    def tick(self) -> None:
        """Drop the records of ended requests that have expired."""
        self._records.expire()


def outcome_done() -> records.RequestOutcome:
    """The outcome of a request that was answered in full."""
    return records.RequestOutcome(ledger_messages.Executed.YES)


def outcome_failed(executed: str, error: str) -> records.RequestOutcome:
    """The outcome of a request that ended with a refusal.

    :param executed: whether the request was executed: ``yes``, ``no`` or
        ``unknown``.
    :param error: the type of the refusal, as callers see it.
    """
    return records.RequestOutcome(ledger_messages.Executed(executed), error)
