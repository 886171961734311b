"""Sends bytes that no HTTP library would send, and reads the answers."""

import http.client
import json
import socket
import typing

from tests.support import http as calls

TIMEOUT_S = 20.0
LONG_BYTES = 70_000
KEY = "key-ana"
Inputs = dict[str, typing.Callable[[], bytes]]

_INPUTS: Inputs = {}


def bad_input(name: str) -> typing.Callable[[typing.Any], typing.Any]:
    """Register what a step calls by a name."""

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
    """A whole request with ana's key; a header of "" is left out."""
    named = {
        "Host": "entry",
        "Authorization": f"Bearer {KEY}",
        "Content-Type": "application/json",
        "Content-Length": str(len(body)),
        "Connection": "close",
        **(headers or {}),
    }
    lines = [f"{name}: {value}" for name, value in named.items() if value]
    head = "\r\n".join([f"{method} {path} HTTP/1.1", *lines, "", ""])
    return head.encode("latin-1") + body


def completion(**fields: typing.Any) -> bytes:
    """A completion request; a field of None is left out."""
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


def bytes_of(name: str) -> bytes:
    """The bytes of a registered input."""
    return _INPUTS[name]()


def send(address: str, content: bytes) -> socket.socket:
    """Send bytes over a new connection, and leave it open."""
    host, _, port = address.rpartition(":")
    sock = socket.create_connection((host, int(port)), TIMEOUT_S)
    sock.sendall(content)
    return sock


def answer(sock: socket.socket) -> calls.Reply:
    """Read one answer and close the connection."""
    with sock:
        response = http.client.HTTPResponse(sock)
        response.begin()
        content = response.read()
        return calls.Reply(
            response.status, response.headers, _decoded(content)
        )


def _decoded(content: bytes) -> typing.Any:
    try:
        return json.loads(content)
    except ValueError:
        return content.decode(errors="replace")


@bad_input("an oversize body")
def _oversize() -> bytes:
    return request("POST", "/v1/completions", b"x" * LONG_BYTES)


@bad_input("an oversize body that is only announced")
def _announced() -> bytes:
    headers = {"Content-Length": "99999999999"}
    return request("POST", "/v1/completions", b"{", headers)


@bad_input("broken JSON")
def _broken_json() -> bytes:
    return request("POST", "/v1/completions", b'{"model": "drafts", ')


@bad_input("JSON nested too deep")
def _deep() -> bytes:
    return request("POST", "/v1/completions", b"[" * 30_000)


@bad_input("a list in place of an object")
def _list() -> bytes:
    return request("POST", "/v1/completions", b"[1, 2]")


@bad_input("bytes that are no UTF-8")
def _no_utf8() -> bytes:
    return request("POST", "/v1/completions", b'{"prompt": "\xff\xfe"}')


@bad_input("half a surrogate pair")
def _surrogate() -> bytes:
    body = b'{"model": "drafts", "prompt": "\\ud800", "max_tokens": 4}'
    return request("POST", "/v1/completions", body)


@bad_input("a wrong key")
def _wrong_key() -> bytes:
    headers = {"Authorization": "Bearer key-nobody"}
    return request("POST", "/v1/completions", b"{}", headers)


@bad_input("a key that is no ASCII")
def _odd_key() -> bytes:
    headers = {"Authorization": "Bearer \xe9\xff"}
    return request("POST", "/v1/completions", b"{}", headers)


@bad_input("no key")
def _no_key() -> bytes:
    headers = {"Authorization": ""}
    return request("POST", "/v1/completions", b"{}", headers)


@bad_input("an unknown entry")
def _unknown_entry() -> bytes:
    return completion(model="nothing")


@bad_input("a service entry as a model")
def _service_as_model() -> bytes:
    return completion(model="registry")


@bad_input("a header that is too long")
def _long_header() -> bytes:
    headers = {"X-Long": "x" * LONG_BYTES}
    return request("POST", "/v1/completions", b"{}", headers)


@bad_input("a prompt that is a number")
def _prompt_number() -> bytes:
    return completion(prompt=7)


@bad_input("a model that is a list")
def _model_list() -> bytes:
    return completion(model=["drafts"])


@bad_input("max_tokens that is text")
def _text_tokens() -> bytes:
    return completion(max_tokens="many")


@bad_input("max_tokens that is huge")
def _huge_tokens() -> bytes:
    return completion(max_tokens=10**12)


@bad_input("max_tokens below one")
def _no_tokens() -> bytes:
    return completion(max_tokens=0)


@bad_input("a seed that is text")
def _text_seed() -> bytes:
    return completion(seed="lucky")


@bad_input("messages of wrong types")
def _messages() -> bytes:
    body = json.dumps({"model": "drafts", "messages": [1, {}]}).encode()
    return request("POST", "/v1/chat/completions", body)


@bad_input("a Last-Event-ID that is no number")
def _last_event() -> bytes:
    headers = {"Last-Event-ID": "../1"}
    return request("GET", "/v1/requests/vm-0.1.a", headers=headers)


@bad_input("a Last-Event-ID that is huge")
def _huge_event() -> bytes:
    headers = {"Last-Event-ID": "9" * 6000}
    return request("GET", "/v1/requests/vm-0.1.a", headers=headers)


@bad_input("an unknown request")
def _unknown_request() -> bytes:
    return request("GET", "/v1/requests/vm-0.1.a")


@bad_input("an unknown method")
def _method() -> bytes:
    return request("BREW", "/v1/completions")


@bad_input("a method that the path lacks")
def _wrong_method() -> bytes:
    return request("DELETE", "/v1/keys")


@bad_input("an unknown path")
def _path() -> bytes:
    return request("GET", "/etc/passwd")


@bad_input("path traversal past a service")
def _traversal() -> bytes:
    return request("GET", "/v1/services/../../control/counts")


@bad_input("path traversal in a service")
def _traversal_in() -> bytes:
    return request("POST", "/v1/services/registry/x/../../control/reset")


@bad_input("encoded path traversal in a service")
def _traversal_encoded() -> bytes:
    return request(
        "POST", "/v1/services/registry/x/%2e%2e/%2e%2e/control/reset"
    )


@bad_input("a line break in a service's path")
def _line_break() -> bytes:
    return request("GET", "/v1/services/registry/a%0d%0aX-Y:%20z")


@bad_input("chunks without sizes")
def _chunks() -> bytes:
    headers = {"Content-Length": "", "Transfer-Encoding": "chunked"}
    return request(
        "POST", "/v1/completions", b"zz\r\n{}\r\n0\r\n\r\n", headers
    )


@bad_input("an unknown transfer encoding")
def _encoding() -> bytes:
    headers = {"Content-Length": "", "Transfer-Encoding": "gzip"}
    return request("POST", "/v1/completions", b"{}", headers)


@bad_input("a length that is no number")
def _length() -> bytes:
    headers = {"Content-Length": "ten"}
    return request("POST", "/v1/completions", b"{}", headers)


@bad_input("no HTTP at all")
def _nonsense() -> bytes:
    return b"\x16\x03\x01 hello\r\n\r\n"


@bad_input("an idempotency key that is too long")
def _long_key() -> bytes:
    headers = {"Idempotency-Key": "k" * 300}
    return request("POST", "/v1/services/registry/entries", b"{}", headers)


@bad_input("a count of keys that is text")
def _key_count() -> bytes:
    return request("POST", "/v1/keys", b'{"count": "all"}')
