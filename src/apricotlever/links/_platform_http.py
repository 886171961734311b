"""What the clients of the platform's services share.

It turns HTTP answers and failures into :mod:`platform_errors`, inside
``returns.result.Failure``.
"""

import typing

from returns import result

from .. import documents
from . import _http
from . import platform_errors

Json = typing.Any
T = typing.TypeVar("T")
Reader = typing.Callable[[Json], T]
ErrorMaker = typing.Callable[
    [str, _http.Answer, Json], platform_errors.PlatformError
]

DEFAULT_TIMEOUT_S = 2.0
DEFAULT_RETRY_AFTER_S = 1.0
# Past this a watch's answer is overdue, as on a connection gone silent.
WATCH_MARGIN_S = 0.5

_JSON_HEADERS = {"Content-Type": "application/json"}
_errors_by_status: dict[int, ErrorMaker] = {}


def error_for(status: int) -> typing.Callable[[ErrorMaker], ErrorMaker]:
    """Register which error an HTTP status means."""

    def register(maker: ErrorMaker) -> ErrorMaker:
        _errors_by_status[status] = maker
        return maker

    return register


class Service:
    """One of the platform's services.

    :param url: where it is.
    :param timeout_s: for a call that is not a watch.
    """

    __slots__ = ("_link", "_timeout_s")

    def __init__(self, url: str, timeout_s: float = DEFAULT_TIMEOUT_S) -> None:
        self._link = _http.HttpLink(url)
        self._timeout_s = timeout_s

    def close(self) -> None:
        """Close this thread's connection."""
        self._link.close()

    def _read(
        self, path: str, reader: Reader[T], wait_s: float = 0.0
    ) -> platform_errors.Outcome[T]:
        """Read something; a lost answer is as good as none asked for."""
        timeout_s = wait_s + WATCH_MARGIN_S if wait_s else self._timeout_s
        try:
            answer = self._link.exchange_again("GET", path, timeout_s)
        except _http.ExchangeFailed as error:
            return result.Failure(platform_errors.Unavailable(error.message))
        return _outcome(f"GET {path}", answer, reader)

    def _write(
        self,
        method: str,
        path: str,
        body: Json,
        reader: Reader[T],
        headers: dict[str, str] | None = None,
    ) -> platform_errors.Outcome[T]:
        """Write something; a lost answer leaves the outcome unknown."""
        data = None if body is None else documents.encoded(body)
        sent = {**(headers or {}), **(_JSON_HEADERS if data else {})}
        try:
            answer = self._link.exchange(
                method, path, data, sent, self._timeout_s
            )
        except _http.NotSent as error:
            return result.Failure(platform_errors.Unavailable(error.message))
        except _http.ExchangeFailed as error:
            return result.Failure(platform_errors.Ambiguous(error.message))
        return _write_outcome(f"{method} {path}", answer, reader)


def _write_outcome(
    call: str, answer: _http.Answer, reader: Reader[T]
) -> platform_errors.Outcome[T]:
    """The outcome of a write.

    An answer that can't be read, or a status that tells of trouble behind
    a gateway, doesn't say whether the write took effect.
    """
    outcome = _outcome(call, answer, reader)
    if isinstance(outcome, result.Failure):
        error = outcome.failure()
        if isinstance(error, platform_errors.BadAnswer):
            return result.Failure(platform_errors.Ambiguous(error.message))
    return outcome


def _outcome(
    call: str, answer: _http.Answer, reader: Reader[T]
) -> platform_errors.Outcome[T]:
    try:
        document = documents.loads(answer.body) if answer.body else {}
    except documents.NotJson:
        document = {}
        if answer.status < 300:
            return result.Failure(_bad(call, answer))
    if answer.status >= 300:
        maker = _errors_by_status.get(answer.status, _unexpected)
        return result.Failure(maker(call, answer, document))
    try:
        return result.Success(reader(document))
    except (KeyError, TypeError, ValueError, AttributeError):
        return result.Failure(_bad(call, answer))


def _bad(call: str, answer: _http.Answer) -> platform_errors.BadAnswer:
    text = answer.body[:80].decode("utf-8", "replace")
    return platform_errors.BadAnswer(
        f"{call}: status {answer.status} with {text!r}"
    )


def _unexpected(
    call: str, answer: _http.Answer, document: Json
) -> platform_errors.PlatformError:
    return _bad(call, answer)


@error_for(404)
def _not_found(
    call: str, answer: _http.Answer, document: Json
) -> platform_errors.PlatformError:
    return platform_errors.NotFound(f"{call}: there is none")


@error_for(409)
def _no_capacity(
    call: str, answer: _http.Answer, document: Json
) -> platform_errors.PlatformError:
    return platform_errors.NoCapacity(f"{call}: refused")


@error_for(410)
def _compacted(
    call: str, answer: _http.Answer, document: Json
) -> platform_errors.PlatformError:
    return platform_errors.Compacted(f"{call}: the revision is gone")


@error_for(412)
def _conflict(
    call: str, answer: _http.Answer, document: Json
) -> platform_errors.PlatformError:
    if not isinstance(document, dict):
        return _bad(call, answer)
    try:
        version = int(document["version"])
    except (KeyError, TypeError, ValueError):
        return _bad(call, answer)
    return platform_errors.Conflict(call, version)


@error_for(413)
def _too_large(
    call: str, answer: _http.Answer, document: Json
) -> platform_errors.PlatformError:
    return platform_errors.TooLarge(f"{call}: the value is too large")


@error_for(429)
def _throttled(
    call: str, answer: _http.Answer, document: Json
) -> platform_errors.PlatformError:
    text = answer.headers.get("retry-after", "")
    try:
        retry_after_s = max(0.0, float(text))
    except ValueError:
        retry_after_s = DEFAULT_RETRY_AFTER_S
    return platform_errors.Throttled(f"{call}: throttled", retry_after_s)


@error_for(503)
def _turned_away(
    call: str, answer: _http.Answer, document: Json
) -> platform_errors.PlatformError:
    return platform_errors.Unavailable(f"{call}: the service is down")
