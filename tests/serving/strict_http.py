"""A simple and strict HTTP/1.1 request parser, as a reference for tests.

It accepts what RFC 9112 allows a server to accept and rejects the rest.
Bytes that two parsers may interpret differently let a caller smuggle a
request past the checks.
"""

import re

TOKEN = rb"[!#$%&'*+.^_`|~0-9A-Za-z-]+"
#: The accepted methods. Others are rejected, as no runner would handle them.
METHODS = rb"DELETE|GET|HEAD|OPTIONS|PATCH|POST|PUT|TRACE"
#: Several spaces around a target are allowed (RFC 9112, section 3).
REQUEST_LINE = re.compile(rb"(%b) +(/[\x21-\x7e]*) +HTTP/1\.([01])" % METHODS)
HEADER = re.compile(
    rb"(%b):[ \t]*([\x21-\x7e\x80-\xff]"
    rb"(?:[\x20-\x7e\x80-\xff\t]*[\x21-\x7e\x80-\xff])?|)[ \t]*" % TOKEN
)
CHUNK_SIZE = re.compile(rb"([0-9A-Fa-f]{1,8})(?:;[\x20-\x7e\t]*)?")
FRAMING_HEADERS = {b"content-length", b"transfer-encoding"}
DIGITS = re.compile(rb"[0-9]{1,12}")


class Malformed(Exception):
    """The bytes are not a valid request."""


class Incomplete(Exception):
    """The request is not complete yet."""


class Request:
    """A parsed request."""

    def __init__(self, method, target, headers, body):
        self.method = method
        self.target = target
        self.headers = headers
        self.body = body

    def __eq__(self, other):
        return self.key == other.key

    def __repr__(self):
        return repr(self.key)

    @property
    def key(self):
        """The values that both parsers must agree on."""
        return self.method, self.target, self.headers, self.body


def parse_requests(data):
    """Parse all requests in a connection's bytes.

    :returns: the requests, and whether the bytes after them are malformed.
    """
    requests = []
    try:
        while data:
            request, is_last, data = _read_request(data)
            requests.append(request)
            if is_last:
                break
    except Incomplete:
        return requests, False
    except Malformed:
        return requests, True
    return requests, False


def _read_request(data):
    # Empty lines before a request are skipped (RFC 9112, section 2.2).
    data = data.lstrip(b"\r\n")
    if not data:
        raise Incomplete
    line, data = _read_line(data)
    found = REQUEST_LINE.fullmatch(line)
    if not found:
        raise Malformed(line)
    method, target, minor_version = found.groups()
    headers, data = _read_headers(data)
    body, data = _read_body(headers, data)
    tokens = [
        token.strip().lower()
        for name, value in headers
        if name == b"connection"
        for token in value.split(b",")
    ]
    is_last = b"close" in tokens or (
        minor_version == b"0" and b"keep-alive" not in tokens
    )
    return Request(method, target, headers, body), is_last, data


def _read_line(data):
    end = data.find(b"\n")
    if end < 0:
        if b"\r" in data[:-1]:
            raise Malformed("a bare carriage return")
        raise Incomplete
    if end == 0 or data[end - 1 : end] != b"\r" or b"\r" in data[: end - 1]:
        raise Malformed("a bare line feed or carriage return")
    return data[: end - 1], data[end + 1 :]


def _read_headers(data):
    headers = []
    while True:
        line, data = _read_line(data)
        if not line:
            return headers, data
        found = HEADER.fullmatch(line)
        if not found:
            raise Malformed(line)
        headers.append((found[1].lower(), found[2]))


def _read_body(headers, data):
    lengths = [value for name, value in headers if name == b"content-length"]
    codings = [
        value for name, value in headers if name == b"transfer-encoding"
    ]
    if codings:
        if lengths or [c.lower() for c in codings] != [b"chunked"]:
            raise Malformed("two lengths or an unknown transfer coding")
        return _read_chunked_body(data)
    if not lengths:
        return b"", data
    if len(lengths) > 1 or not DIGITS.fullmatch(lengths[0]):
        raise Malformed("two content lengths or an invalid one")
    length = int(lengths[0])
    if len(data) < length:
        raise Incomplete
    return data[:length], data[length:]


def _read_chunked_body(data):
    body = b""
    while True:
        line, data = _read_line(data)
        found = CHUNK_SIZE.fullmatch(line)
        if not found:
            raise Malformed(line)
        size = int(found[1], 16)
        if not size:
            trailers, data = _read_headers(data)
            if {name for name, _ in trailers} & FRAMING_HEADERS:
                raise Malformed("a framing header in the trailers")
            return body, data
        if len(data) < size + 2:
            if data[size : size + 2] not in (b"", b"\r"):
                raise Malformed("no line end after a chunk")
            raise Incomplete
        if data[size : size + 2] != b"\r\n":
            raise Malformed("no line end after a chunk")
        body += data[:size]
        data = data[size + 2 :]
