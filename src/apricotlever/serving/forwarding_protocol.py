"""The messages by which a VM has another VM run a call.

A VM that reaches no runner forwards a call to a helper, a VM that does. The
call is one HTTP request to the helper's address for other VMs. The response is
the runner's, or a refusal, which headers of our own tell apart.
"""

import typing

import msgpack

from .. import refusals
from .. import validation

from . import configuration_model
from . import messages

#: Path of forwarded calls on the server for other VMs.
FORWARD_PATH = "/forwarded-calls"
#: The reason of a refusal. Responses of runners don't have this header.
REFUSAL_HEADER = b"Apricotlever-Refusal"
#: Whether a refused call has run, as in :class:`.refusals.Executed`.
EXECUTED_HEADER = b"Apricotlever-Executed"
#: To how many runners a refused call was sent, by all VMs together.
SENDS_HEADER = b"Apricotlever-Sends"
#: Version of the software of the runner whose response is sent back.
VERSION_HEADER = b"Apricotlever-Runner-Version"
RETRY_AFTER_HEADER = b"Retry-After"
#: How long a helper keeps an idle connection, in seconds; less than the time
#: after which its server closes one.
KEEP_ALIVE_S = 10

#: Headers of a runner's response that concern its connection only.
_CONNECTION_HEADERS = frozenset(
    {
        b"connection",
        b"content-length",
        b"keep-alive",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        REFUSAL_HEADER.lower(),
        EXECUTED_HEADER.lower(),
        SENDS_HEADER.lower(),
        VERSION_HEADER.lower(),
    }
)
#: Bytes by which the request of a forwarded call is longer than the caller's
#: request, apart from its headers.
ENVELOPE_BYTES = 4096


class ForwardedCall:
    """A call that another VM is to run.

    :param request_id: the caller's identifier of the call.
    :param headers: the caller's headers, without those that hold its API key.
    :param prompt: tokens in, tokens out, and id and tokens of each part; None
        without a prompt.
    :param customer: name of the customer, whose permit the sending VM holds;
        None without one.
    :param route: name of the route.
    :param kind: see :class:`.configuration_model.CallKind`.
    :param service: the service whose runners run the call.
    :param remaining_ms: time that the call has left, in milliseconds. It is no
        wall-clock time, as the clocks of two VMs differ.
    :param resume_after: id of the last event that the caller has; None for a
        stream from its start.
    :param sends: number of runners to which the call was sent so far.
    :param stream_begun: whether the caller has a part of the response.
    :param counted: whether the allowance of retries counts the request.
    :param usage_counted: whether the customer's usage counts the call.
    :param resumes: the call whose response began the stream that the caller
        resumes; "" if it doesn't say.
    :param origin: service and version of the runner that began the stream;
        None if the caller has no part of the response.
    """

    __slots__ = (
        "request_id",
        "method",
        "target",
        "host",
        "headers",
        "body",
        "prompt",
        "customer",
        "route",
        "kind",
        "service",
        "remaining_ms",
        "resume_after",
        "sends",
        "stream_begun",
        "counted",
        "usage_counted",
        "resumes",
        "origin",
    )

    def __init__(
        self,
        request_id: str,
        method: str,
        target: str,
        host: str,
        headers: messages.Headers,
        body: bytes,
        prompt: tuple[int, int, list[tuple[str, int]]] | None,
        customer: str | None,
        route: str,
        kind: str,
        service: str,
        remaining_ms: int,
        resume_after: int | None,
        sends: int,
        stream_begun: bool,
        counted: bool,
        usage_counted: bool,
        resumes: str,
        origin: tuple[str, str] | None,
    ) -> None:
        self.request_id = request_id
        self.method = method
        self.target = target
        self.host = host
        self.headers = [(name, value) for name, value in headers]
        self.body = body
        self.prompt = prompt
        self.customer = customer
        self.route = route
        self.kind = kind
        self.service = service
        self.remaining_ms = remaining_ms
        self.resume_after = resume_after
        self.sends = sends
        self.stream_begun = stream_begun
        self.counted = counted
        self.usage_counted = usage_counted
        self.resumes = resumes
        self.origin = origin

    def encode(self) -> bytes:
        """Encode as the body of a request."""
        return msgpack.packb([getattr(self, name) for name in self.__slots__])

    @classmethod
    def decode(cls, body: bytes) -> "ForwardedCall":
        """Decode the result of :meth:`encode`.

        :raises ValueError: if the data is malformed.
        """
        try:
            record = msgpack.unpackb(body)
        except TypeError as error:
            # msgpack raises TypeError for a map with an unhashable key.
            raise ValueError(str(error)) from error
        return cls(*validation.validate_record(_FIELDS, record))

    def to_call(self, received_at: float) -> messages.CallerCall:
        """The call as the helper runs it.

        :param received_at: when it was received, on the event loop's clock.
        """
        return messages.CallerCall(
            self.method,
            self.target,
            self.host,
            self.headers,
            self.body,
            self.request_id,
            self.remaining_ms / 1000.0,
            "",
            _decode_prompt(self.prompt),
            self.resume_after,
            received_at,
            self.resumes,
        )


class HelperRefusal:
    """A helper's word that it sends no runner's response to a call.

    :param executed: whether a runner may have run the call.
    :param retry_after_s: when callers may return, in seconds; None if the
        helper doesn't tell.
    :param sends: to how many runners the call was sent, by all VMs together.
    """

    __slots__ = ("reason", "executed", "retry_after_s", "sends")

    def __init__(
        self,
        reason: str,
        executed: refusals.Executed,
        retry_after_s: float | None,
        sends: int,
    ) -> None:
        self.reason = reason
        self.executed = executed
        self.retry_after_s = retry_after_s
        self.sends = sends

    def headers(self) -> list[tuple[bytes, bytes]]:
        """The headers of the response."""
        headers = [
            (REFUSAL_HEADER, _header_text(self.reason)),
            (EXECUTED_HEADER, self.executed.value.encode()),
            (SENDS_HEADER, b"%d" % self.sends),
            _KEEP_ALIVE,
        ]
        if self.retry_after_s is not None:
            headers.append((RETRY_AFTER_HEADER, b"%.3f" % self.retry_after_s))
        return headers

    @classmethod
    def from_headers(cls, headers: messages.Headers) -> "HelperRefusal | None":
        """Decode the result of :meth:`headers`.

        :returns: None if the response is no refusal. What can't be read of
            one promises nothing.
        """
        by_name = {name.lower(): value for name, value in headers}
        reason = by_name.get(REFUSAL_HEADER.lower())
        if reason is None:
            return None
        executed = by_name.get(EXECUTED_HEADER.lower(), b"").decode("latin-1")
        sends = by_name.get(SENDS_HEADER.lower(), b"")
        return cls(
            reason.decode("latin-1"),
            (
                refusals.Executed.NO
                if executed == refusals.Executed.NO.value
                else refusals.Executed.UNKNOWN
            ),
            _seconds(by_name.get(RETRY_AFTER_HEADER.lower())),
            int(sends) if sends.isdigit() else 0,
        )


_KEEP_ALIVE = (b"Keep-Alive", b"timeout=%d" % KEEP_ALIVE_S)


def encode_request(address: str, call: ForwardedCall) -> bytes:
    """The bytes of the request that forwards a call.

    :param address: the helper's, as ``host:port``.
    """
    body = call.encode()
    return (
        f"POST {FORWARD_PATH} HTTP/1.1\r\nHost: {address}\r\n"
        "Content-Type: application/msgpack\r\n"
        f"Content-Length: {len(body)}\r\n\r\n"
    ).encode() + body


def response_headers(
    head: messages.RunnerResponseHead,
) -> list[tuple[bytes, bytes]]:
    """Headers of a runner's response that a helper sends back.

    They are all that don't concern the connection to the runner, and the
    version of its software.
    """
    listed = {
        token.strip().lower()
        for name, value in head.headers
        if name.lower() == b"connection"
        for token in value.split(b",")
    }
    dropped = _CONNECTION_HEADERS | listed
    return [
        *((n, v) for n, v in head.headers if n.lower() not in dropped),
        (VERSION_HEADER, _header_text(head.version)),
        _KEEP_ALIVE,
    ]


def take_version(
    headers: messages.Headers,
) -> tuple[str, list[tuple[bytes, bytes]]]:
    """Separate the version from the headers of a helper's response.

    :returns: the version of the runner's software, "" if unknown, and the
        other headers.
    """
    name = VERSION_HEADER.lower()
    versions = [value for key, value in headers if key.lower() == name]
    version = versions[0].decode("latin-1") if len(versions) == 1 else ""
    return version, [(n, v) for n, v in headers if n.lower() != name]


def headers_without_key(
    headers: messages.Headers, key: str
) -> list[tuple[bytes, bytes]]:
    """Leave out the headers that hold the caller's API key."""
    secret = key.encode("latin-1", "replace")
    return [
        (name, value)
        for name, value in headers
        if not secret or secret not in value
    ]


def encode_prompt(
    prompt: messages.Prompt | None,
) -> tuple[int, int, list[tuple[str, int]]] | None:
    """A prompt as :class:`ForwardedCall` holds it."""
    if prompt is None:
        return None
    parts = [(part.part_id, part.tokens) for part in prompt.parts]
    return prompt.tokens_in, prompt.tokens_out, parts


def _decode_prompt(
    record: tuple[int, int, list[tuple[str, int]]] | None,
) -> messages.Prompt | None:
    if record is None:
        return None
    tokens_in, tokens_out, parts = record
    return messages.Prompt(
        tokens_in,
        tokens_out,
        tuple(messages.PromptPart(*part) for part in parts),
    )


def _header_text(text: str) -> bytes:
    """A text as the value of a header, without line breaks."""
    return " ".join(text.split()).encode("latin-1", "replace")


def _seconds(value: bytes | None) -> float | None:
    try:
        seconds = float(value) if value is not None else None
    except ValueError:
        return None
    if seconds is None or not 0.0 <= seconds < float("inf"):
        return None
    return seconds


def _is_request_text(value: typing.Any) -> bool:
    """Whether a value is a part of a request line."""
    return isinstance(value, str) and all(
        " " < character <= "\xff" for character in value
    )


def _is_line(value: typing.Any) -> bool:
    """Whether a value is a text that fits into a header."""
    return isinstance(value, str) and all(
        " " <= character <= "\xff" for character in value
    )


def _is_header_text(value: typing.Any) -> bool:
    return isinstance(value, bytes) and not (
        b"\r" in value or b"\n" in value or b"\0" in value
    )


def _is_kind(value: typing.Any) -> bool:
    return value in {kind.value for kind in configuration_model.CallKind}


#: Name and check of each field of a forwarded call, in order.
_FIELDS: tuple[tuple[str, validation.Predicate], ...] = (
    ("request_id", _is_line),
    ("method", _is_request_text),
    ("target", _is_request_text),
    ("host", _is_line),
    (
        "headers",
        validation.is_list_of(
            validation.is_tuple_of(_is_header_text, _is_header_text)
        ),
    ),
    ("body", lambda value: isinstance(value, bytes)),
    (
        "prompt",
        validation.is_none_or(
            validation.is_tuple_of(
                validation.is_non_negative_int,
                validation.is_non_negative_int,
                validation.is_list_of(
                    validation.is_tuple_of(
                        validation.is_non_empty_string,
                        validation.is_non_negative_int,
                    )
                ),
            )
        ),
    ),
    ("customer", validation.is_none_or(validation.is_non_empty_string)),
    ("route", validation.is_string),
    ("kind", _is_kind),
    ("service", validation.is_non_empty_string),
    ("remaining_ms", validation.is_non_negative_int),
    ("resume_after", validation.is_none_or(validation.is_int)),
    ("sends", validation.is_non_negative_int),
    ("stream_begun", validation.is_bool),
    ("counted", validation.is_bool),
    ("usage_counted", validation.is_bool),
    ("resumes", _is_line),
    (
        "origin",
        validation.is_none_or(
            validation.is_tuple_of(
                validation.is_non_empty_string, validation.is_string
            )
        ),
    ),
)
