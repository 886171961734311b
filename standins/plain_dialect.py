"""A minimal dialect for tests of the request path."""

from apricotlever.runners import statements
from apricotlever.serving import connection_pool
from apricotlever.serving import messages

CONNECTION_HEADERS = {
    b"connection",
    b"content-length",
    b"transfer-encoding",
    b"host",
}


def _headers_by_name(headers):
    return {name.lower(): value for name, value in headers}


def _header_values(headers, name):
    return [value for key, value in headers if key.lower() == name]


#: Tokens of each part of a prompt, and of an answer to it.
PART_TOKENS = 10


def _read_prompt(parts):
    """A prompt whose parts' names are separated by commas; None for none."""
    if not parts:
        return None
    names = parts.decode().split(",")
    return messages.Prompt(
        PART_TOKENS * len(names),
        PART_TOKENS,
        tuple(messages.PromptPart(name, PART_TOKENS) for name in names),
    )


class PlainCallerDialect:
    """Caller dialect with headers of its own.

    They are Call-Id, Wait-S, Key, After and Resumes, and Parts for the names
    of a prompt's parts.
    """

    ready_path = "/ready"
    lookup_path = "/vms"
    max_addresses = 64

    def parse_call(self, method, target, headers, body, received_at):
        """Parse a call into the product's type."""
        by_name = _headers_by_name(headers)
        wait_s = by_name.get(b"wait-s")
        after = by_name.get(b"after")
        return messages.CallerCall(
            method,
            target,
            by_name.get(b"host", b"").decode(),
            [
                (name, value)
                for name, value in headers
                if name.lower() not in CONNECTION_HEADERS
            ],
            body,
            by_name.get(b"call-id", b"").decode(),
            float(wait_s) if wait_s else None,
            by_name.get(b"key", b"").decode(),
            _read_prompt(by_name.get(b"parts")),
            int(after) if after else None,
            received_at,
            by_name.get(b"resumes", b"").decode(),
        )

    def refusal_headers(self, call):
        """No headers: the dialect adds none to a refusal."""
        return []

    def forwarded_headers(self, head):
        """All headers of the runner's answer but those of the connection."""
        return [
            (name, value)
            for name, value in head.headers
            if name.lower() not in CONNECTION_HEADERS
        ]

    def lookup_body(self, addresses, ttl_s):
        """The addresses, one per line."""
        return "\n".join(addresses).encode()


class PlainRunnerDialect:
    """Runner dialect with the headers Call-Id, Left-S and After.

    A runner marks its own answers with the header Signed, and names the calls
    a second that it takes from all VMs in the header Limit-Per-S. With a
    status of 503 it asks for rest by the header Rest-S. It says that it leaves
    by the header Leaving: 1, and how many rejections in a second it bears, if
    it is fragile, by the header Rejections-Per-S.

    :param vm: name of the sending VM, which a runner is told in the header
        Sent-By; "" to leave it out.
    """

    def __init__(self, vm=""):
        self._vm = vm

    def encode_request(self, call, parameters):
        """Encode a request with its headers and body."""
        lines = [
            f"{call.method} {call.target} HTTP/1.1",
            f"Host: {call.host}",
            f"Call-Id: {call.request_id}",
            f"For-Runner: {parameters.runner}",
            f"Left-S: {parameters.remaining_s:.3f}",
            f"Content-Length: {len(call.body)}",
        ]
        if self._vm:
            lines.append(f"Sent-By: {self._vm}")
        if parameters.customer is not None:
            lines.append(f"Customer: {parameters.customer}")
        if parameters.resume_after is not None:
            lines.append(f"After: {parameters.resume_after}")
        if call.prompt is not None:
            names = ",".join(part.part_id for part in call.prompt.parts)
            lines.append(f"Parts: {names}")
        return "\r\n".join([*lines, "", ""]).encode() + call.body

    def parse_response_head(self, status, headers):
        """Parse the status and headers of an answer."""
        by_name = _headers_by_name(headers)
        return messages.RunnerResponseHead(
            status,
            headers,
            not_run=b"not-run" in by_name,
            other_runner=b"other-runner" in by_name,
            signed=b"signed" in by_name,
            request_id=by_name.get(b"call-id", b"").decode(),
            closing=by_name.get(b"connection", b"").lower() == b"close",
            keep_alive_s=connection_pool.parse_keep_alive_s(
                by_name.get(b"keep-alive", b"")
            ),
            statement=statements.read_statement(
                _header_values(headers, b"limit-per-s"),
                _header_values(headers, b"rest-s") if status == 503 else [],
                _header_values(headers, b"leaving"),
                _header_values(headers, b"rejections-per-s"),
            ),
        )
