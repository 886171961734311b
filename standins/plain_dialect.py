"""A small dialect of its own for tests of the request path."""

from apricotlever.serving import messages
from apricotlever.serving import pool

DROPPED = {b"connection", b"content-length", b"transfer-encoding", b"host"}


def _named(headers):
    return {name.lower(): value for name, value in headers}


class PlainCallers:
    """``Call-Id``, ``Wait-S``, ``Key``, ``Prompt`` and ``After``."""

    ready_path = "/ready"
    lookup_path = "/vms"

    def read(self, method, target, headers, body, received_at):
        """Translate a call."""
        named = _named(headers)
        wait = named.get(b"wait-s")
        after = named.get(b"after")
        return messages.CallerCall(
            method,
            target,
            named.get(b"host", b"").decode(),
            [(n, v) for n, v in headers if n.lower() not in DROPPED],
            body,
            named.get(b"call-id", b"").decode(),
            float(wait) if wait else None,
            named.get(b"key", b"").decode(),
            None,
            int(after) if after else None,
            received_at,
        )

    def refusal_headers(self, call):
        """None of its own."""
        return []

    def answer_headers(self, head):
        """All but those of the connection."""
        return [(n, v) for n, v in head.headers if n.lower() not in DROPPED]

    def lookup_answer(self, addresses, ttl_s):
        """One address a line."""
        return "\n".join(addresses).encode()


class PlainRunners:
    """``Call-Id``, ``Left-S``, ``After``; answers bear ``Signed``."""

    def request(self, call, errand):
        """A whole request."""
        lines = [
            f"{call.method} {call.target} HTTP/1.1",
            f"Host: {call.host}",
            f"Call-Id: {call.request_id}",
            f"For-Runner: {errand.runner}",
            f"Left-S: {errand.left_s:.3f}",
            f"Content-Length: {len(call.body)}",
        ]
        if errand.customer is not None:
            lines.append(f"Customer: {errand.customer}")
        if errand.resume_after is not None:
            lines.append(f"After: {errand.resume_after}")
        return "\r\n".join([*lines, "", ""]).encode() + call.body

    def head(self, status, headers):
        """Translate the head of an answer."""
        named = _named(headers)
        return messages.RunnerHead(
            status,
            headers,
            not_run=b"not-run" in named,
            other_runner=b"other-runner" in named,
            signed=b"signed" in named,
            request_id=named.get(b"call-id", b"").decode(),
            closing=named.get(b"connection", b"").lower() == b"close",
            keep_alive_s=pool.keep_alive_s(named.get(b"keep-alive", b"")),
        )
