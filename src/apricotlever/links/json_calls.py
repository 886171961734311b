"""Calls of upstreams whose bodies and responses are JSON."""

import json
import typing

from . import upstream_errors
from . import upstream_exchange
from . import upstream_pool

SINGLE_USE_JSON_HEADERS = {
    "Content-Type": "application/json",
    "Connection": "close",
}


def call_json(
    address: str,
    method: str,
    path: str,
    document: typing.Any = None,
    timeout_s: float = 2.0,
    pool: upstream_pool.ConnectionPool | None = None,
) -> typing.Any:
    """Send one request with a JSON body and read the JSON response.

    :param address: ``host:port`` of the upstream.
    :param method: HTTP method.
    :param path: path with query.
    :param document: the value to send as JSON, or None for no body.
    :param timeout_s: timeout in seconds for the response to begin and for
        each further read.
    :param pool: the pool of connections to use; None to open a new one.
    :returns: the parsed response.
    :raises UpstreamError: when no complete response with a 2xx status
        arrived.
    """
    exchange = upstream_exchange.Exchange(address, timeout_s, pool)
    exchange.open()
    body = None if document is None else encode_json(document)
    headers = (
        {"Content-Type": "application/json"}
        if pool is not None
        else SINGLE_USE_JSON_HEADERS
    )
    exchange.send(method, path, headers, body)
    if not 200 <= exchange.status < 300:
        status = exchange.status
        body = exchange.read_body()[:512]
        exchange.finish()
        raise upstream_errors.UpstreamErrorResponse(status, body)
    return exchange.read_json()


def encode_json(document: typing.Any) -> bytes:
    """Encode the body of a request to an upstream as JSON.

    :param document: any value that JSON can represent.
    """
    return json.dumps(document).encode()
