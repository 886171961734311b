"""Steps for tests/standins/object_api.feature."""

from concurrent import futures

from behave import given
from behave import then
from behave import when

from standins import _server
from standins import object_api
from tests.standins import scenario_server
from tests.support import caller
from tests.support import fleet
from tests.support import http as calls

NAME = "claims/one"
PATH = f"/v1/objects/{NAME}"
CLAIM_PATH = "/v1/objects/claims/two"
FIRST = {"value": "first"}
SECOND = {"value": "second"}
WATCH_S = 10.0


def _call(context, method, path, body=None, headers=None):
    return calls.call(context.store, method, path, body, headers)


def _update(context, value, headers=None):
    return _call(context, "PUT", PATH, value, headers)


def _stored_value(context, path=PATH):
    return _call(context, "GET", path).payload["value"]


def _watch_path(after):
    return f"/v1/watch?prefix=claims/&after={after}&timeout_s={WATCH_S}"


def _update_concurrently(context, count, path, headers):
    with futures.ThreadPoolExecutor(count) as pool:
        updates = [
            pool.submit(
                _call, context, "PUT", path, {"value": number}, headers
            )
            for number in range(count)
        ]
        replies = [future.result() for future in updates]
    context.succeeded = [
        number for number, reply in enumerate(replies) if reply.status == 200
    ]
    context.refused_replies = [
        reply for reply in replies if reply.status == 412
    ]
    assert len(context.succeeded) + len(context.refused_replies) == count


def _update_and_lose(context, fault):
    context.standin.faults.set({fault: 1})
    try:
        _update(context, SECOND)
    except caller.CONNECTION_ERRORS:
        return
    raise AssertionError("the update got a response")


@given("an object API stand-in with an object")
def _store_with_object(context):
    context.standin = object_api.ObjectApi()
    server = _server.Server(context.standin, threads=16)
    server.start()
    context.closers.append(server.close)
    context.store = f"{scenario_server.HOST}:{server.port}"
    context.store_control = f"{scenario_server.HOST}:{server.control_port}"
    context.first_version = _update(context, FIRST).payload["version"]


@when("{count:d} writers update the object concurrently on its first version")
def _conditional_updates(context, count):
    _update_concurrently(
        context, count, PATH, {"If-Match": str(context.first_version)}
    )


@when("{count:d} writers update the object concurrently without a condition")
def _unconditional_updates(context, count):
    _update_concurrently(context, count, PATH, {})


@when("{count:d} writers create the same claim concurrently")
def _concurrent_claims(context, count):
    _update_concurrently(context, count, CLAIM_PATH, {"If-None-Match": "*"})


@when("the response to an update is lost")
def _lose_response(context):
    _update_and_lose(context, "lose_answer")


@when("an update is lost before the object API handles it")
def _lose_request(context):
    _update_and_lose(context, "lose_request")


@when("a watch waits for changes under the prefix")
def _start_watch(context):
    pool = futures.ThreadPoolExecutor(1)
    context.closers.append(pool.shutdown)
    path = _watch_path(context.first_version)
    context.watch = pool.submit(_call, context, "GET", path)
    fleet.wait_for(lambda: context.standin.counts()["watches_waiting"])


@when("the object is deleted from the object API")
def _delete_object(context):
    assert _call(context, "DELETE", PATH).status == 200


@when("the object is updated and its events are compacted")
def _compact_events(context):
    _update(context, SECOND)
    _call(context, "POST", "/control/compact", {})


@when("the object API goes down")
def _take_down(context):
    context.standin.faults.set({"down": True})


@then("1 writer has succeeded and the object API stores its value")
def _one_writer_succeeded(context):
    assert [_stored_value(context)] == context.succeeded, context.succeeded
    versions = {reply.payload["version"] for reply in context.refused_replies}
    assert versions == {_call(context, "GET", PATH).payload["version"]}


@then("{count:d} writers have succeeded and the object API stores one value")
def _all_writers_succeeded(context, count):
    assert len(context.succeeded) == count
    assert _stored_value(context) in context.succeeded


@then("1 writer has succeeded and the object API stores its claim")
def _one_claim_stored(context):
    assert [_stored_value(context, CLAIM_PATH)] == context.succeeded


@then("the object API stores the update whose response was lost")
def _lost_update_stored(context):
    assert _stored_value(context) == SECOND["value"]


@then("the next update gets a response")
def _next_update_answered(context):
    assert _update(context, FIRST).status == 200


@then("the object API stores the first value")
def _first_value_stored(context):
    assert _stored_value(context) == FIRST["value"]


@then("the object API counts 1 waiting watch")
def _one_watch_waiting(context):
    assert context.standin.counts()["watches_waiting"] == 1


@then("a write under another prefix leaves the watch waiting")
def _write_elsewhere(context):
    _call(context, "PUT", "/v1/objects/status/one", FIRST)
    assert not context.watch.done()
    assert context.standin.counts()["watches_waiting"] == 1


@then("a write under the prefix ends the watch with the new value")
def _write_ends_watch(context):
    version = _update(context, SECOND).payload["version"]
    reply = context.watch.result(WATCH_S / 2)
    event = {"name": NAME, "version": version, "value": SECOND["value"]}
    assert reply.payload == {"events": [event], "version": version}


@then("a watch from the object's first version gets a null value")
def _watch_null_value(context):
    reply = _call(context, "GET", _watch_path(context.first_version))
    assert [event["value"] for event in reply.payload["events"]] == [None]


@then("a watch from the object's first version is answered with 410")
def _watch_refused(context):
    assert (
        _call(context, "GET", _watch_path(context.first_version)).status == 410
    )


@then("the waiting watch is answered with 503")
def _watch_unavailable(context):
    assert context.watch.result(WATCH_S / 2).status == 503


@then("connections fail while the object API refuses them, not afterwards")
def _connections_refused(context):
    _set_faults(context, {"refuse": True, "down": False})
    fleet.wait_for(lambda: not _connection_accepted(context))
    _set_faults(context, {"refuse": False})
    fleet.wait_for(lambda: _connection_accepted(context))


def _set_faults(context, faults):
    control = context.store_control
    reply = calls.call(control, "POST", "/control/faults", faults)
    assert reply.status == 200


def _connection_accepted(context):
    try:
        return _stored_value(context) == FIRST["value"]
    except ConnectionRefusedError:
        return False
    except caller.CONNECTION_ERRORS:
        return True


@then("a value over a megabyte is answered with 413")
def _large_value_refused(context):
    large = {"value": "x" * object_api.MAX_VALUE_BYTES}
    assert _update(context, large).status == 413


@then("at a limit of 5 calls per second some of 30 are answered with 429")
def _some_calls_throttled(context):
    context.standin.faults.set({"calls_per_s": 5})
    replies = [_call(context, "GET", PATH) for _ in range(30)]
    refused = [reply for reply in replies if reply.status == 429]
    assert refused and len(refused) < 30, len(refused)
    assert all(reply.headers["Retry-After"] for reply in refused)
    assert context.standin.counts()["throttled"] == len(refused)
