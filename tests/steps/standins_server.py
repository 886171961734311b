"""Steps for tests/standins/server.feature."""

import errno
import socket
import time

from behave import given
from behave import then
from behave import when

from standins import _server
from standins import object_api
from tests.standins import serving
from tests.support import http


def _connect(context):
    with socket.socket() as trying:
        return trying.connect_ex((serving.HOST, context.server.port))


def _keep_busy(context):
    trigger = context.server._service._server.trigger
    trigger.pull_trigger(lambda: time.sleep(context.busy_s))


@given(
    "a stand-in whose loop is blocked for {seconds:g} s before each"
    " control call"
)
def _busy(context, seconds):
    context.busy_s = seconds
    context.server = _server.Server(object_api.ObjectApi(), threads=4)
    context.server.start()
    context.closers.append(context.server.close)


def _control(context, path, body):
    _keep_busy(context)
    address = f"{serving.HOST}:{context.server.control_port}"
    reply = http.call(address, "POST", f"/control/{path}", body)
    assert reply.status == 200, reply.payload


@when("a control call makes the stand-in refuse connections")
def _refuse(context):
    _control(context, "faults", {"refuse": True})


@when("a control call resets the stand-in's faults")
def _reset(context):
    _control(context, "reset", {})


@then("the next connection to the stand-in is refused")
def _refused(context):
    found = _connect(context)
    assert found == errno.ECONNREFUSED, found


@then("the next connection to the stand-in is accepted")
def _accepted(context):
    found = _connect(context)
    assert found == 0, found
