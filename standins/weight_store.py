"""Stand-in for the weight store, which limits the rate of loads.

``python -m standins.weight_store --port 0``
"""

import collections
import math
import sys
import typing

from . import _http
from . import _rate_limiter
from . import _server

DEFAULT_FAULTS: dict[str, typing.Any] = {
    "loads_per_s": 1.0,
    "burst": 4.0,
    "load_s": 2.0,
    "weight_bytes": 16_000_000_000,
}


class WeightStore(_http.StandIn):
    """Returns the size of weights and grants leases to load them."""

    def __init__(self) -> None:
        super().__init__(DEFAULT_FAULTS)
        self._rate_limiter = _rate_limiter.RateLimiter()
        self._counts: collections.Counter[str] = collections.Counter()

    def counts(self) -> dict[str, typing.Any]:
        """Granted and refused calls, and leases by model and version."""
        return dict(self._counts)

    def clear_counts(self) -> None:
        """Reset the counters."""
        self._counts.clear()

    @_http.route("GET", "/v1/weights/([^/]+)/([^/]+)")
    def _weights(
        self, request: _http.Request, model: str, version: str
    ) -> _http.Response:
        refusal = self._check_rate_limit()
        if refusal is not None:
            return refusal
        size = self.faults["weight_bytes"]
        return _http.Response(
            200, {"model": model, "version": version, "bytes": size}
        )

    @_http.route("POST", "/v1/leases")
    def _lease(self, request: _http.Request) -> _http.Response:
        lease = request.json()
        refusal = self._check_rate_limit()
        if refusal is not None:
            return refusal
        self._counts[f"{lease['model']}/{lease['version']}"] += 1
        return _http.Response(200, {"seconds": self.faults["load_s"]})

    def _check_rate_limit(self) -> _http.Response | None:
        wait_s = self._rate_limiter.try_acquire(
            self.faults["loads_per_s"], self.faults["burst"]
        )
        if not wait_s:
            self._counts["granted"] += 1
            return None
        self._counts["refused"] += 1
        retry_after = str(math.ceil(wait_s))
        return _http.Response(
            429,
            {"error": "throttled", "retry_after_s": wait_s},
            [("Retry-After", retry_after)],
        )


def main(arguments: list[str]) -> int:
    """Serve a store with weights for every model until killed.

    :param arguments: the command line without the program name.
    """
    parser = _server.argument_parser("weight store stand-in")
    return _server.serve(WeightStore(), parser.parse_args(arguments))


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
