"""Calls to an engine stand-in, as the daemon makes them."""

import http.client
import json
import time

from tests.support import answers
from tests.support import http as calls

ENTRY = "drafts"
PROMPT = "summarise the mandate " * 40
REQUEST = "vm-1.100.1f"
SEED = 7


def body(max_tokens, prompt=PROMPT):
    """Create the body of a streamed completion request."""
    return {
        "model": ENTRY,
        "prompt": prompt,
        "max_tokens": max_tokens,
        "seed": SEED,
        "stream": True,
    }


def headers(request_id=REQUEST, attempt=1, priority=0):
    """Create the headers that an entry VM adds to a request."""
    return {
        "Apricotlever-Request": request_id,
        "Apricotlever-Attempt": str(attempt),
        "Apricotlever-Priority": str(priority),
    }


def call(address, method, path, body=None, headers=None):
    """Make a JSON call."""
    return calls.call(address, method, path, body, headers)


def open_stream(
    address, method, path, body=None, headers=None, timeout_s=10.0
):
    """Send a request and wait for the head of the response.

    :returns: the open connection and the response, whose body is unread.
    """
    connection = http.client.HTTPConnection(address, timeout=timeout_s)
    content = json.dumps(body).encode() if body is not None else None
    connection.request(method, path, content, headers or {})
    return connection, connection.getresponse()


def read_stream(
    answer, address, method, path, body=None, headers=None, limit=None
):
    """Read a stream to its end, or until ``answer`` has ``limit`` tokens."""
    connection, response = open_stream(address, method, path, body, headers)
    answers.record_headers(answer, response.status, response.headers)
    try:
        for event in answers.read_events(response):
            answers.add_event(answer, event, time.monotonic())
            if limit is not None and len(answer.tokens) >= limit:
                break
    except answers.RequestEnded:
        pass
    response.close()
    connection.close()
