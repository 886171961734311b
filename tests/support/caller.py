"""A client of the entry VMs that follows redirects and resumes streams.

It collects what a customer would see: each token and its event ID, the end
of the answer, and the headers that state whether a refused request was
executed.
"""

import http.client
import itertools
import json
import threading
import time
import typing
from urllib import parse

from tests.support import answers
from tests.support import http as calls

IDLE_TIMEOUT_S = 10.0
TOTAL_TIMEOUT_S = 60.0
RETRY_DELAY_S = 0.1
CONNECTION_ERRORS = (OSError, http.client.HTTPException)
KEY_HEADER = "Idempotency-Key"


class Caller:
    """Makes requests as one customer.

    :param addresses: ``host:port`` of some entry VMs to start with.
    :param bearer_key: the customer's API key.
    :param idle_timeout_s: seconds without data after which a connection is
        closed.
    :param total_timeout_s: seconds after which a request is no longer
        retried or followed.
    """

    def __init__(
        self,
        addresses: typing.Iterable[str],
        bearer_key: str,
        idle_timeout_s: float = IDLE_TIMEOUT_S,
        total_timeout_s: float = TOTAL_TIMEOUT_S,
    ) -> None:
        self._addresses = list(addresses)
        self._known_addresses = list(self._addresses)
        self._bearer_key = bearer_key
        self._idle_timeout_s = idle_timeout_s
        self._total_timeout_s = total_timeout_s
        self._rotation = itertools.count()
        self._lock = threading.Lock()
        self._addresses_expire_at = 0.0

    @property
    def addresses(self) -> list[str]:
        """The addresses of the entry VMs used for new requests."""
        return list(self._addresses)

    def refresh_addresses(self) -> list[str]:
        """Ask the known entry VMs in turn which ones take new requests.

        :returns: the addresses; unchanged if no entry VM responds.
        """
        for address in [*self._addresses, *self._known_addresses]:
            try:
                reply = self._call(address, "GET", "/v1/entries")
            except CONNECTION_ERRORS:
                continue
            if reply.status == 200:
                return self._update_addresses(reply.payload)
        return self.addresses

    def chat(
        self, entry: str, content: str, max_tokens: int, seed: int = 0
    ) -> answers.Answer:
        """Stream a chat completion of one user message."""
        message = {"role": "user", "content": content}
        body = {
            "model": entry,
            "messages": [message],
            "max_tokens": max_tokens,
            "seed": seed,
            "stream": True,
        }
        return self.stream("/v1/chat/completions", body)

    def complete(
        self, entry: str, prompt: str, max_tokens: int, seed: int = 0
    ) -> answers.Answer:
        """Stream a completion of a prompt."""
        body = {
            "model": entry,
            "prompt": prompt,
            "max_tokens": max_tokens,
            "seed": seed,
            "stream": True,
        }
        return self.stream("/v1/completions", body)

    def stream(
        self,
        path: str,
        body: dict[str, typing.Any],
        address: str = "",
        headers: dict[str, str] | None = None,
    ) -> answers.Answer:
        """Read a stream to its end, across redirects and broken connections.

        :param address: the entry VM to start at; the next one in rotation if
            empty.
        """
        answer = answers.Answer(answers.expected_tokens_for(body))
        started_at = time.monotonic()
        deadline = started_at + self._total_timeout_s
        target = address or self.next_address()
        try:
            self._follow_stream(
                answer, target, path, body, headers or {}, deadline
            )
        except answers.RequestEnded:
            pass
        answer.total_s = time.monotonic() - started_at
        return answer

    def complete_unstreamed(
        self, path: str, body: dict[str, typing.Any], address: str = ""
    ) -> answers.Answer:
        """Request a completion without a stream and wait for its outcome."""
        answer = answers.Answer(answers.expected_tokens_for(body))
        started_at = time.monotonic()
        self._send_unstreamed(
            answer, address or self.next_address(), "POST", path, body, {}
        )
        if answer.status == answers.SEE_OTHER:
            answer.redirects += 1
            deadline = started_at + self._total_timeout_s
            self._await_outcome(answer, answer.payload["entry"], deadline)
        answer.total_s = time.monotonic() - started_at
        if answer.done:
            answer.tokens = _extract_tokens(answer.payload)
            answer.event_ids = list(range(len(answer.tokens)))
        return answer

    def mint_keys(self, count: int = 1, address: str = "") -> list[str]:
        """Mint idempotency keys that are bound to one entry VM's ledger."""
        target = address or self.next_address()
        body = {"count": count}
        reply = self._call(target, "POST", "/v1/keys", body)
        assert reply.status in (200, 201), (reply.status, reply.payload)
        return reply.payload["keys"]

    def call_service(
        self,
        entry: str,
        method: str,
        path: str,
        body: typing.Any = None,
        key: str = "",
        address: str = "",
    ) -> answers.Answer:
        """Call a plain service once, without a retry.

        :param path: the part after ``/v1/services/ENTRY``.
        :param key: an idempotency key, minted by an entry VM or made up by the
            test; none if empty.
        """
        answer = answers.Answer()
        started_at = time.monotonic()
        headers = {KEY_HEADER: key} if key else {}
        full_path = f"/v1/services/{entry}{path}"
        target = address or self.next_address()
        self._send_unstreamed(answer, target, method, full_path, body, headers)
        answer.total_s = time.monotonic() - started_at
        return answer

    def call_service_until_settled(
        self,
        entry: str,
        method: str,
        path: str,
        body: typing.Any,
        key: str,
    ) -> answers.Answer:
        """Retry a call with a key at the entry VMs in turn until it settles.

        :returns: the first result that is a success or whose execution is
            ``unknown``, or the last one at the total timeout.
        """
        deadline = time.monotonic() + self._total_timeout_s
        breaks = 0
        while True:
            answer = self.call_service(entry, method, path, body, key)
            settled = answer.done or answer.executed == "unknown"
            if settled or time.monotonic() > deadline:
                answer.broken_connections = breaks
                return answer
            breaks += 1
            time.sleep(answer.retry_after_s or RETRY_DELAY_S)

    def get_outcome(self, request_id: str, address: str = "") -> calls.Reply:
        """Fetch ``/v1/requests/ID`` without a stream."""
        path = f"/v1/requests/{request_id}"
        return self._call(address or self.next_address(), "GET", path)

    def next_address(self) -> str:
        """The next entry VM in rotation; refreshes an expired list first."""
        if time.monotonic() > self._addresses_expire_at:
            with self._lock:
                if time.monotonic() > self._addresses_expire_at:
                    self._addresses_expire_at = (
                        time.monotonic() + RETRY_DELAY_S
                    )
                    self.refresh_addresses()
        return self._addresses[next(self._rotation) % len(self._addresses)]

    def _await_outcome(
        self, answer: answers.Answer, address: str, deadline: float
    ) -> None:
        """Poll the entry VM that holds the request until it has an outcome."""
        answer.done = False
        while not answer.done and time.monotonic() < deadline:
            reply = self.get_outcome(answer.request_id, address)
            answer.payload = reply.payload
            answer.done = reply.status == 200 and "text" in reply.payload
            if not answer.done:
                time.sleep(RETRY_DELAY_S)

    def _update_addresses(self, payload: dict[str, typing.Any]) -> list[str]:
        addresses = [entry["address"] for entry in payload["entries"]]
        self._addresses = addresses or self._addresses
        self._known_addresses = list(
            dict.fromkeys([*self._known_addresses, *addresses])
        )
        self._addresses_expire_at = time.monotonic() + payload.get(
            "ttl_s", 1.0
        )
        return self.addresses

    def _headers(self, extra_headers: dict[str, str]) -> dict[str, str]:
        return {"Authorization": f"Bearer {self._bearer_key}", **extra_headers}

    def _call(
        self,
        address: str,
        method: str,
        path: str,
        body: typing.Any = None,
        extra_headers: dict[str, str] | None = None,
    ) -> calls.Reply:
        headers = self._headers(extra_headers or {})
        timeout_s = self._idle_timeout_s
        return calls.call(address, method, path, body, headers, timeout_s)

    def _send_unstreamed(
        self,
        answer: answers.Answer,
        address: str,
        method: str,
        path: str,
        body: typing.Any,
        headers: dict[str, str],
    ) -> None:
        try:
            reply = self._call(address, method, path, body, headers)
        except CONNECTION_ERRORS as error:
            answer.error = f"{type(error).__name__}: {error}"
            return
        answers.record_headers(answer, reply.status, reply.headers)
        answer.payload = reply.payload
        answer.done = reply.status < 400
        answer.error = None if answer.done else reply.payload

    def _follow_stream(
        self,
        answer: answers.Answer,
        address: str,
        path: str,
        body: dict[str, typing.Any],
        headers: dict[str, str],
        deadline: float,
    ) -> None:
        started_at = time.monotonic()
        method = "POST"
        content: bytes | None = json.dumps(body).encode()
        extra_headers = {"Content-Type": "application/json", **headers}
        while time.monotonic() < deadline:
            try:
                self._read_connection(
                    answer,
                    address,
                    method,
                    path,
                    content,
                    extra_headers,
                    started_at,
                )
            except answers.StreamMoved as moved:
                answer.redirects += 1
                address = moved.address or self.next_address()
            except CONNECTION_ERRORS as error:
                answer.broken_connections += 1
                answer.error = f"{type(error).__name__}: {error}"
                time.sleep(RETRY_DELAY_S)
                address = self._other_address(address)
                if not answer.request_id:
                    _require_never_sent(error)
                    continue
            method, content = "GET", None
            path = f"/v1/requests/{answer.request_id}"
            resume_headers = (
                {"Last-Event-ID": str(answer.event_ids[-1])}
                if answer.event_ids
                else {}
            )
            extra_headers = {"Accept": "text/event-stream", **resume_headers}
            if answer.resume_token:
                extra_headers[answers.RESUME_HEADER] = answer.resume_token

    def _other_address(self, address: str) -> str:
        others = [other for other in self._addresses if other != address]
        others = others or [
            other for other in self._known_addresses if other != address
        ]
        if not others:
            return address
        return others[next(self._rotation) % len(others)]

    def _read_connection(
        self,
        answer: answers.Answer,
        address: str,
        method: str,
        path: str,
        content: bytes | None,
        extra_headers: dict[str, str],
        started_at: float,
    ) -> None:
        connection = http.client.HTTPConnection(
            address, timeout=self._idle_timeout_s
        )
        try:
            connection.request(
                method,
                parse.quote(path),
                content,
                self._headers(extra_headers),
            )
            response = connection.getresponse()
            answers.require_stream(answer, response, resuming=method == "GET")
            for event in answers.read_events(response):
                answers.add_event(answer, event, started_at)
        finally:
            connection.close()
        # The connection closed before the last event of the stream.
        raise http.client.IncompleteRead(b"")


def _require_never_sent(error: Exception) -> None:
    """End the request unless it certainly did not reach any entry VM.

    :raises answers.RequestEnded: unless the connection was refused; the
        request may have been executed, so sending it again could execute it
        twice.
    """
    if not isinstance(error, ConnectionRefusedError):
        raise answers.RequestEnded from error


def _extract_tokens(payload: dict[str, typing.Any]) -> list[str]:
    """The tokens of a response without a stream, or of an outcome's text."""
    choice = payload.get("choices", [payload])[0]
    text = choice.get("text") or choice["message"]["content"]
    return [f" {word}" for word in text.split()]
