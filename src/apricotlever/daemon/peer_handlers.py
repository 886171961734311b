"""Registers the handlers for calls from other entry VMs."""

import typing

from .. import mailbox
from .. import refusals
from ..links import peer_link
from ..links import peer_pb2 as pb
from ..runners import quarantine

from . import catalogue_watcher
from . import context as contexts
from . import dispatcher_messages
from . import future_chaining
from . import gossip_messages
from . import incoming_handover
from . import keyed_answer_codec
from . import service_calls
from . import service_request
from . import trial_messages


class PeerServiceTasks:
    """The tasks that handle calls from peers, which are other entry VMs."""

    __slots__ = (
        "fleet_link",
        "catalogue_watcher",
        "dispatcher",
        "incoming_handover",
    )

    def __init__(
        self,
        fleet_link: typing.Any,
        catalogue_watcher_task: mailbox.Task,
        dispatcher: mailbox.Task,
        incoming_handover_task: mailbox.Task,
    ) -> None:
        self.fleet_link = fleet_link
        self.catalogue_watcher = catalogue_watcher_task
        self.dispatcher = dispatcher
        self.incoming_handover = incoming_handover_task


def register(
    handlers: peer_link.Handlers,
    context: contexts.Context,
    tasks: PeerServiceTasks,
) -> None:
    """Register a handler for each method of the peer service.

    :param handlers: the registry of the peer link.
    :param context: the daemon's tasks.
    :param tasks: the tasks that handle the calls.
    """
    services = service_calls.ServiceCalls(context)

    @handlers.register("Gossip")
    def _gossip(message: pb.GossipMessage) -> typing.Any:
        return tasks.fleet_link.receive(message)

    @handlers.register("Fetch")
    def _fetch(message: pb.FetchCatalogue) -> typing.Any:
        return tasks.catalogue_watcher.ask(
            catalogue_watcher.AnswerFetch(message)
        )

    @handlers.register("Run")
    def _run(message: pb.KeyedCall) -> typing.Any:
        return context.background.submit(
            run_forwarded_call, context, services, message
        )

    @handlers.register("Handover")
    def _handover(message: pb.HandoverPart) -> typing.Any:
        return tasks.incoming_handover.ask(
            incoming_handover.ReceivePart(message)
        )

    @handlers.register("Crash")
    def _crash(message: pb.CrashReport) -> typing.Any:
        report = gossip_messages.decode_crash_report(message)
        future = tasks.dispatcher.ask(
            dispatcher_messages.CrashReported(report)
        )
        return future_chaining.map_result(future, lambda _: pb.CrashReceipt())

    @handlers.register("Judge")
    def _judge(message: pb.TrialQuestion) -> typing.Any:
        if message.over:
            report = quarantine.TrialEnded(
                message.fingerprint, message.request_id
            )
            future = tasks.dispatcher.ask(
                dispatcher_messages.TrialEnded(report)
            )
            return future_chaining.map_result(
                future, lambda _: pb.TrialAnswer()
            )
        request = trial_messages.decode_request(message)
        future = tasks.dispatcher.ask(dispatcher_messages.DecideTrial(request))
        return future_chaining.map_result(
            future, trial_messages.encode_decision
        )


def run_forwarded_call(
    context: contexts.Context,
    services: service_calls.ServiceCalls,
    message: pb.KeyedCall,
) -> pb.KeyedAnswer:
    """Run a keyed call that another entry VM forwarded to this one.

    The call has an idempotency key on which this VM's ledger decides.

    :param context: the daemon's tasks.
    :param services: runs the call.
    :param message: the call; the sender has authenticated the customer.
    :returns: the answer or refusal for the sender.
    """
    catalogue = context.catalogue
    entry = catalogue.entries.get(message.entry)
    if entry is None:
        # The call may have run here before. The ledger, which would know, is
        # not asked, so the outcome is reported as unknown.
        refusal = refusals.Refusal(
            refusals.NOT_READY,
            "this entry VM's catalogue does not have the entry",
            refusals.Executed.UNKNOWN,
            1.0,
        )
        return keyed_answer_codec.encode_refusal(message.request_id, refusal)
    now = context.clock.now()
    request = service_request.ServiceRequest(
        message.request_id,
        message.customer,
        entry,
        catalogue.class_of(entry),
        message.method,
        message.path,
        dict(message.headers),
        message.body,
        now,
        now + message.deadline_s,
        True,
    )
    try:
        answer = services.run_keyed(request, message.key, False, True)
    except refusals.Refusal as refusal:
        return keyed_answer_codec.encode_refusal(message.request_id, refusal)
    return keyed_answer_codec.encode_answer(message.request_id, answer)
