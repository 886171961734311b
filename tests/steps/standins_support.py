"""Steps for tests/standins/support.feature."""

from concurrent import futures
import errno
import socket

from behave import given
from behave import then
from behave import when

from standins import plain_service
from tests.standins import entry_fake
from tests.standins import serving
from tests.support import caller
from tests.support import cuttable
from tests.support import fleet
from tests.support import http as calls
from tests.support import ports

OPERATION = {"operation": "entry-5"}
IMPATIENCE_S = 0.5


@given("two entry VM fakes, the first {spoiling} streams after 3 tokens")
def _fakes(context, spoiling):
    bodies = {}
    fakes = [entry_fake.EntryFake(how, bodies) for how in (spoiling, "")]
    context.addresses = [serving.serve(context, fake) for fake in fakes]
    context.fakes = fakes
    for fake in fakes:
        fake.peers = context.addresses


@given("the first entry VM fake refuses connections")
def _fake_refuses(context):
    context.fakes[0].faults.set({"refuse": True})
    fleet.wait_for(lambda: not _accepts(context.addresses[0]))


def _accepts(address):
    try:
        calls.call(address, "GET", "/v1/entries")
    except ConnectionRefusedError:
        return False
    except caller.BROKEN:
        return True
    return True


@given("a relay before a plain service")
def _a_relay(context):
    context.service = plain_service.PlainService()
    address = serving.serve(context, context.service)
    context.relay = cuttable.Relay(address)
    context.closers.append(context.relay.close)


@when("the caller asks for {count:d} tokens")
def _ask(context, count):
    asking = caller.Caller(context.addresses, "key")
    body = {
        "model": "drafts",
        "prompt": "a mandate",
        "max_tokens": count,
        "seed": 3,
        "stream": True,
    }
    context.answer = asking.stream(
        "/v1/completions", body, context.addresses[0]
    )


@when("a call waits behind the relay and its connection goes silent")
def _silence(context):
    context.service.faults.set({"delay_s": IMPATIENCE_S / 2})
    with futures.ThreadPoolExecutor(1) as pool:
        calling = pool.submit(_run, context)
        fleet.wait_for(lambda: context.service.counts()["in_flight"])
        context.relay.silence()
        context.error = calling.exception(10.0)


def _run(context):
    return calls.call(
        context.relay.address,
        "POST",
        "/entries",
        OPERATION,
        timeout_s=2 * IMPATIENCE_S,
    )


@when("the relay refuses connections")
def _refuse(context):
    context.relay.refuse()


@then("the caller's answer is whole after {moves:d} move and 0 breaks")
def _moved(context, moves):
    _whole(context, moves, 0)


@then("the caller's answer is whole after 0 moves and {breaks:d} break")
def _broken(context, breaks):
    _whole(context, 0, breaks)


def _whole(context, moves, breaks):
    answer = context.answer
    assert not answer.problem, answer.problem
    assert (answer.moves, answer.breaks) == (moves, breaks)


@then("the caller's check says {problem}")
def _problem(context, problem):
    assert problem in context.answer.problem, context.answer.problem


@then("the call gets no answer although the service has run it")
def _no_answer(context):
    assert isinstance(context.error, TimeoutError), context.error
    fleet.wait_for(lambda: context.service.counts()["runs"])


@then("a new connection through the relay works")
def _works(context):
    assert _run(context).payload["run"] == 2


@then("a connection to the relay is refused until it is restored")
def _refused(context):
    try:
        _run(context)
    except ConnectionRefusedError:
        context.relay.restore()
        assert _run(context).status == 200
        return
    raise AssertionError("the relay took a connection")


@when("a port is reserved")
def _reserved(context):
    reservations = ports.Reservations()
    context.closers.append(reservations.close)
    context.port = reservations.reserve()


@then("nobody else can bind the port or connect from it")
def _taken(context):
    with socket.socket() as other:
        found = other.connect_ex((ports.HOST, context.port))
        assert found == errno.ECONNREFUSED, found
    with socket.socket() as other:
        try:
            other.bind((ports.HOST, context.port))
        except OSError as error:
            assert error.errno == errno.EADDRINUSE, error
            return
    raise AssertionError(f"port {context.port} was free")


@then("the process that is meant can listen on it, also after a restart")
def _listens(context):
    for _ in range(2):
        address = (ports.HOST, context.port)
        with socket.create_server(address) as listener:
            with socket.create_connection(address) as caller_end:
                listener.accept()[0].close()
                assert caller_end.recv(1) == b""
