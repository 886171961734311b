"""Calls to an engine stand-in as a daemon would make them."""

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
    """A streamed completion's body."""
    return {
        "model": ENTRY,
        "prompt": prompt,
        "max_tokens": max_tokens,
        "seed": SEED,
        "stream": True,
    }


def headers(request=REQUEST, attempt=1, priority=0):
    """The headers that an entry VM adds."""
    return {
        "Apricotlever-Request": request,
        "Apricotlever-Attempt": str(attempt),
        "Apricotlever-Priority": str(priority),
    }


def call(address, method, path, body=None, headers=None):
    """One JSON call."""
    return calls.call(address, method, path, body, headers)


def open_stream(
    address, method, path, body=None, headers=None, timeout_s=10.0
):
    """A connection with an answer that has begun."""
    connection = http.client.HTTPConnection(address, timeout=timeout_s)
    content = json.dumps(body).encode() if body is not None else None
    connection.request(method, path, content, headers or {})
    return connection, connection.getresponse()


def read(answer, address, method, path, body=None, headers=None, limit=None):
    """Read a stream to its end, or until it has given ``limit`` tokens."""
    connection, response = open_stream(address, method, path, body, headers)
    answers.note_headers(answer, response.status, response.headers)
    try:
        for event in answers.events_of(response):
            answers.take(answer, event, time.monotonic())
            if limit is not None and len(answer.tokens) >= limit:
                break
    except answers.Ended:
        pass
    response.close()
    connection.close()
