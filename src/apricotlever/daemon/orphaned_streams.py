"""Streams of an entry VM that died, picked up at their runners."""

from concurrent import futures

from .. import refusals
from ..catalogue import model as catalogues
from ..links import openai_format
from ..runners import model as runners

from . import answer_reader as pumps
from . import context as contexts
from . import dispatcher_messages
from . import model_request
from . import model_responses
from . import request_registry
from . import resumption_tokens

RESCUE_THREADS = 256


class OrphanedStreams:
    """Picks up streams by their callers' resumption tokens.

    :param context: the daemon's tasks.
    """

    __slots__ = ("_context", "_threads")

    def __init__(self, context: contexts.Context) -> None:
        self._context = context
        self._threads = futures.ThreadPoolExecutor(RESCUE_THREADS, "rescue")

    def rescue(
        self,
        ticket: resumption_tokens.ResumptionToken,
        catalogue: catalogues.Catalogue,
        customer: catalogues.Customer,
    ) -> model_request.ModelRequest:
        """Read a stream on at the runner that the token names.

        The runner still has every token, so the answer is read from its
        start, and the caller gets it from wherever it stands.

        :param ticket: what the token says; it was checked.
        :param catalogue: that of the caller's request.
        :param customer: who brought it.
        :raises Refusal: when the runner is gone as well.
        """
        context = self._context
        entry = catalogue.entries.get(ticket.entry)
        wanted = dispatcher_messages.RunnerWanted(ticket.runner)
        runner = context.answer_of(context.dispatcher.ask(wanted))
        if entry is None or runner is None:
            raise _gone(ticket.request_id)
        service_class = catalogue.class_of(entry)
        flight = self._flight(ticket, customer, entry, service_class, runner)
        room = context.answer_of(
            context.registry.ask(request_registry.Open(flight))
        )
        if not room:
            raise refusals.Refusal(
                refusals.OVERLOADED,
                "too many requests are running here",
                refusals.Executed.UNKNOWN,
                1.0,
                ticket.request_id,
            )
        pump = pumps.AnswerReader(context, flight, runner)
        self._threads.submit(model_responses.pump_adopted, context, pump)
        return flight

    def _flight(
        self,
        ticket: resumption_tokens.ResumptionToken,
        customer: catalogues.Customer,
        entry: catalogues.Entry,
        service_class: catalogues.ServiceClass,
        runner: runners.Runner,
    ) -> model_request.ModelRequest:
        document = {
            "model": entry.name,
            "prompt": "",
            "max_tokens": ticket.max_tokens,
        }
        now = self._context.clock.now()
        flight = model_request.ModelRequest(
            self._context.clock,
            ticket.request_id,
            customer.name,
            entry,
            service_class,
            openai_format.ModelRequest(document, ticket.chat, ""),
            b"",
            "",
            now + service_class.deadline_s,
        )
        flight.runner = runner
        return flight


def _gone(request_id: str) -> refusals.Refusal:
    return refusals.Refusal(
        refusals.NOT_FOUND,
        "the entry VM and the runner that had the request are gone; send it "
        "again",
        refusals.Executed.UNKNOWN,
        request_id=request_id,
    )
