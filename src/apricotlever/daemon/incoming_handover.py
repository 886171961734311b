"""The task that adopts the requests and ledgers of leaving entry VMs.

In a handover, a leaving VM sends its requests and its ledger to peers in
parts. A ledger holds the idempotency keys on which a VM decides. A receipt is
this VM's answer to a part: it accepts the part, or refuses it with a reason.
"""

from concurrent import futures

from .. import clock as clocks
from .. import logs
from .. import mailbox
from ..links import openai_format
from ..links import peer_pb2 as pb
from ..requests import errors as request_errors
from ..requests import handover_receiver
from ..requests import ledger_messages
from ..requests import records
from ..runners import call_features
from ..runners import prompt_parts
from ..runners import quarantine

from . import answer_reader
from . import context as contexts
from . import fleet_messages
from . import gossip_messages
from . import ledger_task
from . import model_request
from . import model_responses
from . import request_registry
from . import runner_messages
from . import transcripts

ADOPTED_STREAM_THREADS = 512


class ReceivePart:
    """Message: a part of a handover arrived; the result is its receipt."""

    __slots__ = ("part",)

    def __init__(self, part: pb.HandoverPart) -> None:
        self.part = part


class IncomingHandover(mailbox.Task):
    """Adopts requests and ledgers, and resumes reading the requests' answers.

    :param context: the daemon's other tasks.
    """

    def __init__(self, clock: clocks.Clock, context: contexts.Context) -> None:
        super().__init__("heir", clock)
        self._context = context
        own_incarnation = ledger_messages.VmIncarnation(
            context.config.vm, context.incarnation
        )
        self._receiver = handover_receiver.HandoverReceiver(own_incarnation)
        self._threads = futures.ThreadPoolExecutor(
            ADOPTED_STREAM_THREADS, "adopted"
        )

    @mailbox.handles(ReceivePart)
    def _receive_part(self, message: ReceivePart) -> pb.HandoverReceipt:
        try:
            action = self._receiver.receive(message.part.part)
        except request_errors.HandoverInvalid as error:
            return _refusal(error.message)
        match action:
            case handover_receiver.WrongSuccessor():
                return _refusal("meant for another incarnation")
            case handover_receiver.AdoptRecords():
                self._adopt_requests(action.sender.vm, action.records)
            case handover_receiver.AdoptLedger():
                return self._adopt_ledger(action)
            case handover_receiver.AdoptOutcomes():
                self._context.ledger.tell(
                    ledger_task.SettleRemoteCalls(action.settled)
                )
        return pb.HandoverReceipt(accepted=True)

    def stopped(self) -> None:
        """Let each thread end with the stream that it reads."""
        self._threads.shutdown(wait=False)

    def _adopt_ledger(
        self, action: handover_receiver.AdoptLedger
    ) -> pb.HandoverReceipt:
        adopt = ledger_task.AdoptLedger(action.state)
        receipt = self._context.ledger.ask(adopt).result()
        if not receipt.accepted:
            return _refusal("this VM is leaving too")
        logs.event("handover_taken", sender=receipt.sender.vm, ledger=True)
        rumour = gossip_messages.ledger_moved_rumour(
            receipt.sender, receipt.successor
        )
        self._context.fleet.tell(fleet_messages.AnnounceRumour(rumour))
        return pb.HandoverReceipt(accepted=True)

    def _adopt_requests(
        self, sender: str, adopted: list[records.RequestRecord]
    ) -> None:
        """Adopt request records and resume the requests that are running.

        This ends before the receipt is sent. The sender redirects callers to
        this VM only after the receipt, so a redirected caller finds its
        request.
        """
        adoption = self._context.registry.ask(
            request_registry.AdoptRecords(adopted)
        )
        running = adoption.result()
        for record in running:
            self._resume(record)
        logs.event("handover_taken", sender=sender, requests=len(running))

    def _resume(self, record: records.RequestRecord) -> None:
        request = self._create_request(record)
        if request is None:
            outcome = request_registry.outcome_failed("unknown", "not_found")
            close = request_registry.RecordOutcome(record.request_id, outcome)
            self._context.registry.tell(close)
            return
        self._context.registry.ask(
            request_registry.AttachRequest(request)
        ).result()
        message = runner_messages.GetRunner(record.runner)
        runner = self._context.dispatcher.ask(message).result()
        reader = answer_reader.AnswerReader(self._context, request, runner)
        self._threads.submit(
            model_responses.read_adopted, self._context, reader
        )

    def _create_request(
        self, record: records.RequestRecord
    ) -> model_request.ModelRequest | None:
        context = self._context
        catalogue = context.catalogue
        entry = catalogue.entries.get(record.entry)
        if entry is None:
            return None
        service_class = catalogue.class_of(entry)
        parsed = openai_format.parse_request(record.body, record.chat)
        events = (
            model_responses.token_event(
                record.request_id, index, token, record.chat
            )
            for index, token in enumerate(record.tokens)
        )
        request = model_request.ModelRequest(
            context.clock,
            record.request_id,
            record.customer,
            entry,
            service_class,
            parsed,
            record.body,
            call_features.CallFeatures(
                quarantine.fingerprint(
                    entry.name, record.customer, record.body
                ),
                record.customer,
                prompt_parts.find_parts(parsed.document),
            ),
            context.clock.now() + service_class.deadline_s,
            transcripts.Transcript(events),
        )
        request.attempt = record.attempt
        return request


def _refusal(reason: str) -> pb.HandoverReceipt:
    return pb.HandoverReceipt(accepted=False, reason=reason)
