"""Handles HTTP calls to plain services and mints their idempotency keys.

A minted key is one that this system created; a caller may also choose a key
itself. At most one call runs under a key.
"""

import re

from .. import refusals
from ..catalogue import model as catalogues
from ..contracts import admission
from ..links import caller_server
from ..requests import errors as request_errors
from ..requests import ledger_messages

from . import access
from . import context as contexts
from . import dispatcher_messages
from . import ledger_task
from . import model_responses
from . import request_admission
from . import service_calls
from . import service_request

KEY_HEADER = "Idempotency-Key"
FIRST_ATTEMPT_HEADER = "Apricotlever-First-Attempt"
KEY_CHARS_MAX = 256


class ServiceGateway:
    """Handles HTTP calls to plain services; thread-safe.

    :param context: the daemon's tasks.
    :param request_admission: admits the requests.
    """

    __slots__ = ("_context", "_admission", "_calls")

    def __init__(
        self,
        context: contexts.Context,
        request_admission: request_admission.RequestAdmission,
    ) -> None:
        self._context = context
        self._admission = request_admission
        self._calls = service_calls.ServiceCalls(context)

    def answer(
        self, call: caller_server.Call, entry_name: str, path: str
    ) -> caller_server.Reply:
        """Check, admit and run a call, and return the reply to its caller.

        :param call: the HTTP call.
        :param entry_name: name of the service's catalogue entry.
        :param path: the decoded path at the service.
        :raises Refusal: when the call is not answered; it states correctly
            whether the call was executed.
        """
        try:
            request = self._request(call, entry_name, path)
        except refusals.Refusal as refusal:
            raise (
                refusal
                if _cannot_have_run(call)
                else _with_unknown_execution(refusal)
            )
        try:
            if request.non_idempotent:
                answer = self._run_keyed(call, request)
            else:
                self._check_and_admit(request)
                answer = self._calls.run(request)
        finally:
            # Ends the admission of a call that the ledger answered or refused,
            # or that was forwarded. It has no effect on other calls.
            withdraw = dispatcher_messages.Withdraw(request.request_id)
            self._context.dispatcher.tell(withdraw)
        return _reply(request, answer)

    def mint_keys(self, customer: str, count: int) -> list[str]:
        """Mint keys that are bound to a customer and to this VM's ledger.

        :param customer: the customer's name.
        :param count: how many keys.
        :raises Refusal: when the ledger is being handed over to another VM.
        """
        context = self._context
        mint = ledger_task.MintKey(customer)
        try:
            futures = [context.ledger.ask(mint) for _ in range(count)]
            return [context.wait_for_reply(future) for future in futures]
        except request_errors.LedgerFrozen as error:
            raise refusals.Refusal(
                refusals.LEAVING,
                "this entry VM is stopping",
                retry_after_s=1.0,
            ) from error

    def _request(
        self, call: caller_server.Call, entry_name: str, path: str
    ) -> service_request.ServiceRequest:
        catalogue = access.current_catalogue(self._context)
        customer = access.authenticate(catalogue, call)
        entry = access.authorized_entry(
            catalogue, customer, entry_name, catalogues.KIND_SERVICE
        )
        path = _normalized_path(path)
        service_class = catalogue.class_of(entry)
        now = self._context.clock.now()
        return service_request.ServiceRequest(
            self._admission.new_request_id(),
            customer.name,
            entry,
            service_class,
            call.method,
            call.request_target(path),
            service_request.forwarded_headers(call),
            call.body,
            now,
            now + service_class.deadline_s,
            entry.is_non_idempotent(call.method, path),
        )

    def _run_keyed(
        self,
        call: caller_server.Call,
        request: service_request.ServiceRequest,
    ) -> ledger_messages.Answer:
        key = call.header(KEY_HEADER)
        if len(key) > KEY_CHARS_MAX:
            raise refusals.Refusal(
                refusals.BAD_REQUEST,
                f"{KEY_HEADER}: expected at most {KEY_CHARS_MAX} characters",
            )
        first_attempt = _is_first_attempt(call)
        try:
            self._admission.check_serving()
            if not key:
                # A call without a key can't be recognised when its caller
                # repeats it. The minted key only ensures that the call is
                # sent to the service at most once for this HTTP request.
                [key] = self.mint_keys(request.customer, 1)
                first_attempt = True
            self._admit(request)
        except refusals.Refusal as refusal:
            raise (
                refusal
                if _cannot_have_run(call)
                else _with_unknown_execution(refusal)
            )
        return self._calls.run_keyed(request, key, first_attempt)

    def _check_and_admit(
        self, request: service_request.ServiceRequest
    ) -> None:
        self._admission.check_serving()
        self._admit(request)

    def _admit(self, request: service_request.ServiceRequest) -> None:
        ticket = admission.Ticket(
            request.request_id,
            request.customer,
            request.entry.name,
            request.service_class.name,
            1.0,
            request.arrived_at,
            request.deadline,
        )
        self._admission.admit(ticket, request.service_class)


def _normalized_path(path: str) -> str:
    """Normalise a service's path before matching it against call patterns.

    A service resolves ``/x/../entries`` and ``//entries`` to ``/entries``.
    Without normalisation, such calls would not match the entry's patterns of
    non-idempotent calls, and would be retried after a lost answer.

    :param path: the decoded path at the service.
    :raises Refusal: when a segment is ``.`` or ``..``.
    """
    segments = re.split(r"/+", path)
    if "." in segments or ".." in segments:
        raise refusals.Refusal(
            refusals.BAD_REQUEST, "path: the segments . and .. are not allowed"
        )
    return "/".join(segments)


def _is_first_attempt(call: caller_server.Call) -> bool:
    """Whether the caller declares that it has not sent this key before."""
    return call.header(FIRST_ATTEMPT_HEADER).lower() in ("yes", "true", "1")


def _cannot_have_run(call: caller_server.Call) -> bool:
    """Whether no earlier attempt with the call's key can have run."""
    key = call.header(KEY_HEADER)
    return not key or len(key) > KEY_CHARS_MAX or _is_first_attempt(call)


def _with_unknown_execution(refusal: refusals.Refusal) -> refusals.Refusal:
    """Copy a refusal, but with ``Executed`` set to unknown.

    Used for a keyed call that its caller may have sent before: an earlier
    attempt may have run at any entry VM. If this attempt were refused with
    ``no`` before the key's ledger is asked, the caller would conclude that
    the call never ran, repeat it under a new key, and run it twice.

    :param refusal: the refusal of this attempt.
    """
    return refusals.Refusal(
        refusal.kind,
        refusal.message,
        refusals.Executed.UNKNOWN,
        refusal.retry_after_s,
        refusal.request_id,
    )


def _reply(
    request: service_request.ServiceRequest, answer: ledger_messages.Answer
) -> caller_server.Reply:
    content_type = (
        dict(answer.headers).get("Content-Type") or caller_server.JSON_TYPE
    )
    headers = model_responses.answer_headers(request.request_id, content_type)
    return caller_server.Reply(answer.status, headers, answer.body)
