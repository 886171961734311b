"""Resumes streams whose entry VM has died, from their runners.

A resumption token, which the caller got with its stream, names the runner.
"""

from concurrent import futures

from .. import refusals
from ..catalogue import model as catalogues
from ..links import openai_format
from ..runners import call_features
from ..runners import model as runners
from ..runners import quarantine

from . import answer_reader
from . import context as contexts
from . import model_request
from . import model_responses
from . import request_registry
from . import resumption_tokens
from . import runner_messages

READER_THREADS = 256


class OrphanedStreams:
    """Resumes streams that callers identify by resumption tokens.

    :param context: the daemon's tasks.
    """

    __slots__ = ("_context", "_threads")

    def __init__(self, context: contexts.Context) -> None:
        self._context = context
        self._threads = futures.ThreadPoolExecutor(READER_THREADS, "rescue")

    def resume(
        self,
        token: resumption_tokens.ResumptionToken,
        catalogue: catalogues.Catalogue,
        customer: catalogues.Customer,
    ) -> model_request.ModelRequest:
        """Resume a stream from the runner that a resumption token names.

        The runner still has all tokens of the answer, so the answer is read
        from its start. The caller continues after its last token.

        :param token: the resumption token, already verified.
        :param catalogue: the catalogue in force for the caller's request.
        :param customer: the customer that presented the token.
        :returns: the resumed request.
        :raises Refusal: when the runner or the catalogue entry is gone, or
            when this VM has no room for another request.
        """
        context = self._context
        entry = catalogue.entries.get(token.entry)
        message = runner_messages.GetRunner(token.runner)
        runner = context.wait_for_reply(context.dispatcher.ask(message))
        if entry is None or runner is None:
            raise _not_found(token.request_id)
        service_class = catalogue.class_of(entry)
        request = self._create_request(
            token, customer, entry, service_class, runner
        )
        has_room = context.wait_for_reply(
            context.registry.ask(request_registry.RegisterRequest(request))
        )
        if not has_room:
            raise refusals.Refusal(
                refusals.OVERLOADED,
                "too many requests are running here",
                refusals.Executed.UNKNOWN,
                1.0,
                token.request_id,
            )
        reader = answer_reader.AnswerReader(context, request, runner)
        self._threads.submit(model_responses.read_adopted, context, reader)
        return request

    def _create_request(
        self,
        token: resumption_tokens.ResumptionToken,
        customer: catalogues.Customer,
        entry: catalogues.Entry,
        service_class: catalogues.ServiceClass,
        runner: runners.Runner,
    ) -> model_request.ModelRequest:
        document = {
            "model": entry.name,
            "prompt": "",
            "max_tokens": token.max_tokens,
        }
        now = self._context.clock.now()
        request = model_request.ModelRequest(
            self._context.clock,
            token.request_id,
            customer.name,
            entry,
            service_class,
            openai_format.ModelRequest(document, token.chat, ""),
            b"",
            call_features.CallFeatures(
                # Its prompt is unknown; streams are no repeats of each other.
                quarantine.fingerprint(
                    entry.name, customer.name, token.request_id.encode()
                ),
                customer.name,
            ),
            now + service_class.deadline_s,
        )
        request.runner = runner
        return request


def _not_found(request_id: str) -> refusals.Refusal:
    return refusals.Refusal(
        refusals.NOT_FOUND,
        "the entry VM and the runner that had the request are gone; send it "
        "again",
        refusals.Executed.UNKNOWN,
        request_id=request_id,
    )
