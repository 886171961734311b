"""Steps for tests/daemon/bad_input.feature."""

import re
import threading
import time

from behave import given
from behave import then

from tests.daemon import raw
from tests.daemon import scene

TRICKLE_S = 0.5
SECRETS = re.compile(
    r"Traceback|File \"|\.py\b|/work|/home|/tmp|site-packages|bruno|secret",
)


@given("an entry VM that takes bodies of up to {size:d} bytes")
def _small(context, size):
    context.scene = scene.Scene(
        1, 1, 1, sizes={"body_bytes_max": size, "header_bytes_max": size}
    )
    context.closers.append(context.scene.close)
    context.address = context.scene.fleet.address("vm-0")
    context.replies = {}


@given("two senders stop in the middle of a request, one of them trickles")
def _slow(context):
    half = raw.completion()[:-5]
    still = raw.send(context.address, half)
    trickling = raw.send(context.address, half[:40])
    context.slow = (still, trickling)
    context.sent_at = time.monotonic()

    def trickle():
        try:
            for at in range(40, 70):
                time.sleep(TRICKLE_S)
                trickling.send(half[at : at + 1])
        except OSError:
            return

    threading.Thread(target=trickle, daemon=True).start()


@then("each input is refused with its status, its type and the truth")
def _refused(context):
    wrong = []
    for row in context.table:
        name = row["input"]
        reply = raw.answer(raw.send(context.address, raw.bytes_of(name)))
        context.replies[name] = reply
        error = reply.payload
        if isinstance(error, dict):
            error = error.get("error", {})
        told = reply.headers.get("Apricotlever-Executed")
        kind = error.get("type") if isinstance(error, dict) else error
        found = (reply.status, kind, told)
        if found != (int(row["status"]), row["type"], row["executed"]):
            wrong.append((name, found, reply.payload))
    assert not wrong, wrong


@then("no answer shows a traceback, a file's path or another's data")
def _nothing_leaks(context):
    shown = {
        name: f"{reply.headers}{reply.payload}"
        for name, reply in context.replies.items()
    }
    leaks = {k: v for k, v in shown.items() if SECRETS.search(v)}
    assert shown and not leaks, leaks


@then("no upstream has seen any of them")
def _nothing_ran(context):
    assert not context.scene.fleet.journals()


@then("{count:d} requests with a bad seed keep nobody else from being served")
def _bad_seeds(context, count):
    for _ in range(count):
        raw.answer(raw.send(context.address, raw.completion(seed="lucky")))
    answer = context.scene.caller("bruno").complete("drafts", "hello", 4)
    assert not answer.problem, answer.problem


@then("the half-sent requests are refused with 408")
def _timed_out(context):
    for sock in context.slow:
        reply = raw.answer(sock)
        waited_s = time.monotonic() - context.sent_at
        assert reply.status == 408, (reply.status, reply.payload)
        assert reply.payload["error"]["type"] == "request_timeout"
        assert reply.headers["Apricotlever-Executed"] == "no"
        assert waited_s < 15.0, waited_s


@then("the entry VM has logged no fault and serves as before")
def _unharmed(context):
    log = context.scene.fleet.log("vm-0")
    assert "Traceback" not in log, log[-3000:]
    assert "event=call_failed" not in log, log[-3000:]
    answer = context.scene.caller().complete("drafts", "hello", 4)
    assert not answer.problem, answer.problem
    assert context.scene.status("vm-0")["catalogue_version"]
