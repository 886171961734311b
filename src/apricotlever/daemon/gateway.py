"""The HTTP handlers of an entry VM, for callers and operators."""

import typing

from .. import refusals
from ..catalogue import model as catalogues
from ..contracts import admission
from ..links import caller_routes
from ..links import caller_server
from ..links import openai_format
from ..runners import call_features
from ..runners import prompt_parts
from ..runners import quarantine

from . import access
from . import context as contexts
from . import dispatcher_messages
from . import ledger_task
from . import model_request
from . import model_responses
from . import request_admission
from . import request_lookup
from . import request_registry
from . import service_gateway
from . import vm_presence as presences

MAX_KEYS_PER_CALL = 1000

_routes = caller_routes.Routes()


class Gateway:
    """Routes HTTP calls to their handlers; thread-safe.

    :param context: the daemon's tasks.
    :param presence: whether this VM takes work, and the other entry VMs.
    """

    def __init__(
        self, context: contexts.Context, presence: presences.VmPresence
    ) -> None:
        self._context = context
        self._presence = presence
        self._admission = request_admission.RequestAdmission(context, presence)
        self._services = service_gateway.ServiceGateway(
            context, self._admission
        )
        self._lookups = request_lookup.RequestLookup(context, presence)

    def __call__(
        self, call: caller_server.Call
    ) -> caller_server.Reply | caller_server.StreamingReply:
        """Handle a call.

        :param call: the HTTP call.
        :raises Refusal: when the call is refused.
        """
        try:
            handler, arguments = _routes.find(call)
            return handler(self, call, *arguments)
        except refusals.Refusal as refusal:
            self._context.metrics.count(
                "requests.refused", of=refusal.kind.name
            )
            raise

    @_routes.register("/v1/entries", "GET")
    def _entries(self, call: caller_server.Call) -> caller_server.Reply:
        document = {
            "entries": self._presence.entries(),
            "ttl_s": self._context.config.timing.entries_ttl_s,
        }
        return caller_server.json_reply(document)

    @_routes.register("/v1/chat/completions", "POST")
    def _chat(
        self, call: caller_server.Call
    ) -> caller_server.Reply | caller_server.StreamingReply:
        return self._model_request(call, chat=True)

    @_routes.register("/v1/completions", "POST")
    def _completions(
        self, call: caller_server.Call
    ) -> caller_server.Reply | caller_server.StreamingReply:
        return self._model_request(call, chat=False)

    @_routes.register("/v1/services/([^/]+)(/.*)?")
    def _service(
        self, call: caller_server.Call, entry_name: str, path: str | None
    ) -> caller_server.Reply:
        return self._services.answer(call, entry_name, path or "/")

    @_routes.register("/v1/keys", "POST")
    def _mint_keys(self, call: caller_server.Call) -> caller_server.Reply:
        catalogue = access.current_catalogue(self._context)
        customer = access.authenticate(catalogue, call)
        self._admission.check_serving()
        document = openai_format.parse_json_object(call.body or b"{}")
        count = document.get("count", 1)
        is_integer = isinstance(count, int) and not isinstance(count, bool)
        if not is_integer or not 1 <= count <= MAX_KEYS_PER_CALL:
            raise refusals.Refusal(
                refusals.BAD_JSON,
                "field count: expected an integer from 1 to "
                f"{MAX_KEYS_PER_CALL}",
            )
        keys = self._services.mint_keys(customer.name, count)
        vm = self._context.config.vm
        return caller_server.json_reply({"keys": keys, "vm": vm})

    @_routes.register("/v1/requests/([^/]+)", "GET")
    def _request(
        self, call: caller_server.Call, request_id: str
    ) -> caller_server.Reply:
        return self._lookups.answer(call, request_id)

    @_routes.register("/v1/status", "GET")
    def _status(self, call: caller_server.Call) -> caller_server.Reply:
        context = self._context
        access.check_operator(context, call)
        message = dispatcher_messages.GetStatus()
        sections = [
            context.wait_for_reply(task.ask(message))
            for task in context.status_tasks
        ]
        ledger_counts = context.wait_for_reply(
            context.ledger.ask(ledger_task.CountKeys())
        )
        running_streams = context.wait_for_reply(
            context.registry.ask(request_registry.CountRunning())
        )
        document: dict[str, typing.Any] = {
            "vm": context.config.vm,
            "data_centre": context.config.data_centre,
            "incarnation": context.incarnation,
            "catalogue_version": context.catalogue.version,
            "leaving": self._presence.leaving,
            "takes_new_work": self._presence.takes_new_work,
            "peers": self._presence.peers(),
            "ledger": {
                "keys": ledger_counts[0],
                "in_flight": ledger_counts[1],
            },
            "streams": running_streams,
        }
        for section in sections:
            document.update(section)
        return caller_server.json_reply(document)

    @_routes.register("/v1/histograms", "GET")
    def _histograms(self, call: caller_server.Call) -> caller_server.Reply:
        access.check_operator(self._context, call)
        return caller_server.json_reply(
            {"histograms": self._context.histograms.encoded()}
        )

    def _model_request(
        self, call: caller_server.Call, chat: bool
    ) -> caller_server.Reply | caller_server.StreamingReply:
        context = self._context
        catalogue = access.current_catalogue(context)
        customer = access.authenticate(catalogue, call)
        completion_request = openai_format.parse_request(call.body, chat)
        entry = access.authorized_entry(
            catalogue,
            customer,
            completion_request.catalogue_entry,
            catalogues.KIND_MODEL,
        )
        self._admission.check_serving()
        service_class = catalogue.class_of(entry)
        request = self._new_request(
            call, customer, entry, service_class, completion_request
        )
        self._admission.admit(_ticket(request), service_class)
        accepted = context.wait_for_reply(
            context.registry.ask(request_registry.RegisterRequest(request))
        )
        if not accepted:
            context.dispatcher.tell(
                dispatcher_messages.Withdraw(request.request_id)
            )
            raise refusals.Refusal(
                refusals.OVERLOADED,
                "too many requests are running here",
                retry_after_s=1.0,
                request_id=request.request_id,
            )
        responder = model_responses.ModelResponder(context, request)
        return (
            responder.respond_streaming()
            if completion_request.stream
            else responder.respond_whole()
        )

    def _new_request(
        self,
        call: caller_server.Call,
        customer: catalogues.Customer,
        entry: catalogues.Entry,
        service_class: catalogues.ServiceClass,
        completion_request: openai_format.ModelRequest,
    ) -> model_request.ModelRequest:
        now = self._context.clock.now()
        return model_request.ModelRequest(
            self._context.clock,
            self._admission.new_request_id(),
            customer.name,
            entry,
            service_class,
            completion_request,
            call.body,
            call_features.CallFeatures(
                quarantine.fingerprint(entry.name, customer.name, call.body),
                customer.name,
                prompt_parts.find_parts(completion_request.document),
            ),
            now + service_class.deadline_s,
        )


def _ticket(request: model_request.ModelRequest) -> admission.Ticket:
    return admission.Ticket(
        request.request_id,
        request.customer,
        request.entry.name,
        request.service_class.name,
        request.completion_request.prompt_tokens
        + request.completion_request.max_tokens,
        request.arrived_at,
        request.deadline,
    )
