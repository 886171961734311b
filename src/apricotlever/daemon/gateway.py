"""The handlers of what callers and operators ask of an entry VM."""

import json
import re
import secrets
import typing

from .. import refusals
from ..catalogue import model as catalogues
from ..contracts import admission
from ..links import callers
from ..links import openai
from ..requests import errors as request_errors
from ..requests import messages as keyed
from ..requests import records
from ..runners import quarantine

from . import archive
from . import book
from . import context as contexts
from . import flights
from . import messages
from . import presence as presences
from . import relay
from . import rescues
from . import resumption
from . import service_calls

ADMISSION_GRACE_S = 2.0
KEYS_MAX = 1000
JSON_TYPE = "application/json"
KEY_HEADER = "Idempotency-Key"
FIRST_HEADER = "Apricotlever-First-Attempt"
KEY_CHARS_MAX = 256
TOKEN_INDEX_DIGITS_MAX = 9
_BEARER = "bearer "

_routes = callers.Routes()


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
        self._services = service_calls.ServiceCalls(context)
        self._rescues = rescues.Rescues(context)

    def __call__(
        self, call: callers.Call
    ) -> callers.Reply | callers.StreamReply:
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

    @_routes.on("/v1/entries", "GET")
    def _entries(self, call: callers.Call) -> callers.Reply:
        document = {
            "entries": self._presence.entries(),
            "ttl_s": self._context.config.timing.entries_ttl_s,
        }
        return _json(document)

    @_routes.on("/v1/chat/completions", "POST")
    def _chat(self, call: callers.Call) -> callers.Reply | callers.StreamReply:
        return self._model_request(call, chat=True)

    @_routes.on("/v1/completions", "POST")
    def _completions(
        self, call: callers.Call
    ) -> callers.Reply | callers.StreamReply:
        return self._model_request(call, chat=False)

    @_routes.on("/v1/services/([^/]+)(/.*)?")
    def _service(
        self, call: callers.Call, entry_name: str, path: str | None
    ) -> callers.Reply:
        try:
            request = self._service_request(call, entry_name, path or "/")
        except refusals.Refusal as refusal:
            raise refusal if _surely_new(call) else _doubted(refusal)
        try:
            if request.non_idempotent:
                answer = self._run_keyed(call, request)
            else:
                self._check_serving()
                self._admit(self._service_ticket(request), request.entry)
                answer = self._services.run(request)
        finally:
            # Without effect unless the call was admitted and then answered
            # from the ledger, refused by it or forwarded.
            withdraw = messages.Withdraw(request.request_id)
            self._context.desk.tell(withdraw)
        return _answered(request, answer)

    @_routes.on("/v1/keys", "POST")
    def _keys(self, call: callers.Call) -> callers.Reply:
        customer = self._customer(call)
        self._check_serving()
        document = openai.decode_object(call.body or b"{}")
        count = document.get("count", 1)
        whole = isinstance(count, int) and not isinstance(count, bool)
        if not whole or not 1 <= count <= KEYS_MAX:
            raise refusals.Refusal(
                refusals.BAD_JSON,
                f"field count: wanted an integer from 1 to {KEYS_MAX}",
            )
        keys = self._minted(customer.name, count)
        vm = self._context.config.vm
        return _json({"keys": keys, "vm": vm})

    @_routes.on("/v1/requests/([^/]+)", "GET")
    def _request(self, call: callers.Call, request_id: str) -> callers.Reply:
        customer = self._customer(call)
        last = _last_event_id(call)
        resume = archive.Resume(request_id, customer.name, last)
        asked = self._context.archive.ask(resume)
        found = self._context.answer_of(asked)
        if found is None:
            return self._unknown_request(call, customer, request_id, last)
        if isinstance(found.resumed, records.Moved):
            return relay.redirect(request_id, found.resumed.vm)
        wants_stream = relay.STREAM_TYPE in call.header("Accept")
        if last is not None or wants_stream:
            return self._resumed(call, found, last)
        return _json(_described(found))

    def _unknown_request(
        self,
        call: callers.Call,
        customer: catalogues.Customer,
        request_id: str,
        last: int | None,
    ) -> callers.Reply:
        """A request that another entry VM took, living or dead."""
        owner = self._presence.owner_of(request_id)
        if owner:
            return relay.redirect(request_id, owner)
        ticket = resumption.decode(call.header(resumption.HEADER), customer)
        if ticket is None or ticket.request_id != request_id:
            raise refusals.Refusal(
                refusals.NOT_FOUND,
                "no such request of this customer is known here",
                refusals.Executed.UNKNOWN,
                request_id=request_id,
            )
        flight = self._rescues.rescue(ticket, customer)
        headers = relay.answer_headers(request_id, relay.STREAM_TYPE)
        start = 0 if last is None else last + 1
        events = relay.follow(flight, start, call.gone)
        return callers.Reply(200, headers, events)

    @_routes.on("/v1/status", "GET")
    def _status(self, call: callers.Call) -> callers.Reply:
        context = self._context
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
        return _json(document)

    @_routes.on("/v1/histograms", "GET")
    def _histograms(self, call: callers.Call) -> callers.Reply:
        return _json({"histograms": self._context.histograms.encoded()})

    def _model_request(
        self, call: callers.Call, chat: bool
    ) -> callers.Reply | callers.StreamReply:
        customer = self._customer(call)
        request = openai.parse(call.body, chat)
        entry = self._entry(request.entry, customer, catalogues.KIND_MODEL)
        self._check_serving()
        flight = self._flight(call, customer, entry, request)
        context = self._context
        self._admit(self._model_ticket(flight), entry)
        room = context.answer_of(context.archive.ask(archive.Open(flight)))
        if not room:
            context.desk.tell(messages.Withdraw(flight.request_id))
            raise refusals.Refusal(
                refusals.SHED,
                "too many requests are running here",
                retry_after_s=1.0,
                request_id=flight.request_id,
            )
        answer = relay.Relay(context, flight)
        return answer.stream() if request.stream else answer.whole()

    def _customer(self, call: callers.Call) -> catalogues.Customer:
        catalogue = self._context.catalogue
        if not catalogue.version:
            raise refusals.Refusal(
                refusals.NOT_READY,
                "no catalogue is in force here yet",
                retry_after_s=1.0,
            )
        given = call.header("Authorization")
        if given[: len(_BEARER)].lower() != _BEARER:
            raise refusals.Refusal(
                refusals.UNAUTHENTICATED, "a bearer key is wanted"
            )
        customer = catalogue.customer_of(given[len(_BEARER) :].strip())
        if customer is None:
            raise refusals.Refusal(
                refusals.UNAUTHENTICATED, "the bearer key is not known"
            )
        return customer

    def _entry(
        self, name: str, customer: catalogues.Customer, kind: str
    ) -> catalogues.Entry:
        entry = self._context.catalogue.entries.get(name)
        if entry is None or entry.kind != kind:
            raise refusals.Refusal(
                refusals.NOT_FOUND, f"no {kind} entry has this name"
            )
        if not entry.allows(customer.name):
            raise refusals.Refusal(
                refusals.FORBIDDEN, "the entry is not open to this customer"
            )
        return entry

    def _check_serving(self) -> None:
        if not self._presence.takes_new_work:
            raise refusals.Refusal(
                refusals.LEAVING,
                "this entry VM takes no new work; ask /v1/entries of another",
                retry_after_s=1.0,
            )

    def _request_id(self) -> str:
        """An ID that nobody can guess, for it is enough to find a stream."""
        context = self._context
        return (
            f"{context.config.vm}.{context.incarnation}."
            f"{secrets.token_hex(8)}"
        )

    def _flight(
        self,
        call: callers.Call,
        customer: catalogues.Customer,
        entry: catalogues.Entry,
        request: openai.ModelRequest,
    ) -> flights.Flight:
        service_class = self._context.catalogue.class_of(entry)
        now = self._context.clock.now()
        return flights.Flight(
            self._context.clock,
            self._request_id(),
            customer.name,
            entry,
            service_class,
            request,
            call.body,
            quarantine.fingerprint(entry.name, customer.name, call.body),
            now + service_class.deadline_s,
        )

    def _service_request(
        self, call: callers.Call, entry_name: str, path: str
    ) -> service_calls.ServiceRequest:
        customer = self._customer(call)
        entry = self._entry(entry_name, customer, catalogues.KIND_SERVICE)
        path = _plain_path(path)
        service_class = self._context.catalogue.class_of(entry)
        now = self._context.clock.now()
        return service_calls.ServiceRequest(
            self._request_id(),
            customer.name,
            entry,
            service_class,
            call.method,
            call.target(path),
            service_calls.passed_on(call),
            call.body,
            now,
            now + service_class.deadline_s,
            entry.is_non_idempotent(call.method, path),
        )

    def _run_keyed(
        self,
        call: callers.Call,
        request: service_calls.ServiceRequest,
    ) -> keyed.Answer:
        key = call.header(KEY_HEADER)
        if len(key) > KEY_CHARS_MAX:
            raise refusals.Refusal(
                refusals.BAD_REQUEST,
                f"{KEY_HEADER}: wanted at most {KEY_CHARS_MAX} characters",
            )
        first = _vouched(call)
        try:
            self._check_serving()
            if not key:
                # Without a key the call can't be recognised when it comes
                # again, but within this exchange it runs at most once.
                [key] = self._minted(request.customer, 1)
                first = True
            self._admit(self._service_ticket(request), request.entry)
        except refusals.Refusal as refusal:
            raise refusal if _surely_new(call) else _doubted(refusal)
        return self._services.run_keyed(request, key, first)

    def _minted(self, customer: str, count: int) -> list[str]:
        """Keys bound to this VM's ledger.

        :raises Refusal: when the ledger is on its way to an heir.
        """
        context = self._context
        mint = book.Mint(customer)
        try:
            asked = [context.book.ask(mint) for _ in range(count)]
            return [context.answer_of(each) for each in asked]
        except request_errors.LedgerFrozen as error:
            raise refusals.Refusal(
                refusals.LEAVING,
                "this entry VM is stopping",
                retry_after_s=1.0,
            ) from error

    def _model_ticket(self, flight: flights.Flight) -> admission.Ticket:
        return admission.Ticket(
            flight.request_id,
            flight.customer,
            flight.entry.name,
            flight.service_class.name,
            flight.request.prompt_tokens + flight.request.max_tokens,
            flight.arrived,
            flight.deadline,
        )

    def _service_ticket(
        self, request: service_calls.ServiceRequest
    ) -> admission.Ticket:
        return admission.Ticket(
            request.request_id,
            request.customer,
            request.entry.name,
            request.service_class.name,
            1.0,
            request.arrived,
            request.deadline,
        )

    def _admit(
        self, ticket: admission.Ticket, entry: catalogues.Entry
    ) -> None:
        """Wait until the desk lets the request in.

        :raises Refusal: at once when that is not going to happen.
        """
        context = self._context
        queue_s = context.catalogue.class_of(entry).queue_s
        asked = context.desk.ask(messages.Admit(ticket))
        try:
            context.answer_of(asked, queue_s + ADMISSION_GRACE_S)
        except refusals.Refusal as refusal:
            context.desk.tell(messages.Withdraw(ticket.request_id))
            raise refusal.for_request(ticket.request_id)

    def _resumed(
        self, call: callers.Call, found: archive.Found, last: int | None
    ) -> callers.Reply:
        record = found.record
        headers = relay.answer_headers(record.request_id, relay.STREAM_TYPE)
        start = 0 if last is None else last + 1
        if found.flight is not None:
            events = relay.follow(found.flight, start, call.gone)
            return callers.Reply(200, headers, events)
        if record.state is records.State.RUNNING:
            raise refusals.Refusal(
                refusals.LEAVING,
                "the request is being taken over; ask again",
                refusals.Executed.UNKNOWN,
                0.2,
                record.request_id,
            )
        body = b"".join(
            relay.token_event(record.request_id, index, token, record.chat)
            for index, token in enumerate(record.tokens)
            if index >= start
        )
        return callers.Reply(200, headers, body + _last_event(record))


def _plain_path(path: str) -> str:
    """A service's path in the one form that rules are matched against.

    A service resolves ``/x/../entries`` and ``//entries`` to ``/entries``.
    Passed on as they are, such calls would miss the entry's rules for
    non-idempotent calls and be sent again after a lost answer.

    :raises Refusal: for a path that climbs.
    """
    segments = re.split(r"/+", path)
    if "." in segments or ".." in segments:
        raise refusals.Refusal(
            refusals.BAD_REQUEST, "path: wanted no . or .. as a segment"
        )
    return "/".join(segments)


def _vouched(call: callers.Call) -> bool:
    """Whether the caller says that it never sent this key before."""
    return call.header(FIRST_HEADER).lower() in ("yes", "true", "1")


def _surely_new(call: callers.Call) -> bool:
    """Whether no earlier sending of this call can have run under its key."""
    key = call.header(KEY_HEADER)
    return not key or len(key) > KEY_CHARS_MAX or _vouched(call)


def _doubted(refusal: refusals.Refusal) -> refusals.Refusal:
    """A refusal of a keyed call that its caller may have sent before.

    An earlier sending may have run, here or elsewhere. Were this one refused
    with ``no`` before the key's ledger is asked, the caller would take it as
    the truth about the call, use a new key, and have it run twice.
    """
    return refusals.Refusal(
        refusal.kind,
        refusal.message,
        refusals.Executed.UNKNOWN,
        refusal.retry_after_s,
        refusal.request_id,
    )


def _json(document: typing.Any) -> callers.Reply:
    body = json.dumps(document).encode()
    headers = [("Content-Type", JSON_TYPE), ("Cache-Control", "no-store")]
    return callers.Reply(200, headers, body)


def _answered(
    request: service_calls.ServiceRequest, answer: keyed.Answer
) -> callers.Reply:
    content_type = dict(answer.headers).get("Content-Type") or JSON_TYPE
    headers = relay.answer_headers(request.request_id, content_type)
    return callers.Reply(answer.status, headers, answer.body)


def _last_event_id(call: callers.Call) -> int | None:
    text = call.header("Last-Event-ID")
    if not text:
        return None
    digits = text.isascii() and text.isdigit()
    if not digits or len(text) > TOKEN_INDEX_DIGITS_MAX:
        raise refusals.Refusal(
            refusals.BAD_REQUEST, "Last-Event-ID: wanted a token's index"
        )
    return int(text)


def _last_event(record: records.Record) -> bytes:
    outcome = record.outcome
    if outcome is None or outcome.error is None:
        return openai.DONE_EVENT
    kind = refusals.kinds().get(outcome.error, refusals.GAVE_UP)
    executed = refusals.Executed(outcome.executed.value)
    return relay.error_event(
        refusals.Refusal(kind, kind.meaning, executed, 1.0, record.request_id)
    )


def _described(found: archive.Found) -> dict[str, typing.Any]:
    """The outcome of a request as JSON."""
    record = found.record
    flight = found.flight
    tokens = len(flight.transcript) if flight else len(record.tokens)
    document: dict[str, typing.Any] = {
        "request": record.request_id,
        "entry": record.entry,
        "state": record.state.value,
        "tokens": tokens,
    }
    if record.outcome is not None:
        document["executed"] = record.outcome.executed.value
        document["error"] = record.outcome.error
        document["text"] = "".join(record.tokens)
    return document
