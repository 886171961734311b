"""Steps for tests/serving/fuzz.feature."""

import asyncio

from behave import then
from behave import when
import hypothesis
from hypothesis import strategies

from apricotlever.serving import caller_channel
from apricotlever.serving import caller_server
from tests.serving import strict_http

SETTINGS = hypothesis.settings(
    derandomize=True,
    deadline=None,
    database=None,
    suppress_health_check=list(hypothesis.HealthCheck),
)
START = b"POST /x HTTP/1.1\r\nHost: h\r\n"
ATTACKS = {
    "a length and chunked coding": b"Content-Length: 3\r\n"
    b"Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
    "two different lengths": b"Content-Length: 3\r\n"
    b"Content-Length: 0\r\n\r\nabc",
    "two equal lengths": b"Content-Length: 3\r\nContent-Length: 3\r\n\r\nabc",
    "a signed length": b"Content-Length: +3\r\n\r\nabc",
    "an unknown transfer coding": b"Transfer-Encoding: gzip\r\n\r\n",
    "chunked coding twice": b"Transfer-Encoding: chunked, chunked\r\n\r\n"
    b"0\r\n\r\n",
    "a space before the colon": b"Content-Length : 3\r\n\r\nabc",
    "a folded header": b"A: b\r\n c\r\n\r\n",
    "a bare line feed": b"A: b\n\r\n",
    "a null byte in a header": b"A: b\0c\r\n\r\n",
    "a chunk size with a sign": b"Transfer-Encoding: chunked\r\n\r\n"
    b"+1\r\na\r\n0\r\n\r\n",
    "a chunk without its line end": b"Transfer-Encoding: chunked\r\n\r\n"
    b"1\r\nab\r\n0\r\n\r\n",
    "an absolute target": b"GET http://other/ HTTP/1.1\r\n\r\n",
}
PIECES = (
    b"\r\n",
    b"\n",
    b"\r",
    b" ",
    b"\t",
    b"\0",
    b":",
    b"0",
    b"1",
    b",",
    b";x=y",
    b"Content-Length: 5\r\n",
    b"content-length: 05\r\n",
    b"Transfer-Encoding: chunked\r\n",
    b"Transfer-Encoding: identity\r\n",
    b"transfer-encoding: xchunked\r\n",
    b"Connection: close\r\n",
    b"Connection: keep-alive\r\n",
    b"0\r\n\r\n",
    b"5\r\nhello\r\n",
    b"http://other",
    b"GET /y HTTP/1.1\r\nHost: h\r\n\r\n",
    b"\x80",
    b"A" * 40,
)


class _Transport:
    """A transport that records what the server writes."""

    def __init__(self):
        self.written = b""
        self.closed = False

    def write(self, data):
        """Record written bytes."""
        self.written += data

    def close(self):
        """Record the close."""
        self.closed = True

    abort = close

    def is_closing(self):
        """Whether the server has closed the connection."""
        return self.closed

    def get_extra_info(self, name):
        """Return None, as there is no socket."""

    def set_write_buffer_limits(self, high):
        """Do nothing, as the write buffer never fills."""

    def get_write_buffer_size(self):
        """Return 0, as all bytes are sent."""
        return 0

    def pause_reading(self):
        """Do nothing, as the parts don't wait."""

    resume_reading = pause_reading


async def _feed(parts):
    """Pass the bytes of a connection to a caller's channel, part by part.

    :returns: the calls that reached the handler, and the transport.
    """
    calls = []

    async def handler(raw, reply):
        calls.append(raw)
        reply.send_whole(200, ())

    server = caller_server.CallerServer(handler)
    channel = caller_channel.CallerChannel(server)
    transport = _Transport()
    channel.connection_made(transport)
    for part in parts:
        if transport.closed:
            break
        channel.data_received(part)
        await asyncio.sleep(0)
    for _ in range(10):
        await asyncio.sleep(0)
    channel.connection_lost(None)
    await asyncio.sleep(0)
    assert server.memory.used == 0, server.memory.used
    return calls, transport


def _read(parts):
    calls, transport = asyncio.run(_feed(parts))
    found = [
        strict_http.Request(
            call.method.encode(),
            call.target.encode("latin-1"),
            [(name.lower(), value) for name, value in call.headers],
            call.body,
        )
        for call in calls
    ]
    return found, transport


def _request(method, headers, body, chunked):
    head = [b"%b /a/b?c HTTP/1.1\r\nHost: h\r\n" % method, *headers]
    if chunked:
        parts = [b"%x\r\n%b\r\n" % (len(b), b) for b in (body, body) if b]
        return b"".join(
            [*head, b"Transfer-Encoding: chunked\r\n\r\n", *parts]
        ) + (b"0\r\n\r\n")
    if body:
        head.append(b"Content-Length: %d\r\n" % len(body))
    return b"".join([*head, b"\r\n", body])


REQUESTS = strategies.builds(
    _request,
    strategies.sampled_from((b"GET", b"POST", b"PUT", b"DELETE")),
    strategies.lists(
        strategies.sampled_from(
            (b"A: b\r\n", b"Key: k k\r\n", b"Empty:\r\n", b"X:\t y \r\n")
        ),
        max_size=2,
    ),
    strategies.sampled_from((b"", b"hello", b"\r\n\r\nGET / HTTP/1.1\r\n")),
    strategies.booleans(),
)


@strategies.composite
def _connections(draw):
    """Generate up to three requests, mutated in up to three places.

    The bytes are split into up to four parts.
    """
    data = b"".join(draw(strategies.lists(REQUESTS, min_size=1, max_size=3)))
    for _ in range(draw(strategies.integers(0, 3))):
        at = draw(strategies.integers(0, len(data)))
        cut = draw(strategies.sampled_from((0, 0, 1, 2, 5)))
        piece = draw(strategies.sampled_from((b"", *PIECES)))
        data = data[:at] + piece + data[at + cut :]
    cuts = sorted(
        draw(strategies.lists(strategies.integers(0, len(data)), max_size=3))
    )
    edges = [0, *cuts, len(data)]
    return [data[a:b] for a, b in zip(edges, edges[1:]) if a < b]


@then(
    "{count:d} connections of mutated requests are parsed as by the strict "
    "parser"
)
def _compare_with_strict_parser(context, count):
    @hypothesis.settings(SETTINGS, max_examples=count)
    @hypothesis.given(_connections())
    def check(parts):
        data = b"".join(parts)
        expected, malformed = strict_http.parse_requests(data)
        # Some lines show what is wrong with them only by the next one.
        found, transport = _read([*parts, *[b"\r\n\r\n"] * malformed])
        assert found == expected, (data, found, expected)
        assert not malformed or transport.closed, data

    check()


@when("the server receives {attack}")
def _receive_attack(context, attack):
    data = ATTACKS[attack]
    if not data.startswith(b"GET "):
        data = START + data
    context.found, context.transport = _read([data])


@then("no call reaches a handler and the connection is closed")
def _check_rejected(context):
    assert not context.found, context.found
    assert context.transport.closed
    assert context.transport.written.startswith(b"HTTP/1.1 4")
