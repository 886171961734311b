"""Steps for tests/links/socket_options.feature."""

import asyncio
import itertools
import socket
import urllib.parse

from behave import then
from behave import when

from apricotlever.links import _http_client
from apricotlever.links import caller_server as daemon_server
from apricotlever.links import peer_connections
from apricotlever.links import peer_link
from apricotlever.links import upstream_pool
from apricotlever.serving import caller_server

#: The end of a connection is decided at a timer's tick, which may be early or
#: late by some milliseconds.
MARGIN_S = 0.25


class _Options:
    """The options of one socket by which it finds a silent peer, in s."""

    def __init__(self, sock):
        def get(option):
            return sock.getsockopt(socket.IPPROTO_TCP, option)

        self.on = sock.getsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE)
        self.idle_s = get(socket.TCP_KEEPIDLE)
        self.interval_s = get(socket.TCP_KEEPINTVL)
        self.count = get(socket.TCP_KEEPCNT)
        self.user_timeout_s = get(socket.TCP_USER_TIMEOUT) / 1000


def _listen():
    return socket.create_server(("127.0.0.1", 0))


def _to_upstream():
    with _listen() as listener:
        host, port = listener.getsockname()
        connection = upstream_pool.Connection(host, port)
        connection.connect()
        try:
            return _Options(connection.sock)
        finally:
            connection.close()


def _to_platform():
    with _listen() as listener:
        host, port = listener.getsockname()
        url = urllib.parse.urlsplit(f"http://{host}:{port}")
        connection = _http_client._open_connection(url)
        try:
            return _Options(connection.sock)
        finally:
            connection.close()


def _to_peer():
    async def work():
        with _listen() as listener:
            channel = peer_connections.Channel(*listener.getsockname())
            try:
                protocol = await channel.__connect__()
                transport = protocol.connection._transport
                return _Options(transport.get_extra_info("socket"))
            finally:
                channel.close()

    return asyncio.run(work())


def _accepted_by(listener):
    with socket.create_connection(listener.getsockname()):
        accepted, _ = listener.accept()
        with accepted:
            return _Options(accepted)


def _by_peer():
    with peer_link._listen("127.0.0.1", 0) as listener:
        return _accepted_by(listener)


def _by_caller():
    async def work():
        server = caller_server.CallerServer(None)
        port = await server.listen("127.0.0.1", 0)
        _, writer = await asyncio.open_connection("127.0.0.1", port)
        while not server.channels:
            await asyncio.sleep(0.01)
        (channel,) = server.channels
        options = _Options(channel._transport.get_extra_info("socket"))
        writer.close()
        server.close()
        return options

    return asyncio.run(work())


def _by_daemon_caller():
    server = daemon_server.CallerServer(
        "127.0.0.1", 0, None, None, 1, 1000, 1000, 1.0
    )
    try:
        return _Options(server._server.socket)
    finally:
        server._server.close()


OPENERS = {
    "to an upstream": _to_upstream,
    "to the platform": _to_platform,
    "to a peer": _to_peer,
    "by a peer": _by_peer,
    "by a caller": _by_caller,
    "by a caller to the daemon": _by_daemon_caller,
}


@when("a connection is opened {where}")
def _open(context, where):
    context.options = OPENERS[where]()


@then("{probes:d} unanswered probes end it after {seconds:d} seconds")
def _check(context, probes, seconds):
    options = context.options
    assert options.on
    assert options.count == probes, options.count
    ticks = (
        (sent, options.idle_s + options.interval_s * sent)
        for sent in itertools.count(1)
    )
    sent, at_s = next(
        (sent, at_s) for sent, at_s in ticks if at_s >= options.user_timeout_s
    )
    assert (sent, at_s) == (probes, seconds), (sent, at_s)
    margin_s = at_s - options.user_timeout_s
    assert MARGIN_S <= margin_s <= options.interval_s - MARGIN_S, margin_s
