"""One JSON call over a fresh connection."""

import http.client
import json
import typing
from urllib import parse

TIMEOUT_S = 10.0


class Reply:
    """An answer's status, headers and JSON."""

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
    """Make a call.

    :param address: ``host:port``.
    :raises OSError: when there is no connection or no answer in time.
    :raises http.client.HTTPException: when the answer is cut off.
    """
    connection = http.client.HTTPConnection(address, timeout=timeout_s)
    content = None if body is None else json.dumps(body).encode()
    kind = {} if body is None else {"Content-Type": "application/json"}
    try:
        connection.request(
            method,
            parse.quote(path, "/?&=%"),
            content,
            {**kind, **(headers or {})},
        )
        response = connection.getresponse()
        return Reply(response.status, response.headers, _json(response))
    finally:
        connection.close()


def _json(response: http.client.HTTPResponse) -> typing.Any:
    content = response.read()
    try:
        return json.loads(content) if content else None
    except ValueError:
        return content.decode(errors="replace")
