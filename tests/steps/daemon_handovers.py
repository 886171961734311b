"""Steps for tests/daemon/handovers.feature."""

import re

from behave import then
from behave import when

from tests.support import http


@when(
    "{count:d} callers wait for answers of {tokens:d} tokens at {vm} without "
    "streaming"
)
def _wait_without_streaming(context, count, tokens, vm):
    context.scene.request_answers(count, tokens, vm)
    context.scene.wait_running(count)


@when("bruno asks each entry VM for ana's request")
def _request_of_another_customer(context):
    fixture = context.scene
    log = fixture.fleet.log("vm-0")
    headers = {
        "Authorization": "Bearer key-bruno",
        "Accept": "text/event-stream",
    }
    request_id = fixture.first_request_id("vm-0")
    assert request_id, log
    context.replies = [
        http.call(
            fixture.fleet.address(vm),
            "GET",
            f"/v1/requests/{request_id}",
            headers=headers,
        )
        for vm in fixture.vms
    ]


@then("bruno gets 404 or a redirect and nothing of ana's answer")
def _nothing_seen(context):
    own_reply, other_reply = context.replies
    assert own_reply.status == 404, own_reply.payload
    # The other VM may redirect to the VM named in the ID without checking
    # whether the request exists.
    assert other_reply.status in (303, 404), other_reply.payload
    texts = [str(reply.payload) for reply in context.replies]
    assert not any(re.search("choices|text", text) for text in texts)


@when("a keyed call is executed at {vm}")
def _keyed_call(context, vm):
    fixture = context.scene
    address = fixture.fleet.address(vm)
    caller = fixture.caller()
    context.key = caller.mint_keys(1, address)[0]
    context.first_answer = _register(fixture, context.key, address)
    assert context.first_answer.done, context.first_answer.error


@then("each other entry VM repeats the same answer")
def _same_answer(context):
    fixture = context.scene
    for vm in fixture.vms[1:]:
        reply = _register(fixture, context.key, fixture.fleet.address(vm))
        assert reply.payload == context.first_answer.payload, (vm, reply.error)


def _register(fixture, key, address):
    body = {"operation": "registration-1"}
    return fixture.caller().call_service(
        "registry", "POST", "/entries", body, key, address
    )
