"""Steps for tests/links/caller_server.feature."""

import socket
import threading

from behave import given
from behave import then
from behave import when

from apricotlever.links import caller_server

EVENT = b"data: x\n\n"
LARGE_EVENT = b"data: %b\n\n" % (b"x" * 50_000)
LAST_CHUNK = b"0\r\n\r\n"
#: Enough to fill each buffer on the way.
MOST_EVENTS = 2000
WAIT_S = 10.0
READ_BYTES = 1_000_000
#: Small, so that the server has to keep what the caller doesn't read.
RECEIVE_BUFFER_BYTES = 4096


def _write_three(writer):
    for _ in range(3):
        writer(EVENT)


def _write_until_unread(writer):
    try:
        for _ in range(MOST_EVENTS):
            writer(LARGE_EVENT)
    except caller_server.CallerDisconnected:
        return
    raise AssertionError("the caller read everything")


def _fail(writer):
    _write_three(writer)
    raise ValueError("fails on purpose")


STREAMS = {
    "ends after 3 events": _write_three,
    "is written until nobody reads": _write_until_unread,
    "fails after 3 events": _fail,
}


@given("a server of callers whose stream {does}")
def _start(context, does):
    context.written = threading.Event()

    def write(writer):
        try:
            STREAMS[does](writer)
        finally:
            context.written.set()

    server = caller_server.CallerServer(
        "127.0.0.1",
        0,
        lambda call: caller_server.StreamingReply([], write),
        lambda error: None,
        1,
        1000,
        1000,
        WAIT_S,
    )
    thread = threading.Thread(target=server.run, daemon=True)
    thread.start()
    context.closers.append(server.close)
    context.port = server.port


@when("a caller reads the stream {when}")
def _read(context, when):
    caller = socket.socket()
    caller.setsockopt(
        socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES
    )
    caller.settimeout(WAIT_S)
    caller.connect(("127.0.0.1", context.port))
    caller.sendall(b"GET / HTTP/1.1\r\nHost: a\r\n\r\n")
    if when != "at once":
        assert context.written.wait(WAIT_S)
    parts = []
    while data := caller.recv(READ_BYTES):
        parts.append(data)
    caller.close()
    context.received = b"".join(parts)


@then("its framing shows it to be {shown}")
def _check(context, shown):
    assert b"Transfer-Encoding: chunked" in context.received[:300]
    ended = context.received.endswith(LAST_CHUNK)
    assert ended == (shown == "whole"), context.received[-20:]
