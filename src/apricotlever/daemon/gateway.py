"""The handlers of what callers and operators ask of an entry VM."""

import typing

from .. import refusals
from ..catalogue import model as catalogues
from ..contracts import admission
from ..links import caller_routes
from ..links import caller_server
from ..links import openai_format
from ..runners import quarantine

from . import access
from . import admitting
from . import archive
from . import book
from . import context as contexts
from . import flights
from . import lookups
from . import messages
from . import presence as presences
from . import relay
from . import service_gateway

KEYS_MAX = 1000

_routes = caller_routes.Routes()


class Gateway:
    """Answers calls; one instance serves all threads.

    :param context: the daemon's tasks.
    :param presence: this VM's place among the entry VMs.
    """

    def __init__(
        self, context: contexts.Context, presence: presences.Presence
    ) -> None:
        self._context = context
        self._presence = presence
        self._entrance = admitting.Admitting(context, presence)
        self._services = service_gateway.ServiceGateway(
            context, self._entrance
        )
        self._lookups = lookups.Lookups(context, presence)

    def __call__(
        self, call: caller_server.Call
    ) -> caller_server.Reply | caller_server.StreamingReply:
        """Answer a call.

        :raises Refusal: when it is not run.
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
    def _keys(self, call: caller_server.Call) -> caller_server.Reply:
        catalogue = access.catalogue_of(self._context)
        customer = access.customer_of(catalogue, call)
        self._entrance.check_serving()
        document = openai_format.parse_json_object(call.body or b"{}")
        count = document.get("count", 1)
        whole = isinstance(count, int) and not isinstance(count, bool)
        if not whole or not 1 <= count <= KEYS_MAX:
            raise refusals.Refusal(
                refusals.BAD_JSON,
                f"field count: wanted an integer from 1 to {KEYS_MAX}",
            )
        keys = self._services.mint(customer.name, count)
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
        wanted = messages.StatusWanted()
        pages = [
            context.answer_of(task.ask(wanted)) for task in context.reporting
        ]
        kept = context.answer_of(context.book.ask(book.Count()))
        running = context.answer_of(
            context.archive.ask(archive.CountRunning())
        )
        document: dict[str, typing.Any] = {
            "vm": context.config.vm,
            "data_centre": context.config.data_centre,
            "incarnation": context.incarnation,
            "catalogue_version": context.catalogue.version,
            "leaving": self._presence.leaving,
            "takes_new_work": self._presence.takes_new_work,
            "peers": self._presence.peers(),
            "ledger": {"keys": kept[0], "in_flight": kept[1]},
            "streams": running,
        }
        for page in pages:
            document.update(page)
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
        catalogue = access.catalogue_of(context)
        customer = access.customer_of(catalogue, call)
        request = openai_format.parse_request(call.body, chat)
        entry = access.entry_of(
            catalogue, customer, request.catalogue_entry, catalogues.KIND_MODEL
        )
        self._entrance.check_serving()
        service_class = catalogue.class_of(entry)
        flight = self._flight(call, customer, entry, service_class, request)
        self._entrance.admit(_ticket(flight), service_class)
        room = context.answer_of(context.archive.ask(archive.Open(flight)))
        if not room:
            context.desk.tell(messages.Withdraw(flight.request_id))
            raise refusals.Refusal(
                refusals.OVERLOADED,
                "too many requests are running here",
                retry_after_s=1.0,
                request_id=flight.request_id,
            )
        answer = relay.Relay(context, flight)
        return answer.stream() if request.stream else answer.whole()

    def _flight(
        self,
        call: caller_server.Call,
        customer: catalogues.Customer,
        entry: catalogues.Entry,
        service_class: catalogues.ServiceClass,
        request: openai_format.ModelRequest,
    ) -> flights.Flight:
        now = self._context.clock.now()
        return flights.Flight(
            self._context.clock,
            self._entrance.new_request_id(),
            customer.name,
            entry,
            service_class,
            request,
            call.body,
            quarantine.fingerprint(entry.name, customer.name, call.body),
            now + service_class.deadline_s,
        )


def _ticket(flight: flights.Flight) -> admission.Ticket:
    return admission.Ticket(
        flight.request_id,
        flight.customer,
        flight.entry.name,
        flight.service_class.name,
        flight.request.prompt_tokens + flight.request.max_tokens,
        flight.arrived,
        flight.deadline,
    )
