"""Steps for tests/serving/forwarding.feature."""

import asyncio
from unittest import mock

from behave import given
from behave import then
from behave import when
import msgpack

from apricotlever.contracts import retry_allowance
from apricotlever.runners import model as models
from apricotlever.serving import configuration_model
from apricotlever.serving import connection_pool
from apricotlever.serving import crash_watch
from apricotlever.serving import forwarded_calls
from apricotlever.serving import forwarding_protocol
from apricotlever.serving import metrics
from apricotlever.serving import runners
from apricotlever.serving import task_supervisor
from tests.serving import forwarding_fleet
from tests.serving import request_path

WAIT_S = 10.0
#: A later start of a runner, of which no failures are known.
BORN_MS = 1767225600000
#: Failures that open a runner's circuit breaker.
FAILURES = 20


def _run(context, work):
    return context.loop.run(asyncio.wait_for(work, WAIT_S))


def _start(context, others, is_cut, is_isolated):
    context.loop = asyncio.Runner()
    context.vms = [
        forwarding_fleet.Vm(f"vm-{number}") for number in range(2, others + 2)
    ]
    context.world = forwarding_fleet.FirstVm(context.vms, is_cut)
    context.world.reach.is_isolated = is_isolated
    _run(context, context.world.start())
    context.closers.append(context.loop.close)
    context.closers.append(lambda: _run(context, context.world.stop()))


def _vm(context, number):
    return [context.world, *context.vms][number - 1]


@given("an isolated VM and {others:d} other VM")
@given("an isolated VM and {others:d} other VMs")
def _start_isolated(context, others):
    _start(context, others, True, True)


@given("a VM that is cut from all runners and {others:d} other VM")
@given("a VM that is cut from all runners and {others:d} other VMs")
def _start_cut(context, others):
    _start(context, others, True, False)


@given("a VM that reaches runners and {others:d} other VM")
def _start_connected(context, others):
    _start(context, others, False, False)


@given("a helper that {behaviour}")
def _add_helper(context, behaviour):
    listens = behaviour != "does not listen"
    standin = _run(
        context,
        context.world.add_helper([behaviour if listens else "answers"]),
    )
    if not listens:
        standin.stop()


@given("a helper with a runner of {version} {behaviour}")
def _add_helper_of_version(context, version, behaviour):
    standin = _run(context, context.world.add_helper([behaviour]))
    standin.statements.append(f"Apricotlever-Runner-Version: {version}")


@given("helped runners {versions}")
def _add_runners_of_versions(context, versions):
    for version in versions.split():
        _run(context, context.world.add_runner(["streams"], version))
        context.world.upstreams.refresh()


@then("only runners of version {version} ran it")
def _check_versions(context, version):
    ran = {s.version for s in context.world.standins if s.received_calls}
    assert ran == {version}, ran


@given("the other VMs lose their paths to runners after their records")
def _isolate_others(context):
    for vm in context.vms:
        vm.reach.is_isolated = True


@given("the other VMs are in another data centre")
def _move_others(context):
    context.world.data_centre = "dc-2"
    context.world.tell()


def _fill(context, vm):
    vm.forwarded._in_progress = forwarded_calls.MAX_CALLS


def _be_late(context, vm):
    vm.forwarded.record_loop_delay(2 * forwarded_calls.MAX_LOOP_DELAY_S)


def _leave(context, vm):
    vm.leaving = True


def _isolate(context, vm):
    vm.reach.is_isolated = True


def _forget_configuration(context, vm):
    vm.relay._configuration = None


def _change_configuration(vm, routes, customers):
    vm.relay.configure(
        configuration_model.Configuration(
            2, routes, [], customers, configuration_model.CallerLimits()
        )
    )


def _forget_route(context, vm):
    _change_configuration(vm, [], vm.configuration.customers.values())


def _forget_customer(context, vm):
    _change_configuration(vm, vm.configuration.routes, [])


def _change_kind(context, vm):
    vm.configure(configuration_model.CallKind.IDEMPOTENT)


def _be_older(context, vm):
    (vm.servers._servers["peers"].handler.__self__)._handlers = {}


def _suspect(context, vm):
    vm.reach.is_connected = False


def _lack_new_connections(context, vm):
    vm.reach.lacks_new_connections = True


def _reach_none(context, vm):
    vm.reach.is_connected = False
    for runner in vm.directory.runners:
        vm.directory.apply_entry(
            runners.Runner(
                runner.name,
                "service",
                "127.0.0.1",
                vm.ports.reserve(),
                "dc",
                4,
                revision=9,
            )
        )
    vm.upstreams.refresh()


STATES = {
    "lacks new connections": _lack_new_connections,
    "reaches none and suspects it": _reach_none,
    "suspects that it lost its runners": _suspect,
    "has no room": _fill,
    "is late with its own work": _be_late,
    "leaves": _leave,
    "is isolated": _isolate,
    "has no configuration": _forget_configuration,
    "does not know the route": _forget_route,
    "does not know the customer": _forget_customer,
    "has a route of another kind": _change_kind,
    "is of an older build": _be_older,
}


@given("VM {number:d} {state}")
def _change_state(context, number, state):
    STATES[state](context, _vm(context, number))


@when("a call is made whose caller waits for the first event")
def _wait_for_first_event(context):
    async def work():
        loop = asyncio.get_running_loop()
        began_at = loop.time()
        await context.world.send()
        reader, writer = context.world.connection
        await reader.readuntil(b"data: piece 1\n\n")
        context.took_s = loop.time() - began_at
        writer.close()

    _run(context, work())


@then("it comes within {seconds:f} seconds")
def _check_first(context, seconds):
    assert context.took_s < seconds, context.took_s


@when("a call is made with the longest body that callers may send")
def _send_large(context):
    world = context.world
    body = b"x" * world.configuration.limits.body_bytes

    async def work():
        _, writer = await world.connect()
        writer.write(
            f"POST /s/x HTTP/1.1\r\nHost: {request_path.HOST}\r\n"
            f"Call-Id: c\r\nKey: {request_path.KEY}\r\n"
            f"Content-Length: {len(body)}\r\n\r\n".encode() + body
        )
        await writer.drain()
        return await world.receive()

    context.replies = [_run(context, work())]


@when("a stream is begun by a helper and goes on after the isolation")
def _begin_isolated(context):
    world = context.world
    world.reach.is_isolated = True

    async def work():
        await world.send()
        while not world.helper_standins[0].forwarded:
            await asyncio.sleep(0.001)
        world.reach.is_isolated = False
        return await world.receive()

    context.replies = [_run(context, work())]


def _record(**changes):
    fields = {
        "request_id": "call-1",
        "method": "POST",
        "target": "/s/x",
        "host": request_path.HOST,
        "headers": [(b"A", b"b")],
        "body": b"hello",
        "prompt": None,
        "customer": None,
        "route": "r",
        "kind": "idempotent",
        "service": "service",
        "remaining_ms": 1000,
        "resume_after": None,
        "sends": 0,
        "stream_begun": False,
        "counted": False,
        "usage_counted": False,
        **changes,
    }
    return [*fields.values()]


MALFORMED = {
    "no msgpack": b"\xc1",
    "a map": msgpack.packb({"a": 1}),
    "a record that is too short": msgpack.packb(_record()[:-1]),
    "a header with a line break": msgpack.packb(
        _record(headers=[(b"A", b"b\r\nC: d")])
    ),
    "a target with a line break": msgpack.packb(
        _record(target="/s/x HTTP/1.1\r\nC: d")
    ),
    "a negative time": msgpack.packb(_record(remaining_ms=-1)),
}


@when("VM {number:d} is sent {what} as a forwarded call")
def _send_malformed(context, number, what):
    body = MALFORMED[what]
    pool = connection_pool.ConnectionPool(
        "127.0.0.1", _vm(context, number).peer_port
    )
    request = connection_pool.encode_request(
        "POST", forwarding_protocol.FORWARD_PATH, "vm", body
    )
    with mock.patch.object(forwarded_calls.logs, "event") as event:
        context.response = _run(
            context, connection_pool.exchange(pool, request, 1.0)
        )
    context.logged = {call.args[0] for call in event.call_args_list}


@then("it answers 400 and logs that it refused a peer")
def _check_malformed(context):
    assert context.response.status == 400, context.response.status
    assert "peer_refused" in context.logged, context.logged
    refusal = forwarding_protocol.HelperRefusal.from_headers(
        context.response.headers
    )
    assert refusal.executed.value == "no"


@then("{count:d} connection was opened to VM {number:d}")
def _check_opened(context, count, number):
    address = f"127.0.0.1:{_vm(context, number).peer_port}"
    opened = context.world.relay.helpers.pool(address).opened_count
    assert opened == count, opened


@then(
    "VM {number:d} has counted {requests:d} requests, usage {usage:d} and "
    "{units:d} units"
)
def _check_counts(context, number, requests, usage, units):
    vm = _vm(context, number)
    counted = sum(vm.budget.counts[retry_allowance.REQUESTS].values())
    assert counted == requests, counted
    total = vm.usage.total(vm.usage.window)
    assert total.get("clerks", 0) == usage, total
    admitted = vm.limits.admitted_units
    assert admitted.get("clerks", 0) == units, admitted


@then("the VMs have counted 1 request in all")
def _check_counted_once(context):
    totals = [
        vm.budget.counts[retry_allowance.REQUESTS].values()
        for vm in [context.world, *context.vms]
    ]
    assert sum(map(sum, totals)) == 1, totals


@then("VM {number:d} has counted {count:d} retries")
def _check_retries(context, number, count):
    retries = _vm(context, number).budget.counts[retry_allowance.RETRIES]
    assert sum(retries.values()) == count, retries


@then("helper {number:d} was not told the key")
def _check_key(context, number):
    (forwarded,) = context.world.helper_standins[number - 1].forwarded
    assert request_path.KEY.encode() not in forwarded.encode()
    assert forwarded.customer == "clerks"


@then("VM 2 and VM 3 were sent {count:d} calls and forwarded none")
def _check_sent(context, count):
    sent = [sum(vm.forwarded.results.values()) for vm in context.vms]
    assert sum(sent) == count, sent
    assert not any(vm.relay.helpers.results for vm in context.vms)


@then("VM {number:d} was sent {count:d} calls")
def _check_sent_to(context, number, count):
    results = _vm(context, number).forwarded.results
    assert sum(results.values()) == count, results


@then("the answer took less than {seconds:f} seconds")
def _check_time(context, seconds):
    took_s = context.world.took_s
    assert took_s < seconds, took_s


@then("runner {number:d} was given less than {seconds:d} seconds")
def _check_given(context, number, seconds):
    (call,) = context.world.standins[number - 1].received_calls
    assert 0.8 * seconds < float(call["left-s"]) < seconds, call


@then("VM {number:d} has counted bytes to other data centres")
def _check_bytes(context, number):
    counters = _vm(context, number).relay.helpers.counters
    assert counters["forwarded_bytes_to_data_centres_total"] > 0


@when("a call is made and its helper VM {number:d} begins to leave")
def _leave_while_running(context, number):
    vm = _vm(context, number)

    async def work():
        await context.world.send()
        while not vm.forwarded.in_progress:
            await asyncio.sleep(0.001)
        vm.leaving = True
        context.busy = vm.forwarded.in_progress
        return await context.world.receive()

    context.replies = [_run(context, work())]


@then("VM {number:d} was busy with {count:d} call until then")
def _check_busy(context, number, count):
    assert context.busy == count
    assert _vm(context, number).forwarded.in_progress == 0


@then("the metrics of VM {number:d} have {line}")
def _check_metrics(context, number, line):
    vm = _vm(context, number)
    text = metrics.format_metrics(
        vm.relay,
        vm.limits,
        vm.configuration,
        {},
        task_supervisor.TaskSupervisor(),
        vm.forwarded.results,
    )
    assert f"apricotlever_{line}" in text.splitlines(), text


@when(
    "new connections of VM {number:d} hang and {count:d} calls are made at "
    "once"
)
def _call_without_new_connections(context, number, count):
    vm = _vm(context, number)
    vm.reach.lacks_new_connections = True
    calls = [vm.call_alone(f"call-{n + 2}") for n in range(count)]

    async def work():
        return await asyncio.gather(*calls)

    context.replies = _run(context, work())


@then("VM {number:d} has opened {count:d} connections to runners")
def _check_runner_connections(context, number, count):
    opened = _vm(context, number).upstreams.counters
    assert opened["runner_connections_total"] == count, opened


@given("runner 1 seems unhealthy to VM {number:d}, which {state}")
def _take_for_unhealthy(context, number, state):
    vm = _vm(context, number)
    (runner,) = vm.directory.runners
    for _ in range(FAILURES):
        vm.upstreams.connect_failed(runner, state == "was refused by it")
    if state == "was refused by it":
        vm.relay.helpers.connection_failed()
    assert (
        vm.upstreams.selection.choose(models.Query("r", "service", "")) is None
    )
    vm.reach.is_connected = state in ("is connected", "was refused by it")
    vm.reach.lacks_new_connections = state == "lacks new connections"


@given("only runner 1 is reached by VM {number:d}, which suspects itself")
def _keep_one_connection(context, number):
    vm = _vm(context, number)
    standin = vm.standins[0]
    vm.directory.apply_entry(
        runners.Runner(
            standin.name,
            "service",
            "127.0.0.1",
            standin.port,
            "dc",
            4,
            revision=9,
        )
    )
    vm.upstreams.refresh()
    other = vm.directory.get("runner-2")
    for _ in range(FAILURES):
        vm.upstreams.connect_failed(other, False)
    vm.reach.is_connected = False


@then("VM {number:d} has refused a call for {reason}")
def _check_reason(context, number, reason):
    refused = _vm(context, number).relay.observations._refused
    assert refused == {reason: 1}, refused


@when("VM {number:d} recovers and a call is made")
def _recover(context, number):
    vm = _vm(context, number)
    vm.relay.configure(vm.configuration)
    standin = context.world.standins[0]
    vm.directory.apply_entry(
        runners.Runner(
            standin.name,
            "service",
            "127.0.0.1",
            standin.port,
            "dc",
            4,
            revision=10,
            born=BORN_MS,
        )
    )
    vm.upstreams.refresh()
    context.replies = [_run(context, context.world.call(call_id="call-2"))]


@when("a call is made and the VMs that clear it are counted")
def _count_clearing(context):
    with mock.patch.object(
        crash_watch.CrashWatch, "call_answered", autospec=True
    ) as cleared:
        context.replies = [_run(context, context.world.call())]
    context.cleared = {call.args[0] for call in cleared.call_args_list}


@then("{count:d} VMs have cleared it")
def _check_cleared(context, count):
    assert len(context.cleared) == count, context.cleared
