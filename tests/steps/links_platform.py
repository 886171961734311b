"""Steps for tests/links/platform.feature."""

import functools
import http.client
import json
import socket
import threading

from apricotlever.links import platform
from behave import given
from behave import then
from behave import when
from returns import result
from standins import cloud_api
from standins import object_api

from tests.links import blind_writer
from tests.standins import scenario_server
from tests.support import fault_relay

TIMEOUT_S = 1.0
SHORT_TIMEOUT_S = 0.2
TRUNCATED_ANSWER = b"HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\n{}"

WRITE_FUNCTIONS = {
    "blind retries": blind_writer.put,
    "one write": functools.partial(
        platform.ObjectApi.put_with_read_back, attempts=1
    ),
    "reading it back": platform.ObjectApi.put_with_read_back,
}


class _InterruptedApi(platform.ObjectApi):
    """Object API client that calls a function once, after the first write."""

    __slots__ = ("_after_first_write",)

    def __init__(self, url, after_first_write):
        super().__init__(url, TIMEOUT_S)
        self._after_first_write = after_first_write

    def put(self, name, value, expected_version):
        outcome = super().put(name, value, expected_version)
        after_first_write, self._after_first_write = (
            self._after_first_write,
            lambda: None,
        )
        after_first_write()
        return outcome


@given("the platform's object API is up")
def _start_object_api(context):
    context.object_api = object_api.ObjectApi()
    context.platform_address = scenario_server.serve_in_scenario(
        context, context.object_api
    )
    context.platform = platform.ObjectApi(
        f"http://{context.platform_address}", TIMEOUT_S
    )


@given("the object API loses the {what} of {count:d} write")
def _lose_writes(context, what, count):
    context.object_api.faults.set({f"lose_{what}": count})


@given("the object API loses the answer of 1 write and is then down")
def _lose_answer_then_down(context):
    faults = context.object_api.faults
    faults.set({"lose_answer": 1})
    url = f"http://{context.platform_address}"
    context.platform = _InterruptedApi(url, lambda: faults.set({"down": True}))


@given("the object API refuses connections")
def _refuse_connections(context):
    context.object_api.faults.set({"refuse": True})
    context.platform.close()
    _until_refused(context.platform_address)


def _until_refused(address):
    host, _, port = address.rpartition(":")
    try:
        while True:
            socket.create_connection((host, int(port))).close()
    except ConnectionError:
        return


@given("the object API is set to {faults}")
def _set_faults(context, faults):
    context.object_api.faults.set(json.loads(faults))


@given('another VM creates platform object "{name}" with "{value}" meanwhile')
def _other_vm_writes(context, name, value):
    url = f"http://{context.platform_address}"
    other = platform.ObjectApi(url, TIMEOUT_S)
    context.platform = _InterruptedApi(
        url, lambda: other.put(name, value, None)
    )


@given(
    'platform object "{name}" was read over a connection '
    "that then lost packets"
)
def _read_then_lose_packets(context, name):
    _read_through_relay(context, name)
    context.platform_relay.blackhole()


@given(
    'platform object "{name}" was read over a connection that was then closed'
)
def _read_then_close(context, name):
    _read_through_relay(context, name)
    context.platform_relay.reset_connections()


def _read_through_relay(context, name):
    context.platform.put(name, "one", None)
    context.platform_relay = fault_relay.FaultRelay(context.platform_address)
    context.closers.append(context.platform_relay.close)
    url = f"http://{context.platform_relay.address}"
    context.platform = platform.ObjectApi(url, SHORT_TIMEOUT_S)
    context.platform.get(name).unwrap()


@given("a server that sends truncated answers")
def _truncating_server(context):
    listener = socket.create_server(("127.0.0.1", 0))
    context.closers.append(listener.close)
    context.closers.append(lambda: listener.shutdown(socket.SHUT_RDWR))

    def serve():
        try:
            while True:
                connection, _ = listener.accept()
                connection.recv(65536)
                connection.sendall(TRUNCATED_ANSWER)
                connection.close()
        except OSError:
            return

    threading.Thread(target=serve, daemon=True).start()
    port = listener.getsockname()[1]
    context.platform = platform.ObjectApi(f"http://127.0.0.1:{port}")


@when('platform object "{name}" is created with "{value}"')
def _create(context, name, value):
    context.platform_outcome = context.platform.put(name, value, None)


@when('platform object "{name}" is created with "{value}" by {way}')
def _create_by(context, name, value, way):
    put = WRITE_FUNCTIONS[way]
    context.platform_outcome = put(context.platform, name, value, None)


@when(
    'platform object "{name}" is written with "{value}" '
    "expecting version {version:d}"
)
def _write(context, name, value, version):
    context.platform_outcome = context.platform.put(name, value, version)


@then("the platform write succeeds with version {version:d}")
def _succeeds(context, version):
    assert context.platform_outcome.unwrap().version == version


@then('the platform write fails as "{kind}"')
def _fails(context, kind):
    _check_failure(context.platform_outcome, kind)


@then('the platform write fails as "{kind}" at version {version:d}')
def _fails_at(context, kind, version):
    _check_failure(context.platform_outcome, kind)
    assert context.platform_outcome.failure().current_version == version


@then('platform object "{name}" holds "{value}"')
def _holds(context, name, value):
    assert context.platform.get(name).unwrap().value == value


@then('reading platform object "{name}" fails as "{kind}"')
def _read_fails(context, name, kind):
    context.platform.get(name)
    _check_failure(context.platform.get(name), kind)


@then(
    'a platform watch of "{prefix}" after version {after:d} '
    'sees "{value}" at version {version:d}'
)
def _watch(context, prefix, after, value, version):
    events = context.platform.watch(prefix, after, TIMEOUT_S).unwrap()
    seen = [(event.value, event.version) for event in events.events]
    assert seen == [(value, version)] and events.version == version


@then(
    'listing platform objects under "{prefix}" '
    'shows "{value}" at version {version:d}'
)
def _list(context, prefix, value, version):
    listing = context.platform.list(prefix).unwrap()
    assert [(i.value, i.version) for i in listing.items] == [(value, version)]
    assert listing.version == version


@then("the platform accepted {count:d} connections")
def _accepted_connections(context, count):
    assert context.platform_relay.accepted_count == count


@given("the platform's cloud API is up with a spare runner")
def _start_cloud_api(context):
    address = scenario_server.serve_in_scenario(context, cloud_api.CloudApi())
    spare = {"vm": "runner-1", "address": "127.0.0.1:1"}
    context.cloud_address = address
    _post_control(address, "spares", {"spares": [spare]})
    context.cloud = platform.CloudApi(f"http://{address}")


@when("a runner is bought twice with one token")
def _buy_twice(context):
    context.purchases = [_buy_with(context, "token-1") for _ in range(2)]


@then("both purchases name one VM")
def _one_vm(context):
    vms = {purchase.unwrap().vm for purchase in context.purchases}
    assert vms == {"runner-1"}


@then('a third purchase fails as "{kind}"')
def _no_capacity(context, kind):
    _check_failure(_buy_with(context, "token-2"), kind)


@then("a reclaim notice of that VM arrives")
def _notice(context):
    order = {"vms": ["runner-1"], "notice_s": 30}
    _post_control(context.cloud_address, "reclaim", order)
    notices = context.cloud.notices(0, TIMEOUT_S).unwrap()
    (notice,) = notices.notices
    assert notice.vm == "runner-1" and 0 < notice.deadline_s <= 30


def _buy_with(context, token):
    return context.cloud.buy("sala-a", "gpu", "reclaimable", "pool", token)


def _post_control(address, name, document):
    connection = http.client.HTTPConnection(address)
    connection.request("POST", f"/control/{name}", json.dumps(document))
    assert connection.getresponse().status == 200
    connection.close()


def _check_failure(outcome, kind):
    assert isinstance(outcome, result.Failure), outcome
    assert outcome.failure().kind == kind, outcome
