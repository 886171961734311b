"""Steps for tests/daemon/bad_input.feature."""

import re
import threading
import time

from behave import given
from behave import then

from tests.daemon import fleet_fixture
from tests.daemon import raw_requests

TRICKLE_S = 0.5
LEAK_PATTERN = re.compile(
    r"Traceback|File \"|\.py\b|/work|/home|/tmp|site-packages|bruno|secret",
)


@given("an entry VM that accepts bodies of up to {size:d} bytes")
def _start_with_body_limit(context, size):
    context.scene = fleet_fixture.FleetFixture(
        1, 1, 1, sizes={"body_bytes_max": size, "header_bytes_max": size}
    )
    context.closers.append(context.scene.close)
    context.address = context.scene.fleet.address("vm-0")
    context.replies = {}


@given("two half-sent requests, one of which continues byte by byte")
def _send_half_requests(context):
    half = raw_requests.completion()[:-5]
    stopped = raw_requests.send(context.address, half)
    trickling = raw_requests.send(context.address, half[:40])
    context.half_sent = (stopped, trickling)
    context.sent_at = time.monotonic()

    def trickle():
        try:
            for index in range(40, 70):
                time.sleep(TRICKLE_S)
                trickling.send(half[index : index + 1])
        except OSError:
            return

    threading.Thread(target=trickle, daemon=True).start()


@then("each input is refused with its status, error type and executed value")
def _refused(context):
    wrong = []
    for row in context.table:
        name = row["input"]
        reply = raw_requests.read_response(
            raw_requests.send(context.address, raw_requests.input_bytes(name))
        )
        context.replies[name] = reply
        error = reply.payload
        if isinstance(error, dict):
            error = error.get("error", {})
        executed = reply.headers.get("Apricotlever-Executed")
        kind = error.get("type") if isinstance(error, dict) else error
        found = (reply.status, kind, executed)
        if found != (int(row["status"]), row["type"], row["executed"]):
            wrong.append((name, found, reply.payload))
    assert not wrong, wrong


@then("no response shows a traceback, a file path or another customer's data")
def _nothing_leaks(context):
    responses = {
        name: f"{reply.headers}{reply.payload}"
        for name, reply in context.replies.items()
    }
    leaks = {k: v for k, v in responses.items() if LEAK_PATTERN.search(v)}
    assert responses and not leaks, leaks


@then("no upstream has received any of the inputs")
def _nothing_received(context):
    assert not context.scene.fleet.total_execution_counts()


@then("another customer is served after {count:d} requests with a bad seed")
def _bad_seeds(context, count):
    for _ in range(count):
        raw_requests.read_response(
            raw_requests.send(
                context.address, raw_requests.completion(seed="lucky")
            )
        )
    answer = context.scene.caller("bruno").complete("drafts", "hello", 4)
    assert not answer.problem, answer.problem


@then("the half-sent requests are refused with 408")
def _timed_out(context):
    for sock in context.half_sent:
        reply = raw_requests.read_response(sock)
        waited_s = time.monotonic() - context.sent_at
        assert reply.status == 408, (reply.status, reply.payload)
        assert reply.payload["error"]["type"] == "request_timeout"
        assert reply.headers["Apricotlever-Executed"] == "no"
        assert waited_s < 15.0, waited_s


@then("the entry VM has logged no internal error and still serves requests")
def _still_serves(context):
    log = context.scene.fleet.log("vm-0")
    assert "Traceback" not in log, log[-3000:]
    assert "event=call_failed" not in log, log[-3000:]
    answer = context.scene.caller().complete("drafts", "hello", 4)
    assert not answer.problem, answer.problem
    assert context.scene.status("vm-0")["catalogue_version"]
