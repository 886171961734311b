"""Steps for tests/links/endless_upstreams.feature."""

import socket
import threading
import time

from behave import given
from behave import then
from behave import when

from apricotlever.links import _http_client
from apricotlever.links import upstream_exchange

TIMEOUT_S = 20.0
_HEAD = b"HTTP/1.1 200 X\r\n"
_CHUNKED = _HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
#: What comes first, and what comes over and over.
ENDLESS = {
    "interim heads": (b"", b"HTTP/1.1 102 X\r\nX: y\r\n\r\n" * 50),
    "lines of a head": (_HEAD, b"X: aaaaaaaaaaaaaaaaaa\r\n" * 50),
    "a line of a head": (_HEAD + b"X: ", b"a" * 1000),
    "a chunk extension": (_CHUNKED + b"2\r\nok\r\n2;", b"a" * 1000),
    "trailers": (_CHUNKED + b"2\r\nok\r\n0\r\n", b"X: y\r\n" * 50),
    "a body": (_CHUNKED, b"2710\r\n" + b"a" * 10000 + b"\r\n"),
}


def _serve(listener, first, repeated):
    try:
        connection, _ = listener.accept()
        with connection:
            connection.recv(65536)
            connection.sendall(first)
            while True:
                connection.sendall(repeated)
    except OSError:
        return


@given("an upstream that sends {what} without end")
def _start(context, what):
    listener = socket.create_server(("127.0.0.1", 0))
    context.closers.append(listener.close)
    context.address = f"127.0.0.1:{listener.getsockname()[1]}"
    threading.Thread(
        target=_serve, args=(listener, *ENDLESS[what]), daemon=True
    ).start()


def _call_upstream(context):
    exchange = upstream_exchange.Exchange(context.address, TIMEOUT_S)
    exchange.open()
    try:
        exchange.send("GET", "/", {})
        exchange.read_body()
    finally:
        exchange.abandon()


def _call_platform(context):
    client = _http_client.HttpClient(f"http://{context.address}")
    try:
        client.exchange("GET", "/", timeout_s=TIMEOUT_S)
    finally:
        client.close()


CLIENTS = {
    "the client of upstreams": (
        _call_upstream,
        upstream_exchange.UpstreamError,
    ),
    "the client of the platform": (
        _call_platform,
        _http_client.ExchangeFailed,
    ),
}


@when("{client} calls it")
def _call(context, client):
    call, failure = CLIENTS[client]
    context.failure = None
    started_at = time.monotonic()

    def work():
        try:
            call(context)
        except failure as error:
            context.failure = error

    thread = threading.Thread(target=work, daemon=True)
    thread.start()
    thread.join(TIMEOUT_S)
    context.took_s = time.monotonic() - started_at


@then("the call fails within {seconds:g} seconds")
def _check(context, seconds):
    assert context.failure is not None
    assert context.took_s <= seconds, context.took_s
