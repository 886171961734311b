"""Takes requests in: names them and waits until the desk admits them."""

import secrets

from .. import refusals
from ..catalogue import model as catalogues
from ..contracts import admission

from . import context as contexts
from . import messages
from . import presence as presences

ADMISSION_GRACE_S = 2.0


class Admitting:
    """What model requests and service calls pass on their way in.

    :param context: the daemon's tasks.
    :param presence: this VM's place among the entry VMs.
    """

    __slots__ = ("_context", "_presence")

    def __init__(
        self, context: contexts.Context, presence: presences.Presence
    ) -> None:
        self._context = context
        self._presence = presence

    def check_serving(self) -> None:
        """Verify that this VM still takes new work.

        :raises Refusal: when it is leaving.
        """
        if not self._presence.takes_new_work:
            raise refusals.Refusal(
                refusals.LEAVING,
                "this entry VM takes no new work; ask /v1/entries of another",
                retry_after_s=1.0,
            )

    def new_request_id(self) -> str:
        """An ID that nobody can guess, for it is enough to find a stream."""
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
        """Wait until the desk lets a request in.

        :param ticket: of the request.
        :param service_class: says how long the request may queue.
        :raises Refusal: at once when that is not going to happen.
        """
        context = self._context
        asked = context.desk.ask(messages.Admit(ticket))
        try:
            context.answer_of(asked, service_class.queue_s + ADMISSION_GRACE_S)
        except refusals.Refusal as refusal:
            context.desk.tell(messages.Withdraw(ticket.request_id))
            raise refusal.for_request(ticket.request_id)
