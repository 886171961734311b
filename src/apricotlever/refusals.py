"""Refusals: the errors that a caller can meet, each with a stable type.

Every refusal says whether an upstream saw the request. ``no`` is a promise:
the caller may send the request again anywhere without a second run.
"""

import enum
import json
import math
import typing

from . import errors


class Executed(enum.Enum):
    """Whether an upstream ran the request."""

    YES = "yes"
    NO = "no"
    UNKNOWN = "unknown"


class Kind:
    """One type of refusal.

    :param name: the stable ``type`` in the JSON body.
    :param status: HTTP status code.
    :param meaning: one line for the operators' page.
    """

    __slots__ = ("name", "status", "meaning")

    def __init__(self, name: str, status: int, meaning: str) -> None:
        self.name = name
        self.status = status
        self.meaning = meaning


_KINDS: dict[str, Kind] = {}


def _kind(name: str, status: int, meaning: str) -> Kind:
    kind = Kind(name, status, meaning)
    _KINDS[name] = kind
    return kind


BAD_REQUEST = _kind("bad_request", 400, "the request is malformed")
BAD_JSON = _kind("bad_json", 400, "the body is not the JSON expected")
UNAUTHENTICATED = _kind("unauthenticated", 401, "the bearer key is unknown")
FORBIDDEN = _kind("forbidden", 403, "the customer may not use the entry")
NOT_FOUND = _kind("not_found", 404, "no such path, entry or request")
METHOD = _kind("method_not_allowed", 405, "the path takes other methods")
SLOW_SENDER = _kind("request_timeout", 408, "the request arrived too slowly")
CONFLICT = _kind("key_conflict", 409, "the key belongs to another request")
EXPIRED = _kind("key_expired", 410, "the key is too old to be run")
BODY_TOO_LARGE = _kind("body_too_large", 413, "the body exceeds the limit")
HEADERS_TOO_LARGE = _kind(
    "headers_too_large", 431, "the headers exceed the limit"
)
RATE_LIMITED = _kind("rate_limited", 429, "a limit of the entry was reached")
SHED = _kind("overloaded", 503, "the class is shed while overloaded")
LEAVING = _kind("leaving", 503, "this entry VM takes no new work")
NO_RUNNER = _kind("no_runner", 503, "no runner can take the request now")
CLAIMS_DOWN = _kind(
    "claims_unavailable", 503, "the store that records claims is down"
)
QUARANTINED = _kind(
    "quarantined", 503, "like requests crashed runners; it is not run"
)
NOT_READY = _kind("not_ready", 503, "no catalogue is in force yet")
NOT_IMPLEMENTED = _kind("not_implemented", 501, "the transfer is unsupported")
GAVE_UP = _kind("gave_up", 504, "every attempt failed within the deadline")
UPSTREAM_FAILED = _kind("upstream_failed", 502, "the upstream's answer broke")
OUTCOME_UNKNOWN = _kind(
    "outcome_unknown", 502, "a non-idempotent request may have run"
)
INTERNAL = _kind("internal", 500, "a fault in this daemon")


def kinds() -> typing.Mapping[str, Kind]:
    """Every type of refusal by name."""
    return dict(_KINDS)


class Refusal(errors.ApricotleverError):
    """A request that gets no upstream's answer.

    :param kind: the type of refusal.
    :param message: one sentence for the caller, without internals.
    :param executed: whether an upstream ran the request.
    :param retry_after_s: when to come back, in seconds, or None.
    :param request_id: the request's ID where one was minted.
    """

    def __init__(
        self,
        kind: Kind,
        message: str,
        executed: Executed = Executed.NO,
        retry_after_s: float | None = None,
        request_id: str = "",
    ) -> None:
        super().__init__(message)
        self._kind = kind
        self._executed = executed
        self._retry_after_s = retry_after_s
        self._request_id = request_id

    @property
    def kind(self) -> Kind:
        """The type of refusal."""
        return self._kind

    @property
    def executed(self) -> Executed:
        """Whether an upstream ran the request."""
        return self._executed

    @property
    def retry_after_s(self) -> float | None:
        """When to come back, in seconds."""
        return self._retry_after_s

    @property
    def request_id(self) -> str:
        """The request's ID, or an empty string."""
        return self._request_id

    def for_request(self, request_id: str) -> "Refusal":
        """The same refusal, naming the request.

        :param request_id: the ID that the entry VM minted.
        """
        return Refusal(
            self._kind,
            self._message,
            self._executed,
            self._retry_after_s,
            request_id,
        )

    def body(self) -> bytes:
        """The JSON body, encoded."""
        error: dict[str, object] = {
            "type": self._kind.name,
            "message": self._message,
            "executed": self._executed.value,
        }
        if self._retry_after_s is not None:
            error["retry_after_s"] = round(self._retry_after_s, 3)
        if self._request_id:
            error["request"] = self._request_id
        return json.dumps({"error": error}).encode()

    def headers(self) -> list[tuple[str, str]]:
        """The HTTP headers that go with the body."""
        named = [
            ("Content-Type", "application/json"),
            ("Apricotlever-Executed", self._executed.value),
        ]
        if self._retry_after_s is not None:
            whole_s = max(1, math.ceil(self._retry_after_s))
            named.append(("Retry-After", str(whole_s)))
        if self._request_id:
            named.append(("Apricotlever-Request", self._request_id))
        return named
