"""A strict reader of HTTP/1.1 requests, plain and slow, to compare with.

It takes what RFC 9112 lets a server take and refuses the rest: whatever two
readers of one connection may understand differently lets a caller smuggle a
request past the checks made for another.
"""

import re

TOKEN = rb"[!#$%&'*+.^_`|~0-9A-Za-z-]+"
#: A method that is not known is refused; nothing behind it would run it.
METHODS = rb"DELETE|GET|HEAD|OPTIONS|PATCH|POST|PUT|TRACE"
#: Several blanks before a target are allowed (RFC 9112, section 3).
REQUEST_LINE = re.compile(rb"(%b) +(/[\x21-\x7e]*) +HTTP/1\.([01])" % METHODS)
HEADER = re.compile(
    rb"(%b):[ \t]*([\x21-\x7e\x80-\xff]"
    rb"(?:[\x20-\x7e\x80-\xff\t]*[\x21-\x7e\x80-\xff])?|)[ \t]*" % TOKEN
)
CHUNK_SIZE = re.compile(rb"([0-9A-Fa-f]{1,8})(?:;[\x20-\x7e\t]*)?")
FRAMING = {b"content-length", b"transfer-encoding"}
DIGITS = re.compile(rb"[0-9]{1,12}")


class Malformed(Exception):
    """No strict server serves this."""


class Incomplete(Exception):
    """More bytes have to come."""


class Request:
    """What was read."""

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
        """All that has to agree."""
        return self.method, self.target, self.headers, self.body


def read_all(data):
    """All requests of a connection's bytes.

    :returns: the requests, and whether what follows them is malformed.
    """
    requests = []
    try:
        while data:
            request, last, data = _read(data)
            requests.append(request)
            if last:
                break
    except Incomplete:
        return requests, False
    except Malformed:
        return requests, True
    return requests, False


def _read(data):
    # Empty lines before a request are to be skipped.
    data = data.lstrip(b"\r\n")
    if not data:
        raise Incomplete
    line, data = _line(data)
    found = REQUEST_LINE.fullmatch(line)
    if not found:
        raise Malformed(line)
    method, target, minor = found.groups()
    headers, data = _headers(data)
    body, data = _body(headers, data)
    tokens = [
        token.strip().lower()
        for name, value in headers
        if name == b"connection"
        for token in value.split(b",")
    ]
    last = b"close" in tokens or (
        minor == b"0" and b"keep-alive" not in tokens
    )
    return Request(method, target, headers, body), last, data


def _line(data):
    end = data.find(b"\n")
    if end < 0:
        if b"\r" in data[:-1]:
            raise Malformed("a lone carriage return")
        raise Incomplete
    if end == 0 or data[end - 1 : end] != b"\r" or b"\r" in data[: end - 1]:
        raise Malformed("a lone line feed or carriage return")
    return data[: end - 1], data[end + 1 :]


def _headers(data):
    headers = []
    while True:
        line, data = _line(data)
        if not line:
            return headers, data
        found = HEADER.fullmatch(line)
        if not found:
            raise Malformed(line)
        headers.append((found[1].lower(), found[2]))


def _body(headers, data):
    lengths = [value for name, value in headers if name == b"content-length"]
    codings = [
        value for name, value in headers if name == b"transfer-encoding"
    ]
    if codings:
        if lengths or [c.lower() for c in codings] != [b"chunked"]:
            raise Malformed("two lengths, or a coding that is not known")
        return _chunks(data)
    if not lengths:
        return b"", data
    if len(lengths) > 1 or not DIGITS.fullmatch(lengths[0]):
        raise Malformed("no length")
    length = int(lengths[0])
    if len(data) < length:
        raise Incomplete
    return data[:length], data[length:]


def _chunks(data):
    body = b""
    while True:
        line, data = _line(data)
        found = CHUNK_SIZE.fullmatch(line)
        if not found:
            raise Malformed(line)
        size = int(found[1], 16)
        if not size:
            trailers, data = _headers(data)
            if {name for name, _ in trailers} & FRAMING:
                raise Malformed("a length after the body")
            return body, data
        if len(data) < size + 2:
            if data[size : size + 2] not in (b"", b"\r"):
                raise Malformed("no line end after a chunk")
            raise Incomplete
        if data[size : size + 2] != b"\r\n":
            raise Malformed("no line end after a chunk")
        body += data[:size]
        data = data[size + 2 :]
