"""Sends invalid HTTP requests over raw sockets and reads the responses."""

import http.client
import json
import socket
import typing

from tests.support import http as calls

TIMEOUT_S = 20.0
OVERSIZED_BYTES = 70_000
KEY = "key-ana"
Inputs = dict[str, typing.Callable[[], bytes]]

_INPUTS: Inputs = {}


def bad_input(name: str) -> typing.Callable[[typing.Any], typing.Any]:
    """Register a function that makes an invalid input.

    :param name: the name of the input in the feature file.
    """

    def register(make: typing.Callable[[], bytes]) -> typing.Any:
        _INPUTS[name] = make
        return make

    return register


def request(
    method: str,
    path: str,
    body: bytes = b"",
    headers: dict[str, str] | None = None,
) -> bytes:
    """A complete request, with the key of the customer ana.

    :param headers: added to the default headers; an empty value removes one.
    """
    all_headers = {
        "Host": "entry",
        "Authorization": f"Bearer {KEY}",
        "Content-Type": "application/json",
        "Content-Length": str(len(body)),
        "Connection": "close",
        **(headers or {}),
    }
    lines = [
        f"{name}: {value}" for name, value in all_headers.items() if value
    ]
    head = "\r\n".join([f"{method} {path} HTTP/1.1", *lines, "", ""])
    return head.encode("latin-1") + body


def completion(**fields: typing.Any) -> bytes:
    """A completion request.

    :param fields: added to the default fields; None removes one.
    """
    document = {
        "model": "drafts",
        "prompt": "mandate",
        "max_tokens": 4,
        **fields,
    }
    kept = {
        name: value for name, value in document.items() if value is not None
    }
    return request("POST", "/v1/completions", json.dumps(kept).encode())


def input_bytes(name: str) -> bytes:
    """The bytes of the input registered under a name."""
    return _INPUTS[name]()


def send(address: str, content: bytes) -> socket.socket:
    """Send bytes over a new connection.

    :returns: the open connection.
    """
    host, _, port = address.rpartition(":")
    sock = socket.create_connection((host, int(port)), TIMEOUT_S)
    sock.sendall(content)
    return sock


def read_response(sock: socket.socket) -> calls.Reply:
    """Read one response and close the connection."""
    with sock:
        response = http.client.HTTPResponse(sock)
        response.begin()
        content = response.read()
        return calls.Reply(
            response.status, response.headers, _decode_body(content)
        )


def _decode_body(content: bytes) -> typing.Any:
    try:
        return json.loads(content)
    except ValueError:
        return content.decode(errors="replace")


@bad_input("an oversized body")
def _oversized_body() -> bytes:
    return request("POST", "/v1/completions", b"x" * OVERSIZED_BYTES)


@bad_input("an oversized Content-Length without its body")
def _oversized_length() -> bytes:
    headers = {"Content-Length": "99999999999"}
    return request("POST", "/v1/completions", b"{", headers)


@bad_input("broken JSON")
def _broken_json() -> bytes:
    return request("POST", "/v1/completions", b'{"model": "drafts", ')


@bad_input("JSON that is nested too deeply")
def _deeply_nested() -> bytes:
    return request("POST", "/v1/completions", b"[" * 30_000)


@bad_input("a JSON list instead of an object")
def _json_list() -> bytes:
    return request("POST", "/v1/completions", b"[1, 2]")


@bad_input("bytes that are not UTF-8")
def _invalid_utf8() -> bytes:
    return request("POST", "/v1/completions", b'{"prompt": "\xff\xfe"}')


@bad_input("an unpaired surrogate")
def _surrogate() -> bytes:
    body = b'{"model": "drafts", "prompt": "\\ud800", "max_tokens": 4}'
    return request("POST", "/v1/completions", body)


@bad_input("a wrong key")
def _wrong_key() -> bytes:
    headers = {"Authorization": "Bearer key-nobody"}
    return request("POST", "/v1/completions", b"{}", headers)


@bad_input("a key that is not ASCII")
def _non_ascii_key() -> bytes:
    headers = {"Authorization": "Bearer \xe9\xff"}
    return request("POST", "/v1/completions", b"{}", headers)


@bad_input("no key")
def _no_key() -> bytes:
    headers = {"Authorization": ""}
    return request("POST", "/v1/completions", b"{}", headers)


@bad_input("an unknown entry")
def _unknown_entry() -> bytes:
    return completion(model="nothing")


@bad_input("a service entry used as a model")
def _service_as_model() -> bytes:
    return completion(model="registry")


@bad_input("a header that is too long")
def _long_header() -> bytes:
    headers = {"X-Long": "x" * OVERSIZED_BYTES}
    return request("POST", "/v1/completions", b"{}", headers)


@bad_input("a prompt that is a number")
def _prompt_number() -> bytes:
    return completion(prompt=7)


@bad_input("a model that is a list")
def _model_list() -> bytes:
    return completion(model=["drafts"])


@bad_input("max_tokens that is text")
def _max_tokens_text() -> bytes:
    return completion(max_tokens="many")


@bad_input("max_tokens that is huge")
def _max_tokens_huge() -> bytes:
    return completion(max_tokens=10**12)


@bad_input("max_tokens below one")
def _max_tokens_zero() -> bytes:
    return completion(max_tokens=0)


@bad_input("a seed that is text")
def _seed_text() -> bytes:
    return completion(seed="lucky")


@bad_input("messages of wrong types")
def _wrong_message_types() -> bytes:
    body = json.dumps({"model": "drafts", "messages": [1, {}]}).encode()
    return request("POST", "/v1/chat/completions", body)


@bad_input("a Last-Event-ID that is not a number")
def _last_event_id_text() -> bytes:
    headers = {"Last-Event-ID": "../1"}
    return request("GET", "/v1/requests/vm-0.1.a", headers=headers)


@bad_input("a Last-Event-ID that is huge")
def _last_event_id_huge() -> bytes:
    headers = {"Last-Event-ID": "9" * 6000}
    return request("GET", "/v1/requests/vm-0.1.a", headers=headers)


@bad_input("an unknown request")
def _unknown_request() -> bytes:
    return request("GET", "/v1/requests/vm-0.1.a")


@bad_input("an unknown method")
def _unknown_method() -> bytes:
    return request("BREW", "/v1/completions")


@bad_input("a method that the path does not support")
def _wrong_method() -> bytes:
    return request("DELETE", "/v1/keys")


@bad_input("an unknown path")
def _unknown_path() -> bytes:
    return request("GET", "/etc/passwd")


@bad_input("path traversal past a service")
def _traversal_past_service() -> bytes:
    return request("GET", "/v1/services/../../control/counts")


@bad_input("path traversal in a service")
def _traversal_in_service() -> bytes:
    return request("POST", "/v1/services/registry/x/../../control/reset")


@bad_input("encoded path traversal in a service")
def _encoded_traversal() -> bytes:
    return request(
        "POST", "/v1/services/registry/x/%2e%2e/%2e%2e/control/reset"
    )


@bad_input("a line break in a service's path")
def _line_break() -> bytes:
    return request("GET", "/v1/services/registry/a%0d%0aX-Y:%20z")


@bad_input("chunks without chunk sizes")
def _chunks_without_sizes() -> bytes:
    headers = {"Content-Length": "", "Transfer-Encoding": "chunked"}
    return request(
        "POST", "/v1/completions", b"zz\r\n{}\r\n0\r\n\r\n", headers
    )


@bad_input("an unknown transfer encoding")
def _unknown_encoding() -> bytes:
    headers = {"Content-Length": "", "Transfer-Encoding": "gzip"}
    return request("POST", "/v1/completions", b"{}", headers)


@bad_input("a Content-Length that is not a number")
def _content_length_text() -> bytes:
    headers = {"Content-Length": "ten"}
    return request("POST", "/v1/completions", b"{}", headers)


@bad_input("bytes that are not HTTP")
def _not_http() -> bytes:
    return b"\x16\x03\x01 hello\r\n\r\n"


@bad_input("an idempotency key that is too long")
def _long_key() -> bytes:
    headers = {"Idempotency-Key": "k" * 300}
    return request("POST", "/v1/services/registry/entries", b"{}", headers)


@bad_input("a number of keys that is text")
def _key_count_text() -> bytes:
    return request("POST", "/v1/keys", b'{"count": "all"}')
