"""HTTP plumbing shared by the stand-ins: routes, control and common faults.

A stand-in is a subclass of :class:`StandIn` whose methods are registered by
:func:`route`. Paths under /control are never touched by the faults.
"""

import json
import re
import time
import typing
from urllib import parse

from waitress import channel

from . import _faults

Handler = typing.Callable[..., "Response"]
Headers = list[tuple[str, str]]

REASONS = {
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
CONTROL = "/control/"
SILENCE_POLL_S = 0.05
COMMON_FAULTS: dict[str, typing.Any] = {
    "down": False,
    "refuse": False,
    "silent": False,
    "slow_s": 0.0,
    "lose_request": 0,
    "lose_answer": 0,
    "lose_answer_probability": 0.0,
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
        """The whole body."""
        if self._body is None:
            self._body = self.environ["wsgi.input"].read()
        return self._body

    @property
    def params(self) -> dict[str, str]:
        """The query's parameters, the last of each name."""
        return dict(parse.parse_qsl(self.environ.get("QUERY_STRING", "")))

    def header(self, name: str, default: str = "") -> str:
        """A header's value, or the default."""
        key = "HTTP_" + name.upper().replace("-", "_")
        return self.environ.get(key, default)

    def json(self) -> typing.Any:
        """The body as JSON; an empty body is an empty object."""
        return json.loads(self.body or b"{}")

    def disconnected(self) -> bool:
        """Whether the client has closed its connection."""
        return self.environ["waitress.client_disconnected"]()


class Response:
    """A JSON answer, or a stream of byte strings."""

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
    """A method and a compiled path pattern with its handler."""

    __slots__ = ("method", "pattern", "handler")

    def __init__(self, method: str, pattern: str, handler: Handler) -> None:
        self.method = method
        self.pattern = re.compile(pattern + r"\Z", re.DOTALL)
        self.handler = handler


def route(method: str, pattern: str) -> typing.Callable[[Handler], Handler]:
    """Register a method of a stand-in for calls on matching paths.

    :param method: the HTTP method, or ``*`` for any.
    :param pattern: a regular expression; its groups become arguments.
    """

    def mark(handler: Handler) -> Handler:
        found = handler.__dict__.setdefault("routes", [])
        found.append(Route(method, pattern, handler))
        return handler

    return mark


def drop() -> typing.NoReturn:
    """Close the connection without a byte of answer."""
    raise channel.ClientDisconnected


class StandIn:
    """A WSGI application made of registered routes, with faults.

    :param faults: the stand-in's own faults and their defaults.
    """

    lossy_methods: typing.ClassVar[tuple[str, ...]] = ("PUT", "POST", "DELETE")
    _routes: typing.ClassVar[list[Route]] = []

    def __init_subclass__(cls) -> None:
        own = [
            found
            for method in vars(cls).values()
            for found in getattr(method, "routes", ())
        ]
        cls._routes = cls._routes + own

    def __init__(self, faults: dict[str, typing.Any] | None = None) -> None:
        self._faults = _faults.Faults({**COMMON_FAULTS, **(faults or {})})

    @property
    def faults(self) -> _faults.Faults:
        """The fault settings."""
        return self._faults

    def counts(self) -> dict[str, typing.Any]:
        """What GET /control/counts answers."""
        return {}

    def clear_counts(self) -> None:
        """Hook of /control/reset: forget what was counted."""

    def admit(self, request: Request) -> Response | None:
        """Hook before a handler: count a call, or answer in its place."""

    def wait_while_silent(self, request: Request) -> None:
        """Hold a call, without an answer, while the stand-in is silent."""
        while self._faults["silent"]:
            if request.disconnected():
                drop()
            time.sleep(SILENCE_POLL_S)

    def __call__(
        self,
        environ: dict[str, typing.Any],
        start_response: typing.Callable[..., typing.Any],
    ) -> typing.Iterable[bytes]:
        request = Request(environ)
        try:
            response = self._answer(request)
        except (ValueError, KeyError, _faults.UnknownFault) as error:
            response = Response(400, {"error": f"bad request: {error}"})
        return _send(response, start_response)

    def _answer(self, request: Request) -> Response:
        if request.path.startswith(CONTROL):
            return self._dispatch(request)
        self._before(request)
        if self._faults["down"]:
            return Response(503, {"error": "unavailable"})
        response = self.admit(request) or self._dispatch(request)
        if request.method in self.lossy_methods and self._loses():
            drop()
        return response

    def _before(self, request: Request) -> None:
        if self._faults["refuse"] or self._faults.take("lose_request"):
            drop()
        self.wait_while_silent(request)
        if self._faults["slow_s"]:
            time.sleep(self._faults["slow_s"])

    def _loses(self) -> bool:
        if self._faults.take("lose_answer"):
            return True
        return self._faults.chance("lose_answer_probability")

    def _dispatch(self, request: Request) -> Response:
        for found in self._routes:
            if found.method not in (request.method, "*"):
                continue
            match = found.pattern.match(request.path)
            if match:
                return found.handler(self, request, *match.groups())
        return Response(404, {"error": "not_found"})


@route("GET", "/control/faults")
def _show_faults(standin: StandIn, request: Request) -> Response:
    return Response(200, standin.faults.values)


@route("POST", "/control/faults")
def _set_faults(standin: StandIn, request: Request) -> Response:
    standin.faults.set(request.json())
    return Response(200, standin.faults.values)


@route("GET", "/control/counts")
def _counts(standin: StandIn, request: Request) -> Response:
    return Response(200, standin.counts())


@route("POST", "/control/reset")
def _reset(standin: StandIn, request: Request) -> Response:
    standin.faults.reset()
    standin.clear_counts()
    return Response(200, {})


StandIn._routes = [
    found
    for handler in (_show_faults, _set_faults, _counts, _reset)
    for found in handler.routes  # type: ignore[attr-defined]
]


def _send(
    response: Response, start_response: typing.Callable[..., typing.Any]
) -> typing.Iterable[bytes]:
    status = f"{response.status} {REASONS[response.status]}"
    if response.stream is not None:
        kind = ("Content-Type", "text/event-stream")
        start_response(status, [kind, *response.headers])
        return response.stream
    body = json.dumps(response.payload, separators=(",", ":")).encode()
    headers = [
        ("Content-Type", "application/json"),
        ("Content-Length", str(len(body))),
        *response.headers,
    ]
    start_response(status, headers)
    return [body]
