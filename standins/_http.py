"""HTTP handling shared by the stand-ins: routes, control calls, common faults.

A stand-in is a subclass of :class:`StandIn` that registers its handlers with
:func:`route`. Faults do not affect calls to paths under /control.
"""

import json
import re
import time
import typing
from urllib import parse

from waitress import channel

from . import _fault_settings

Handler = typing.Callable[..., "Response"]
Headers = list[tuple[str, str]]

REASON_PHRASES = {
    200: "OK",
    201: "Created",
    400: "Bad Request",
    404: "Not Found",
    409: "Conflict",
    410: "Gone",
    412: "Precondition Failed",
    413: "Content Too Large",
    429: "Too Many Requests",
    500: "Internal Server Error",
    503: "Service Unavailable",
}
CONTROL_PREFIX = "/control/"
SILENCE_POLL_S = 0.05
#: Beginnings of the paths that entry VMs ask for by themselves.
POLLED_PATHS = ("/v1/load", "/v1/health", "/v1/cache", "/v1/orders")
COMMON_FAULTS: dict[str, typing.Any] = {
    "down": False,
    "refuse": False,
    "silent": False,
    "slow_s": 0.0,
    "lose_request": 0,
    "lose_answer": 0,
    "lose_answer_probability": 0.0,
    #: How many requests are answered 503 without being handled.
    "turn_away": 0,
    #: Headers by which the stand-in says something of itself, by name.
    "statements": {},
}


class Request:
    """One HTTP request, read lazily from the WSGI environment."""

    __slots__ = ("environ", "method", "path", "_body")

    def __init__(self, environ: dict[str, typing.Any]) -> None:
        self.environ = environ
        self.method: str = environ["REQUEST_METHOD"]
        self.path: str = environ["PATH_INFO"]
        self._body: bytes | None = None

    @property
    def body(self) -> bytes:
        """The request body."""
        if self._body is None:
            self._body = self.environ["wsgi.input"].read()
        return self._body

    @property
    def params(self) -> dict[str, str]:
        """The query parameters; a repeated name has its last value."""
        return dict(parse.parse_qsl(self.environ.get("QUERY_STRING", "")))

    def header(self, name: str, default: str = "") -> str:
        """The value of a header; the default if the header is missing."""
        key = "HTTP_" + name.upper().replace("-", "_")
        return self.environ.get(key, default)

    def json(self) -> typing.Any:
        """The body parsed as JSON; an empty body gives an empty object."""
        return json.loads(self.body or b"{}")

    def disconnected(self) -> bool:
        """Whether the client has closed its connection."""
        return self.environ["waitress.client_disconnected"]()


class Response:
    """A JSON response, or a response that streams byte strings."""

    __slots__ = ("status", "payload", "headers", "stream")

    def __init__(
        self,
        status: int,
        payload: typing.Any = None,
        headers: Headers | None = None,
        stream: typing.Iterable[bytes] | None = None,
    ) -> None:
        self.status = status
        self.payload = payload
        self.headers = headers or []
        self.stream = stream


class Route:
    """A handler with its HTTP method and compiled path pattern."""

    __slots__ = ("method", "pattern", "handler")

    def __init__(self, method: str, pattern: str, handler: Handler) -> None:
        self.method = method
        self.pattern = re.compile(pattern + r"\Z", re.DOTALL)
        self.handler = handler


def route(method: str, pattern: str) -> typing.Callable[[Handler], Handler]:
    """Register a method of a stand-in as the handler of matching requests.

    :param method: the HTTP method, or ``*`` for any.
    :param pattern: a regular expression for the whole path; its groups are
        passed to the handler as arguments.
    """

    def decorator(handler: Handler) -> Handler:
        routes = handler.__dict__.setdefault("routes", [])
        routes.append(Route(method, pattern, handler))
        return handler

    return decorator


def drop_connection() -> typing.NoReturn:
    """Close the connection without sending anything more."""
    raise channel.ClientDisconnected


class StandIn:
    """A WSGI application of registered routes with injectable faults.

    :param faults: the faults specific to the stand-in, with their defaults.
    """

    #: HTTP methods whose responses the lose_answer faults can lose.
    response_loss_methods: typing.ClassVar[tuple[str, ...]] = (
        "PUT",
        "POST",
        "DELETE",
    )
    _routes: typing.ClassVar[list[Route]] = []

    def __init_subclass__(cls) -> None:
        own_routes = [
            registered
            for method in vars(cls).values()
            for registered in getattr(method, "routes", ())
        ]
        cls._routes = cls._routes + own_routes

    def __init__(self, faults: dict[str, typing.Any] | None = None) -> None:
        self._faults = _fault_settings.FaultSettings(
            {**COMMON_FAULTS, **(faults or {})}
        )

    @property
    def faults(self) -> _fault_settings.FaultSettings:
        """The fault settings."""
        return self._faults

    def counts(self) -> dict[str, typing.Any]:
        """The counters returned by GET /control/counts."""
        return {}

    def clear_counts(self) -> None:
        """Hook for POST /control/reset: resets the counters."""

    def before_dispatch(self, request: Request) -> Response | None:
        """Hook before each handler; a returned response is sent instead."""

    def wait_while_silent(self, request: Request) -> None:
        """Block a call without a response while the stand-in is silent."""
        while self._faults["silent"]:
            if request.disconnected():
                drop_connection()
            time.sleep(SILENCE_POLL_S)

    def __call__(
        self,
        environ: dict[str, typing.Any],
        start_response: typing.Callable[..., typing.Any],
    ) -> typing.Iterable[bytes]:
        request = Request(environ)
        try:
            response = self._respond(request)
        except (ValueError, KeyError, _fault_settings.UnknownFault) as error:
            response = Response(400, {"error": f"bad request: {error}"})
        return _send_response(response, start_response)

    def _respond(self, request: Request) -> Response:
        if request.path.startswith(CONTROL_PREFIX):
            return self._dispatch(request)
        self._apply_request_faults(request)
        if self._faults["down"]:
            return Response(503, {"error": "unavailable"})
        is_polled = request.path.startswith(POLLED_PATHS)
        if not is_polled and self._faults.consume("turn_away"):
            response = Response(503, {"error": "turned_away"})
        else:
            response = self.before_dispatch(request) or self._dispatch(request)
        response.headers = [
            *response.headers,
            *self._faults["statements"].items(),
        ]
        if (
            request.method in self.response_loss_methods
            and self._response_is_lost()
        ):
            drop_connection()
        return response

    def _apply_request_faults(self, request: Request) -> None:
        if self._faults["refuse"] or self._faults.consume("lose_request"):
            drop_connection()
        self.wait_while_silent(request)
        if self._faults["slow_s"]:
            time.sleep(self._faults["slow_s"])

    def _response_is_lost(self) -> bool:
        if self._faults.consume("lose_answer"):
            return True
        return self._faults.draw("lose_answer_probability")

    def _dispatch(self, request: Request) -> Response:
        for candidate in self._routes:
            if candidate.method not in (request.method, "*"):
                continue
            match = candidate.pattern.match(request.path)
            if match:
                return candidate.handler(self, request, *match.groups())
        return Response(404, {"error": "not_found"})


@route("GET", "/control/faults")
def _show_faults(standin: StandIn, request: Request) -> Response:
    return Response(200, standin.faults.values)


@route("POST", "/control/faults")
def _set_faults(standin: StandIn, request: Request) -> Response:
    standin.faults.set(request.json())
    return Response(200, standin.faults.values)


@route("GET", "/control/counts")
def _show_counts(standin: StandIn, request: Request) -> Response:
    return Response(200, standin.counts())


@route("POST", "/control/reset")
def _reset(standin: StandIn, request: Request) -> Response:
    standin.faults.reset()
    standin.clear_counts()
    return Response(200, {})


StandIn._routes = [
    registered
    for handler in (_show_faults, _set_faults, _show_counts, _reset)
    for registered in handler.routes  # type: ignore[attr-defined]
]


def _send_response(
    response: Response, start_response: typing.Callable[..., typing.Any]
) -> typing.Iterable[bytes]:
    status = f"{response.status} {REASON_PHRASES[response.status]}"
    if response.stream is not None:
        content_type = ("Content-Type", "text/event-stream")
        start_response(status, [content_type, *response.headers])
        return response.stream
    body = json.dumps(response.payload, separators=(",", ":")).encode()
    headers = [
        ("Content-Type", "application/json"),
        ("Content-Length", str(len(body))),
        *response.headers,
    ]
    start_response(status, headers)
    return [body]
