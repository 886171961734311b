"""Refusals: the errors returned to callers, each with a stable type.

Every refusal states whether an upstream ran the request. ``no`` is a
guarantee: the caller may send the request again anywhere, and it will not
run twice.
"""

import enum
import json
import math
import typing

from . import errors


class Executed(enum.Enum):
    """Whether an upstream ran the request that is refused.

    ``NO`` is a guarantee; ``UNKNOWN`` means that it may have run.
    """

    YES = "yes"
    NO = "no"
    UNKNOWN = "unknown"


class RefusalKind:
    """One type of refusal, an error that is returned to callers.

    :param name: the stable ``type`` in the JSON body.
    :param status: the HTTP status code.
    :param meaning: a one-line description, for the operators' page and for
        some refusals.
    """

    __slots__ = ("name", "status", "meaning")

    def __init__(self, name: str, status: int, meaning: str) -> None:
        self.name = name
        self.status = status
        self.meaning = meaning


_KINDS: dict[str, RefusalKind] = {}


def _register_kind(name: str, status: int, meaning: str) -> RefusalKind:
    kind = RefusalKind(name, status, meaning)
    _KINDS[name] = kind
    return kind


BAD_REQUEST = _register_kind("bad_request", 400, "the request is malformed")
BAD_JSON = _register_kind("bad_json", 400, "the body is not the JSON expected")
UNAUTHENTICATED = _register_kind(
    "unauthenticated", 401, "the bearer key is unknown"
)
FORBIDDEN = _register_kind(
    "forbidden", 403, "the customer may not use the entry"
)
NOT_FOUND = _register_kind("not_found", 404, "no such path, entry or request")
METHOD_NOT_ALLOWED = _register_kind(
    "method_not_allowed", 405, "the path takes other methods"
)
REQUEST_TIMEOUT = _register_kind(
    "request_timeout", 408, "the request arrived too slowly"
)
KEY_CONFLICT = _register_kind(
    "key_conflict", 409, "the key belongs to another request"
)
KEY_EXPIRED = _register_kind(
    "key_expired", 410, "the key is too old to be run"
)
BODY_TOO_LARGE = _register_kind(
    "body_too_large", 413, "the body exceeds the limit"
)
HEADERS_TOO_LARGE = _register_kind(
    "headers_too_large", 431, "the headers exceed the limit"
)
RATE_LIMITED = _register_kind(
    "rate_limited", 429, "a limit of the entry was reached"
)
OVERLOADED = _register_kind(
    "overloaded", 503, "the class is shed while overloaded"
)
LEAVING = _register_kind("leaving", 503, "this entry VM takes no new work")
NO_RUNNER = _register_kind(
    "no_runner", 503, "no runner can take the request now"
)
CLAIMS_UNAVAILABLE = _register_kind(
    "claims_unavailable", 503, "the store that records claims is down"
)
QUARANTINED = _register_kind(
    "quarantined", 503, "like requests crashed runners; it is not run"
)
NOT_READY = _register_kind("not_ready", 503, "no catalogue is in force yet")
NOT_IMPLEMENTED = _register_kind(
    "not_implemented", 501, "the transfer is unsupported"
)
GAVE_UP = _register_kind(
    "gave_up", 504, "every attempt failed within the deadline"
)
UPSTREAM_FAILED = _register_kind(
    "upstream_failed", 502, "the upstream's answer broke"
)
OUTCOME_UNKNOWN = _register_kind(
    "outcome_unknown", 502, "a non-idempotent request may have run"
)
INTERNAL = _register_kind("internal", 500, "a fault in this daemon")


def kinds() -> typing.Mapping[str, RefusalKind]:
    """Every type of refusal by name."""
    return dict(_KINDS)


class Refusal(errors.ApricotleverError):
    """An error returned to a caller in place of an upstream's answer.

    :param kind: the type of refusal.
    :param message: one sentence for the caller, without internal details.
    :param executed: whether an upstream ran the request.
    :param retry_after_s: the delay before a retry in seconds, or None.
    :param request_id: the ID of the request; empty if none was assigned.
    """

    def __init__(
        self,
        kind: RefusalKind,
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
    def kind(self) -> RefusalKind:
        """The type of refusal."""
        return self._kind

    @property
    def executed(self) -> Executed:
        """Whether an upstream ran the request."""
        return self._executed

    @property
    def retry_after_s(self) -> float | None:
        """The delay before a retry in seconds, or None."""
        return self._retry_after_s

    @property
    def request_id(self) -> str:
        """The ID of the request, or an empty string."""
        return self._request_id

    def for_request(self, request_id: str) -> "Refusal":
        """A copy of this refusal that names the request it answers.

        :param request_id: the ID that the entry VM assigned.
        """
        return Refusal(
            self._kind,
            self._message,
            self._executed,
            self._retry_after_s,
            request_id,
        )

    def body(self) -> bytes:
        """The body of the HTTP response, encoded as JSON."""
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
        """The headers of the HTTP response."""
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
