"""Refuses requests that two readers of one connection may read differently.

The parser takes some of them. What another reader takes for the end of a
request, or for its host, would let a caller smuggle one past the checks.
"""

from . import messages
from . import routes

#: The parser takes requests without a version for HTTP/0.9, and reads the
#: line after them as a new request.
VERSIONS = ("1.0", "1.1")


class Refused(Exception):
    """A request that is malformed or over one of the limits.

    :param status: of the answer.
    """

    def __init__(self, status: int) -> None:
        super().__init__(status)
        self.status = status


def check_head(
    version: str,
    target: str,
    headers: messages.Headers,
    limits: routes.CallerLimits,
) -> None:
    """Check a request's head, and the length that it announces.

    :raises Refused: when the request must not be read on.
    """
    size = sum(len(name) + len(value) + 4 for name, value in headers)
    if size + len(target) > limits.header_bytes:
        raise Refused(431)
    if version not in VERSIONS:
        raise Refused(400)
    if not target.startswith("/"):
        # A whole URL names a host beside the header's; one of the two would
        # be checked and the other one perhaps served.
        raise Refused(400)
    if _codings(headers) not in ([], [b"chunked"]):
        # What one reader takes for a coding and another for none ends the
        # body at two places.
        raise Refused(400)
    if _content_length(headers) > limits.body_bytes:
        raise Refused(413)


def _codings(headers: messages.Headers) -> list[bytes]:
    return [
        value.lower()
        for name, value in headers
        if name.lower() == b"transfer-encoding"
    ]


def _content_length(headers: messages.Headers) -> int:
    for name, value in headers:
        if name.lower() == b"content-length" and value.strip().isdigit():
            return int(value)
    return 0
