"""Steps for tests/daemon/service_answers.feature."""

from concurrent import futures
import types

from behave import given
from behave import then
from behave import when

from apricotlever import clock as clocks
from apricotlever import histograms
from apricotlever import metrics
from apricotlever import refusals

from apricotlever.contracts import retry_policy
from apricotlever.daemon import dispatcher_messages
from apricotlever.daemon import ledger_task
from apricotlever.daemon import service_attempts
from apricotlever.daemon import service_request
from apricotlever.links import upstream_exchange
from apricotlever.runners import model as runners

from tests.links import scripted_upstream

ANSWER_BYTES_MAX = 1000
DEADLINE_S = 3.0
TARGET_S = 0.1
OTHER_BODY = b"abcdefgh"
TOKEN = 7


class _Dispatcher:
    """Chooses the services in turn and permits each retry.

    :param addresses: of the services.
    """

    def __init__(self, addresses):
        self._left = list(addresses)

    def ask(self, message):
        reply = futures.Future()
        reply.set_result(self._reply(message))
        return reply

    def tell(self, message):
        """Take a report, which has no effect here."""

    def _reply(self, message):
        if isinstance(message, dispatcher_messages.Dispatch):
            address = self._left.pop(0)
            runner = runners.Runner(
                address, address, "dc", "pool", "vm", "", 1.0, 4
            )
            return runners.Route(runner, 0.0, 0)
        if isinstance(message, dispatcher_messages.DecideRetry):
            return retry_policy.Retry(message.tried)
        return None


class _Ledger:
    """Permits each call to be sent, and keeps what it is told."""

    def __init__(self):
        self.told = []

    def ask(self, message):
        reply = futures.Future()
        reply.set_result(True)
        return reply

    def tell(self, message):
        self.told.append(message)


def _attempts(context):
    clock = clocks.SystemClock()
    context.ledger = _Ledger()
    daemon = types.SimpleNamespace(
        clock=clock,
        config=types.SimpleNamespace(
            sizes=types.SimpleNamespace(answer_bytes_max=ANSWER_BYTES_MAX)
        ),
        connections=upstream_exchange.ConnectionPool(clock),
        dispatcher=_Dispatcher(each.address for each in context.services),
        histograms=histograms.Histograms(),
        ledger=context.ledger,
        metrics=metrics.Metrics(None),
        wait_for_reply=lambda future: future.result(),
    )
    now = clock.now()
    request = service_request.ServiceRequest(
        "r-1",
        "ana",
        types.SimpleNamespace(name="entry", pool="pool"),
        types.SimpleNamespace(
            name="class", priority=0, first_token_s=TARGET_S
        ),
        "POST",
        "/orders",
        {},
        b"",
        now,
        now + DEADLINE_S,
        True,
    )
    return service_attempts.ServiceAttempts(daemon, request)


@given("a service that sends {answer} and then {end}")
def _start(context, answer, end):
    sent = scripted_upstream.ANSWERS[answer.replace("another body", "a body")]
    if answer.startswith("another"):
        sent = sent.replace(scripted_upstream.BODY, OTHER_BODY)
    service = scripted_upstream.ScriptedUpstream([sent], end)
    context.closers.append(service.close)
    context.services = [*getattr(context, "services", []), service]


@when("a call that runs at most once is sent to it")
def _send_once(context):
    try:
        context.answer = _attempts(context).run_at_most_once(TOKEN)
    except refusals.Refusal as refusal:
        context.answer = refusal


@then("the caller gets the answer")
def _check_answer(context):
    assert context.answer.body == scripted_upstream.BODY, context.answer
    [told] = context.ledger.told
    assert isinstance(told, ledger_task.AnswerReceived), told


@then("the caller gets an unknown outcome")
def _check_unknown(context):
    assert isinstance(context.answer, refusals.Refusal), context.answer.body
    assert context.answer.kind is refusals.OUTCOME_UNKNOWN, context.answer
    [told] = context.ledger.told
    assert isinstance(told, ledger_task.AnswerLost), told
    assert len(context.services[0].requests) == 1


@when("an idempotent call is sent to the services in turn")
def _send_idempotent(context):
    context.answer = _attempts(context).run_idempotent()


@then("the caller gets the second service's answer")
def _check_second(context):
    assert context.answer.body == OTHER_BODY, context.answer.body
