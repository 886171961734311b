"""The typed model of the catalogue.

Instances of all classes here are never modified after construction, so
threads can share them.
"""

import collections.abc
import hashlib
import hmac
import typing

from . import call_patterns
from . import serialization

KIND_MODEL = serialization.KIND_MODEL
KIND_SERVICE = "service"

CallPattern = call_patterns.CallPattern


class Limits:
    """The limits of an entry over the whole fleet; None means no limit.

    :param concurrent: the maximum number of requests in flight.
    :param requests_per_s: the maximum rate of admitted requests.
    :param tokens_per_s: the maximum rate of prompt and answer tokens.
    :param spend_per_hour: the maximum cost per hour, in the currency of the
        cloud API's prices.
    """

    __slots__ = (
        "concurrent",
        "requests_per_s",
        "tokens_per_s",
        "spend_per_hour",
    )

    def __init__(
        self,
        concurrent: int | None = None,
        requests_per_s: float | None = None,
        tokens_per_s: float | None = None,
        spend_per_hour: float | None = None,
    ) -> None:
        self.concurrent = concurrent
        self.requests_per_s = requests_per_s
        self.tokens_per_s = tokens_per_s
        self.spend_per_hour = spend_per_hour


class Capacity:
    """The number and the machine class of the runners of an entry.

    :param min_runners: the number of runners kept even without demand.
    :param max_runners: the maximum number of runners.
    :param slots_per_runner: the number of requests that one runner serves
        concurrently.
    :param machine: the machine class, as the cloud API names it.
    """

    __slots__ = ("min_runners", "max_runners", "slots_per_runner", "machine")

    def __init__(
        self,
        min_runners: int,
        max_runners: int,
        slots_per_runner: int,
        machine: str,
    ) -> None:
        self.min_runners = min_runners
        self.max_runners = max_runners
        self.slots_per_runner = slots_per_runner
        self.machine = machine


class ServiceClass:
    """Latency targets, timeouts and priorities of a class of requests.

    :param name: the name of the class.
    :param first_token_s: the target latency in seconds of the first token,
        or of the whole answer of a plain service.
    :param between_tokens_s: the target time in seconds between two tokens.
    :param deadline_s: the time in seconds after which the answer is of no
        use to the caller.
    :param queue_s: the maximum time in seconds to wait for admission.
    :param shed_order: 0 to 9; classes with higher values are shed first.
    :param priority: 0 to 9; engines serve higher values first.
    """

    __slots__ = (
        "name",
        "first_token_s",
        "between_tokens_s",
        "deadline_s",
        "queue_s",
        "shed_order",
        "priority",
    )

    def __init__(
        self,
        name: str,
        first_token_s: float,
        between_tokens_s: float,
        deadline_s: float,
        queue_s: float,
        shed_order: int,
        priority: int,
    ) -> None:
        self.name = name
        self.first_token_s = first_token_s
        self.between_tokens_s = between_tokens_s
        self.deadline_s = deadline_s
        self.queue_s = queue_s
        self.shed_order = shed_order
        self.priority = priority


class Customer:
    """A customer that calls entries with a bearer key.

    :param name: the name of the customer.
    :param key_sha256: the hex SHA-256 of the bearer key; the key itself is
        not stored.
    :param weight: the share of capacity under contention, relative to the
        weights of other customers.
    """

    __slots__ = ("name", "key_sha256", "weight")

    def __init__(
        self, name: str, key_sha256: str, weight: float = 1.0
    ) -> None:
        self.name = name
        self.key_sha256 = key_sha256
        self.weight = weight


class Entry:
    """A model or a plain service that callers may use.

    :param name: the name that callers give in the ``model`` field or in the
        path of a request.
    :param owner: the name of those responsible for the entry.
    :param kind: ``KIND_MODEL`` or ``KIND_SERVICE``.
    :param class_name: the name of the service class of its requests.
    :param model: the model that the engines load; empty for a service.
    :param model_version: the version of the model; empty for a service.
    :param pool: the name of the pool of runners that serve the entry.
    :param non_idempotent: patterns of the calls that run at most once.
    :param customers: the names of the customers that may call the entry;
        None allows all customers.
    :param limits: the limits over the whole fleet.
    :param capacity: the number and the machine class of its runners.
    """

    __slots__ = (
        "name",
        "owner",
        "kind",
        "class_name",
        "model",
        "model_version",
        "pool",
        "non_idempotent",
        "customers",
        "limits",
        "capacity",
    )

    def __init__(
        self,
        name: str,
        owner: str,
        kind: str,
        class_name: str,
        model: str,
        model_version: str,
        pool: str,
        non_idempotent: tuple[call_patterns.CallPattern, ...],
        customers: frozenset[str] | None,
        limits: Limits,
        capacity: Capacity,
    ) -> None:
        self.name = name
        self.owner = owner
        self.kind = kind
        self.class_name = class_name
        self.model = model
        self.model_version = model_version
        self.pool = pool
        self.non_idempotent = non_idempotent
        self.customers = customers
        self.limits = limits
        self.capacity = capacity

    def is_non_idempotent(self, method: str, path: str) -> bool:
        """Whether a call of this entry must run at most once.

        :param method: the HTTP method.
        :param path: the path after the name of the entry.
        """
        return any(
            pattern.matches(method, path) for pattern in self.non_idempotent
        )

    def allows(self, customer: str) -> bool:
        """Whether a customer may call this entry."""
        return self.customers is None or customer in self.customers


class Catalogue:
    """One version of the catalogue, with look-ups for admitting requests.

    :param version: the version of the stored object; 0 if there is none.
    :param entries: the entries by name.
    :param classes: the service classes by name.
    :param customers: the customers by name.
    """

    __slots__ = ("version", "entries", "classes", "customers", "_by_key")

    def __init__(
        self,
        version: int,
        entries: collections.abc.Mapping[str, Entry],
        classes: collections.abc.Mapping[str, ServiceClass],
        customers: collections.abc.Mapping[str, Customer],
    ) -> None:
        self.version = version
        self.entries = entries
        self.classes = classes
        self.customers = customers
        self._by_key = {
            customer.key_sha256: customer for customer in customers.values()
        }

    @property
    def document(self) -> dict[str, typing.Any]:
        """The catalogue as the JSON document that operators edit."""
        return serialization.document(
            self.customers, self.classes, self.entries
        )

    def customer_of(self, bearer_key: str) -> Customer | None:
        """The customer to whom a bearer key belongs.

        The key is looked up by its hash. The caller can't control the hash,
        so the time of the look-up reveals nothing about how much of a
        guessed key is correct.

        :param bearer_key: the key that the caller sent.
        :returns: the customer, or None for an unknown key.
        """
        digest = hash_key(bearer_key)
        customer = self._by_key.get(digest)
        if customer is None:
            return None
        same = hmac.compare_digest(customer.key_sha256, digest)
        return customer if same else None

    def class_of(self, entry: Entry) -> ServiceClass:
        """The service class of an entry of this catalogue."""
        return self.classes[entry.class_name]


def hash_key(bearer_key: str) -> str:
    """The hex SHA-256 of a bearer key, as the catalogue stores it."""
    return hashlib.sha256(bearer_key.encode("utf-8", "replace")).hexdigest()


EMPTY = Catalogue(0, {}, {}, {})
