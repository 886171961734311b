"""Steps for tests/standins/server.feature."""

import errno
import socket
import time

from behave import given
from behave import then
from behave import when

from standins import _server
from standins import object_api
from tests.standins import scenario_server
from tests.support import http


def _connect_error(context):
    with socket.socket() as client:
        return client.connect_ex((scenario_server.HOST, context.server.port))


def _block_loop(context):
    trigger = context.server._service._server.trigger
    trigger.pull_trigger(lambda: time.sleep(context.block_s))


@given(
    "a stand-in whose loop is blocked for {seconds:g} s before each"
    " control call"
)
def _stand_in_with_blocked_loop(context, seconds):
    context.block_s = seconds
    context.server = _server.Server(object_api.ObjectApi(), threads=4)
    context.server.start()
    context.closers.append(context.server.close)


def _call_control(context, path, body):
    _block_loop(context)
    address = f"{scenario_server.HOST}:{context.server.control_port}"
    reply = http.call(address, "POST", f"/control/{path}", body)
    assert reply.status == 200, reply.payload


@when("a control call makes the stand-in refuse connections")
def _refuse_connections(context):
    _call_control(context, "faults", {"refuse": True})


@when("a control call resets the stand-in's faults")
def _reset_faults(context):
    _call_control(context, "reset", {})


@then("the next connection to the stand-in is refused")
def _connection_refused(context):
    error = _connect_error(context)
    assert error == errno.ECONNREFUSED, error


@then("the next connection to the stand-in is accepted")
def _connection_accepted(context):
    error = _connect_error(context)
    assert error == 0, error
