"""A caller that follows its answer wherever the entry VMs move it.

It checks what a customer would see: each token once, in order, the whole
answer, and the headers that tell whether a refused request was run.
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

GAP_TIMEOUT_S = 10.0
WHOLE_TIMEOUT_S = 60.0
RETRY_PAUSE_S = 0.1
BROKEN = (OSError, http.client.HTTPException)
KEY_HEADER = "Idempotency-Key"


class Caller:
    """Makes requests as one customer.

    :param addresses: some entry VMs' addresses to begin with.
    :param bearer_key: the customer's key.
    :param gap_timeout_s: silence after which a connection is given up.
    :param whole_timeout_s: after which the caller gives up altogether.
    """

    def __init__(
        self,
        addresses: typing.Iterable[str],
        bearer_key: str,
        gap_timeout_s: float = GAP_TIMEOUT_S,
        whole_timeout_s: float = WHOLE_TIMEOUT_S,
    ) -> None:
        self._addresses = list(addresses)
        self._known = list(self._addresses)
        self._bearer_key = bearer_key
        self._gap_timeout_s = gap_timeout_s
        self._whole_timeout_s = whole_timeout_s
        self._turn = itertools.count()
        self._lock = threading.Lock()
        self._fresh_until = 0.0

    @property
    def addresses(self) -> list[str]:
        """The entry VMs used for new work."""
        return list(self._addresses)

    def refresh(self) -> list[str]:
        """Ask any entry VM which ones take new work.

        :returns: their addresses; the old ones if nobody answers.
        """
        for address in [*self._addresses, *self._known]:
            try:
                reply = self._call(address, "GET", "/v1/entries")
            except BROKEN:
                continue
            if reply.status == 200:
                return self._adopt(reply.payload)
        return self.addresses

    def chat(
        self, entry: str, content: str, max_tokens: int, seed: int = 0
    ) -> answers.Answer:
        """A streamed chat completion of one user's message."""
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
        """A streamed completion of a prompt."""
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
        """Stream an answer to its end, through moves and broken streams.

        :param address: the entry VM to begin at; by turns if empty.
        """
        answer = answers.Answer(answers.expected_of(body))
        began = time.monotonic()
        until = began + self._whole_timeout_s
        target = address or self.next_address()
        try:
            self._follow(answer, target, path, body, headers or {}, until)
        except answers.Ended:
            pass
        answer.whole_s = time.monotonic() - began
        return answer

    def whole(
        self, path: str, body: dict[str, typing.Any], address: str = ""
    ) -> answers.Answer:
        """A completion without a stream, in one answer."""
        answer = answers.Answer(answers.expected_of(body))
        began = time.monotonic()
        self._plain(
            answer, address or self.next_address(), "POST", path, body, {}
        )
        if answer.status == answers.REDIRECTED:
            answer.moves += 1
            until = began + self._whole_timeout_s
            self._await_outcome(answer, answer.payload["entry"], until)
        answer.whole_s = time.monotonic() - began
        if answer.done:
            answer.tokens = _tokens_of(answer.payload)
            answer.ids = list(range(len(answer.tokens)))
        return answer

    def mint_keys(self, count: int = 1, address: str = "") -> list[str]:
        """Idempotency keys bound to one entry VM's ledger."""
        target = address or self.next_address()
        body = {"count": count}
        reply = self._call(target, "POST", "/v1/keys", body)
        assert reply.status in (200, 201), (reply.status, reply.payload)
        return reply.payload["keys"]

    def service(
        self,
        entry: str,
        method: str,
        path: str,
        body: typing.Any = None,
        key: str = "",
        address: str = "",
    ) -> answers.Answer:
        """One call of a plain service, sent once.

        :param path: what follows ``/v1/services/ENTRY``.
        :param key: an idempotency key, minted or made up.
        """
        answer = answers.Answer()
        began = time.monotonic()
        headers = {KEY_HEADER: key} if key else {}
        whole_path = f"/v1/services/{entry}{path}"
        target = address or self.next_address()
        self._plain(answer, target, method, whole_path, body, headers)
        answer.whole_s = time.monotonic() - began
        return answer

    def service_until_told(
        self,
        entry: str,
        method: str,
        path: str,
        body: typing.Any,
        key: str,
    ) -> answers.Answer:
        """Repeat a keyed call at each entry VM in turn until one tells.

        :returns: an answer that is a success, or that says ``unknown``, or
            the last one when the time is over.
        """
        until = time.monotonic() + self._whole_timeout_s
        breaks = 0
        while True:
            answer = self.service(entry, method, path, body, key)
            told = answer.done or answer.executed == "unknown"
            if told or time.monotonic() > until:
                answer.breaks = breaks
                return answer
            breaks += 1
            time.sleep(answer.retry_after_s or RETRY_PAUSE_S)

    def outcome(self, request_id: str, address: str = "") -> calls.Reply:
        """GET /v1/requests/ID without a stream."""
        path = f"/v1/requests/{request_id}"
        return self._call(address or self.next_address(), "GET", path)

    def next_address(self) -> str:
        """The next entry VM by turns, asking for them when it is time."""
        if time.monotonic() > self._fresh_until:
            with self._lock:
                if time.monotonic() > self._fresh_until:
                    self._fresh_until = time.monotonic() + RETRY_PAUSE_S
                    self.refresh()
        return self._addresses[next(self._turn) % len(self._addresses)]

    def _await_outcome(
        self, answer: answers.Answer, address: str, until: float
    ) -> None:
        """Ask the entry VM that has the request until it has ended."""
        answer.done = False
        while not answer.done and time.monotonic() < until:
            reply = self.outcome(answer.request_id, address)
            answer.payload = reply.payload
            answer.done = reply.status == 200 and "text" in reply.payload
            if not answer.done:
                time.sleep(RETRY_PAUSE_S)

    def _adopt(self, payload: dict[str, typing.Any]) -> list[str]:
        found = [entry["address"] for entry in payload["entries"]]
        self._addresses = found or self._addresses
        self._known = list(dict.fromkeys([*self._known, *found]))
        self._fresh_until = time.monotonic() + payload.get("ttl_s", 1.0)
        return self.addresses

    def _headers(self, extra: dict[str, str]) -> dict[str, str]:
        return {"Authorization": f"Bearer {self._bearer_key}", **extra}

    def _call(
        self,
        address: str,
        method: str,
        path: str,
        body: typing.Any = None,
        extra: dict[str, str] | None = None,
    ) -> calls.Reply:
        headers = self._headers(extra or {})
        timeout_s = self._gap_timeout_s
        return calls.call(address, method, path, body, headers, timeout_s)

    def _plain(
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
        except BROKEN as error:
            answer.error = f"{type(error).__name__}: {error}"
            return
        answers.note_headers(answer, reply.status, reply.headers)
        answer.payload = reply.payload
        answer.done = reply.status < 400
        answer.error = None if answer.done else reply.payload

    def _follow(
        self,
        answer: answers.Answer,
        address: str,
        path: str,
        body: dict[str, typing.Any],
        headers: dict[str, str],
        until: float,
    ) -> None:
        began = time.monotonic()
        method = "POST"
        content: bytes | None = json.dumps(body).encode()
        extra = {"Content-Type": "application/json", **headers}
        while time.monotonic() < until:
            try:
                self._read(
                    answer, address, method, path, content, extra, began
                )
            except answers.Moved as moved:
                answer.moves += 1
                address = moved.address or self.next_address()
            except BROKEN as error:
                answer.breaks += 1
                answer.error = f"{type(error).__name__}: {error}"
                time.sleep(RETRY_PAUSE_S)
                address = self._another(address)
                if not answer.request_id:
                    _check_not_sent(error)
                    continue
            method, content = "GET", None
            path = f"/v1/requests/{answer.request_id}"
            last = {"Last-Event-ID": str(answer.ids[-1])} if answer.ids else {}
            extra = {"Accept": "text/event-stream", **last}
            if answer.resume_token:
                extra[answers.RESUME_HEADER] = answer.resume_token

    def _another(self, address: str) -> str:
        others = [known for known in self._addresses if known != address]
        others = others or [known for known in self._known if known != address]
        if not others:
            return address
        return others[next(self._turn) % len(others)]

    def _read(
        self,
        answer: answers.Answer,
        address: str,
        method: str,
        path: str,
        content: bytes | None,
        extra: dict[str, str],
        began: float,
    ) -> None:
        connection = http.client.HTTPConnection(
            address, timeout=self._gap_timeout_s
        )
        try:
            connection.request(
                method, parse.quote(path), content, self._headers(extra)
            )
            response = connection.getresponse()
            answers.check(answer, response, resuming=method == "GET")
            for event in answers.events_of(response):
                answers.take(answer, event, began)
        finally:
            connection.close()
        raise http.client.IncompleteRead(b"")


def _check_not_sent(error: Exception) -> None:
    """End the request unless it certainly reached nobody."""
    if not isinstance(error, ConnectionRefusedError):
        raise answers.Ended from error


def _tokens_of(payload: dict[str, typing.Any]) -> list[str]:
    """The tokens in a whole answer, or in an outcome's text."""
    choice = payload.get("choices", [payload])[0]
    text = choice.get("text") or choice["message"]["content"]
    return [f" {word}" for word in text.split()]
