"""Serves a stand-in from the test process until its scenario ends."""

import typing

from standins import _http
from standins import _server

HOST = "127.0.0.1"


def serve_in_scenario(context: typing.Any, standin: _http.StandIn) -> str:
    """Serve a stand-in until the end of the scenario.

    :param context: the scenario's context; its ``closers`` stop the server.
    :returns: the address as ``host:port``.
    """
    server = _server.Server(standin, threads=16)
    server.start()
    context.closers.append(server.close)
    return f"{HOST}:{server.port}"
