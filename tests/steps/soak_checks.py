"""Steps for tests/soak/soak.feature."""

import asyncio
import pathlib
import random
import tempfile

from behave import given
from behave import then
from behave import when

from soak import __main__ as soaks
from soak import callers
from soak import checks
from soak import faults
from soak import fleet
from soak import runner

OTHER = "c-other"


@when(
    "a soak with seed {seed:d} disturbs {vms:d} VMs and {runners:d} runners "
    "for {seconds:f} s"
)
def _soak(context, seed, vms, runners, seconds):
    assert (vms, runners) == (soaks.VMS, soaks.RUNNERS)
    with tempfile.TemporaryDirectory() as folder:
        context.result = asyncio.run(
            soaks.soak(seed, seconds, pathlib.Path(folder))
        )


@then("it made over {count:d} calls and broke no promise")
def _kept(context, count):
    assert not context.result.broken, context.result.document
    assert len(context.result.calls) > count


def _served(prefix):
    call = callers.Call("c-1", prefix, "vm-0", 1.0)
    call.status = 200
    call.complete = True
    call.body = runner.text_of("c-1").encode()
    return call


def _streamed(numbers, call_id="c-1"):
    call = _served("/stream/")
    call.body = b"".join(runner.event(call_id, n) for n in numbers)
    return call


def _gap():
    call = _streamed([1, 2, 4])
    call.complete = False
    return call


def _status(prefix, status):
    call = _served(prefix)
    call.status = status
    call.body = b""
    return call


def _all_events():
    return range(1, runner.events_of("c-1") + 1)


def _wrong_body():
    call = _served("/safe/")
    call.body = runner.text_of(OTHER).encode()
    return call


def _unasked():
    call = _served("/safe/")
    call.unasked = b"more"
    return call


def _late():
    call = _status("/safe/", 502)
    call.sent_at = 11.0
    return call


#: What happened, to the call and how often it ran.
WHAT = {
    "to /once/ that ran twice": lambda: (_served("/once/"), 2),
    "to /safe/ that ran twice": lambda: (_served("/safe/"), 2),
    "to /once/ that was refused and ran": lambda: (_status("/once/", 503), 1),
    "to /stream/ whose answer leaves an event out": lambda: (_gap(), 1),
    "to /stream/ that looks whole too early": lambda: (_streamed([1, 2]), 1),
    "to /stream/ with events of another call": lambda: (
        _streamed(_all_events(), OTHER),
        1,
    ),
    "to /safe/ with the answer to another": lambda: (_wrong_body(), 1),
    "to /safe/ with bytes after its answer": lambda: (_unasked(), 1),
    "to /safe/ that was refused with 404": lambda: (_status("/safe/", 404), 0),
    "to /safe/ in the calm that was not served": lambda: (_late(), 1),
    "that nobody sent": lambda: (None, 1),
}


@given("a soaked call {what}")
def _call(context, what):
    call, often = WHAT[what]()
    calm = callers.Call("c-2", "/safe/", "vm-0", 12.0)
    calm.status, calm.complete = 200, True
    calm.body = runner.text_of("c-2").encode()
    calls = [calm] if call is None else [call, calm]
    prefix = call.prefix if call is not None else "/safe/"
    ran = [["c-2", fleet.CUSTOMER, "/safe/x"]]
    ran += [["c-1", fleet.CUSTOMER, f"{prefix}x"]] * often
    context.found = checks.broken(calls, ran, 10.0)


@then('the checks say "{complaint}"')
def _complaint(context, complaint):
    assert len(context.found) == 1, context.found
    assert complaint in context.found[0], context.found


@then("the checks say nothing")
def _nothing(context):
    assert not context.found, context.found


@then("the plans of seed {one:d} are equal and that of seed {other:d} differs")
def _plans(context, one, other):
    plans = [faults.plan(random.Random(s), 12.0) for s in (one, one, other)]
    assert plans[0] == plans[1] != plans[2]
