"""Metrics, sent to a statsd server if the settings name one.

Every metric is registered in ``METRICS`` with a one-line description. The
operators' page lists the same metrics, and a test compares the two.
"""

import re

import statsd

from . import settings

PREFIX = "apricotlever"
_INVALID_CHARACTERS = re.compile(r"[^A-Za-z0-9_-]")

METRICS: dict[str, str] = {
    "requests.admitted": "Requests admitted, by customer.",
    "requests.refused": "Requests refused and not run, by reason.",
    "requests.ended": "Requests with an outcome, by outcome.",
    "requests.retried": "Attempts after the first.",
    "requests.unknown": "Non-idempotent calls with an unknown outcome.",
    "requests.quarantined": "Requests refused because they crashed runners.",
    "requests.in_flight": "Requests in flight at this VM.",
    "requests.queued": "Requests waiting for admission at this VM.",
    "latency.first_token": "Seconds to the first token, by class.",
    "latency.whole": "Seconds to the whole answer, by class.",
    "streams.moved": "Streams that continued at another runner.",
    "streams.replayed": "Streams whose tokens were recomputed.",
    "streams.broken": "Streams that ended without their last token.",
    "tokens.sent": "Tokens sent to callers.",
    "tokens.recomputed": "Tokens recomputed, as estimated by this VM.",
    "routing.cached_tokens": "Prompt tokens expected in runners' caches.",
    "routing.no_runner": "Requests for which no runner was found.",
    "runners.known": "Runners that are available for requests.",
    "runners.unhealthy": "Runners whose circuit breaker is open.",
    "members.alive": "Entry VMs alive in this VM's view.",
    "catalogue.version": "The catalogue version in force at this VM.",
    "platform.calls": "Calls to the object API, by rank.",
    "platform.failed": "Calls to the platform that failed, by kind.",
    "platform.held_back": "Calls that the call budget delayed, by rank.",
    "peers.calls": "Calls to other entry VMs.",
    "peers.failed": "Calls to other entry VMs that failed.",
    "ledger.keys": "Idempotency keys that the ledger holds.",
    "cost.per_hour": "Cost per hour of an entry's VMs.",
}


class Metrics:
    """Client of a statsd server.

    Counters, gauges and timings are sent over UDP, without blocking and
    without raising errors.

    :param address: the address of the statsd server; None to send nothing.
    :param prefix: the first part of all metric names.
    """

    __slots__ = ("_client",)

    def __init__(
        self, address: settings.Address | None, prefix: str = PREFIX
    ) -> None:
        self._client = _create_client(address, prefix) if address else None

    def count(self, name: str, n: int = 1, of: str = "") -> None:
        """Add to a counter.

        :param name: a name in ``METRICS``.
        :param n: the number to add.
        :param of: a label to split the metric by, such as the name of a
            customer; becomes the last part of the metric's name. Empty for
            a metric that is not split.
        """
        if self._client:
            self._client.incr(_full_name(name, of), n)

    def gauge(self, name: str, value: float, of: str = "") -> None:
        """Set a gauge; see :meth:`count` for the other parameters.

        :param value: the new value of the gauge.
        """
        if self._client:
            self._client.gauge(_full_name(name, of), value)

    def timing(self, name: str, seconds: float, of: str = "") -> None:
        """Send a duration; see :meth:`count` for the other parameters.

        :param seconds: the duration, sent in milliseconds.
        """
        if self._client:
            self._client.timing(_full_name(name, of), seconds * 1000.0)

    def close(self) -> None:
        """Close the socket."""
        if self._client:
            self._client.close()


def _create_client(
    address: settings.Address, prefix: str
) -> statsd.StatsClient:
    return statsd.StatsClient(
        address.host, address.port, prefix=prefix, ipv6=":" in address.host
    )


def _full_name(name: str, of: str) -> str:
    return f"{name}.{_INVALID_CHARACTERS.sub('_', of)}" if of else name
