"""The handler of calls to plain services, and the minting of their keys."""

import re

from .. import refusals
from ..catalogue import model as catalogues
from ..contracts import admission
from ..links import caller_server
from ..requests import errors as request_errors
from ..requests import ledger_messages as keyed

from . import access
from . import admitting
from . import book
from . import context as contexts
from . import messages
from . import relay
from . import service_calls
from . import service_request

KEY_HEADER = "Idempotency-Key"
FIRST_HEADER = "Apricotlever-First-Attempt"
KEY_CHARS_MAX = 256


class ServiceGateway:
    """Answers calls to plain services; one instance serves all threads.

    :param context: the daemon's tasks.
    :param entrance: takes requests in.
    """

    __slots__ = ("_context", "_entrance", "_calls")

    def __init__(
        self, context: contexts.Context, entrance: admitting.Admitting
    ) -> None:
        self._context = context
        self._entrance = entrance
        self._calls = service_calls.ServiceCalls(context)

    def answer(
        self, call: caller_server.Call, entry_name: str, path: str
    ) -> caller_server.Reply:
        """Run a call and answer it.

        :param call: what the caller sent.
        :param entry_name: names the service.
        :param path: the decoded path at the service.
        :raises Refusal: says truly whether the call ran.
        """
        try:
            request = self._request(call, entry_name, path)
        except refusals.Refusal as refusal:
            raise refusal if _surely_new(call) else _doubted(refusal)
        try:
            if request.non_idempotent:
                answer = self._run_keyed(call, request)
            else:
                self._take_in(request)
                answer = self._calls.run(request)
        finally:
            # Without effect unless the call was admitted and then answered
            # from the ledger, refused by it or forwarded.
            withdraw = messages.Withdraw(request.request_id)
            self._context.desk.tell(withdraw)
        return _answered(request, answer)

    def mint(self, customer: str, count: int) -> list[str]:
        """Keys bound to a customer and to this VM's ledger.

        :param customer: the customer's name.
        :param count: how many.
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

    def _request(
        self, call: caller_server.Call, entry_name: str, path: str
    ) -> service_request.ServiceRequest:
        catalogue = access.catalogue_of(self._context)
        customer = access.customer_of(catalogue, call)
        entry = access.entry_of(
            catalogue, customer, entry_name, catalogues.KIND_SERVICE
        )
        path = _plain_path(path)
        service_class = catalogue.class_of(entry)
        now = self._context.clock.now()
        return service_request.ServiceRequest(
            self._entrance.new_request_id(),
            customer.name,
            entry,
            service_class,
            call.method,
            call.request_target(path),
            service_request.passed_on(call),
            call.body,
            now,
            now + service_class.deadline_s,
            entry.is_non_idempotent(call.method, path),
        )

    def _run_keyed(
        self,
        call: caller_server.Call,
        request: service_request.ServiceRequest,
    ) -> keyed.Answer:
        key = call.header(KEY_HEADER)
        if len(key) > KEY_CHARS_MAX:
            raise refusals.Refusal(
                refusals.BAD_REQUEST,
                f"{KEY_HEADER}: wanted at most {KEY_CHARS_MAX} characters",
            )
        first = _vouched(call)
        try:
            self._entrance.check_serving()
            if not key:
                # Without a key the call can't be recognised when it comes
                # again, but within this exchange it runs at most once.
                [key] = self.mint(request.customer, 1)
                first = True
            self._admit(request)
        except refusals.Refusal as refusal:
            raise refusal if _surely_new(call) else _doubted(refusal)
        return self._calls.run_keyed(request, key, first)

    def _take_in(self, request: service_request.ServiceRequest) -> None:
        self._entrance.check_serving()
        self._admit(request)

    def _admit(self, request: service_request.ServiceRequest) -> None:
        ticket = admission.Ticket(
            request.request_id,
            request.customer,
            request.entry.name,
            request.service_class.name,
            1.0,
            request.arrived,
            request.deadline,
        )
        self._entrance.admit(ticket, request.service_class)


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


def _vouched(call: caller_server.Call) -> bool:
    """Whether the caller says that it never sent this key before."""
    return call.header(FIRST_HEADER).lower() in ("yes", "true", "1")


def _surely_new(call: caller_server.Call) -> bool:
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


def _answered(
    request: service_request.ServiceRequest, answer: keyed.Answer
) -> caller_server.Reply:
    content_type = (
        dict(answer.headers).get("Content-Type") or caller_server.JSON_TYPE
    )
    headers = relay.answer_headers(request.request_id, content_type)
    return caller_server.Reply(answer.status, headers, answer.body)
