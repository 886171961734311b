"""Creates request IDs and waits until the dispatcher admits requests."""

import secrets

from .. import refusals
from ..catalogue import model as catalogues
from ..contracts import admission

from . import context as contexts
from . import dispatcher_messages
from . import vm_presence as presences

#: Seconds that the dispatcher may take to reply, in addition to the longest
#: time of a request in the queue.
ADMISSION_GRACE_S = 2.0


class RequestAdmission:
    """Admits requests: the steps that model and service requests share.

    :param context: the daemon's tasks.
    :param presence: tells whether this VM takes new work.
    """

    __slots__ = ("_context", "_presence")

    def __init__(
        self, context: contexts.Context, presence: presences.VmPresence
    ) -> None:
        self._context = context
        self._presence = presence

    def check_serving(self) -> None:
        """Check that this VM still takes new work.

        :raises Refusal: when this VM is leaving.
        """
        if not self._presence.takes_new_work:
            raise refusals.Refusal(
                refusals.LEAVING,
                "this entry VM takes no new work; ask /v1/entries of another",
                retry_after_s=1.0,
            )

    def new_request_id(self) -> str:
        """A new request ID.

        The ID is unpredictable, so that a customer can't guess the ID of
        another customer's stream.
        """
        context = self._context
        return (
            f"{context.config.vm}.{context.incarnation}."
            f"{secrets.token_hex(8)}"
        )

    def admit(
        self,
        ticket: admission.Ticket,
        service_class: catalogues.ServiceClass,
    ) -> None:
        """Wait until the dispatcher admits a request.

        :param ticket: describes the request to admission.
        :param service_class: the request's class, which limits its time in
            the queue.
        :raises Refusal: when the request is not admitted; raised without a
            wait in the queue if that is known on arrival.
        """
        context = self._context
        future = context.dispatcher.ask(dispatcher_messages.Admit(ticket))
        try:
            context.wait_for_reply(
                future, service_class.queue_s + ADMISSION_GRACE_S
            )
        except refusals.Refusal as refusal:
            context.dispatcher.tell(
                dispatcher_messages.Withdraw(ticket.request_id)
            )
            raise refusal.for_request(ticket.request_id)
