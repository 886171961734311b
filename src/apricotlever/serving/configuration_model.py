"""The configuration in force, in the form that the request path uses.

A dialect translates each version of the operators' configuration into these
types once. They are never changed afterwards, so a call can keep the version
with which it began.
"""

import enum
import typing

from ..data_centres import fleet_mix_planner


class CallKind(enum.Enum):
    """Whether a call may be repeated, and whether its response is a stream."""

    #: May be sent to another runner even if one may have run it.
    IDEMPOTENT = "idempotent"
    #: May not be sent to another runner once one may have run it.
    NON_IDEMPOTENT = "non-idempotent"
    #: Its response consists of numbered events. Whether it may be sent to
    #: another runner depends on :attr:`Route.resumable`.
    STREAM = "stream"


class Route:
    """Destination and terms of the calls below a path prefix of a host.

    An objective is a time within which calls should stay; unlike the timeout,
    it does not end a call.

    :param name: the route's name, for the log and for routing.
    :param targets: services with their weights; several split the traffic.
    :param kind: whether calls may be repeated or are streams.
    :param resumable: whether another runner may resume a stream that broke
        off, after the last event sent to the caller.
    :param timeout_s: longest time until a call ends, in seconds.
    :param objective_s: objective of the time to the first byte of the
        response, in seconds.
    :param gap_s: objective of the pause between two events, in seconds; 0 if
        the route has none.
    :param priority: of the calls in an engine's queue; 0 is the most urgent.
    :param max_attempts: maximum number of runners to which a call is sent.
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
    def is_repeatable(self) -> bool:
        """Whether a call that a runner may have run may be sent again."""
        if self.kind is CallKind.STREAM:
            return self.resumable
        return self.kind is CallKind.IDEMPOTENT

    def select_service(self, point: float) -> str:
        """Select one of the target services, in proportion to their weights.

        :param point: a random number, uniform in [0, 1), which decides.
        """
        left = point * sum(weight for _, weight in self.targets)
        for service, weight in self.targets:
            left -= weight
            if left < 0.0:
                return service
        return self.targets[-1][0]


class Customer:
    """A customer with its API keys and rate limit.

    The limit counts units, which are requests or tokens.

    :param priority: overrides the route's; None for no override.
    :param rate: units per second for the whole fleet, 0 for no limit.
    :param burst: units allowed in addition to the rate.
    :param by_tokens: whether a unit is a token instead of a request.
    :param default_tokens: units of a call that declares no tokens.
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
    """Properties of the language model engine on a service's runners.

    The engine caches the tokens of earlier prompts.

    :param concurrency: maximum number of requests in a batch.
    :param cache_tokens: capacity of a runner's cache in tokens.
    :param can_copy_cache: whether a runner can copy the cached tokens of
        another runner.
    """

    __slots__ = ("concurrency", "cache_tokens", "can_copy_cache")

    def __init__(
        self, concurrency: int, cache_tokens: int, can_copy_cache: bool = False
    ) -> None:
        self.concurrency = concurrency
        self.cache_tokens = cache_tokens
        self.can_copy_cache = can_copy_cache


class Service:
    """A service and the properties of its runners.

    :param max_connections: connections that a runner accepts from all VMs
        together.
    :param engine: the runners' engine; None if they run no language model.
    :param scaling: terms by which the number of runners is changed
        automatically; None if it is not.
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
    """Limits of the size and duration of callers' requests.

    :param header_bytes: maximum size of a request head.
    :param body_bytes: maximum size of a request body.
    :param header_s: time limit for receiving a request head, in seconds.
    :param idle_s: time limit for an idle connection and for receiving a
        whole request, in seconds.
    """

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

    :param version: increases with each change, not necessarily by one.
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

    def find_route(self, host: str, path: str) -> Route | None:
        """The route whose prefix matches most of a path; None without one."""
        candidates = self._by_host.get(host, ())
        return next((r for r in candidates if path.startswith(r.prefix)), None)

    def find_customer(self, key: str) -> Customer | None:
        """The customer of an API key, None if the key is unknown."""
        return self._by_key.get(key)

    @property
    def requires_key(self) -> bool:
        """Whether calls to non-public routes need an API key.

        They do as soon as the configuration has any customer.
        """
        return bool(self.customers)
