"""A stand-in of the weight store, whose loads are limited in rate.

``python -m standins.weight_store --port 0``
"""

import collections
import math
import sys
import typing

from . import _http
from . import _rates
from . import _server

FAULTS: dict[str, typing.Any] = {
    "loads_per_s": 1.0,
    "burst": 4.0,
    "load_s": 2.0,
    "weight_bytes": 16_000_000_000,
}


class WeightStore(_http.StandIn):
    """Answers how large weights are and when they may be loaded."""

    def __init__(self) -> None:
        super().__init__(FAULTS)
        self._rate = _rates.CallRate()
        self._counts: collections.Counter[str] = collections.Counter()

    def counts(self) -> dict[str, typing.Any]:
        """Granted and refused loads, and leases by model and version."""
        return dict(self._counts)

    def clear_counts(self) -> None:
        """Forget what was counted."""
        self._counts.clear()

    @_http.route("GET", "/v1/weights/([^/]+)/([^/]+)")
    def _weights(
        self, request: _http.Request, model: str, version: str
    ) -> _http.Response:
        refusal = self._limit()
        if refusal is not None:
            return refusal
        size = self.faults["weight_bytes"]
        return _http.Response(
            200, {"model": model, "version": version, "bytes": size}
        )

    @_http.route("POST", "/v1/leases")
    def _lease(self, request: _http.Request) -> _http.Response:
        wanted = request.json()
        refusal = self._limit()
        if refusal is not None:
            return refusal
        self._counts[f"{wanted['model']}/{wanted['version']}"] += 1
        return _http.Response(200, {"seconds": self.faults["load_s"]})

    def _limit(self) -> _http.Response | None:
        wait_s = self._rate.take(
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
    """Serve a store that holds any weights.

    :param arguments: the command line without the program's name.
    """
    parser = _server.parser("weight store stand-in")
    return _server.serve(WeightStore(), parser.parse_args(arguments))


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
