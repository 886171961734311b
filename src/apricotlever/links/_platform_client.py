"""Base class of the clients of the platform's services.

The class turns HTTP responses and failures into the errors of
:mod:`.platform_errors`, inside ``returns.result.Failure``.
"""

import typing

from returns import result

from .. import documents
from . import _http_client
from . import platform_errors

Json = typing.Any
T = typing.TypeVar("T")
Decoder = typing.Callable[[Json], T]
ErrorFactory = typing.Callable[
    [str, _http_client.Response, Json], platform_errors.PlatformError
]

DEFAULT_TIMEOUT_S = 2.0
DEFAULT_RETRY_AFTER_S = 1.0
# Time beyond the requested wait after which the response to a watch counts as
# lost, as on a connection that no longer carries packets.
LONG_POLL_MARGIN_S = 0.5

_JSON_HEADERS = {"Content-Type": "application/json"}
_errors_by_status: dict[int, ErrorFactory] = {}


def error_factory(
    status: int,
) -> typing.Callable[[ErrorFactory], ErrorFactory]:
    """Register a function that makes the error for an HTTP status.

    :param status: HTTP status code.
    """

    def register(factory: ErrorFactory) -> ErrorFactory:
        _errors_by_status[status] = factory
        return factory

    return register


class PlatformClient:
    """Client of one of the platform's services.

    :param url: base URL of the service.
    :param timeout_s: limit in seconds for a call that does not wait for
        changes.
    """

    __slots__ = ("_link", "_timeout_s")

    def __init__(self, url: str, timeout_s: float = DEFAULT_TIMEOUT_S) -> None:
        self._link = _http_client.HttpClient(url)
        self._timeout_s = timeout_s

    def close(self) -> None:
        """Close this thread's connection."""
        self._link.close()

    def _read(
        self, path: str, decoder: Decoder[T], wait_s: float = 0.0
    ) -> platform_errors.Outcome[T]:
        """Send a read to the service and decode its JSON response.

        A lost response is ``Unavailable``, since a read has no effect.

        :param path: path with query.
        :param decoder: turns the parsed JSON into the result.
        :param wait_s: how long the service may wait for changes, in
            seconds; 0 for a call that does not wait.
        """
        timeout_s = wait_s + LONG_POLL_MARGIN_S if wait_s else self._timeout_s
        try:
            response = self._link.read_with_retry("GET", path, timeout_s)
        except _http_client.ExchangeFailed as error:
            return result.Failure(platform_errors.Unavailable(error.message))
        return _decode_outcome(f"GET {path}", response, decoder)

    def _write(
        self,
        method: str,
        path: str,
        body: Json,
        decoder: Decoder[T],
        headers: dict[str, str] | None = None,
    ) -> platform_errors.Outcome[T]:
        """Send a write to the service and decode its JSON response.

        A lost response is ``Ambiguous``: the write may have taken effect.

        :param method: HTTP method.
        :param path: path with query.
        :param body: sent as JSON; None for no body.
        :param decoder: turns the parsed JSON into the result.
        :param headers: names and values.
        """
        data = None if body is None else documents.encode_json(body)
        sent = {**(headers or {}), **(_JSON_HEADERS if data else {})}
        try:
            response = self._link.exchange(
                method, path, data, sent, self._timeout_s
            )
        except _http_client.RequestNotSent as error:
            return result.Failure(platform_errors.Unavailable(error.message))
        except _http_client.ExchangeFailed as error:
            return result.Failure(platform_errors.Ambiguous(error.message))
        return _decode_write_outcome(f"{method} {path}", response, decoder)


def _decode_write_outcome(
    call: str, response: _http_client.Response, decoder: Decoder[T]
) -> platform_errors.Outcome[T]:
    """Turn the response to a write into its outcome.

    A response that can't be decoded, or the error status of a gateway in
    between, doesn't tell whether the write took effect.
    """
    outcome = _decode_outcome(call, response, decoder)
    if isinstance(outcome, result.Failure):
        error = outcome.failure()
        if isinstance(error, platform_errors.BadAnswer):
            return result.Failure(platform_errors.Ambiguous(error.message))
    return outcome


def _decode_outcome(
    call: str, response: _http_client.Response, decoder: Decoder[T]
) -> platform_errors.Outcome[T]:
    try:
        document = documents.loads(response.body) if response.body else {}
    except documents.NotJson:
        document = {}
        if response.status < 300:
            return result.Failure(_bad_answer(call, response))
    if response.status >= 300:
        factory = _errors_by_status.get(response.status, _unexpected_status)
        return result.Failure(factory(call, response, document))
    try:
        return result.Success(decoder(document))
    except (KeyError, TypeError, ValueError, AttributeError):
        return result.Failure(_bad_answer(call, response))


def _bad_answer(
    call: str, response: _http_client.Response
) -> platform_errors.BadAnswer:
    text = response.body[:80].decode("utf-8", "replace")
    return platform_errors.BadAnswer(
        f"{call}: unexpected response, status {response.status} with {text!r}"
    )


def _unexpected_status(
    call: str, response: _http_client.Response, document: Json
) -> platform_errors.PlatformError:
    return _bad_answer(call, response)


@error_factory(404)
def _not_found(
    call: str, response: _http_client.Response, document: Json
) -> platform_errors.PlatformError:
    return platform_errors.NotFound(f"{call}: not found")


@error_factory(409)
def _no_capacity(
    call: str, response: _http_client.Response, document: Json
) -> platform_errors.PlatformError:
    return platform_errors.NoCapacity(f"{call}: no capacity left")


@error_factory(410)
def _compacted(
    call: str, response: _http_client.Response, document: Json
) -> platform_errors.PlatformError:
    return platform_errors.Compacted(f"{call}: the revision was compacted")


@error_factory(412)
def _conflict(
    call: str, response: _http_client.Response, document: Json
) -> platform_errors.PlatformError:
    if not isinstance(document, dict):
        return _bad_answer(call, response)
    try:
        version = int(document["version"])
    except (KeyError, TypeError, ValueError):
        return _bad_answer(call, response)
    return platform_errors.Conflict(call, version)


@error_factory(413)
def _too_large(
    call: str, response: _http_client.Response, document: Json
) -> platform_errors.PlatformError:
    return platform_errors.ValueTooLarge(f"{call}: the value is too large")


@error_factory(429)
def _throttled(
    call: str, response: _http_client.Response, document: Json
) -> platform_errors.PlatformError:
    text = response.headers.get("retry-after", "")
    try:
        retry_after_s = max(0.0, float(text))
    except ValueError:
        retry_after_s = DEFAULT_RETRY_AFTER_S
    return platform_errors.Throttled(f"{call}: throttled", retry_after_s)


@error_factory(503)
def _service_unavailable(
    call: str, response: _http_client.Response, document: Json
) -> platform_errors.PlatformError:
    return platform_errors.Unavailable(f"{call}: the service is down")
