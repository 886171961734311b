"""Stand-in for a plain service whose operations must run at most once.

``python -m standins.plain_service --port 0``
"""

import os
import sys
import threading
import time
import typing

from . import _http
from . import _journal
from . import _server

FAULT_EXIT_CODE = 71
DEFAULT_FAULTS: dict[str, typing.Any] = {
    "delay_s": 0.0,
    "die_before": 0,
    "die_after": 0,
}


class PlainService(_http.StandIn):
    """Counts the runs of each operation and of each request.

    :param operations: counts runs by operation.
    :param requests: counts runs by request ID.
    """

    def __init__(
        self,
        operations: _journal.Journal | None = None,
        requests: _journal.Journal | None = None,
    ) -> None:
        super().__init__(DEFAULT_FAULTS)
        self._operations = operations or _journal.Journal()
        self._requests = requests or _journal.Journal()
        self._lock = threading.Lock()
        self._in_flight = 0

    def counts(self) -> dict[str, typing.Any]:
        """Runs by operation, runs by request ID, and calls in flight."""
        return {
            "runs": self._operations.counts,
            "requests": self._requests.counts,
            "in_flight": self._in_flight,
        }

    def clear_counts(self) -> None:
        """Reset the counts of runs."""
        self._operations.clear()
        self._requests.clear()

    @_http.route("GET", "/v1/load")
    def _load(self, request: _http.Request) -> _http.Response:
        return _http.Response(
            200, {"running": self._in_flight, "waiting": 0, "age_s": 0.0}
        )

    @_http.route("GET", "/v1/health")
    def _health(self, request: _http.Request) -> _http.Response:
        return _http.Response(200, {"models": [], "role": "serve"})

    @_http.route("POST", "/.*")
    def _run_operation(self, request: _http.Request) -> _http.Response:
        body = request.json()
        self._simulate_work()
        if self.faults.consume("die_before"):
            os._exit(FAULT_EXIT_CODE)
        request_id = request.header("Apricotlever-Request")
        operation = str(body.get("operation", request_id))
        run = self._operations.add(operation)
        self._requests.add(request_id)
        if self.faults.consume("die_after"):
            os._exit(FAULT_EXIT_CODE)
        return self._response(request, {"operation": operation, "run": run})

    @_http.route("*", "/.*")
    def _handle_other_method(self, request: _http.Request) -> _http.Response:
        self._simulate_work()
        return self._response(request, {})

    def _simulate_work(self) -> None:
        with self._lock:
            self._in_flight += 1
        try:
            time.sleep(self.faults["delay_s"])
        finally:
            with self._lock:
                self._in_flight -= 1

    def _response(
        self, request: _http.Request, result: dict[str, typing.Any]
    ) -> _http.Response:
        names = ("Apricotlever-Request", "Apricotlever-Attempt")
        headers = [
            (name, request.header(name))
            for name in names
            if request.header(name)
        ]
        payload = {
            "request": request.header("Apricotlever-Request"),
            "method": request.method,
            "path": request.path,
            **result,
        }
        return _http.Response(200, payload, headers)


def main(arguments: list[str]) -> int:
    """Serve one plain service until killed.

    :param arguments: the command line without the program name.
    """
    parser = _server.argument_parser("plain service stand-in")
    parser.add_argument("--journal", default="", metavar="FILE")
    parser.add_argument("--delay-s", type=float, default=0.0)
    options = parser.parse_args(arguments)
    requests = f"{options.journal}.requests" if options.journal else ""
    service = PlainService(
        _journal.Journal(options.journal), _journal.Journal(requests)
    )
    service.faults.set({"delay_s": options.delay_s})
    return _server.serve(service, options)


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
