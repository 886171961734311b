"""Steps for tests/daemon/service_timeouts.feature."""

import types

from behave import then
from behave import when

from apricotlever.daemon import service_request


@when("the target for the first byte of a plain service is {target:f} s")
def _make_request(context, target):
    entry = types.SimpleNamespace(name="lookup")
    service_class = types.SimpleNamespace(first_token_s=target)
    context.request = service_request.ServiceRequest(
        "r-1",
        "clerks",
        entry,
        service_class,
        "GET",
        "/status",
        {},
        b"",
        0.0,
        30.0,
        False,
    )


@then("its upstream has {timeout:f} s to begin its answer")
def _check(context, timeout):
    assert context.request.response_timeout_s == timeout
