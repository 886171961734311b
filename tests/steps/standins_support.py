"""Steps for tests/standins/support.feature."""

from concurrent import futures
import errno
import socket

from behave import given
from behave import then
from behave import when

from standins import plain_service
from tests.standins import faulty_entry_vm
from tests.standins import scenario_server
from tests.support import caller
from tests.support import fault_relay
from tests.support import fleet
from tests.support import http as calls
from tests.support import ports

OPERATION = {"operation": "entry-5"}
TIME_SCALE_S = 0.5


@given("two fake entry VMs, the first with the fault {fault} after 3 tokens")
def _two_entry_vms(context, fault):
    bodies = {}
    entry_vms = [
        faulty_entry_vm.FaultyEntryVm(fault_name, bodies)
        for fault_name in (fault, "")
    ]
    context.addresses = [
        scenario_server.serve_in_scenario(context, entry_vm)
        for entry_vm in entry_vms
    ]
    context.entry_vms = entry_vms
    for entry_vm in entry_vms:
        entry_vm.peers = context.addresses


@given("the first fake entry VM refuses connections")
def _first_entry_vm_refuses(context):
    context.entry_vms[0].faults.set({"refuse": True})
    fleet.wait_for(lambda: not _accepts_connections(context.addresses[0]))


def _accepts_connections(address):
    try:
        calls.call(address, "GET", "/v1/entries")
    except ConnectionRefusedError:
        return False
    except caller.CONNECTION_ERRORS:
        return True
    return True


@given("a relay in front of a plain service")
def _relay_before_service(context):
    context.service = plain_service.PlainService()
    address = scenario_server.serve_in_scenario(context, context.service)
    context.relay = fault_relay.FaultRelay(address)
    context.closers.append(context.relay.close)


@when("the caller requests {count:d} tokens")
def _request_tokens(context, count):
    stream_caller = caller.Caller(context.addresses, "key")
    body = {
        "model": "drafts",
        "prompt": "a mandate",
        "max_tokens": count,
        "seed": 3,
        "stream": True,
    }
    context.answer = stream_caller.stream(
        "/v1/completions", body, context.addresses[0]
    )


@when("a call waits for the service and the relay silences its connection")
def _silence_relay(context):
    context.service.faults.set({"delay_s": TIME_SCALE_S / 2})
    with futures.ThreadPoolExecutor(1) as pool:
        pending_call = pool.submit(_call_service, context)
        fleet.wait_for(lambda: context.service.counts()["in_flight"])
        context.relay.blackhole()
        context.error = pending_call.exception(10.0)


def _call_service(context):
    return calls.call(
        context.relay.address,
        "POST",
        "/entries",
        OPERATION,
        timeout_s=2 * TIME_SCALE_S,
    )


@when("the relay refuses connections")
def _refuse_connections(context):
    context.relay.refuse_connections()


@then(
    "the caller's answer is complete after {moves:d} move and 0 disconnections"
)
def _complete_after_move(context, moves):
    _check_complete(context, moves, 0)


@then(
    "the caller's answer is complete after 0 moves and {breaks:d}"
    " disconnection"
)
def _complete_after_break(context, breaks):
    _check_complete(context, 0, breaks)


def _check_complete(context, moves, breaks):
    answer = context.answer
    assert not answer.problem, answer.problem
    assert (answer.redirects, answer.broken_connections) == (moves, breaks)


@then("the caller's check of the answer reports {problem}")
def _problem_reported(context, problem):
    assert problem in context.answer.problem, context.answer.problem


@then("the call gets no response although the service has run the operation")
def _no_response(context):
    assert isinstance(context.error, TimeoutError), context.error
    fleet.wait_for(lambda: context.service.counts()["runs"])


@then("a call on a new connection through the relay succeeds")
def _new_connection_works(context):
    assert _call_service(context).payload["run"] == 2


@then("connections to the relay are refused until the relay is restored")
def _connection_refused(context):
    try:
        _call_service(context)
    except ConnectionRefusedError:
        context.relay.restore()
        assert _call_service(context).status == 200
        return
    raise AssertionError("the relay took a connection")


@when("a port is reserved for a process")
def _reserve_port(context):
    reservations = ports.PortReservations()
    context.closers.append(reservations.close)
    context.port = reservations.reserve()


@then("no other process can bind the reserved port or connect to it")
def _port_taken(context):
    with socket.socket() as other_socket:
        error_code = other_socket.connect_ex((ports.HOST, context.port))
        assert error_code == errno.ECONNREFUSED, error_code
    with socket.socket() as other_socket:
        try:
            other_socket.bind((ports.HOST, context.port))
        except OSError as error:
            assert error.errno == errno.EADDRINUSE, error
            return
    raise AssertionError(f"port {context.port} was free")


@then("the process can listen on the reserved port, also after a restart")
def _owner_can_listen(context):
    for _ in range(2):
        address = (ports.HOST, context.port)
        with socket.create_server(address) as listener:
            with socket.create_connection(address) as client:
                listener.accept()[0].close()
                assert client.recv(1) == b""
