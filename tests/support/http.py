"""A JSON client that opens one connection per request."""

import http.client
import json
import typing
from urllib import parse

TIMEOUT_S = 10.0


class Reply:
    """A response: its status, its headers and its decoded body.

    :param payload: the JSON value; the text if the body is not JSON, None if
        the body is empty.
    """

    __slots__ = ("status", "headers", "payload")

    def __init__(
        self,
        status: int,
        headers: http.client.HTTPMessage,
        payload: typing.Any,
    ) -> None:
        self.status = status
        self.headers = headers
        self.payload = payload


def call(
    address: str,
    method: str,
    path: str,
    body: typing.Any = None,
    headers: dict[str, str] | None = None,
    timeout_s: float = TIMEOUT_S,
) -> Reply:
    """Send a request and read its response.

    :param address: ``host:port``.
    :param body: sent as JSON; no body if None.
    :param timeout_s: seconds for the connection and for each read.
    :raises OSError: when no connection or no response comes in time.
    :raises http.client.HTTPException: when the response is cut off.
    """
    connection = http.client.HTTPConnection(address, timeout=timeout_s)
    content = None if body is None else json.dumps(body).encode()
    content_type = {} if body is None else {"Content-Type": "application/json"}
    try:
        connection.request(
            method,
            parse.quote(path, "/?&=%"),
            content,
            {**content_type, **(headers or {})},
        )
        response = connection.getresponse()
        return Reply(response.status, response.headers, _decode_body(response))
    finally:
        connection.close()


def _decode_body(response: http.client.HTTPResponse) -> typing.Any:
    content = response.read()
    try:
        return json.loads(content) if content else None
    except ValueError:
        return content.decode(errors="replace")
