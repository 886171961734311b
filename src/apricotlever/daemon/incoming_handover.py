"""The task that takes over what a leaving entry VM hands to this one."""

from concurrent import futures

from .. import clock as clocks
from .. import logs
from .. import mailbox
from ..links import openai_format
from ..links import peer_pb2 as pb
from ..requests import errors as request_errors
from ..requests import handover_receiver
from ..requests import ledger_messages as keyed
from ..requests import records
from ..runners import quarantine

from . import answer_reader as pumps
from . import context as contexts
from . import dispatcher_messages
from . import fleet_messages
from . import gossip_messages
from . import ledger_task
from . import model_request
from . import model_responses
from . import request_registry
from . import transcripts

ADOPTED_THREADS = 512


class ReceivePart:
    """A part of a handover came; answered with the receipt."""

    __slots__ = ("part",)

    def __init__(self, part: pb.HandoverPart) -> None:
        self.part = part


class IncomingHandover(mailbox.Task):
    """Adopts requests and ledgers.

    :param context: the daemon's other tasks.
    """

    def __init__(self, clock: clocks.Clock, context: contexts.Context) -> None:
        super().__init__("heir", clock)
        self._context = context
        me = keyed.VmIncarnation(context.config.vm, context.incarnation)
        self._intake = handover_receiver.HandoverReceiver(me)
        self._threads = futures.ThreadPoolExecutor(ADOPTED_THREADS, "adopted")

    @mailbox.handles(ReceivePart)
    def _take(self, message: ReceivePart) -> pb.HandoverReceipt:
        try:
            taken = self._intake.receive(message.part.part)
        except request_errors.HandoverInvalid as error:
            return _refused(error.message)
        match taken:
            case handover_receiver.WrongSuccessor():
                return _refused("meant for another incarnation")
            case handover_receiver.AdoptRecords():
                self._adopt(taken.sender.vm, taken.records)
            case handover_receiver.AdoptLedger():
                return self._adopt_ledger(taken)
            case handover_receiver.AdoptOutcomes():
                self._context.ledger.tell(ledger_task.Settle(taken.settled))
        return pb.HandoverReceipt(accepted=True)

    def stopped(self) -> None:
        """End the threads when their streams have ended."""
        self._threads.shutdown(wait=False)

    def _adopt_ledger(
        self, taken: handover_receiver.AdoptLedger
    ) -> pb.HandoverReceipt:
        adopt = ledger_task.AdoptLedger(taken.state)
        receipt = self._context.ledger.ask(adopt).result()
        if not receipt.accepted:
            return _refused("this VM is leaving too")
        logs.event("handover_taken", sender=receipt.sender.vm, ledger=True)
        moved = gossip_messages.of_ledger_moved(
            receipt.sender, receipt.successor
        )
        self._context.fleet.tell(fleet_messages.Announce(moved))
        return pb.HandoverReceipt(accepted=True)

    def _adopt(
        self, sender: str, adopted: list[records.RequestRecord]
    ) -> None:
        """Go on with the running requests before the receipt is given.

        The caller is told to come here only after the receipt, so it finds
        its request.
        """
        asked = self._context.registry.ask(request_registry.Adopt(adopted))
        running = asked.result()
        for record in running:
            self._go_on(record)
        logs.event("handover_taken", sender=sender, requests=len(running))

    def _go_on(self, record: records.RequestRecord) -> None:
        flight = self._flight(record)
        if flight is None:
            outcome = request_registry.outcome_failed("unknown", "not_found")
            close = request_registry.Close(record.request_id, outcome)
            self._context.registry.tell(close)
            return
        self._context.registry.ask(request_registry.Join(flight)).result()
        wanted = dispatcher_messages.RunnerWanted(record.runner)
        runner = self._context.dispatcher.ask(wanted).result()
        pump = pumps.AnswerReader(self._context, flight, runner)
        self._threads.submit(model_responses.pump_adopted, self._context, pump)

    def _flight(
        self, record: records.RequestRecord
    ) -> model_request.ModelRequest | None:
        context = self._context
        catalogue = context.catalogue
        entry = catalogue.entries.get(record.entry)
        if entry is None:
            return None
        service_class = catalogue.class_of(entry)
        request = openai_format.parse_request(record.body, record.chat)
        events = (
            model_responses.token_event(
                record.request_id, index, token, record.chat
            )
            for index, token in enumerate(record.tokens)
        )
        flight = model_request.ModelRequest(
            context.clock,
            record.request_id,
            record.customer,
            entry,
            service_class,
            request,
            record.body,
            quarantine.fingerprint(entry.name, record.customer, record.body),
            context.clock.now() + service_class.deadline_s,
            transcripts.Transcript(events),
        )
        flight.attempt = record.attempt
        return flight


def _refused(reason: str) -> pb.HandoverReceipt:
    return pb.HandoverReceipt(accepted=False, reason=reason)
