"""The configuration in force as the request path needs it.

A dialect translates what the operators wrote into these types once for each
version; they are never changed afterwards, so a request can hold on to the
version with which it began.
"""

import enum
import typing

from ..data_centres import fleet_mix_planner


class CallKind(enum.Enum):
    """What may be repeated, and how the answer arrives."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non-idempotent"
    STREAM = "stream"


class Route:
    """Where the calls below one path prefix of one host go.

    :param targets: services with their weights; more than one splits.
    :param kind: what may be repeated.
    :param resumable: whether a stream may go on at another runner.
    :param timeout_s: the longest that a caller is kept waiting.
    :param objective_s: a first answer within it is on time.
    :param gap_s: the longest pause between two events that is on time;
        0 when the route has none.
    :param priority: 0 is the most urgent.
    :param max_attempts: runners to which one call may be sent.
    :param public: whether calls need no API key.
    """

    __slots__ = (
        "name",
        "host",
        "prefix",
        "targets",
        "kind",
        "resumable",
        "timeout_s",
        "objective_s",
        "gap_s",
        "priority",
        "max_attempts",
        "public",
    )

    def __init__(
        self,
        name: str,
        host: str,
        prefix: str,
        targets: tuple[tuple[str, float], ...],
        kind: CallKind,
        resumable: bool = False,
        timeout_s: float = 30.0,
        objective_s: float = 1.0,
        gap_s: float = 0.0,
        priority: int = 0,
        max_attempts: int = 1,
        public: bool = False,
    ) -> None:
        self.name = name
        self.host = host
        self.prefix = prefix
        self.targets = targets
        self.kind = kind
        self.resumable = resumable
        self.timeout_s = timeout_s
        self.objective_s = objective_s
        self.gap_s = gap_s
        self.priority = priority
        self.max_attempts = max_attempts
        self.public = public

    @property
    def repeatable(self) -> bool:
        """Whether a call that may have run can be sent once more."""
        if self.kind is CallKind.STREAM:
            return self.resumable
        return self.kind is CallKind.IDEMPOTENT

    def service_at(self, point: float) -> str:
        """The service at a point of the split.

        :param point: uniform in [0, 1).
        """
        left = point * sum(weight for _, weight in self.targets)
        for service, weight in self.targets:
            left -= weight
            if left < 0.0:
                return service
        return self.targets[-1][0]


class Customer:
    """One customer: its API keys and its limit.

    :param priority: goes before the route's; None when it has none.
    :param rate: units per second for the whole fleet, 0 for no limit.
    :param burst: units on top of the rate.
    :param by_tokens: whether a unit is a token and not a request.
    :param default_tokens: what a call counts that declares no tokens.
    """

    __slots__ = (
        "name",
        "keys",
        "priority",
        "rate",
        "burst",
        "by_tokens",
        "default_tokens",
    )

    def __init__(
        self,
        name: str,
        keys: frozenset[str],
        priority: int | None = None,
        rate: float = 0.0,
        burst: float = 0.0,
        by_tokens: bool = False,
        default_tokens: int = 0,
    ) -> None:
        self.name = name
        self.keys = keys
        self.priority = priority
        self.rate = rate
        self.burst = burst
        self.by_tokens = by_tokens
        self.default_tokens = default_tokens


class Engine:
    """What a service's runners are, when they run a language model.

    :param concurrency: requests in one batch.
    :param memory_tokens: tokens that fit into a runner's cache.
    :param copies: whether a runner can copy another's cached tokens.
    """

    __slots__ = ("concurrency", "memory_tokens", "copies")

    def __init__(
        self, concurrency: int, memory_tokens: int, copies: bool = False
    ) -> None:
        self.concurrency = concurrency
        self.memory_tokens = memory_tokens
        self.copies = copies


class Service:
    """A service: model runners or plain ones.

    :param max_connections: that one runner takes from all VMs together.
    """

    __slots__ = ("name", "max_connections", "engine", "scaling")

    def __init__(
        self,
        name: str,
        max_connections: int,
        engine: Engine | None = None,
        scaling: fleet_mix_planner.ScalingTerms | None = None,
    ) -> None:
        self.name = name
        self.max_connections = max_connections
        self.engine = engine
        self.scaling = scaling


class CallerLimits:
    """What a caller may send, and how long it may take."""

    __slots__ = ("header_bytes", "body_bytes", "header_s", "idle_s")

    def __init__(
        self,
        header_bytes: int = 16384,
        body_bytes: int = 4194304,
        header_s: float = 3.0,
        idle_s: float = 15.0,
    ) -> None:
        self.header_bytes = header_bytes
        self.body_bytes = body_bytes
        self.header_s = header_s
        self.idle_s = idle_s


class Configuration:
    """One version of the configuration, indexed for look-ups.

    :param version: rises, not evenly.
    """

    __slots__ = (
        "version",
        "routes",
        "services",
        "customers",
        "limits",
        "_by_host",
        "_by_key",
    )

    def __init__(
        self,
        version: int,
        routes: typing.Iterable[Route],
        services: typing.Iterable[Service],
        customers: typing.Iterable[Customer],
        limits: CallerLimits,
    ) -> None:
        self.version = version
        self.routes = tuple(routes)
        self.services = {service.name: service for service in services}
        self.customers = {customer.name: customer for customer in customers}
        self.limits = limits
        self._by_host: dict[str, list[Route]] = {}
        for route in self.routes:
            self._by_host.setdefault(route.host, []).append(route)
        for routes_of_host in self._by_host.values():
            routes_of_host.sort(key=lambda route: -len(route.prefix))
        self._by_key = {
            key: customer
            for customer in self.customers.values()
            for key in customer.keys
        }

    def route_of(self, host: str, path: str) -> Route | None:
        """The route with the longest prefix of a path, if any."""
        candidates = self._by_host.get(host, ())
        return next((r for r in candidates if path.startswith(r.prefix)), None)

    def customer_of(self, key: str) -> Customer | None:
        """The customer that holds an API key, if any."""
        return self._by_key.get(key)

    @property
    def keyed(self) -> bool:
        """Whether calls need an API key at all."""
        return bool(self.customers)
