"""Steps for tests/logs.feature."""

import io
import pathlib
import re
import socket

from apricotlever import logs
from apricotlever import metrics
from apricotlever import settings
from behave import given
from behave import then
from behave import when

from tests.support import operator_pages

PACKAGE = pathlib.Path("src/apricotlever")
PAGE = "logs-and-metrics.md"
EVENT_CALL = re.compile(r"logs\.event\(\s*\"([a-z_]+)\"")
METRIC_CALL = re.compile(r"metrics\.(?:count|gauge|timing)\(\s*\"([a-z_.]+)\"")
WAIT_S = 10.0


def _names_in_calls(pattern):
    texts = (path.read_text() for path in sorted(PACKAGE.rglob("*.py")))
    return {name for text in texts for name in pattern.findall(text)}


def _rows_under(heading):
    return [
        (name[1:-1], meaning)
        for name, meaning in operator_pages.table_rows(PAGE, heading)
    ]


@when('the event "{name}" is logged with a line break in a field')
def _log(context, name):
    stream = io.StringIO()
    logs.setup("entry-a1", "info", stream)
    context.closers.append(logs.teardown)
    logs.event(name, wait_s=1.5, text="a b\nevent=stopped", nothing=None)
    context.logged = stream.getvalue()


@then("the log holds one line that ends with")
def _line(context):
    (line,) = context.logged.splitlines()
    assert line.endswith(context.text), line


@then("each event logged in the package is registered")
def _events_registered(context):
    unknown = _names_in_calls(EVENT_CALL) - set(logs.EVENTS)
    assert not unknown, unknown


@then("the operators' page lists exactly the registered events")
def _events_page(context):
    known = [(name, event.meaning) for name, event in logs.EVENTS.items()]
    assert _rows_under("Events") == known


@given("a UDP socket for metrics")
def _socket(context):
    context.metrics_socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    context.closers.append(context.metrics_socket.close)
    context.metrics_socket.bind(("127.0.0.1", 0))
    context.metrics_socket.settimeout(WAIT_S)


@when('a metric is counted for the customer "{customer}"')
def _count(context, customer):
    port = context.metrics_socket.getsockname()[1]
    sender = metrics.Metrics(settings.Address("127.0.0.1", port))
    context.closers.append(sender.close)
    sender.count("requests.admitted", 2, customer)


@then('the metrics socket receives "{text}"')
def _received(context, text):
    assert context.metrics_socket.recv(1000).decode() == text


@then("each metric sent in the package is registered")
def _metrics_registered(context):
    unknown = _names_in_calls(METRIC_CALL) - set(metrics.METRICS)
    assert not unknown, unknown


@then("the operators' page lists exactly the registered metrics")
def _metrics_page(context):
    assert _rows_under("Metrics") == list(metrics.METRICS.items())
