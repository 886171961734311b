"""Rejects requests that two HTTP parsers may interpret differently.

The parser used here accepts some of them. If another parser finds the end or
the host of a request elsewhere, a caller can smuggle a request past checks.
"""

from . import configuration_model
from . import messages

#: The version in which a response of unknown length ends with its connection.
HTTP_1_0 = "1.0"
#: Accepted versions. The parser treats a request without a version as HTTP/0.9
#: and the next line as a new request.
HTTP_VERSIONS = (HTTP_1_0, "1.1")
#: The least that a header line has beside its name and value, in bytes: a
#: colon and the line's end.
MIN_LINE = 3


class RequestRejected(Exception):
    """A request is malformed or exceeds a limit.

    :param status: of the response.
    """

    def __init__(self, status: int) -> None:
        super().__init__(status)
        self.status = status


def check_request_head(
    version: str,
    target: str,
    headers: messages.Headers,
    limits: configuration_model.CallerLimits,
) -> None:
    """Check a request's head and its announced body length.

    :raises RequestRejected: when the head is malformed or ambiguous, or the
        head or the body is too large.
    """
    size = sum(len(name) + len(value) + MIN_LINE for name, value in headers)
    if size + len(target) > limits.header_bytes:
        raise RequestRejected(431)
    if version not in HTTP_VERSIONS:
        raise RequestRejected(400)
    if not target.startswith("/"):
        # An absolute URL names a host in addition to the Host header. One of
        # them could be checked and the other one served.
        raise RequestRejected(400)
    if _transfer_codings(headers) not in ([], [b"chunked"]):
        # Parsers that disagree on whether a transfer coding applies find the
        # end of the body at different places.
        raise RequestRejected(400)
    if _content_length(headers) > limits.body_bytes:
        raise RequestRejected(413)


def _transfer_codings(headers: messages.Headers) -> list[bytes]:
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
