"""Steps for tests/daemon/handovers.feature."""

import re

from behave import then
from behave import when

from tests.support import http


@when("{count:d} callers wait for whole answers of {tokens:d} tokens at {vm}")
def _wait_whole(context, count, tokens, vm):
    context.scene.wait_whole(count, tokens, vm)
    context.scene.wait_running(count)


@when("bruno asks each entry VM for ana's request")
def _asks(context):
    running = context.scene
    token = running.fleet.log("vm-0")
    headers = {
        "Authorization": "Bearer key-bruno",
        "Accept": "text/event-stream",
    }
    request_id = running.first_request_id("vm-0")
    assert request_id, token
    context.replies = [
        http.call(
            running.fleet.address(vm),
            "GET",
            f"/v1/requests/{request_id}",
            headers=headers,
        )
        for vm in running.vms
    ]


@then("bruno is told that there is no such request")
def _told(context):
    here, elsewhere = context.replies
    assert here.status == 404, here.payload
    # The other VM only names the VM in the ID, known or not.
    assert elsewhere.status in (303, 404), elsewhere.payload
    texts = [str(reply.payload) for reply in context.replies]
    assert not any(re.search("choices|text", text) for text in texts)


@when("a keyed call runs at {vm}")
def _keyed_call(context, vm):
    running = context.scene
    address = running.fleet.address(vm)
    one = running.caller()
    context.key = one.mint_keys(1, address)[0]
    context.first = _register(running, context.key, address)
    assert context.first.done, context.first.error


@then("each other entry VM gives the same answer again")
def _same_again(context):
    running = context.scene
    for vm in running.vms[1:]:
        again = _register(running, context.key, running.fleet.address(vm))
        assert again.payload == context.first.payload, (vm, again.error)


def _register(running, key, address):
    body = {"operation": "registration-1"}
    return running.caller().service(
        "registry", "POST", "/entries", body, key, address
    )
