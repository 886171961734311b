"""Serves a stand-in from threads of the test, until the scenario ends."""

import typing

from standins import _http
from standins import _server

HOST = "127.0.0.1"


def serve(context: typing.Any, standin: _http.StandIn) -> str:
    """Serve a stand-in for one scenario.

    :returns: ``host:port``.
    """
    server = _server.Server(standin, threads=16)
    server.start()
    context.closers.append(server.close)
    return f"{HOST}:{server.port}"
